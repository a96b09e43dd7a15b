package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/balance/grey"
	"pinelb.example/pinelb/balance/warmup"
)

// The types that hold an instance's state, and bookkeeping that decides nothing.

// Balancer is the state of one instance.
type Balancer struct {
	set    Settings
	site   warmup.Site // of the settings, what cold servers are judged by
	rng    *rand.Rand
	own    uint64 // hashed from the instance's name; 0 is none
	now    time.Duration
	out    []Action
	tick   time.Duration // 0 until the first event
	tickAt time.Duration // when the next one is due

	classes []*class
	tenants []bucket
	reqs    map[RequestID]*request // until answered and every attempt has ended
	live    []*request             // unanswered
	waiting []*request             // held here, best first
	retries float64                // retry budget

	servers   []*server // listed, or still holding a request; by endpoint
	byID      map[EndpointID]*server
	cordoned  map[EndpointID]bool // by operators: they count as draining, whatever the list says
	ready     []*server           // those ready in the list, used or not, in the order of choice
	users     float64             // instances that use a server, as far as this one can tell
	able      float64             // what they can do, in warm ones, or could when last there were any; the limit goes with it
	groups    map[groupKey]*group
	window    average // of the share of their aims that answers took
	windowAt  time.Duration
	calm      average // the same, until there are enough for the measure
	uncrowded float64 // the low end of the share
	known     bool    // there has been such a measure while the limit had room
	limit     float64 // requests that all servers together may hold of ours
	dither    float64 // from 0 to 1, this instance's: how it rounds the limit
	unused    float64 // request-seconds of a small limit that may still be used
	inUse     average // how many were held since the limit was last looked at
	bounded   bool    // the limit has been cut once: it grows slowly from then on
	crowded   bool    // it has been cut, and answers have not been quick since
	crisis    bool    // most servers look bad: health is no guide
	fleet     *grey.Fleet
	listed    int           // servers in use that the list has as ready, as of the last look
	unwell    int           // of them not healthy
	working   int           // requests that servers have in work, but for those written off, as of the last look and since
	stalled   time.Duration // for how long in all this instance itself did not run

	bins       []bin
	table      [][]float64 // per bin: the cached split over servers
	share      []float64   // each server's share over all bins
	sums       [][]float64 // of each row, up to each server
	solved     snapshot
	begun      bool          // it has had its first send to a host of an old list
	expect     time.Duration // when discovery may tell of a first list; long past where it is asked all the time
	dirty      bool          // a change that calls for a solve as soon as one is allowed
	solvedAt   time.Duration
	maintainAt time.Duration
	refreshAt  time.Duration
	sent       average // sends, for their rate
	asked      average // requests, and how many of them were refused
	served     average // answers, with the aims of their classes

	subscribed bool
	askAt      time.Duration
	askFails   int
}

type class struct {
	Class
	delay  average           // of served attempts, seconds
	rank   float64           // what its calls are worth, and
	part   float64           // their part of all, as of the last upkeep
	factor float64           // as of then
	lefts  [16]time.Duration // the times that its last tries came with
	tries  int
}

type bucket struct{ rate, level float64 }

type bin struct{ seen, share float64 }

type request struct {
	id       RequestID
	class    *class
	ci       int
	deadline time.Duration
	aimAt    time.Duration
	holdTill time.Duration
	till     time.Duration // the latest time at which an answer is worth anything
	over     bool          // beyond its tenant's share
	rank     float64
	most     int     // attempts that it may make
	price    float64 // of a retry: 0 where most was granted, for somebody else has paid
	came     time.Duration
	coming   bool // its message still comes: its time has not begun, and no host has work of it
	once     bool // and what has been passed on of it is not here any more: one attempt at a time
	final    bool // the tier below has failed after trying again: this one doesn't
	tries    []attempt
	repeat   bool    // of an effect that an earlier request may have had,
	before   attempt // by this
	out      int     // attempts that have not ended
	done     bool
	waiting  bool
	livePos  int
}

type attempt struct {
	server   *server
	sentAt   time.Duration
	open     bool
	mayHave  bool // its work may have taken effect
	streamed bool
}

type groupKey struct {
	kind   int
	weight float64
}

