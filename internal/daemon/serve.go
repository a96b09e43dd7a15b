// Package daemon is the sidecar's process: the wiring of its parts, its configuration read again, its place between the process
// before it and the one after it, and what it keeps on the disk.
package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/control"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/downstream/thrift"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/handover"
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/upstream"
)

const (
	socketsKept = 32                     // for discovery, the listener and the runtime
	memoryShare = 0.7                    // of the limit, for the heap: the rest is stacks and the kernel's
	effectsPart = 64                     // of the limit, for effects that are remembered
	journalPart = 16                     // the same where a journal promises to know them
	effectBytes = 512                    // of one, about
	bodiesPart  = 16                     // of the limit, for the bodies of callers' requests; attempts copy them
	syncWithin  = 300 * time.Millisecond // after which the known list has to do

	discoveryStream = 2 // of the random numbers that the seed gives, the one that spreads calls to discovery
	auditStream     = 3 // and the one that spreads what a floor wants
	settingsStream  = 4 // and the one that spreads calls to distributors
)

// newLog is the sidecar's log, as JSON lines.
func newLog(out io.Writer) zerolog.Logger {
	return zerolog.New(out).Level(zerolog.InfoLevel).
		Sample(&zerolog.BurstSampler{Burst: 50, Period: time.Second}).With().Timestamp().Logger()
}

// Serve serves by the environment and the operator's file, of which there may be none, until SIGTERM. The configuration is
// read again at each of hups. What ends it before its time is in the log, and is returned.
func Serve(operator string, hups <-chan os.Signal) error {
	log := newLog(os.Stderr)
	cfg, err := config.Load(os.Getenv)
	if err == nil {
		err = cfg.Validate()
	}
	var op *config.Operator
	if err == nil {
		op, err = config.LoadOperator(operator)
	}
	if err == nil {
		err = op.Fits(cfg)
	}
	var rec *accesslog.Recorder
	if err == nil {
		if op.Fleet != nil && op.Fleet.Numbered {
			cfg.Settings.Name = ""
		}
		rec, log = recorder(cfg, op.Record, log)
		log = log.With().Str("name", cfg.Name).Logger()
		err = run(cfg, op, rec, hups, log)
	}
	if err != nil {
		log.Error().Err(err).Msg("pinelb ends")
	}
	if rec != nil {
		_ = rec.Close() // a log or file that is blocked can't be told so
	}
	return err
}

// recorder starts to record, if that is asked for, and returns the log that goes with it.
func recorder(cfg *config.Config, o *config.Record, log zerolog.Logger) (*accesslog.Recorder, zerolog.Logger) {
	if o == nil {
		return nil, log
	}
	if o.Log() {
		signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
	}
	rec := accesslog.New(cfg, o, os.Stderr)
	log = newLog(rec.Log())
	rec.Start(log)
	return rec, log
}

