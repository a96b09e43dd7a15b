package proxy

import (
	"math"
	"sync"
	"time"
)

// durationDecaySamples is the number of further responses after which the weight of a response has decreased to 1/e.
const durationDecaySamples = 50.0

// durations estimates the response time of each route, so that a draining router rejects requests that it could not finish. It
// is safe for concurrent use; the zero value has no observation.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDuration
}

// routeDuration is the mean, and the mean absolute deviation from it, of a route's response times, in seconds.
type routeDuration struct{ mean, deviation float64 }

func (d *durations) observe(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]*routeDuration{}
	}
	r := d.routes[route]
	if r == nil {
		r = &routeDuration{mean: duration.Seconds()}
		d.routes[route] = r
	}
	difference := duration.Seconds() - r.mean
	r.mean += difference / durationDecaySamples
	r.deviation += (math.Abs(difference) - r.deviation) / durationDecaySamples
}

// estimate returns the mean plus the mean deviation of a route's response times, which most responses stay below; 0 if none was
// observed.
func (d *durations) estimate(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return 0
	}
	return time.Duration((r.mean + r.deviation) * float64(time.Second))
}
