// The interface of this package (settings, events, actions, New) is in balance/api.go.
// This file holds every decision and tunable, in the order in which a request meets them: arrival, routing,
// sending, outcomes, finishing, the tick; then what is learned, and the solve that rests on it.

package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/balance/grey"
	"pinelb.example/pinelb/balance/warmup"
)

// Tunables. Each holds for every deployment; what a setting implies is derived from it below.
const (
	tickEvery     = 10 * time.Millisecond  // how often held and running requests are looked at
	maintainEvery = 250 * time.Millisecond // how often what is learned is aged and checked
	memory        = 5.0                    // seconds after which an observation weighs 1/e
	refreshEvery  = 10 * time.Second       // of the bins' distribution, as in the paper (section 6)

	solveSteps   = 20                     // projected-gradient steps a solve
	solveStep    = 0.05                   // size of a step, for payoff in units of the mean worth
	solveGap     = 500 * time.Millisecond // least time between solves: bounds their CPU
	solveShift   = 0.25                   // a curve moved by this share is a significant change
	binShift     = 0.1                    // so is this much of the bins' distribution or of one's failures
	failShift    = 0.03                   // and this of the share that a server fails of a class
	exploreShare = 0.05                   // of each row, split evenly, so that no curve goes stale

	priorCalls    = 5.0  // a server's samples are shrunk toward its like as if by so many calls
	crowdedTimes  = 2.0  // share of the aim that tells a crowd, over that of the first, quick answers
	crowdedLeast  = 0.07 // and at least this much more: of an inner tier's few hundredths, twice is little
	crowdedSoon   = 0.33 // but no more than this share of the aim, at which many are late already,
	crowdedOver   = 1.2  // or so many times that of the first,
	crowdedMost   = 0.5  // and at most this share in all
	crowdedFirst  = 0.3  // the same before there is a measure that was taken with room to spare
	limitFirst    = 6.0  // requests a server, over all instances, before anything is learned
	limitLeast    = 2.0  // the same at least: fewer would leave servers idle between calls
	limitWindow   = 4.0  // answers that a change of the limit rests on: fewer are mostly noise
	calmWindow    = 30.0 // answers that the uncrowded measure rests on
	testedUse     = 0.7  // mean use of the limit from which it may grow: short peaks can wait
	limitLooks    = 4.0  // looks' worth that it grows by at once
	limitCut      = 0.85 // the most that one look takes off it: it grows slower than this
	calmShare     = 0.75 // of the share of the aim that tells a crowd: under it there is none
	limitSmall    = 6.0  // requests: an instance's limit under this is kept on average
	limitSaved    = 2.5  // seconds for which an unused part of it is kept
	reserveMost   = 0.8  // of that, held back from the least valuable requests, and overdrawn for the best
	limitSlack    = 1.25 // times its share of it is the most that one server may hold
	rateSlack     = 1.25 // times what the present rate needs is kept of it: a little too slow is no jam
	spareShare    = 0.5  // of the limit: above it, no over-share traffic is let in
	copyShare     = 0.8  // the same for copies: a request that hangs costs more than a copy of it
	copyCost      = 6.0  // retries that a copy costs, and one of an attempt that surely hangs
	stallTicks    = 5    // late by so many ticks, this instance has not run for a while
	copySaves     = 0.6  // of what a failure costs, where copies are allowed
	copyNeeds     = 1.5  // mean delays that a copy is given
	repeatedRank  = 0.7  // of its rank that a repeated try has then: less is left of its client's time
	shortShare    = 0.15 // of the requests refused, from which on first tries go before repeated ones
	shortMost     = 0.8  // the most that counts for when refused clients are told to come back
	holdShare     = 0.25 // of its aim that a first-tier request may wait here
	retryPerCall  = 0.2  // retry budget earned by each request
	retryBurst    = 10.0 // and its cap
	retryUnseen   = 0.2  // what a retry costs when the last attempt was turned away unseen
	drawTries     = 6    // draws from a whole row before all of it is looked through
	overdueFactor = 3.0  // an attempt this many times its class's mean delay is overdue
	ejectAfter    = 3    // failures in a row that eject a server
	ejectFirst    = time.Second
	ejectMost     = 16 * time.Second

	usersWanted = 6 // instances that use a server: fewer load it unevenly, more fill its connection table
	usedLeast   = 8 // servers that an instance uses: fewer leave too little choice when some fail
)

