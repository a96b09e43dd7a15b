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
	reservedSockets = 32                     // for discovery, the listener and the runtime
	heapFraction = 0.7                    // of the limit, for the heap: the rest is stacks and the kernel's
	effectsDivisor = 64                     // of the limit, for effects that are remembered
	journalEffectsDivisor = 16                     // the same where a journal promises to know them
	bytesPerEffect = 512                    // of one, about
	bodiesDivisor  = 16                     // of the limit, for the bodies of callers' requests; attempts copy them
	syncTimeout  = 300 * time.Millisecond // after which the known list has to do

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
		rec, log = startRecorder(cfg, op.Record, log)
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
func startRecorder(cfg *config.Config, o *config.Record, log zerolog.Logger) (*accesslog.Recorder, zerolog.Logger) {
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
	debug.SetMemoryLimit(int64(heapFraction * float64(memory)))
	sockets := cfg.Limits.Sockets - reservedSockets
	if cfg.Control != "" {
		sockets -= control.Most
	}

	set := &cfg.Settings
	pool := upstream.NewPool(set.ConnectTimeout, set.ConnIdle, sockets/2)
	pool.Guard(handshakeLimit(op.Fleet, set))
	eng, err := driver.New(set.Settings, cfg.Seed, pool, log)
	if err != nil {
		return err
	}
	streams := &stream.Proxy{Engine: eng, Upstream: pool, Log: log}
	if cfg.Control != "" || op.State != nil && op.State.Journal { // there may be another process beside this one, or after it
		part := int64(effectsDivisor)
		if op.State != nil && op.State.Journal {
			part = journalEffectsDivisor
		}
		streams.Effects = inflight.New(int(memory / part / bytesPerEffect))
	}
	if op.Budget != nil {
		streams.Budget = stream.NewBudget(op.Budget.Accounts(set), cfg.Seed, targetLatencies(set), log)
	}
	side := downstream.NewSide(set, memory/bodiesDivisor, sockets-sockets/2, log)
	srv := downstream.New(set, side, streams, log)
	table := cluster.NewTable(set.ZoneNames, set.KindNames, pool, eng)
	var overThrift *stream.Proxy
	if op.Thrift != nil {
		overThrift = thriftProxy(op.Thrift, eng, pool, log)
		overThrift.Budget = streams.Budget // one retry budget; a call carries nothing either way
		overThrift.Effects = streams.Effects
	}
	if rec != nil {
		streams.Observer, table.Observer, rec.Open = rec, rec, streams.Out
		if overThrift != nil {
			overThrift.Observer = rec
			rec.Open = func() int { return streams.Out() + overThrift.Out() }
		}
	}
	tuned := &configUpdater{cfg: cfg, operator: op, engine: eng, pool: pool, side: side, table: table, budget: streams.Budget, recorder: rec,
		onClassesChanged: []func(*config.Settings){srv.Reclass}, log: log}
	next := &succession{classNames: tuned.classNames, encodePublished: tuned.encodePublished, table: table, engine: eng, predecessor: connectPredecessor(cfg, log), effects: streams.Effects, log: log}
	shares := &resourceLimits{memory: memory, sockets: sockets, pool: pool, side: side, engine: eng}
	if next.predecessor != nil {
		shares.addProcesses(1) // before what it hands over, which is its part already
	}
	known := len(cfg.Known.Members) > 0
	cfg.Known.From = "known"
	// What a process hands over is of the present; and one instance alone pushes nobody over.
	table.Old = op.Discovery != nil && next.predecessor == nil && set.Instances > 1
	moves := make(chan string)
	watch := &cluster.Watcher{Addr: cfg.Discovery, Moves: moves, Table: table, Log: log,
		Rand: rand.New(rand.NewPCG(cfg.Seed, discoveryStream))}
	keep := newStatePersister(op.State, cfg, next, log)
	audit := newAuditAgent(op.Audit, cfg, keep, next, log)
	if audit != nil {
		audit.auditLog.Names(func(class int, host balance.EndpointID) (string, string) {
			return tuned.classNames()[class], table.Name(host)
		})
		audit.recordStart(cfg, eng.Adopt)
		tuned.audit, next.audit, table.Versions = audit, audit, audit
		for _, p := range []*stream.Proxy{streams, overThrift} {
			if p != nil {
				p.Gate, p.Trail = audit, audit.auditLog
			}
		}
		srv.Gate, pool.Sends = audit, audit.Sends
		watch.Heard, audit.refreshList = audit.confirmList, watch.Refresh
	}
	switch {
	case next.predecessor != nil && next.takeOver(), keep.restore(cfg):
		known = true
	case known: // from none at all the decisions would take a wrong measure
		table.Apply(balance.ListCached, cfg.Known)
	}
	streams.Promise = keep.startJournal()
	if overThrift != nil {
		overThrift.Promise = streams.Promise
	}
	// Before anything listens: from then on the kernel accepts connections, which an end at once would reset.
	ending, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := openListener(next.predecessor, cfg, cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fronts := []downstream.Front{srv.Front(l)}
	fronts[0].Addr = cfg.Listen
	if overThrift != nil {
		tl, err := openListener(next.predecessor, cfg, op.Thrift.Listen)
		if err != nil {
			return fmt.Errorf("listen: thrift.listen: %w", err)
		}
		log.Info().Stringer("addr", tl.Addr()).Msg("listening for Thrift")
		server := thrift.New(op.Thrift, set, side, overThrift, log)
		tuned.onClassesChanged = append(tuned.onClassesChanged, server.Reclass)
		front := server.Front(tl)
		front.Addr = op.Thrift.Listen
		fronts = append(fronts, front)
	}
	if next.predecessor != nil {
		next.predecessor.CloseUnused() // of a front that this process doesn't have
	}
	log.Info().Stringer("addr", l.Addr()).Msg("listening")
	if cfg.Control != "" {
		cl, err := net.Listen("tcp", cfg.Control)
		if err != nil {
			return fmt.Errorf("listen: LB_CONTROL: %w", err)
		}
		operators := control.New(srv.Takes, next, audit.controlAudit(), log)
		defer operators.Close() // calls are answered for as long as the process runs
		go func() { _ = operators.Serve(control.Listener(cl)) }()
		log.Info().Stringer("addr", cl.Addr()).Msg("listening for operators")
	}
	life, end := context.WithCancel(context.Background()) // discovery is heard until the last stream has ended
	defer end()
	go pool.Sweep(life)
	up := make(chan struct{})
	next.newServer(cfg, fronts, side, shares)
	var served sync.WaitGroup
	defer served.Wait()
	settled := tuned.watchPublished(life, op.Settings, next.inheritedSettings())
	ready := sync.OnceFunc(func() {
		served.Go(func() {
			<-settled // soon
			next.run(life, func() {
				close(up)
				srv.Ready()
			}, shares)
		})
	})
	if known { // without any host there is nothing to be ready for
		within := syncTimeout
		if op.Discovery != nil { // it may be long until the service is asked
			within = 0
		}
		late := time.AfterFunc(within, ready)
		defer late.Stop()
	}
	go tuned.run(life, hups, moves)
	if op.Discovery != nil {
		watch.Paced, watch.Rand = newPaced(op.Discovery, cfg, table)
	}
	if fleet := op.Fleet; fleet != nil && known {
		watch.After = time.Duration(rand.Float64() * float64(fleet.Spread.D()))
	}
	go watch.Run(life, ready)
	if next.predecessor != nil { // which serves them until then
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
		keep.close(followed.Load())
	}()
	err = side.Run(ending, fronts...)
	followed.Store(side.IsFollowed())
	end()
	select {
	case <-kept:
	case <-time.After(finalWriteTimeout): // the disk is slow
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
func newPaced(d *config.Discovery, cfg *config.Config, table *cluster.Table) (*cluster.Paced, *rand.Rand) {
	p := &cluster.Paced{Whole: d.Whole.D(), Fleet: d.Fleet(cfg.Settings.Instances)}
	if d.Resume {
		p.Since = table.Held().List.Revision
	}
	return p, rand.New(rand.NewPCG(cfg.Seed^rand.Uint64(), discoveryStream))
}

// open opens an address for clients, or takes it over. Where operators can call, it may be shared with a process that
// can't hand it over.
func openListener(former *handover.Predecessor, cfg *config.Config, addr string) (net.Listener, error) {
	if former != nil {
		if l := former.TakeListener(addr); l != nil {
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
func thriftProxy(o *config.Thrift, eng *driver.Engine, pool *upstream.Pool, log zerolog.Logger) *stream.Proxy {
	pool.ConnectOnly = o.UpstreamPort == 0
	return &stream.Proxy{Engine: eng, Log: log, Upstream: &upstream.Thrift{Pool: pool, Port: uint16(o.UpstreamPort),
		Limits: thrift.Limits(o.MostMessage), TurnedAway: o.TurnedAway}}
}
