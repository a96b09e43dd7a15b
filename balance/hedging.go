package balance

import "slices"

// checkRequest finishes a request that has run out of time, or hedges one that is overdue.
func (b *Balancer) checkRequest(request *requestState) {
	outOfTime := b.now >= request.usefulUntil-b.responseMargin()
	queuedTooLong := request.queued && request.openAttempts == 0 && b.now >= request.queueUntil
	if outOfTime || queuedTooLong {
		b.recordAbandoned(request)
		b.finish(request)
		return
	}
	b.hedge(request)
}

// hedge sends a second attempt at a request whose attempt is overdue or likely hangs (a hedged request; Dean and Barroso,
// The Tail at Scale, 2013). Where the second one likely hangs as well, a third takes the place of the first.
func (b *Balancer) hedge(request *requestState) {
	if request.openAttempts == 0 || request.queued || request.class.Idempotency == NonIdempotent || b.now > request.targetAt ||
		!request.lastAttempt().open {
		return
	}
	last := findPending(request, request.lastAttempt())
	cost := 1 + (hedgeCost-1)*(1-last.hangProbability) // of an attempt that hangs it is a retry, of a slow one more work
	firstOpen := slices.IndexFunc(request.attempts, func(attempt attemptState) bool { return attempt.open })
	third := firstOpen < len(request.attempts)-1
	switch {
	case b.retryTokens < cost:
		return
	case b.limitUtilisation() >= maxHedgeUse+(1-maxHedgeUse)*last.hangProbability:
		return
	case !last.likelyHung() && (third || b.now < last.sentAt+b.overdueAfter(request.class) || !b.hedgeWorthwhile(request.class)):
		return
	case third && (!b.settings.Cancel || !findPending(request, &request.attempts[firstOpen]).likelyHung()):
		return
	}
	endpoint := b.pickEndpoint(request)
	if endpoint == nil {
		return
	}
	if third { // never three at a time
		b.emit(Action{Kind: ActCancel, Request: request.id, Attempt: firstOpen})
	}
	b.send(request, endpoint)
	b.retryTokens -= cost
}

// hedgeWorthwhile reports whether a hedge of an overdue attempt is still likely to be in time. Where answers take long, being
// overdue is no sign of a fault, and hedges would only make answers slower; where requests are rejected, what a hedge takes
// is missing elsewhere.
func (b *Balancer) hedgeWorthwhile(class *classState) bool {
	return b.rejections.mean(0, 0) <= scarcityShare &&
		float64(b.overdueAfter(class))+hedgeLatencies*float64(b.classLatency(class)) < float64(class.TargetLatency)
}

// recordAbandoned learns from attempts that are open when their request runs out of time. Their age is a lower bound of their
// latency, without which the limit would not see that answers are late, unless they hang. An unresponsive endpoint has
// failed: a cancelled attempt would show nothing, and the next one would go the same way.
func (b *Balancer) recordAbandoned(request *requestState) {
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.open {
			continue
		}
		endpoint := attempt.endpoint
		if !findPending(request, attempt).likelyHung() {
			b.latencyWindow.add(min(1, float64(b.now-attempt.sentAt)/float64(request.class.TargetLatency)))
		}
		unresponsive := b.detector.RecordTimeout(&endpoint.evidence)
		if b.now >= endpoint.ejectedUntil && (unresponsive || endpoint.halfOpen || !b.healthy(endpoint)) && !b.panicMode {
			b.eject(endpoint)
		}
	}
}
