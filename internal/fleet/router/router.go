// Package router implements the router process of one machine of a fleet. It serves clients' requests, operators' changes of the
// configuration and endpoints' heartbeats, and exchanges the state that this requires with the other routers. The command pinelb and the
// test lab run it.
//
// A Router is composed of components:
//
//	gossip                the dissemination of configuration, endpoints and members; fetches of the configuration
//	activeConfig          the configuration by which requests are served
//	endpointReports       heartbeats and leaves of endpoints, and the acknowledgement of leaves
//	endpointCache         a copy of the list of endpoints on the disk
//	leaseholderList       the routers that may hold leased shares of quotas, also kept on the disk
//	learnedStateExchange  the learned state of other routers and of the previous process
//	quotaClient           charges of this router's requests to the tenants' quotas
//	allocatorServer       grants of credit and leases of shares to all routers, while this router is the primary; uses a grantCache
//	coreSizeCheck         a warning if the core is smaller than its tolerance needs
//	announcementRelay     announcements of prompts to the other routers
//	resourceMonitor       use of memory, descriptors and disk beside their limits
//	coordinationService   locks, counters, cells and watches for applications, if the settings enable them
//	overloadManagers      bounds of what the clients of each listener make the router hold
//	httpServers           the listeners for clients, the control API and the readiness probe
//
// The packages dissemination, membership, registry, quota and placement perform no I/O, read no clock and start no goroutines;
// that is done here and in proxy, transport and replica.
//
// Locks are taken in this order: quotaClient.mu, gossip.mu, allocatorServer.mu, then those of the dispatcher; the locks of the grant
// cache, the relay and the learned state are taken last, and only one of them at a time. No lock is held while a message is sent or a file
// is written. State that only the goroutine of Run uses has no lock; its comment says so.
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
	reservedDescriptors = 300                    // subtracted from the limit of file descriptors, for files, the other listeners and the runtime
	minConnections      = 64                     // minimum for connections of each kind, even if the limit of file descriptors is low
	keyLeaseMargin      = 600 * time.Millisecond // part of revokeMs that is reserved for the time between the check of the lease and the send
	supersededMargin    = 150 * time.Millisecond // part of configApplyMs that is reserved for clock drift and scheduling delays between two machines
)

// Reasons for which a router stops, as its log tells them.
const (
	reasonSignal = "signal"
	reasonKilled = "kill of a test"
)

// Router is the router process of one machine. Create it with New and start it with Run; the other exported methods may be called by any
// goroutine.
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
	resources       *resourceMonitor
	overload        overloadManagers
	tooLargeLog     tooLargeLog

	dispatcher  *proxy.Dispatcher
	proxy       *proxy.Server
	servers     *httpServers
	proxyServer *http.Server // serves proxy; nil: clients are not served
}

// New returns a router that is not yet started; Run starts it.
func New(s *settings.Settings, log *zap.Logger) *Router {
	e := &environment{settings: s, log: log, startedAt: time.Now()}
	r := &Router{environment: e, killed: make(chan struct{})}
	r.dispatcher = proxy.NewDispatcher(e.clock, retry.Settings{
		Ratio: s.Bounds.RetryBudgetRatio, Window: s.Bounds.RetryBudgetWindow, Slack: s.Bounds.RetryBudgetSlack,
	}, descriptorsFor(s, endpointDescriptorParts))
	if s.Limits.MemoryMB > 0 {
		r.dispatcher.Pool.SetMaxLateWriteBytes(s.Limits.MemoryMB * bytesPerMB / lateWriteMemoryDivisor)
	}
	r.overload = newOverloadManagers(s)
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
	r.resources = &resourceMonitor{environment: e}
	r.proxy = proxy.NewServer(r, r.dispatcher, proxyOptions(s))
	r.servers = &httpServers{environment: e}
	return r
}

// proxyOptions derives the proxy's time limits from the bounds in the settings.
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

// Run starts the router, serves until ctx is done, and then shuts down gracefully. It returns an error only if the router can't be started.
func (r *Router) Run(ctx context.Context) error {
	r.resources.logStart()
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
			r.resources.logEnd(reasonSignal)
			return nil
		case <-r.killed:
			r.close()
			r.resources.logEnd(reasonKilled)
			return nil
		case <-ticker.C:
		}
	}
}

// Kill simulates a crash: it makes Run return without a drain and without notifying other routers. Tests that inject failures call it, at
// most once.
func (r *Router) Kill() { close(r.killed) }

// Reload applies the settings that can change while the router runs: the seeds.
func (r *Router) Reload(s *settings.Settings) {
	r.gossip.setSeeds(s.SeedAddresses())
	r.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
}

// start binds the internal address, starts the replica and the coordination service, and reads the state on the disk. Then it serves other
// routers first, and after that the control API, the readiness probe and clients.
func (r *Router) start() error {
	if unknown := r.settings.UnknownContracts(); len(unknown) > 0 {
		r.log.Warn("contracts are enabled that this version does not serve", zap.Strings("contracts", unknown))
	}
	var err error
	r.transport, err = transport.Listen(r.address(), fleetID(r.settings), r.receive)
	if err != nil {
		return err
	}
	r.transport.OnTooLarge(r.logTooLarge)
	r.transport.Limit(r.overload.routers)
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

// handleCalls registers the handlers for calls of other routers and operators.
func (r *Router) handleCalls() {
	r.transport.HandleCall(fetchPath, r.gossip.serveFetch)
	r.transport.HandleCall(leavePath, r.endpointReports.serveLeave)
	r.transport.HandleCall(learnedPath, r.learned.serve)
	r.transport.HandleStatus(statusPath, func() any { return r.Status() })
}

// listen starts the HTTP servers at the addresses in the settings. It returns an error if an address can't be bound.
func (r *Router) listen() error {
	var err error
	if address := r.settings.ControlAddress; address != "" {
		_, err = r.servers.listen(address, r.controlServer(address), r.overload.control, maxControlHeaderBytes)
	}
	if address := r.settings.ReadyAddress; err == nil && address != "" {
		_, err = r.servers.listen(address, http.HandlerFunc(r.serveReady), r.overload.ready, maxControlHeaderBytes)
	}
	if address := r.settings.FrontAddress; err == nil && address != "" {
		r.proxyServer, err = r.servers.listen(address, r.proxy, r.overload.clients, maxClientHeaderBytes)
	}
	return err
}

// controlServer returns the control API's handler, with the coordination service if that is enabled.
func (r *Router) controlServer(address string) *control.Server {
	server := control.NewServer(r, address, control.Limits{
		ChangeBytes: maxChange(r.settings), Watches: descriptorsFor(r.settings, controlDescriptorParts) / maxWatchesPerConnections,
	})
	if r.coordination.isServed() {
		server.HandleCoordination(r.coordination)
	}
	return server
}

// tick runs the periodic work of each component.
func (r *Router) tick() {
	r.coordination.tick()
	r.confirmAsPrimary()
	r.gossip.step(r.gossip.node.Tick)
	r.gossip.logLag()
	fleet := r.gossip.refresh()
	r.allocatorServer.setRouters(fleet.routers)
	r.quota.tick(r.clock(), fleet, r.leaseholders.needsCompleteList())
	r.relay.setPeers(fleet.others)
	r.endpointCache.tick()
	r.leaseholders.tick()
	r.learned.tick()
	r.coreSize.tick()
	r.resources.tick()
	table, _ := r.ActiveConfig()
	r.overload.tick(table)
}

// close stops all components and waits for their goroutines.
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
