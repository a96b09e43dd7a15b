package balance

import (
	"slices"
	"time"
)

// pendingAttempt is an open attempt, as its endpoint has it.
type pendingAttempt struct {
	request         *requestState
	sentAt          time.Duration
	sentAtRunTime   time.Duration // the same by Balancer.runTime
	overtakenBy     int           // answers of the endpoint to attempts that were sent later
	hangProbability float64       // that it will never be answered, as of the last assessment
}

// likelyHung reports whether the attempt more likely hangs than not. It is no sign of congestion then, and doesn't count
// against the limit.
func (p *pendingAttempt) likelyHung() bool { return p.hangProbability > 0.5 }

// pendingIndex is the index of a request's open attempt among those pending at its endpoint.
func pendingIndex(request *requestState, attempt *attemptState) int {
	return slices.IndexFunc(attempt.endpoint.pending, func(pending pendingAttempt) bool {
		return pending.request == request && pending.sentAt == attempt.sentAt
	})
}

// findPending returns a request's open attempt as its endpoint has it.
func findPending(request *requestState, attempt *attemptState) *pendingAttempt {
	return &attempt.endpoint.pending[pendingIndex(request, attempt)]
}

// addPending records an attempt that is sent now.
func (b *Balancer) addPending(request *requestState, endpoint *endpointState) {
	endpoint.pending = append(endpoint.pending, pendingAttempt{request: request, sentAt: b.now, sentAtRunTime: b.runTime()})
	b.addInFlight(endpoint, request.load())
}

// restartPending counts an attempt as sent now: its request has been uploaded.
func (b *Balancer) restartPending(request *requestState, attempt *attemptState) {
	endpoint := attempt.endpoint
	i := pendingIndex(request, attempt)
	pending := endpoint.pending[i]
	attempt.sentAt = b.now
	pending.sentAt = b.now
	pending.sentAtRunTime = b.runTime()
	endpoint.pending = append(slices.Delete(endpoint.pending, i, i+1), pending) // in the order of sending
	b.addInFlight(endpoint, 1)
}

// removePending removes an attempt that has ended and returns it. A served one has overtaken those that were sent before
// it. Unless this instance ended it, the endpoint has given a sign of life.
func (b *Balancer) removePending(request *requestState, attempt *attemptState, status Status) pendingAttempt {
	endpoint := attempt.endpoint
	served := status == OK
	if status != Cancelled && status != NotSent {
		endpoint.lastSignal = b.runTime()
	}
	i := pendingIndex(request, attempt)
	ended := endpoint.pending[i]
	endpoint.pending = slices.Delete(endpoint.pending, i, i+1)
	for i := range endpoint.pending {
		if served && endpoint.pending[i].sentAt < ended.sentAt {
			endpoint.pending[i].overtakenBy++
		}
	}
	if request.uploading { // the endpoint has had nothing to answer yet
		ended.sentAt = b.now
	}
	if !ended.likelyHung() {
		b.addInFlight(endpoint, -request.load())
	}
	if served && endpoint.unhealthy && b.now >= endpoint.ejectedUntil { // it has recovered
		endpoint.unhealthy = false
		b.inFlight += endpoint.inFlight
	}
	return ended
}

// runTime is for how long this process has been scheduled in all. Pending attempts and unresponsive endpoints are judged by
// it: while the process itself did not run it could receive nothing.
func (b *Balancer) runTime() time.Duration { return b.now - b.pausedTime }

// addInFlight counts n more requests in flight at an endpoint; n may be negative.
func (b *Balancer) addInFlight(endpoint *endpointState, n int) {
	endpoint.inFlight += n
	if !endpoint.unhealthy {
		b.inFlight += n
	}
}

// assessPending assesses all pending attempts and the health of their endpoints.
func (b *Balancer) assessPending() {
	if late := b.now - b.nextTick; b.nextTick > 0 && late > pauseTicks*b.tickInterval {
		b.pausedTime += late // this process was not scheduled: no pending attempt is blamed for it
	}
	b.nextTick = b.now + b.tickInterval
	b.detector.BeginAssessment()
	b.inFlight, b.availableCount, b.unhealthyCount = 0, 0, 0
	for _, endpoint := range b.endpoints {
		endpoint.unhealthy = !b.healthy(endpoint)
		endpoint.inFlight = 0
		endpoint.overdueLatency = decayedMean{}
		if endpoint.available {
			b.availableCount++
			if endpoint.unhealthy {
				b.unhealthyCount++
			}
		}
		if len(endpoint.pending) > 0 {
			b.addInFlight(endpoint, b.assessEndpoint(endpoint))
		}
	}
}

// assessEndpoint estimates how likely each pending attempt of an endpoint hangs, and returns how many likely don't. One that
// is pending for longer than the endpoint's mean latency is evidence of a longer latency.
func (b *Balancer) assessEndpoint(endpoint *endpointState) (inFlight int) {
	groupLatency := b.groupLatency(endpoint)
	meanLatency := endpoint.latency.mean(groupLatency, priorCalls)
	for i := range endpoint.pending {
		pending := &endpoint.pending[i]
		if pending.request.uploading {
			pending.sentAtRunTime = b.runTime()
			pending.hangProbability = 0
			continue
		}
		age := (b.runTime() - pending.sentAtRunTime).Seconds()
		if scaled := age / pending.request.class.latencyFactor; scaled > meanLatency {
			endpoint.overdueLatency.add(scaled)
		}
		pending.hangProbability = b.detector.HangProbability(&endpoint.evidence, pending.request.classIndex, age,
			meanLatency/groupLatency, pending.overtakenBy)
		if !pending.likelyHung() {
			inFlight++
		}
	}
	return inFlight
}
