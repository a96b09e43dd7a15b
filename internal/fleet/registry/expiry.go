package registry

import "time"

// restoredEndpointTTL is how long a restored endpoint is used of which no report has come yet.
const restoredEndpointTTL = 1500 * time.Millisecond

// ExpireStale marks endpoints as Expired and returns them: those that self owns after a time-out without a heartbeat, those of
// routers that can't receive heartbeats any more after twice the time-out, and restored ones after their time to live.
// ownerReceives reports whether a router may still receive its endpoints' heartbeats.
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
			r.endEndpoint(now, e, Expired)
			expired = append(expired, e.Endpoint)
		}
	}
	return expired
}

// Purge removes endpoints that ended longer than a time to live ago.
func (r *Registry) Purge(now, ttl time.Duration) {
	for id, e := range r.entries {
		if e.State.hasEnded() && now-e.lastUpdate > ttl {
			delete(r.entries, id)
			if r.idByAddress[e.Address] == id {
				delete(r.idByAddress, e.Address)
			}
		}
	}
}
