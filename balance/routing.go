// Routing: the bin of a request, and the server that its row draws.

package balance

import (
	"math"
	"slices"
)

// binOf is the request's class and the share of its aim that is spent.
func (b *Balancer) binOf(request *requestState) int {
	spent := 1 - float64(request.targetAt-b.now)/float64(request.class.TargetLatency)
	k := 0
	for k < len(binEdges) && spent > binEdges[k] {
		k++
	}
	return request.classIndex*binsPerClass + k
}

// route draws from the bin's cached row, renormalised over the endpoints now eligible.
func (b *Balancer) pickEndpoint(request *requestState) *endpointState {
	if len(b.endpoints) == 0 {
		return nil
	}
	held := 1 + float64(b.inFlight)
	if held > b.allowedInFlight(request) && len(request.attempts) == 0 {
		return nil
	}
	// CongestionAvoidance loads: while some endpoint holds less than its share, one that holds more is passed over.
	// Chance alone would crowd a server now and then, and one that is crowded turns slow and stays so.
	if endpoint := b.drawEndpoint(request, b.binOf(request), held); endpoint != nil {
		return endpoint
	}
	return b.drawEndpoint(request, b.binOf(request), math.Inf(1))
}

// draw is one from a bin's row over those eligible that hold less than their share of held: the first of some
// draws from the whole row that is one of these, or else, where they are few, one of a look through it all.
func (b *Balancer) drawEndpoint(request *requestState, bin int, held float64) *endpointState {
	most := min(held, endpointLimitSlack*b.limit)
	fits := func(i int) bool {
		endpoint := b.endpoints[i]
		return float64(endpoint.inFlight) < max(1, math.Ceil(most*b.totalShare[i])) && b.eligible(request, endpoint)
	}
	for range maxDraws {
		if i, _ := slices.BinarySearch(b.cumulativeRows[bin], b.random.Float64()); i < len(b.endpoints) && fits(i) {
			return b.endpoints[i]
		}
	}
	drawn, total := (*endpointState)(nil), 0.0
	for i, p := range b.rows[bin] {
		if p > 0 && fits(i) {
			total += p
			if b.random.Float64()*total < p {
				drawn = b.endpoints[i]
			}
		}
	}
	return drawn
}

// eligible tells whether an endpoint can take a request, by what is known this moment.
func (b *Balancer) eligible(request *requestState, endpoint *endpointState) bool {
	if !endpoint.inSubset || (!b.healthy(endpoint) && !b.panicMode) || (endpoint.halfOpen && len(endpoint.pending) > 0) {
		return false
	}
	return b.canSend(request, endpoint) && !slices.ContainsFunc(request.attempts, func(a attemptState) bool { return a.endpoint == endpoint })
}
