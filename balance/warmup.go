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

// trickleRate is the rate, in sends per second, at which an endpoint that is warming up gets sends that no answer of its
// group has earned.
func (b *Balancer) trickleRate(endpoint *endpointState) float64 {
	rate := b.warmupConfig.TrickleRate(b.uptime(endpoint), b.instancesPerEndpoint)
	if endpoint.Cached {
		rate = max(rate, cachedTrickleRate/float64(len(b.endpoints)))
	}
	return rate
}

// seedCachedList grants an instance that starts with a cached list one immediate send to a random endpoint of it. Further
// sends are earned by answers.
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
		cached[b.random.IntN(len(cached))].warmup.Earn(b.now, 1, 0)
	}
}

// earnWarmupSends distributes the sends earned by an answer among the endpoints of its group that are warming up; see
// package warmup. Only healthy endpoints count in the group's capacity: an endpoint that is down or hangs would take a
// share of the sends without using it.
func (b *Balancer) earnWarmupSends(from *endpointState) {
	if b.warmupConfig.InitialShare < 1 && b.capacity == float64(len(b.readyEndpoints)) { // no endpoint is warming up
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
			sends := warmup.CreditsPerAnswer * b.warmupConfig.Capacity(b.uptime(endpoint)) / groupCapacity
			endpoint.warmup.Earn(b.now, sends, b.random.Float64())
		}
	}
}
