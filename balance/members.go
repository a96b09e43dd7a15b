// The list of endpoints.

package balance

import "time"

func (b *Balancer) onMembership(ev *Event) {
	if ev.List == ListFailed {
		b.subscribed = false
		b.subscribeFailures++
		wait := min(b.settings.MaxListAge/4, 250*time.Millisecond<<min(b.subscribeFailures, 5))
		b.nextSubscribe = b.now + wait/2 + b.jitter(wait)
		return
	}
	if ev.List != ListCached {
		b.subscribed, b.subscribeFailures = true, 0
	}
	if ev.List != ListDelta { // what a whole list leaves out is gone
		for _, endpoint := range b.endpointsByID {
			endpoint.State, endpoint.available = Gone, false
		}
	}
	for _, e := range ev.Entries {
		b.updateEndpoint(e)
	}
	b.rebuildEndpoints()
	b.solveNeeded = true
}

// choose picks the endpoints that this instance uses: of a large fleet it would otherwise send each server
// too few calls to learn from, and all of them together fill every connection table. They are the first in an
// order of its own, hashed from its name and theirs, so that no number is needed and one more or less of them
// changes little; where it has no name, they are a stretch of the order of all, from its rank on.
func (b *Balancer) chooseSubset() {
	b.readyEndpoints = ringOrder(b.endpointsByID, b.instanceHash)
	n, first := len(b.readyEndpoints), 0
	if b.instanceHash == 0 {
		first = b.settings.Rank * n / b.settings.Instances
	}
	b.scaleLimitToCapacity()
	want := max(minSubsetSize, (targetInstancesPerEndpoint*n+b.settings.Instances-1)/b.settings.Instances)
	b.instancesPerEndpoint = b.settings.processCount() * float64(min(n, want)) / float64(max(1, n))
	good := 0
	for i := range n {
		endpoint := b.readyEndpoints[(first+i)%n]
		endpoint.inSubset = good < want && i < 2*want
		if !endpoint.halfOpen || b.panicMode { // one written off stays for its trial, and the next stands in
			good++
		}
	}
}

// update takes over one entry of a list.
func (b *Balancer) updateEndpoint(e Entry) {
	endpoint := b.endpointsByID[e.Endpoint]
	told := e.StartedAt
	switch {
	case endpoint == nil && e.State == Gone:
		return
	case endpoint != nil && endpoint.Cached && !e.Cached && told == endpoint.listedStart: // as old as was guessed
	case endpoint != nil && (told <= endpoint.StartedAt || told == endpoint.listedStart): // missing or moved back: no warmer for that
		e.StartedAt = endpoint.StartedAt
	default: // a new process, and what was learned of an old one is void. None starts in the future
		e.StartedAt = min(told, b.now)
		if endpoint == nil {
			endpoint = &endpointState{}
			b.endpointsByID[e.Endpoint] = endpoint
		}
		if *endpoint = (endpointState{pending: endpoint.pending, listedStart: told}); e.Cached {
			e.StartedAt = b.now
		}
	}
	endpoint.Entry, endpoint.available = e, e.State == Ready && !b.cordoned[e.Endpoint]
	k := groupKey{e.Kind, e.Weight}
	if b.groups[k] == nil {
		b.groups[k] = &group{}
	}
	endpoint.group = b.groups[k]
}

// subscribe subscribes, and again after a failure, well before the list counts as old.
func (b *Balancer) subscribe() {
	if b.settings.PollsDiscovery && !b.subscribed && b.now >= b.nextSubscribe {
		b.nextSubscribe = b.now + b.settings.MaxListAge/2
		b.emit(Action{Kind: ActSubscribe})
	}
}
