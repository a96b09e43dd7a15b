package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// endpointRefreshPauseFactor is the pause after the dispatcher has applied a list of endpoints, as a multiple of the time that this took.
// It limits the refresh to a twentieth of one processor, however many endpoints are added at once.
const endpointRefreshPauseFactor = 20

// bytesPerSecondOfMbps converts the link rate of the settings, in megabits per second, to bytes per second.
const bytesPerSecondOfMbps = 1e6 / 8

// gossip runs the dissemination: it carries out the node's outputs (messages, fetches, builds), and applies the node's configuration and
// endpoints to the active configuration and the dispatcher. Its methods may be called by any goroutine.
type gossip struct {
	*environment
	config     *activeConfig
	dispatcher *proxy.Dispatcher

	// mu guards the fields below, and the leaseholderList. A goroutine that holds mu may take the allocator's lock and the dispatcher's; a
	// goroutine that holds the quota client's lock may take mu. mu is held during changes of the dispatcher, so that they are applied in
	// order.
	mu                     sync.Mutex
	node                   *dissemination.Gossiper
	appliedRegistryVersion uint64        // registry version of the endpoints that were last passed to the dispatcher
	nextEndpointRefresh    time.Duration // earliest time of the next refreshEndpoints
	nextLagLog             time.Duration // earliest time of the next log line about the configuration's lag
}

func newGossip(e *environment, c *activeConfig, d *proxy.Dispatcher) *gossip {
	s := e.settings
	return &gossip{
		environment: e,
		config:      c,
		dispatcher:  d,
		node: dissemination.New(e.clock(), dissemination.Options{
			Self: membership.Member{
				Address: s.InternalAddress(), Control: s.ControlAddress, Zone: s.Zone, Region: s.Region, Core: s.CountsForQuorum,
				BootID: rand.Uint64(),
			},
			Seeds:                     s.SeedAddresses(),
			EndpointHeartbeatInterval: s.EndpointHeartbeatInterval,
			Timing:                    membership.DefaultTiming(),
			Random:                    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			LinkBytesPerSecond:        s.Limits.LinkMbps * bytesPerSecondOfMbps,
		}),
	}
}

// receiveGossip decodes a message for the node and passes it to the node. It returns an error if the message can't be decoded.
func receiveGossip[M any](g *gossip, p *transport.Packet) error {
	var message M
	if err := cbor.Unmarshal(p.Body, &message); err != nil {
		return err
	}
	g.step(func(now time.Duration) *dissemination.Output { return g.node.Receive(now, p.From, message) })
	return nil
}

// step calls a function that advances the node, with the lock held, and carries out the node's output without the lock.
func (g *gossip) step(step func(now time.Duration) *dissemination.Output) {
	g.mu.Lock()
	output := step(g.clock())
	g.publish()
	g.mu.Unlock()
	for _, outgoing := range output.Send {
		g.transport.Send(outgoing.To, gossipKind(outgoing.Message), 0, outgoing.Message)
	}
	if output.BuildError != nil {
		g.log.Error("received configuration is invalid", zap.Error(output.BuildError))
	}
	if fetch := output.Fetch; fetch != nil {
		g.tasks.Go(func() { g.fetch(fetch) })
	}
	if build := output.Build; build != nil {
		g.tasks.Go(func() { g.build(build) })
	}
}

// gossipKind returns the kind under which a message of the node is sent.
func gossipKind(message any) transport.Kind {
	switch message.(type) {
	case dissemination.Heartbeat:
		return kindHeartbeat
	case dissemination.Pull:
		return kindPull
	case dissemination.PullReply:
		return kindPullReply
	}
	return kindUpdate
}

// publish makes the node's configuration the active one, and makes the dispatcher stop sending requests to endpoints that are no longer
// ready. The caller holds the lock.
func (g *gossip) publish() {
	g.config.update(g.node)
	if ended := g.node.Registry.TakeUnready(); len(ended) > 0 {
		g.dispatcher.Suspend(ended)
	}
	g.logReplaced(g.node.Registry.TakeReplaced())
}

// logReplaced logs the endpoints that this router has ended because others registered with their addresses.
func (g *gossip) logReplaced(replaced []registry.Replacement) {
	for _, replacement := range replaced {
		g.log.Info("endpoint deregistered: another one registered with its address",
			zap.String("id", replacement.Ended.ID),
			zap.String("service", replacement.Ended.Service),
			zap.String("address", replacement.Ended.Address),
			zap.String("successor", replacement.Successor))
	}
}

// fleetSnapshot is the state of the fleet that one tick uses.
type fleetSnapshot struct {
	others  []membership.Member // other live routers
	routers int                 // number of live routers, including this one
	view    uint64
	primary string // internal address; empty: not known
}

