package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Beside credit, the ledger leases each router a share of each tenant's rate, by what the router uses. A router that does not
// reach the ledger, because it is cut off or there is none at present, uses its shares until the lease ends, and tells of that
// use when it renews the lease. Until then the ledger takes a leased share for used from the last renewal on. So what the
// ledger grants and what the leases allow stay together within one bucket of the tenant's rate, however many routers are cut
// off. The price is what may have been used since the last renewals: maxUnreportedSpan of the rate at most, while all renew.
//
// A new ledger does not know the leases of the former one. Routers announce theirs with their first renewal; as long as one
// that may hold some has not, the rest of the rate counts as leased, for the life of a lease.

const (
	// LeaseDuration is how long after its renewal was sent a lease may be used: a little longer than keys may be used without the
	// core, and than a change of primaries takes.
	LeaseDuration = 4500 * time.Millisecond

	minRenewInterval       = 250 * time.Millisecond
	renewIntervalPerRouter = 10 * time.Millisecond  // for each router of the fleet: so the ledger has at most a hundred renewals a second
	maxUnreportedSpan      = 300 * time.Millisecond // of the rate, that may be leased and used without the ledger's knowledge, while all renew
	expiredLeaseRetention  = time.Minute            // that a lease which ended is remembered, for a router that comes back

	fleetSizeTolerance = 1.25 // by which a former ledger may have leased more, since it knew of fewer routers

	maxSessionRenewals = 1 << 20 // contacts of one process: others are another one's
)

// RenewInterval is the time between a router's renewals, in a fleet of so many.
func RenewInterval(routers int) time.Duration {
	return max(minRenewInterval, time.Duration(routers)*renewIntervalPerRouter)
}

// MaxLeasedRouters is in how large a fleet shares are leased. In larger ones a lease would be renewed so seldom, that what is
// withheld for it costs more than it brings.
const MaxLeasedRouters = 24

// maxLeasedShare is how much of a rate is leased in a fleet of so many routers.
func maxLeasedShare(routers int) float64 {
	if routers > MaxLeasedRouters {
		return 0
	}
	return min(1, maxUnreportedSpan.Seconds()/RenewInterval(routers).Seconds())
}

// Usage is what a router tells of a tenant with a renewal.
type Usage struct {
	RatePerSecond float64 // units a second of late
	Share         float64 // that the router holds of the rate; 0: none
	Spent         float64 // units used of the share, since the last renewal that was answered
}

// holder is a router that has a share, as the ledger knows it.
type routerLease struct {
	usageRate     float64       // units a second of late
	maxShare      float64       // that it may be using: the one that it told of, or the one that it was answered
	grantedShare  float64       // that it was answered
	accruingSince time.Duration // from when on the share may have been used
	renewedAt     time.Duration // when it was renewed
	number        uint64
	reported      float64 // units that the router has told of at this contact
	accounted     float64 // of them, those used since base
	expired       bool    // the lease has ended
	writtenOff    float64 // units that were taken for used then
}

// maxUnreported is what the holder may have used at most and not told of.
func (h *routerLease) maxUnreported(now time.Duration, t *config.Tenant) float64 {
	until := min(now, h.renewedAt+LeaseDuration)
	return max(0, h.maxShare*t.RatePerS*(until-h.accruingSince).Seconds()-h.accounted)
}

// spend notes what a router tells of, and returns how much of it is new.
func (h *routerLease) report(told float64) float64 {
	added := max(0, told-h.reported)
	h.reported = told
	h.accounted += added
	return added
}

// begin has the share count from a moment on.
func (h *routerLease) restart(at time.Duration, share float64) {
	h.accruingSince, h.maxShare, h.accounted = at, share, 0
}

// RenewLease renews a router's lease of a tenant's rate, in a fleet of so many routers, and returns its share. contact is the number
// of renewals of that process that were answered; numbers of different processes lie far apart.
func (l *Allocator) RenewLease(now time.Duration, t *config.Tenant, from string, contact uint64, routers int, use Usage) float64 {
	b := l.bucket(now, t)
	h := b.leases[from]
	isNext := h != nil && contact > h.number && contact-h.number < maxSessionRenewals
	again := h != nil && contact == h.number && !h.expired
	switch {
	case h == nil:
		h = &routerLease{}
		b.leases[from] = h
		l.adoptFormerLease(now, t, b, h, use)
	case again: // the answer to the last renewal was lost: what that one was answered may be in use
		b.level -= h.report(use.Spent)
	case isNext, contact == h.number:
		if isNext {
			h.reported = 0
		}
		b.level -= h.report(use.Spent) - h.writtenOff
		h.restart(now, use.Share)
	default: // another process: what the former one has used is not known
		if !h.expired {
			b.level -= h.maxUnreported(now, t)
		}
		h.reported = use.Spent
		h.restart(now, 0)
	}
	b.clamp(l.bucketSize(t))
	h.number, h.renewedAt, h.usageRate, h.expired, h.writtenOff = contact, now, use.RatePerSecond, false, 0
	if !again {
		h.grantedShare = l.nextShare(now, b, h, maxLeasedShare(routers))
		h.maxShare = max(h.maxShare, h.grantedShare)
	}
	return h.grantedShare
}

