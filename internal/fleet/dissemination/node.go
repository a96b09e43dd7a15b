// Package dissemination spreads what all routers have to know: the configuration and how fresh it is, the endpoints, and
// the routers themselves. What is new is pushed at once; what a push missed is found by comparing digests with one
// router after another (epidemic algorithms: Demers et al., 1987). It is pure: no I/O, no clock.
package dissemination

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

const (
	forgetAfter = 60 * time.Second
	silentBeats = 4 // heartbeats after which an endpoint has lapsed
	lapseEvery  = 500 * time.Millisecond
)

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string
	Message any
}

// Output is what a step wants done.
type Output struct {
	Send  []Outgoing
	Fetch string // the router to fetch the configuration from; empty: none
}

// Options are a node's surroundings.
type Options struct {
	Self                      membership.Member
	Seeds                     []string // internal addresses
	EndpointHeartbeatInterval time.Duration
	Timing                    membership.Timing
	Random                    *rand.Rand
}

// Node is one router's part. Its methods are not safe for concurrent use.
type Node struct {
	Members  *membership.List
	Registry *registry.Registry
	Config   ConfigReplica

	options   Options
	now       time.Duration
	out       *Output
	round     uint64
	asked     map[uint64]question
	nextPull  time.Duration
	nextLapse time.Duration
	view      uint64
	primary   string
	seeds     []string
	queued    [hopsMost + 1]queue // news for the next tick, by how often they were passed on
}

// New returns a node that knows itself and its seeds.
func New(now time.Duration, options Options) *Node {
	return &Node{
		Members: membership.New(now, options.Self, options.Timing), Registry: registry.New(),
		options: options, asked: map[uint64]question{}, seeds: options.Seeds,
	}
}

// SetSeeds exchanges the seeds.
func (n *Node) SetSeeds(seeds []string) { n.seeds = seeds }

// Primary is the newest view that is known, and its primary's internal address.
func (n *Node) Primary() (view uint64, address string) { return n.view, n.primary }

// SetView notes a view.
func (n *Node) SetView(view uint64, primary string) {
	if view > n.view {
		n.view, n.primary = view, primary
	}
}

// AnnouncePrimary tells all that this router is the primary of a view, so that they don't ask the former one until the next pull.
func (n *Node) AnnouncePrimary(now time.Duration, view uint64) *Output {
	out := n.step(now)
	if view > n.view {
		n.SetView(view, n.options.Self.Address)
		n.spreadView(0)
	}
	return out
}

func (n *Node) step(now time.Duration) *Output {
	n.now = now
	n.out = &Output{}
	return n.out
}

func (n *Node) send(to string, message any) {
	n.out.Send = append(n.out.Send, Outgoing{To: to, Message: message})
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) *Output {
	out := n.step(now)
	step := n.Members.Tick(now)
	for _, to := range step.Heartbeats {
		n.send(to, Heartbeat{})
	}
	for _, to := range step.Probes {
		n.send(to, Heartbeat{WantsReply: true})
	}
	n.spreadMembers(step.Dead, 0)
	if now >= n.nextPull {
		n.nextPull = now + n.pullInterval()
		n.pull()
	}
	if now >= n.nextLapse {
		n.nextLapse = now + lapseEvery
		silence := silentBeats * n.options.EndpointHeartbeatInterval
		n.spreadEndpoints(n.Registry.ExpireSilent(now, n.options.Self.Address, silence, n.mayHear(silence)), 0)
		n.Registry.Purge(now, forgetAfter)
	}
	n.flushQueued()
	return out
}

// Receive takes a message of another router.
func (n *Node) Receive(now time.Duration, from string, message any) *Output {
	out := n.step(now)
	n.Members.RecordContact(now, from)
	switch message := message.(type) {
	case Heartbeat:
		if message.WantsReply {
			n.send(from, Heartbeat{})
		}
	case Pull:
		n.onPull(from, message)
	case PullReply:
		n.onAnswer(from, message)
	case Update:
		n.onNews(from, message)
	}
	return out
}

func (n *Node) onNews(from string, message Update) {
	hops := message.Hops + 1
	if message.View > n.view {
		n.SetView(message.View, message.Primary)
		n.spreadView(hops)
	}
	n.spreadMembers(n.Members.Merge(n.now, message.Members), hops)
	news, asserted := n.Registry.Merge(n.now, n.options.Self.Address, message.Endpoints)
	n.spreadEndpoints(news, hops)
	n.spreadEndpoints(asserted, 0)
	if message.Sequence <= n.Config.Sequence {
		return
	}
	if message.Order != nil {
		if applied, err := n.Config.Apply(message.Sequence, message.Order); err == nil && applied {
			n.spreadOrder(message.Sequence, message.Order, hops)
			return
		}
	}
	n.out.Fetch = from
}

// HandleFetchReply takes over what a router answered to a fetch that was asked at a moment. It returns whether the configuration
// changed.
func (n *Node) HandleFetchReply(now, asked time.Duration, reply FetchReply) (*Output, bool, error) {
	out := n.step(now)
	changed, err := n.Config.ApplyReply(reply)
	if reply.Fresh {
		n.Config.Confirm(reply.Sequence, asked-time.Duration(reply.AgeMs)*time.Millisecond)
	}
	if changed {
		n.spreadOrder(n.Config.Sequence, nil, 1)
	}
	return out, changed, err
}

// Commit takes over a configuration that this router, as the primary, has acknowledged.
func (n *Node) Commit(now time.Duration, sequence uint64, table *config.Table, order []byte) *Output {
	out := n.step(now)
	if n.Config.Table != nil && sequence <= n.Config.Sequence {
		return out
	}
	n.Config.Set(sequence, table, order)
	n.spreadOrder(sequence, order, 0)
	return out
}

// HandleEndpointHeartbeat takes an endpoint's own word over; ok is false where it is older than what is known.
func (n *Node) HandleEndpointHeartbeat(now time.Duration, said registry.Endpoint) (out *Output, ok bool) {
	out = n.step(now)
	news, ok := n.Registry.ApplyHeartbeat(now, said)
	n.spreadEndpoints(news, 0)
	return out, ok
}

// HandleEndpointLeave takes over from another router that an endpoint leaves, and tells all, also where it was known here: those who
// were told before may have missed it.
func (n *Node) HandleEndpointLeave(now time.Duration, endpoint registry.Endpoint) *Output {
	out := n.step(now)
	news, _ := n.Registry.Merge(now, n.options.Self.Address, []registry.Endpoint{endpoint})
	if len(news) == 0 {
		if known, ok := n.Registry.Lookup(endpoint.ID); ok && known.State != registry.Ready {
			news = []registry.Endpoint{known}
		}
	}
	n.spreadEndpoints(news, 0)
	return out
}

// RestoreEndpoints takes over endpoints that a router before this one knew, as reports that any word of their own replaces.
func (n *Node) RestoreEndpoints(now time.Duration, endpoints []registry.Endpoint) *Output {
	out := n.step(now)
	n.spreadEndpoints(n.Registry.Restore(now, endpoints), 0)
	return out
}

// Leave says that this router ends.
func (n *Node) Leave(now time.Duration) *Output {
	out := n.step(now)
	n.pushMembers([]membership.Member{n.Members.Leave()}, 0)
	return out
}
