package placement

import (
	"math"
	"time"
)

// slowness estimates how many times as long as the service's prefill model says an endpoint takes, by the mean logarithm of
// its calls. The zero value is an endpoint of the usual speed.
type slowness struct {
	weight, sum float64 // of logarithms
	updatedAt   time.Duration
}

func (s *slowness) decay(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	keep := remainingWeight(now-s.updatedAt, float64(slownessMemory))
	s.weight *= keep
	s.sum *= keep
	s.updatedAt = now
}

// observe records a call that took so many times as long as the model says.
func (s *slowness) observe(now time.Duration, factor float64) {
	s.decay(now)
	keep := 1 - 1/slownessMemoryCalls
	s.weight = s.weight*keep + 1
	s.sum = s.sum*keep + math.Log(min(max(factor, 1/maxSlownessSample), maxSlownessSample))
}

// factor returns the estimate; 1 within the dead band.
func (s *slowness) factor(now time.Duration) float64 {
	if s.weight == 0 {
		return 1
	}
	s.decay(now)
	factor := math.Exp(s.sum / (s.weight + slownessPriorCalls))
	switch {
	case factor > slownessDeadband:
		return factor / slownessDeadband
	case factor < 1/slownessDeadband:
		return factor * slownessDeadband
	}
	return 1
}
