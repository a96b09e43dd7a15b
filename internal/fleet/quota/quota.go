// Package quota bounds what each tenant uses over all routers together, by leased token buckets.
//
// The Allocator runs on one router, the primary of the present view. It has a token bucket for each tenant. The other routers
// each have a LocalQuota. A request takes its units, in this order, from
//
//  1. credit: what the allocator has granted, somewhat ahead of need; it expires after creditTTL,
//  2. a grant, for which the router asks the allocator,
//  3. where the allocator does not answer, the leased share of the tenant's rate, until the lease expires,
//  4. else the fallback rate, a small part of the tenant's rate.
//
// Routers renew their leases every RenewInterval and report what they have used of them; lease.go says why grants and leases
// together stay within the bucket.
//
// Invariant: in any Settings.Window all routers together let at most
// (RatePerS*Window + Burst) * (1+OvershootRatio) + OvershootUnits units of a tenant through, whoever the primary is, however
// often it changes and whichever routers are cut off. The tests play courses of events against this bound.
//
// The package is pure: it does no I/O and reads no clock; callers pass the time since some fixed moment and random draws. None
// of its types is safe for concurrent use.
package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Settings are the bounds on the use of tenants.
type Settings struct {
	Window         time.Duration // over which use is bounded
	OvershootRatio float64       // part of the allowance of a window by which use may exceed it
	OvershootUnits float64       // units by which use may exceed it in addition
}

// How the allowed overshoot of a window is divided.
const (
	bucketOvershootShare  = 0.65 // for the allocator's buckets, beyond a tenant's burst
	initialOvershootShare = 0.25 // in buckets of a new allocator: the former one may have granted its burst just before
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
