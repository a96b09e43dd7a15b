package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Beside credit, the ledger leases each router a share of each tenant's rate, by what the router uses. A router that does not
// reach the ledger, because it is cut off or there is none at present, uses its shares until the lease ends, and tells of that
// use when it renews the lease. Until then the ledger takes a leased share for used from the last renewal on. So what the
// ledger grants and what the leases allow stay together within one bucket of the tenant's rate, however many routers are cut
// off. The price is what may have been used since the last renewals: ledgerBehind of the rate at most, while all renew.
//
// A new ledger does not know the leases of the former one. Routers announce theirs with their first renewal; as long as one
// that may hold some has not, the rest of the rate counts as leased, for the life of a lease.

const (
	// LeaseDuration is how long after its renewal was sent a lease may be used: a little longer than keys may be used without the
	// core, and than a change of primaries takes.
	LeaseDuration = 4500 * time.Millisecond

	renewLeast   = 250 * time.Millisecond
	renewEach    = 10 * time.Millisecond  // for each router of the fleet: so the ledger has at most a hundred renewals a second
	ledgerBehind = 300 * time.Millisecond // of the rate, that may be leased and used without the ledger's knowledge, while all renew
	lapsedKept   = time.Minute            // that a lease which ended is remembered, for a router that comes back

	fleetSizeSlack = 1.25 // by which a former ledger may have leased more, since it knew of fewer routers

	contactsApart = 1 << 20 // contacts of one process: others are another one's
)

// RenewInterval is the time between a router's renewals, in a fleet of so many.
func RenewInterval(routers int) time.Duration {
	return max(renewLeast, time.Duration(routers)*renewEach)
}

// MaxLeasedRouters is in how large a fleet shares are leased. In larger ones a lease would be renewed so seldom, that what is
// withheld for it costs more than it brings.
const MaxLeasedRouters = 24

// leasedMost is how much of a rate is leased in a fleet of so many routers.
func leasedMost(routers int) float64 {
	if routers > MaxLeasedRouters {
		return 0
	}
	return min(1, ledgerBehind.Seconds()/RenewInterval(routers).Seconds())
}

// Usage is what a router tells of a tenant with a renewal.
type Usage struct {
	RatePerSecond float64 // units a second of late
	Share         float64 // that the router holds of the rate; 0: none
	Spent         float64 // units used of the share, since the last renewal that was answered
}

// holder is a router that has a share, as the ledger knows it.
type holder struct {
	perS    float64       // units a second of late
	share   float64       // that it may be using: the one that it told of, or the one that it was answered
	given   float64       // that it was answered
	base    time.Duration // from when on the share may have been used
	heard   time.Duration // when it was renewed
	contact uint64
	told    float64 // units that the router has told of at this contact
	counted float64 // of them, those used since base
	lapsed  bool    // the lease has ended
	written float64 // units that were taken for used then
}

// mostSpent is what the holder may have used at most and not told of.
func (h *holder) mostSpent(now time.Duration, t *config.Tenant) float64 {
	until := min(now, h.heard+LeaseDuration)
	return max(0, h.share*t.RatePerS*(until-h.base).Seconds()-h.counted)
}

// spend notes what a router tells of, and returns how much of it is new.
func (h *holder) spend(told float64) float64 {
	added := max(0, told-h.told)
	h.told = told
	h.counted += added
	return added
}

// begin has the share count from a moment on.
func (h *holder) begin(at time.Duration, share float64) {
	h.base, h.share, h.counted = at, share, 0
}

