package dissemination

import (
	"slices"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Updates are pushed directly to all routers of a small fleet, and over several hops in a larger one.

const (
	maxDirectPeers       = 24  // up to this many other live routers, an update is sent directly to all and is not forwarded
	fanout               = 4   // number of routers to which each router sends or forwards an update, in larger fleets
	maxHops              = 8   // maximum number of hops of an update, including the first
	maxItemsPerUpdate    = 7   // members or endpoints in one message, which has to fit into a datagram
	maxInlineChangeBytes = 900 // larger configuration changes are fetched
)

// pushTargets returns the routers to which an update is sent after it has been forwarded hops times.
func (n *Gossiper) pushTargets(hops uint8) []string {
	live := n.Members.LiveAddresses()
	switch {
	case len(live) <= maxDirectPeers && hops > 0, hops >= maxHops:
		return nil
	case len(live) <= maxDirectPeers:
		return live
	}
	n.options.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:fanout]
}

func (n *Gossiper) disseminateView(hops uint8) {
	n.push(Update{View: n.view, Primary: n.primary, Hops: hops})
}

// disseminateChange pushes a change. If the change is too large, it pushes only the sequence, and routers fetch the change from each other.
func (n *Gossiper) disseminateChange(sequence uint64, change []byte, hops uint8) {
	if len(change) > maxInlineChangeBytes {
		change = nil
	}
	n.push(Update{Sequence: sequence, Change: change, Hops: hops})
	if change == nil && hops == 0 && n.Members.LiveCount() > maxDirectPeers {
		n.announceToAll(sequence)
	}
}

// announceToAll sends the sequence of a change that has to be fetched to every live router, because forwarding may miss some routers.
func (n *Gossiper) announceToAll(sequence uint64) {
	for _, to := range n.Members.LiveAddresses() {
		n.send(to, Update{Announced: sequence})
	}
}

// push sends one update to all push targets.
func (n *Gossiper) push(update Update) {
	for _, to := range n.pushTargets(update.Hops) {
		n.send(to, update)
	}
}

func (n *Gossiper) disseminateMembers(members []membership.Member, hops uint8) {
	n.memberUpdates.disseminate(n, members, hops)
}

func (n *Gossiper) disseminateEndpoints(endpoints []registry.Endpoint, hops uint8) {
	n.endpointUpdates.disseminate(n, endpoints, hops)
}

// flushQueues sends the updates that were queued since the last tick.
func (n *Gossiper) flushQueues() {
	for hops := range uint8(maxHops + 1) {
		n.memberUpdates.flush(n, hops)
		n.endpointUpdates.flush(n, hops)
	}
}

// updateQueue sends updates about members or endpoints: in a small fleet at once, in a larger one at the next tick, so that items
// that change in quick succession are sent in the same messages.
type updateQueue[T any] struct {
	update func(items []T, hops uint8) Update
	queued [maxHops + 1][]T // by the number of times that the items have been forwarded
}

func newMemberUpdates() updateQueue[membership.Member] {
	return updateQueue[membership.Member]{update: func(members []membership.Member, hops uint8) Update {
		return Update{Members: members, Hops: hops}
	}}
}

func newEndpointUpdates() updateQueue[registry.Endpoint] {
	return updateQueue[registry.Endpoint]{update: func(endpoints []registry.Endpoint, hops uint8) Update {
		return Update{Endpoints: endpoints, Hops: hops}
	}}
}

// disseminate pushes or queues items; it drops items that have been forwarded more than maxHops times.
func (q *updateQueue[T]) disseminate(n *Gossiper, items []T, hops uint8) {
	switch {
	case len(items) == 0 || hops > maxHops:
	case n.Members.LiveCount() > maxDirectPeers:
		q.queued[hops] = append(q.queued[hops], items...)
	default:
		q.push(n, items, hops)
	}
}

// push sends items to all push targets at once.
func (q *updateQueue[T]) push(n *Gossiper, items []T, hops uint8) {
	for _, to := range n.pushTargets(hops) {
		q.send(n, to, items, hops)
	}
}

// send sends items to one router.
func (q *updateQueue[T]) send(n *Gossiper, to string, items []T, hops uint8) {
	for chunk := range slices.Chunk(items, maxItemsPerUpdate) {
		n.send(to, q.update(chunk, hops))
	}
}

// flush pushes the queued items that have been forwarded hops times.
func (q *updateQueue[T]) flush(n *Gossiper, hops uint8) {
	items := q.queued[hops]
	q.queued[hops] = nil
	if len(items) > 0 {
		q.push(n, items, hops)
	}
}
