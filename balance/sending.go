// Sending: the only place that starts an attempt.

package balance

import (
	"time"

	"pinelb.example/pinelb/balance/warmup"
)

func (b *Balancer) send(request *requestState, endpoint *endpointState) bool {
	if endpoint == nil || !b.canSend(request, endpoint) {
		return false
	}
	if b.isWarmingUp(endpoint) {
		endpoint.warmup.Spend()
	}
	request.attempts = append(request.attempts, attemptState{endpoint: endpoint, sentAt: b.now, open: true, mayHaveRun: true})
	request.openAttempts++
	endpoint.pending = append(endpoint.pending, pendingAttempt{request: request, sentAt: b.now, sentAtRunTime: b.runTime()})
	b.addInFlight(endpoint, request.load())
	b.sends.add(1)
	b.emit(Action{Kind: ActSend, Request: request.id, Endpoint: endpoint.Endpoint, ValueShare: request.valueShare(),
		After: request.deadline - b.now})
	return true
}

// allowed holds every rule that forbids sending this request to this endpoint now.
func (b *Balancer) canSend(request *requestState, endpoint *endpointState) bool {
	switch {
	case request.done || !b.canFinishInTime(request) || len(request.attempts) >= request.maxAttempts:
		return false
	case !endpoint.available: // draining or gone: the grace is not used
		return false
	case request.openAttempts > 0 && (!b.settings.Hedging || request.singleAttempt):
		return false
	case b.isWarmingUp(endpoint) && !endpoint.warmup.Ready(b.now):
		return false
	}
	return request.class.Idempotency == Idempotent || b.idempotencyAllows(request, endpoint)
}

// idempotencyAllows keeps an effect from happening twice.
func (b *Balancer) idempotencyAllows(request *requestState, endpoint *endpointState) bool {
	for attempt := range request.mayHaveRun {
		if !b.withinDedupWindow(request, attempt) || request.class.Scope == ScopeZone && attempt.endpoint.Zone != endpoint.Zone ||
			request.class.Scope == ScopeCell && (attempt.endpoint.Cell != endpoint.Cell || attempt.endpoint.Zone != endpoint.Zone) {
			return false
		}
	}
	return true
}

// repeatable tells whether a repeat of what an attempt may have done will come in time to be dropped.
func (b *Balancer) withinDedupWindow(request *requestState, attempt *attemptState) bool {
	return request.class.Idempotency == IdempotentByKey && b.now < attempt.sentAt+request.class.DedupWindow-b.settings.ConnectTimeout-b.responseMargin()
}

func (b *Balancer) isWarmingUp(endpoint *endpointState) bool {
	return endpoint.StartedAt > 0 && b.now < endpoint.StartedAt+b.settings.WarmupDuration
}

// earnWarmupSends has an answer earn sends to the cold servers like the one that gave it; see package warmup.
func (b *Balancer) earnWarmupSends(from *endpointState) {
	if b.warmupConfig.Share < 1 && b.capacity == float64(len(b.readyEndpoints)) { // none is cold
		return
	}
	all := 0.0 // of those that answer: what is dead or hangs would take a part of the gain away for nothing
	for _, endpoint := range b.endpoints {
		if endpoint.group == from.group && (endpoint == from || b.panicMode || b.healthy(endpoint)) {
			all += b.warmupConfig.Capacity(b.uptime(endpoint))
		}
	}
	for _, endpoint := range b.endpoints {
		if endpoint.available && endpoint.group == from.group && b.isWarmingUp(endpoint) {
			endpoint.warmup.Answered(b.now, warmup.Gain*b.warmupConfig.Capacity(b.uptime(endpoint))/all, b.random.Float64())
		}
	}
}

// age is how long a server has been up; one that says nothing of it has been for long.
func (b *Balancer) uptime(endpoint *endpointState) time.Duration {
	if endpoint.StartedAt == 0 {
		return b.settings.WarmupDuration
	}
	return b.now - endpoint.StartedAt
}
