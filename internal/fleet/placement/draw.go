package placement

import (
	"math"
	"slices"
	"time"
)

// The draw of one call's endpoint: the row's shares are the weights, among the endpoints at which the call is expected
// to lose least. A loss is counted in calls of mean size that are late; the reading of shared parts that are kept
// elsewhere counts too, since it takes the endpoint's time from others.

// What the draw weighs.
const (
	lossTolerance          = 0.02   // an endpoint whose loss is hardly above the least one is as good as any
	cachedWeight           = 30.0   // times its share counts an endpoint that keeps the longest shared part
	recomputedUnitsPerCall = 4000.0 // units of shared parts whose reading again costs as much as a call of mean size that is late
	delayLossWeight        = 0.1    // loss of an expected delay as long as the time that is left: it holds up others too
	minTimeLeft            = 0.01   // seconds: bounds the same for a call that is late already
	abandonFactor          = 4.0    // times the time that is left: by then clients give up
	abandonLoss            = 0.5    // what is lost then, beside being late
	limitErrorShare        = 0.03   // of the time that is left: scale of the error of an expected delay, beside
	delayErrorShare        = 0.12   // this share of the delay itself
	minCallWeight          = 0.3    // worth of a call without a prompt, in calls of mean size
	maxCallWeight          = 4.0    // worth of the longest prompts, the same
	callWeightMemory       = 50.0   // calls after which a prompt weighs 1/e in the mean size
)

// candidate is an endpoint that a call may go to.
type candidate struct {
	endpoint *Endpoint
	share    float64 // of the row
	expected float64 // seconds until the first token
	loss     float64 // in calls of mean size that are late
	wait     float64 // seconds of reading that come first
	work     work    // the reading for the call
	cached   bool    // the endpoint keeps the longest shared part
}

// draw chooses the endpoint with the least weighted score among those with the least loss, or hardly more. Ejected
// endpoints are passed over unless there is no other.
func (s *service) draw(now time.Duration, row []float64, key uint64, call *Call) *Placement {
	candidates := s.candidates(now, row, call)
	if len(candidates) == 0 {
		return nil
	}
	least := candidates[0].loss
	for _, c := range candidates {
		least = min(least, c.loss)
	}
	best, bestScore := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.loss > least+lossTolerance {
			continue
		}
		weight := c.share
		if c.cached {
			weight *= cachedWeight
		}
		if score := rendezvous(key, c.endpoint.hash) / weight; score < bestScore {
			best, bestScore = i, score
		}
	}
	chosen := &candidates[best]
	return &Placement{
		Endpoint: chosen.endpoint, Expected: time.Duration(chosen.expected * float64(time.Second)), Units: chosen.work.units,
		work: chosen.work, wait: chosen.wait, prompt: &call.Prompt,
	}
}

// recordWeight takes a prompt into the mean of its rank.
func (s *service) recordWeight(prompt *Prompt) {
	mean := &s.meanWeights[min(max(prompt.Priority, 0), priorityLevels-1)]
	if *mean == 0 {
		*mean = prompt.weightUnits()
	}
	*mean += (prompt.weightUnits() - *mean) / callWeightMemory
}

// size is what a call is worth, in calls of mean size.
func (s *service) callWeight(prompt *Prompt) float64 {
	mean := s.meanWeights[min(max(prompt.Priority, 0), priorityLevels-1)]
	if mean == 0 {
		return 1
	}
	return min(maxCallWeight, minCallWeight+(1-minCallWeight)*prompt.weightUnits()/mean)
}

// delayLoss is what an expected delay loses of a call with a limit.
func delayLoss(expected, limit float64) float64 {
	return lateness(expected, limit) + abandonLoss*lateness(expected, abandonFactor*limit) + delayLossWeight*expected/(limit+minTimeLeft)
}

// lateness is how likely an answer that is expected after a delay comes later than a limit.
func lateness(expected, limit float64) float64 {
	scale := limitErrorShare*limit + delayErrorShare*expected + 1e-3
	return 1 / (1 + math.Exp((limit-expected)/scale))
}

// candidates are the endpoints that a call may go to. They hold until the next call.
func (s *service) candidates(now time.Duration, row []float64, call *Call) []candidate {
	s.scratch = s.scratch[:0]
	situation := drawContext{
		now: now, call: call, line: s.prefill.line(), weight: s.callWeight(&call.Prompt), timeLeft: max(0, call.Target-call.Spent).Seconds(),
		callRate: s.callRate, stallShare: s.stalls.share(),
	}
	for pass := range 3 {
		for i, e := range s.endpoints {
			if e.removed || row[i] <= 0 || slices.Contains(call.Exclude, e.ID) {
				continue
			}
			if s.tier(now, call, e) == pass {
				s.scratch = append(s.scratch, situation.evaluate(e, row[i]))
			}
		}
		if len(s.scratch) > 0 {
			break
		}
	}
	return s.scratch
}

// pass is when an endpoint is considered: 0 first, higher ones where there is no other.
func (s *service) tier(now time.Duration, call *Call, e *Endpoint) int {
	switch {
	case now < e.ejectedUntil:
		return 2
	case call.Retry && !e.faults.isClean(now, s.callRate), call.LastAttempt && !e.failures.isClean(now, s.callRate):
		return 1
	}
	return 0
}

// drawing is what is the same for all candidates of a call.
type drawContext struct {
	now      time.Duration
	call     *Call
	line     latencyLine
	weight   float64 // of the call, in calls of mean size
	timeLeft float64 // seconds until it is late
	callRate float64 // calls a second that one endpoint gets

	stallShare float64
}

// expect works out when the endpoint's first token would come, and what is lost if the call goes there.
func (d *drawContext) evaluate(e *Endpoint, share float64) candidate {
	prompt := &d.call.Prompt
	e.queue.drain(d.now)
	c := candidate{endpoint: e, share: share, wait: e.queue.waitFor(prompt.Priority)}
	read := e.prefixes.uncached(d.now, prompt)
	c.work = workOf(read, prompt.Units)
	c.cached = len(prompt.Prefixes) > 0 && read <= prompt.unsharedUnits()
	slow := e.slowness.factor(d.now)
	c.expected = c.wait + slow*d.line.firstToken(c.work)
	c.loss = d.weight*(delayLoss(c.expected, d.timeLeft)+failureLoss*e.faults.share(d.now, d.callRate)) + (read-prompt.unsharedUnits())/recomputedUnitsPerCall
	start := d.now + time.Duration(c.wait*float64(time.Second))
	c.loss += e.streams.stalledCalls(start, slow*d.line.prefill(c.work), d.stallShare)
	return c
}

// rendezvous is exponentially distributed over keys, the same on all routers.
func rendezvous(key, endpoint uint64) float64 {
	mixed := key ^ endpoint
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}