// refresh passes new endpoints and the number of live routers to the dispatcher, and returns the state of the fleet.
func (g *gossip) refresh() fleetSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshEndpoints()
	fleet := fleetSnapshot{others: g.node.Members.LiveMembers(), routers: g.node.Members.LiveCount()}
	fleet.view, fleet.primary = g.node.Primary()
	g.dispatcher.SetRouters(fleet.routers)
	return fleet
}

// refreshEndpoints passes the list of ready endpoints to the dispatcher if it has changed. It runs at most once per tick instead of once
// per endpoint, since applying a list takes time proportional to the number of all endpoints. The caller holds the lock.
func (g *gossip) refreshEndpoints() {
	version, startedAt := g.node.Registry.Version(), g.clock()
	if version == g.appliedRegistryVersion || startedAt < g.nextEndpointRefresh {
		return
	}
	g.appliedRegistryVersion = version
	g.dispatcher.SetEndpoints(g.node.Registry.Ready())
	g.nextEndpointRefresh = startedAt + endpointRefreshPauseFactor*(g.clock()-startedAt)
}

// appliedVersion returns the registry version of the endpoints that were last passed to the dispatcher.
func (g *gossip) appliedVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.appliedRegistryVersion
}

// confirm records that the configuration with a sequence number was the newest one at a time on the clock.
func (g *gossip) confirm(sequence uint64, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Config.Confirm(sequence, at)
}

// setSeeds replaces the seeds' internal addresses.
func (g *gossip) setSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetSeeds(seeds)
}

// primary returns the internal address of the newest known primary, or "" if none is known.
func (g *gossip) primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, address := g.node.Primary()
	return address
}

// primaryMember returns the newest known view and its primary. ok is false if the primary is not known or is this router.
func (g *gossip) primaryMember() (view uint64, primary membership.Member, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	view, address := g.node.Primary()
	primary, known := g.node.Members.Lookup(address)
	return view, primary, known && address != g.address()
}

// liveCount returns the number of live routers, including this one.
func (g *gossip) liveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Members.LiveCount()
}

// liveMembers returns the other live routers.
func (g *gossip) liveMembers() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Members.LiveMembers()
}

// relayPeer picks a random live router, other than the primary, to forward messages to the primary if this router does not reach it. It
// returns "" if there is none.
func (g *gossip) relayPeer() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, primary := g.node.Primary()
	candidates := slices.DeleteFunc(g.node.Members.LiveAddresses(), func(a string) bool { return a == primary })
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// corePeers returns the internal addresses of machines that may know the primary: the known core machines, or, if there are none, the
// seeds.
func (g *gossip) corePeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cores := g.node.Members.CoreAddresses(); len(cores) > 0 {
		return cores
	}
	return g.settings.SeedAddresses()
}

// coreSize returns the number of known machines that count for the quorum, live or not, plus one for this machine.
func (g *gossip) coreSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.node.Members.CoreAddresses())
}

// localityOf returns the zone and region of a machine. A machine that is not known counts as a zone of its own.
func (g *gossip) localityOf(address string) replication.Locality {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, known := g.node.Members.Lookup(address)
	if !known {
		return replication.Locality{Zone: address}
	}
	return replication.Locality{Zone: m.Zone, Region: m.Region, Known: true, CountsForQuorum: m.Core}
}

// lookupEndpoint returns the registry's entry of an endpoint, and whether there is one.
func (g *gossip) lookupEndpoint(id string) (registry.Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Registry.Lookup(id)
}

// restoreLeaves adds the endpoints that were draining or had ended before a restart.
func (g *gossip) restoreLeaves(endpoints []registry.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Registry.RestoreLeaves(g.clock(), endpoints)
}

// endpointSnapshot returns the reports of all endpoints and the registry's version. They are nil if the version equals knownVersion.
func (g *gossip) endpointSnapshot(knownVersion uint64) ([]registry.Endpoint, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version := g.node.Registry.Version()
	if version == knownVersion {
		return nil, version
	}
	return g.node.Registry.Snapshot(g.clock()), version
}

// liveCore returns the internal addresses of the live core machines, including this machine if it counts for the quorum. If no other live
// core machine is known, the other seeds take their place.
func (g *gossip) liveCore() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var core []string
	for _, m := range g.node.Members.LiveMembers() {
		if m.Core {
			core = append(core, m.Address)
		}
	}
	if len(core) == 0 {
		core = slices.DeleteFunc(g.settings.SeedAddresses(), func(a string) bool { return a == g.address() })
	}
	if g.settings.CountsForQuorum {
		core = append(core, g.address())
	}
	return core
}