// sent is an attempt that a server holds.
type sent struct {
	request *request
	at      time.Duration
	passed  int           // by so many answers to attempts sent later
	ran     time.Duration // as Balancer.ran was then
	hangs   float64       // the odds that it will not be answered, as of the last look
}

// group is what like servers have in common.
type group struct {
	delay average
}

// server is one endpoint as this instance sees it.
type server struct {
	Entry
	group  *group
	listed bool // ready in the list, and not cordoned
	used   bool // one of those that this instance sends to

	held    []sent  // by the time of sending
	working int     // of them do not seem to hang, as of the last look and since
	out     bool    // it was not healthy then: what it has in work counts nowhere
	delay   average // of served attempts, scaled to the mean class, seconds
	overdue average // the same of attempts still out, once longer than that
	seen    grey.Host

	fails   int           // in a row
	last    time.Duration // it said something, by Balancer.ran
	okAt    time.Duration // of the last answer
	ejected time.Duration // until then
	backoff time.Duration
	trial   bool // one request at a time until it has served one

	told time.Duration // its last start as the list had it
	cold warmup.Budget // what it may be sent while it is cold

	util report
}

// report is the latest value of one load field.
type report struct {
	value float64
	known bool
}

// snapshot is what the last solve rested on.
type snapshot struct {
	delay, share []float64
	fails        [][]float64
}

// average is a mean whose samples lose weight with time.
type average struct{ n, sum float64 }

func (a *average) add(x float64)    { a.n, a.sum = a.n+1, a.sum+x }
func (a *average) age(keep float64) { a.n, a.sum = a.n*keep, a.sum*keep }

// mean is the average as if prior had been seen weight times as well.
func (a *average) mean(prior, weight float64) float64 {
	if a.n+weight <= 0 {
		return prior
	}
	return (a.sum + prior*weight) / (a.n + weight)
}

// unhold removes an ended attempt from those that its server holds and returns it. An answer passes those that were
// sent before, and the server has said something unless the end was our own doing.
func (b *Balancer) unhold(r *request, a *attempt, status Status) sent {
	s, answered := a.server, status == OK
	if status != Cancelled && status != Moot {
		s.last = b.ran()
	}
	i := slices.IndexFunc(s.held, func(h sent) bool { return h.request == r && h.at == a.sentAt })
	h := s.held[i]
	s.held = slices.Delete(s.held, i, i+1)
	for i := range s.held {
		if answered && s.held[i].at < h.at {
			s.held[i].passed++
		}
	}
	if r.coming { // the host has had nothing to answer yet
		h.at = b.now
	}
	if !h.stuck() {
		b.count(s, -r.work())
	}
	if answered && s.out && b.now >= s.ejected { // it is back
		s.out = false
		b.working += s.working
	}
	return h
}

// ran is for how long this instance has run in all. What is out, and who is silent, is judged by it: while the instance
// itself did not run it could hear of nothing.
func (b *Balancer) ran() time.Duration { return b.now - b.stalled }

// count has a server hold one more or less that works.
func (b *Balancer) count(s *server, n int) {
	s.working += n
	if !s.out {
		b.working += n
	}
}

// stuck tells whether an attempt more likely hangs than not. It tells nothing of a crowd, and takes no room.
func (h *sent) stuck() bool { return h.hangs > 0.5 }

// sentOf finds a request's attempt among those that its server holds.
func sentOf(r *request, a *attempt) *sent {
	i := slices.IndexFunc(a.server.held, func(h sent) bool { return h.request == r && h.at == a.sentAt })
	return &a.server.held[i]
}

