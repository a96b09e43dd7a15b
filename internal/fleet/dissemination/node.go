// Package dissemination distributes the state that every router of a fleet needs: the configuration and when it was last
// confirmed, the endpoints, and the members of the fleet. Changes are pushed at once. Anti-entropy repairs lost pushes:
// each router periodically compares digests with one other router at a time (A. Demers et al., "Epidemic algorithms for replicated
// database maintenance", 1987).
//
// The package does no I/O and reads no clock. The router package passes it messages and the time, and executes the Output
// of each step. Times are durations since the router's start.
//
// Invariants: a configuration's sequence never decreases; a confirmation's age is never less than the time since the primary
// confirmed it, however long messages were delayed; the reply to a pull is bounded.
package dissemination

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

const (
	missedHeartbeatsToExpire = 4 // heartbeat intervals without a heartbeat after which an endpoint expires
	expiryInterval           = 500 * time.Millisecond

	// A heartbeat that isn't acknowledged within heartbeatAckTimeout is sent to another router. An endpoint whose address has a
	// successor has ended if missedHeartbeatsToReplace of its heartbeats and the repetition of the last one have stayed away.
	missedHeartbeatsToReplace = 2
	heartbeatAckTimeout       = time.Second
)

// Outgoing is a message to be sent: a Heartbeat, Pull, PullReply or Update.
type Outgoing struct {
	To      string // internal address
	Message any
}

// Output is what the caller has to do after a step.
type Output struct {
	Send  []Outgoing // to be sent in this order
	Fetch *Fetch     // call to make; nil: none
	Build *Build     // to be run concurrently with the next steps, its result passed to HandleBuilt; nil: none

	BuildError error // why a received configuration can't be used; nil: no build failed
}

// Fetch is a call to another router, to be made concurrently with the next steps. Its end is reported by HandleFetchEnd or HandleFetchReply.
type Fetch struct {
	From    string // internal address
	Request FetchRequest
	Timeout time.Duration
}

// Options configure a Gossiper.
type Options struct {
	Self                      membership.Member
	Seeds                     []string // internal addresses
	EndpointHeartbeatInterval time.Duration
	Timing                    membership.Timing
	Random                    *rand.Rand
	LinkBytesPerSecond        float64 // rate of this machine's link; 0: not known
}

// Gossiper runs the dissemination protocol of one router. Its methods are not safe for concurrent use.
type Gossiper struct {
	Members  *membership.List
	Registry *registry.Registry
	Config   ConfigReplica

	options Options
	seeds   []string
	now     time.Duration // of the current step
	output  *Output       // of the current step

	round        uint64 // of the last pull
	pendingPulls map[uint64]pendingPull
	pullReplies  int // number of replies since the start
	nextPull     time.Duration
	nextExpiry   time.Duration

	view    uint64
	primary string

	memberUpdates   updateQueue[membership.Member]
	endpointUpdates updateQueue[registry.Endpoint]

	fetches            fetcher
	transfers          transferLimiter
	lag                lagTracker
	building           bool // a Build was returned in an Output and HandleBuilt has not been called for it
	needsCompleteFetch bool // a build failed: the next fetch requests the complete configuration
}

// New returns a Gossiper whose member list holds only its own router; it finds the others through the seeds.
func New(now time.Duration, options Options) *Gossiper {
	n := &Gossiper{
		Members:         membership.New(now, options.Self, options.Timing),
		Registry:        registry.New(),
		options:         options,
		pendingPulls:    map[uint64]pendingPull{},
		seeds:           options.Seeds,
		memberUpdates:   newMemberUpdates(),
		endpointUpdates: newEndpointUpdates(),
		transfers:       transferLimiter{bytesPerSecond: options.LinkBytesPerSecond},
	}
	n.Registry.OwnerReceives = n.mayReceiveHeartbeats(missedHeartbeatsToExpire * options.EndpointHeartbeatInterval)
	return n
}

// SetSeeds replaces the internal addresses of the seeds.
func (n *Gossiper) SetSeeds(seeds []string) { n.seeds = seeds }

// Primary returns the newest known view and its primary's internal address, or 0 and an empty address if no view is known.
func (n *Gossiper) Primary() (view uint64, address string) { return n.view, n.primary }

// SetView records a view and its primary's internal address, unless a newer view is known.
func (n *Gossiper) SetView(view uint64, primary string) {
	if view > n.view {
		n.view, n.primary = view, primary
	}
}

