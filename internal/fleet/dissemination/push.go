package dissemination

import (
	"slices"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// How news are passed on: at once to all of a small fleet, over a few hops in a larger one.

const (
	maxDirectPeers = 24  // routers up to which news go to all at once, and are not passed on
	fanout     = 4   // routers that news go to in larger fleets
	maxHops   = 8   // how often news are passed on
	maxItemsPerUpdate  = 7   // members or endpoints in one message
	maxInlineChangeBytes  = 900 // bytes of an order that is sent with the news of it
)

// queue is news that wait for the next tick.
type updateQueue struct {
	members   []membership.Member
	endpoints []registry.Endpoint
}

func (n *Node) disseminateView(hops uint8) {
	for _, to := range n.pushTargets(hops) {
		n.send(to, Update{View: n.view, Primary: n.primary, Hops: hops})
	}
}

// receivers are whom news go to that came over so many hops.
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

// disseminateMembers passes news on: in a small fleet at once, in a larger one with the next tick, so that news that come in a
// rush share messages.
func (n *Node) disseminateMembers(news []membership.Member, hops uint8) {
	switch {
	case len(news) == 0 || hops > maxHops:
	case n.Members.LiveCount() > maxDirectPeers:
		n.queues[hops].members = append(n.queues[hops].members, news...)
	default:
		n.pushMembers(news, hops)
	}
}

func (n *Node) pushMembers(news []membership.Member, hops uint8) {
	for _, to := range n.pushTargets(hops) {
		n.sendMembers(to, news, hops)
	}
}

func (n *Node) sendMembers(to string, members []membership.Member, hops uint8) {
	for part := range slices.Chunk(members, maxItemsPerUpdate) {
		n.send(to, Update{Members: part, Hops: hops})
	}
}

// disseminateEndpoints passes news on as disseminateMembers does.
func (n *Node) disseminateEndpoints(news []registry.Endpoint, hops uint8) {
	switch {
	case len(news) == 0 || hops > maxHops:
	case n.Members.LiveCount() > maxDirectPeers:
		n.queues[hops].endpoints = append(n.queues[hops].endpoints, news...)
	default:
		n.pushEndpoints(news, hops)
	}
}

// flushQueues passes on what has gathered since the last tick.
func (n *Node) flushQueues() {
	for hops := range n.queues {
		waiting := n.queues[hops]
		n.queues[hops] = updateQueue{}
		if len(waiting.members) > 0 {
			n.pushMembers(waiting.members, uint8(hops))
		}
		if len(waiting.endpoints) > 0 {
			n.pushEndpoints(waiting.endpoints, uint8(hops))
		}
	}
}

func (n *Node) pushEndpoints(news []registry.Endpoint, hops uint8) {
	for _, to := range n.pushTargets(hops) {
		n.sendEndpoints(to, news, hops)
	}
}

func (n *Node) sendEndpoints(to string, endpoints []registry.Endpoint, hops uint8) {
	for part := range slices.Chunk(endpoints, maxItemsPerUpdate) {
		n.send(to, Update{Endpoints: part, Hops: hops})
	}
}

func (n *Node) disseminateChange(sequence uint64, order []byte, hops uint8) {
	if len(order) > maxInlineChangeBytes {
		order = nil
	}
	for _, to := range n.pushTargets(hops) {
		n.send(to, Update{Sequence: sequence, Change: order, Hops: hops})
	}
}