// watch looks at what is out: how likely it is that each attempt hangs, how many are in work, and what is out for
// longer than its server's mean, which is evidence of a longer delay.
func (b *Balancer) watch() {
	if late := b.now - b.tickAt; b.tickAt > 0 && late > stallTicks*b.tick {
		b.stalled += late // the fault is this instance's own: nothing that was out is blamed for it
	}
	b.tickAt = b.now + b.tick
	b.fleet.Look()
	b.working, b.listed, b.unwell = 0, 0, 0
	for _, s := range b.servers {
		s.out, s.working, s.overdue = !b.healthy(s), 0, average{}
		if s.listed {
			b.listed++
			if s.out {
				b.unwell++
			}
		}
		if len(s.held) == 0 {
			continue
		}
		like := s.group.delay.mean(b.classDelay(b.classes[0]).Seconds(), 0.1)
		mean, n := s.delay.mean(like, priorCalls), 0
		for i := range s.held {
			h := &s.held[i]
			if h.request.coming {
				h.ran, h.hangs = b.ran(), 0
				continue
			}
			age := (b.ran() - h.ran).Seconds()
			if y := age / h.request.class.factor; y > mean {
				s.overdue.add(y)
			}
			h.hangs = b.fleet.Hangs(&s.seen, h.request.ci, age, mean/like, h.passed)
			if !h.stuck() {
				n++
			}
		}
		b.count(s, n)
	}
}

// unlive removes an answered request from those that are looked at.
func (b *Balancer) unlive(r *request) {
	last := b.live[len(b.live)-1]
	b.live[r.livePos], last.livePos = last, r.livePos
	b.live = b.live[:len(b.live)-1]
	if r.waiting {
		r.waiting = false
		b.waiting = slices.DeleteFunc(b.waiting, func(w *request) bool { return w == r })
	}
}

// forget drops a request that is answered and has nothing out.
func (b *Balancer) forget(r *request) {
	if r.done && r.out == 0 {
		delete(b.reqs, r.id)
	}
}

// onCordon takes an endpoint out, or puts one back that was. Operators restart it in between, so that it comes back cold
// and what was learned of it is void, also where the list has not told of the restart, or tells of it later.
func (b *Balancer) onCordon(ev *Event) {
	s := b.byID[ev.Endpoint]
	switch {
	case ev.Out:
		b.cordoned[ev.Endpoint] = true
	case b.cordoned[ev.Endpoint]:
		delete(b.cordoned, ev.Endpoint)
		if s != nil {
			*s = server{Entry: s.Entry, group: s.group, held: s.held, told: s.told}
			s.UpSince = b.now
		}
	}
	if s != nil {
		s.listed = s.State == Ready && !ev.Out
		b.relist()
		b.dirty = true
	}
}

// relist puts the servers in order and carries the rows over; a new server starts with an even share.
func (b *Balancer) relist() {
	old := map[*server]int{}
	for i, s := range b.servers {
		old[s] = i
	}
	b.servers = nil
	var left []EndpointID
	b.choose()
	for id, s := range b.byID {
		_, had := old[s]
		switch {
		case s.listed && s.used || len(s.held) > 0:
			b.servers = append(b.servers, s)
		case !s.listed && !(s.State == Ready && b.cordoned[id]): // that one may be put back with no word of the list
			delete(b.byID, id)
		case had: // no longer used: its connections are of use to others, and what was learned goes stale
			left = append(left, s.Endpoint)
			s.delay, s.seen = average{}, grey.Host{}
		}
	}
	slices.Sort(left)
	for _, id := range left {
		b.do(Action{Kind: ActCloseUnused, Endpoint: id})
	}
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	b.begin()
	rows := make([][]float64, len(b.bins))
	for k := range rows {
		rows[k] = make([]float64, len(b.servers))
		for i, s := range b.servers {
			if j, known := old[s]; known {
				rows[k][i] = b.table[k][j]
			} else {
				rows[k][i] = 1 / float64(len(b.servers))
			}
		}
		normalise(rows[k])
	}
	b.table = rows
	b.share = b.totals(b.binWeights())
	b.sumRows()
}

// sumRows adds each row up, so that a draw from it is a search.
func (b *Balancer) sumRows() {
	b.sums = make([][]float64, len(b.table))
	for k, row := range b.table {
		b.sums[k] = make([]float64, len(row))
		sum := 0.0
		for i, p := range row {
			sum += p
			b.sums[k][i] = sum
		}
	}
}

// totals is each server's share of all calls.
func (b *Balancer) totals(weight []float64) []float64 {
	t := make([]float64, len(b.servers))
	for k, row := range b.table {
		for i := range row {
			t[i] += weight[k] * row[i]
		}
	}
	return t
}

