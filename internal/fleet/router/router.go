// Package router is the process of one machine of a fleet: it serves clients' requests, the operators' changes of the configuration and
// the endpoints' heartbeats, and exchanges with the other routers what that takes. The command pinelb and the test lab run it.
//
// A Router composes components with one job each:
//
//	gossip                the dissemination of configuration, endpoints and members; fetches of the configuration
//	activeConfig          the configuration that requests are served by
//	endpointReports       the endpoints' own reports, and the acknowledgement of their leaves
//	endpointCache         the list of endpoints on the disk
//	leaseholderList       the routers that may hold leased shares of quotas, on the disk too
//	learnedStateExchange  the learned state of other routers and of the process before this one
//	quotaClient           this router's use of quotas
//	allocatorServer      grants and leases to all routers, while this one is the primary; with a grantCache
//	coreSizeCheck        a warning where the core is smaller than its tolerance needs
//	announcementRelay     announcements of prompts to the other routers
//	coordinationService   locks, counters, cells and watches of applications, where the settings ask for them
//	httpServers           the listeners of the clients, the control API and the readiness probe
//
// The packages dissemination, membership, registry, quota and placement are pure; I/O, clocks and goroutines are here, in proxy,
// transport and replica.
//
// Locks are taken in this order: quotaClient.mu, gossip.mu, allocatorServer.mu, then those of the dispatcher; the locks of the grant
// cache, the relay and the learned state are taken last and alone. No lock is held while a message is sent or a file is written. What
// only the goroutine of Run uses has no lock, and says so.
package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/control"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/retry"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

const (
	tickInterval        = 50 * time.Millisecond
	reservedDescriptors = 300                    // of the limit: for files, the other listeners and the runtime
	minConnections      = 64                     // to endpoints, however low the limit of descriptors is
	keyLeaseMargin      = 600 * time.Millisecond // of revokeMs: may pass between the check of the lease and the send
	supersededMargin    = 150 * time.Millisecond // of configApplyMs: for what the clocks and the schedulers of two machines differ by
)

// Router is one machine's process. New, then Run; the other exported methods may be called by any goroutine.
type Router struct {
	*environment
	killed chan struct{} // closed by Kill

	config          *activeConfig
	gossip          *gossip
	leaseholders    *leaseholderList
	allocatorServer *allocatorServer
	quota           *quotaClient
	relay           *announcementRelay
	endpointReports *endpointReports
	endpointCache   *endpointCache
	learned         *learnedStateExchange
	coreSize        *coreSizeCheck
	coordination    *coordinationService

	dispatcher  *proxy.Dispatcher
	proxy       *proxy.Server
	servers     *httpServers
	proxyServer *http.Server // serves proxy; nil: clients are not served
}

// New prepares a router; Run starts it.
func New(s *settings.Settings, log *zap.Logger) *Router {
	e := &environment{settings: s, log: log, startedAt: time.Now()}
	r := &Router{environment: e, killed: make(chan struct{})}
	r.dispatcher = proxy.NewDispatcher(e.clock, retry.Settings{
		Ratio: s.Bounds.RetryBudgetRatio, Window: s.Bounds.RetryBudgetWindow, Slack: s.Bounds.RetryBudgetSlack,
	}, max(minConnections, (s.Limits.FileDescriptors-reservedDescriptors)/2))
	r.config = &activeConfig{environment: e}
	r.gossip = newGossip(e, r.config, r.dispatcher)
	r.leaseholders = &leaseholderList{environment: e, gossip: r.gossip}
	r.allocatorServer = newAllocatorServer(e, r.gossip, r.config, r.leaseholders)
	r.quota = newQuotaClient(e, r.gossip, r.allocatorServer, r.leaseholders)
	r.relay = newRelay(e.address(), s.Zone, s.CountsForQuorum, r.sendAnnouncements)
	r.dispatcher.Announce = r.relay.announce
	r.endpointReports = &endpointReports{environment: e, gossip: r.gossip}
	r.endpointCache = &endpointCache{environment: e, gossip: r.gossip}
	r.learned = &learnedStateExchange{environment: e, gossip: r.gossip, dispatcher: r.dispatcher}
	r.coreSize = &coreSizeCheck{environment: e, gossip: r.gossip}
	r.coordination = &coordinationService{environment: e, gossip: r.gossip}
	r.proxy = proxy.NewServer(r, r.dispatcher, proxyOptions(s))
	r.servers = &httpServers{environment: e}
	return r
}

