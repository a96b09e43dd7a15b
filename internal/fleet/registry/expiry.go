package registry

import "time"

// restoredEndpointTTL is how long a restored endpoint is used without any report of it.
const restoredEndpointTTL = 1500 * time.Millisecond

// ExpireStale marks endpoints as Expired and returns them: those owned by self, this router, if their last heartbeat is older than
// timeout; those of owners that no longer receive heartbeats, if their last report is older than twice the timeout; and restored
// ones after restoredEndpointTTL. ownerReceives is like OwnerReceives.
func (r *Registry) ExpireStale(now time.Duration, self string, timeout time.Duration, ownerReceives func(owner string) bool) []Endpoint {
	var expired []Endpoint
	for _, e := range r.entries {
		if e.State.hasEnded() {
			continue
		}
		elapsed := now - e.lastUpdate
		silent := e.Owner == self && elapsed > timeout
		orphaned := e.Owner != self && elapsed > 2*timeout && !ownerReceives(e.Owner)
		unconfirmed := e.Owner == "" && elapsed > restoredEndpointTTL
		if silent || orphaned || unconfirmed {
			if !silent {
				e.Owner = ""
			}
			r.endEndpoint(now, e, Expired)
			expired = append(expired, e.Endpoint)
		}
	}
	return expired
}

// Purge removes endpoints that ended longer than tombstoneTTL ago.
func (r *Registry) Purge(now time.Duration) {
	for id, e := range r.entries {
		if e.State.hasEnded() && now-e.lastUpdate > tombstoneTTL {
			delete(r.entries, id)
			if r.idByAddress[e.Address] == id {
				delete(r.idByAddress, e.Address)
			}
		}
	}
}
