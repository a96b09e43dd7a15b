// Arrival: which requests are taken, held or turned away.

package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (b *Balancer) onRequest(ev *Event) {
	ci := min(ev.Class, len(b.classes)-1)
	c := b.classes[ci]
	r := &request{id: ev.Request, class: c, ci: ci, deadline: b.now + ev.Left,
		aimAt: b.now + c.Aim - b.spent(c, ev), rank: c.rank * worth(ev), livePos: len(b.live)}
	if r.over = b.overShare(ev.Tenant); r.over {
		r.rank *= b.set.OverShareWorth
	}
	b.asked.add(0)
	if ev.Repeated && b.set.MarksRetry && b.asked.mean(0, 0) > shortShare {
		r.rank *= repeatedRank
	}
	r.most, r.price, r.till, r.holdTill = b.most(ev), price(ev), r.latest(), b.holdTill(r)
	if ev.Coming {
		r.comes(b.now)
	}
	b.repeats(r, ev)
	b.reqs[r.id] = r
	b.live = append(b.live, r)
	b.retries = min(retryBurst, b.retries+retryPerCall)
	b.bins[b.binOf(r)].seen++
	if b.refuseEarly(r) {
		b.finish(r)
		return
	}
	b.hold(r)
	b.drain()
}

// rank is the class's worth per work, where worth is not counted by work already, in powers of two: a
// finer order would starve a class for a difference that is mostly noise.
func (b *Balancer) rank(c *class) float64 {
	worth := c.Worth
	if !b.set.ByWork {
		worth /= c.factor
	}
	return math.Exp2(math.Round(math.Log2(max(worth, 1e-6))))
}

// overShare takes one request from this instance's part of the tenant's quota and tells whether that
// was used up. Only the first tier sees all of a tenant; the others finish what it has let in.
func (b *Balancer) overShare(tenant int) bool {
	if b.set.Tier > 0 || tenant >= len(b.tenants) || b.tenants[tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[tenant]
	if t.level < 1 {
		return true
	}
	t.level--
	return false
}

// holdTill is the last moment at which sending can still meet the aim; in the first tier, where nothing
// is sunk yet, it is a part of the aim, so that a line does not eat everyone's time.
func (b *Balancer) holdTill(r *request) time.Duration {
	till := r.aimAt - b.classDelay(r.class)
	if b.set.Tier == 0 {
		till = min(till, b.now+time.Duration(holdShare*float64(r.class.Aim)))
	}
	return min(max(till, b.now+b.tick), r.deadline)
}

// refuseEarly tells whether a request is better turned away before any work is done.
func (b *Balancer) refuseEarly(r *request) bool {
	blind := len(b.ready) == 0 && b.expect > r.holdTill // there is nobody, and will be nobody in time
	if blind || r.most < 1 || !b.inTime(r) || r.repeat && !b.repeatable(r, &r.before) {
		return true
	}
	return b.set.Tier == 0 && (r.over && (len(b.waiting) > 0 || b.loadShare() > spareShare) ||
		b.limit < limitSmall && b.unused+b.limit*(r.holdTill-b.now).Seconds() < b.reserve(r) ||
		b.ahead(r) > 1+b.sent.n/memory*(r.holdTill-b.now).Seconds())
}

// inTime tells whether an attempt that is sent now can still end in time, if it is as quick as the quickest
// tenth of its class.
func (b *Balancer) inTime(r *request) bool { return b.now+b.fleet.Quick(r.ci) < r.till-b.margin() }

// margin is how long before the client's deadline the final answer goes out.
func (b *Balancer) margin() time.Duration { return b.tick + b.set.Quantum }

// loadShare is the part of the limit that is in use.
func (b *Balancer) loadShare() float64 { return float64(b.working) / max(1, b.limit+b.chance()) }

// hold puts a request in line: the more valuable first, then the one whose aim comes first.
func (b *Balancer) hold(r *request) {
	r.waiting = true
	at, _ := slices.BinarySearchFunc(b.waiting, r, func(w, r *request) int {
		return cmp.Or(cmp.Compare(r.rank, w.rank), cmp.Compare(w.aimAt, r.aimAt+1))
	})
	b.waiting = slices.Insert(b.waiting, at, r)
}

// drain sends what is held, best first. What one fresh request cannot find, no other can; a retry may.
func (b *Balancer) drain() {
	blocked := false
	for i := 0; i < len(b.waiting); {
		r := b.waiting[i]
		fresh := len(r.tries) == 0
		if fresh && blocked || !b.send(r, b.route(r)) {
			blocked = blocked || fresh
			i++
			continue
		}
		r.waiting = false
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}