const tokenTick Token = 1

// spentEdges split a class's calls by the share of the aim that is spent before the draw.
var spentEdges = [...]float64{0.1, 0.3, 0.6}

const spentBuckets = len(spentEdges) + 1

func newBalancer(s Settings, seed uint64) *Balancer {
	b := &Balancer{
		rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), retries: retryBurst, fleet: grey.New(nil),
		reqs: map[RequestID]*request{}, byID: map[EndpointID]*server{}, cordoned: map[EndpointID]bool{},
		groups: map[groupKey]*group{}, able: 1, limit: limitFirst / s.sharers(),
	}
	b.dither = b.rng.Float64()
	b.adopt(&s)
	return b
}

// Handle takes one event and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.now, b.out = now, out
	if b.tick == 0 {
		b.start()
	}
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventOutcome:
		b.onOutcome(ev)
	case EventFirstByte:
		b.onFirstByte(ev)
	case EventGone:
		if r := b.reqs[ev.Request]; r != nil && !r.done {
			b.end(r)
		}
	case EventMembership:
		b.onMembership(ev)
	case EventWhole, EventCordon, EventSettings, EventExpect:
		b.onWord(ev)
	case EventTimer:
		if ev.Token == tokenTick {
			b.onTick()
		}
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) start() {
	b.tick = max(tickEvery, b.set.Quantum)
	b.maintainAt, b.refreshAt, b.windowAt = b.now+maintainEvery, b.now+refreshEvery, b.now
	// Asking in step with every other instance would swamp discovery, so the first call is spread.
	b.askAt = b.now + b.jitter(time.Second)
	b.do(Action{Kind: ActTimer, Token: tokenTick, After: b.tick})
}

// --- Arrival: admission and holding ---

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

// --- Bins and routing ---

// binOf is the request's class and the share of its aim that is spent.
func (b *Balancer) binOf(r *request) int {
	spent := 1 - float64(r.aimAt-b.now)/float64(r.class.Aim)
	k := 0
	for k < len(spentEdges) && spent > spentEdges[k] {
		k++
	}
	return r.ci*spentBuckets + k
}

// route draws from the bin's cached row, renormalised over the endpoints now eligible.
func (b *Balancer) route(r *request) *server {
	if len(b.servers) == 0 {
		return nil
	}
	held := 1 + float64(b.working)
	if held > b.whole(r) && len(r.tries) == 0 {
		return nil
	}
	// Bounded loads: while some endpoint holds less than its share, one that holds more is passed over.
	// Chance alone would crowd a server now and then, and one that is crowded turns slow and stays so.
	if s := b.draw(r, b.binOf(r), held); s != nil {
		return s
	}
	return b.draw(r, b.binOf(r), math.Inf(1))
}

// draw is one from a bin's row over those eligible that hold less than their share of held: the first of some
// draws from the whole row that is one of these, or else, where they are few, one of a look through it all.
func (b *Balancer) draw(r *request, bin int, held float64) *server {
	most := min(held, limitSlack*b.limit)
	fits := func(i int) bool {
		s := b.servers[i]
		return float64(s.working) < max(1, math.Ceil(most*b.share[i])) && b.eligible(r, s)
	}
	for range drawTries {
		if i, _ := slices.BinarySearch(b.sums[bin], b.rng.Float64()); i < len(b.servers) && fits(i) {
			return b.servers[i]
		}
	}
	drawn, total := (*server)(nil), 0.0
	for i, p := range b.table[bin] {
		if p > 0 && fits(i) {
			total += p
			if b.rng.Float64()*total < p {
				drawn = b.servers[i]
			}
		}
	}
	return drawn
}

// eligible tells whether an endpoint can take a request, by what is known this moment.
func (b *Balancer) eligible(r *request, s *server) bool {
	if !s.used || (!b.healthy(s) && !b.crisis) || (s.trial && len(s.held) > 0) {
		return false
	}
	return b.allowed(r, s) && !slices.ContainsFunc(r.tries, func(a attempt) bool { return a.server == s })
}

