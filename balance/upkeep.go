// The tick: deadlines, overdue attempts, upkeep.

package balance

import (
	"math"
	"slices"
	"time"
)

func (b *Balancer) onTick() {
	b.emit(Action{Kind: ActTimer, Token: tickToken, After: b.tickInterval})
	for _, endpoint := range b.endpoints {
		if b.isWarmingUp(endpoint) {
			endpoint.warmup.Tick(b.now, b.trickleRate(endpoint), b.random.Float64())
		}
	}
	b.assessPending()
	held := float64(b.inFlight)
	b.limitUse.add(held)
	b.unusedLimit = min(unusedLimitSeconds*b.limit, max(-unusedLimitSeconds*b.limit, b.unusedLimit+(b.limit-held)*b.tickInterval.Seconds()))
	for i := range b.tenants {
		t := &b.tenants[i]
		t.tokens = min(t.tokens+t.rate*b.tickInterval.Seconds(), max(1, t.rate))
	}
	for i := len(b.unanswered) - 1; i >= 0; i-- { // ending one moves only a later one
		b.checkRequest(b.unanswered[i])
	}
	if b.now >= b.nextMaintenance {
		b.nextMaintenance = b.now + maintenanceInterval
		b.maintain()
	}
	b.subscribe()
	b.dispatchQueue()
}

// look ends a request that has run out of time, and sends a copy of one that is overdue; where the copy
// hangs as well, one more in place of the first.
func (b *Balancer) checkRequest(request *requestState) {
	switch {
	case b.now >= request.usefulUntil-b.responseMargin(), request.queued && request.openAttempts == 0 && b.now >= request.queueUntil: // not worth more work
		b.recordAbandoned(request)
		b.finish(request)
		return
	case request.openAttempts == 0 || request.queued || request.class.Idempotency == NonIdempotent || b.now > request.targetAt || !request.lastAttempt().open:
		return
	}
	pending := findPending(request, request.lastAttempt())
	cost := 1 + (hedgeCost-1)*(1-pending.hangProbability) // of what hangs it is a retry, of what is slow more work
	first := slices.IndexFunc(request.attempts, func(a attemptState) bool { return a.open })
	third := first < len(request.attempts)-1
	if b.retryTokens < cost || b.limitUtilisation() >= maxHedgeUse+(1-maxHedgeUse)*pending.hangProbability ||
		!pending.likelyHung() && (third || b.now < pending.sentAt+b.overdueAfter(request.class) || !b.hedgeWorthwhile(request.class)) ||
		third && (!b.settings.Cancel || !findPending(request, &request.attempts[first]).likelyHung()) {
		return
	}
	if endpoint := b.pickEndpoint(request); endpoint != nil {
		if third { // never three at a time
			b.emit(Action{Kind: ActCancel, Request: request.id, Attempt: first})
		}
		b.send(request, endpoint)
		b.retryTokens -= cost
	}
}

// hedgeWorthwhile tells whether a copy of an overdue attempt can still be expected to be in time. Where answers
// take long, being overdue is no sign of a fault, and copies would only make them longer.
func (b *Balancer) hedgeWorthwhile(class *classState) bool {
	return b.rejections.mean(0, 0) <= scarcityShare && // or what it takes is missing elsewhere
		float64(b.overdueAfter(class))+hedgeLatencies*float64(b.classLatency(class)) < float64(class.TargetLatency)
}

// recordAbandoned takes what can be learned from attempts that are out when their time is up. Their age is a
// lower bound, without which the limit would not see that answers are late, unless they are stuck. A server
// that is silent has failed: once withdrawn, the attempt would say nothing, and the next would go that way.
func (b *Balancer) recordAbandoned(request *requestState) {
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.open && !findPending(request, attempt).likelyHung() {
			b.latencyWindow.add(min(1, float64(b.now-attempt.sentAt)/float64(request.class.TargetLatency)))
		}
		endpoint, silent := attempt.endpoint, attempt.open && b.detector.TimeUp(&attempt.endpoint.evidence)
		if attempt.open && b.now >= endpoint.ejectedUntil && (silent || endpoint.halfOpen || !b.healthy(endpoint)) && !b.panicMode {
			b.eject(endpoint)
		}
	}
}

func (b *Balancer) overdueAfter(class *classState) time.Duration {
	return time.Duration(overdueFactor * float64(b.classLatency(class)))
}

// maintain ages what was learned, adapts limits, and solves when something has shifted.
func (b *Balancer) maintain() {
	keep := math.Exp(-maintenanceInterval.Seconds() / decaySeconds)
	b.detector.Age(maintenanceInterval.Seconds())
	b.sends.decay(keep)
	b.responses.decay(keep)
	b.rejections.decay(keep)
	b.scaleLimitToCapacity()
	b.updateClassWeights()
	b.adaptLimit()
	for _, class := range b.classes {
		class.latency.decay(math.Sqrt(math.Sqrt(keep))) // classes differ for long, servers for moments
	}
	for _, endpoint := range b.endpoints {
		endpoint.latency.decay(keep)
		endpoint.evidence.Age(maintenanceInterval.Seconds())
	}
	for _, g := range b.groups {
		g.latency.decay(keep)
	}
	b.updatePanicMode()
	if b.now >= b.nextBinRefresh {
		b.nextBinRefresh = b.now + binRefreshInterval
		b.refreshBins()
	}
	if b.now >= b.solvedAt+minSolveInterval && (b.solveNeeded || b.inputsShifted()) {
		b.solve()
	}
}
