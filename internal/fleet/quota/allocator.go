package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// firstView is the number of the first view that a primary leads: no allocator was before it.
const firstView = 1

// noRateWait is the wait that is given where a tenant has no rate, so that its bucket never fills.
const noRateWait = time.Second

// Allocator has the token buckets of all tenants, and the leases of shares of their rates. It acts on the primary only.
type Allocator struct {
	settings     Settings
	view         uint64
	activeSince  time.Duration // of an uninterrupted time
	initialLevel float64       // of buckets, as a part of the allowed overshoot
	buckets      map[string]*bucket

	announced      map[string]bool // routers that have announced their leases of a former allocator
	allAnnounced   bool            // all that may have some have announced them
	maxFormerShare float64         // of a rate, that a former allocator may have leased
}

// bucket is a tenant's token bucket.
type bucket struct {
	level     float64 // units; below 0 where more was used than expected
	updatedAt time.Duration
	leases    map[string]*routerLease // by router

	// unannouncedGain is what the bucket has gained since the allocator started, while it awaits announcements.
	unannouncedGain float64
}

// NewAllocator returns an allocator that acts for no view.
func NewAllocator(settings Settings) *Allocator {
	return &Allocator{settings: settings, buckets: map[string]*bucket{}, announced: map[string]bool{}}
}

// View returns the view that the allocator acts for.
func (a *Allocator) View() uint64 { return a.view }

// Activate has the allocator act for a view. With keep, where this router was the primary of the view before too, it retains its
// buckets. previousTenure is how long the allocator before this one has acted. If that is short, buckets start with less: so
// allocators that follow one another within a window start with little more, all together, than one does.
func (a *Allocator) Activate(now time.Duration, view uint64, keep bool, previousTenure time.Duration) {
	if view != a.view && !keep {
		a.buckets = map[string]*bucket{}
		a.announced = map[string]bool{}
		a.allAnnounced = view <= firstView
		a.maxFormerShare = 1
		a.activeSince = now
		a.initialLevel = initialOvershootShare * min(1, previousTenure.Seconds()/a.settings.Window.Seconds())
	}
	a.view = view
}

// Grant takes up to wanted units out of a tenant's bucket, or none where less than minimum is available. wait is then the time
// after which minimum will be, if nobody else takes any. A minimum above the bucket's size is never available.
func (a *Allocator) Grant(now time.Duration, t *config.Tenant, minimum, wanted float64) (granted float64, wait time.Duration) {
	b := a.bucket(now, t)
	available := b.level - b.maxUnreported(now, t) - a.maxUnannouncedUse(now, b)
	if available < minimum {
		if t.RatePerS <= 0 {
			return 0, noRateWait
		}
		return 0, time.Duration((minimum - available) / t.RatePerS * float64(time.Second))
	}
	granted = min(available, max(minimum, wanted))
	b.level -= granted
	return granted, 0
}

// bucket returns a tenant's bucket as of now.
func (a *Allocator) bucket(now time.Duration, t *config.Tenant) *bucket {
	b := a.buckets[t.Name]
	if b == nil {
		b = &bucket{
			level:     a.initialLevel * a.settings.overshoot(t),
			updatedAt: min(a.activeSince, now),
			leases:    map[string]*routerLease{},
		}
		a.buckets[t.Name] = b
	}
	if end := a.activeSince + LeaseDuration; !a.allAnnounced && b.updatedAt <= end && now > end {
		a.accrue(end, t, b)
		b.level -= a.maxUnannouncedUse(end, b) // routers that are cut off may have used it
	}
	a.accrue(now, t, b)
	b.expireLeases(now, t)
	return b
}

// accrue adds a tenant's rate to its bucket until a moment.
func (a *Allocator) accrue(until time.Duration, t *config.Tenant, b *bucket) {
	if until <= b.updatedAt {
		return
	}
	before := b.level
	b.level += t.RatePerS * (until - b.updatedAt).Seconds()
	b.updatedAt = until
	b.clamp(a.settings.bucketSize(t))
	if a.AwaitsAnnouncements(until) {
		b.unannouncedGain += max(0, b.level-before)
	}
}

// clamp bounds the level by the bucket's size, together with what was written off for expired leases and may be credited
// again: had it not been written off, the bucket would have overflowed.
func (b *bucket) clamp(size float64) {
	b.level = min(b.level, size)
	excess := b.level - size
	for _, l := range b.leases {
		excess += l.writtenOff
	}
	for _, l := range b.leases {
		kept := max(0, l.writtenOff-max(0, excess))
		excess -= l.writtenOff - kept
		l.writtenOff = kept
	}
}
