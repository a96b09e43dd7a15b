package balance

import (
	"time"

	"pinelb.example/pinelb/balance/warmup"
)

// uptime is the time since an endpoint's start. An endpoint whose start is unknown counts as warm.
func (b *Balancer) uptime(endpoint *endpointState) time.Duration {
	if endpoint.StartedAt == 0 {
		return b.settings.WarmupDuration
	}
	return b.now - endpoint.StartedAt
}

func (b *Balancer) isWarmingUp(endpoint *endpointState) bool {
	return endpoint.StartedAt > 0 && b.now < endpoint.StartedAt+b.settings.WarmupDuration
}

// trickleRate is the rate, in credits per second, at which this instance gets credits for an endpoint that is warming up
// without any answer that earns them; see package warmup.
func (b *Balancer) trickleRate(endpoint *endpointState) float64 {
	rate := b.warmupConfig.TrickleRate(b.uptime(endpoint), b.instancesPerEndpoint)
	if endpoint.Cached {
		rate = max(rate, cachedTrickleRate/float64(len(b.endpoints)))
	}
	return rate
}

// seedCachedList grants an instance that starts with a cached list one immediate credit for a random endpoint of it.
// Further credits are earned by answers, or come from the trickle.
func (b *Balancer) seedCachedList() {
	if b.cachedListSeeded {
		return
	}
	var cached []*endpointState
	for _, endpoint := range b.endpoints {
		if endpoint.Cached {
			cached = append(cached, endpoint)
		}
	}
	if len(cached) > 0 {
		b.cachedListSeeded = true
		cached[b.random.IntN(len(cached))].warmup.Earn(b.now, 1, 0) // one whole credit: nothing to round at random
	}
}

// earnWarmupCredits distributes the credits earned by an answer among the endpoints of its group that are warming up; see
// package warmup. Only healthy endpoints count in the group's capacity: an endpoint that is down or hangs would take a
// share of the credits without using it.
func (b *Balancer) earnWarmupCredits(from *endpointState) {
	// A warm endpoint has a capacity of 1, and one that is warming up less if InitialShare is below 1. If all capacities
	// add up to the number of endpoints, none is warming up.
	if b.warmupConfig.InitialShare < 1 && b.capacity == float64(len(b.readyEndpoints)) {
		return
	}
	groupCapacity := 0.0
	for _, endpoint := range b.endpoints {
		if endpoint.group == from.group && (endpoint == from || b.panicMode || b.healthy(endpoint)) {
			groupCapacity += b.warmupConfig.Capacity(b.uptime(endpoint))
		}
	}
	for _, endpoint := range b.endpoints {
		if endpoint.available && endpoint.group == from.group && b.isWarmingUp(endpoint) {
			credits := warmup.CreditsPerAnswer * b.warmupConfig.Capacity(b.uptime(endpoint)) / groupCapacity
			endpoint.warmup.Earn(b.now, credits, b.random.Float64())
		}
	}
}