// --- The send path: the only place that starts an attempt ---

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

// --- Outcomes ---

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

// --- The finish path: the only place that answers, and the one that lets go ---

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

// --- The tick: deadlines, overdue attempts, upkeep ---

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

// --- What is learned of delay ---

// learn takes from an outcome what it tells of the server.
func (b *Balancer) learn(h sent, s *server, ev *Event) {
	b.readLoad(s, &ev.Load)
	c, ci, d := h.request.class, h.request.ci, ev.Latency.Seconds()
	y := d / c.factor
	switch ev.Status {
	case Moot:
	case Cancelled: // our own doing: evidence by the odds that it hung
		b.fleet.GivenUp(&s.seen, ci, (b.now - h.at).Seconds(), h.hangs, h.passed)
	case OK:
		c.delay.add(d)
		s.delay.add(y)
		b.window.add(min(1, d/c.Aim.Seconds())) // late is late, however much
		s.group.delay.add(y)
		s.okAt = b.now
		b.fleet.Answered(&s.seen, ci, d, h.hangs)
		b.earnCold(s)
		b.served.add(c.Aim.Seconds())
		b.dirty = b.dirty || s.trial
		s.fails, s.trial, s.backoff = 0, false, 0
	case ConnectFailed:
		// While other attempts are answered the process runs: its connection table is full, as from a crowd.
		if b.now > s.okAt+b.overdue(c) {
			b.failed(s, ci, 0)
		}
		fallthrough
	case Full:
		b.limit = max(b.part(limitLeast), b.limit*0.98)
	case Timeout: // a lower bound
		if y > b.delay(s) {
			s.delay.add(y)
		}
		b.failed(s, ci, h.hangs)
	default:
		b.failed(s, ci, 0)
	}
}

func (b *Balancer) readLoad(s *server, rep *LoadReport) {
	if i := slices.Index(b.set.LoadFields, LoadUtilisation); i >= 0 && i < rep.N {
		s.util = report{s.util.value + 0.2*(float64(rep.V[i])-s.util.value), true}
	}
}

// classDelay is the mean delay of a served attempt of the class; a tenth of its aim until known.
func (b *Balancer) classDelay(c *class) time.Duration {
	return time.Duration(c.delay.mean(0.1*c.Aim.Seconds(), 1) * float64(time.Second))
}

// factor is the class's delay over the plain mean of all classes': it makes calls of different work
// comparable. The mean is over classes, not calls, for it must not move when one class is refused.
func (b *Balancer) factor(c *class) float64 {
	var all average
	for _, o := range b.classes {
		all.add(b.classDelay(o).Seconds())
	}
	return max(0.05, b.classDelay(c).Seconds()/all.mean(0, 0))
}

// delay is the server's mean delay, shrunk toward that of its like.
func (b *Balancer) delay(s *server) float64 {
	prior := s.group.delay.mean(b.classDelay(b.classes[0]).Seconds(), 0.1)
	both := average{s.delay.n + s.overdue.n, s.delay.sum + s.overdue.sum}
	return both.mean(prior, priorCalls)
}

// adaptLimit moves the limit on all that is held by the share of their aims that answers take: crowded
// servers turn slow and stay so, and only less work lets them recover. The measure is what answers
// take uncrowded, which is kept near the low end of what has been seen: down fast and up hardly.
func (b *Balancer) adaptLimit() {
	if b.window.n < limitWindow {
		return
	}
	taken, idle := b.window.mean(0, 0), b.inUse.mean(0, 0) < testedUse*b.limit
	b.measure()
	most := crowdedFirst
	if b.known = b.known || idle && b.uncrowded > 0; b.known {
		most = crowdedMost
	}
	if b.uncrowded > 0 {
		// Capped, or an instance that starts in a crowd would take it for the uncrowded state, never to cut.
		most = min(most, max(crowdedSoon, crowdedOver*b.uncrowded),
			b.uncrowded+max((crowdedTimes-1)*b.uncrowded, crowdedLeast))
	}
	// An instance with few answers moves it seldom, and so by more: jams grow with time, not with answers.
	looks := float64(b.now-b.windowAt) / float64(maintainEvery)
	switch {
	case taken > most && (b.known || !idle):
		cut := b.limit * max(math.Pow(limitCut, looks), most/taken)
		// But not below what the present rate needs at the most that an answer may take (Little's law): where
		// others made it slow, holding less makes nothing faster.
		b.limit, b.bounded, b.crowded = max(cut, min(b.limit, rateSlack*most*b.served.sum/memory)), true, true
	case idle: // not put to the test
	case b.bounded:
		b.limit += max(b.part(1)/10, 0.05*b.limit) * min(looks, limitLooks)
	default:
		b.limit *= math.Pow(1.25, min(looks, limitLooks))
	}
	if b.crowded && taken < calmShare*most { // it is over: what was held beyond the limit is forgiven
		b.unused, b.crowded = max(0, b.unused), false
	}
	b.limit = max(b.limit, b.part(limitLeast))
	b.window, b.windowAt, b.inUse = average{}, b.now, average{}
}

