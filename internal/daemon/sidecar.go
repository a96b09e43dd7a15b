package daemon

import (
	"math/rand/v2"
	"net/http"
	"runtime"
	"runtime/debug"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/control"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/downstream/thrift"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/upstream"
)

const (
	reservedSockets = 32  // for discovery, the listener and the runtime
	heapFraction    = 0.7 // of the memory limit; the rest is stacks and the kernel's

	// Divisors of the memory limit.
	effectsDivisor        = 64 // for remembered effects
	journalEffectsDivisor = 16 // for the same where a journal promises to know them
	bodiesDivisor         = 16 // for the bodies of callers' requests, which attempts copy

	bytesPerEffect = 512 // about

	// Streams of random numbers that are drawn from the seed, each for one purpose.
	discoveryStream = 2 // spreads calls to discovery
	auditStream     = 3 // spreads what a minimum version asks for
	settingsStream  = 4 // spreads calls to distributors
)

// sidecar is the process's parts. Fields are set by newSidecar and listen, and are read-only afterwards.
type sidecar struct {
	cfg      *config.Config
	operator *config.Operator
	recorder *accesslog.Recorder // nil: no access log
	log      zerolog.Logger

	memory  int64 // bytes that the platform grants
	sockets int   // for callers and upstream hosts

	pool        *upstream.Pool
	engine      *driver.Driver
	httpProxy   *stream.Proxy
	thriftProxy *stream.Proxy // nil: Thrift is off
	side        *downstream.Manager
	httpServer  *downstream.Server
	table       *cluster.Table
	watcher     *cluster.Watcher
	moves       chan string // discovery's new addresses, to the watcher

	updater    *configUpdater
	succession *succession
	limits     *resourceLimits
	persister  *statePersister // nil: no [state]
	audit      *auditAgent     // nil: no [audit]
	hasList    bool            // endpoints are known before discovery answers

	fronts        []downstream.Frontend // set by listen
	controlServer *http.Server          // set by listen; nil: no LB_CONTROL
}

// newSidecar builds the parts, connects them, and takes over the state of the process before this one. Nothing listens yet.
func newSidecar(cfg *config.Config, operator *config.Operator, recorder *accesslog.Recorder, log zerolog.Logger) (*sidecar, error) {
	s := &sidecar{cfg: cfg, operator: operator, recorder: recorder, log: log}
	s.applyProcessLimits()
	if err := s.newUpstream(); err != nil {
		return nil, err
	}
	s.newProxies()
	s.newDownstream()
	s.newTable()
	s.attachRecorder()
	s.newSuccession()
	s.attachAudit()
	s.restoreState()
	return s, nil
}

// applyProcessLimits keeps the process within what the platform grants it.
func (s *sidecar) applyProcessLimits() {
	limits := &s.cfg.Limits
	runtime.GOMAXPROCS(max(1, int(limits.Cores)))
	s.memory = int64(limits.MemoryMB) << 20
	debug.SetMemoryLimit(int64(heapFraction * float64(s.memory)))
	s.sockets = limits.Sockets - reservedSockets
	if s.cfg.Control != "" {
		s.sockets -= control.MaxConnections
	}
}

// newUpstream creates the connection pool and the engine, which decides by the settings.
func (s *sidecar) newUpstream() (err error) {
	settings := &s.cfg.Settings
	s.pool = upstream.NewPool(settings.ConnectTimeout, settings.ConnIdle, s.sockets/2)
	s.pool.SetHandshakeLimit(handshakeLimit(s.operator.Fleet, settings))
	s.engine, err = driver.New(settings.Settings, s.cfg.Seed, s.pool, s.log)
	return err
}

// newProxies creates the proxies, which share one retry budget and one table of effects.
func (s *sidecar) newProxies() {
	settings := &s.cfg.Settings
	s.httpProxy = &stream.Proxy{Driver: s.engine, Upstream: s.pool, Log: s.log}
	journaled := s.operator.State != nil && s.operator.State.Journal
	if s.cfg.Control != "" || journaled { // there may be another process beside this one, or after it
		divisor := int64(effectsDivisor)
		if journaled {
			divisor = journalEffectsDivisor
		}
		s.httpProxy.InFlight = inflight.New(int(s.memory / divisor / bytesPerEffect))
	}
	if budget := s.operator.Budget; budget != nil {
		s.httpProxy.Budget = stream.NewBudget(budget.AccountSettings(settings), s.cfg.Seed, targetLatencies(settings), s.log)
	}
	if s.operator.Thrift != nil {
		s.thriftProxy = newThriftProxy(s.operator.Thrift, s.engine, s.pool, s.log)
		s.thriftProxy.Budget = s.httpProxy.Budget
		s.thriftProxy.InFlight = s.httpProxy.InFlight
	}
}

// proxies returns those that are in use.
func (s *sidecar) proxies() []*stream.Proxy {
	if s.thriftProxy == nil {
		return []*stream.Proxy{s.httpProxy}
	}
	return []*stream.Proxy{s.httpProxy, s.thriftProxy}
}