// project moves a row to the nearest point of the simplex (Euclidean).
func project(row []float64) {
	u := slices.Clone(row)
	slices.Sort(u)
	sum, theta := 0.0, 0.0
	for j := len(u) - 1; j >= 0; j-- {
		sum += u[j]
		if t := (sum - 1) / float64(len(u)-j); u[j] > t {
			theta = t
		}
	}
	for i := range row {
		row[i] = max(0, row[i]-theta)
	}
}

// normalise scales a row to sum one.
func normalise(row []float64) {
	sum := 0.0
	for _, p := range row {
		sum += p
	}
	for i := range row {
		if sum > 0 {
			row[i] /= sum
		}
	}
}

// remember keeps what this solve rested on.
func (b *Balancer) remember(weight []float64) {
	b.solved, b.solvedAt, b.dirty = snapshot{share: weight}, b.now, false
	for _, s := range b.servers {
		b.solved.delay = append(b.solved.delay, b.delay(s))
		b.solved.fails = append(b.solved.fails, b.failsOf(s))
	}
}

// failsOf is the share that a server fails of each class, with what it has out counted by its odds.
func (b *Balancer) failsOf(s *server) []float64 {
	hanging, out := 0.0, 0.0
	for i := range s.held {
		if s.held[i].stuck() {
			hanging, out = hanging+s.held[i].hangs, out+1
		}
	}
	fails := make([]float64, len(b.classes))
	for i := range fails {
		fails[i] = b.fleet.Fails(&s.seen, i, hanging, out)
	}
	return fails
}

// firstTimes is what an answer of each class is taken to need before any is known, in seconds.
func firstTimes(classes []Class) []float64 {
	var first []float64
	for _, c := range classes {
		first = append(first, 0.1*c.Aim.Seconds())
	}
	return first
}

// apart is the largest difference of two lists of the same length.
func apart(x, y []float64) float64 {
	most := 0.0
	for i := range x {
		most = max(most, math.Abs(x[i]-y[i]))
	}
	return most
}

// Condition is how a host that an instance uses stands with it, for those who look on.
type Condition struct {
	Endpoint EndpointID
	Grey     bool    // it fails more of what it gets than its like
	Ejected  bool    // it gets nothing for a while, or only one request at a time until it has served one
	Fails    float64 // share of its attempts that come to nothing, of the class of which it fails most
}

// Conditions appends how the hosts in use stand, in the order of their numbers.
func (b *Balancer) Conditions(out []Condition) []Condition {
	for _, s := range b.servers {
		out = append(out, Condition{s.Endpoint, s.seen.Grey(), b.now < s.ejected || s.trial, slices.Max(b.failsOf(s))})
	}
	return out
}

// comingMost is how long a message may come; whoever reads it gives it up sooner.
const comingMost = time.Hour

// comes has a request's time begin later, when onWhole says so. Until then only a host is looked for.
func (r *request) comes(now time.Duration) {
	r.came, r.coming, r.once = now, true, true
	r.delay(comingMost)
}

func (r *request) delay(d time.Duration) {
	r.deadline, r.aimAt, r.till = r.deadline+d, r.aimAt+d, r.till+d
}

// work is how much a host has in work of an attempt at the request.
func (r *request) work() int {
	if r.coming {
		return 0
	}
	return 1
}

// onWord takes in what changes the state and asks for no decision.
func (b *Balancer) onWord(ev *Event) {
	switch ev.Kind {
	case EventWhole:
		b.onWhole(ev)
	case EventCordon:
		b.onCordon(ev)
	case EventSettings:
		b.onSettings(ev.Settings)
	case EventExpect:
		b.expect = b.now + ev.In
	}
}

// repeats has a request be one of an effect that may have taken place already. Where that was limits who may get it, and
// is not known any more, nobody may.
func (b *Balancer) repeats(r *request, ev *Event) {
	if r.repeat = ev.Ran > 0 && r.class.Effect != Safe; !r.repeat {
		return
	}
	r.before = attempt{server: b.byID[ev.Endpoint], sentAt: min(ev.Ran, b.now), mayHave: true}
	if r.class.Scope != ScopeAll && r.before.server == nil {
		r.most = 0
	}
}

