package balance

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance/grey"
)

// LearnedState is what an instance has learned beyond the membership list, as plain values, for the process that succeeds it:
// within moments on the same machine, or later from a snapshot. Times are durations from now, so that no two clocks have to
// agree. The JSON names are those of stored snapshots.
type LearnedState struct {
	Age time.Duration `json:"Past"` // since it was taken

	Limit               float64            `json:"Limit"`     // concurrency limit, in requests
	Capacity            float64            `json:"Able"`      // of the available endpoints, in warm ones
	Baseline            float64            `json:"Uncrowded"` // share of the target that uncongested answers take
	BaselineKnown       bool               `json:"Known"`
	CongestionAvoidance bool               `json:"Bounded"` // the limit has been cut once
	Congested           bool               `json:"Crowded"`
	RetryTokens         float64            `json:"Retries"`
	Responses           MeanState          `json:"Served"`  // target latencies of answers, in seconds
	Rejections          MeanState          `json:"Asked"`   // per request: 1 is rejected
	Classes             []ClassState       `json:"Classes"` // by class index
	Endpoints           []EndpointState    `json:"Hosts"`
	Detector            grey.DetectorState `json:"Fleet"`
}

// MeanState is a mean whose samples lose weight with time: the weight of the samples and their sum.
type MeanState struct {
	N   float64 `json:"N"`
	Sum float64 `json:"Sum"`
}

// ClassState is what was learned of a class.
type ClassState struct {
	Latency         MeanState       `json:"Delay"` // seconds
	BinShares       []float64       `json:"Bins"`  // of the calls, by the share of their target latency that is spent
	RecentRemaining []time.Duration `json:"Lefts"` // the times that its last requests came with
}

// EndpointState is what was learned of an endpoint.
type EndpointState struct {
	Endpoint            EndpointID     `json:"Endpoint"`
	StartedAt           time.Duration  `json:"Up"`      // of its process, as it counts; by the clock of Handle
	ListedStart         time.Duration  `json:"Told"`    // the same, as the list had it
	Latency             MeanState      `json:"Delay"`   // seconds, scaled to the mean class
	EjectedFor          time.Duration  `json:"Ejected"` // from now
	EjectionBackoff     time.Duration  `json:"Backoff"` // length of the last ejection
	HalfOpen            bool           `json:"Trial"`
	ConsecutiveFailures int            `json:"Fails"`
	Evidence            grey.HostState `json:"Seen"`
}

// The ages up to which parts of a LearnedState are restored that don't decay by themselves. What decays loses the weight
// that it would have lost without new observations; an ejection keeps the time that is left of it.
const (
	MaxLimitAge    = 10 * time.Second // the limit and the congestion: twice as long as an observation counts
	MaxBaselineAge = time.Minute      // the baseline, which a release of the service can change: it comes down fast and goes up slowly
)

const (
	maxRestoredRequests = 1e6 // bounds limits, capacities and shares
	maxRestoredSamples  = 1e9 // bounds weights and sums of means
	minRestoredLatency  = 1e-6
	maxRestoredLatency  = 3600.0
)

// DecayWeight is the share of its weight that an observation of an endpoint keeps over an age.
func DecayWeight(age time.Duration) float64 { return math.Exp(-age.Seconds() / decaySeconds) }

// LearnedState returns what was learned so far.
func (b *Balancer) LearnedState() *LearnedState {
	state := &LearnedState{
		Limit:               b.limit,
		Capacity:            b.capacity,
		Baseline:            b.baseline,
		BaselineKnown:       b.baselineKnown,
		CongestionAvoidance: b.congestionAvoidance,
		Congested:           b.congested,
		RetryTokens:         b.retryTokens,
		Responses:           b.responses.state(),
		Rejections:          b.rejections.state(),
		Detector:            b.detector.State(),
	}
	for i, class := range b.classes {
		learned := ClassState{
			Latency:         class.latency.state(),
			RecentRemaining: slices.Clone(class.recentRemaining[:min(class.arrivals, len(class.recentRemaining))]),
		}
		for _, bin := range b.bins[i*binsPerClass : (i+1)*binsPerClass] {
			learned.BinShares = append(learned.BinShares, bin.share+bin.arrivals*arrivalWeight)
		}
		state.Classes = append(state.Classes, learned)
	}
	for _, endpoint := range b.endpoints {
		state.Endpoints = append(state.Endpoints, EndpointState{
			Endpoint:            endpoint.Endpoint,
			StartedAt:           endpoint.StartedAt,
			ListedStart:         endpoint.listedStart,
			Latency:             endpoint.latency.state(),
			EjectedFor:          max(0, endpoint.ejectedUntil-b.now),
			EjectionBackoff:     endpoint.ejectionBackoff,
			HalfOpen:            endpoint.halfOpen,
			ConsecutiveFailures: endpoint.consecutiveFailures,
			Evidence:            endpoint.evidence.State(),
		})
	}
	return state
}

