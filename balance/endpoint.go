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
	inSubset    bool          // this instance sends requests to it
	listedStart time.Duration // Entry.StartedAt as listed by discovery

	pending        []pendingAttempt // open attempts, in order of sending
	inFlight       int              // pending attempts that likely don't hang: counted at each assessment, updated in between
	unhealthy      bool             // at the last assessment; its requests in flight are not in Balancer.inFlight
	latency        decayedMean      // latencies of served attempts, in seconds, scaled to the mean class
	overdueLatency decayedMean      // scaled ages of pending attempts that exceed the mean latency, in seconds
	evidence       grey.Host        // of a grey failure: failing some attempts while serving others (package grey)

	// Outlier ejection, as a circuit breaker: closed, open until ejectedUntil, then half-open.
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejectionBackoff     time.Duration // duration of the last ejection; 0 after a served attempt
	halfOpen            bool          // gets one request at a time until it has served one

	lastSignal  time.Duration // end of the last attempt that was sent and not cancelled, by Balancer.runTime
	lastSuccess time.Duration // last served attempt

	warmup      warmup.Budget // credits for sends to it while it is warming up
	utilisation loadValue
}

// groupKey identifies a group.
type groupKey struct {
	kind   int
	weight float64
}

// group is the learned state that endpoints of the same kind and weight share.
type group struct {
	latency decayedMean // see endpointState.latency
}

// loadValue is the smoothed value of one load field.
type loadValue struct {
	value float64
	known bool
}

// EndpointHealth is an endpoint's health as used by the decisions, for monitoring.
type EndpointHealth struct {
	Endpoint    EndpointID
	Grey        bool    // it fails a larger fraction of its attempts than its peers, while it serves the others (package grey)
	Ejected     bool    // it gets no requests, or one at a time until it has served one
	FailureRate float64 // largest failure rate over the classes, 0 to 1
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

// failureRates returns an endpoint's failure rate for each class. Pending attempts that likely hang count by their
// probability of hanging.
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

// rebuildEndpoints chooses the subset again, drops removed endpoints and keeps the routing weights of the others; a new
// endpoint starts with an equal share.
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
		// An operator may uncordon such an endpoint before another list reports it, so it is not deleted.
		mayBeUncordoned := endpoint.State == Ready && b.cordoned[id]
		switch {
		case endpoint.available && endpoint.inSubset || len(endpoint.pending) > 0:
			b.endpoints = append(b.endpoints, endpoint)
		case !endpoint.available && !mayBeUncordoned:
			delete(b.endpointsByID, id)
		case wasUsed:
			// The endpoint is kept, but this instance does not use it any more. Closing its idle connections frees them
			// for other instances. Its learned statistics are discarded, because they would become stale.
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
