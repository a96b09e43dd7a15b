// Package quota holds tenants to what they may use over all routers. One router, the primary of the present view, keeps
// a token bucket a tenant and hands out credit that expires soon; the others ask for it, somewhat ahead of need. It is
// pure: no I/O, no clock.
package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Settings are the bounds of the rules.
type Settings struct {
	Window         time.Duration
	OvershootRatio float64 // share of the allowance that may be exceeded
	OvershootUnits float64 // and units beside
}

// What of the allowed excess is used where.
const (
	bucketOvershootShare  = 0.65 // by the ledger's buckets, beyond a tenant's burst
	initialOvershootShare = 0.25 // that a ledger begins with: the one before may have handed out its burst just now
)

// excess is what a tenant may use in a window beyond its rate and burst.
func (s Settings) overshoot(t *config.Tenant) float64 {
	return s.OvershootRatio*(t.RatePerS*s.Window.Seconds()+t.Burst) + s.OvershootUnits
}

// bucket is what a tenant's bucket holds at most, in units.
func (s Settings) bucketSize(t *config.Tenant) float64 {
	return t.Burst + bucketOvershootShare*s.overshoot(t)
}

// Allocator hands out credit of all tenants' quotas.
type Allocator struct {
	settings     Settings
	view         uint64
	activeSince  time.Duration // when it began to act without a break
	initialLevel float64       // of the allowed excess, that buckets begin with
	buckets      map[string]*bucket

	announced    map[string]bool // routers that have told what they hold of a former ledger's leases
	allAnnounced bool            // all that may hold some have

	maxFormerShare float64 // of a rate, that a former ledger may have leased
}

type bucket struct {
	level           float64
	updatedAt       time.Duration
	leases          map[string]*routerLease // by router
	unannouncedGain float64                 // since the ledger began, while leases of a former one may be out that it does not know
}

// firstView is the number of the first view that a primary leads: no ledger was before it.
const firstView = 1

// NewAllocator returns a ledger that serves no view.
func NewAllocator(settings Settings) *Allocator {
	return &Allocator{settings: settings, buckets: map[string]*bucket{}, announced: map[string]bool{}}
}

// View is the view that the ledger acts for.
func (l *Allocator) View() uint64 { return l.view }

// Activate has the ledger act for a view. Buckets are kept where this router was the primary of the view before, too. calm is how
// long the ledger before this one has acted: of one that follows others soon the buckets begin with less, so that ledgers
// which follow one another within a window begin with little more than one does.
func (l *Allocator) Activate(now time.Duration, view uint64, keep bool, calm time.Duration) {
	if view != l.view && !keep {
		l.buckets = map[string]*bucket{}
		l.announced, l.allAnnounced = map[string]bool{}, view <= firstView
		l.maxFormerShare = 1
		l.activeSince = now
		l.initialLevel = initialOvershootShare * min(1, calm.Seconds()/l.settings.Window.Seconds())
	}
	l.view = view
}

// Grant hands out up to want units, and nothing where least can't be had. wait is when least may be asked for again.
func (l *Allocator) Grant(now time.Duration, t *config.Tenant, least, want float64) (granted float64, wait time.Duration) {
	b := l.bucket(now, t)
	available := b.level - b.maxUnreported(now, t) - l.maxUnannouncedUse(now, b)
	if available < least {
		if t.RatePerS <= 0 {
			return 0, time.Second
		}
		return 0, time.Duration((least - available) / t.RatePerS * float64(time.Second))
	}
	granted = min(available, max(least, want))
	b.level -= granted
	return granted, 0
}

func (l *Allocator) bucketSize(t *config.Tenant) float64 { return l.settings.bucketSize(t) }

func (l *Allocator) bucket(now time.Duration, t *config.Tenant) *bucket {
	b := l.buckets[t.Name]
	if b == nil {
		b = &bucket{level: l.initialLevel * l.settings.overshoot(t), updatedAt: min(l.activeSince, now), leases: map[string]*routerLease{}}
		l.buckets[t.Name] = b
	}
	if end := l.activeSince + LeaseDuration; !l.allAnnounced && b.updatedAt <= end && now > end {
		l.accrue(end, t, b)
		b.level -= l.maxUnannouncedUse(end, b) // routers that are cut off may have used it
	}
	l.accrue(now, t, b)
	b.expireLeases(now, t)
	return b
}

// accrue lets a tenant's rate flow into its bucket until a moment.
func (l *Allocator) accrue(until time.Duration, t *config.Tenant, b *bucket) {
	if until <= b.updatedAt {
		return
	}
	before := b.level
	b.level += t.RatePerS * (until - b.updatedAt).Seconds()
	b.updatedAt = until
	b.clamp(l.bucketSize(t))
	if l.isNew(until) {
		b.unannouncedGain += max(0, b.level-before)
	}
}
