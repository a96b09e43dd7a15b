package loopback

import (
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
)

// roundRobin is the plain policy: no sidecars, and each request goes to the next endpoint of its tier's list. As there is nobody whom
// discovery would notify, the plan has no such events; instead an endpoint is on the list by its own state: it is removed
// Discovery.Notice after its process ends (Discovery.Silent if its host becomes unresponsive) and added Discovery.Add after it is up.
// A drain shows only by its end, and so does an entry that is never removed (fault leave): both favour the plain policy.
type roundRobin struct {
	mu         sync.Mutex
	tiers      []tierRotation
	downFaults []int // number of faults by which each endpoint is down
	plan       *plan.Plan
}

// tierRotation is the list of one tier.
type tierRotation struct {
	endpoints []int // sorted
	next      int   // index of the one that got the last request
}

// listChange is a change of the list by an endpoint's start or end, which is noticed after a delay.
type listChange struct {
	endpoint int
	listed   bool
	delay    time.Duration
}

func newRoundRobin(p *plan.Plan) *roundRobin {
	r := &roundRobin{
		plan:       p,
		tiers:      make([]tierRotation, len(p.Scenario.Tiers)),
		downFaults: make([]int, len(p.Endpoints)),
	}
	for tier := range r.tiers {
		for _, listed := range p.InitialMembers(tier) {
			r.setListed(listed.Endpoint, true)
		}
	}
	return r
}

// next is the endpoint that gets a tier's next request; -1 if the list is empty.
func (r *roundRobin) next(tier int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	rotation := &r.tiers[tier]
	if len(rotation.endpoints) == 0 {
		return -1
	}
	rotation.next = (rotation.next + 1) % len(rotation.endpoints)
	return rotation.endpoints[rotation.next]
}

// applyEvent takes an event of the script. If it changes the list, the change is to be passed to applyListChange after its delay.
func (r *roundRobin) applyEvent(event plan.Event) (change listChange, changes bool) {
	discovery := &r.plan.Scenario.Discovery
	change = listChange{endpoint: event.Endpoint, listed: event.Kind != plan.StartFault, delay: discovery.AddDelay.D()}
	if event.Kind == plan.StartEndpoint {
		return change, true
	}
	noticeDelay := discovery.RemoveDelay.D()
	switch {
	case event.Kind != plan.StartFault && event.Kind != plan.EndFault:
		return change, false
	case event.Fault.Kind == model.Vanish:
		noticeDelay = discovery.UnresponsiveDelay.D()
	case event.Fault.Kind != model.Crash:
		return change, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.listed {
		r.downFaults[event.Endpoint]--
		return change, r.downFaults[event.Endpoint] == 0
	}
	r.downFaults[event.Endpoint]++
	change.delay = noticeDelay
	return change, true
}

// applyListChange applies a change, unless the endpoint has changed back meanwhile.
func (r *roundRobin) applyListChange(change listChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.listed == (r.downFaults[change.endpoint] == 0) {
		r.setListed(change.endpoint, change.listed)
	}
}

// setListed puts an endpoint on its tier's list or takes it off. The lock is held.
func (r *roundRobin) setListed(endpoint int, listed bool) {
	rotation := &r.tiers[r.plan.Endpoints[endpoint].Tier]
	at, found := slices.BinarySearch(rotation.endpoints, endpoint)
	switch {
	case listed && !found:
		rotation.endpoints = slices.Insert(rotation.endpoints, at, endpoint)
	case !listed && found:
		rotation.endpoints = slices.Delete(rotation.endpoints, at, at+1)
	}
}
