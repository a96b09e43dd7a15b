// What is learned of delay, and the limit that follows from it.

package balance

import (
	"math"
	"slices"
	"time"
)

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
