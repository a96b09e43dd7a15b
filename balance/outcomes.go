package balance

import (
	"slices"
	"time"
)

// onOutcome records the outcome of an attempt and completes, retries or finishes its request.
func (b *Balancer) onOutcome(ev *Event) {
	request := b.requests[ev.Request]
	if request == nil || ev.Attempt >= len(request.attempts) || !request.attempts[ev.Attempt].open {
		return
	}
	attempt := &request.attempts[ev.Attempt]
	attempt.open = false
	attempt.mayHaveRun = ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent
	request.openAttempts--
	request.retriedBelow = request.retriedBelow || ev.RetriedBelow
	b.recordOutcome(b.removePending(request, attempt, ev.Status), attempt.endpoint, ev)
	switch {
	case request.done:
		b.release(request)
	case ev.Closed:
		b.complete(request)
	case request.openAttempts == 0 && !request.queued:
		b.retryOrFinish(request, attempt.mayHaveRun)
	}
	b.dispatchQueue()
}

// retryOrFinish queues a request whose attempts have all failed for a retry if the retry budget, its remaining time and
// its idempotency allow one, and finishes it otherwise.
func (b *Balancer) retryOrFinish(request *requestState, mayHaveRun bool) {
	cost := request.retryCost
	if !mayHaveRun {
		cost *= rejectedRetryCost
	}
	if request.retriedBelow || b.retryTokens < cost || b.now > request.targetAt ||
		!slices.ContainsFunc(b.endpoints, func(endpoint *endpointState) bool { return b.eligible(request, endpoint) }) {
		b.finish(request)
		return
	}
	b.retryTokens -= cost
	b.enqueue(request)
}

// onFirstByte completes a request whose answer has begun to stream to the client: its deadline no longer applies, and
// its other attempts are cancelled.
func (b *Balancer) onFirstByte(ev *Event) {
	request := b.requests[ev.Request]
	if request != nil && ev.Attempt < len(request.attempts) && !request.done {
		request.attempts[ev.Attempt].streamed = true
		b.complete(request)
	}
}

// onClientDisconnected completes a request whose client has disconnected.
func (b *Balancer) onClientDisconnected(ev *Event) {
	if request := b.requests[ev.Request]; request != nil && !request.done {
		b.complete(request)
	}
}

// finish completes a request that gets no answer from an endpoint, unless it is done already. Its final answer is
// "rejected" if the client may safely retry, and "failed" otherwise.
func (b *Balancer) finish(request *requestState) {
	if request.done {
		return
	}
	if b.canReject(request) {
		b.emit(Action{Kind: ActReject, Request: request.id, After: b.retryAfter(request)})
		b.rejections.sum++
	} else {
		b.emit(Action{Kind: ActFail, Request: request.id})
	}
	b.complete(request)
}

// canReject reports whether the client may safely retry the request, without the risk of a second effect.
func (b *Balancer) canReject(request *requestState) bool {
	class := request.class
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey && class.Scope == ScopeAll {
		return !request.hasEarlierAttempt || b.withinDedupWindow(request, &request.earlierAttempt)
	}
	for range request.mayHaveRun { // a single attempt that may have run is enough
		return false
	}
	return true
}

// retryAfter is the delay after which a rejected client should retry; 0 is no hint. It grows with the fraction of
// requests that are rejected, and has jitter so that clients that are rejected together don't all retry at the same
// time.
func (b *Balancer) retryAfter(request *requestState) time.Duration {
	target := request.class.TargetLatency
	switch {
	case !b.settings.RetryAfter:
		return 0
	case request.overQuota:
		return b.settings.MaxRetryAfter
	case len(b.readyEndpoints) == 0 && b.listExpectedAt > b.now: // no endpoint is available before the next poll
		return min(b.settings.MaxRetryAfter, b.listExpectedAt-b.now+b.jitter(target/4))
	}
	scarcity := 1 / (1 - min(maxScarcity, b.rejections.mean(0, 0)))
	return min(b.settings.MaxRetryAfter, time.Duration(scarcity*(0.5+b.random.Float64())*float64(target)/4))
}

// complete marks a request as done: it is answered, or its client has left. Where the settings allow it, its open
// attempts are cancelled, except one whose answer is being streamed. The request is deleted when its attempts have ended.
func (b *Balancer) complete(request *requestState) {
	request.done = true
	b.removeUnanswered(request)
	for i := range request.attempts {
		if request.attempts[i].open && !request.attempts[i].streamed && b.settings.Cancel {
			b.emit(Action{Kind: ActCancel, Request: request.id, Attempt: i})
		}
	}
	b.release(request)
}
