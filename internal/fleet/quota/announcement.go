package quota

import "time"

// SetRouters sets the number of routers. A former allocator leased as much as they allow, and a little more.
func (a *Allocator) SetRouters(routers int) {
	a.maxFormerShare = min(1, fleetSizeTolerance*maxLeasedShare(routers))
}

// RecordAnnouncement records that a router has renewed all leases that it has.
func (a *Allocator) RecordAnnouncement(router string) { a.announced[router] = true }

// ExpectAnnouncements sets which routers may have leases of a former allocator. Once all of them have announced theirs, the
// allocator awaits no more.
func (a *Allocator) ExpectAnnouncements(routers []string) {
	for _, router := range routers {
		if !a.announced[router] {
			return
		}
	}
	a.allAnnounced = true
}

// AwaitsAnnouncements reports whether routers may use leases of a former allocator that this one does not know.
func (a *Allocator) AwaitsAnnouncements(now time.Duration) bool {
	return !a.allAnnounced && now-a.activeSince <= LeaseDuration
}

// maxUnannouncedUse returns the units that routers may have used of a former allocator's leases that nobody has announced:
// their part of what the bucket has gained meanwhile. When those leases have expired it is taken for used.
func (a *Allocator) maxUnannouncedUse(now time.Duration, b *bucket) float64 {
	if !a.AwaitsAnnouncements(now) {
		return 0
	}
	return max(0, a.maxFormerShare-b.leasedShare(nil)) * b.unannouncedGain
}
