// Package registry holds the endpoints of all services as one router knows them. This is soft state: endpoints send heartbeats
// periodically, so that nothing has to be durable.
//
// The package is pure: it does no I/O and reads no clock. The dissemination package calls it and transfers reports between
// routers; the router package reads it. Times are durations since the router's start.
//
// Invariants: a deregistered endpoint never becomes active again; a heartbeat never changes an endpoint from draining to ready;
// each endpoint that stops being ready, or becomes ready at another address, is returned by TakeUnready.
package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registry holds all endpoints that one router knows. Its methods are not safe for concurrent use.
type Registry struct {
	// OwnerReceives reports whether a router may still receive its endpoints' heartbeats. nil: each may.
	OwnerReceives func(owner string) bool

	entries      map[string]*entry // by id
	idByAddress  map[string]string // id of the endpoint that became active last, by address
	version      uint64            // incremented with each change that affects the routing of requests
	newlyUnready []string          // ids that the next call of TakeUnready returns
	replaced     []Replacement     // what the next call of TakeReplaced returns
}

// entry is an endpoint together with this router's state for it.
type entry struct {
	Endpoint
	lastUpdate    time.Duration // time of the last change, or of the last heartbeat if this router is the owner
	lastAssertion time.Duration // when this router last asserted to other routers that it receives the heartbeats
	heard         bool          // this router has received a heartbeat of the endpoint
	successor     string        // id of an endpoint that became active at the address later, as this router knows it; empty: none
	idHash        uint64
	digest        uint32 // the endpoint's part of its bucket's checksum; 0: none
}

// New returns a registry without endpoints.
func New() *Registry {
	return &Registry{entries: map[string]*entry{}, idByAddress: map[string]string{}}
}

// Version returns a number that is incremented with each change of an endpoint's state, owner, address, service or capacity.
func (r *Registry) Version() uint64 { return r.version }

// TakeUnready returns the ids of the endpoints that have stopped being ready, or changed their address while ready, since the
// last call.
func (r *Registry) TakeUnready() []string {
	unready := r.newlyUnready
	r.newlyUnready = nil
	return unready
}

// Len returns the number of endpoints, those included that have ended and are not purged yet.
func (r *Registry) Len() int { return len(r.entries) }

// Lookup returns the current report of an endpoint.
func (r *Registry) Lookup(id string) (Endpoint, bool) {
	e := r.entries[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Ready returns the endpoints to which requests may be sent, ordered by id.
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

// ApplyHeartbeat applies an endpoint's own report and returns the changes to be forwarded. ok is false if the report is ignored,
// because it is older than the current one or the endpoint has been deregistered.
func (r *Registry) ApplyHeartbeat(now time.Duration, report Endpoint) (changed []Endpoint, ok bool) {
	known := r.entries[report.ID]
	if known == nil {
		r.store(now, report)
		r.entries[report.ID].heard = true
		return []Endpoint{report}, true
	}
	if known.State == Deregistered || report.isOutdated(&known.Endpoint) {
		return nil, false
	}
	if report.State == Deregistered {
		report = known.deregistration(report)
	}
	if known.State == Draining && report.State == Ready {
		report.State = Draining // draining can't be cancelled
	}
	differs := report.differs(&known.Endpoint)
	r.store(now, report)
	known.heard = true
	if !differs {
		return nil, true
	}
	return []Endpoint{report}, true
}

// deregistration completes a report that deregisters the endpoint, since such a report need not describe the endpoint.
func (e *entry) deregistration(report Endpoint) Endpoint {
	report.Service, report.Address, report.Zone, report.Capacity = e.Service, e.Address, e.Zone, e.Capacity
	report.Sequence = max(report.Sequence, e.Sequence)
	return report
}

// endEndpoint sets the state of an endpoint to Expired or Deregistered, for a reason other than a report.
func (r *Registry) endEndpoint(now time.Duration, e *entry, state State) {
	if e.State == Ready {
		r.newlyUnready = append(r.newlyUnready, e.ID)
	}
	e.State, e.lastUpdate = state, now
	e.updateDigest()
	r.version++
}

// store adds an endpoint, or replaces the current report of it.
func (r *Registry) store(now time.Duration, report Endpoint) {
	known := r.entries[report.ID]
	report.EndedMs = 0 // lastUpdate has the time
	switch {
	case report.State.hasEnded():
	case known == nil || known.Address != report.Address:
		r.claimAddress(&report)
	case known.State.hasEnded():
		r.reclaimAddress(known)
	}
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
		r.newlyUnready = append(r.newlyUnready, report.ID)
	}
	known.Endpoint, known.lastUpdate = report, now
	known.updateDigest()
}

// Merge applies other routers' reports and returns the new ones in changed, to be forwarded. Reports in which only the sequence
// is new are forwarded too, since a third router may have a different report with a sequence in between. If an outdated report
// says that an endpoint has expired or that another router receives its heartbeats, and self, this router, receives them, the current
// report is returned in asserted, to be sent to all routers.
func (r *Registry) Merge(now time.Duration, self string, reports []Endpoint) (changed, asserted []Endpoint) {
	for _, report := range reports {
		known := r.entries[report.ID]
		if known == nil && report.State.hasEnded() {
			if r.addTombstone(now, report) {
				changed = append(changed, report)
			}
			continue
		}
		if known != nil && (!report.supersedes(&known.Endpoint) || r.isOrphan(known, &report)) {
			if (report.State == Expired || report.Owner != self) && known.shouldAssert(now, self) {
				asserted = append(asserted, known.Endpoint)
			}
			continue
		}
		r.store(now, report)
		changed = append(changed, report)
	}
	return changed, asserted
}

// isOrphan reports whether a report of an endpoint that this router has let expire has no news: the same heartbeat, of an owner that
// doesn't receive any more. Without this, routers would return the endpoint to each other for ever.
func (r *Registry) isOrphan(known *entry, report *Endpoint) bool {
	isSame := known.State == Expired && known.Owner == "" && known.Sequence == report.Sequence
	return isSame && !report.State.hasEnded() && r.OwnerReceives != nil && !r.OwnerReceives(report.Owner)
}

// minAssertionInterval is the minimum time between two assertions of one endpoint.
const minAssertionInterval = time.Second

// shouldAssert reports whether this router should assert to other routers that it receives the endpoint's heartbeats. If so, it
// records the time of the assertion.
func (e *entry) shouldAssert(now time.Duration, self string) bool {
	if e.Owner != self || e.State.hasEnded() || e.lastAssertion != 0 && now-e.lastAssertion < minAssertionInterval {
		return false
	}
	e.lastAssertion = now
	return true
}
