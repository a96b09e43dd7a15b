package balance

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/balance/grey"
	"pinelb.example/pinelb/balance/warmup"
)

// endpointState is one endpoint as this instance sees it.
type endpointState struct {
	Entry
	group       *group
	available   bool          // ready in the list, and not cordoned
	inSubset    bool          // one of those that this instance sends to
	listedStart time.Duration // Entry.StartedAt as the list had it

	pending        []pendingAttempt // by the time of sending
	inFlight       int              // of them unlikely to hang, as of the last assessment and since
	unhealthy      bool             // at the last assessment: its requests in flight count nowhere
	latency        decayedMean      // of served attempts, in seconds, scaled to the mean class
	overdueLatency decayedMean      // the same of pending attempts, once they take longer than the mean
	evidence       grey.Host

	// Outlier ejection, as a circuit breaker: closed, open until ejectedUntil, half-open after that.
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejectionBackoff     time.Duration // length of the last ejection
	halfOpen            bool          // one request at a time until it has served one

	lastSignal  time.Duration // when it last answered in any way, by Balancer.runTime
	lastSuccess time.Duration // when it last served an attempt

	warmup      warmup.Budget // what it may be sent while it is warming up
	utilisation loadValue
}

// groupKey identifies a group.
type groupKey struct {
	kind   int
	weight float64
}

// group is what endpoints of the same kind and weight have in common.
type group struct {
	latency decayedMean // as endpointState.latency
}

// loadValue is the latest value of one load field.
type loadValue struct {
	value float64
	known bool
}

// EndpointHealth is the health of an endpoint as the decisions see it, for observers.
type EndpointHealth struct {
	Endpoint    EndpointID
	Grey        bool    // it fails more of its attempts than its peers do
	Ejected     bool    // it gets nothing for a while, or one request at a time until it has served one
	FailureRate float64 // share of its attempts that fail, of the class of which it fails most
}

// EndpointHealth appends the health of the endpoints in use, in the order of their EndpointIDs.
func (b *Balancer) EndpointHealth(out []EndpointHealth) []EndpointHealth {
	for _, endpoint := range b.endpoints {
		out = append(out, EndpointHealth{
			Endpoint:    endpoint.Endpoint,
			Grey:        endpoint.evidence.Grey(),
			Ejected:     b.now < endpoint.ejectedUntil || endpoint.halfOpen,
			FailureRate: slices.Max(b.failureRates(endpoint)),
		})
	}
	return out
}

// failureRates is the share that an endpoint fails of each class. Pending attempts count by their odds of hanging.
func (b *Balancer) failureRates(endpoint *endpointState) []float64 {
	hanging, pending := 0.0, 0.0
	for i := range endpoint.pending {
		if endpoint.pending[i].likelyHung() {
			hanging += endpoint.pending[i].hangProbability
			pending++
		}
	}
	rates := make([]float64, len(b.classes))
	for i := range rates {
		rates[i] = b.detector.FailureRate(&endpoint.evidence, i, hanging, pending)
	}
	return rates
}

// rebuildEndpoints chooses the subset again, drops what is gone and carries the routing weights over; a new endpoint starts
// with an even share.
func (b *Balancer) rebuildEndpoints() {
	oldIndex := map[*endpointState]int{}
	for i, endpoint := range b.endpoints {
		oldIndex[endpoint] = i
	}
	b.endpoints = nil
	b.chooseSubset()
	var unused []EndpointID
	for id, endpoint := range b.endpointsByID {
		_, wasUsed := oldIndex[endpoint]
		mayBeUncordoned := endpoint.State == Ready && b.cordoned[id] // no list need report it then
		switch {
		case endpoint.available && endpoint.inSubset || len(endpoint.pending) > 0:
			b.endpoints = append(b.endpoints, endpoint)
		case !endpoint.available && !mayBeUncordoned:
			delete(b.endpointsByID, id)
		case wasUsed: // its connections are of use to other instances, and what was learned of it goes stale
			unused = append(unused, endpoint.Endpoint)
			endpoint.latency = decayedMean{}
			endpoint.evidence = grey.Host{}
		}
	}
	slices.Sort(unused)
	for _, id := range unused {
		b.emit(Action{Kind: ActCloseIdle, Endpoint: id})
	}
	slices.SortFunc(b.endpoints, func(x, y *endpointState) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	b.seedCachedList()
	b.carryRowsOver(oldIndex)
}
