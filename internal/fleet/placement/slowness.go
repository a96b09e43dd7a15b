package placement

import (
	"math"
	"time"
)

// slowness estimates the ratio of an endpoint's delays to those of the service's prefill model, as the geometric mean over
// its calls. The zero value is an endpoint of the usual speed.
type slowness struct {
	weight, sum float64 // of the logarithms of ratios
	updatedAt   time.Duration
}

func (s *slowness) decay(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	retention := remainingWeight(now-s.updatedAt, float64(slownessDecayTime))
	s.weight *= retention
	s.sum *= retention
	s.updatedAt = now
}

// observe records the ratio of a call's delay to that of the model.
func (s *slowness) observe(now time.Duration, factor float64) {
	s.decay(now)
	retention := 1 - 1/slownessDecayCalls
	s.weight = s.weight*retention + 1
	s.sum = s.sum*retention + math.Log(min(max(factor, 1/maxSlownessSample), maxSlownessSample))
}

// factor returns the estimated ratio, moved toward 1 by the factor slownessDeadband. It is 1 within the
// dead band.
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
