// Package router is the role that every machine of a fleet runs: it takes clients' requests, the operator's orders and
// the endpoints' heartbeats, and keeps what they need in step with the other routers.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/control"
	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/replica"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/retry"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

const (
	tickEvery       = 50 * time.Millisecond
	descriptorsKept = 300                    // for files, the other listeners and the runtime
	leaseSlack      = 600 * time.Millisecond // of revokeMs: what may pass between the look at a lease and the send
	headerTimeout   = 10 * time.Second
	idleTimeout     = 60 * time.Second
	headerBytesMost = 64 << 10
)

// Router is one machine's process.
type Router struct {
	settings *settings.Settings
	log      *zap.Logger
	began    time.Time

	transport  *transport.Transport
	replica    *replica.Replica // nil where this machine does not count for the quorum
	dispatcher *proxy.Dispatcher
	front      *proxy.Server
	quota      *quotaClient
	relay      *relay
	servers    []*http.Server
	clients    *http.Server // one of them; nil: clients are not served
	tasks      sync.WaitGroup

	mu              sync.Mutex
	node            *dissemination.Node
	registryVersion uint64        // of the endpoints that requests know
	nextEndpoints   time.Duration // when they are looked at again
	fetches         fetches
	fetchTime       time.Duration // that the next fetch may take
	ledger          *quota.Allocator
	granted         grantedAnswers
	ledgerOf        string        // the router whose ledger acts
	ledgerSince     time.Duration // when it began to

	config atomic.Pointer[configInForce]
	ending atomic.Bool
	abort  chan struct{}  // closed: the router ends without a word
	hints  *endpointHints // nil: no disk

	leaseholders leaseholderList

	learned learnedState
}

// configInForce is what requests look at.
type configInForce struct {
	table   *config.Table
	freshAt time.Duration
	fresh   bool
}

// New prepares a router; Run starts it.
func New(s *settings.Settings, log *zap.Logger) *Router {
	r := &Router{settings: s, log: log, began: time.Now(), abort: make(chan struct{}), fetchTime: fetchLeast}
	r.ledger = quota.NewAllocator(quotaSettings(s))
	r.quota = newQuotaClient(r, quotaSettings(s))
	r.dispatcher = proxy.NewDispatcher(r.clock, retry.Settings{
		Ratio: s.Bounds.RetryBudgetRatio, Window: s.Bounds.RetryBudgetWindow, Slack: s.Bounds.RetryBudgetSlack,
	}, max(64, (s.Limits.FileDescriptors-descriptorsKept)/2))
	r.relay = newRelay(s.InternalAddress(), s.Zone, s.CountsForQuorum, r.sendAnnouncements)
	r.dispatcher.Announce = r.relay.announce
	r.front = proxy.NewServer(r, r.dispatcher, frontOptions(s))
	r.node = dissemination.New(r.clock(), dissemination.Options{
		Self: membership.Member{
			Address: s.InternalAddress(), Control: s.ControlAddress, Zone: s.Zone, Region: s.Region, Core: s.CountsForQuorum,
			BootID: rand.Uint64(),
		},
		Seeds: s.SeedAddresses(), EndpointHeartbeatInterval: s.EndpointHeartbeatInterval, Timing: membership.DefaultTiming(),
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return r
}

func quotaSettings(s *settings.Settings) quota.Settings {
	return quota.Settings{Window: s.Bounds.QuotaWindow, OvershootRatio: s.Bounds.QuotaOvershootRatio, OvershootUnits: s.Bounds.QuotaOvershootUnits}
}

func frontOptions(s *settings.Settings) proxy.Options {
	o := proxy.Options{Stale: s.Bounds.ConfigApply * 3 / 4}
	if s.Bounds.RevocationStrict {
		o.KeyLease = max(s.Bounds.Revocation/2, s.Bounds.Revocation-leaseSlack)
	}
	return o
}

// clock is steady: it takes no notice of the time of day.
func (r *Router) clock() time.Duration { return time.Since(r.began) }

// Run serves until ctx ends, and then brings to an end what is under way.
func (r *Router) Run(ctx context.Context) error {
	if err := r.start(); err != nil {
		return err
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		r.tick()
		select {
		case <-ctx.Done():
			r.drain(ticker.C)
			r.close()
			return nil
		case <-r.abort:
			r.close()
			return nil
		case <-ticker.C:
		}
	}
}

// Kill has Run end at once and tell nobody, as a crash would. It is called once, by rigs that play losses.
func (r *Router) Kill() { close(r.abort) }

func (r *Router) start() error {
	var err error
	r.transport, err = transport.Listen(r.settings.InternalAddress(), fleetID(r.settings), r.receive)
	if err != nil {
		return err
	}
	r.transport.HandleCall(fetchPath, r.answerFetch)
	r.transport.HandleCall(leavePath, r.answerLeave)
	r.transport.HandleCall(learnedPath, r.answerLearned)
	r.transport.HandleStatus(statusPath, func() any { return r.Status() })
	if err := r.startReplica(); err != nil {
		return err
	}
	r.startHints()
	r.startLeaseholders()
	r.startLearned()
	if err := r.transport.Serve(); err != nil {
		return err
	}
	if r.settings.ControlAddress != "" {
		_, err = r.listen(r.settings.ControlAddress, control.NewServer(r, r.settings.ControlAddress))
	}
	if err == nil && r.settings.ReadyAddress != "" {
		_, err = r.listen(r.settings.ReadyAddress, http.HandlerFunc(r.answerReady))
	}
	if err == nil && r.settings.FrontAddress != "" {
		r.clients, err = r.listen(r.settings.FrontAddress, r.front)
	}
	r.tasks.Go(func() { r.dispatcher.Pool.Sweep(r.transport.Context()) })
	r.tasks.Go(func() { r.relay.run(r.transport.Context()) })
	return err
}

// listen serves HTTP at an address.
func (r *Router) listen(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, merry.Prepend(err, "router")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytesMost,
		ErrorLog: zap.NewStdLog(r.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	r.servers = append(r.servers, server)
	r.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("a listener ended", zap.String("address", address), zap.Error(err))
		}
	})
	return server, nil
}

