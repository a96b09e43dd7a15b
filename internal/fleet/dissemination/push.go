package dissemination

import (
	"slices"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Updates are pushed at once to all routers of a small fleet, and over several hops in a larger one.

const (
	maxDirectPeers       = 24  // other live routers up to which an update goes to all directly, and is not forwarded
	fanout               = 4   // routers that an update is sent to in larger fleets
	maxHops              = 8   // how often an update is forwarded
	maxItemsPerUpdate    = 7   // members or endpoints in one message, which has to fit a datagram
	maxInlineChangeBytes = 900 // a larger configuration change is fetched
)

// updateQueue holds updates until the next tick.
type updateQueue struct {
	members   []membership.Member
	endpoints []registry.Endpoint
}

// pushTargets are the routers that an update is sent to that has been forwarded so often.
func (n *Node) pushTargets(hops uint8) []string {
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

func (n *Node) disseminateView(hops uint8) {
	n.push(Update{View: n.view, Primary: n.primary, Hops: hops})
}

func (n *Node) disseminateChange(sequence uint64, change []byte, hops uint8) {
	if len(change) > maxInlineChangeBytes {
		change = nil
	}
	n.push(Update{Sequence: sequence, Change: change, Hops: hops})
}

// push sends one update at once.
func (n *Node) push(update Update) {
	for _, to := range n.pushTargets(update.Hops) {
		n.send(to, update)
	}
}

// disseminateMembers sends members to other routers: in a small fleet at once, in a larger one with the next tick, so that
// members that change in quick succession share messages.
func (n *Node) disseminateMembers(members []membership.Member, hops uint8) {
	switch {
	case len(members) == 0 || hops > maxHops:
	case n.Members.LiveCount() > maxDirectPeers:
		n.queues[hops].members = append(n.queues[hops].members, members...)
	default:
		n.pushMembers(members, hops)
	}
}

func (n *Node) pushMembers(members []membership.Member, hops uint8) {
	for _, to := range n.pushTargets(hops) {
		n.sendMembers(to, members, hops)
	}
}

func (n *Node) sendMembers(to string, members []membership.Member, hops uint8) {
	for chunk := range slices.Chunk(members, maxItemsPerUpdate) {
		n.send(to, Update{Members: chunk, Hops: hops})
	}
}

// disseminateEndpoints sends endpoints to other routers as disseminateMembers does.
func (n *Node) disseminateEndpoints(endpoints []registry.Endpoint, hops uint8) {
	switch {
	case len(endpoints) == 0 || hops > maxHops:
	case n.Members.LiveCount() > maxDirectPeers:
		n.queues[hops].endpoints = append(n.queues[hops].endpoints, endpoints...)
	default:
		n.pushEndpoints(endpoints, hops)
	}
}

func (n *Node) pushEndpoints(endpoints []registry.Endpoint, hops uint8) {
	for _, to := range n.pushTargets(hops) {
		n.sendEndpoints(to, endpoints, hops)
	}
}

func (n *Node) sendEndpoints(to string, endpoints []registry.Endpoint, hops uint8) {
	for chunk := range slices.Chunk(endpoints, maxItemsPerUpdate) {
		n.send(to, Update{Endpoints: chunk, Hops: hops})
	}
}

// flushQueues sends what has been queued since the last tick.
func (n *Node) flushQueues() {
	for hops := range n.queues {
		pending := n.queues[hops]
		n.queues[hops] = updateQueue{}
		if len(pending.members) > 0 {
			n.pushMembers(pending.members, uint8(hops))
		}
		if len(pending.endpoints) > 0 {
			n.pushEndpoints(pending.endpoints, uint8(hops))
		}
	}
}
