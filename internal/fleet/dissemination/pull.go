package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Anti-entropy: comparing digests with one router after another repairs lost pushes.

// PullInterval is the mean time between a router's pulls after its configuration was first confirmed.
const PullInterval = 500 * time.Millisecond

// initialPullInterval is the time between a router's pulls before its configuration was first confirmed, in a small fleet. In a
// larger fleet the interval grows with the fleet up to PullInterval, so that the core can answer when all routers start at once.
const initialPullInterval = 60 * time.Millisecond

const (
	maxItemsPerReply = 70 // members, and likewise endpoints, in the reply to one pull; later pulls return the others
	maxPendingPulls  = 8  // latest pulls whose replies are still accepted
	completePulls    = 4  // replies to pulls that request all endpoints, after the start; some of their messages may be lost
	recoveryPullOdds = 8  // one in this many pulls goes to a member marked dead or to a seed, so that a fleet recovers from partitions
)

// pendingPull is a pull that has not been answered.
type pendingPull struct {
	to     string
	sentAt time.Duration
}

func (n *Gossiper) pullInterval() time.Duration {
	if _, confirmed := n.Config.ConfirmedAt(); !confirmed {
		return min(PullInterval, initialPullInterval*time.Duration(max(1, n.Members.LiveCount()/maxDirectPeers)))
	}
	return PullInterval*9/10 + time.Duration(n.options.Random.Int64N(int64(PullInterval/5)))
}

func (n *Gossiper) isAlive(address string) bool {
	m, known := n.Members.Lookup(address)
	return known && m.Status == membership.Alive
}

// mayReceiveHeartbeats returns a function that reports whether a router may still receive its endpoints' heartbeats: it is
// alive, or ended less than timeout ago, so that its endpoints may not have switched to another router yet.
func (n *Gossiper) mayReceiveHeartbeats(timeout time.Duration) func(address string) bool {
	return func(address string) bool {
		endedAt, ended := n.Members.EndedAt(address)
		return n.isAlive(address) || ended && n.now-endedAt < timeout
	}
}

// pull sends a Pull to one router.
func (n *Gossiper) pull() {
	to := n.choosePullPeer()
	if to == "" {
		return
	}
	n.round++
	n.pendingPulls[n.round] = pendingPull{to: to, sentAt: n.now}
	delete(n.pendingPulls, n.round-maxPendingPulls)
	ended := n.Registry.EndedDigests(n.round)
	n.send(to, Pull{
		Self: n.Members.Self(), Round: n.round, Sequence: n.Config.Sequence, Members: n.Members.Digests(),
		Endpoints: n.endpointDigests(), Ended: &ended,
	})
}

// endpointDigests returns the digests of the endpoints for a pull. After the start they request all endpoints: builds that don't
// compare Pull.Ended send endpoints that have ended only in buckets that differ.
func (n *Gossiper) endpointDigests() registry.Digests {
	digests := n.Registry.Digests(n.round)
	if n.pullReplies < completePulls {
		return digests.Inverted()
	}
	return digests
}

// choosePullPeer alternates between the core, which has the most recent confirmation, and all live routers. One in recoveryPullOdds
// pulls, at random, goes to a recovery candidate, as does any pull while no other router is live. It returns an empty address if there
// is no router to pull from.
func (n *Gossiper) choosePullPeer() string {
	live := n.Members.LiveAddresses()
	if len(live) == 0 || n.options.Random.IntN(recoveryPullOdds) == 0 {
		if candidate := n.pickRandom(n.recoveryCandidates()); candidate != "" {
			return candidate
		}
	}
	if n.round%2 == 0 {
		cores := slices.DeleteFunc(n.Members.CoreAddresses(), func(a string) bool { return !n.isAlive(a) })
		if core := n.pickRandom(cores); core != "" {
			return core
		}
	}
	return n.pickRandom(live)
}

// recoveryCandidates returns the routers that may be alive although they are not listed as alive: seeds, and members marked dead.
func (n *Gossiper) recoveryCandidates() []string {
	var candidates []string
	for _, seed := range n.seeds {
		if seed != n.options.Self.Address && !n.isAlive(seed) {
			candidates = append(candidates, seed)
		}
	}
	for _, m := range n.Members.All() {
		if m.Status == membership.Dead {
			candidates = append(candidates, m.Address)
		}
	}
	return candidates
}

func (n *Gossiper) pickRandom(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[n.options.Random.IntN(len(addresses))]
}

func (n *Gossiper) handlePull(from string, pull Pull) {
	if pull.Self.Address == from {
		n.disseminateMembers(n.Members.Merge(n.now, []membership.Member{pull.Self}), 0)
	}
	reply := PullReply{Round: pull.Round, Sequence: n.Config.Sequence, View: n.view, Primary: n.primary}
	reply.Received, _ = n.Config.Received()
	reply.AgeMs, reply.Fresh = n.Config.ageMs(n.now)
	n.send(from, reply)
	// maxHops keeps the receiver from forwarding the items: only the receiver lacked them.
	n.memberUpdates.send(n, from, sampleForReply(n.options.Random, n.Members.MembersDiffering(pull.Members)), maxHops)
	n.endpointUpdates.send(n, from, sampleForReply(n.options.Random, n.endpointsLacking(&pull)), maxHops)
}

// endpointsLacking returns the endpoints that the sender of a pull may lack.
func (n *Gossiper) endpointsLacking(pull *Pull) []registry.Endpoint {
	lacking := n.Registry.EndpointsDiffering(n.now, pull.Endpoints)
	if pull.Ended == nil {
		return lacking
	}
	listed := make(map[string]bool, len(lacking))
	for _, e := range lacking {
		listed[e.ID] = true
	}
	for _, e := range n.Registry.EndedDiffering(n.now, *pull.Ended) {
		if !listed[e.ID] {
			lacking = append(lacking, e)
		}
	}
	return lacking
}

// sampleForReply returns the items of a list that go into one reply: all of them up to maxItemsPerReply, otherwise that many
// consecutive ones from a random position, continued at the start of the list.
func sampleForReply[T any](random *rand.Rand, list []T) []T {
	if len(list) <= maxItemsPerReply {
		return list
	}
	from := random.IntN(len(list))
	return slices.Concat(list[from:], list[:from])[:maxItemsPerReply]
}

// handlePullReply records the confirmation that a reply holds, and starts a fetch if the other router has a newer configuration.
// The age of the confirmation counts back from when the pull was sent, so that a delayed reply never makes the confirmation look
// more recent than it is.
func (n *Gossiper) handlePullReply(from string, reply PullReply) {
	n.SetView(reply.View, reply.Primary)
	pull, pending := n.pendingPulls[reply.Round]
	if !pending || pull.to != from {
		return
	}
	delete(n.pendingPulls, reply.Round)
	n.pullReplies++
	n.recordHolder(max(reply.Sequence, reply.Received), from)
	if reply.Fresh {
		n.Config.Confirm(reply.Sequence, pull.sentAt-time.Duration(reply.AgeMs)*time.Millisecond)
	}
}
