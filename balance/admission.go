package balance

import "time"

// onRequest accepts a request into the queue or rejects it.
func (b *Balancer) onRequest(ev *Event) {
	classIndex := min(ev.Class, len(b.classes)-1)
	class := b.classes[classIndex]
	request := &requestState{
		id:              ev.Request,
		class:           class,
		classIndex:      classIndex,
		deadline:        b.now + ev.Remaining,
		targetAt:        b.now + class.TargetLatency - b.timeSpent(class, ev),
		priority:        class.priority * valueShare(ev),
		unansweredIndex: len(b.unanswered),
	}
	if b.consumeQuota(ev.Tenant) {
		request.overQuota = true
		request.priority *= b.settings.OverQuotaValue
	}
	b.rejections.add(0)
	if ev.ClientRetry && b.settings.MarksRetries && b.rejections.mean(0, 0) > scarcityShare {
		request.priority *= clientRetryPriority
	}
	request.maxAttempts = b.maxAttempts(ev)
	request.retryCost = retryCost(ev)
	request.usefulUntil = request.usefulDeadline()
	request.queueUntil = b.queueDeadline(request)
	if ev.Uploading {
		request.beginUpload(b.now)
	}
	b.setEarlierAttempt(request, ev)
	b.requests[request.id] = request
	b.unanswered = append(b.unanswered, request)
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerRequest)
	b.bins[b.binOf(request)].arrivals++
	if b.rejectsEarly(request) {
		b.finish(request)
		return
	}
	b.enqueue(request)
	b.dispatchQueue()
}

// consumeQuota takes one token from this instance's share of the tenant's quota and reports overQuota if no token was
// available. Only the first tier enforces quotas: it alone sees all requests of a tenant, and inner tiers finish the
// requests that it has accepted.
func (b *Balancer) consumeQuota(tenant int) (overQuota bool) {
	if b.settings.Tier > 0 || tenant >= len(b.tenants) || b.tenants[tenant].rate <= 0 {
		return false
	}
	bucket := &b.tenants[tenant]
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// queueDeadline is the latest time at which a queued request can be sent and still meet its target latency. In the
// first tier, where a rejection wastes no work, requests are queued for at most maxQueueShare of the target latency: a
// longer queue would use up the time of every request in it.
func (b *Balancer) queueDeadline(request *requestState) time.Duration {
	until := request.targetAt - b.classLatency(request.class)
	if b.settings.Tier == 0 {
		until = min(until, b.now+time.Duration(maxQueueShare*float64(request.class.TargetLatency)))
	}
	return min(max(until, b.now+b.tickInterval), request.deadline)
}

// rejectsEarly reports whether a request is rejected on arrival, before any work is done for it.
func (b *Balancer) rejectsEarly(request *requestState) bool {
	noEndpointInTime := len(b.readyEndpoints) == 0 && b.listExpectedAt > request.queueUntil
	switch {
	case noEndpointInTime, request.maxAttempts < 1, !b.canFinishInTime(request):
		return true
	case request.hasEarlierAttempt && !b.withinDedupWindow(request, &request.earlierAttempt):
		return true
	case b.settings.Tier > 0:
		return false
	}
	return b.shedsLoad(request)
}

// shedsLoad reports whether the first tier rejects a request for lack of capacity.
func (b *Balancer) shedsLoad(request *requestState) bool {
	queueSeconds := (request.queueUntil - b.now).Seconds()
	switch {
	case request.overQuota && (len(b.queue) > 0 || b.limitUtilisation() > maxOverQuotaUse):
		return true
	case b.limit < smallLimit && b.limitCredit+b.limit*queueSeconds < b.priorityReserve(request):
		return true
	}
	sendRate := b.sends.n / decaySeconds
	return b.queuedAhead(request) > 1+sendRate*queueSeconds
}

// canFinishInTime reports whether an attempt that is sent now would still finish in time with the latency of the fastest
// tenth of its class.
func (b *Balancer) canFinishInTime(request *requestState) bool {
	return b.now+b.detector.FastLatency(request.classIndex) < request.usefulUntil-b.responseMargin()
}

// responseMargin is the time between the final answer and the client's deadline.
func (b *Balancer) responseMargin() time.Duration { return b.tickInterval + b.settings.TimeResolution }

// limitUtilisation is the fraction of the concurrency limit, with its burst allowance, that is in use.
func (b *Balancer) limitUtilisation() float64 {
	return float64(b.inFlight) / max(1, b.limit+b.burstAllowance())
}