func (s *sidecar) newDownstream() {
	settings := &s.cfg.Settings
	s.side = downstream.NewManager(settings, s.memory/bodiesDivisor, s.sockets-s.sockets/2, s.log)
	s.httpServer = downstream.New(settings, s.side, s.httpProxy, s.log)
}

// newTable creates the table of endpoints and the watcher that keeps it up to date.
func (s *sidecar) newTable() {
	settings := &s.cfg.Settings
	s.table = cluster.NewTable(settings.ZoneNames, settings.KindNames, s.pool, s.engine)
	s.moves = make(chan string)
	s.watcher = &cluster.Watcher{Addr: s.cfg.Discovery, AddrChanges: s.moves, Table: s.table, Log: s.log,
		Rand: rand.New(rand.NewPCG(s.cfg.Seed, discoveryStream))}
}

// attachRecorder has the access log observe streams and the list.
func (s *sidecar) attachRecorder() {
	if s.recorder == nil {
		return
	}
	s.table.Observer = s.recorder
	for _, proxy := range s.proxies() {
		proxy.Observer = s.recorder
	}
	s.recorder.Open = s.httpProxy.Active
	if s.thriftProxy != nil {
		s.recorder.Open = func() int { return s.httpProxy.Active() + s.thriftProxy.Active() }
	}
}

// newSuccession connects to the process before this one, if there is one, and divides the limits with it.
func (s *sidecar) newSuccession() {
	s.updater = &configUpdater{cfg: s.cfg, operator: s.operator, engine: s.engine, pool: s.pool, side: s.side, table: s.table,
		budget: s.httpProxy.Budget, recorder: s.recorder, onClassesChanged: []func(*config.Settings){s.httpServer.UpdateClasses}, log: s.log}
	s.succession = &succession{classNames: s.updater.classNames, encodePublished: s.updater.encodePublished, table: s.table,
		engine: s.engine, predecessor: connectPredecessor(s.cfg, s.log), effects: s.httpProxy.InFlight, log: s.log}
	s.limits = &resourceLimits{memory: s.memory, sockets: s.sockets, pool: s.pool, side: s.side, engine: s.engine}
	if s.succession.predecessor != nil {
		s.limits.addProcesses(1) // before its state is taken over, which is divided already
	}
	s.persister = newStatePersister(s.operator.State, s.cfg, s.succession, s.log)
}

// attachAudit has the audit agent gate and log what the other parts do.
func (s *sidecar) attachAudit() {
	audit := newAuditAgent(s.operator.Audit, s.cfg, s.persister, s.succession, s.log)
	if audit == nil {
		return
	}
	s.audit = audit
	audit.auditLog.Names(func(class int, endpoint balance.EndpointID) (string, string) {
		return s.updater.classNames()[class], s.table.Name(endpoint)
	})
	audit.recordStart(s.cfg, s.engine.SetVersion)
	s.updater.audit, s.succession.audit, s.table.Versions = audit, audit, audit
	for _, proxy := range s.proxies() {
		proxy.Gate, proxy.AuditLog = audit, audit.auditLog
	}
	s.httpServer.Gate, s.pool.CanSend = audit, audit.AllowsAttempts
	s.watcher.OnUpdate, audit.refreshList = audit.confirmList, s.watcher.Refresh
}

// restoreState takes over what the process before this one hands over; else what the disk has; else the platform's list.
func (s *sidecar) restoreState() {
	predecessor := s.succession.predecessor
	s.hasList = len(s.cfg.CachedList.Members) > 0
	s.cfg.CachedList.From = "known"
	// A running predecessor's list is current, and a single instance can't overload anybody by an old one.
	s.table.StaleCache = s.operator.Discovery != nil && predecessor == nil && s.cfg.Settings.Instances > 1
	switch {
	case predecessor != nil && s.succession.takeOver(), s.persister.restore(s.cfg):
		s.hasList = true
	case s.hasList: // an empty list would mislead the engine's measure of load
		s.table.Apply(balance.ListCached, s.cfg.CachedList)
	}
	promise := s.persister.startJournal()
	for _, proxy := range s.proxies() {
		proxy.FlushJournal = promise
	}
}

// handshakeLimit returns the bound on new connections at each upstream host; zero where the operator's file states none.
func handshakeLimit(fleet *config.Fleet, settings *config.Settings) pacing.HandshakeLimit {
	if fleet == nil {
		return pacing.HandshakeLimit{}
	}
	return pacing.HandshakeLimit{MaxHandshakes: fleet.Handshakes, Instances: settings.Instances, Numbered: fleet.Numbered}
}

// newThriftProxy returns the proxy of streams over Thrift, on the same engine and on connections of the same pool.
func newThriftProxy(options *config.Thrift, engine *driver.Driver, pool *upstream.Pool, log zerolog.Logger) *stream.Proxy {
	pool.ConnectOnly = options.UpstreamPort == 0
	return &stream.Proxy{Driver: engine, Log: log, Upstream: &upstream.Thrift{Pool: pool, Port: uint16(options.UpstreamPort),
		Limits: thrift.Limits(options.MaxMessage), OverloadException: options.RejectedType}}
}
