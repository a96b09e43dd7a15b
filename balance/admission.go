// Arrival: which requests are taken, held or turned away.

package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (b *Balancer) onRequest(ev *Event) {
	classIndex := min(ev.Class, len(b.classes)-1)
	class := b.classes[classIndex]
	request := &requestState{id: ev.Request, class: class, classIndex: classIndex, deadline: b.now + ev.Remaining,
		targetAt: b.now + class.TargetLatency - b.timeSpent(class, ev), priority: class.priority * valueShare(ev), unansweredIndex: len(b.unanswered)}
	if request.overQuota = b.takeQuota(ev.Tenant); request.overQuota {
		request.priority *= b.settings.OverQuotaValue
	}
	b.rejections.add(0)
	if ev.ClientRetry && b.settings.MarksRetries && b.rejections.mean(0, 0) > scarcityShare {
		request.priority *= clientRetryPriority
	}
	request.maxAttempts, request.retryCost, request.usefulUntil, request.queueUntil = b.maxAttempts(ev), retryCost(ev), request.latestUseful(), b.queueDeadline(request)
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

// rank is the class's worth per work, where worth is not counted by work already, in powers of two: a
// finer order would starve a class for a difference that is mostly noise.
func (b *Balancer) classPriority(class *classState) float64 {
	worth := class.Value
	if !b.settings.ValueByWork {
		worth /= class.latencyFactor
	}
	return math.Exp2(math.Round(math.Log2(max(worth, 1e-6))))
}

// takeQuota takes one request from this instance's part of the tenant's quota and tells whether that
// was used up. Only the first tier sees all of a tenant; the others finish what it has let in.
func (b *Balancer) takeQuota(tenant int) bool {
	if b.settings.Tier > 0 || tenant >= len(b.tenants) || b.tenants[tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[tenant]
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// queueDeadline is the last moment at which sending can still meet the aim; in the first tier, where nothing
// is sunk yet, it is a part of the aim, so that a line does not eat everyone's time.
func (b *Balancer) queueDeadline(request *requestState) time.Duration {
	till := request.targetAt - b.classLatency(request.class)
	if b.settings.Tier == 0 {
		till = min(till, b.now+time.Duration(maxQueueShare*float64(request.class.TargetLatency)))
	}
	return min(max(till, b.now+b.tickInterval), request.deadline)
}

// rejectsEarly tells whether a request is better turned away before any work is done.
func (b *Balancer) rejectsEarly(request *requestState) bool {
	blind := len(b.readyEndpoints) == 0 && b.listExpectedAt > request.queueUntil // there is nobody, and will be nobody in time
	if blind || request.maxAttempts < 1 || !b.canFinishInTime(request) || request.hasEarlierAttempt && !b.withinDedupWindow(request, &request.earlierAttempt) {
		return true
	}
	return b.settings.Tier == 0 && (request.overQuota && (len(b.queue) > 0 || b.limitUtilisation() > maxOverQuotaUse) ||
		b.limit < smallLimit && b.unusedLimit+b.limit*(request.queueUntil-b.now).Seconds() < b.priorityReserve(request) ||
		b.queuedAhead(request) > 1+b.sends.n/decaySeconds*(request.queueUntil-b.now).Seconds())
}

// canFinishInTime tells whether an attempt that is sent now can still end in time, if it is as quick as the quickest
// tenth of its class.
func (b *Balancer) canFinishInTime(request *requestState) bool {
	return b.now+b.detector.Quick(request.classIndex) < request.usefulUntil-b.responseMargin()
}

// margin is how long before the client's deadline the final answer goes out.
func (b *Balancer) responseMargin() time.Duration { return b.tickInterval + b.settings.TimeResolution }

// limitUtilisation is the part of the limit that is in use.
func (b *Balancer) limitUtilisation() float64 {
	return float64(b.inFlight) / max(1, b.limit+b.burstAllowance())
}

// hold puts a request in line: the more valuable first, then the one whose aim comes first.
func (b *Balancer) enqueue(request *requestState) {
	request.queued = true
	at, _ := slices.BinarySearchFunc(b.queue, request, func(w, request *requestState) int {
		return cmp.Or(cmp.Compare(request.priority, w.priority), cmp.Compare(w.targetAt, request.targetAt+1))
	})
	b.queue = slices.Insert(b.queue, at, request)
}

// drain sends what is held, best first. What one fresh request cannot find, no other can; a retry may.
func (b *Balancer) dispatchQueue() {
	blocked := false
	for i := 0; i < len(b.queue); {
		request := b.queue[i]
		fresh := len(request.attempts) == 0
		if fresh && blocked || !b.send(request, b.pickEndpoint(request)) {
			blocked = blocked || fresh
			i++
			continue
		}
		request.queued = false
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}
