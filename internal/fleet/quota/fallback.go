package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// What all routers together may use while they do not reach the allocator. At first it has probably failed, and another one is
// about to act: nobody uses the rate meanwhile. Later it probably serves the others: a tenth of the routers that is cut off
// from it for seconds has to stay within the allowed overshoot. A tenant that has been far below its rate for some time gets
// more at once.
const (
	earlyFallbackRate  = 0.6 // of the tenant's rate, within earlyFallbackSpan
	lateFallbackRate   = 0.1 // of the tenant's rate, after it
	earlyFallbackSpan  = 1200 * time.Millisecond
	fallbackBurstShare = 0.1 // of the allowed overshoot of a window, at once

	// fallbackRouterShare is the part of the routers that the fallback rate is computed for, on average. With this figure half
	// of them may be cut off from an allocator that serves the others: which requests are let through is left to chance.
	fallbackRouterShare = 0.8

	quietThreshold = 0.4  // of its rate: a tenant that seems to use less is quiet
	quietBurst     = 0.25 // of a second's rate, at once, for a quiet tenant

	// fallbackAfterLease is the part of the fallback rate that is left after a lease: leased shares add up to the rate already.
	fallbackAfterLease = 0.5
)

// fallbackBucket is a token bucket that is filled at the fallback rate.
type fallbackBucket struct {
	level     float64 // units
	updatedAt time.Duration
}

// ConsumeFallback takes a request's units out of the fallback rate of one router of so many, which has not reached the
// allocator for the time unreachable, and reports whether the request may run. One that is larger than the bucket's level is let
// through at random, so that the mean of what all routers use is right; draw is uniform in [0, 1).
func (q *LocalQuota) ConsumeFallback(now time.Duration, t *config.Tenant, units float64, routers int, unreachable time.Duration, draw float64) bool {
	local := q.tenant(now, t)
	routerShare := 1 / float64(max(1, routers))
	rate := q.fallbackRate(t, routerShare, unreachable)
	burst := q.fallbackBurst(local, t, routerShare)
	return local.fallback.consume(now, rate, burst, units, draw)
}

// ConsumeFallbackAfterLease is ConsumeFallback for a router that had a lease and has no share of the tenant's rate.
func (q *LocalQuota) ConsumeFallbackAfterLease(now time.Duration, t *config.Tenant, units float64, routers int, draw float64) bool {
	return q.ConsumeFallback(now, t, units, int(float64(routers)/fallbackAfterLease), earlyFallbackSpan, draw)
}

// fallbackRate returns a router's rate in units a second.
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

// fallbackBurst returns the units that a router may use at once.
func (q *LocalQuota) fallbackBurst(local *localTenant, t *config.Tenant, routerShare float64) float64 {
	burst := fallbackBurstShare * q.settings.overshoot(t) * routerShare
	if local.steadyRate < quietThreshold*t.RatePerS*routerShare {
		burst = max(burst, quietBurst*t.RatePerS*routerShare)
	}
	return burst
}

// fallbackScale returns the factor for fallback rates by which routers that are cut off stay, in a window, within the part of
// the overshoot that the allocator's buckets leave.
func (s Settings) fallbackScale(t *config.Tenant) float64 {
	used := t.RatePerS * (earlyFallbackRate*earlyFallbackSpan.Seconds() + lateFallbackRate*max(0, s.Window-earlyFallbackSpan).Seconds())
	if used <= 0 {
		return 1
	}
	atOnce := max(fallbackBurstShare*s.overshoot(t), quietBurst*t.RatePerS)
	left := (1-bucketOvershootShare)/fallbackRouterShare*s.overshoot(t) - atOnce
	return min(1, max(0, left/used))
}

// consume refills the bucket and takes units out of it, and reports whether they may be used.
func (b *fallbackBucket) consume(now time.Duration, rate, burst, units, draw float64) bool {
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if units <= b.level {
		b.level -= units
		return true
	}
	passes := draw*units < b.level
	b.level = 0 // the draw has used it, whatever came out
	return passes
}
