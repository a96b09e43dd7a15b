package loopback

import (
	"context"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// callNextTier makes a visit's call of the next tier, through the sidecar beside the box. The lock is held.
func (b *endpoint) callNextTier(v *endpointRequest, call int) {
	q, able := b.nextTierRequest(v, call)
	ctx, stop := context.WithCancel(b.ctx)
	v.cancelCall = stop
	b.goroutines.Go(func() {
		defer stop()
		ok, tried := false, budget.Tried{}
		if able {
			b.run.tiers[q.attempt.Tier].addCall(q.attempt.TransactionID, v.request)
			try := b.send(ctx, q)
			b.run.recorder.addClientAttempt(try)
			ok, tried = try.Status == trace.StatusServed, try.ReportedAttempts
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.closed {
			b.addReported(v, call, tried)
			b.model.Returned(b.run.elapsed(), v.jobID, ok)
			b.advance()
		}
	})
}

// query is a call as it is sent; false says that there is no time left for it, or nowhere to send it.
func (b *endpoint) nextTierRequest(v *endpointRequest, call int) (clientRequest, bool) {
	p, now := b.run.plan, b.run.elapsed()
	r := &p.Requests[v.request]
	left := p.Scenario.Class[r.Class].Deadline.D()
	if p.Scenario.Rules.PassesDeadline && v.timeout > 0 {
		left = v.timeout - (now - v.LastByte)
	} else if p.Scenario.Rules.PassesDeadline {
		left -= now - v.LastByte
	}
	direct := -1
	if b.run.roundRobin != nil {
		if direct = b.run.roundRobin.next(b.run.plan.Scenario.Next(b.plan.Tier)); direct < 0 {
			return clientRequest{}, false
		}
	}
	baggage := ""
	if b.propagatesContext() {
		baggage = v.baggage
	}
	return clientRequest{directEndpoint: direct, timeout: left, baggage: baggage, cancelAt: model.Never, idempotencyKey: r.Key, attempt: trace.ClientAttempt{
		TransactionID: p.CallTxn(v.TransactionID, b.index, v.number, call), Parent: v.TransactionID, Request: v.request, Tier: p.Scenario.Next(b.plan.Tier),
		Sidecar: slices.IndexFunc(p.Sidecars, func(s plan.Sidecar) bool { return s.Box == b.index }),
		Class:   r.Class, Due: now, Ended: trace.Unset, Endpoint: -1}}, left >= time.Millisecond
}

// sum adds to what a visit's calls have said, as a box does that passes on what it does not know.
func (b *endpoint) addReported(v *endpointRequest, call int, t budget.Tried) {
	if call > 0 {
		t = v.reportedAttempts.And(t)
	}
	if b.propagatesContext() {
		v.reportedAttempts = t
	}
}

// carries tells whether the box passes on what it does not know.
func (b *endpoint) propagatesContext() bool {
	return b.run.plan.Scenario.Tier[b.plan.Tier].Carry == "all"
}

// call notes the id of a call to the tier.
func (t *tier) addCall(txn uint64, request int) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	t.calls[txn] = request
}

// called is the request that a call with this id is for.
func (t *tier) requestOf(txn uint64) (request int, made bool) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	request, made = t.calls[txn]
	return request, made
}
