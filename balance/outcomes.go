// Outcomes of attempts, and the only place that answers a request and lets go of it.

package balance

import (
	"slices"
	"time"
)

func (b *Balancer) onOutcome(ev *Event) {
	r := b.reqs[ev.Request]
	if r == nil || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].open {
		return
	}
	a := &r.tries[ev.Attempt]
	a.open, a.mayHave = false, ev.Status != Full && ev.Status != ConnectFailed && ev.Status != Moot
	r.out, r.final = r.out-1, r.final || ev.Final
	b.learn(b.unhold(r, a, ev.Status), a.server, ev)
	switch {
	case r.done:
		b.forget(r)
	case ev.Closed:
		b.end(r)
	case r.out == 0 && !r.waiting:
		b.again(r, a.mayHave)
	}
	b.drain()
}

// again decides whether a request whose attempts have all failed gets another.
func (b *Balancer) again(r *request, mayHave bool) {
	cost := r.price // of one more
	if !mayHave {
		cost *= retryUnseen
	}
	if r.final || b.retries < cost || b.now > r.aimAt ||
		!slices.ContainsFunc(b.servers, func(s *server) bool { return b.eligible(r, s) }) {
		b.finish(r)
		return
	}
	b.retries -= cost
	b.hold(r)
}

func (b *Balancer) onFirstByte(ev *Event) {
	if r := b.reqs[ev.Request]; r != nil && ev.Attempt < len(r.tries) && !r.done {
		r.tries[ev.Attempt].streamed = true
		b.end(r) // the stream is the client's: no deadline runs, and no other copy is wanted
	}
}

// finish gives the final answer: refused where a client's retry is harmless, failed otherwise.
func (b *Balancer) finish(r *request) {
	if r.done {
		return
	}
	if b.mayRefuse(r) {
		b.do(Action{Kind: ActRefuse, Request: r.id, After: b.retryHint(r)})
		b.asked.sum++
	} else {
		b.do(Action{Kind: ActFail, Request: r.id})
	}
	b.end(r)
}

func (b *Balancer) mayRefuse(r *request) bool {
	if r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Scope == ScopeAll) {
		return !r.repeat || b.repeatable(r, &r.before)
	}
	for range r.ran {
		return false
	}
	return true
}

// retryHint is when a refused client should come back: the later the more is refused now, and spread, or
// those that were turned away together would come back together.
func (b *Balancer) retryHint(r *request) time.Duration {
	switch {
	case !b.set.RetryAfter:
		return 0
	case r.over:
		return b.set.MaxRetryAfter
	case len(b.ready) == 0 && b.expect > b.now: // there is nobody to send to before that
		return min(b.set.MaxRetryAfter, b.expect-b.now+b.jitter(r.class.Aim/4))
	}
	short := 1 / (1 - min(shortMost, b.asked.mean(0, 0)))
	return min(b.set.MaxRetryAfter, time.Duration(short*(0.5+b.rng.Float64())*float64(r.class.Aim)/4))
}

// end marks a request as answered, withdraws what it still has out and lets go of it.
func (b *Balancer) end(r *request) {
	r.done = true
	b.unlive(r)
	for i := range r.tries {
		if r.tries[i].open && !r.tries[i].streamed && b.set.Cancel {
			b.do(Action{Kind: ActCancel, Request: r.id, Attempt: i})
		}
	}
	b.forget(r)
}