// followAble has the limit, and the rate that it may not fall under, follow what the servers in the list can
// do, as they warm up, start anew, come and go: up as down, or every restart would leave it higher.
func (b *Balancer) followAble() {
	able := 0.0
	for _, s := range b.ready {
		able += b.site.Capacity(b.age(s))
	}
	if able > 0 {
		b.limit, b.served.sum, b.able = b.limit*able/b.able, b.served.sum*able/b.able, able
	}
}

// measure takes over what answers take uncrowded, as the low end of what they take. It waits for more of
// them than a move of the limit, for of small samples the low end is mostly chance.
func (b *Balancer) measure() {
	b.calm.n, b.calm.sum = b.calm.n+b.window.n, b.calm.sum+b.window.sum
	if b.calm.n < calmWindow {
		return
	}
	b.uncrowded, b.calm = lowEnd(b.uncrowded, b.calm.mean(0, 0)), average{}
}

// part is this instance's part of so many requests a server, when all instances act alike: of a cold one as
// much less as it can do less. It may be under 1.
func (b *Balancer) part(each float64) float64 {
	return max(0.01, each*b.able/b.set.sharers())
}

// whole is the limit as a number of requests. A small one is kept on average: an instance whose share is one
// request or two meets three now and then by chance, and all together still hold what they may. It may be
// exceeded for as long as it has not been used before.
func (b *Balancer) whole(r *request) float64 {
	switch {
	case b.limit >= limitSmall:
		return math.Floor(b.limit + b.dither)
	case b.unused < b.reserve(r):
		return 0
	}
	return math.Ceil(b.limit + b.chance())
}

// chance is by how much a small limit may be exceeded for a moment.
func (b *Balancer) chance() float64 {
	if b.limit >= limitSmall {
		return 0
	}
	return 3 * math.Sqrt(b.limit)
}

// reserve is how much of a small limit has to be unused for a request: the more, the more of the demand is
// worth more than it. There is no line from which the best could be taken where one request comes at a time.
func (b *Balancer) reserve(r *request) float64 {
	above := 0.0
	for _, c := range b.classes {
		if c.rank > r.rank {
			above += c.part
		}
	}
	return limitSaved * b.limit * reserveMost * (2*above - 1)
}

// --- Health ---

// failed is a failure of a class at a server; hung is the odds that the server has said nothing.
func (b *Balancer) failed(s *server, class int, hung float64) {
	b.fleet.Failed(&s.seen, class, hung)
	s.fails++
	if (s.trial || s.fails >= ejectAfter && s.seen.Mostly()) && b.now >= s.ejected {
		b.eject(s)
	}
}

// eject leaves a server out for a while, twice as long as the last time, and then tries it gently.
func (b *Balancer) eject(s *server) {
	s.backoff = min(ejectMost, max(ejectFirst, 2*s.backoff))
	s.ejected, s.trial, s.fails, b.dirty = b.now+s.backoff, true, 0, true
}

// healthy tells whether a server is neither ejected nor silent. A vanished server shows only as
// attempts that stay out while nothing comes back.
func (b *Balancer) healthy(s *server) bool {
	if b.now < s.ejected {
		return false
	}
	return len(s.held) == 0 || !s.held[0].stuck() ||
		b.ran() < max(s.last, s.held[0].ran)+b.overdue(s.held[0].request.class)
}

