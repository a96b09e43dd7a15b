package quota

import "time"

// In addition to granting credit, the allocator leases each router a share of each tenant's rate, in proportion to the router's
// use. A router that cannot reach the allocator, because it is partitioned off or no allocator is active, uses its shares until
// the lease expires, and reports the use when it renews the lease. Until it does, the allocator counts the leased share as used
// from the last renewal on. Grants and leases together therefore stay within one bucket of the tenant's rate, no matter how many
// routers are partitioned off. The cost is that units that may have been used since the last renewals can't be granted: at most
// the units that the rate yields in maxUnreportedSpan, as long as all routers renew.
//
// A new allocator does not know the leases of the previous one. Routers announce their leases with their first renewal. Until
// every router that may hold leases has done so, the rest of the rate counts as leased, for at most LeaseDuration.

const (
	// LeaseDuration is how long a lease may be used after its renewal was sent. It is a little longer than the time for which
	// API keys may be used without the core, and than a change of the primary takes.
	LeaseDuration = 4500 * time.Millisecond

	// MaxLeaseFleetSize is the maximum number of routers in a fleet with leases. In a larger fleet, leases are renewed so
	// seldom that the units withheld for them cost more than the leases gain.
	MaxLeaseFleetSize = 24

	minRenewInterval       = 250 * time.Millisecond
	renewIntervalPerRouter = 10 * time.Millisecond  // limits the allocator's load to 100 renewals per second
	maxUnreportedSpan      = 300 * time.Millisecond // maximum unreported use, as time at a tenant's full rate
	expiredLeaseRetention  = time.Minute            // after the last renewal, in case the router reconnects

	// fleetSizeTolerance is the factor by which a previous allocator may have leased more, since it may have known of fewer
	// routers.
	fleetSizeTolerance = 1.25

	// maxSessionRenewals bounds the difference between the numbers of two renewals of one session. Renewals whose numbers
	// differ by as much or more belong to different sessions.
	maxSessionRenewals = 1 << 20
)

// RenewInterval returns the time between a router's renewals in a fleet with the given number of routers.
func RenewInterval(routers int) time.Duration {
	return max(minRenewInterval, time.Duration(routers)*renewIntervalPerRouter)
}

// maxLeasedShare returns the maximum share of a rate that is leased in a fleet with the given number of routers.
func maxLeasedShare(routers int) float64 {
	if routers > MaxLeaseFleetSize {
		return 0
	}
	return min(1, maxUnreportedSpan.Seconds()/RenewInterval(routers).Seconds())
}

// Usage is a router's report of its use of one tenant's quota, sent with a renewal.
type Usage struct {
	RatePerSecond float64 // recent use in units per second
	Share         float64 // leased share of the tenant's rate; 0: none
	Spent         float64 // units of the share used since the last answered renewal
}
