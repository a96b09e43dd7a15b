package balance

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance/grey"
)

// LearnedState is what an instance knows beyond the list, as plain values, for the process that succeeds it: within moments on
// the same machine, or after a while from a snapshot. Times are left over or past, so that no two clocks have to agree.
type LearnedState struct {
	Age time.Duration `json:"Past"` // for so long it has not been looked after

	Limit               float64         `json:"Limit"`
	Capacity            float64         `json:"Able"`
	Baseline            float64         `json:"Uncrowded"`
	BaselineKnown       bool            `json:"Known"`
	CongestionAvoidance bool            `json:"Bounded"`
	Congested           bool            `json:"Crowded"`
	RetryTokens         float64         `json:"Retries"`
	Responses           MeanState       `json:"Served"` // answers, with the aims of their classes
	Rejections          MeanState       `json:"Asked"`
	Classes             []ClassState    `json:"Classes"` // by class index
	Endpoints           []EndpointState `json:"Hosts"`
	Detector            grey.State      `json:"Fleet"`
}

// MeanState is a mean whose samples lose weight with time.
type MeanState struct {
	N   float64 `json:"N"`
	Sum float64 `json:"Sum"`
}

// ClassState is what is known of a class.
type ClassState struct {
	Latency         MeanState       `json:"Delay"` // seconds
	BinShares       []float64       `json:"Bins"`  // its part of the calls, by the share of their aims that is spent
	RecentRemaining []time.Duration `json:"Lefts"`
}

// EndpointState is what is known of an endpoint.
type EndpointState struct {
	Endpoint            EndpointID     `json:"Endpoint"`
	StartedAt           time.Duration  `json:"Up"`      // its last start, as it counts
	ListedStart         time.Duration  `json:"Told"`    // the same as the list had it
	Latency             MeanState      `json:"Delay"`   // seconds, scaled to the mean class
	EjectedFor          time.Duration  `json:"Ejected"` // for so long from now
	EjectionBackoff     time.Duration  `json:"Backoff"`
	HalfOpen            bool           `json:"Trial"`
	ConsecutiveFailures int            `json:"Fails"`
	Evidence            grey.HostState `json:"Seen"`
}

// For how long a part of it is worth believing that does not age by itself. Curves, shares and suspicions lose weight while
// nobody looks after them as they do where nobody asks; an ejection keeps the time that is left of it.
const (
	MaxLimitAge    = 10 * time.Second // the limit, and that there is a crowd: twice as long as an observation counts
	MaxBaselineAge = time.Minute      // what answers take uncrowded, which the service can change by a release; it comes down fast and goes up hardly
)

// DecayWeight is how much of its weight an observation of a server keeps over so long.
func DecayWeight(past time.Duration) float64 { return math.Exp(-past.Seconds() / decaySeconds) }

// LearnedState returns what is known now.
func (b *Balancer) LearnedState() *LearnedState {
	l := &LearnedState{Limit: b.limit, Capacity: b.capacity, Baseline: b.baseline, BaselineKnown: b.baselineKnown, CongestionAvoidance: b.congestionAvoidance, Congested: b.congested,
		RetryTokens: b.retryTokens, Responses: MeanState{b.responses.n, b.responses.sum}, Rejections: MeanState{b.rejections.n, b.rejections.sum}, Detector: b.detector.State()}
	for i, class := range b.classes {
		of := ClassState{Latency: MeanState{class.latency.n, class.latency.sum}, RecentRemaining: slices.Clone(class.recentRemaining[:min(class.arrivals, len(class.recentRemaining))])}
		for _, bin := range b.bins[i*binsPerClass : (i+1)*binsPerClass] {
			of.BinShares = append(of.BinShares, bin.share+bin.arrivals*1e-3)
		}
		l.Classes = append(l.Classes, of)
	}
	for _, endpoint := range b.endpoints {
		l.Endpoints = append(l.Endpoints, EndpointState{Endpoint: endpoint.Endpoint, StartedAt: endpoint.StartedAt, ListedStart: endpoint.listedStart, Latency: MeanState{endpoint.latency.n, endpoint.latency.sum},
			EjectedFor: max(0, endpoint.ejectedUntil-b.now), EjectionBackoff: endpoint.ejectionBackoff, HalfOpen: endpoint.halfOpen, ConsecutiveFailures: endpoint.consecutiveFailures, Evidence: endpoint.evidence.State()})
	}
	return l
}

