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
	maxClientConns   = 2 * settingsstore.MaxWatches // connections of sidecars and distributors: as many idle ones as watches
	maxOperatorConns = 24                           // connections of operators
	maxHeaderBytes   = 8 << 10                      // bytes of a call but for its body
	headerTimeout    = 5 * time.Second              // a call's head, from its connection's opening on
	idleTimeout      = time.Minute                  // to the next call on a connection
	writeTimeout     = 5 * time.Second              // an answer whole: a slow reader holds it no longer
	shutdownTimeout  = 2 * time.Second              // calls, once all watches have been answered
)

// Distributor is one.
type Distributor struct {
	cfg   Config
	log   zerolog.Logger
	start time.Time

	mu         sync.Mutex // never held over I/O
	store      *settingsstore.Store
	watchWakes map[uint64]chan struct{} // watches that are to be answered now; each has room for one
	dirty      map[string]bool          // services that are not kept as they are held

	writeMu        sync.Mutex // of publishing, and of the disk; before mu
	disk           persistence.Disk
	writeRequested chan struct{} // something is dirty; has room for one
	shuttingDown   chan struct{}
}

// New returns a distributor that holds what is kept on its disk. Without peers, a file that can't be read is an error: nobody else
// knows what stood in it.
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

// Run is a distributor's life by its file, until ctx ends. An error says why it could not start, or went on no more.
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
	asked, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("distributor: listen: %w", err)
	}
	operators, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		return fmt.Errorf("distributor: control: %w", errors.Join(err, asked.Close()))
	}
	return d.Serve(ctx, asked, operators)
}

// Serve answers sidecars and distributors at one listener and operators at the other, and asks its peers, until ctx ends: then all
// watches are answered at once. It closes the listeners. An error is that of a listener.
func (d *Distributor) Serve(ctx context.Context, asked, operators net.Listener) error {
	d.log.Info().Stringer("addr", asked.Addr()).Stringer("control", operators.Addr()).Str("name", d.cfg.Name).
		Int("services", len(d.store.Services())).Bool("starting", d.store.Starting()).Msg("distributor listening")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var all sync.WaitGroup
	serve := func(l net.Listener, most int, h http.Handler) *http.Server {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: settingsstore.MaxWait + writeTimeout,
			MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, ErrorLog: stdlog.New(d.log, "", 0)}
		all.Go(func() {
			if err := srv.Serve(&limitedListener{Listener: l, slots: make(chan struct{}, most)}); err != http.ErrServerClosed {
				cancel(fmt.Errorf("distributor: %w", err))
			}
		})
		return srv
	}
	servers := []*http.Server{serve(asked, maxClientConns, http.HandlerFunc(d.handleRequest)), serve(operators, maxOperatorConns, http.HandlerFunc(d.handleControl))}
	for _, addr := range d.cfg.Peers {
		all.Go(func() { d.followPeer(ctx, addr) })
	}
	all.Go(func() { d.runWriter(ctx) })

	<-ctx.Done()
	close(d.shuttingDown)
	within, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer stop()
	for _, srv := range servers {
		if srv.Shutdown(within) != nil {
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

// now is the time since its beginning.
func (d *Distributor) now() time.Duration { return time.Since(d.start) }

// merge takes a record in and has all who wait for it be answered. The disk may be behind.
func (d *Distributor) merge(r *settingsstore.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	former := d.store.Record(r.Service)
	keep, told, err := d.store.Merge(r)
	if err != nil || keep == nil {
		return err
	}
	d.wakeWatches(told)
	d.dirty[r.Service] = true
	d.requestWrite()
	if o := keep.Overruled; o != nil && (former == nil || former.Overruled == nil || former.Overruled.Edition != o.Edition) {
		d.log.Warn().Str("service", r.Service).Stringer("overruled", o.Edition).Stringer("by", keep.Edition).
			Msg("of two changes made apart one has lost")
	}
	return nil
}

// answer has watches be answered. The caller holds mu.
func (d *Distributor) wakeWatches(told []uint64) {
	for _, id := range told {
		select {
		case d.watchWakes[id] <- struct{}{}:
		default: // it has been woken, or has ended
		}
	}
}

// wait waits for a watch to be told, for its time to be over, for who asked to leave, or for the distributor's end.
func (d *Distributor) waitForWatch(ctx context.Context, wake <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
	case <-d.shuttingDown:
	}
}

// limited holds so many connections at most as room has; one more is closed at once.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept returns the next connection that there is room for.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection, and makes room for another one.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
