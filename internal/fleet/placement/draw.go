package placement

import (
	"math"
	"slices"
	"time"
)

// Tiers of endpoints. A tier is considered only where all tiers before it are empty.
const (
	tierPreferred = iota
	tierFaulty    // recent failures, or overdue answers, that this call should avoid
	tierEjected
	tierCount
)

// draw chooses a call's endpoint. Of the eligible endpoints it keeps those whose loss is within lossTolerance of the
// minimum, and returns the one of these with the lowest weighted rendezvous score. It returns nil if no endpoint is
// eligible.
func (s *service) draw(now time.Duration, row []float64, key uint64, call *Call) *Placement {
	candidates := s.eligible(now, row, call)
	if len(candidates) == 0 {
		return nil
	}
	minLoss := candidates[0].loss
	for _, c := range candidates {
		minLoss = min(minLoss, c.loss)
	}
	best, bestScore := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.loss > minLoss+lossTolerance {
			continue
		}
		weight := c.share
		if c.cached {
			weight *= cachedWeight
		}
		if score := rendezvousScore(key, c.endpoint.hash) / weight; score < bestScore {
			best, bestScore = i, score
		}
	}
	chosen := &candidates[best]
	return &Placement{
		Endpoint: chosen.endpoint, Expected: time.Duration(chosen.expected * float64(time.Second)), Units: chosen.work.units,
		work: chosen.work, wait: chosen.wait, prompt: &call.Prompt,
	}
}

// eligible returns the endpoints of the first tier that is not empty. The slice is valid until the next call of eligible.
func (s *service) eligible(now time.Duration, row []float64, call *Call) []candidate {
	s.candidates = s.candidates[:0]
	context := s.newDrawContext(now, call)
	for tier := range tierCount {
		for i, e := range s.endpoints {
			if e.suspended || row[i] <= 0 || slices.Contains(call.Exclude, e.ID) {
				continue
			}
			if s.tier(now, call, e) == tier {
				s.candidates = append(s.candidates, context.evaluate(e, row[i]))
			}
		}
		if len(s.candidates) > 0 {
			break
		}
	}
	return s.candidates
}

// tier returns the tier of an endpoint for a call.
func (s *service) tier(now time.Duration, call *Call, e *Endpoint) int {
	switch {
	case now < e.ejectedUntil:
		return tierEjected
	case call.Retry && !e.faults.isClean(now, s.callRate):
		return tierFaulty
	case call.LastAttempt && !e.failures.isClean(now, s.callRate):
		return tierFaulty
	}
	return tierPreferred
}

// rendezvousScore returns a score for a key at an endpoint, the same on all routers. Over keys the score is exponentially
// distributed, so that an endpoint has the lowest quotient of score and weight with a probability proportional to its weight.
func rendezvousScore(key, endpoint uint64) float64 {
	mixed := key ^ endpoint
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}
