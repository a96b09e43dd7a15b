package registry

import (
	"slices"
	"strings"
	"time"
)

// Snapshot returns the reports of all endpoints, those included that have ended and are not purged yet, ordered by id. A later process
// of this router passes them to RestoreLeaves and Restore.
func (r *Registry) Snapshot(now time.Duration) []Endpoint {
	reports := make([]Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		reports = append(reports, e.report(now))
	}
	slices.SortFunc(reports, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return reports
}

// RestoreLeaves adds endpoints that were draining or had ended before a restart, so that late heartbeats don't make them ready again.
// It skips endpoints that are already registered.
func (r *Registry) RestoreLeaves(now time.Duration, endpoints []Endpoint) {
	for _, e := range endpoints {
		switch {
		case r.entries[e.ID] != nil || e.State == Ready:
		case e.State.hasEnded():
			r.addTombstone(now, e)
		default:
			e.Owner = ""
			r.store(now, e)
		}
	}
}

// Restore adds endpoints that were ready before a restart and returns the added ones. It skips endpoints that are already
// registered, or whose address is. The next heartbeat of an endpoint replaces its restored entry; without any report the entry
// expires after restoredEndpointTTL.
func (r *Registry) Restore(now time.Duration, endpoints []Endpoint) []Endpoint {
	var restored []Endpoint
	for _, e := range endpoints {
		if r.entries[e.ID] != nil || r.idByAddress[e.Address] != "" || e.State != Ready {
			continue
		}
		e.Owner, e.Sequence = "", 0
		r.store(now, e)
		restored = append(restored, e)
	}
	return restored
}
