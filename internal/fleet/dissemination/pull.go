package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/membership"
)

// How what a push missed is found: by comparing digests with one router after another.

// PullInterval is the time between a router's pulls, once its configuration has been confirmed.
const PullInterval = 500 * time.Millisecond

// initialPullInterval is the time between a router's pulls until then, in a small fleet. In a larger one it grows with the
// fleet up to PullInterval, so that the core can answer all of a fleet that starts at once.
const initialPullInterval = 60 * time.Millisecond

const (
	maxItemsPerReply   = 70 // members, and endpoints, with which a pull is answered: the next pulls find the others
	maxPendingPulls   = 8  // questions that may still be answered
	recoveryPullOdds = 8  // one in so many pulls goes to a router that is thought dead, or a seed: partitions heal so
)

// question is a pull that may still be answered.
type pendingPull struct {
	to string
	sentAt time.Duration
}

func (n *Node) pullInterval() time.Duration {
	if _, fresh := n.Config.ConfirmedAt(); !fresh {
		return min(PullInterval, initialPullInterval*time.Duration(max(1, n.Members.LiveCount()/maxDirectPeers)))
	}
	return PullInterval*9/10 + time.Duration(n.options.Random.Int64N(int64(PullInterval/5)))
}

func (n *Node) isAlive(address string) bool {
	m, known := n.Members.Lookup(address)
	return known && m.Status == membership.Alive
}

// mayReceiveHeartbeats tells of a router whether it may still hear its endpoints: it lives, or ended less than a silence ago, so that
// they have had no time to find another one.
func (n *Node) mayReceiveHeartbeats(silence time.Duration) func(address string) bool {
	return func(address string) bool {
		ended, known := n.Members.EndedAt(address)
		return n.isAlive(address) || known && n.now-ended < silence
	}
}

// pull asks one router for news: in turn one of the core, where the configuration is freshest, and any.
func (n *Node) pull() {
	to := n.choosePullPeer()
	if to == "" {
		return
	}
	n.round++
	n.pendingPulls[n.round] = pendingPull{to: to, sentAt: n.now}
	delete(n.pendingPulls, n.round-maxPendingPulls)
	n.send(to, Pull{
		Self: n.Members.Self(), Round: n.round, Sequence: n.Config.Sequence, Members: n.Members.Digests(),
		Endpoints: n.Registry.Digests(n.round),
	})
}

func (n *Node) choosePullPeer() string {
	live := n.Members.LiveAddresses()
	if len(live) == 0 || n.options.Random.IntN(recoveryPullOdds) == 0 {
		if stranger := n.pickRandom(n.recoveryCandidates()); stranger != "" {
			return stranger
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

// strangers are routers that may live though this one does not know it.
func (n *Node) recoveryCandidates() []string {
	var all []string
	for _, seed := range n.seeds {
		if seed != n.options.Self.Address && !n.isAlive(seed) {
			all = append(all, seed)
		}
	}
	for _, m := range n.Members.All() {
		if m.Status == membership.Dead {
			all = append(all, m.Address)
		}
	}
	return all
}

func (n *Node) pickRandom(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[n.options.Random.IntN(len(addresses))]
}

func (n *Node) handlePull(from string, message Pull) {
	if message.Self.Address == from {
		n.disseminateMembers(n.Members.Merge(n.now, []membership.Member{message.Self}), 0)
	}
	answer := PullReply{Round: message.Round, Sequence: n.Config.Sequence, View: n.view, Primary: n.primary}
	answer.AgeMs, answer.Fresh = n.Config.ageMs(n.now)
	n.send(from, answer)
	n.sendMembers(from, sampleForReply(n.options.Random, n.Members.MembersDiffering(message.Members)), maxHops)
	n.sendEndpoints(from, sampleForReply(n.options.Random, n.Registry.EndpointsDiffering(message.Endpoints)), maxHops)
}

// portion is what one answer holds of a list: all of it, or a part that begins anywhere.
func sampleForReply[T any](random *rand.Rand, list []T) []T {
	if len(list) <= maxItemsPerReply {
		return list
	}
	from := random.IntN(len(list))
	return slices.Concat(list[from:], list[:from])[:maxItemsPerReply]
}

// handlePullReply renews the lease. Its age counts from when the question was sent, so that an answer that was held up on its
// way never looks fresher than it is.
func (n *Node) handlePullReply(from string, message PullReply) {
	n.SetView(message.View, message.Primary)
	asked, known := n.pendingPulls[message.Round]
	if !known || asked.to != from {
		return
	}
	delete(n.pendingPulls, message.Round)
	if n.Config.Table == nil || message.Sequence > n.Config.Sequence {
		n.output.Fetch = from
	}
	if message.Fresh {
		n.Config.Confirm(message.Sequence, asked.sentAt-time.Duration(message.AgeMs)*time.Millisecond)
	}
}
