package settingsserver

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/settingsstore"
)

const (
	maxClientConns   = 2 * settingsstore.MaxWatches // of sidecars and distributors: as many idle ones as watches
	maxOperatorConns = 24                           // of operators
	maxHeaderBytes   = 8 << 10                      // of a call, without its body
	headerTimeout    = 5 * time.Second              // for a call's header, from the start of its connection
	idleTimeout      = time.Minute                  // to the next call on a connection
	writeTimeout     = 5 * time.Second              // for a whole answer: bounds slow readers
	shutdownTimeout  = 2 * time.Second              // for calls, once all watches have been answered
)

// Distributor serves the settings that it keeps on a disk.
type Distributor struct {
	cfg   Config
	log   zerolog.Logger
	start time.Time

	mu         sync.Mutex // never held over I/O
	store      *settingsstore.Store
	watchWakes map[uint64]chan struct{} // by watch; signalled when it is to be answered, buffered
	dirty      map[string]bool          // services whose record on the disk is out of date

	writeMu        sync.Mutex // of publishing, and of the disk; taken before mu
	disk           persistence.Disk
	writeRequested chan struct{} // something is dirty; buffered
	shuttingDown   chan struct{}
}

// New returns a distributor with the records on its disk. Without peers, a file that can't be read is an error, for nobody else
// has what was in it.
func New(cfg Config, disk persistence.Disk, log zerolog.Logger) (*Distributor, error) {
	d := &Distributor{cfg: cfg, log: log, start: time.Now(), watchWakes: map[uint64]chan struct{}{}, dirty: map[string]bool{},
		disk: disk, writeRequested: make(chan struct{}, 1), shuttingDown: make(chan struct{})}
	records, faults, err := loadRecords(disk)
	if err != nil {
		return nil, fmt.Errorf("distributor: dir: %w", err)
	}
	if len(faults) > 0 && len(cfg.Peers) == 0 {
		return nil, fmt.Errorf("distributor: dir: %w", errors.Join(faults...))
	}
	for _, fault := range faults {
		log.Error().Err(fault).Msg("kept settings can't be read; other distributors are asked")
	}
	d.store = settingsstore.NewStore(cfg.Name, rand.Text()[:16], cfg.Peers, len(records) > 0 && len(faults) == 0)
	for _, r := range records {
		if _, _, err := d.store.Merge(r); err != nil {
			return nil, fmt.Errorf("distributor: dir: %w", err)
		}
	}
	return d, nil
}

// Run runs a distributor until ctx is done. An error says why it could not start, or ended earlier.
func Run(ctx context.Context, cfg Config, log zerolog.Logger) error {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return fmt.Errorf("distributor: dir: %w", err)
	}
	disk := persistence.Dir(cfg.Dir)
	unlock, err := disk.Lock("lock")
	if err != nil {
		return fmt.Errorf("distributor: dir: %w", err)
	}
	if unlock == nil {
		return fmt.Errorf("distributor: dir: %s is another process's", cfg.Dir)
	}
	defer unlock()
	d, err := New(cfg, disk, log)
	if err != nil {
		return err
	}
	clients, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("distributor: listen: %w", err)
	}
	operators, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		return fmt.Errorf("distributor: control: %w", errors.Join(err, clients.Close()))
	}
	return d.Serve(ctx, clients, operators)
}

// Serve serves sidecars and distributors at one listener and operators at the other, and follows its peers, until ctx is done:
// then it answers all watches at once. It closes the listeners. An error is that of a listener.
func (d *Distributor) Serve(ctx context.Context, clients, operators net.Listener) error {
	d.log.Info().Stringer("addr", clients.Addr()).Stringer("control", operators.Addr()).Str("name", d.cfg.Name).
		Int("services", len(d.store.Services())).Bool("starting", d.store.Starting()).Msg("distributor listening")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var all sync.WaitGroup
	serve := func(l net.Listener, maxConns int, h http.Handler) *http.Server {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: settingsstore.MaxWait + writeTimeout,
			MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, ErrorLog: stdlog.New(d.log, "", 0)}
		all.Go(func() {
			if err := srv.Serve(&limitedListener{Listener: l, slots: make(chan struct{}, maxConns)}); !errors.Is(err, http.ErrServerClosed) {
				cancel(fmt.Errorf("distributor: %w", err))
			}
		})
		return srv
	}
	servers := []*http.Server{
		serve(clients, maxClientConns, http.HandlerFunc(d.handleRequest)),
		serve(operators, maxOperatorConns, http.HandlerFunc(d.handleControl)),
	}
	for _, addr := range d.cfg.Peers {
		all.Go(func() { d.followPeer(ctx, addr) })
	}
	all.Go(func() { d.runWriter(ctx) })

	<-ctx.Done()
	close(d.shuttingDown)
	shutdownCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer stop()
	for _, srv := range servers {
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close()
		}
	}
	all.Wait()
	d.log.Info().Msg("distributor ends")
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// now returns the time since the start, as the store counts it.
func (d *Distributor) now() time.Duration { return time.Since(d.start) }

// merge merges a record and answers all that wait for it. It is written to the disk afterwards.
func (d *Distributor) merge(r *settingsstore.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.store.Record(r.Service)
	changed, ready, err := d.store.Merge(r)
	if err != nil || changed == nil {
		return err
	}
	d.wakeWatches(ready)
	d.dirty[r.Service] = true
	d.requestWrite()
	if o := changed.Overruled; o != nil && (before == nil || before.Overruled == nil || before.Overruled.Edition != o.Edition) {
		d.log.Warn().Str("service", r.Service).Stringer("overruled", o.Edition).Stringer("by", changed.Edition).
			Msg("of two changes made apart one has lost")
	}
	return nil
}

// wakeWatches has watches be answered. The caller holds mu.
func (d *Distributor) wakeWatches(ids []uint64) {
	for _, id := range ids {
		select {
		case d.watchWakes[id] <- struct{}{}:
		default: // it was signalled already, or has ended
		}
	}
}

// waitForWatch returns when a watch is to be answered, its time is over, its request is cancelled, or the distributor shuts
// down.
func (d *Distributor) waitForWatch(ctx context.Context, wake <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
	case <-d.shuttingDown:
	}
}