func proxyOptions(s *settings.Settings) proxy.Options {
	options := proxy.Options{
		MaxDenialAge:     s.Bounds.ConfigApply * 3 / 4,
		MaxSupersededAge: max(s.Bounds.ConfigApply/2, s.Bounds.ConfigApply-supersededMargin),
	}
	if s.Bounds.RevocationStrict {
		options.MaxConfigAge = max(s.Bounds.Revocation/2, s.Bounds.Revocation-keyLeaseMargin)
	}
	return options
}

// Run serves until ctx ends, and then shuts down gracefully. Its error says what could not be started.
func (r *Router) Run(ctx context.Context) error {
	if err := r.start(); err != nil {
		return err
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.tick()
		select {
		case <-ctx.Done():
			r.drain(ticker.C)
			r.close()
			return nil
		case <-r.killed:
			r.close()
			return nil
		case <-ticker.C:
		}
	}
}

// Kill has Run return at once without informing other routers, as a crash would. It is called once, by tests that inject failures.
func (r *Router) Kill() { close(r.killed) }

// Reload applies the settings that can change while the router runs: the seeds.
func (r *Router) Reload(s *settings.Settings) {
	r.gossip.setSeeds(s.SeedAddresses())
	r.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
}

// start binds the internal address, starts the replica, reads the state on the disk, and then serves: first other routers, then the
// control API, the readiness probe and clients.
func (r *Router) start() error {
	if unknown := r.settings.UnknownContracts(); len(unknown) > 0 {
		r.log.Warn("contracts are in force that this program does not serve", zap.Strings("contracts", unknown))
	}
	var err error
	r.transport, err = transport.Listen(r.address(), fleetID(r.settings), r.receive)
	if err != nil {
		return err
	}
	r.handleCalls()
	if err := r.startReplica(); err != nil {
		return err
	}
	if err := r.coordination.start(); err != nil {
		return err
	}
	r.endpointCache.start()
	r.leaseholders.start()
	r.learned.start()
	if err := r.transport.Serve(); err != nil {
		return err
	}
	if err := r.listen(); err != nil {
		return err
	}
	r.tasks.Go(func() { r.dispatcher.Pool.Sweep(r.transport.Context()) })
	r.tasks.Go(func() { r.relay.run(r.transport.Context()) })
	return nil
}

// handleCalls registers the calls that other routers and operators make.
func (r *Router) handleCalls() {
	r.transport.HandleCall(fetchPath, r.gossip.serveFetch)
	r.transport.HandleCall(leavePath, r.endpointReports.serveLeave)
	r.transport.HandleCall(learnedPath, r.learned.serve)
	r.transport.HandleStatus(statusPath, func() any { return r.Status() })
}

// listen serves the addresses that the settings name.
func (r *Router) listen() error {
	var err error
	if address := r.settings.ControlAddress; address != "" {
		_, err = r.servers.listen(address, r.controlServer(address))
	}
	if address := r.settings.ReadyAddress; err == nil && address != "" {
		_, err = r.servers.listen(address, http.HandlerFunc(r.serveReady))
	}
	if address := r.settings.FrontAddress; err == nil && address != "" {
		r.proxyServer, err = r.servers.listen(address, r.proxy)
	}
	return err
}

func (r *Router) controlServer(address string) *control.Server {
	server := control.NewServer(r, address)
	if r.coordination.isServed() {
		server.HandleCoordination(r.coordination)
	}
	return server
}

// tick does what is due, in each component.
func (r *Router) tick() {
	r.coordination.tick()
	r.confirmAsPrimary()
	r.gossip.step(r.gossip.node.Tick)
	r.gossip.reportLag()
	fleet := r.gossip.refresh()
	r.allocatorServer.setRouters(fleet.routers)
	r.quota.tick(r.clock(), fleet, r.leaseholders.wantsComplete())
	r.relay.setPeers(fleet.others)
	r.endpointCache.tick()
	r.leaseholders.tick()
	r.learned.tick()
	r.coreSize.tick()
}

// close stops everything and waits for the goroutines.
func (r *Router) close() {
	r.servers.close()
	if r.replica != nil {
		r.replica.Close()
	}
	r.coordination.close()
	r.transport.Close()
	r.tasks.Wait()
}

func (r *Router) sendAnnouncements(to []string, kind transport.Kind, announcements []proxy.Announcement) {
	r.transport.SendAll(to, kind, announcements)
}