// AnnouncePrimary announces to the other routers that this one is the primary of a view. Without it, they would send
// requests to the former primary until their next pull.
func (n *Gossiper) AnnouncePrimary(now time.Duration, view uint64) *Output {
	output := n.begin(now)
	if view > n.view {
		n.SetView(view, n.options.Self.Address)
		n.disseminateView(0)
	}
	return output
}

// begin starts a step and returns its output, in which the step collects messages, the fetch and the build.
func (n *Gossiper) begin(now time.Duration) *Output {
	n.now = now
	n.output = &Output{}
	return n.output
}

func (n *Gossiper) send(to string, message any) {
	n.output.Send = append(n.output.Send, Outgoing{To: to, Message: message})
}

// Tick runs the periodic work: heartbeats, probes, pulls, fetches, the expiry of endpoints, and the sending of queued updates.
func (n *Gossiper) Tick(now time.Duration) *Output {
	output := n.begin(now)
	result := n.Members.Tick(now)
	for _, to := range result.Heartbeats {
		n.send(to, Heartbeat{})
	}
	for _, to := range result.Probes {
		n.send(to, Heartbeat{WantsReply: true})
	}
	n.disseminateMembers(result.Dead, 0)
	if now >= n.nextPull {
		n.nextPull = now + n.pullInterval()
		n.pull()
	}
	if now >= n.nextExpiry {
		n.nextExpiry = now + expiryInterval
		n.expireEndpoints()
	}
	n.startFetch()
	n.flushQueues()
	return output
}

func (n *Gossiper) expireEndpoints() {
	replacementSilence := missedHeartbeatsToReplace*n.options.EndpointHeartbeatInterval + heartbeatAckTimeout
	n.disseminateEndpoints(n.Registry.EndReplaced(n.now, n.options.Self.Address, replacementSilence), 0)
	timeout := missedHeartbeatsToExpire * n.options.EndpointHeartbeatInterval
	expired := n.Registry.ExpireStale(n.now, n.options.Self.Address, timeout, n.mayReceiveHeartbeats(timeout))
	n.disseminateEndpoints(expired, 0)
	n.Registry.Purge(n.now)
}

// Receive handles a message from another router; from is the internal address of that router.
func (n *Gossiper) Receive(now time.Duration, from string, message any) *Output {
	output := n.begin(now)
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
	return output
}

func (n *Gossiper) handleUpdate(from string, update Update) {
	hops := update.Hops + 1
	if update.View > n.view {
		n.SetView(update.View, update.Primary)
		n.disseminateView(hops)
	}
	n.disseminateMembers(n.Members.Merge(n.now, update.Members), hops)
	changed, asserted := n.Registry.Merge(n.now, n.options.Self.Address, update.Endpoints)
	n.disseminateEndpoints(changed, hops)
	n.disseminateEndpoints(asserted, 0)
	n.handleConfigUpdate(from, update, hops)
}

// HandleEndpointHeartbeat applies an endpoint's own report; ok is false if the report is older than the registered state.
func (n *Gossiper) HandleEndpointHeartbeat(now time.Duration, report registry.Endpoint) (output *Output, ok bool) {
	output = n.begin(now)
	changed, ok := n.Registry.ApplyHeartbeat(now, report)
	n.disseminateEndpoints(changed, 0)
	return output, ok
}

// HandleEndpointLeave applies another router's report that an endpoint leaves. The leave is pushed even if this router has
// already applied it, because an earlier push of it may have been lost.
func (n *Gossiper) HandleEndpointLeave(now time.Duration, endpoint registry.Endpoint) *Output {
	output := n.begin(now)
	changed, _ := n.Registry.Merge(now, n.options.Self.Address, []registry.Endpoint{endpoint})
	if len(changed) == 0 {
		if known, ok := n.Registry.Lookup(endpoint.ID); ok && known.State != registry.Ready {
			changed = []registry.Endpoint{known}
		}
	}
	n.disseminateEndpoints(changed, 0)
	return output
}

// RestoreEndpoints adds endpoints saved by an earlier process of this router. Any report of an endpoint itself replaces its entry.
func (n *Gossiper) RestoreEndpoints(now time.Duration, endpoints []registry.Endpoint) *Output {
	output := n.begin(now)
	n.disseminateEndpoints(n.Registry.Restore(now, endpoints), 0)
	return output
}

// Leave announces that this router shuts down.
func (n *Gossiper) Leave(now time.Duration) *Output {
	output := n.begin(now)
	n.memberUpdates.push(n, []membership.Member{n.Members.Leave()}, 0)
	return output
}
