package balance

import "time"

// onMembership applies a membership list from discovery.
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
	if ev.List != ListDelta { // endpoints that are missing from a full list have been removed
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

// updateEndpoint applies one entry of a list. A later start means a new process, so that what was learned of the old
// one is discarded. A start in the future, from a clock that is ahead, counts as now.
func (b *Balancer) updateEndpoint(entry Entry) {
	endpoint := b.endpointsByID[entry.Endpoint]
	listedStart := entry.StartedAt
	switch {
	case endpoint == nil && entry.State == Removed:
		return
	case endpoint != nil && endpoint.Cached && !entry.Cached && listedStart == endpoint.listedStart:
		// The fresh list confirms the cached one.
	case endpoint != nil && (listedStart <= endpoint.StartedAt || listedStart == endpoint.listedStart):
		// The known start is kept: an entry with no start, an earlier one or the one listed before must not make the
		// endpoint count as warmer.
		entry.StartedAt = endpoint.StartedAt
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

// onCordon cordons an endpoint, or uncordons one that is cordoned. Operators restart endpoints while these are
// cordoned, so an uncordoned endpoint counts as just started and its learned state is discarded, even if the list
// reports the restart later or never.
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

// subscribe subscribes to discovery, and retries after a failure, well before the list counts as stale.
func (b *Balancer) subscribe() {
	if b.settings.PollsDiscovery && !b.subscribed && b.now >= b.nextSubscribe {
		b.nextSubscribe = b.now + b.settings.MaxListAge/2
		b.emit(Action{Kind: ActSubscribe})
	}
}
