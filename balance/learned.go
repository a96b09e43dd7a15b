package balance

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance/grey"
)

// Learned is what an instance knows beyond the list, as plain values, for the process that succeeds it: within moments on
// the same machine, or after a while from a snapshot. Times are left over or past, so that no two clocks have to agree.
type Learned struct {
	Past time.Duration `json:"Past"` // for so long it has not been looked after

	Limit     float64        `json:"Limit"`
	Able      float64        `json:"Able"`
	Uncrowded float64        `json:"Uncrowded"`
	Known     bool           `json:"Known"`
	Bounded   bool           `json:"Bounded"`
	Crowded   bool           `json:"Crowded"`
	Retries   float64        `json:"Retries"`
	Served    Sample         `json:"Served"` // answers, with the aims of their classes
	Asked     Sample         `json:"Asked"`
	Classes   []ClassLearned `json:"Classes"` // by class index
	Hosts     []HostLearned  `json:"Hosts"`
	Fleet     grey.State     `json:"Fleet"`
}

// Sample is a mean whose samples lose weight with time.
type Sample struct {
	N   float64 `json:"N"`
	Sum float64 `json:"Sum"`
}

// ClassLearned is what is known of a class.
type ClassLearned struct {
	Delay Sample          `json:"Delay"` // seconds
	Bins  []float64       `json:"Bins"`  // its part of the calls, by the share of their aims that is spent
	Lefts []time.Duration `json:"Lefts"`
}

// HostLearned is what is known of an endpoint.
type HostLearned struct {
	Endpoint EndpointID     `json:"Endpoint"`
	Up       time.Duration  `json:"Up"`      // its last start, as it counts
	Told     time.Duration  `json:"Told"`    // the same as the list had it
	Delay    Sample         `json:"Delay"`   // seconds, scaled to the mean class
	Ejected  time.Duration  `json:"Ejected"` // for so long from now
	Backoff  time.Duration  `json:"Backoff"`
	Trial    bool           `json:"Trial"`
	Fails    int            `json:"Fails"`
	Seen     grey.HostState `json:"Seen"`
}

// For how long a part of it is worth believing that does not age by itself. Curves, shares and suspicions lose weight while
// nobody looks after them as they do where nobody asks; an ejection keeps the time that is left of it.
const (
	LimitFor   = 10 * time.Second // the limit, and that there is a crowd: twice as long as an observation counts
	MeasureFor = time.Minute      // what answers take uncrowded, which the service can change by a release; it comes down fast and goes up hardly
)

// Weight is how much of its weight an observation of a server keeps over so long.
func Weight(past time.Duration) float64 { return math.Exp(-past.Seconds() / memory) }

// Learned returns what is known now.
func (b *Balancer) Learned() *Learned {
	l := &Learned{Limit: b.limit, Able: b.able, Uncrowded: b.uncrowded, Known: b.known, Bounded: b.bounded, Crowded: b.crowded,
		Retries: b.retries, Served: Sample{b.served.n, b.served.sum}, Asked: Sample{b.asked.n, b.asked.sum}, Fleet: b.fleet.State()}
	for i, c := range b.classes {
		of := ClassLearned{Delay: Sample{c.delay.n, c.delay.sum}, Lefts: slices.Clone(c.lefts[:min(c.tries, len(c.lefts))])}
		for _, bin := range b.bins[i*spentBuckets : (i+1)*spentBuckets] {
			of.Bins = append(of.Bins, bin.share+bin.seen*1e-3)
		}
		l.Classes = append(l.Classes, of)
	}
	for _, s := range b.servers {
		l.Hosts = append(l.Hosts, HostLearned{Endpoint: s.Endpoint, Up: s.UpSince, Told: s.told, Delay: Sample{s.delay.n, s.delay.sum},
			Ejected: max(0, s.ejected-b.now), Backoff: s.backoff, Trial: s.trial, Fails: s.fails, Seen: s.seen.State()})
	}
	return l
}

