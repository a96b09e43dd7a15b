// Outcomes of attempts, and the only place that answers a request and lets go of it.

package balance

import (
	"slices"
	"time"
)

func (b *Balancer) onOutcome(ev *Event) {
	request := b.requests[ev.Request]
	if request == nil || ev.Attempt >= len(request.attempts) || !request.attempts[ev.Attempt].open {
		return
	}
	attempt := &request.attempts[ev.Attempt]
	attempt.open, attempt.mayHaveRun = false, ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent
	request.openAttempts, request.retriedBelow = request.openAttempts-1, request.retriedBelow || ev.RetriedBelow
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

// again decides whether a request whose attempts have all failed gets another.
func (b *Balancer) retryOrFinish(request *requestState, mayHave bool) {
	cost := request.retryCost // of one more
	if !mayHave {
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

func (b *Balancer) onFirstByte(ev *Event) {
	if request := b.requests[ev.Request]; request != nil && ev.Attempt < len(request.attempts) && !request.done {
		request.attempts[ev.Attempt].streamed = true
		b.complete(request) // the stream is the client's: no deadline runs, and no other copy is wanted
	}
}

// finish gives the final answer: refused where a client's retry is harmless, failed otherwise.
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

func (b *Balancer) canReject(request *requestState) bool {
	if request.class.Idempotency == Idempotent || (request.class.Idempotency == IdempotentByKey && request.class.Scope == ScopeAll) {
		return !request.hasEarlierAttempt || b.withinDedupWindow(request, &request.earlierAttempt)
	}
	for range request.mayHaveRun {
		return false
	}
	return true
}

// retryAfter is when a refused client should come back: the later the more is refused now, and spread, or
// those that were turned away together would come back together.
func (b *Balancer) retryAfter(request *requestState) time.Duration {
	switch {
	case !b.settings.RetryAfter:
		return 0
	case request.overQuota:
		return b.settings.MaxRetryAfter
	case len(b.readyEndpoints) == 0 && b.listExpectedAt > b.now: // there is nobody to send to before that
		return min(b.settings.MaxRetryAfter, b.listExpectedAt-b.now+b.jitter(request.class.TargetLatency/4))
	}
	short := 1 / (1 - min(maxScarcity, b.rejections.mean(0, 0)))
	return min(b.settings.MaxRetryAfter, time.Duration(short*(0.5+b.random.Float64())*float64(request.class.TargetLatency)/4))
}

// end marks a request as answered, withdraws what it still has out and lets go of it.
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
