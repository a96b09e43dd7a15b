package proxy

import (
	"math"
	"sync"
	"time"
)

// durations learns how long answers of each route take, so that a router that is about to end takes none that it could
// not finish.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDuration
}

// durationMemory is the number of answers after which one weighs 1/e.
const durationMemory = 50.0

// duration is the mean and the mean deviation of a route's answers, in seconds.
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

// likely is how long most answers of a route take; 0 where none was seen.
func (d *durations) estimate(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return 0
	}
	return time.Duration((r.mean + r.deviation) * float64(time.Second))
}