// startReplica starts this machine's copy of the replicated configuration, where it counts for the quorum, or is one of
// the seeds at the first start of the whole system.
func (r *Router) startReplica() error {
	s := r.settings
	var founders []string
	isFounder := false
	if s.Bootstrap {
		founders = s.SeedAddresses()
		for _, founder := range founders {
			isFounder = isFounder || founder == s.InternalAddress()
		}
	}
	if !s.CountsForQuorum && !isFounder {
		return nil
	}
	var err error
	r.replica, err = replica.Start(replica.Options{
		Address: s.InternalAddress(), Directory: s.DataDir, BootstrapWitnesses: founders, Votes: s.CountsForQuorum,
		Tolerance: replication.Tolerance{
			Machines: s.Tolerance.Machines, Zones: s.Tolerance.Zones, Regions: s.Tolerance.Regions,
		},
		Timing: replication.DefaultTiming(), LocalityOf: r.placeOf, Peers: r.corePeers,
		Send: func(to string, nonce uint64, message replication.Envelope) {
			r.transport.Send(to, kindReplication, nonce, message)
		},
		OnCommit: r.committed, OnViewChange: r.viewed, Clock: r.clock, Log: r.log,
	})
	return err
}

func (r *Router) placeOf(address string) replication.Locality {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, known := r.node.Members.Lookup(address)
	if !known {
		return replication.Locality{Zone: address}
	}
	return replication.Locality{Zone: m.Zone, Region: m.Region, Known: true, CountsForQuorum: m.Core}
}

// corePeers are machines that may know the primary.
func (r *Router) corePeers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cores := r.node.Members.CoreAddresses(); len(cores) > 0 {
		return cores
	}
	return r.settings.SeedAddresses()
}

func (r *Router) close() {
	for _, server := range r.servers {
		_ = server.Close() // what was under way has ended or been given up
	}
	if r.replica != nil {
		r.replica.Close()
	}
	r.transport.Close()
	r.tasks.Wait()
}

// Reload takes over settings that have changed.
func (r *Router) Reload(s *settings.Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.SetSeeds(s.SeedAddresses())
	r.log.Info("settings read again", zap.Strings("seeds", s.Seeds))
}
