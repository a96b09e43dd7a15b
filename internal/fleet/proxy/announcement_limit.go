package proxy

import "time"

// The rate of announcements is bounded for any size and load of the fleet. If not all prompts can be announced, long prompts take
// precedence.
const (
	minAnnouncedUnits            = 400.0  // minimum units to prefill of an announced prompt
	longPromptUnits              = 6000.0 // from this number of units to prefill, a prompt may use the whole token bucket
	maxAnnouncementRate          = 1500.0 // per second, of all routers together, in a small fleet
	largeFleetAnnouncementFactor = 1.3e7  // per second, of all routers together, in a large fleet, times routers²; about 5 KB/s at 380 routers
	announcementBurst            = 6.0    // of each router

	maxFailureReportRate        = 20.0   // failures per second, of each router, in a small fleet
	largeFleetFailureReportRate = 2000.0 // failures per second, of all routers together, in a large fleet
	failureReportBurst          = 20.0   // of each router
)

// tokenBucket limits a rate. The zero value is empty at time 0.
type tokenBucket struct {
	level     float64
	updatedAt time.Duration
}

// take adds the tokens since the last call, at rate tokens per second and up to burst, and then removes one token. It returns
// false, and removes none, if less than reserve tokens would remain.
func (b *tokenBucket) take(now time.Duration, rate, burst, reserve float64) bool {
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if b.level < 1+reserve {
		return false
	}
	b.level--
	return true
}

// takeAnnouncement takes a token for one announcement of a prompt with the given units to prefill. It returns false if the
// announcement must not be sent. The shorter the prompt, the more tokens must remain for long prompts. The caller holds the lock.
func (d *Dispatcher) takeAnnouncement(now time.Duration, units float64) bool {
	routers := float64(d.routers)
	rate := min(maxAnnouncementRate, largeFleetAnnouncementFactor/(routers*routers)) / routers
	burst := max(announcementBurst, rate)
	reserve := 0.5 * burst * max(0, 1-units/longPromptUnits)
	return d.announcements.take(now, rate, burst, reserve)
}

// takeFailureReport takes a token for the report of one failure. It returns false if the report must not be sent. The caller
// holds the lock.
func (d *Dispatcher) takeFailureReport(now time.Duration) bool {
	rate := min(maxFailureReportRate, largeFleetFailureReportRate/float64(d.routers))
	return d.failureReports.take(now, rate, failureReportBurst, 0)
}