// adoptFormerLease takes a router's share over that a former ledger may have leased. What was used of it before this ledger began is
// the former one's.
func (l *Allocator) adoptFormerLease(now time.Duration, t *config.Tenant, b *bucket, h *routerLease, use Usage) {
	h.reported = use.Spent
	if use.Share <= 0 || !l.isNew(now) {
		h.restart(now, use.Share)
		return
	}
	h.restart(l.activeSince, min(use.Share, max(0, 1-b.leasedShare(h))))
	h.accounted = min(use.Spent, h.maxShare*t.RatePerS*(now-h.accruingSince).Seconds())
	b.level -= h.accounted
}

// SetRouters says how many routers there are. A former ledger leased as much as they allow, and a little more.
func (l *Allocator) SetRouters(routers int) {
	l.maxFormerShare = min(1, fleetSizeTolerance*maxLeasedShare(routers))
}

// RecordAnnouncement notes that a router has renewed all that it holds.
func (l *Allocator) RecordAnnouncement(from string) { l.announced[from] = true }

// ExpectAnnouncements says which routers may hold leases of a former ledger. Once all of them have announced theirs, no more are out.
func (l *Allocator) ExpectAnnouncements(routers []string) {
	for _, r := range routers {
		if !l.announced[r] {
			return
		}
	}
	l.allAnnounced = true
}

// leased is the sum of the shares that are out, but for one holder's.
func (b *bucket) leasedShare(but *routerLease) float64 {
	sum := 0.0
	for _, h := range b.leases {
		if h != but && !h.expired {
			sum += h.maxShare
		}
	}
	return sum
}

// outstanding is what holders may have used and not told of.
func (b *bucket) maxUnreported(now time.Duration, t *config.Tenant) float64 {
	sum := 0.0
	for _, h := range b.leases {
		if !h.expired {
			sum += h.maxUnreported(now, t)
		}
	}
	return sum
}

// isNew tells whether leases of a former ledger may be out that this one does not know.
func (l *Allocator) isNew(now time.Duration) bool {
	return !l.allAnnounced && now-l.activeSince <= LeaseDuration
}

// AwaitsAnnouncements tells whether the ledger withholds what routers may hold of a former one's leases.
func (l *Allocator) AwaitsAnnouncements(now time.Duration) bool { return l.isNew(now) }

// unannounced is what routers may have used of a former ledger's leases that nobody has announced: their part of what has
// come into the bucket meanwhile. When the leases have ended it is taken for used up.
func (l *Allocator) maxUnannouncedUse(now time.Duration, b *bucket) float64 {
	if !l.isNew(now) {
		return 0
	}
	return max(0, l.maxFormerShare-b.leasedShare(nil)) * b.unannouncedGain
}

// bound keeps the level within the bucket, together with what was taken for used of leases that ended and may be given back:
// had it not been taken, the bucket would have flowed over.
func (b *bucket) clamp(most float64) {
	b.level = min(b.level, most)
	over := b.level - most
	for _, h := range b.leases {
		over += h.writtenOff
	}
	for _, h := range b.leases {
		kept := max(0, h.writtenOff-max(0, over))
		over -= h.writtenOff - kept
		h.writtenOff = kept
	}
}

// expire takes leases that have ended for used up, and forgets old ones.
func (b *bucket) expireLeases(now time.Duration, t *config.Tenant) {
	for from, h := range b.leases {
		if !h.expired && now-h.renewedAt > LeaseDuration {
			h.expired, h.writtenOff = true, h.maxUnreported(now, t)
			b.level -= h.writtenOff
		}
		if now-h.renewedAt > expiredLeaseRetention {
			delete(b.leases, from)
		}
	}
}

// nextShare is a holder's next share: by its use, as far as the others leave one.
func (l *Allocator) nextShare(now time.Duration, b *bucket, h *routerLease, most float64) float64 {
	if l.isNew(now) {
		return h.maxShare // the rest may be somebody's
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
	return min(most*h.usageRate/sum, max(0, most-b.leasedShare(h)))
}
