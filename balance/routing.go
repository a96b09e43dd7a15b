package balance

import (
	"math"
	"slices"
)

// pickEndpoint draws an eligible endpoint at random with the routing weights of the request's bin. It returns nil if no
// endpoint is eligible, or if the request has no attempt yet and the limit is used up.
func (b *Balancer) pickEndpoint(request *requestState) *endpointState {
	if len(b.endpoints) == 0 {
		return nil
	}
	inFlight := 1 + float64(b.inFlight)
	if inFlight > b.allowedInFlight(request) && len(request.attempts) == 0 {
		return nil
	}
	// Bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018): while some eligible endpoint has less than its share in
	// flight, endpoints with more than theirs are skipped. Random draws alone would congest an endpoint now and then,
	// and a congested endpoint becomes slow and does not recover quickly.
	if endpoint := b.drawEndpoint(request, b.binOf(request), inFlight); endpoint != nil {
		return endpoint
	}
	return b.drawEndpoint(request, b.binOf(request), math.Inf(1))
}

// drawEndpoint draws, with a bin's routing weights, an eligible endpoint that has less than its share of inFlight
// requests. It first makes up to maxSampleDraws draws from the whole row. If none of these fits, it uses reservoir
// sampling over the row.
func (b *Balancer) drawEndpoint(request *requestState, bin int, inFlight float64) *endpointState {
	maxInFlight := min(inFlight, endpointLimitSlack*b.limit)
	fits := func(i int) bool {
		endpoint := b.endpoints[i]
		return float64(endpoint.inFlight) < max(1, math.Ceil(maxInFlight*b.totalShare[i])) && b.eligible(request, endpoint)
	}
	for range maxSampleDraws {
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
