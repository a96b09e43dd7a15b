package balance

import "time"

// onMembership takes over a list of discovery's.
func (b *Balancer) onMembership(ev *Event) {
	if ev.List == ListFailed {
		b.subscribed = false
		b.subscribeFailures++
		backoff := min(b.settings.MaxListAge/4, baseSubscribeBackoff<<min(b.subscribeFailures, maxSubscribeDoublings))
		b.nextSubscribe = b.now + backoff/2 + b.jitter(backoff)
		return
	}
	if ev.List != ListCached {
		b.subscribed = true
		b.subscribeFailures = 0
	}
	if ev.List != ListDelta { // what a full list leaves out is gone
		for _, endpoint := range b.endpointsByID {
			endpoint.State = Removed
			endpoint.available = false
		}
	}
	for _, entry := range ev.Entries {
		b.updateEndpoint(entry)
	}
	b.rebuildEndpoints()
	b.solveNeeded = true
}

// updateEndpoint takes over one entry of a list. A later start is a new process, for which what was learned of the old one
// is void; its start is never taken to be in the future.
func (b *Balancer) updateEndpoint(entry Entry) {
	endpoint := b.endpointsByID[entry.Endpoint]
	listedStart := entry.StartedAt
	switch {
	case endpoint == nil && entry.State == Removed:
		return
	case endpoint != nil && endpoint.Cached && !entry.Cached && listedStart == endpoint.listedStart:
		// The fresh list confirms the cached one.
	case endpoint != nil && (listedStart <= endpoint.StartedAt || listedStart == endpoint.listedStart):
		entry.StartedAt = endpoint.StartedAt // missing or moved back: it is no warmer for that
	default:
		entry.StartedAt = min(listedStart, b.now)
		if endpoint == nil {
			endpoint = &endpointState{}
			b.endpointsByID[entry.Endpoint] = endpoint
		}
		*endpoint = endpointState{pending: endpoint.pending, listedStart: listedStart}
		if entry.Cached {
			entry.StartedAt = b.now
		}
	}
	endpoint.Entry = entry
	endpoint.available = entry.State == Ready && !b.cordoned[entry.Endpoint]
	key := groupKey{entry.Kind, entry.Weight}
	if b.groups[key] == nil {
		b.groups[key] = &group{}
	}
	endpoint.group = b.groups[key]
}

// onCordon cordons an endpoint, or uncordons one that is cordoned. Operators restart endpoints in between, so that an
// uncordoned one is warming up and what was learned of it is void, even if the list reports the restart later or never.
func (b *Balancer) onCordon(ev *Event) {
	endpoint := b.endpointsByID[ev.Endpoint]
	switch {
	case ev.Cordoned:
		b.cordoned[ev.Endpoint] = true
	case b.cordoned[ev.Endpoint]:
		delete(b.cordoned, ev.Endpoint)
		if endpoint != nil {
			*endpoint = endpointState{Entry: endpoint.Entry, group: endpoint.group, pending: endpoint.pending, listedStart: endpoint.listedStart}
			endpoint.StartedAt = b.now
		}
	}
	if endpoint != nil {
		endpoint.available = endpoint.State == Ready && !ev.Cordoned
		b.rebuildEndpoints()
		b.solveNeeded = true
	}
}

const (
	baseSubscribeBackoff  = 250 * time.Millisecond
	maxSubscribeDoublings = 5
)

// subscribe subscribes to discovery, and again after a failure, well before the list counts as stale.
func (b *Balancer) subscribe() {
	if b.settings.PollsDiscovery && !b.subscribed && b.now >= b.nextSubscribe {
		b.nextSubscribe = b.now + b.settings.MaxListAge/2
		b.emit(Action{Kind: ActSubscribe})
	}
}
