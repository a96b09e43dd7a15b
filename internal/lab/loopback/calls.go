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

// callNext makes a visit's call of the next tier, through the sidecar beside the box. The lock is held.
func (b *box) callNext(v *visit, call int) {
	q, able := b.query(v, call)
	ctx, stop := context.WithCancel(b.ctx)
	v.stop = stop
	b.working.Go(func() {
		defer stop()
		ok, tried := false, budget.Tried{}
		if able {
			b.run.tiers[q.try.Tier].call(q.try.TransactionID, v.request)
			try := b.send(ctx, q)
			b.run.trace.try(try)
			ok, tried = try.Status == trace.StatusServed, try.ReportedAttempts
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.closed {
			b.sum(v, call, tried)
			b.model.Returned(b.run.now(), v.job, ok)
			b.carryOut()
		}
	})
}

// query is a call as it is sent; false says that there is no time left for it, or nowhere to send it.
func (b *box) query(v *visit, call int) (query, bool) {
	p, now := b.run.plan, b.run.now()
	r := &p.Requests[v.request]
	left := p.Scenario.Class[r.Class].Deadline.D()
	if p.Scenario.Rules.PassesDeadline && v.left > 0 {
		left = v.left - (now - v.LastByte)
	} else if p.Scenario.Rules.PassesDeadline {
		left -= now - v.LastByte
	}
	direct := -1
	if b.run.rotation != nil {
		if direct = b.run.rotation.next(b.run.plan.Scenario.Next(b.plan.Tier)); direct < 0 {
			return query{}, false
		}
	}
	baggage := ""
	if b.carries() {
		baggage = v.baggage
	}
	return query{direct: direct, left: left, baggage: baggage, leaves: model.Never, key: r.Key, try: trace.ClientAttempt{
		TransactionID: p.CallTxn(v.TransactionID, b.index, v.number, call), Parent: v.TransactionID, Request: v.request, Tier: p.Scenario.Next(b.plan.Tier),
		Sidecar: slices.IndexFunc(p.Sidecars, func(s plan.Sidecar) bool { return s.Box == b.index }),
		Class:   r.Class, Due: now, Ended: trace.Unset, Endpoint: -1}}, left >= time.Millisecond
}

// sum adds to what a visit's calls have said, as a box does that passes on what it does not know.
func (b *box) sum(v *visit, call int, t budget.Tried) {
	if call > 0 {
		t = v.tried.And(t)
	}
	if b.carries() {
		v.tried = t
	}
}

// carries tells whether the box passes on what it does not know.
func (b *box) carries() bool { return b.run.plan.Scenario.Tier[b.plan.Tier].Carry == "all" }

// call notes the id of a call to the tier.
func (t *tier) call(txn uint64, request int) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	t.calls[txn] = request
}

// called is the request that a call with this id is for.
func (t *tier) called(txn uint64) (request int, made bool) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	request, made = t.calls[txn]
	return request, made
}
