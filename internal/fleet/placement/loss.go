package placement

import (
	"math"
	"time"
)

// This file estimates the expected loss of sending a call to an endpoint. Its unit is one late call of mean weight. The loss
// includes the prefill of shared prefixes that the endpoint has not cached, since that time is not available to other calls.

// drawContext holds the inputs of the loss that are the same for all candidates of a call.
type drawContext struct {
	now           time.Duration
	call          *Call
	line          latencyLine
	weight        float64 // of the call, relative to the mean weight
	remainingTime float64 // seconds until the call is late
	callRate      float64 // calls per second to one endpoint, from all routers
	stallShare    float64 // the stall of a stream, as a share of the prefill's time
}

func (s *service) newDrawContext(now time.Duration, call *Call) drawContext {
	return drawContext{
		now: now, call: call, line: s.prefill.line(), weight: s.callWeight(&call.Prompt),
		remainingTime: max(0, call.Target-call.Spent).Seconds(), callRate: s.callRate, stallShare: s.stalls.share(),
	}
}

// candidate is an endpoint that a call may be sent to.
type candidate struct {
	endpoint *Endpoint
	share    float64 // of the calls of the row
	expected float64 // expected seconds to the first token
	loss     float64 // in late calls of mean weight
	wait     float64 // expected seconds until earlier prefills have finished
	work     work    // the call's own prefill
	cached   bool    // the endpoint has the longest shared prefix cached
}

// evaluate estimates the time to first token and the loss if the call is sent to the endpoint.
func (d *drawContext) evaluate(e *Endpoint, share float64) candidate {
	prompt := &d.call.Prompt
	e.queue.advance(d.now)
	c := candidate{endpoint: e, share: share, wait: e.queue.waitFor(prompt.Priority)}
	uncached := e.prefixes.uncached(d.now, prompt)
	c.work = workOf(uncached, prompt.Units)
	c.cached = len(prompt.Prefixes) > 0 && uncached <= prompt.unsharedUnits()
	slowdown := e.slowness.factor(d.now)
	c.expected = c.wait + slowdown*d.line.firstToken(c.work)
	c.loss = d.weight*(delayLoss(c.expected, d.remainingTime)+failureLoss*e.faults.share(d.now, d.callRate)) + (uncached-prompt.unsharedUnits())/recomputedUnitsPerCall
	start := d.now + time.Duration(c.wait*float64(time.Second))
	c.loss += e.streams.stalledCalls(start, slowdown*d.line.prefill(c.work), d.stallShare)
	return c
}

// delayLoss returns the loss of a call of mean weight by its expected delay. limit is the time until it is late; both are in
// seconds.
func delayLoss(expected, limit float64) float64 {
	return lateness(expected, limit) + abandonLoss*lateness(expected, abandonFactor*limit) + delayLossWeight*expected/(limit+minRemainingTime)
}

// lateness returns the probability that the actual delay exceeds a limit, given the expected delay, both in seconds. The
// error of the expected delay is assumed to have a logistic distribution.
func lateness(expected, limit float64) float64 {
	scale := limitErrorShare*limit + delayErrorShare*expected + minDelayError
	return 1 / (1 + math.Exp((limit-expected)/scale))
}
