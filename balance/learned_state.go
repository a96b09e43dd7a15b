package balance

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance/grey"
)

// LearnedState is what an instance has learned, except for the membership list, as plain values for its successor
// process. The successor takes it over in an upgrade on the same machine, or reads it from a snapshot after a restart.
// Except where noted, times are relative to the present, so that the clocks of the two processes need not agree. The
// JSON names, here and in the types of the fields, are those of stored snapshots, and may differ from the fields' names.
type LearnedState struct {
	Age time.Duration `json:"Past"` // time since the state was taken

	Limit               float64            `json:"Limit"`     // concurrency limit, in requests
	Capacity            float64            `json:"Able"`      // of the available endpoints, in warm endpoints
	Baseline            float64            `json:"Uncrowded"` // uncongested latency as a fraction of its target
	BaselineKnown       bool               `json:"Known"`
	CongestionAvoidance bool               `json:"Bounded"` // the limit has been cut at least once
	Congested           bool               `json:"Crowded"`
	RetryTokens         float64            `json:"Retries"`
	Responses           MeanState          `json:"Served"`  // target latencies of answers, in seconds
	Rejections          MeanState          `json:"Asked"`   // fraction of the requests that are rejected
	Classes             []ClassState       `json:"Classes"` // in order of class index
	Endpoints           []EndpointState    `json:"Hosts"`
	Detector            grey.DetectorState `json:"Fleet"`
}

// MeanState is a mean whose samples lose weight with time: N is the weight of all samples, Sum their weighted sum.
type MeanState struct {
	N   float64 `json:"N"`
	Sum float64 `json:"Sum"`
}

// ClassState is the learned state of a class.
type ClassState struct {
	Latency         MeanState       `json:"Delay"` // seconds
	BinShares       []float64       `json:"Bins"`  // distribution of the requests by the spent fraction of their target latency
	RecentRemaining []time.Duration `json:"Lefts"` // remaining times of the latest requests at their arrival
}

// EndpointState is the learned state of an endpoint.
type EndpointState struct {
	Endpoint            EndpointID     `json:"Endpoint"`
	StartedAt           time.Duration  `json:"Up"`      // assumed start of its process, by the clock of Handle
	ListedStart         time.Duration  `json:"Told"`    // start of its process as listed by discovery
	Latency             MeanState      `json:"Delay"`   // seconds, scaled to the mean class
	EjectedFor          time.Duration  `json:"Ejected"` // remaining duration of its ejection
	EjectionBackoff     time.Duration  `json:"Backoff"` // duration of the last ejection
	HalfOpen            bool           `json:"Trial"`
	ConsecutiveFailures int            `json:"Fails"`
	Evidence            grey.HostState `json:"Seen"`
}

// The maximum ages at which the parts of a LearnedState that don't decay are restored. Decaying parts lose the weight
// that they would have lost over that age without new observations, and an ejection is restored for its remaining
// duration.
const (
	MaxLimitAge    = 10 * time.Second // for the limit and the congestion state: two decay times of an observation
	MaxBaselineAge = time.Minute      // for the baseline, which falls fast but rises slowly after a release that changes it
)

const (
	maxRestoredRequests = 1e6    // maximum of limits, capacities and shares
	maxRestoredSamples  = 1e9    // maximum of the weight and the sum of a mean
	minRestoredLatency  = 1e-6   // seconds
	maxRestoredLatency  = 3600.0 // seconds
)

// DecayWeight returns the fraction of its initial weight that an observation of an endpoint has at an age.
func DecayWeight(age time.Duration) float64 { return math.Exp(-age.Seconds() / decaySeconds) }

// LearnedState returns a copy of what the instance has learned so far.
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

// ReorderClasses puts the classes into the order of another process with n classes: class i of this state has index
// newIndex[i] there, which is negative if that process has no such class.
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

// reorder returns n values with from[i] at index newIndex[i]. Values with a negative index are dropped.
func reorder[T any](from []T, newIndex []int, n int) []T {
	to := make([]T, n)
	for i, j := range newIndex {
		if j >= 0 && j < n && i < len(from) {
			to[j] = from[i]
		}
	}
	return to
}

// Restore applies the learned state of another process, with its Age, at the time now. It is meant for an instance that
// has its membership list and has learned nothing yet. Invalid values are skipped, so that a wrong value costs a few
// requests at most.
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
		class.latency = learned.Latency.restoreLatency(classDecayFactor(DecayWeight(age)))
		class.arrivals = copy(class.recentRemaining[:], learned.RecentRemaining)
		for k, share := range learned.BinShares[:min(binsPerClass, len(learned.BinShares))] {
			if inRange(share, maxRestoredRequests) {
				b.bins[i*binsPerClass+k].share = share
			}
		}
	}
}

// restoreEndpoint applies the learned state of an endpoint, unless the endpoint is unknown here or has restarted since.
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

// restore returns the mean with its weight multiplied by a decay factor, or an empty mean if the state is invalid.
func (s MeanState) restore(decayFactor float64) decayedMean {
	if !inRange(s.N, maxRestoredSamples) || !inRange(s.Sum, maxRestoredSamples) {
		return decayedMean{}
	}
	return decayedMean{s.N * decayFactor, s.Sum * decayFactor}
}

// restoreLatency is like restore, but also returns an empty mean if the mean latency is outside of minRestoredLatency to
// maxRestoredLatency, because other values are divided by it.
func (s MeanState) restoreLatency(decayFactor float64) decayedMean {
	if s.Sum < minRestoredLatency*s.N || s.Sum > maxRestoredLatency*s.N {
		return decayedMean{}
	}
	return s.restore(decayFactor)
}

// inRange reports whether x is from 0 to largest. NaN is not in range.
func inRange(x, largest float64) bool { return x >= 0 && x <= largest }
