package balance

import (
	"slices"
	"time"
)

// pendingAttempt is an open attempt in the list of its endpoint.
type pendingAttempt struct {
	request         *requestState
	sentAt          time.Duration
	sentAtRunTime   time.Duration // sentAt by Balancer.runTime
	overtakenBy     int           // number of answers of the endpoint to attempts that were sent later
	hangProbability float64       // probability at the last assessment that the attempt will never be answered
}

// likelyHung reports whether the attempt hangs with a probability above one half. Such an attempt is no sign of
// congestion and doesn't count against the limit.
func (p *pendingAttempt) likelyHung() bool { return p.hangProbability > 0.5 }

// pendingIndex returns the index of a request's open attempt in its endpoint's pending list.
func pendingIndex(request *requestState, attempt *attemptState) int {
	return slices.IndexFunc(attempt.endpoint.pending, func(pending pendingAttempt) bool {
		return pending.request == request && pending.sentAt == attempt.sentAt
	})
}

// findPending returns the entry of a request's open attempt in its endpoint's pending list.
func findPending(request *requestState, attempt *attemptState) *pendingAttempt {
	return &attempt.endpoint.pending[pendingIndex(request, attempt)]
}

// addPending records that an attempt is sent now.
func (b *Balancer) addPending(request *requestState, endpoint *endpointState) {
	endpoint.pending = append(endpoint.pending, pendingAttempt{request: request, sentAt: b.now, sentAtRunTime: b.runTime()})
	b.addInFlight(endpoint, request.load())
}

// restartPending resets the time of sending of an attempt to now, when the upload of its request has completed.
func (b *Balancer) restartPending(request *requestState, attempt *attemptState) {
	endpoint := attempt.endpoint
	i := pendingIndex(request, attempt)
	pending := endpoint.pending[i]
	attempt.sentAt = b.now
	pending.sentAt = b.now
	pending.sentAtRunTime = b.runTime()
	endpoint.pending = append(slices.Delete(endpoint.pending, i, i+1), pending) // keeps the order of sending
	b.addInFlight(endpoint, 1)
}

// removePending removes an attempt that has ended and returns it. A served attempt has overtaken the pending ones that
// were sent before it. An attempt that was sent and not cancelled by this instance counts as a sign that the endpoint
// is alive.
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
	if request.uploading { // the attempt's time has not started: the endpoint has not received the whole request
		ended.sentAt = b.now
	}
	if !ended.likelyHung() {
		b.addInFlight(endpoint, -request.load())
	}
	if served && endpoint.unhealthy && b.now >= endpoint.ejectedUntil { // the endpoint has recovered
		endpoint.unhealthy = false
		b.inFlight += endpoint.inFlight
	}
	return ended
}

// runTime is the time now without the pauses in which this process was not scheduled. Pending attempts and unresponsive
// endpoints are assessed by it, because the process could not receive answers during a pause.
func (b *Balancer) runTime() time.Duration { return b.now - b.pausedTime }

// addInFlight adds n, which may be negative, to the number of requests in flight at an endpoint.
func (b *Balancer) addInFlight(endpoint *endpointState, n int) {
	endpoint.inFlight += n
	if !endpoint.unhealthy {
		b.inFlight += n
	}
}

// assessPending assesses all pending attempts and the health of their endpoints.
func (b *Balancer) assessPending() {
	if late := b.now - b.nextTick; b.nextTick > 0 && late > pauseTicks*b.tickInterval {
		b.pausedTime += late // this process was not scheduled: the pause does not count as latency of pending attempts
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

// assessEndpoint estimates each pending attempt's probability of hanging, and returns the number of attempts that
// likely don't hang. An attempt that is pending for longer than the endpoint's mean latency is evidence of a higher
// latency.
func (b *Balancer) assessEndpoint(endpoint *endpointState) (inFlight int) {
	groupLatency := b.groupLatency(endpoint)
	meanLatency := endpoint.latency.mean(groupLatency, priorSamples)
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
