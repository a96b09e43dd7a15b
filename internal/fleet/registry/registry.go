// Package registry keeps the endpoints of all services as one router knows them. The state is soft: endpoints send heartbeats
// again and again, so that none of it has to be durable.
//
// The package is pure: it does no I/O and reads no clock. The dissemination package calls it and carries reports between routers;
// the router package reads it. Times are durations since the router's start.
//
// Invariants: a deregistered endpoint never returns; no heartbeat makes an endpoint ready again that is known to be draining; each
// endpoint that stops being ready, or is ready at another address, is returned by TakeUnready.
package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registry is one router's knowledge of all endpoints. Its methods are not safe for concurrent use.
type Registry struct {
	entries     map[string]*entry // by id
	idByAddress map[string]string // the newest endpoint's id
	version     uint64            // rises with each change that affects requests
	newlyEnded  []string          // ids of endpoints that have stopped being ready since TakeUnready
}

type entry struct {
	Endpoint
	lastUpdate    time.Duration // last change, or last heartbeat where this router is the owner
	lastAssertion time.Duration // when this router last asserted to others that it receives the heartbeats
	idHash        uint64
	digest        uint32 // what it adds to a bucket's sum; 0: it is in none
}

// New returns a registry without endpoints.
func New() *Registry {
	return &Registry{entries: map[string]*entry{}, idByAddress: map[string]string{}}
}

// Version returns a number that rises with each change of an endpoint's state, owner, address, service or capacity.
func (r *Registry) Version() uint64 { return r.version }

// TakeUnready returns the ids of the endpoints that have stopped being ready since the last call.
func (r *Registry) TakeUnready() []string {
	ended := r.newlyEnded
	r.newlyEnded = nil
	return ended
}

// Lookup returns what is known of an endpoint.
func (r *Registry) Lookup(id string) (Endpoint, bool) {
	e := r.entries[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Ready returns the endpoints that may be sent requests, ordered by id.
func (r *Registry) Ready() []Endpoint {
	var ready []Endpoint
	for _, e := range r.entries {
		if e.State == Ready {
			ready = append(ready, e.Endpoint)
		}
	}
	slices.SortFunc(ready, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return ready
}

// ApplyHeartbeat applies an endpoint's own report. It returns the changes to be forwarded; ok is false where the report is older
// than what is known, or the endpoint was deregistered: it is ignored.
func (r *Registry) ApplyHeartbeat(now time.Duration, report Endpoint) (changed []Endpoint, ok bool) {
	known := r.entries[report.ID]
	if known == nil {
		r.store(now, report)
		return append(r.deregisterFormer(now, &report), report), true
	}
	if known.State == Deregistered || report.Sequence < known.Sequence && report.State != Deregistered {
		return nil, false
	}
	if report.State == Deregistered {
		report = known.deregistration(report)
	}
	if known.State == Draining && report.State == Ready {
		report.State = Draining // draining can't be taken back
	}
	differs := report.differs(&known.Endpoint)
	r.store(now, report)
	if !differs {
		return nil, true
	}
	return append(r.deregisterFormer(now, &report), report), true
}

// deregistration completes a report of the endpoint's end, which need not describe the endpoint.
func (e *entry) deregistration(report Endpoint) Endpoint {
	report.Service, report.Address, report.Zone, report.Capacity = e.Service, e.Address, e.Zone, e.Capacity
	report.Sequence = max(report.Sequence, e.Sequence)
	return report
}

// deregisterFormer deregisters the endpoint that had the successor's address before, and returns it.
func (r *Registry) deregisterFormer(now time.Duration, successor *Endpoint) []Endpoint {
	if successor.State == Deregistered {
		return nil
	}
	former := r.entries[r.idByAddress[successor.Address]]
	r.idByAddress[successor.Address] = successor.ID
	if former == nil || former.ID == successor.ID || former.State == Deregistered {
		return nil
	}
	r.endEndpoint(now, former, Deregistered)
	return []Endpoint{former.Endpoint}
}

// endEndpoint changes the state of an endpoint to one in which it gets no requests, for a reason other than a report.
func (r *Registry) endEndpoint(now time.Duration, e *entry, state State) {
	if e.State == Ready {
		r.newlyEnded = append(r.newlyEnded, e.ID)
	}
	e.State, e.lastUpdate = state, now
	e.updateDigest()
	r.version++
}

// store adds an endpoint, or replaces what is known of it.
func (r *Registry) store(now time.Duration, report Endpoint) {
	known := r.entries[report.ID]
	if known == nil {
		known = &entry{Endpoint: report, lastUpdate: now, idHash: xxhash.Sum64String(report.ID)}
		known.updateDigest()
		r.entries[report.ID] = known
		r.version++
		return
	}
	if report.differs(&known.Endpoint) {
		r.version++
	}
	if known.State == Ready && (report.State != Ready || report.Address != known.Address) {
		r.newlyEnded = append(r.newlyEnded, report.ID)
	}
	known.Endpoint, known.lastUpdate = report, now
	known.updateDigest()
}

// Merge applies other routers' reports and returns those that were new, to be forwarded, also where only their sequence is: a
// third router may know a different report with a sequence in between. Where a report says that an endpoint has expired whose
// heartbeats this router, self, receives, what this router knows is returned in asserted, to be sent to all.
func (r *Registry) Merge(now time.Duration, self string, reports []Endpoint) (changed, asserted []Endpoint) {
	for _, report := range reports {
		known := r.entries[report.ID]
		if known == nil && report.State.hasEnded() {
			continue // it has been purged already
		}
		if known != nil && !report.supersedes(&known.Endpoint) {
			if report.State == Expired && known.shouldAssert(now, self) {
				asserted = append(asserted, known.Endpoint)
			}
			continue
		}
		differs := known == nil || report.differs(&known.Endpoint)
		r.store(now, report)
		changed = append(changed, report)
		if differs && !report.State.hasEnded() && r.idByAddress[report.Address] == "" {
			r.idByAddress[report.Address] = report.ID
		}
	}
	return changed, asserted
}

// minAssertionInterval is the minimum time between two assertions of one endpoint.
const minAssertionInterval = time.Second

// shouldAssert reports whether this router should assert to others that it receives the endpoint's heartbeats, and records that
// it does.
func (e *entry) shouldAssert(now time.Duration, self string) bool {
	if e.Owner != self || e.State.hasEnded() || e.lastAssertion != 0 && now-e.lastAssertion < minAssertionInterval {
		return false
	}
	e.lastAssertion = now
	return true
}

// Restore adds endpoints that were known before a restart, where nothing is known of them, and returns those. They are used for a
// short time, in which their next heartbeat replaces the restored entry.
func (r *Registry) Restore(now time.Duration, endpoints []Endpoint) []Endpoint {
	var restored []Endpoint
	for _, e := range endpoints {
		if r.entries[e.ID] != nil || r.idByAddress[e.Address] != "" || e.State != Ready {
			continue
		}
		e.Owner, e.Sequence = "", 0
		r.store(now, e)
		r.idByAddress[e.Address] = e.ID
		restored = append(restored, e)
	}
	return restored
}