// Reorder has the classes stand as they do for another process: to[i] is where class i of this one stands there, or below
// 0 where it stands nowhere; there are n of them there.
func (l *Learned) Reorder(to []int, n int) {
	classes := make([]ClassLearned, n)
	fleet := grey.State{Classes: make([]grey.Count, n), Paces: make([]grey.Pace, n), Mute: l.Fleet.Mute, Ups: l.Fleet.Ups}
	move(classes, l.Classes, to)
	move(fleet.Classes, l.Fleet.Classes, to)
	move(fleet.Paces, l.Fleet.Paces, to)
	for i := range l.Hosts {
		if of := &l.Hosts[i].Seen; len(of.Classes) > 0 {
			moved := make([]grey.Count, n)
			move(moved, of.Classes, to)
			of.Classes = moved
		}
	}
	l.Classes, l.Fleet = classes, fleet
}

func move[T any](to, from []T, at []int) {
	for i, j := range at {
		if j >= 0 && j < len(to) && i < len(from) {
			to[j] = from[i]
		}
	}
}

// Learn takes over what another process knew. It is for an instance that has its list and nothing else yet. What can't
// be right is left out: a misleading value may cost a few requests, and must not cost more.
func (b *Balancer) Learn(now time.Duration, l *Learned) {
	b.now = now
	past := max(0, l.Past)
	keep := Weight(past)
	if past <= LimitFor && fits(l.Limit, 1e6) && l.Limit > 0 && fits(l.Able, 1e6) && l.Able > 0 {
		b.limit = l.Limit * b.able / l.Able
		b.bounded, b.crowded = l.Bounded, l.Crowded
	}
	if past <= MeasureFor && fits(l.Uncrowded, 1) {
		b.uncrowded, b.known = l.Uncrowded, l.Known
	}
	if fits(l.Retries, retryBurst) {
		b.retries = l.Retries
	}
	b.served, b.asked = l.Served.average(keep), l.Asked.average(keep)
	b.asked.sum = min(b.asked.sum, b.asked.n)
	for i, c := range b.classes {
		if i < len(l.Classes) {
			of := &l.Classes[i]
			c.delay, c.tries = of.Delay.delay(math.Sqrt(math.Sqrt(keep))), copy(c.lefts[:], of.Lefts) // as upkeep ages it
			for k, share := range of.Bins[:min(spentBuckets, len(of.Bins))] {
				if fits(share, 1e6) {
					b.bins[i*spentBuckets+k].share = share
				}
			}
		}
	}
	b.fleet.Take(l.Fleet)
	b.fleet.Age(past.Seconds())
	for _, h := range l.Hosts {
		if s := b.byID[h.Endpoint]; s != nil && h.Told >= s.told { // or it has started anew since
			s.UpSince, s.told = min(max(s.UpSince, h.Up), now), h.Told
			s.delay, s.trial, s.seen = h.Delay.delay(keep), h.Trial, h.Seen.Host(len(b.classes))
			s.seen.Age(past.Seconds())
			if past.Seconds() <= memory {
				s.fails = max(0, h.Fails)
			}
			s.backoff = min(ejectMost, max(0, h.Backoff))
			s.ejected = now + min(ejectMost, max(0, h.Ejected-past))
			s.group.delay.n, s.group.delay.sum = s.group.delay.n+s.delay.n, s.group.delay.sum+s.delay.sum
		}
	}
	b.weigh()
	b.relist()
	b.dirty = true
}

// average is the same with so much of its weight left.
func (s Sample) average(keep float64) average {
	if !fits(s.N, 1e9) || !fits(s.Sum, 1e9) {
		return average{}
	}
	return average{s.N * keep, s.Sum * keep}
}

// delay is the same of a delay, whose mean is from a microsecond to an hour: what is divided by it must stay a number.
func (s Sample) delay(keep float64) average {
	if s.Sum < 1e-6*s.N || s.Sum > 3600*s.N {
		return average{}
	}
	return s.average(keep)
}

// fits tells whether a number is one, and within its range.
func fits(x, most float64) bool { return x >= 0 && x <= most }