// ran yields the attempts whose work may have taken effect.
func (r *request) ran(yield func(*attempt) bool) {
	if r.repeat && !yield(&r.before) {
		return
	}
	for i := range r.tries {
		if a := &r.tries[i]; a.mayHave && !yield(a) {
			return
		}
	}
}

// onWhole has a request's time begin, and its host's.
func (b *Balancer) onWhole(ev *Event) {
	r := b.reqs[ev.Request]
	if r == nil || !r.coming {
		return
	}
	r.coming = false
	r.delay(b.now - r.came - comingMost)
	for i := range r.tries {
		a := &r.tries[i]
		if !a.open {
			continue
		}
		s := a.server
		at := slices.IndexFunc(s.held, func(h sent) bool { return h.request == r && h.at == a.sentAt })
		h := s.held[at]
		a.sentAt, h.at, h.ran = b.now, b.now, b.ran()
		s.held = append(slices.Delete(s.held, at, at+1), h) // by the time of sending
		b.count(s, 1)
	}
}

// guessRate is how many sends a second an instance makes to hosts of which an old list is all that is known, before any of them
// has answered: three hundred instances that come back together with twelve cold hosts send each 50, one alone is not dark.
const guessRate = 2.0

// trickle is how many sends a second go to a cold host without evidence.
func (b *Balancer) trickle(s *server) float64 {
	rate := b.site.Trickle(b.age(s), b.users)
	if s.Guess {
		rate = max(rate, guessRate/float64(len(b.servers)))
	}
	return rate
}

// begin gives an instance that starts with an old list one send at once, to any of its hosts: the rest is earned by answers.
func (b *Balancer) begin() {
	if b.begun {
		return
	}
	var guessed []*server
	for _, s := range b.servers {
		if s.Guess {
			guessed = append(guessed, s)
		}
	}
	if b.begun = len(guessed) > 0; b.begun {
		guessed[b.rng.IntN(len(guessed))].cold.Answered(b.now, 1, 0)
	}
}

// sharers is by how many processes what all may do is shared.
func (s *Settings) sharers() float64 { return float64(s.Instances * max(1, s.Processes)) }

// adopt takes over settings. The classes that there are keep what was learned of them.
func (b *Balancer) adopt(s *Settings) {
	b.set, b.own = *s, hashed(s.Name)
	b.site = warmup.Site{Share: s.ColdShare, Warm: s.ColdFor, Aim: s.Classes[0].Aim, Sure: s.Name == ""}
	for i, c := range s.Classes {
		b.site.Aim = min(b.site.Aim, c.Aim)
		if i == len(b.classes) {
			b.classes = append(b.classes, &class{})
			b.bins = append(b.bins, make([]bin, spentBuckets)...)
		}
		changed := *b.classes[i]
		changed.Class = c
		b.classes[i] = &changed
	}
	b.fleet.Widen(firstTimes(s.Classes))
	b.tenants = nil
	for _, t := range s.Tenants {
		rate := t.Quota / s.sharers()
		b.tenants = append(b.tenants, bucket{rate, rate})
	}
	b.weigh()
}

// onSettings takes over changed settings. What has been learned of hosts and classes stays; requests under way keep the
// class that they came with, in its form of then, but make no more attempts than are allowed now.
func (b *Balancer) onSettings(s *Settings) {
	b.limit *= b.set.sharers() / s.sharers() // this process's part of the same whole
	b.tick = max(tickEvery, s.Quantum)
	b.adopt(s)
	for len(b.table) < len(b.bins) {
		row := make([]float64, len(b.servers))
		for i := range row {
			row[i] = 1 / float64(len(row))
		}
		b.table = append(b.table, row)
	}
	for _, r := range b.live {
		r.most = min(r.most, s.MaxAttempts)
	}
	b.relist()
	b.dirty = true
}

// latest is until when an answer is worth anything.
func (r *request) latest() time.Duration {
	if r.class.LateWorth == 0 {
		return min(r.deadline, r.aimAt)
	}
	return r.deadline
}

// most is how many attempts a request may make.
func (b *Balancer) most(ev *Event) int {
	if ev.Most == 0 {
		return b.set.MaxAttempts
	}
	return min(ev.Most, b.set.MaxAttempts)
}

