package placement

import (
	"math"
	"slices"
	"time"
)

// Tiers of endpoints: those of a tier are considered where there is none of the tiers before.
const (
	tierPreferred = iota
	tierFaulty    // a fault is remembered that the call should not risk to meet
	tierEjected
	tierCount
)

// draw chooses a call's endpoint, in three steps: the eligible ones of one tier; of these, those with the least loss or hardly more; of
// these, the one with the least weighted score. It returns nil where the call may go nowhere.
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

// eligible returns the endpoints of the first tier that has some. The slice is valid until the next call of eligible.
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

// rendezvousScore mixes a key and an endpoint's hash. Over keys it is exponentially distributed, so that the least score by
// weight is an endpoint's with a probability in proportion to its weight. It is the same on all routers.
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
