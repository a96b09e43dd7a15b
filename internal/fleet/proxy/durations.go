package proxy

import (
	"math"
	"sync"
	"time"
)

// durationMemory is the number of answers after which one weighs 1/e.
const durationMemory = 50.0

// durations estimates how long answers of each route take, so that a draining router takes no request that it could not
// finish. It is safe for concurrent use; the zero value has no observation.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDuration
}

// routeDuration is the mean and the mean deviation of a route's answers, in seconds.
type routeDuration struct{ mean, deviation float64 }

func (d *durations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]*routeDuration{}
	}
	r := d.routes[route]
	if r == nil {
		r = &routeDuration{mean: took.Seconds()}
		d.routes[route] = r
	}
	difference := took.Seconds() - r.mean
	r.mean += difference / durationMemory
	r.deviation += (math.Abs(difference) - r.deviation) / durationMemory
}

// estimate returns how long most answers of a route take, mean plus mean deviation; 0 where none was observed.
func (d *durations) estimate(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return 0
	}
	return time.Duration((r.mean + r.deviation) * float64(time.Second))
}
