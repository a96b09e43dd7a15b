package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// routerLease is the allocator's state of a router's leased share of a tenant's rate.
type routerLease struct {
	number    uint64        // of the last renewal
	renewedAt time.Duration // when that came
	usageRate float64       // the router's recent use in units a second

	grantedShare  float64       // that the last renewal was answered with
	maxShare      float64       // that the router may be using: the granted one, or the one that it reported
	accruingSince time.Duration // from when on the share may have been used

	reported  float64 // units used, as reported with renewals of this number
	accounted float64 // of them, those used since accruingSince

	expired    bool
	writtenOff float64 // units that were taken for used when the lease expired
}

// maxUnreported returns the units that the router may have used of its share and not reported.
func (l *routerLease) maxUnreported(now time.Duration, t *config.Tenant) float64 {
	until := min(now, l.renewedAt+LeaseDuration)
	return max(0, l.maxShare*t.RatePerS*(until-l.accruingSince).Seconds()-l.accounted)
}

// report records the units that a router reports, and returns those that it had not reported before.
func (l *routerLease) report(spent float64) (added float64) {
	added = max(0, spent-l.reported)
	l.reported = spent
	l.accounted += added
	return added
}

// restart lets a share accrue from a moment on.
func (l *routerLease) restart(at time.Duration, share float64) {
	l.accruingSince, l.maxShare, l.accounted = at, share, 0
}

// isSameSession reports whether a renewal of that number may come from the process that sent the last one.
func (l *routerLease) isSameSession(number uint64) bool {
	return number >= l.number && number-l.number < maxSessionRenewals
}

// RenewLease renews a router's lease of a tenant's rate, in a fleet of so many routers, and returns its share of the rate.
// number is the Renewal's.
func (a *Allocator) RenewLease(now time.Duration, t *config.Tenant, router string, number uint64, routers int, usage Usage) float64 {
	b := a.bucket(now, t)
	l := b.leases[router]
	isRepeat := l != nil && number == l.number && !l.expired
	switch {
	case l == nil:
		l = &routerLease{}
		b.leases[router] = l
		a.adoptFormerLease(now, t, b, l, usage)
	case isRepeat: // the answer to the last renewal was lost: the share in that answer may be in use
		b.level -= l.report(usage.Spent)
	case l.isSameSession(number):
		if number > l.number {
			l.reported = 0
		}
		b.level -= l.report(usage.Spent) - l.writtenOff
		l.restart(now, usage.Share)
	default: // another process: what the former one has used is not known
		if !l.expired {
			b.level -= l.maxUnreported(now, t)
		}
		l.reported = usage.Spent
		l.restart(now, 0)
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

// adoptFormerLease takes over a share that a former allocator may have leased a router. What was used of it before this
// allocator started is in the former one's account.
func (a *Allocator) adoptFormerLease(now time.Duration, t *config.Tenant, b *bucket, l *routerLease, usage Usage) {
	l.reported = usage.Spent
	if usage.Share <= 0 || !a.AwaitsAnnouncements(now) {
		l.restart(now, usage.Share)
		return
	}
	l.restart(a.activeSince, min(usage.Share, max(0, 1-b.leasedShare(l))))
	l.accounted = min(usage.Spent, l.maxShare*t.RatePerS*(now-l.accruingSince).Seconds())
	b.level -= l.accounted
}

// nextShare returns the share that a lease is renewed with: in proportion to the router's use, as far as the other leases leave
// that much of the rate.
func (a *Allocator) nextShare(now time.Duration, b *bucket, l *routerLease, maxShare float64) float64 {
	if a.AwaitsAnnouncements(now) {
		return l.maxShare // the rest may be leased already
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

// leasedShare returns the sum of all leased shares but one lease's.
func (b *bucket) leasedShare(except *routerLease) float64 {
	sum := 0.0
	for _, l := range b.leases {
		if l != except && !l.expired {
			sum += l.maxShare
		}
	}
	return sum
}

// maxUnreported returns the units that routers may have used of their shares and not reported.
func (b *bucket) maxUnreported(now time.Duration, t *config.Tenant) float64 {
	sum := 0.0
	for _, l := range b.leases {
		if !l.expired {
			sum += l.maxUnreported(now, t)
		}
	}
	return sum
}

// expireLeases takes the shares of leases that have expired for used, and forgets old leases.
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
