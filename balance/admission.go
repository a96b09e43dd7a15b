package balance

import "time"

// onRequest accepts a request into the queue, or rejects it.
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
	if b.takeQuota(ev.Tenant) {
		request.overQuota = true
		request.priority *= b.settings.OverQuotaValue
	}
	b.rejections.add(0)
	if ev.ClientRetry && b.settings.MarksRetries && b.rejections.mean(0, 0) > scarcityShare {
		request.priority *= clientRetryPriority
	}
	request.maxAttempts = b.maxAttempts(ev)
	request.retryCost = retryCost(ev)
	request.usefulUntil = request.latestUseful()
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

// takeQuota takes one request from this instance's part of the tenant's quota and reports whether that was used up. Only
// the first tier sees all of a tenant; the others finish what it has accepted.
func (b *Balancer) takeQuota(tenant int) (overQuota bool) {
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

// queueDeadline is the last moment at which a request may be sent and still meet its target. In the first tier, where no
// work is lost yet, it is a part of the target, so that a queue does not use up everyone's time.
func (b *Balancer) queueDeadline(request *requestState) time.Duration {
	until := request.targetAt - b.classLatency(request.class)
	if b.settings.Tier == 0 {
		until = min(until, b.now+time.Duration(maxQueueShare*float64(request.class.TargetLatency)))
	}
	return min(max(until, b.now+b.tickInterval), request.deadline)
}

// rejectsEarly reports whether a request is better rejected before any work is done.
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

// shedsLoad reports whether a request of the first tier is rejected for want of capacity.
func (b *Balancer) shedsLoad(request *requestState) bool {
	queueSeconds := (request.queueUntil - b.now).Seconds()
	switch {
	case request.overQuota && (len(b.queue) > 0 || b.limitUtilisation() > maxOverQuotaUse):
		return true
	case b.limit < smallLimit && b.unusedLimit+b.limit*queueSeconds < b.priorityReserve(request):
		return true
	}
	sendRate := b.sends.n / decaySeconds
	return b.queuedAhead(request) > 1+sendRate*queueSeconds
}

// canFinishInTime reports whether an attempt that is sent now can still end in time, if it is as quick as the quickest
// tenth of its class.
func (b *Balancer) canFinishInTime(request *requestState) bool {
	return b.now+b.detector.FastLatency(request.classIndex) < request.usefulUntil-b.responseMargin()
}

// responseMargin is how long before the client's deadline the final answer goes out.
func (b *Balancer) responseMargin() time.Duration { return b.tickInterval + b.settings.TimeResolution }

// limitUtilisation is the share of the limit that is in use.
func (b *Balancer) limitUtilisation() float64 {
	return float64(b.inFlight) / max(1, b.limit+b.burstAllowance())
}
