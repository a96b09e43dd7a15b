package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// firstView is the number of the first view that has a primary. No allocator was active before it.
const firstView = 1

// zeroRateWait is the wait returned for a tenant whose rate is zero, since its bucket never refills.
const zeroRateWait = time.Second

// Allocator holds the token buckets of all tenants and leases shares of their rates to routers. Only the primary's allocator
// is active.
type Allocator struct {
	settings     Settings
	view         uint64
	activeSince  time.Duration // start of the uninterrupted time in which this allocator has been active
	initialLevel float64       // level of new buckets, as a fraction of the allowed overshoot
	buckets      map[string]*bucket

	announced        map[string]bool // routers that have announced the leases that a previous allocator granted them
	allAnnounced     bool            // every router that may hold such leases has announced them
	maxPreviousShare float64         // maximum share of a rate that a previous allocator may have leased
}

// bucket is a tenant's token bucket.
type bucket struct {
	level     float64 // units; negative if more were used than expected
	updatedAt time.Duration
	leases    map[string]*routerLease // by router

	// accruedWhileAwaiting is the number of units accrued since the allocator started, while it awaits announcements.
	accruedWhileAwaiting float64
}

// NewAllocator returns an allocator that is not active in any view.
func NewAllocator(settings Settings) *Allocator {
	return &Allocator{settings: settings, buckets: map[string]*bucket{}, announced: map[string]bool{}}
}

// View returns the number of the view for which the allocator was activated last; 0: none.
func (a *Allocator) View() uint64 { return a.view }

// Activate makes the allocator active in a view. keep is set if this router was also the primary of the previous view; the
// buckets are then retained. previousTenure is how long the previous allocator was active. If that is shorter than the window,
// new buckets start at a lower level, so that several allocators within one window together start with little more than one
// allocator does.
func (a *Allocator) Activate(now time.Duration, view uint64, keep bool, previousTenure time.Duration) {
	if view != a.view && !keep {
		a.buckets = map[string]*bucket{}
		a.announced = map[string]bool{}
		a.allAnnounced = view <= firstView
		a.maxPreviousShare = 1
		a.activeSince = now
		a.initialLevel = initialOvershootShare * min(1, previousTenure.Seconds()/a.settings.Window.Seconds())
	}
	a.view = view
}

// Grant takes up to wanted units from a tenant's bucket, or none if fewer than minimum are available. wait is then the time
// until minimum units are available, provided that no other request takes units meanwhile. A minimum above the bucket's size is
// never granted.
func (a *Allocator) Grant(now time.Duration, t *config.Tenant, minimum, wanted float64) (granted float64, wait time.Duration) {
	b := a.bucket(now, t)
	available := b.level - b.maxUnreported(now, t) - a.maxUnannouncedUse(now, b)
	if available < minimum {
		if t.RatePerS <= 0 {
			return 0, zeroRateWait
		}
		return 0, time.Duration((minimum - available) / t.RatePerS * float64(time.Second))
	}
	granted = min(available, max(minimum, wanted))
	b.level -= granted
	return granted, 0
}

// bucket returns a tenant's bucket, updated to now.
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
		b.level -= a.maxUnannouncedUse(end, b) // routers that are partitioned off may have used these units
	}
	a.accrue(now, t, b)
	b.expireLeases(now, t)
	return b
}

// accrue updates a tenant's bucket to the time until: it adds the units that the tenant's rate has yielded since the last update.
func (a *Allocator) accrue(until time.Duration, t *config.Tenant, b *bucket) {
	if until <= b.updatedAt {
		return
	}
	before := b.level
	b.level += t.RatePerS * (until - b.updatedAt).Seconds()
	b.updatedAt = until
	b.clamp(a.settings.bucketSize(t))
	if a.AwaitsAnnouncements(until) {
		b.accruedWhileAwaiting += max(0, b.level-before)
	}
}

// clamp limits the level to the bucket's size. It also limits the units that were written off for expired leases and may be
// credited again, so that the level plus these units does not exceed the size: had they not been written off, the bucket would
// have overflowed.
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