// judgeFleet: when most servers look bad, the cause is shared, and none is to be avoided for it.
func (b *Balancer) judgeFleet() { b.crisis = b.unwell*2 > b.listed }

// --- The list of endpoints ---

func (b *Balancer) onMembership(ev *Event) {
	if ev.List == ListFailed {
		b.subscribed = false
		b.askFails++
		wait := min(b.set.MustAskIn/4, 250*time.Millisecond<<min(b.askFails, 5))
		b.askAt = b.now + wait/2 + b.jitter(wait)
		return
	}
	if ev.List != ListCached {
		b.subscribed, b.askFails = true, 0
	}
	if ev.List != ListDelta { // what a whole list leaves out is gone
		for _, s := range b.byID {
			s.State, s.listed = Gone, false
		}
	}
	for _, e := range ev.Entries {
		b.update(e)
	}
	b.relist()
	b.dirty = true
}

// choose picks the endpoints that this instance uses: of a large fleet it would otherwise send each server
// too few calls to learn from, and all of them together fill every connection table. They are the first in an
// order of its own, hashed from its name and theirs, so that no number is needed and one more or less of them
// changes little; where it has no name, they are a stretch of the order of all, from its rank on.
func (b *Balancer) choose() {
	b.ready = ring(b.byID, b.own)
	n, first := len(b.ready), 0
	if b.own == 0 {
		first = b.set.Rank * n / b.set.Instances
	}
	b.followAble()
	want := max(usedLeast, (usersWanted*n+b.set.Instances-1)/b.set.Instances)
	b.users = b.set.sharers() * float64(min(n, want)) / float64(max(1, n))
	good := 0
	for i := range n {
		s := b.ready[(first+i)%n]
		s.used = good < want && i < 2*want
		if !s.trial || b.crisis { // one written off stays for its trial, and the next stands in
			good++
		}
	}
}

// update takes over one entry of a list.
func (b *Balancer) update(e Entry) {
	s := b.byID[e.Endpoint]
	told := e.UpSince
	switch {
	case s == nil && e.State == Gone:
		return
	case s != nil && s.Guess && !e.Guess && told == s.told: // as old as was guessed
	case s != nil && (told <= s.UpSince || told == s.told): // missing or moved back: no warmer for that
		e.UpSince = s.UpSince
	default: // a new process, and what was learned of an old one is void. None starts in the future
		e.UpSince = min(told, b.now)
		if s == nil {
			s = &server{}
			b.byID[e.Endpoint] = s
		}
		if *s = (server{held: s.held, told: told}); e.Guess {
			e.UpSince = b.now
		}
	}
	s.Entry, s.listed = e, e.State == Ready && !b.cordoned[e.Endpoint]
	k := groupKey{e.Kind, e.Weight}
	if b.groups[k] == nil {
		b.groups[k] = &group{}
	}
	s.group = b.groups[k]
}

// askDiscovery subscribes, and again after a failure, well before the list counts as old.
func (b *Balancer) askDiscovery() {
	if b.set.MustAsk && !b.subscribed && b.now >= b.askAt {
		b.askAt = b.now + b.set.MustAskIn/2
		b.do(Action{Kind: ActWatch})
	}
}

// --- The solve ---

// binWeights is each bin's share of the calls; even over the classes until something has been seen.
func (b *Balancer) binWeights() []float64 {
	w := make([]float64, len(b.bins))
	for i := range b.bins {
		w[i] = b.bins[i].share + b.bins[i].seen*1e-3
		if i%spentBuckets == 0 {
			w[i] += 1e-3
		}
	}
	normalise(w)
	return w
}

// shifted tells whether an input has moved significantly since the last solve.
func (b *Balancer) shifted() bool {
	if len(b.solved.share) != len(b.bins) || len(b.solved.delay) != len(b.servers) {
		return true
	}
	for i, s := range b.servers {
		if math.Abs(b.delay(s)-b.solved.delay[i]) > solveShift*b.solved.delay[i] ||
			apart(b.failsOf(s), b.solved.fails[i]) > failShift {
			return true
		}
	}
	moved := 0.0
	for i, w := range b.binWeights() {
		moved += math.Abs(w - b.solved.share[i])
	}
	return moved/2 > binShift
}

