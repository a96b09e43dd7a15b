package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Limits on the use of all routers together while they cannot reach the allocator. During earlyFallbackSpan the allocator has
// probably failed and is about to be replaced, so that nothing else uses the rate until then. Later the allocator is
// probably serving other routers: if a tenth of the routers is partitioned off from it for seconds, their use has to stay within
// the allowed overshoot. A tenant whose use was far below its rate for some time gets a larger burst.
const (
	earlyFallbackRate  = 0.6 // fraction of the tenant's rate, during earlyFallbackSpan
	lateFallbackRate   = 0.1 // fraction of the tenant's rate, after earlyFallbackSpan
	earlyFallbackSpan  = 1200 * time.Millisecond
	fallbackBurstShare = 0.1 // burst, as a fraction of the allowed overshoot of a window

	// fallbackRouterShare is the fraction of the routers for which the mean fallback rate is computed. With 0.8, use stays
	// within the bound if half of the routers are partitioned off from an allocator that serves the others; the difference is
	// a margin, since requests are admitted at random.
	fallbackRouterShare = 0.8

	lowUsageThreshold = 0.4  // fraction of its rate below which a tenant's estimated use is low
	lowUsageBurst     = 0.25 // burst of a tenant with low use, in seconds of its rate

	// fallbackShareAfterLease is the fraction of the fallback rate that applies after a lease, since the leased shares already
	// add up to the rate.
	fallbackShareAfterLease = 0.5
)

// fallbackBucket is a token bucket that refills at the fallback rate.
type fallbackBucket struct {
	level     float64 // units
	updatedAt time.Duration
}

// ConsumeFallback takes a request's units from this router's part of the fallback rate and reports whether the request is
// admitted. routers is the number of routers in the fleet, and unreachable the time for which this router has not reached the
// allocator. A request that is larger than the bucket's level is admitted at random, so that the mean use of all routers
// matches the fallback rate; draw is a random number, uniform in [0, 1).
func (q *LocalQuota) ConsumeFallback(now time.Duration, t *config.Tenant, units float64, routers int, unreachable time.Duration, draw float64) bool {
	local := q.tenant(now, t)
	routerShare := 1 / float64(max(1, routers))
	rate := q.fallbackRate(t, routerShare, unreachable)
	burst := q.fallbackBurst(local, t, routerShare)
	return local.fallback.consume(now, rate, burst, units, draw)
}

// ConsumeFallbackAfterLease is ConsumeFallback for a router that has had a lease but holds no share of the tenant's rate.
func (q *LocalQuota) ConsumeFallbackAfterLease(now time.Duration, t *config.Tenant, units float64, routers int, draw float64) bool {
	return q.ConsumeFallback(now, t, units, int(float64(routers)/fallbackShareAfterLease), earlyFallbackSpan, draw)
}

// fallbackRate returns a router's fallback rate in units per second.
func (q *LocalQuota) fallbackRate(t *config.Tenant, routerShare float64, unreachable time.Duration) float64 {
	rate := lateFallbackRate * t.RatePerS * routerShare
	if unreachable < earlyFallbackSpan {
		rate = earlyFallbackRate * t.RatePerS * routerShare
	}
	if !q.HasHadLease() {
		rate *= q.settings.fallbackScale(t)
	}
	return rate
}

// fallbackBurst returns the units that a router may use at once: the size of its fallback bucket.
func (q *LocalQuota) fallbackBurst(local *localTenant, t *config.Tenant, routerShare float64) float64 {
	burst := fallbackBurstShare * q.settings.overshoot(t) * routerShare
	if local.longTermRate < lowUsageThreshold*t.RatePerS*routerShare {
		burst = max(burst, lowUsageBurst*t.RatePerS*routerShare)
	}
	return burst
}

// fallbackScale returns the factor applied to fallback rates so that the use of partitioned routers in a window stays within
// the part of the overshoot that is not reserved for the allocator's buckets.
func (s Settings) fallbackScale(t *config.Tenant) float64 {
	refill := t.RatePerS * (earlyFallbackRate*earlyFallbackSpan.Seconds() + lateFallbackRate*max(0, s.Window-earlyFallbackSpan).Seconds())
	if refill <= 0 {
		return 1
	}
	burst := max(fallbackBurstShare*s.overshoot(t), lowUsageBurst*t.RatePerS)
	remaining := (1-bucketOvershootShare)/fallbackRouterShare*s.overshoot(t) - burst
	return min(1, max(0, remaining/refill))
}

// consume refills the bucket, takes units from it and reports whether the request is admitted.
func (b *fallbackBucket) consume(now time.Duration, rate, burst, units, draw float64) bool {
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if units <= b.level {
		b.level -= units
		return true
	}
	admitted := draw*units < b.level
	b.level = 0 // consumed by the draw, even if the request is rejected
	return admitted
}
