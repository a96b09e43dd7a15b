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
	endpointTombstoneTTL = 60 * time.Second
	missedHeartbeatsToExpire = 4 // heartbeats after which an endpoint has lapsed
	expiryInterval  = 500 * time.Millisecond
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
	output       *Output
	round     uint64
	pendingPulls     map[uint64]pendingPull
	nextPull  time.Duration
	nextExpiry time.Duration
	view      uint64
	primary   string
	seeds     []string
	queues    [maxHops + 1]updateQueue // news for the next tick, by how often they were passed on
}

// New returns a node that knows itself and its seeds.
func New(now time.Duration, options Options) *Node {
	return &Node{
		Members: membership.New(now, options.Self, options.Timing), Registry: registry.New(),
		options: options, pendingPulls: map[uint64]pendingPull{}, seeds: options.Seeds,
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
	out := n.begin(now)
	if view > n.view {
		n.SetView(view, n.options.Self.Address)
		n.disseminateView(0)
	}
	return out
}

func (n *Node) begin(now time.Duration) *Output {
	n.now = now
	n.output = &Output{}
	return n.output
}

func (n *Node) send(to string, message any) {
	n.output.Send = append(n.output.Send, Outgoing{To: to, Message: message})
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) *Output {
	out := n.begin(now)
	step := n.Members.Tick(now)
	for _, to := range step.Heartbeats {
		n.send(to, Heartbeat{})
	}
	for _, to := range step.Probes {
		n.send(to, Heartbeat{WantsReply: true})
	}
	n.disseminateMembers(step.Dead, 0)
	if now >= n.nextPull {
		n.nextPull = now + n.pullInterval()
		n.pull()
	}
	if now >= n.nextExpiry {
		n.nextExpiry = now + expiryInterval
		silence := missedHeartbeatsToExpire * n.options.EndpointHeartbeatInterval
		n.disseminateEndpoints(n.Registry.ExpireSilent(now, n.options.Self.Address, silence, n.mayReceiveHeartbeats(silence)), 0)
		n.Registry.Purge(now, endpointTombstoneTTL)
	}
	n.flushQueues()
	return out
}

// Receive takes a message of another router.
func (n *Node) Receive(now time.Duration, from string, message any) *Output {
	out := n.begin(now)
	n.Members.RecordContact(now, from)
	switch message := message.(type) {
	case Heartbeat:
		if message.WantsReply {
			n.send(from, Heartbeat{})
		}
	case Pull:
		n.handlePull(from, message)
	case PullReply:
		n.handlePullReply(from, message)
	case Update:
		n.handleUpdate(from, message)
	}
	return out
}

func (n *Node) handleUpdate(from string, message Update) {
	hops := message.Hops + 1
	if message.View > n.view {
		n.SetView(message.View, message.Primary)
		n.disseminateView(hops)
	}
	n.disseminateMembers(n.Members.Merge(n.now, message.Members), hops)
	news, asserted := n.Registry.Merge(n.now, n.options.Self.Address, message.Endpoints)
	n.disseminateEndpoints(news, hops)
	n.disseminateEndpoints(asserted, 0)
	if message.Sequence <= n.Config.Sequence {
		return
	}
	if message.Change != nil {
		if applied, err := n.Config.Apply(message.Sequence, message.Change); err == nil && applied {
			n.disseminateChange(message.Sequence, message.Change, hops)
			return
		}
	}
	n.output.Fetch = from
}

// HandleFetchReply takes over what a router answered to a fetch that was asked at a moment. It returns whether the configuration
// changed.
func (n *Node) HandleFetchReply(now, asked time.Duration, reply FetchReply) (*Output, bool, error) {
	out := n.begin(now)
	changed, err := n.Config.ApplyReply(reply)
	if reply.Fresh {
		n.Config.Confirm(reply.Sequence, asked-time.Duration(reply.AgeMs)*time.Millisecond)
	}
	if changed {
		n.disseminateChange(n.Config.Sequence, nil, 1)
	}
	return out, changed, err
}

// Commit takes over a configuration that this router, as the primary, has acknowledged.
func (n *Node) Commit(now time.Duration, sequence uint64, table *config.Table, order []byte) *Output {
	out := n.begin(now)
	if n.Config.Table != nil && sequence <= n.Config.Sequence {
		return out
	}
	n.Config.Set(sequence, table, order)
	n.disseminateChange(sequence, order, 0)
	return out
}

// HandleEndpointHeartbeat takes an endpoint's own word over; ok is false where it is older than what is known.
func (n *Node) HandleEndpointHeartbeat(now time.Duration, said registry.Endpoint) (out *Output, ok bool) {
	out = n.begin(now)
	news, ok := n.Registry.ApplyHeartbeat(now, said)
	n.disseminateEndpoints(news, 0)
	return out, ok
}

// HandleEndpointLeave takes over from another router that an endpoint leaves, and tells all, also where it was known here: those who
// were told before may have missed it.
func (n *Node) HandleEndpointLeave(now time.Duration, endpoint registry.Endpoint) *Output {
	out := n.begin(now)
	news, _ := n.Registry.Merge(now, n.options.Self.Address, []registry.Endpoint{endpoint})
	if len(news) == 0 {
		if known, ok := n.Registry.Lookup(endpoint.ID); ok && known.State != registry.Ready {
			news = []registry.Endpoint{known}
		}
	}
	n.disseminateEndpoints(news, 0)
	return out
}

// RestoreEndpoints takes over endpoints that a router before this one knew, as reports that any word of their own replaces.
func (n *Node) RestoreEndpoints(now time.Duration, endpoints []registry.Endpoint) *Output {
	out := n.begin(now)
	n.disseminateEndpoints(n.Registry.Restore(now, endpoints), 0)
	return out
}

// Leave says that this router ends.
func (n *Node) Leave(now time.Duration) *Output {
	out := n.begin(now)
	n.pushMembers([]membership.Member{n.Members.Leave()}, 0)
	return out
}
