package proxy

import "time"

// How many announcements routers send is bounded, whatever the fleet's size and load. Where not all prompts can be announced, the
// long ones are.
const (
	minAnnouncedUnits       = 400.0  // of a prompt that is worth an announcement
	longPromptUnits         = 6000.0 // of a prompt that is announced before all others
	maxAnnouncementRate     = 1500.0 // a second, of all routers, in a small fleet
	largeFleetAnnouncements = 1.3e7  // a second, of all routers, times the square of their number: some 5 KB a second at 380
	announcementBurst       = 6.0    // of one router

	maxFailureReportRate     = 20.0   // failures a second, of one router, in a small fleet
	largeFleetFailureReports = 2000.0 // failures a second, of all routers, in a large one
	failureReportBurst       = 20.0   // of one router
)

// tokenBucket bounds a rate. The zero value is empty at time 0.
type tokenBucket struct {
	level     float64
	updatedAt time.Duration
}

// take takes a token where at least reserve are left over. Tokens are added at a rate a second, up to burst.
func (b *tokenBucket) take(now time.Duration, rate, burst, reserve float64) bool {
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if b.level < 1+reserve {
		return false
	}
	b.level--
	return true
}

// takeAnnouncement takes one announcement out of what this router may send; shorter prompts leave a reserve to long ones. The
// caller holds the lock.
func (d *Dispatcher) takeAnnouncement(now time.Duration, units float64) bool {
	routers := float64(d.routers)
	rate := min(maxAnnouncementRate, largeFleetAnnouncements/(routers*routers)) / routers
	burst := max(announcementBurst, rate)
	reserve := 0.5 * burst * max(0, 1-units/longPromptUnits)
	return d.announcements.take(now, rate, burst, reserve)
}

// takeFailureReport takes one failure out of what this router may report. The caller holds the lock.
func (d *Dispatcher) takeFailureReport(now time.Duration) bool {
	rate := min(maxFailureReportRate, largeFleetFailureReports/float64(d.routers))
	return d.failureReports.take(now, rate, failureReportBurst, 0)
}
