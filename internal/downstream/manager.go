package downstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
)

// How long clients may take, at every frontend.
const (
	MessageTimeout = 2 * time.Second // for a complete message from its first byte on, over Thrift
	HeaderTimeout  = 3 * time.Second // for the head of an HTTP request: clients take 2 s, and may have waited for a processor
	IdleTimeout    = 2 * time.Minute // between messages
)

// While draining, this many connections stay free for clients that would otherwise find none.
const (
	minSpareConns     = 4
	spareMinStreams   = 8 // only once so many streams are active
	spareMaxInstances = 2 // only where there are so few sidecars: of more, another one is up in any rolling restart
)

// Manager runs the frontends of a sidecar. It bounds what clients can make it hold (streams, connections, bytes of bodies), and
// drains them at shutdown (Envoy: listener, overload and drain manager). All methods may be called from several goroutines.
type Manager struct {
	// After times the steps of draining. It is time.After, unless a test sets another before Run.
	After func(time.Duration) <-chan time.Time

	log           zerolog.Logger
	settings      atomic.Pointer[managerSettings]
	streamCtx     context.Context // of all streams
	cancelStreams context.CancelFunc
	relayCtx      context.Context // ends when no response is streamed any more
	cancelRelays  context.CancelFunc

	limiter       *connLimiter
	activeStreams atomic.Int64
	bodyBytes     atomic.Int64 // of all bodies
	maxBodyBytes  atomic.Int64
	draining      atomic.Bool // health checks fail
	redirecting   atomic.Bool // connections are closed with their responses
	succeeded     atomic.Bool // another process serves the same clients
}

// managerSettings are the settings that concern a Manager.
type managerSettings struct {
	maxStreams   int64
	alone        bool          // there is no other sidecar for the clients
	fewInstances bool          // there may be no other one for a moment, in a rolling restart
	drainTimeout time.Duration // from SIGTERM on
}

func newManagerSettings(s *config.Settings) *managerSettings {
	var longest time.Duration
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Deadline)
	}
	return &managerSettings{maxStreams: int64(s.MaxPending), alone: s.Instances == 1, fewInstances: s.Instances <= spareMaxInstances,
		drainTimeout: min(longest, maxCountedDeadline) + killAfter - exitBefore}
}

// Frontend is one protocol on one listener.
type Frontend struct {
	Addr     string // as configured
	Listener net.Listener
	// Server has those methods of http.Server that a Manager calls.
	Server interface {
		// Serve accepts connections until Shutdown or Close.
		Serve(l net.Listener) error
		// Shutdown accepts no more, and returns when all that was accepted has its response and the connections are closed,
		// or with ctx's error.
		Shutdown(ctx context.Context) error
		// Close closes the connections that are left.
		Close() error
	}
}

// NewManager returns a manager with bounds on the bytes of all bodies together and on the connections.
func NewManager(s *config.Settings, maxBodyBytes int64, maxConns int, log zerolog.Logger) *Manager {
	m := &Manager{log: log, After: time.After, limiter: newConnLimiter(maxConns)}
	m.maxBodyBytes.Store(maxBodyBytes)
	m.limiter.maxHeadBytes = headBytesPerBody * maxBodyBytes
	m.UpdateSettings(s)
	m.relayCtx, m.cancelRelays = context.WithCancel(context.Background())
	streamCtx, cancel := context.WithCancelCause(context.Background())
	m.streamCtx, m.cancelStreams = streamCtx, func() { cancel(streamsCancelledError{m.relayCtx}) }
	return m
}

// UpdateSettings takes over changed settings.
func (m *Manager) UpdateSettings(set *config.Settings) { m.settings.Store(newManagerSettings(set)) }

// SetLimits changes the bounds on the bytes of bodies and on the connections.
func (m *Manager) SetLimits(maxBodyBytes int64, maxConns int) {
	m.maxBodyBytes.Store(maxBodyBytes)
	m.limiter.setMax(maxConns, headBytesPerBody*maxBodyBytes)
}