// ReorderClasses has the classes stand as they do for another process: to[i] is where class i of this one stands there, or below
// 0 where it stands nowhere; there are n of them there.
func (l *LearnedState) ReorderClasses(to []int, n int) {
	classes := make([]ClassState, n)
	fleet := grey.State{Classes: make([]grey.Count, n), Paces: make([]grey.Pace, n), Mute: l.Detector.Mute, Ups: l.Detector.Ups}
	reorder(classes, l.Classes, to)
	reorder(fleet.Classes, l.Detector.Classes, to)
	reorder(fleet.Paces, l.Detector.Paces, to)
	for i := range l.Endpoints {
		if of := &l.Endpoints[i].Evidence; len(of.Classes) > 0 {
			moved := make([]grey.Count, n)
			reorder(moved, of.Classes, to)
			of.Classes = moved
		}
	}
	l.Classes, l.Detector = classes, fleet
}

func reorder[T any](to, from []T, at []int) {
	for i, j := range at {
		if j >= 0 && j < len(to) && i < len(from) {
			to[j] = from[i]
		}
	}
}

// Restore takes over what another process knew. It is for an instance that has its list and nothing else yet. What can't
// be right is left out: a misleading value may cost a few requests, and must not cost more.
func (b *Balancer) Restore(now time.Duration, l *LearnedState) {
	b.now = now
	past := max(0, l.Age)
	keep := DecayWeight(past)
	if past <= MaxLimitAge && fits(l.Limit, 1e6) && l.Limit > 0 && fits(l.Capacity, 1e6) && l.Capacity > 0 {
		b.limit = l.Limit * b.capacity / l.Capacity
		b.congestionAvoidance, b.congested = l.CongestionAvoidance, l.Congested
	}
	if past <= MaxBaselineAge && fits(l.Baseline, 1) {
		b.baseline, b.baselineKnown = l.Baseline, l.BaselineKnown
	}
	if fits(l.RetryTokens, maxRetryTokens) {
		b.retryTokens = l.RetryTokens
	}
	b.responses, b.rejections = l.Responses.average(keep), l.Rejections.average(keep)
	b.rejections.sum = min(b.rejections.sum, b.rejections.n)
	for i, class := range b.classes {
		if i < len(l.Classes) {
			of := &l.Classes[i]
			class.latency, class.arrivals = of.Latency.delay(math.Sqrt(math.Sqrt(keep))), copy(class.recentRemaining[:], of.RecentRemaining) // as upkeep ages it
			for k, share := range of.BinShares[:min(binsPerClass, len(of.BinShares))] {
				if fits(share, 1e6) {
					b.bins[i*binsPerClass+k].share = share
				}
			}
		}
	}
	b.detector.Take(l.Detector)
	b.detector.Age(past.Seconds())
	for _, h := range l.Endpoints {
		if endpoint := b.endpointsByID[h.Endpoint]; endpoint != nil && h.ListedStart >= endpoint.listedStart { // or it has started anew since
			endpoint.StartedAt, endpoint.listedStart = min(max(endpoint.StartedAt, h.StartedAt), now), h.ListedStart
			endpoint.latency, endpoint.halfOpen, endpoint.evidence = h.Latency.delay(keep), h.HalfOpen, h.Evidence.Host(len(b.classes))
			endpoint.evidence.Age(past.Seconds())
			if past.Seconds() <= decaySeconds {
				endpoint.consecutiveFailures = max(0, h.ConsecutiveFailures)
			}
			endpoint.ejectionBackoff = min(maxEjectionTime, max(0, h.EjectionBackoff))
			endpoint.ejectedUntil = now + min(maxEjectionTime, max(0, h.EjectedFor-past))
			endpoint.group.latency.n, endpoint.group.latency.sum = endpoint.group.latency.n+endpoint.latency.n, endpoint.group.latency.sum+endpoint.latency.sum
		}
	}
	b.updateClassWeights()
	b.rebuildEndpoints()
	b.solveNeeded = true
}

// average is the same with so much of its weight left.
func (s MeanState) average(keep float64) decayedMean {
	if !fits(s.N, 1e9) || !fits(s.Sum, 1e9) {
		return decayedMean{}
	}
	return decayedMean{s.N * keep, s.Sum * keep}
}

// delay is the same of a delay, whose mean is from a microsecond to an hour: what is divided by it must stay a number.
func (s MeanState) delay(keep float64) decayedMean {
	if s.Sum < 1e-6*s.N || s.Sum > 3600*s.N {
		return decayedMean{}
	}
	return s.average(keep)
}

// fits tells whether a number is one, and within its range.
func fits(x, most float64) bool { return x >= 0 && x <= most }
