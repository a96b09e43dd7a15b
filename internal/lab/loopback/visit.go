package loopback

import (
	"context"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// visit is one attempt at a box, from its last byte on.
type visit struct {
	trace.EndpointRequest
	job       uint64
	request   int
	number    int           // of that id at that box
	left      time.Duration // how long its sender waits, from Arrived
	last      bool          // its connection ends with the answer
	mark      mark
	segments  []time.Duration
	peer      *peer
	withdrawn bool
	baggage   string
	tried     budget.Tried       // what its calls have said of attempts that they took
	stop      context.CancelFunc // of the call that is out; nil if none is
}

// drop ends a call that nobody needs any more.
func (v *visit) drop() {
	if v.stop != nil {
		v.stop()
	}
}

// arrive is a request's last byte. It returns false if nothing is to be read from its connection any more.
func (b *box) arrive(p *peer, a *ask, begun time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.carryOut()
	now := b.run.now()
	if p.frozen || p.ended || b.model.Phase(now) != model.Up {
		return false
	}
	p.busy = true
	switch {
	case a.probe:
		b.probed(p, a, now)
	case !a.named:
		p.out <- output{what: replyUnknown, to: a.mark, last: a.last}
	case !b.made(a):
		b.run.trace.visit(trace.EndpointRequest{Endpoint: b.index, ConnectionID: p.id, FirstByte: begun, LastByte: now, Started: trace.Unset,
			Ended: now, Outcome: trace.OutcomeError, IdempotencyKey: a.key})
		p.out <- output{what: replyFaulty, to: a.mark, last: a.last}
	default:
		b.take(p, a, begun, now)
	}
	return true
}

// probed answers whether the box is well; one that hangs does not.
func (b *box) probed(p *peer, a *ask, now time.Duration) {
	what := replyServed
	if !b.run.plan.Scenario.Rules.Probes {
		what = replyUnknown
	} else if b.model.Load(now).Capacity == 0 {
		return
	}
	p.out <- output{what: what, to: a.mark, last: a.last}
}

// made says whether a caller made a request in just this form.
func (b *box) made(a *ask) bool {
	if a.request < 0 {
		return false
	}
	r := &b.run.plan.Requests[a.request]
	if a.key != r.Key {
		return false
	}
	if b.plan.Tier > 0 {
		request, made := b.tier.called(a.txn)
		return made && request == a.request
	}
	for try := range r.Retries + 1 {
		if a.txn == b.run.plan.Txn(a.request, try) {
			return true
		}
	}
	return false
}

// take gives a request to the model.
func (b *box) take(p *peer, a *ask, begun, now time.Duration) {
	b.numbers++
	v := &visit{job: b.numbers, request: a.request, number: b.visits[a.txn], left: a.left, last: a.last, mark: a.mark, peer: p, baggage: a.baggage,
		EndpointRequest: trace.EndpointRequest{TransactionID: a.txn, Endpoint: b.index, ConnectionID: p.id, FirstByte: begun, LastByte: now, Started: trace.Unset,
			Ended: trace.Unset, IdempotencyKey: a.key}}
	b.visits[a.txn]++
	v.segments = b.run.plan.Segments(nil, a.request, a.txn, b.index, v.number)
	b.jobs[v.job] = v
	p.held = v
	b.model.Arrive(now, model.Job{ID: v.job, Key: a.key, Segments: v.segments, FirstOn: p.fresh,
		Class: b.run.plan.Requests[a.request].Class + 1, Conn: p.id})
	p.fresh = false
	b.carryOut()
}

// withdraw is a caller's giving up what it has here.
func (b *box) withdraw(p *peer, now time.Duration) {
	v := p.held
	v.withdrawn, v.Ended, v.Outcome = true, now, trace.OutcomeCanceled
	v.peer, p.held = nil, nil
	b.model.Withdraw(now, v.job)
}

// brokeOff is a request that never came whole. Without an id nobody can tell whose it was.
func (b *box) brokeOff(p *peer, a *ask, begun time.Duration) {
	if !a.named {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	end := trace.OutcomeCanceled
	if p.frozen || p.ended {
		end = trace.OutcomeLost
	}
	b.run.trace.visit(trace.EndpointRequest{TransactionID: a.txn, Endpoint: b.index, ConnectionID: p.id, FirstByte: begun, LastByte: trace.Unset,
		Started: trace.Unset, Ended: b.run.now(), Outcome: end, IdempotencyKey: a.key})
}

var answerEnds = [...]trace.Outcome{model.OK: trace.OutcomeOK, model.Errored: trace.OutcomeError, model.TurnedAway: trace.OutcomeRejected,
	model.CutOff: trace.OutcomeCorrupted, model.Spoilt: trace.OutcomeCorrupted, model.Dripped: trace.OutcomeCorrupted}

// effect carries out what the model did with one visit.
func (b *box) effect(e *model.Effect) {
	v := b.jobs[e.Job]
	switch e.Kind {
	case model.Started:
		v.Started, v.Deduplicated = e.At, e.Repeat
	case model.Calling:
		b.callNext(v, e.Call)
	case model.Lost:
		if !v.withdrawn {
			v.Ended, v.Outcome = e.At, trace.OutcomeLost
		}
		b.over(v, e.Done)
	case model.Answered:
		p := v.peer
		if !v.withdrawn {
			v.Ended, v.Outcome = e.At, answerEnds[e.Answer]
		}
		if p != nil && e.Answer == model.Dripped {
			p.dripping = v // it is out for as long as its connection
		}
		b.over(v, e.Done)
		if p != nil {
			b.respond(p, v, e.Answer)
		}
	}
}

// over is the end of a visit for the model.
func (b *box) over(v *visit, done time.Duration) {
	delete(b.jobs, v.job)
	v.drop()
	v.Work = done
	if v.peer != nil {
		v.peer.held = nil
	}
	if v.peer == nil || v.peer.dripping != v {
		b.run.trace.visit(v.EndpointRequest)
	}
}

// dripped is the end of an answer that dripped.
func (b *box) dripped(p *peer, now time.Duration) {
	p.dripping.Ended = now
	b.run.trace.visit(p.dripping.EndpointRequest)
	p.dripping = nil
}

// respond has an answer written.
func (b *box) respond(p *peer, v *visit, answer model.Answer) {
	o := output{what: replyServed, to: v.mark, how: answer, last: v.last}
	o.to.tried = v.tried
	switch answer {
	case model.Errored:
		o.what = replyErrored
	case model.TurnedAway:
		o.what = replyTurnedAway
	default:
		o.txn, o.visit = v.TransactionID, v.number
		o.size = max(1, b.run.plan.Scenario.Class[b.run.plan.Requests[v.request].Class].Answer)
		o.chance = [2]uint64{b.chance.Uint64(), b.chance.Uint64()}
	}
	p.out <- o
}
