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

// endpointRefreshRest is the pause after the dispatcher took over a list of endpoints, as a multiple of the time that this took: a
// twentieth of one processor at most goes there, however many endpoints come at once.
const endpointRefreshRest = 20

// bytesPerSecondOfMbps turns the settings' rate of the link into that of the dissemination.
const bytesPerSecondOfMbps = 1e6 / 8

// gossip runs the dissemination: it carries out what the node wants done, and makes the configuration and the endpoints that
// the node knows those that requests are served by. Its methods may be called by any goroutine.
type gossip struct {
	*environment
	config     *activeConfig
	dispatcher *proxy.Dispatcher

	// mu guards what follows, and the leaseholders. A goroutine that holds it may take the allocator's lock and the dispatcher's; one
	// that holds the quota client's lock may take mu. It is held while the dispatcher is changed, so that changes keep their order.
	mu                     sync.Mutex
	node                   *dissemination.Gossiper
	appliedRegistryVersion uint64        // of the endpoints that the dispatcher has
	nextEndpointRefresh    time.Duration // earliest time of the next refresh
	nextLagReport          time.Duration // earliest time of the next log line about the configuration's lag
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

// receiveGossip decodes a message for the node and has the node handle it.
func receiveGossip[M any](g *gossip, p *transport.Packet) error {
	var message M
	if err := cbor.Unmarshal(p.Body, &message); err != nil {
		return err
	}
	g.step(func(now time.Duration) *dissemination.Output { return g.node.Receive(now, p.From, message) })
	return nil
}

// step has the node take a step, with the lock held, and carries out its output.
func (g *gossip) step(step func(now time.Duration) *dissemination.Output) {
	g.mu.Lock()
	output := step(g.clock())
	g.publish()
	g.mu.Unlock()
	for _, outgoing := range output.Send {
		g.transport.Send(outgoing.To, kindOf(outgoing.Message), 0, outgoing.Message)
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

func kindOf(message any) transport.Kind {
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

// publish makes the node's configuration the active one, and has the dispatcher stop the use of endpoints that have ended. The
// caller holds the lock.
func (g *gossip) publish() {
	g.config.update(g.node)
	if ended := g.node.Registry.TakeUnready(); len(ended) > 0 {
		g.dispatcher.Suspend(ended)
	}
}

// fleetSnapshot is what one tick needs to know of the fleet.
type fleetSnapshot struct {
	others  []membership.Member // that are alive
	routers int                 // alive, this one included
	view    uint64
	primary string // internal address
}

// refresh tells the dispatcher of new endpoints and of the number of routers, and returns the fleet as it is now.
func (g *gossip) refresh() fleetSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshEndpoints()
	fleet := fleetSnapshot{others: g.node.Members.LiveMembers(), routers: g.node.Members.LiveCount()}
	fleet.view, fleet.primary = g.node.Primary()
	g.dispatcher.SetRouters(fleet.routers)
	return fleet
}

// refreshEndpoints has the dispatcher take over new endpoints. This is done at most once a tick: where many come at once, each list
// costs as much as all of them. The caller holds the lock.
func (g *gossip) refreshEndpoints() {
	version, startedAt := g.node.Registry.Version(), g.clock()
	if version == g.appliedRegistryVersion || startedAt < g.nextEndpointRefresh {
		return
	}
	g.appliedRegistryVersion = version
	g.dispatcher.SetEndpoints(g.node.Registry.Ready())
	g.nextEndpointRefresh = startedAt + endpointRefreshRest*(g.clock()-startedAt)
}

// appliedVersion is the registry's version whose endpoints the dispatcher has.
func (g *gossip) appliedVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.appliedRegistryVersion
}

// confirm records that the configuration with a sequence was the newest at a moment.
func (g *gossip) confirm(sequence uint64, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Config.Confirm(sequence, at)
}

// setSeeds replaces the seeds.
func (g *gossip) setSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetSeeds(seeds)
}

// primary returns the internal address of the newest known primary; empty: none is known.
func (g *gossip) primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, address := g.node.Primary()
	return address
}

// primaryMember returns the newest known view and its primary, where that is another router that is known.
func (g *gossip) primaryMember() (view uint64, primary membership.Member, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	view, address := g.node.Primary()
	primary, known := g.node.Members.Lookup(address)
	return view, primary, known && address != g.address()
}

// liveCount is how many routers are alive, this one included.
func (g *gossip) liveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Members.LiveCount()
}

// liveMembers are the other routers that are alive.
func (g *gossip) liveMembers() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Members.LiveMembers()
}

// relayPeer picks a router that may reach the primary where this one does not; empty: none is known.
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

// corePeers are machines that may know the primary: the known core, else the seeds.
func (g *gossip) corePeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cores := g.node.Members.CoreAddresses(); len(cores) > 0 {
		return cores
	}
	return g.settings.SeedAddresses()
}

// coreSize is the number of machines that count for the quorum, this one included, whether alive or not.
func (g *gossip) coreSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.node.Members.CoreAddresses())
}

// localityOf returns where a machine is. A machine that is not known counts as a zone of its own.
func (g *gossip) localityOf(address string) replication.Locality {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, known := g.node.Members.Lookup(address)
	if !known {
		return replication.Locality{Zone: address}
	}
	return replication.Locality{Zone: m.Zone, Region: m.Region, Known: true, CountsForQuorum: m.Core}
}

// lookupEndpoint returns what is known of an endpoint.
func (g *gossip) lookupEndpoint(id string) (registry.Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Registry.Lookup(id)
}

// readyEndpoints returns the endpoints that are ready, and the registry's version; nil where the version is the known one.
func (g *gossip) readyEndpoints(knownVersion uint64) ([]registry.Endpoint, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version := g.node.Registry.Version()
	if version == knownVersion {
		return nil, version
	}
	return g.node.Registry.Ready(), version
}

// liveCore returns the internal addresses of the core machines that are alive, this one included where it is one; the seeds where no
// other one is known.
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