// curve is a server's delay against its share of the calls: alone/(1 - growth*share), with alone
// the delay that it would have with no load.
type curve struct{ alone, growth float64 }

func (c *curve) at(share float64) (delay, slope float64) {
	free := max(0.05, 1-c.growth*share)
	return c.alone / free, c.alone * c.growth / free / free
}

// curves fits every server's curve through its delay at its present share. The growth is the same
// for servers of the same speed, and such that the mean server is as busy as the fleet is.
func (b *Balancer) curves(share []float64) []curve {
	n, mean := float64(len(b.servers)), average{}
	for _, s := range b.servers {
		mean.add(b.delay(s))
	}
	busy := b.busy()
	pressure := n * busy / (mean.mean(0, 0) * (1 - busy))
	cs := make([]curve, len(b.servers))
	for i, s := range b.servers {
		m := b.delay(s)
		alone := m / (1 + pressure*m*max(share[i], 0.5/n)) // a small share must not make it look slow
		cs[i] = curve{alone: alone, growth: pressure * alone}
	}
	return cs
}

// busy is the fleet's utilisation: as reported, or a middling one, at which crowding is felt.
func (b *Balancer) busy() float64 {
	var told average
	for _, s := range b.servers {
		if s.util.known {
			told.add(s.util.value)
		}
	}
	return min(0.8, max(0.3, told.mean(0.6, 0.1)))
}

// solve moves every row by projected gradient toward the most payoff summed over bins.
func (b *Balancer) solve() {
	if b.dirty {
		b.relist()
	}
	weight := b.binWeights()
	b.remember(weight)
	n := float64(len(b.servers))
	if n == 0 {
		return
	}
	cs, step := b.curves(b.totals(weight)), solveStep
	for _, row := range b.table { // from even, or one that had been bad would stay out where all pay alike
		for i := range row {
			row[i] = 1 / n
		}
	}
	best, grad, most := b.table, [][]float64(nil), math.Inf(-1)
	for range solveSteps + 1 {
		// Where curves are steep a step can pass the top: go back and halve it, or rows would swing.
		if g, payoff := b.gradient(weight, cs); payoff >= most {
			best, grad, most = b.table, g, payoff
		} else {
			step /= 2
		}
		b.table = make([][]float64, len(best))
		for k, row := range best {
			b.table[k] = slices.Clone(row)
			for i := range row {
				b.table[k][i] += step * grad[k][i]
			}
			project(b.table[k])
		}
	}
	b.table = best
	for _, row := range b.table {
		for i := range row {
			row[i] = (1-exploreShare)*row[i] + exploreShare/n
		}
	}
	b.share = b.totals(weight)
	b.sumRows()
}

// gradient is the summed payoff, and its slope by each share of each row. A call pays its class's worth, in
// units of the mean worth, times the chance of ending within the time that it has left.
func (b *Balancer) gradient(weight []float64, cs []curve) (grad [][]float64, payoff float64) {
	total, mean := b.totals(weight), 0.0
	for k, w := range weight {
		mean += w * b.classes[k/spentBuckets].Worth
	}
	grad = make([][]float64, len(b.bins))
	crowd := make([]float64, len(cs)) // what one more call on a server costs those already there
	for k, row := range b.table {
		c := b.classes[k/spentBuckets]
		f, left, lost := c.factor, c.Aim.Seconds(), 1.0
		if b.set.SecondCopies && c.Effect != Unsafe {
			lost -= copySaves
		}
		if spent := k % spentBuckets; spent > 0 {
			left *= 1 - spentEdges[spent-1]
		}
		grad[k] = make([]float64, len(cs))
		for i := range cs {
			m, slope := cs[i].at(total[i])
			worth := c.Worth / max(mean, 1e-9) * (1 - lost*b.solved.fails[i][k/spentBuckets])
			miss := math.Exp(-left / (f * m))
			grad[k][i] = worth * (1 - miss)
			payoff += weight[k] * row[i] * grad[k][i]
			crowd[i] += weight[k] * worth * row[i] * miss * left / (f * m * m) * slope
		}
	}
	for k := range grad {
		for i := range crowd {
			grad[k][i] -= crowd[i]
		}
	}
	return grad, payoff
}
