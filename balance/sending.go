// Sending: the only place that starts an attempt.

package balance

import (
	"time"

	"pinelb.example/pinelb/balance/warmup"
)

func (b *Balancer) send(r *request, s *server) bool {
	if s == nil || !b.allowed(r, s) {
		return false
	}
	if b.isCold(s) {
		s.cold.Spend()
	}
	r.tries = append(r.tries, attempt{server: s, sentAt: b.now, open: true, mayHave: true})
	r.out++
	s.held = append(s.held, sent{request: r, at: b.now, ran: b.ran()})
	b.count(s, r.work())
	b.sent.add(1)
	b.do(Action{Kind: ActSend, Request: r.id, Endpoint: s.Endpoint, Worth: r.worth(),
		After: r.deadline - b.now})
	return true
}

// allowed holds every rule that forbids sending this request to this endpoint now.
func (b *Balancer) allowed(r *request, s *server) bool {
	switch {
	case r.done || !b.inTime(r) || len(r.tries) >= r.most:
		return false
	case !s.listed: // draining or gone: the grace is not used
		return false
	case r.out > 0 && (!b.set.SecondCopies || r.once):
		return false
	case b.isCold(s) && !s.cold.Ready(b.now):
		return false
	}
	return r.class.Effect == Safe || b.effectAllows(r, s)
}

// effectAllows keeps an effect from happening twice.
func (b *Balancer) effectAllows(r *request, s *server) bool {
	for a := range r.ran {
		if !b.repeatable(r, a) || r.class.Scope == ScopeZone && a.server.Zone != s.Zone ||
			r.class.Scope == ScopeCell && (a.server.Cell != s.Cell || a.server.Zone != s.Zone) {
			return false
		}
	}
	return true
}

// repeatable tells whether a repeat of what an attempt may have done will come in time to be dropped.
func (b *Balancer) repeatable(r *request, a *attempt) bool {
	return r.class.Effect == Keyed && b.now < a.sentAt+r.class.Memory-b.set.ConnectTimeout-b.margin()
}

func (b *Balancer) isCold(s *server) bool { return s.UpSince > 0 && b.now < s.UpSince+b.set.ColdFor }

// earnCold has an answer earn sends to the cold servers like the one that gave it; see package warmup.
func (b *Balancer) earnCold(from *server) {
	if b.site.Share < 1 && b.able == float64(len(b.ready)) { // none is cold
		return
	}
	all := 0.0 // of those that answer: what is dead or hangs would take a part of the gain away for nothing
	for _, s := range b.servers {
		if s.group == from.group && (s == from || b.crisis || b.healthy(s)) {
			all += b.site.Capacity(b.age(s))
		}
	}
	for _, s := range b.servers {
		if s.listed && s.group == from.group && b.isCold(s) {
			s.cold.Answered(b.now, warmup.Gain*b.site.Capacity(b.age(s))/all, b.rng.Float64())
		}
	}
}

// age is how long a server has been up; one that says nothing of it has been for long.
func (b *Balancer) age(s *server) time.Duration {
	if s.UpSince == 0 {
		return b.set.ColdFor
	}
	return b.now - s.UpSince
}
