package registry

import "time"

// A router keeps an endpoint that has ended for tombstoneTTL as a tombstone, by which it recognizes late reports of the endpoint.
// A router that has started or was partitioned gets the tombstones that it lacks from others: without them it would take such
// a report for that of a new endpoint. Reports of tombstones state their age, so that routers don't renew them for each other.

const (
	tombstoneTTL = 60 * time.Second

	// maxEntriesWithTombstones is the size of the registry from which on tombstones of unknown endpoints are not added.
	maxEntriesWithTombstones = 4096
)

// report returns the endpoint's current report, to be sent to another router.
func (e *entry) report(now time.Duration) Endpoint {
	report := e.Endpoint
	if report.State.hasEnded() {
		report.EndedMs = (now - e.lastUpdate).Milliseconds()
	}
	return report
}

// addTombstone adds an endpoint that has ended and was not known. It returns false if the endpoint would be purged already, or if the
// registry is full.
func (r *Registry) addTombstone(now time.Duration, report Endpoint) bool {
	if report.endedAgo() >= tombstoneTTL || len(r.entries) >= maxEntriesWithTombstones {
		return false
	}
	r.store(now-report.endedAgo(), report)
	return true
}
