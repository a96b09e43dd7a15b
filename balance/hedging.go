package balance

import "slices"

// checkRequest finishes a request that has run out of time or was queued for too long. Otherwise it hedges the request if
// its attempt is overdue.
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

// hedge sends a second attempt of a request if its only open one is overdue or likely hangs (a hedged request; Dean and
// Barroso, The Tail at Scale, 2013). If two attempts are open and both likely hang, it cancels the older one,
// where the settings allow that, and sends another.
func (b *Balancer) hedge(request *requestState) {
	if request.openAttempts == 0 || request.queued || request.class.Idempotency == NonIdempotent || b.now > request.targetAt ||
		!request.lastAttempt().open {
		return
	}
	last := findPending(request, request.lastAttempt())
	// A hedge of an attempt that surely hangs costs 1, as a retry does. If the attempt is only slow, the hedge adds work
	// and costs up to hedgeCost.
	cost := 1 + (hedgeCost-1)*(1-last.hangProbability)
	firstOpen := slices.IndexFunc(request.attempts, func(attempt attemptState) bool { return attempt.open })
	// An attempt before the last is open as well: without a cancellation, the hedge would be the third open attempt.
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
	if third { // at most two attempts are open at a time
		b.emit(Action{Kind: ActCancel, Request: request.id, Attempt: firstOpen})
	}
	b.send(request, endpoint)
	b.retryTokens -= cost
}

// hedgeWorthwhile reports whether a hedge of an overdue attempt is likely to be answered in time and takes no capacity
// from other requests. Where all latencies are high, an overdue attempt is no sign of a fault, and hedges would only
// make answers slower. Where requests are being rejected, a hedge would take the capacity of another request.
func (b *Balancer) hedgeWorthwhile(class *classState) bool {
	return b.rejections.mean(0, 0) <= scarcityShare &&
		float64(b.overdueAfter(class))+hedgeLatencies*float64(b.classLatency(class)) < float64(class.TargetLatency)
}

// recordAbandoned learns from the attempts that are open when their request runs out of time. The age of an attempt
// that does not hang is a lower bound of its latency; without it adaptLimit would not see late answers. An unresponsive
// endpoint is ejected here, because the next attempt would fail the same way, and because recordOutcome ejects no
// endpoint for a cancelled attempt: it only counts the attempt as a failure by its probability of hanging.
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
