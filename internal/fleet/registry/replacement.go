package registry

import "time"

// The address of an endpoint that has ended may be assigned to another one. A crashed endpoint is therefore deregistered once
// another one has registered with its address and its own heartbeats have stayed away. The order in which a router hears of the two
// endpoints proves nothing: heartbeats may arrive seconds late, and a router that has restarted or was partitioned doesn't know who
// was first. Only the owner, which receives the heartbeats, can tell whether they have stopped.

// Replacement is the end of an endpoint because another one registered with its address.
type Replacement struct {
	Ended     Endpoint
	Successor string // id of the other endpoint
}

// TakeReplaced returns the replacements that this router has decided on since the last call.
func (r *Registry) TakeReplaced() []Replacement {
	replaced := r.replaced
	r.replaced = nil
	return replaced
}

// claimAddress records that an endpoint is active at an address that it had not before, as far as this router knows. If another
// active endpoint had the address, the claimant may be its successor. Both stay in use until EndReplaced or ExpireStale ends one.
func (r *Registry) claimAddress(claimant *Endpoint) {
	holder := r.entries[r.idByAddress[claimant.Address]]
	if holder != nil && holder.ID != claimant.ID && holder.Address == claimant.Address {
		holder.successor = claimant.ID
	}
	r.idByAddress[claimant.Address] = claimant.ID
}

// reclaimAddress records that an endpoint is active again, or that the successor of an active one has ended. If a third one is active
// at the address, that one is the successor.
func (r *Registry) reclaimAddress(e *entry) {
	e.successor = r.idByAddress[e.Address]
	if e.successor == e.ID || !r.holdsAddress(e.successor, e.Address) {
		e.successor = ""
		r.idByAddress[e.Address] = e.ID
	}
}

// EndReplaced deregisters the endpoints whose address has a successor, if self, this router, has received their heartbeats and
// none for longer than silence. It returns their reports, to be forwarded.
func (r *Registry) EndReplaced(now time.Duration, self string, silence time.Duration) []Endpoint {
	var ended []Endpoint
	for _, e := range r.entries {
		if e.successor == "" || e.State.hasEnded() {
			continue
		}
		if !r.holdsAddress(e.successor, e.Address) {
			r.reclaimAddress(e)
		}
		if e.successor != "" && e.heard && e.Owner == self && now-e.lastUpdate > silence {
			r.endEndpoint(now, e, Deregistered)
			r.replaced = append(r.replaced, Replacement{Ended: e.Endpoint, Successor: e.successor})
			ended = append(ended, e.Endpoint)
		}
	}
	return ended
}

// holdsAddress reports whether an endpoint is active at an address.
func (r *Registry) holdsAddress(id, address string) bool {
	e := r.entries[id]
	return e != nil && !e.State.hasEnded() && e.Address == address
}
