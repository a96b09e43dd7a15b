// Package quota limits each tenant's use over all routers together, by leased token buckets.
//
// The Allocator is active on one router, the primary of the current view. It has a token bucket for each tenant. Each router
// has a LocalQuota. A request takes its units from the first of these sources that is available:
//
//  1. credit: units that the allocator has granted in advance; they expire after creditTTL,
//  2. a grant that the router requests from the allocator,
//  3. if the allocator does not reply, the leased share of the tenant's rate, until the lease expires,
//  4. otherwise the fallback rate, a small part of the tenant's rate.
//
// Routers renew their leases every RenewInterval and report their use of the leased shares; lease.go explains why grants and
// leases together stay within the bucket.
//
// Invariant: in any Settings.Window all routers together admit at most
// (RatePerS*Window + Burst) * (1+OvershootRatio) + OvershootUnits units of a tenant, whichever router is the primary, however
// often the primary changes and whichever routers are partitioned off. The tests check sequences of events against this bound.
//
// The package is pure: it does no I/O and reads no clock. Callers pass random numbers, and times as durations since a fixed
// moment. None of its types is safe for concurrent use.
package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Settings are the limits on the use of each tenant.
type Settings struct {
	Window         time.Duration // time over which use is limited
	OvershootRatio float64       // fraction of a window's allowance by which use may exceed the allowance
	OvershootUnits float64       // additional units by which use may exceed the allowance
}

// Fractions of the allowed overshoot of a window.
const (
	bucketOvershootShare  = 0.65 // capacity of the allocator's buckets, beyond a tenant's burst
	initialOvershootShare = 0.25 // initial level of a new allocator's buckets, since the previous one may just have granted a burst
)

// HasQuota reports whether a tenant's use is limited.
func HasQuota(t *config.Tenant) bool { return t.RatePerS > 0 || t.Burst > 0 }

// overshoot returns the units that a tenant may use in a window beyond its rate and burst.
func (s Settings) overshoot(t *config.Tenant) float64 {
	return s.OvershootRatio*(t.RatePerS*s.Window.Seconds()+t.Burst) + s.OvershootUnits
}

// bucketSize returns the capacity of a tenant's bucket in units.
func (s Settings) bucketSize(t *config.Tenant) float64 {
	return t.Burst + bucketOvershootShare*s.overshoot(t)
}