// price is what one more attempt costs of the retries here: nothing where most was granted, for then it has been paid.
func price(ev *Event) float64 {
	if ev.Most != 0 {
		return 0
	}
	return 1
}

// worth is the share of its class's worth that a request is worth, as it came.
func worth(ev *Event) float64 {
	if ev.Worth <= 0 {
		return 1
	}
	return min(1, ev.Worth)
}

// worth is the same as it goes down.
func (r *request) worth() float64 { return min(1, r.rank/r.class.rank) }

// last is the latest attempt of a request that has one.
func (r *request) last() *attempt { return &r.tries[len(r.tries)-1] }

// lowEnd moves an estimate of a low end toward a new value: down fast and up hardly.
func lowEnd(low, x float64) float64 {
	switch {
	case low == 0 || math.IsInf(low, 0):
		return x
	case x < low:
		return low + 0.3*(x-low)
	}
	return low + 0.001*(x-low)
}

// ring orders the listed endpoints so that every stretch of it has its fair part of each kind: those of
// one kind follow their hashed ids, and the kinds are interleaved. With an own of 0 it
// is the same at every instance, and otherwise that instance's.
func ring(all map[EndpointID]*server, own uint64) []*server {
	byKind := map[int][]*server{}
	for _, s := range all {
		if s.listed {
			byKind[s.Kind] = append(byKind[s.Kind], s)
		}
	}
	var order []*server
	at := map[*server]float64{}
	for _, like := range byKind {
		slices.SortFunc(like, func(x, y *server) int { return cmp.Compare(mix(x.Endpoint, own), mix(y.Endpoint, own)) })
		for i, s := range like {
			at[s] = (float64(i) + 0.5) / float64(len(like))
		}
		order = append(order, like...)
	}
	slices.SortFunc(order, func(x, y *server) int {
		return cmp.Or(cmp.Compare(at[x], at[y]), cmp.Compare(mix(x.Endpoint, own), mix(y.Endpoint, own)))
	})
	return order
}

// hashed is an instance's own number, from its name; 0 where it has none.
func hashed(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name) | 1
}

// mix is a hash of an endpoint (the finaliser of splitmix64, one to one), for each own another.
func mix(id EndpointID, own uint64) uint64 {
	x := (uint64(id) ^ own) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// refreshBins takes over the distribution of the last ten seconds.
func (b *Balancer) refreshBins() {
	total := 0.0
	for i := range b.bins {
		total += b.bins[i].seen
	}
	for i := range b.bins {
		b.bins[i] = bin{share: b.bins[i].seen / max(total, 1)}
	}
}

// ahead is how many of those in line go before r.
func (b *Balancer) ahead(r *request) float64 {
	n := 0
	for _, w := range b.waiting {
		if w.rank >= r.rank {
			n++
		}
	}
	return float64(n)
}

// usual takes in the time that a try came with and returns what its like come with: the most, but for the
// top fifth of the last ones, for a few clients with more patience must not make all others look late.
func (c *class) usual(left time.Duration) time.Duration {
	c.lefts[c.tries%len(c.lefts)] = left
	c.tries++
	last := c.lefts
	n := min(c.tries, len(last))
	slices.Sort(last[:n])
	return last[n-1-n/5]
}

// spent is how much of its aim a request has used up before it came. A try that comes with less time than is usual
// for its class may have spent the difference; or its caller has less patience. It is the latter where it is known
// for a first try, and is taken to be where the aim could not be met any more: the caller still waits for it.
func (b *Balancer) spent(c *class, ev *Event) time.Duration {
	spent := max(0, c.usual(ev.Left)-ev.Left)
	first := b.set.MarksRetry && !ev.Repeated
	if first && (b.set.Tier == 0 || spent > c.Aim-b.classDelay(c)) {
		return 0
	}
	return spent
}

// weigh takes over what each class's calls are worth now, and their part of all calls.
func (b *Balancer) weigh() {
	for _, c := range b.classes {
		c.factor = b.factor(c)
		c.rank, c.part = b.rank(c), 0
	}
	for k, w := range b.binWeights() {
		b.classes[k/spentBuckets].part += w
	}
}
