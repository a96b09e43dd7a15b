package placement

import (
	"math"
	"time"
)

// rateMeter is an exponentially weighted average of a rate, with a decay time of rateDecayTime.
type rateMeter struct {
	rate      float64 // per second, at updatedAt
	updatedAt time.Duration
}

func (r *rateMeter) decay(now time.Duration) {
	if now > r.updatedAt {
		r.rate *= remainingWeight(now-r.updatedAt, float64(rateDecayTime))
		r.updatedAt = now
	}
}

// count counts one event.
func (r *rateMeter) count(now time.Duration) {
	r.decay(now)
	r.rate += 1 / rateDecayTime.Seconds()
}

// now returns the rate in events per second.
func (r *rateMeter) now(now time.Duration) float64 {
	r.decay(now)
	return r.rate
}

// remainingWeight returns the weight of a sample after a time. It falls to 1/e after decayTime, in nanoseconds.
func remainingWeight(elapsed time.Duration, decayTime float64) float64 {
	return math.Exp(-float64(elapsed) / decayTime)
}
