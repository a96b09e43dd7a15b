package placement

import (
	"math"
	"time"
)

// The expected loss of a call at an endpoint, in calls of mean weight that are late. The prefill of shared prefixes that are
// cached elsewhere counts too, since it takes the endpoint's time from other calls.

// drawContext is what is the same for all candidates of a call.
type drawContext struct {
	now        time.Duration
	call       *Call
	line       latencyLine
	weight     float64 // of the call, in calls of mean weight
	timeLeft   float64 // seconds until it is late
	callRate   float64 // calls a second to one endpoint
	stallShare float64 // of a prefill's time
}

func (s *service) newDrawContext(now time.Duration, call *Call) drawContext {
	return drawContext{
		now: now, call: call, line: s.prefill.line(), weight: s.callWeight(&call.Prompt),
		timeLeft: max(0, call.Target-call.Spent).Seconds(), callRate: s.callRate, stallShare: s.stalls.share(),
	}
}

// candidate is an endpoint that a call may go to.
type candidate struct {
	endpoint *Endpoint
	share    float64 // of the row
	expected float64 // seconds until the first token
	loss     float64 // in calls of mean weight that are late
	wait     float64 // seconds of prefill in front
	work     work    // the call's own prefill
	cached   bool    // the endpoint has the longest shared prefix
}

// evaluate estimates when the endpoint's first token would come, and what is lost if the call goes there.
func (d *drawContext) evaluate(e *Endpoint, share float64) candidate {
	prompt := &d.call.Prompt
	e.queue.drain(d.now)
	c := candidate{endpoint: e, share: share, wait: e.queue.waitFor(prompt.Priority)}
	uncached := e.prefixes.uncached(d.now, prompt)
	c.work = workOf(uncached, prompt.Units)
	c.cached = len(prompt.Prefixes) > 0 && uncached <= prompt.unsharedUnits()
	slow := e.slowness.factor(d.now)
	c.expected = c.wait + slow*d.line.firstToken(c.work)
	c.loss = d.weight*(delayLoss(c.expected, d.timeLeft)+failureLoss*e.faults.share(d.now, d.callRate)) + (uncached-prompt.unsharedUnits())/recomputedUnitsPerCall
	start := d.now + time.Duration(c.wait*float64(time.Second))
	c.loss += e.streams.stalledCalls(start, slow*d.line.prefill(c.work), d.stallShare)
	return c
}

// delayLoss returns what a call with a limit loses by an expected delay, both in seconds.
func delayLoss(expected, limit float64) float64 {
	return lateness(expected, limit) + abandonLoss*lateness(expected, abandonFactor*limit) + delayLossWeight*expected/(limit+minTimeLeft)
}

// lateness returns the probability that an answer comes after a limit, both in seconds. The error of the expected delay is
// taken as logistic.
func lateness(expected, limit float64) float64 {
	scale := limitErrorShare*limit + delayErrorShare*expected + minDelayError
	return 1 / (1 + math.Exp((limit-expected)/scale))
}
