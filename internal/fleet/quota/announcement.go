package quota

import "time"

// SetRouters sets the number of routers in the fleet. It determines the share of a rate that a previous allocator may have
// leased: up to fleetSizeTolerance times as much as this allocator leases in a fleet of that size.
func (a *Allocator) SetRouters(routers int) {
	a.maxPreviousShare = min(1, fleetSizeTolerance*maxLeasedShare(routers))
}

// RecordAnnouncement records that a router has announced its leases by renewing all of them.
func (a *Allocator) RecordAnnouncement(router string) { a.announced[router] = true }

// ExpectAnnouncements lists the routers that may hold leases of a previous allocator. If all of them have announced their
// leases, the allocator stops waiting for announcements.
func (a *Allocator) ExpectAnnouncements(routers []string) {
	for _, router := range routers {
		if !a.announced[router] {
			return
		}
	}
	a.allAnnounced = true
}

// AwaitsAnnouncements reports whether routers may be using leases of a previous allocator that this one does not know.
func (a *Allocator) AwaitsAnnouncements(now time.Duration) bool {
	return !a.allAnnounced && now-a.activeSince <= LeaseDuration
}

// maxUnannouncedUse returns the units that routers may have used under unannounced leases of a previous allocator: the maximum
// share of these leases times the units that the bucket has accrued meanwhile. Once these leases have expired, the bucket is
// charged for the units.
func (a *Allocator) maxUnannouncedUse(now time.Duration, b *bucket) float64 {
	if !a.AwaitsAnnouncements(now) {
		return 0
	}
	return max(0, a.maxPreviousShare-b.leasedShare(nil)) * b.accruedWhileAwaiting
}
