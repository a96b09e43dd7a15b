package placement

import "time"

// Observation is a measurement of an endpoint's speed from a call's first token. Routers report observations to each other.
type Observation struct {
	Endpoint     uint32  // Endpoint.ShortID
	PrefillUnits float64 // units that the endpoint had to prefill
	Units        float64 // units of the whole prompt
	Delay        float64 // seconds to the first token
	Wait         float64 // the part of Delay, in seconds, that earlier prefills were expected to take
}

// Stall is a measurement of how long a prefill at the same endpoint stalled a stream. Routers report stalls to each other.
type Stall struct {
	Endpoint    uint32  // Endpoint.ShortID
	LongestGap  float64 // longest time between two events of the stream, in seconds
	PrefillTime float64 // longest prefill that was sent to the endpoint during the stream, in seconds
}

// RecordRemoteCall records that another router has sent a call to an endpoint, which has to prefill prefillUnits of the
// prompt. As in all methods for reports of other routers, an unknown endpoint is ignored.
func (p *Placer) RecordRemoteCall(now time.Duration, shortID uint32, prompt *Prompt, prefillUnits float64) {
	e := p.byShortID[shortID]
	if e == nil {
		return
	}
	s := p.service(e.Service)
	e.queue.advance(now)
	w := workOf(prefillUnits, prompt.Units)
	expected := e.queue.waitFor(prompt.Priority) + s.prefill.line().firstToken(w)
	s.enqueue(now, e, prompt, w, time.Duration(expected*float64(time.Second)))
}

// RecordFirstToken records the delay of the first token of a call of this router, or of the first part of an answer that is
// not streamed. It returns the observation to report to other routers.
func (p *Placer) RecordFirstToken(now time.Duration, placed *Placement, delay time.Duration) Observation {
	e := placed.Endpoint
	e.delay.observe(e.sendRate.now(now), delay.Seconds())
	e.queue.advance(now)
	e.queue.complete(placed.serial, placed.prompt.Priority)
	e.recordSuccess()
	observation := Observation{
		Endpoint: e.ShortID(), PrefillUnits: placed.Units, Units: placed.prompt.Units, Delay: delay.Seconds(), Wait: placed.wait,
	}
	placed.firstTokenAt = now
	p.service(e.Service).accuracy.observe(placed.Units, placed.Expected, delay)
	p.recordLatency(now, e, &observation)
	return observation
}

// RecordRemoteFirstToken records an observation of another router.
func (p *Placer) RecordRemoteFirstToken(now time.Duration, observation *Observation) {
	if e := p.byShortID[observation.Endpoint]; e != nil {
		p.recordLatency(now, e, observation)
	}
}

// recordLatency updates the service's prefill model and the endpoint's slowness with an observation.
func (p *Placer) recordLatency(now time.Duration, e *Endpoint, observation *Observation) {
	s := p.service(e.Service)
	if observation.Units <= 1 && s.promptLengthsStated {
		return // a call without a prompt says nothing about prefill times
	}
	w := workOf(observation.PrefillUnits, observation.Units)
	ownDelay := max(minBase, observation.Delay-observation.Wait)
	expected := s.prefill.line().firstToken(w)
	if observation.Wait < expected {
		e.slowness.observe(now, ownDelay/expected)
	}
	weight := 1.0
	if observation.Wait > 0 {
		weight = queuedObservationWeight
	}
	s.prefill.observe(w, ownDelay, weight)
}

// RecordStreamEnd records the duration of a stream of this router, from its first token on, and the longest gap between its
// events. It returns the stall to report to other routers; ok is false if no prefill during the stream took as long as its
// MaxEventGap, or if it has none.
func (p *Placer) RecordStreamEnd(now time.Duration, placed *Placement, duration, longestGap time.Duration) (stall Stall, ok bool) {
	e := placed.Endpoint
	p.service(e.Service).tokens.observe(placed.prompt.Priority, duration, placed.prompt.Output)
	prefill := e.prefills.longest(placed.firstTokenAt, now)
	if bound := placed.prompt.MaxEventGap.Seconds(); bound <= 0 || prefill < bound {
		return Stall{}, false
	}
	stall = Stall{Endpoint: e.ShortID(), LongestGap: longestGap.Seconds(), PrefillTime: prefill}
	p.service(e.Service).stalls.observe(&stall)
	return stall, true
}

// RecordRemoteStall records a stall of another router's stream.
func (p *Placer) RecordRemoteStall(stall *Stall) {
	if e := p.byShortID[stall.Endpoint]; e != nil {
		p.service(e.Service).stalls.observe(stall)
	}
}

// RecordConnectFailure records that a connection to an endpoint could not be established, and ejects the endpoint.
func (p *Placer) RecordConnectFailure(now time.Duration, e *Endpoint) {
	e.recordOutcome(1)
	p.recordFaults(now, e, 1, false)
	e.eject(now)
}

// RecordFailure records a rejection, an error, a connection reset or a time-out of an endpoint. After ejectionThreshold or
// more consecutive failures it ejects the endpoint.
func (p *Placer) RecordFailure(now time.Duration, e *Endpoint) {
	e.recordOutcome(1)
	p.recordFaults(now, e, 1, false)
	if e.consecutiveFailures++; e.consecutiveFailures >= ejectionThreshold {
		e.eject(now)
	}
}

// RecordOverdue records that the first token of a call of this router has not arrived long after it was expected. The call
// itself stays placed.
func (p *Placer) RecordOverdue(now time.Duration, e *Endpoint) { p.recordFaults(now, e, 1, true) }

// RecordRemoteFailures records failures, or overdue answers, that another router reports of an endpoint.
func (p *Placer) RecordRemoteFailures(now time.Duration, shortID uint32, count int, overdue bool) {
	if e := p.byShortID[shortID]; e != nil {
		p.recordFaults(now, e, float64(count), overdue)
	}
}

// recordFaults adds failures, or overdue answers, to the endpoint's evidence.
func (p *Placer) recordFaults(now time.Duration, e *Endpoint, count float64, overdue bool) {
	callRate := p.callRate(now, p.service(e.Service))
	e.faults.record(now, count, callRate)
	if !overdue {
		e.failures.record(now, count, callRate)
	}
}
