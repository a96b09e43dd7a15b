package dissemination

import (
	"slices"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// How news are passed on: at once to all of a small fleet, over a few hops in a larger one.

const (
	directMost = 24  // routers up to which news go to all at once, and are not passed on
	fanout     = 4   // routers that news go to in larger fleets
	hopsMost   = 8   // how often news are passed on
	itemsMost  = 7   // members or endpoints in one message
	orderMost  = 900 // bytes of an order that is sent with the news of it
)

// queue is news that wait for the next tick.
type queue struct {
	members   []membership.Member
	endpoints []registry.Endpoint
}

func (n *Node) spreadView(hops uint8) {
	for _, to := range n.receivers(hops) {
		n.send(to, Update{View: n.view, Primary: n.primary, Hops: hops})
	}
}

// receivers are whom news go to that came over so many hops.
func (n *Node) receivers(hops uint8) []string {
	live := n.Members.LiveAddresses()
	switch {
	case len(live) <= directMost && hops > 0, hops >= hopsMost:
		return nil
	case len(live) <= directMost:
		return live
	}
	n.options.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:fanout]
}

// spreadMembers passes news on: in a small fleet at once, in a larger one with the next tick, so that news that come in a
// rush share messages.
func (n *Node) spreadMembers(news []membership.Member, hops uint8) {
	switch {
	case len(news) == 0 || hops > hopsMost:
	case n.Members.LiveCount() > directMost:
		n.queued[hops].members = append(n.queued[hops].members, news...)
	default:
		n.pushMembers(news, hops)
	}
}

func (n *Node) pushMembers(news []membership.Member, hops uint8) {
	for _, to := range n.receivers(hops) {
		n.sendMembers(to, news, hops)
	}
}

func (n *Node) sendMembers(to string, members []membership.Member, hops uint8) {
	for part := range slices.Chunk(members, itemsMost) {
		n.send(to, Update{Members: part, Hops: hops})
	}
}

// spreadEndpoints passes news on as spreadMembers does.
func (n *Node) spreadEndpoints(news []registry.Endpoint, hops uint8) {
	switch {
	case len(news) == 0 || hops > hopsMost:
	case n.Members.LiveCount() > directMost:
		n.queued[hops].endpoints = append(n.queued[hops].endpoints, news...)
	default:
		n.pushEndpoints(news, hops)
	}
}

// flushQueued passes on what has gathered since the last tick.
func (n *Node) flushQueued() {
	for hops := range n.queued {
		waiting := n.queued[hops]
		n.queued[hops] = queue{}
		if len(waiting.members) > 0 {
			n.pushMembers(waiting.members, uint8(hops))
		}
		if len(waiting.endpoints) > 0 {
			n.pushEndpoints(waiting.endpoints, uint8(hops))
		}
	}
}

func (n *Node) pushEndpoints(news []registry.Endpoint, hops uint8) {
	for _, to := range n.receivers(hops) {
		n.sendEndpoints(to, news, hops)
	}
}

func (n *Node) sendEndpoints(to string, endpoints []registry.Endpoint, hops uint8) {
	for part := range slices.Chunk(endpoints, itemsMost) {
		n.send(to, Update{Endpoints: part, Hops: hops})
	}
}

func (n *Node) spreadOrder(sequence uint64, order []byte, hops uint8) {
	if len(order) > orderMost {
		order = nil
	}
	for _, to := range n.receivers(hops) {
		n.send(to, Update{Sequence: sequence, Order: order, Hops: hops})
	}
}
