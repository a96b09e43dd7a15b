package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// routerLease is the allocator's record of the share of a tenant's rate that a router has leased.
type routerLease struct {
	number    uint64        // number of the last renewal
	renewedAt time.Duration // time of the last renewal
	usageRate float64       // the router's recent use in units per second

	grantedShare  float64       // share granted in the reply to the last renewal
	maxShare      float64       // maximum share that the router may be using: the granted or the reported one
	accruingSince time.Duration // time from which the share may have been used

	reported  float64 // units used, as reported in renewals with this number
	accounted float64 // reported units that were used since accruingSince

	expired    bool
	writtenOff float64 // unreported units that were charged as used when the lease expired
}

// maxUnreported returns the units of its share that the router may have used without having reported them.
func (l *routerLease) maxUnreported(now time.Duration, t *config.Tenant) float64 {
	until := min(now, l.renewedAt+LeaseDuration)
	return max(0, l.maxShare*t.RatePerS*(until-l.accruingSince).Seconds()-l.accounted)
}

// report records the units that a router reports as used, and returns how many of them it had not reported before.
func (l *routerLease) report(spent float64) (added float64) {
	added = max(0, spent-l.reported)
	l.reported = spent
	l.accounted += added
	return added
}

// restartAccrual replaces the leased share by one that accrues from the given time.
func (l *routerLease) restartAccrual(at time.Duration, share float64) {
	l.accruingSince, l.maxShare, l.accounted = at, share, 0
}

// isSameSession reports whether a renewal with the given number may come from the process that sent the last renewal.
func (l *routerLease) isSameSession(number uint64) bool {
	return number >= l.number && number-l.number < maxSessionRenewals
}

// RenewLease renews a router's lease of a tenant's rate and returns the granted share of the rate. number is the Renewal's
// Number, routers the number of routers in the fleet.
func (a *Allocator) RenewLease(now time.Duration, t *config.Tenant, router string, number uint64, routers int, usage Usage) float64 {
	b := a.bucket(now, t)
	l := b.leases[router]
	isRepeat := l != nil && number == l.number && !l.expired
	switch {
	case l == nil:
		l = &routerLease{}
		b.leases[router] = l
		a.adoptPreviousLease(now, t, b, l, usage)
	case isRepeat: // the reply to the last renewal was lost; the share that it granted may be in use
		b.level -= l.report(usage.Spent)
	case l.isSameSession(number):
		if number > l.number {
			l.reported = 0
		}
		b.level -= l.report(usage.Spent) - l.writtenOff
		l.restartAccrual(now, usage.Share)
	default: // another process: the use of the previous one is unknown
		if !l.expired {
			b.level -= l.maxUnreported(now, t)
		}
		l.reported = usage.Spent
		l.restartAccrual(now, 0)
	}
	b.clamp(a.settings.bucketSize(t))
	l.number, l.renewedAt, l.usageRate = number, now, usage.RatePerSecond
	l.expired, l.writtenOff = false, 0
	if !isRepeat {
		l.grantedShare = a.nextShare(now, b, l, maxLeasedShare(routers))
		l.maxShare = max(l.maxShare, l.grantedShare)
	}
	return l.grantedShare
}

// adoptPreviousLease takes over a share that a previous allocator may have leased to a router. Units that were used before this
// allocator started count against the previous allocator's bucket.
func (a *Allocator) adoptPreviousLease(now time.Duration, t *config.Tenant, b *bucket, l *routerLease, usage Usage) {
	l.reported = usage.Spent
	if usage.Share <= 0 || !a.AwaitsAnnouncements(now) {
		l.restartAccrual(now, usage.Share)
		return
	}
	l.restartAccrual(a.activeSince, min(usage.Share, max(0, 1-b.leasedShare(l))))
	l.accounted = min(usage.Spent, l.maxShare*t.RatePerS*(now-l.accruingSince).Seconds())
	b.level -= l.accounted
}

// nextShare returns the share to be granted for a renewal. It is proportional to the router's use, and limited to the part of
// the rate that is not leased to other routers.
func (a *Allocator) nextShare(now time.Duration, b *bucket, l *routerLease, maxShare float64) float64 {
	if a.AwaitsAnnouncements(now) {
		return l.maxShare // a previous allocator may have leased the rest
	}
	sum := 0.0
	for _, other := range b.leases {
		if !other.expired {
			sum += other.usageRate
		}
	}
	if sum <= 0 {
		return 0
	}
	return min(maxShare*l.usageRate/sum, max(0, maxShare-b.leasedShare(l)))
}

// leasedShare returns the sum of the shares of all unexpired leases other than except.
func (b *bucket) leasedShare(except *routerLease) float64 {
	sum := 0.0
	for _, l := range b.leases {
		if l != except && !l.expired {
			sum += l.maxShare
		}
	}
	return sum
}

// maxUnreported returns the units of their shares that routers may have used without having reported them.
func (b *bucket) maxUnreported(now time.Duration, t *config.Tenant) float64 {
	sum := 0.0
	for _, l := range b.leases {
		if !l.expired {
			sum += l.maxUnreported(now, t)
		}
	}
	return sum
}

// expireLeases charges the unreported units of newly expired leases as used, and deletes leases that were not renewed for
// expiredLeaseRetention.
func (b *bucket) expireLeases(now time.Duration, t *config.Tenant) {
	for router, l := range b.leases {
		if !l.expired && now-l.renewedAt > LeaseDuration {
			l.expired, l.writtenOff = true, l.maxUnreported(now, t)
			b.level -= l.writtenOff
		}
		if now-l.renewedAt > expiredLeaseRetention {
			delete(b.leases, router)
		}
	}
}