func run(cfg *config.Config, op *config.Operator, rec *accesslog.Recorder, hups <-chan os.Signal, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	memory := int64(cfg.Limits.MemoryMB) << 20
	debug.SetMemoryLimit(int64(memoryShare * float64(memory)))
	sockets := cfg.Limits.Sockets - socketsKept
	if cfg.Control != "" {
		sockets -= control.MaxConnections
	}

	set := &cfg.Settings
	pool := upstream.NewPool(set.ConnectTimeout, set.ConnIdle, sockets/2)
	pool.SetHandshakeLimit(handshakeLimit(op.Fleet, set))
	eng, err := driver.New(set.Settings, cfg.Seed, pool, log)
	if err != nil {
		return err
	}
	streams := &stream.Proxy{Driver: eng, Upstream: pool, Log: log}
	if cfg.Control != "" || op.State != nil && op.State.Journal { // there may be another process beside this one, or after it
		part := int64(effectsPart)
		if op.State != nil && op.State.Journal {
			part = journalPart
		}
		streams.InFlight = inflight.New(int(memory / part / effectBytes))
	}
	if op.Budget != nil {
		streams.Budget = stream.NewBudget(op.Budget.Accounts(set), cfg.Seed, aims(set), log)
	}
	side := downstream.NewManager(set, memory/bodiesPart, sockets-sockets/2, log)
	srv := downstream.New(set, side, streams, log)
	table := cluster.NewTable(set.ZoneNames, set.KindNames, pool, eng)
	var overThrift *stream.Proxy
	if op.Thrift != nil {
		overThrift = thriftProxy(op.Thrift, eng, pool, log)
		overThrift.Budget = streams.Budget // one retry budget; a call carries nothing either way
		overThrift.InFlight = streams.InFlight
	}
	if rec != nil {
		streams.Observer, table.Observer, rec.Open = rec, rec, streams.Active
		if overThrift != nil {
			overThrift.Observer = rec
			rec.Open = func() int { return streams.Active() + overThrift.Active() }
		}
	}
	tuned := &tuning{cfg: cfg, op: op, eng: eng, pool: pool, side: side, table: table, budget: streams.Budget, rec: rec,
		reclass: []func(*config.Settings){srv.UpdateClasses}, log: log}
	next := &succession{classes: tuned.classes, inForce: tuned.handed, table: table, eng: eng, former: formerOf(cfg, log), effects: streams.InFlight, log: log}
	shares := &bounds{memory: memory, sockets: sockets, pool: pool, side: side, eng: eng}
	if next.former != nil {
		shares.beside(1) // before what it hands over, which is its part already
	}
	known := len(cfg.Known.Members) > 0
	cfg.Known.From = "known"
	// What a process hands over is of the present; and one instance alone pushes nobody over.
	table.StaleCache = op.Discovery != nil && next.former == nil && set.Instances > 1
	moves := make(chan string)
	watch := &cluster.Watcher{Addr: cfg.Discovery, AddrChanges: moves, Table: table, Log: log,
		Rand: rand.New(rand.NewPCG(cfg.Seed, discoveryStream))}
	keep := newKeeper(op.State, cfg, next, log)
	audit := newAudited(op.Audit, cfg, keep, next, log)
	if audit != nil {
		audit.book.Names(func(class int, host balance.EndpointID) (string, string) {
			return tuned.classes()[class], table.Name(host)
		})
		audit.begins(cfg, eng.SetVersion)
		tuned.audited, next.audited, table.Versions = audit, audit, audit
		for _, p := range []*stream.Proxy{streams, overThrift} {
			if p != nil {
				p.Gate, p.AuditLog = audit, audit.book
			}
		}
		srv.Gate, pool.CanSend = audit, audit.AllowsAttempts
		watch.OnUpdate, audit.refresh = audit.listens, watch.Refresh
	}
	switch {
	case next.former != nil && next.take(), keep.remember(cfg):
		known = true
	case known: // from none at all the decisions would take a wrong measure
		table.Apply(balance.ListCached, cfg.Known)
	}
	streams.FlushJournal = keep.begin()
	if overThrift != nil {
		overThrift.FlushJournal = streams.FlushJournal
	}
	// Before anything listens: from then on the kernel accepts connections, which an end at once would reset.
	ending, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := open(next.former, cfg, cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fronts := []downstream.Frontend{srv.Frontend(l)}
	fronts[0].Addr = cfg.Listen
	if overThrift != nil {
		tl, err := open(next.former, cfg, op.Thrift.Listen)
		if err != nil {
			return fmt.Errorf("listen: thrift.listen: %w", err)
		}
		log.Info().Stringer("addr", tl.Addr()).Msg("listening for Thrift")
		server := thrift.New(op.Thrift, set, side, overThrift, log)
		tuned.reclass = append(tuned.reclass, server.UpdateClasses)
		front := server.Frontend(tl)
		front.Addr = op.Thrift.Listen
		fronts = append(fronts, front)
	}
	if next.former != nil {
		next.former.CloseUnused() // of a front that this process doesn't have
	}
	log.Info().Stringer("addr", l.Addr()).Msg("listening")
	if cfg.Control != "" {
		cl, err := net.Listen("tcp", cfg.Control)
		if err != nil {
			return fmt.Errorf("listen: LB_CONTROL: %w", err)
		}
		operators := control.New(srv.AcceptsStreams, next, audit.calls(), log)
		defer operators.Close() // calls are answered for as long as the process runs
		go func() { _ = operators.Serve(control.NewListener(cl)) }()
		log.Info().Stringer("addr", cl.Addr()).Msg("listening for operators")
	}
	life, end := context.WithCancel(context.Background()) // discovery is heard until the last stream has ended
	defer end()
	go pool.Sweep(life)
	up := make(chan struct{})
	next.wait(cfg, fronts, side, shares)
	var served sync.WaitGroup
	defer served.Wait()
	settled := tuned.watched(life, op.Settings, next.published())
	ready := sync.OnceFunc(func() {
		served.Go(func() {
			<-settled // soon
			next.serves(life, func() {
				close(up)
				srv.SetReady()
			}, shares)
		})
	})
	if known { // without any host there is nothing to be ready for
		within := syncWithin
		if op.Discovery != nil { // it may be long until the service is asked
			within = 0
		}
		late := time.AfterFunc(within, ready)
		defer late.Stop()
	}
	go tuned.follow(life, hups, moves)
	if op.Discovery != nil {
		watch.Pacing, watch.Rand = paced(op.Discovery, cfg, table)
	}
	if fleet := op.Fleet; fleet != nil && known {
		watch.InitialDelay = time.Duration(rand.Float64() * float64(fleet.Spread.D()))
	}
	go watch.Run(life, ready)
	if next.former != nil { // which serves them until then
		select {
		case <-up:
		case <-ending.Done():
		}
	}
	kept := make(chan struct{})
	var followed atomic.Bool
	go func() {
		defer close(kept)
		var noted sync.WaitGroup
		defer noted.Wait()
		noted.Go(func() { audit.run(life) })
		keep.run(life)
		keep.end(followed.Load())
	}()
	err = side.Run(ending, fronts...)
	followed.Store(side.IsSucceeded())
	end()
	select {
	case <-kept:
	case <-time.After(endWithin): // the disk is slow
	}
	return err
}

// handshakeLimit is the bound on new connections at each upstream host; there is none where the operator's file states none.
func handshakeLimit(f *config.Fleet, set *config.Settings) pacing.HandshakeLimit {
	if f == nil {
		return pacing.HandshakeLimit{}
	}
	return pacing.HandshakeLimit{Handshakes: f.Handshakes, Instances: set.Instances, Numbered: f.Numbered}
}

// paced is how the list service is asked where the operator's file says that it is one for many. The random numbers are not
// the seed's alone: sidecars that were given the same one must not ask in the same moments.
func paced(d *config.Discovery, cfg *config.Config, table *cluster.Table) (*cluster.Pacing, *rand.Rand) {
	p := &cluster.Pacing{ResyncInterval: d.Whole.D(), Fleet: d.Fleet(cfg.Settings.Instances)}
	if d.Resume {
		p.Revision = table.Snapshot().List.Revision
	}
	return p, rand.New(rand.NewPCG(cfg.Seed^rand.Uint64(), discoveryStream))
}

// open opens an address for clients, or takes it over. Where operators can call, it may be shared with a process that
// can't hand it over.
func open(former *handover.Former, cfg *config.Config, addr string) (net.Listener, error) {
	if former != nil {
		if l := former.Take(addr); l != nil {
			return l, nil
		}
	}
	var lc net.ListenConfig
	if cfg.Control != "" {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			var err error
			if fault := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); fault != nil {
				return fault
			}
			return err
		}
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

// thriftProxy serves streams over Thrift by the same decisions, on connections of the same pool.
func thriftProxy(o *config.Thrift, eng *driver.Driver, pool *upstream.Pool, log zerolog.Logger) *stream.Proxy {
	pool.ConnectOnly = o.UpstreamPort == 0
	return &stream.Proxy{Driver: eng, Log: log, Upstream: &upstream.Thrift{Pool: pool, Port: uint16(o.UpstreamPort),
		Limits: thrift.Limits(o.MostMessage), OverloadException: o.TurnedAway}}
}