// ReorderClasses puts the classes into the order of another process: class i of this state has index newIndex[i] there, or
// below 0 where that process has no such class. The other process has n classes.
func (l *LearnedState) ReorderClasses(newIndex []int, n int) {
	l.Classes = reorder(l.Classes, newIndex, n)
	l.Detector.Classes = reorder(l.Detector.Classes, newIndex, n)
	l.Detector.Latencies = reorder(l.Detector.Latencies, newIndex, n)
	for i := range l.Endpoints {
		if evidence := &l.Endpoints[i].Evidence; len(evidence.Classes) > 0 {
			evidence.Classes = reorder(evidence.Classes, newIndex, n)
		}
	}
}

// reorder returns n values, of which value newIndex[i] is from[i].
func reorder[T any](from []T, newIndex []int, n int) []T {
	to := make([]T, n)
	for i, j := range newIndex {
		if j >= 0 && j < n && i < len(from) {
			to[j] = from[i]
		}
	}
	return to
}

// Restore takes over what another process learned. It is for an instance that has its membership list and nothing else yet.
// Values that can't be right are left out: a misleading value may cost a few requests, and must not cost more.
func (b *Balancer) Restore(now time.Duration, state *LearnedState) {
	b.now = now
	age := max(0, state.Age)
	b.restoreLimit(state, age)
	if inRange(state.RetryTokens, maxRetryTokens) {
		b.retryTokens = state.RetryTokens
	}
	b.responses = state.Responses.restore(DecayWeight(age))
	b.rejections = state.Rejections.restore(DecayWeight(age))
	b.rejections.sum = min(b.rejections.sum, b.rejections.n)
	b.restoreClasses(state.Classes, age)
	b.detector.Restore(state.Detector)
	b.detector.Decay(age.Seconds())
	for i := range state.Endpoints {
		b.restoreEndpoint(&state.Endpoints[i], age)
	}
	b.updateClassWeights()
	b.rebuildEndpoints()
	b.solveNeeded = true
}

func (b *Balancer) restoreLimit(state *LearnedState, age time.Duration) {
	limitUsable := inRange(state.Limit, maxRestoredRequests) && state.Limit > 0 &&
		inRange(state.Capacity, maxRestoredRequests) && state.Capacity > 0
	if age <= MaxLimitAge && limitUsable {
		b.limit = state.Limit * b.capacity / state.Capacity
		b.congestionAvoidance = state.CongestionAvoidance
		b.congested = state.Congested
	}
	if age <= MaxBaselineAge && inRange(state.Baseline, 1) {
		b.baseline = state.Baseline
		b.baselineKnown = state.BaselineKnown
	}
}

func (b *Balancer) restoreClasses(classes []ClassState, age time.Duration) {
	for i, class := range b.classes[:min(len(b.classes), len(classes))] {
		learned := &classes[i]
		class.latency = learned.Latency.restoreLatency(classKeep(DecayWeight(age)))
		class.arrivals = copy(class.recentRemaining[:], learned.RecentRemaining)
		for k, share := range learned.BinShares[:min(binsPerClass, len(learned.BinShares))] {
			if inRange(share, maxRestoredRequests) {
				b.bins[i*binsPerClass+k].share = share
			}
		}
	}
}

// restoreEndpoint takes over what was learned of an endpoint, unless it is unknown here or has restarted since.
func (b *Balancer) restoreEndpoint(learned *EndpointState, age time.Duration) {
	endpoint := b.endpointsByID[learned.Endpoint]
	if endpoint == nil || learned.ListedStart < endpoint.listedStart {
		return
	}
	endpoint.StartedAt = min(max(endpoint.StartedAt, learned.StartedAt), b.now)
	endpoint.listedStart = learned.ListedStart
	endpoint.latency = learned.Latency.restoreLatency(DecayWeight(age))
	endpoint.halfOpen = learned.HalfOpen
	endpoint.evidence = learned.Evidence.Restore(len(b.classes))
	endpoint.evidence.Decay(age.Seconds())
	if age.Seconds() <= decaySeconds {
		endpoint.consecutiveFailures = max(0, learned.ConsecutiveFailures)
	}
	endpoint.ejectionBackoff = min(maxEjectionTime, max(0, learned.EjectionBackoff))
	endpoint.ejectedUntil = b.now + min(maxEjectionTime, max(0, learned.EjectedFor-age))
	endpoint.group.latency.merge(endpoint.latency)
}

func (m *decayedMean) state() MeanState { return MeanState{m.n, m.sum} }

// restore is the mean with the given share of its weight; empty if it can't be right.
func (s MeanState) restore(keep float64) decayedMean {
	if !inRange(s.N, maxRestoredSamples) || !inRange(s.Sum, maxRestoredSamples) {
		return decayedMean{}
	}
	return decayedMean{s.N * keep, s.Sum * keep}
}

// restoreLatency is restore of a latency, whose mean is from a microsecond to an hour: others divide by it.
func (s MeanState) restoreLatency(keep float64) decayedMean {
	if s.Sum < minRestoredLatency*s.N || s.Sum > maxRestoredLatency*s.N {
		return decayedMean{}
	}
	return s.restore(keep)
}

// inRange reports whether x is a number from 0 to largest; NaN isn't.
func inRange(x, largest float64) bool { return x >= 0 && x <= largest }
