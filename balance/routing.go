package balance

import (
	"math"
	"slices"
)

// pickEndpoint draws from the row of the request's bin, renormalised over the endpoints that are eligible now; nil where the
// limit has no room or none is eligible.
func (b *Balancer) pickEndpoint(request *requestState) *endpointState {
	if len(b.endpoints) == 0 {
		return nil
	}
	inFlight := 1 + float64(b.inFlight)
	if inFlight > b.allowedInFlight(request) && len(request.attempts) == 0 {
		return nil
	}
	// Bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018): while some endpoint has less than its share in flight, one that
	// has more is passed over. Chance alone would congest an endpoint now and then, and a congested one turns slow and stays so.
	if endpoint := b.drawEndpoint(request, b.binOf(request), inFlight); endpoint != nil {
		return endpoint
	}
	return b.drawEndpoint(request, b.binOf(request), math.Inf(1))
}

// drawEndpoint draws one of a bin's row over the eligible endpoints that have less than their share of inFlight in flight: by
// a few draws from the whole row, or else, where such endpoints are few, by reservoir sampling over it.
func (b *Balancer) drawEndpoint(request *requestState, bin int, inFlight float64) *endpointState {
	maxInFlight := min(inFlight, endpointLimitSlack*b.limit)
	fits := func(i int) bool {
		endpoint := b.endpoints[i]
		return float64(endpoint.inFlight) < max(1, math.Ceil(maxInFlight*b.totalShare[i])) && b.eligible(request, endpoint)
	}
	for range maxDraws {
		if i, _ := slices.BinarySearch(b.cumulativeRows[bin], b.random.Float64()); i < len(b.endpoints) && fits(i) {
			return b.endpoints[i]
		}
	}
	var drawn *endpointState
	total := 0.0
	for i, share := range b.rows[bin] {
		if share > 0 && fits(i) {
			total += share
			if b.random.Float64()*total < share {
				drawn = b.endpoints[i]
			}
		}
	}
	return drawn
}

// eligible reports whether an endpoint can take a request now.
func (b *Balancer) eligible(request *requestState, endpoint *endpointState) bool {
	switch {
	case !endpoint.inSubset:
		return false
	case !b.panicMode && !b.healthy(endpoint):
		return false
	case endpoint.halfOpen && len(endpoint.pending) > 0:
		return false
	case !b.canSend(request, endpoint):
		return false
	}
	return !slices.ContainsFunc(request.attempts, func(attempt attemptState) bool { return attempt.endpoint == endpoint })
}