// SetSucceeded sets whether another process serves the same clients from the same listeners: draining then leaves everything
// new to it.
func (m *Manager) SetSucceeded(succeeded bool) { m.succeeded.Store(succeeded) }

// IsSucceeded returns what SetSucceeded has set.
func (m *Manager) IsSucceeded() bool { return m.succeeded.Load() }

// StreamContext is the parent of all streams' contexts. It ends when streams without a response are to fail.
func (m *Manager) StreamContext() context.Context { return m.streamCtx }

// StartStream counts a stream that has come to a local address; EndStream is to be called for each. Where it returns false the
// stream is to be rejected.
func (m *Manager) StartStream(local net.Addr) (admitted bool) {
	active := m.activeStreams.Add(1)
	return active <= m.settings.Load().maxStreams && !m.lowOnConnections(active, local)
}

// EndStream ends what StartStream has counted.
func (m *Manager) EndStream() { m.activeStreams.Add(-1) }

// lowOnConnections reports whether the clients of a draining sidecar are about to find no free connection, where there may be
// no other sidecar: they would take this one for dead and leave the connections that they have. Whether the other one that the
// settings state is up can't be known.
func (m *Manager) lowOnConnections(active int64, local net.Addr) bool {
	return m.settings.Load().fewInstances && !m.succeeded.Load() && m.draining.Load() && active >= spareMinStreams &&
		m.limiter.countInactive(local) < minSpareConns
}

// ReserveBytes counts n more bytes of bodies, unless they exceed the bound. ReleaseBytes gives them back.
func (m *Manager) ReserveBytes(n int) bool {
	if m.bodyBytes.Add(int64(n)) > m.maxBodyBytes.Load() {
		m.ReleaseBytes(n)
		return false
	}
	return true
}

// ChargeBytes counts n more bytes even beyond the bound: a response has to be kept until its client reads it, and leaves less
// for others. ReleaseBytes gives them back.
func (m *Manager) ChargeBytes(n int) { m.bodyBytes.Add(int64(n)) }

// ReleaseBytes gives back what was counted by ReserveBytes or ChargeBytes.
func (m *Manager) ReleaseBytes(n int) { m.bodyBytes.Add(-int64(n)) }

// ConnStateChanged records a connection's state. A frontend calls it with StateNew for each accepted connection, StateActive
// from a message's first byte to its response, StateIdle after that, and StateClosed at last.
func (m *Manager) ConnStateChanged(conn net.Conn, state http.ConnState) {
	m.limiter.setState(conn, state)
}

// ExpireRead makes reading a connection fail as if its deadline were over, unless something has come that is not read yet. A
// fresh connection may still bring its first request, until all are closed.
func (m *Manager) ExpireRead(conn net.Conn) {
	m.limiter.mu.Lock()
	defer m.limiter.mu.Unlock()
	if in, known := m.limiter.inactive[conn]; !known || m.limiter.closeNewConns || !m.limiter.isFresh(in) {
		expireRead(conn)
	}
}

// ClosesConnections reports whether a connection is to be closed with its response, for its client to connect to another
// sidecar.
func (m *Manager) ClosesConnections() bool {
	return m.draining.Load() && (m.redirecting.Load() || m.succeeded.Load())
}

// Run serves until ctx ends, and then drains. It returns nil once that is done, and an error where a frontend fails.
func (m *Manager) Run(ctx context.Context, frontends ...Frontend) error {
	defer m.cancelRelays()
	defer m.cancelStreams()
	failed := make(chan error, len(frontends))
	var listeners []*limitedListener
	for _, f := range frontends {
		l := &limitedListener{Listener: f.Listener, limiter: m.limiter}
		listeners = append(listeners, l)
		go func() { failed <- f.Server.Serve(l) }()
	}
	select {
	case err := <-failed:
		m.closeAll(frontends)
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	}
	return m.drain(frontends, listeners)
}

func (m *Manager) closeAll(frontends []Frontend) {
	m.limiter.stopLingering()
	for _, f := range frontends {
		_ = f.Server.Close()
		_ = f.Listener.Close()
	}
}
