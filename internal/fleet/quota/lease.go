package quota

import "time"

// In addition to granting credit, the allocator leases each router a share of each tenant's rate, in proportion to the router's use. A
// router that does not reach the allocator, because it is cut off or there is none at present, uses its shares until the lease
// expires, and reports that use when it renews the lease. Until then the allocator takes a leased share for used from the last
// renewal on. So grants and leases stay together within one bucket of the tenant's rate, however many routers are cut off. The
// price is what may have been used since the last renewals: maxUnreportedSpan of the rate at most, while all routers renew.
//
// A new allocator does not know the leases of the former one. Routers announce theirs with their first renewal; as long as one
// that may have some has not, the rest of the rate counts as leased, for the duration of a lease.

const (
	// LeaseDuration is how long a lease may be used after its renewal was sent: a little longer than API keys may be used
	// without the core, and than a change of primaries takes.
	LeaseDuration = 4500 * time.Millisecond

	// MaxLeaseFleetSize is the largest fleet in which shares are leased. In a larger one leases are renewed so seldom that what
	// is withheld for them costs more than they bring.
	MaxLeaseFleetSize = 24

	minRenewInterval       = 250 * time.Millisecond
	renewIntervalPerRouter = 10 * time.Millisecond // so the allocator gets at most a hundred renewals a second
	maxUnreportedSpan      = 300 * time.Millisecond
	expiredLeaseRetention  = time.Minute // that an expired lease is remembered, for a router that comes back

	// fleetSizeTolerance is the factor by which a former allocator may have leased more, since it knew of fewer routers.
	fleetSizeTolerance = 1.25

	// maxSessionRenewals is how far the numbers of one session's renewals may lie apart; farther ones are of another session.
	maxSessionRenewals = 1 << 20
)

// RenewInterval returns the time between a router's renewals, in a fleet of so many.
func RenewInterval(routers int) time.Duration {
	return max(minRenewInterval, time.Duration(routers)*renewIntervalPerRouter)
}

// maxLeasedShare returns the part of a rate that is leased, in a fleet of so many routers.
func maxLeasedShare(routers int) float64 {
	if routers > MaxLeaseFleetSize {
		return 0
	}
	return min(1, maxUnreportedSpan.Seconds()/RenewInterval(routers).Seconds())
}

// Usage is what a router reports of a tenant with a renewal.
type Usage struct {
	RatePerSecond float64 // recent use in units a second
	Share         float64 // leased share of the tenant's rate; 0: none
	Spent         float64 // units used of the share since the last renewal that was answered
}