// RenewLease renews a router's lease of a tenant's rate, in a fleet of so many routers, and returns its share. contact is the number
// of renewals of that process that were answered; numbers of different processes lie far apart.
func (l *Allocator) RenewLease(now time.Duration, t *config.Tenant, from string, contact uint64, routers int, use Usage) float64 {
	b := l.bucket(now, t)
	h := b.holders[from]
	isNext := h != nil && contact > h.contact && contact-h.contact < contactsApart
	again := h != nil && contact == h.contact && !h.lapsed
	switch {
	case h == nil:
		h = &holder{}
		b.holders[from] = h
		l.takeOver(now, t, b, h, use)
	case again: // the answer to the last renewal was lost: what that one was answered may be in use
		b.level -= h.spend(use.Spent)
	case isNext, contact == h.contact:
		if isNext {
			h.told = 0
		}
		b.level -= h.spend(use.Spent) - h.written
		h.begin(now, use.Share)
	default: // another process: what the former one has used is not known
		if !h.lapsed {
			b.level -= h.mostSpent(now, t)
		}
		h.told = use.Spent
		h.begin(now, 0)
	}
	b.bound(l.most(t))
	h.contact, h.heard, h.perS, h.lapsed, h.written = contact, now, use.RatePerSecond, false, 0
	if !again {
		h.given = l.shareFor(now, b, h, leasedMost(routers))
		h.share = max(h.share, h.given)
	}
	return h.given
}

// takeOver takes a router's share over that a former ledger may have leased. What was used of it before this ledger began is
// the former one's.
func (l *Allocator) takeOver(now time.Duration, t *config.Tenant, b *bucket, h *holder, use Usage) {
	h.told = use.Spent
	if use.Share <= 0 || !l.isNew(now) {
		h.begin(now, use.Share)
		return
	}
	h.begin(l.since, min(use.Share, max(0, 1-b.leased(h))))
	h.counted = min(use.Spent, h.share*t.RatePerS*(now-h.base).Seconds())
	b.level -= h.counted
}

// SetRouters says how many routers there are. A former ledger leased as much as they allow, and a little more.
func (l *Allocator) SetRouters(routers int) {
	l.formerMost = min(1, fleetSizeSlack*leasedMost(routers))
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
	l.complete = true
}

// leased is the sum of the shares that are out, but for one holder's.
func (b *bucket) leased(but *holder) float64 {
	sum := 0.0
	for _, h := range b.holders {
		if h != but && !h.lapsed {
			sum += h.share
		}
	}
	return sum
}

// outstanding is what holders may have used and not told of.
func (b *bucket) outstanding(now time.Duration, t *config.Tenant) float64 {
	sum := 0.0
	for _, h := range b.holders {
		if !h.lapsed {
			sum += h.mostSpent(now, t)
		}
	}
	return sum
}

// isNew tells whether leases of a former ledger may be out that this one does not know.
func (l *Allocator) isNew(now time.Duration) bool { return !l.complete && now-l.since <= LeaseDuration }

// AwaitsAnnouncements tells whether the ledger withholds what routers may hold of a former one's leases.
func (l *Allocator) AwaitsAnnouncements(now time.Duration) bool { return l.isNew(now) }

// unannounced is what routers may have used of a former ledger's leases that nobody has announced: their part of what has
// come into the bucket meanwhile. When the leases have ended it is taken for used up.
func (l *Allocator) unannounced(now time.Duration, b *bucket) float64 {
	if !l.isNew(now) {
		return 0
	}
	return max(0, l.formerMost-b.leased(nil)) * b.gained
}

// bound keeps the level within the bucket, together with what was taken for used of leases that ended and may be given back:
// had it not been taken, the bucket would have flowed over.
func (b *bucket) bound(most float64) {
	b.level = min(b.level, most)
	over := b.level - most
	for _, h := range b.holders {
		over += h.written
	}
	for _, h := range b.holders {
		kept := max(0, h.written-max(0, over))
		over -= h.written - kept
		h.written = kept
	}
}

// expire takes leases that have ended for used up, and forgets old ones.
func (b *bucket) expire(now time.Duration, t *config.Tenant) {
	for from, h := range b.holders {
		if !h.lapsed && now-h.heard > LeaseDuration {
			h.lapsed, h.written = true, h.mostSpent(now, t)
			b.level -= h.written
		}
		if now-h.heard > lapsedKept {
			delete(b.holders, from)
		}
	}
}

// shareFor is a holder's next share: by its use, as far as the others leave one.
func (l *Allocator) shareFor(now time.Duration, b *bucket, h *holder, most float64) float64 {
	if l.isNew(now) {
		return h.share // the rest may be somebody's
	}
	sum := 0.0
	for _, other := range b.holders {
		if !other.lapsed {
			sum += other.perS
		}
	}
	if sum <= 0 {
		return 0
	}
	return min(most*h.perS/sum, max(0, most-b.leased(h)))
}
