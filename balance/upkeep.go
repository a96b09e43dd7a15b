// The tick: deadlines, overdue attempts, upkeep.

package balance

import (
	"math"
	"slices"
	"time"
)

func (b *Balancer) onTick() {
	b.do(Action{Kind: ActTimer, Token: tokenTick, After: b.tick})
	for _, s := range b.servers {
		if b.isCold(s) {
			s.cold.Tick(b.now, b.trickle(s), b.rng.Float64())
		}
	}
	b.watch()
	held := float64(b.working)
	b.inUse.add(held)
	b.unused = min(limitSaved*b.limit, max(-limitSaved*b.limit, b.unused+(b.limit-held)*b.tick.Seconds()))
	for i := range b.tenants {
		t := &b.tenants[i]
		t.level = min(t.level+t.rate*b.tick.Seconds(), max(1, t.rate))
	}
	for i := len(b.live) - 1; i >= 0; i-- { // ending one moves only a later one
		b.look(b.live[i])
	}
	if b.now >= b.maintainAt {
		b.maintainAt = b.now + maintainEvery
		b.maintain()
	}
	b.askDiscovery()
	b.drain()
}

// look ends a request that has run out of time, and sends a copy of one that is overdue; where the copy
// hangs as well, one more in place of the first.
func (b *Balancer) look(r *request) {
	switch {
	case b.now >= r.till-b.margin(), r.waiting && r.out == 0 && b.now >= r.holdTill: // not worth more work
		b.learnGivenUp(r)
		b.finish(r)
		return
	case r.out == 0 || r.waiting || r.class.Effect == Unsafe || b.now > r.aimAt || !r.last().open:
		return
	}
	h := sentOf(r, r.last())
	cost := 1 + (copyCost-1)*(1-h.hangs) // of what hangs it is a retry, of what is slow more work
	first := slices.IndexFunc(r.tries, func(a attempt) bool { return a.open })
	third := first < len(r.tries)-1
	if b.retries < cost || b.loadShare() >= copyShare+(1-copyShare)*h.hangs ||
		!h.stuck() && (third || b.now < h.at+b.overdue(r.class) || !b.worthCopy(r.class)) ||
		third && (!b.set.Cancel || !sentOf(r, &r.tries[first]).stuck()) {
		return
	}
	if s := b.route(r); s != nil {
		if third { // never three at a time
			b.do(Action{Kind: ActCancel, Request: r.id, Attempt: first})
		}
		b.send(r, s)
		b.retries -= cost
	}
}

// worthCopy tells whether a copy of an overdue attempt can still be expected to be in time. Where answers
// take long, being overdue is no sign of a fault, and copies would only make them longer.
func (b *Balancer) worthCopy(c *class) bool {
	return b.asked.mean(0, 0) <= shortShare && // or what it takes is missing elsewhere
		float64(b.overdue(c))+copyNeeds*float64(b.classDelay(c)) < float64(c.Aim)
}

// learnGivenUp takes what can be learned from attempts that are out when their time is up. Their age is a
// lower bound, without which the limit would not see that answers are late, unless they are stuck. A server
// that is silent has failed: once withdrawn, the attempt would say nothing, and the next would go that way.
func (b *Balancer) learnGivenUp(r *request) {
	for i := range r.tries {
		a := &r.tries[i]
		if a.open && !sentOf(r, a).stuck() {
			b.window.add(min(1, float64(b.now-a.sentAt)/float64(r.class.Aim)))
		}
		s, silent := a.server, a.open && b.fleet.TimeUp(&a.server.seen)
		if a.open && b.now >= s.ejected && (silent || s.trial || !b.healthy(s)) && !b.crisis {
			b.eject(s)
		}
	}
}

func (b *Balancer) overdue(c *class) time.Duration {
	return time.Duration(overdueFactor * float64(b.classDelay(c)))
}

// maintain ages what was learned, adapts limits, and solves when something has shifted.
func (b *Balancer) maintain() {
	keep := math.Exp(-maintainEvery.Seconds() / memory)
	b.fleet.Age(maintainEvery.Seconds())
	b.sent.age(keep)
	b.served.age(keep)
	b.asked.age(keep)
	b.followAble()
	b.weigh()
	b.adaptLimit()
	for _, c := range b.classes {
		c.delay.age(math.Sqrt(math.Sqrt(keep))) // classes differ for long, servers for moments
	}
	for _, s := range b.servers {
		s.delay.age(keep)
		s.seen.Age(maintainEvery.Seconds())
	}
	for _, g := range b.groups {
		g.delay.age(keep)
	}
	b.judgeFleet()
	if b.now >= b.refreshAt {
		b.refreshAt = b.now + refreshEvery
		b.refreshBins()
	}
	if b.now >= b.solvedAt+solveGap && (b.dirty || b.shifted()) {
		b.solve()
	}
}
