package balance

// send starts an attempt if the rules allow it, and reports whether it did. No other function starts attempts.
func (b *Balancer) send(request *requestState, endpoint *endpointState) bool {
	if endpoint == nil || !b.canSend(request, endpoint) {
		return false
	}
	if b.isWarmingUp(endpoint) {
		endpoint.warmup.Spend()
	}
	request.attempts = append(request.attempts, attemptState{endpoint: endpoint, sentAt: b.now, open: true, mayHaveRun: true})
	request.openAttempts++
	b.addPending(request, endpoint)
	b.sends.add(1)
	b.emit(Action{Kind: ActSend, Request: request.id, Endpoint: endpoint.Endpoint, ValueShare: request.valueShare(),
		After: request.deadline - b.now})
	return true
}

// canSend reports whether the rules allow an attempt of this request at this endpoint now.
func (b *Balancer) canSend(request *requestState, endpoint *endpointState) bool {
	switch {
	case request.done || !b.canFinishInTime(request) || len(request.attempts) >= request.maxAttempts:
		return false
	case !endpoint.available: // draining or removed; the grace period of a draining endpoint is not used
		return false
	case request.openAttempts > 0 && (!b.settings.Hedging || request.singleAttempt):
		return false
	case b.isWarmingUp(endpoint) && !endpoint.warmup.CanSend(b.now):
		return false
	}
	return request.class.Idempotency == Idempotent || b.idempotencyAllows(request, endpoint)
}

// idempotencyAllows reports whether an attempt at this endpoint cannot cause a second effect.
func (b *Balancer) idempotencyAllows(request *requestState, endpoint *endpointState) bool {
	for earlier := range request.mayHaveRun {
		if !b.withinDedupWindow(request, earlier) || !sameScope(request.class.Scope, earlier.endpoint, endpoint) {
			return false
		}
	}
	return true
}

// sameScope reports whether each of two endpoints recognises duplicates of requests that the other has run.
func sameScope(scope Scope, x, y *endpointState) bool {
	switch scope {
	case ScopeZone:
		return x.Zone == y.Zone
	case ScopeCell:
		return x.Cell == y.Cell && x.Zone == y.Zone
	default:
		return true
	}
}

// withinDedupWindow reports whether a request that is sent now would arrive while the endpoints still recognise it as a
// duplicate of an earlier attempt.
func (b *Balancer) withinDedupWindow(request *requestState, earlier *attemptState) bool {
	return request.class.Idempotency == IdempotentByKey &&
		b.now < earlier.sentAt+request.class.DedupWindow-b.settings.ConnectTimeout-b.responseMargin()
}
