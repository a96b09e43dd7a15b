package placement

import (
	"math"
	"time"
)

// rateMeter is an exponentially weighted average of a rate over rateMemory.
type rateMeter struct {
	rate      float64 // 1/s at updatedAt
	updatedAt time.Duration
}

func (r *rateMeter) decay(now time.Duration) {
	if now > r.updatedAt {
		r.rate *= remainingWeight(now-r.updatedAt, float64(rateMemory))
		r.updatedAt = now
	}
}

// count counts one event.
func (r *rateMeter) count(now time.Duration) {
	r.decay(now)
	r.rate += 1 / rateMemory.Seconds()
}

// now returns the rate in events a second.
func (r *rateMeter) now(now time.Duration) float64 {
	r.decay(now)
	return r.rate
}

// remainingWeight returns what a sample weighs after a time, with a memory in nanoseconds.
func remainingWeight(elapsed time.Duration, memory float64) float64 {
	return math.Exp(-float64(elapsed) / memory)
}
