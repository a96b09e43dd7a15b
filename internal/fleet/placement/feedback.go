package placement

import "time"

// Observation is what a call's first token shows of an endpoint's speed. Routers report it to each other.
type Observation struct {
	Endpoint     uint32  // its ShortID
	PrefillUnits float64 // units of the prompt that were prefilled
	Units        float64 // of the prompt in all
	Delay        float64 // seconds until the first token
	Wait         float64 // seconds of these that were expected for prefills in front
}

// Stall is what a stream shows of how prefills at its endpoint stall it. Routers report it to each other.
type Stall struct {
	Endpoint    uint32  // its ShortID
	LongestGap  float64 // seconds between two events
	PrefillTime float64 // seconds of the longest prefill meanwhile
}

// RecordRemoteCall records a call that another router has sent to an endpoint, which has to prefill so many units of its prompt.
// Names that are not known are ignored, here and below.
func (p *Placer) RecordRemoteCall(now time.Duration, name uint32, prompt *Prompt, prefillUnits float64) {
	e := p.byName[name]
	if e == nil {
		return
	}
	s := p.service(e.Service)
	e.queue.drain(now)
	w := workOf(prefillUnits, prompt.Units)
	expected := e.queue.waitFor(prompt.Priority) + s.prefill.line().firstToken(w)
	s.enqueue(now, e, prompt, w, time.Duration(expected*float64(time.Second)))
}

// RecordFirstToken records how long the first token of this router's call took, or its answer. It returns what other routers
// can learn from it.
func (p *Placer) RecordFirstToken(now time.Duration, placed *Placement, delay time.Duration) Observation {
	e := placed.Endpoint
	e.delay.observe(e.sendRate.now(now), delay.Seconds())
	e.queue.drain(now)
	e.queue.complete(placed.serial, placed.prompt.Priority)
	e.recordSuccess()
	seen := Observation{
		Endpoint: e.ShortID(), PrefillUnits: placed.Units, Units: placed.prompt.Units, Delay: delay.Seconds(), Wait: placed.wait,
	}
	placed.firstTokenAt = now
	p.service(e.Service).accuracy.observe(placed.Units, placed.Expected, delay)
	p.recordLatency(now, e, &seen)
	return seen
}

// RecordRemoteFirstToken records what another router's call has shown of an endpoint's speed.
func (p *Placer) RecordRemoteFirstToken(now time.Duration, seen *Observation) {
	if e := p.byName[seen.Endpoint]; e != nil {
		p.recordLatency(now, e, seen)
	}
}

// recordLatency takes an observation into the service's prefill model and into the endpoint's slowness.
func (p *Placer) recordLatency(now time.Duration, e *Endpoint, seen *Observation) {
	s := p.service(e.Service)
	if seen.Units <= 1 && s.promptsSeen {
		return // a call without a prompt shows nothing of prompts
	}
	w := workOf(seen.PrefillUnits, seen.Units)
	own := max(minBase, seen.Delay-seen.Wait)
	expected := s.prefill.line().firstToken(w)
	if seen.Wait < expected {
		e.slowness.observe(now, own/expected)
	}
	weight := 1.0
	if seen.Wait > 0 {
		weight = queuedObservationWeight
	}
	s.prefill.observe(w, own, weight)
}

// RecordStreamEnd records how long a stream of this router's took from its first token on, and the longest gap between its
// events. ok is false where no prefill meanwhile was long enough to be of use to other routers.
func (p *Placer) RecordStreamEnd(now time.Duration, placed *Placement, took, longestGap time.Duration) (seen Stall, ok bool) {
	e := placed.Endpoint
	p.service(e.Service).tokens.observe(placed.prompt.Priority, took, placed.prompt.Output)
	prefill := e.prefills.longest(placed.firstTokenAt, now)
	if bound := placed.prompt.MaxEventGap.Seconds(); bound <= 0 || prefill < bound {
		return Stall{}, false
	}
	seen = Stall{Endpoint: e.ShortID(), LongestGap: longestGap.Seconds(), PrefillTime: prefill}
	p.service(e.Service).stalls.observe(&seen)
	return seen, true
}

// RecordRemoteStall records what another router's stream has shown.
func (p *Placer) RecordRemoteStall(seen *Stall) {
	if e := p.byName[seen.Endpoint]; e != nil {
		p.service(e.Service).stalls.observe(seen)
	}
}

// RecordConnectFailure records that a connection to an endpoint was not established. The endpoint is ejected.
func (p *Placer) RecordConnectFailure(now time.Duration, e *Endpoint) {
	e.recordOutcome(1)
	p.recordFaults(now, e, 1, false)
	e.eject(now)
}

// RecordFailure records a rejection, an error, a reset or a time-out of an endpoint. From ejectionThreshold failures in a row on, the endpoint
// is ejected.
func (p *Placer) RecordFailure(now time.Duration, e *Endpoint) {
	e.recordOutcome(1)
	p.recordFaults(now, e, 1, false)
	if e.consecutiveFailures++; e.consecutiveFailures >= ejectionThreshold {
		e.eject(now)
	}
}

// RecordOverdue records that a call's first token has not come long after it was expected. The call goes on.
func (p *Placer) RecordOverdue(now time.Duration, e *Endpoint) { p.recordFaults(now, e, 1, true) }

// RecordRemoteFailures records failures, or overdue answers, that another router has met at an endpoint.
func (p *Placer) RecordRemoteFailures(now time.Duration, name uint32, count int, overdue bool) {
	if e := p.byName[name]; e != nil {
		p.recordFaults(now, e, float64(count), overdue)
	}
}

func (p *Placer) recordFaults(now time.Duration, e *Endpoint, count float64, overdue bool) {
	callRate := p.callRate(now, p.service(e.Service))
	e.faults.record(now, count, callRate)
	if !overdue {
		e.failures.record(now, count, callRate)
	}
}
