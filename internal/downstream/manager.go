package downstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
)

// How a planned end goes, from SIGTERM on. New connections come for 0.2 to 0.4 s more; SIGKILL comes 0.7 s
// after the longest deadline, counted as 3 s at most, at the soonest.
const (
	maxCountedDeadline    = 3 * time.Second
	killAfter             = 700 * time.Millisecond // beyond the longest deadline
	closeListenersBefore  = 250 * time.Millisecond // SIGKILL: nothing new is taken from then on
	redirectBefore        = 800 * time.Millisecond // that: where there are other sidecars, clients are sent there with their answers
	redirectBeforeIfAlone = 100 * time.Millisecond // that: where there are none, clients are told all the same, or requests cross the close
	cancelStreamsBefore   = 150 * time.Millisecond // SIGKILL: whatever is not answered is failed
	cancelRelaysBefore    = 100 * time.Millisecond // SIGKILL: answers that are still being passed on are cut off
	exitBefore            = 50 * time.Millisecond  // SIGKILL
	minSpareConns         = 4                      // connections that are to stay free then,
	spareMinStreams       = 8                      // once so many streams are open,
	spareMaxInstances     = 2                      // where there are so many sidecars at most: of more, one is up in any rolling restart
)

// How long callers may take, on every front.
const (
	MessageTimeout = 2 * time.Second // a message whole, from its first byte on, over Thrift
	HeaderTimeout  = 3 * time.Second // an HTTP message's head: clients take 2 s, and may have waited for the core
	IdleTimeout    = 2 * time.Minute // between messages
)

// Manager is what the fronts of a sidecar share: the bounds on what callers can make it hold, and its planned end.
type Manager struct {
	// After times the steps of a planned end: time.After.
	After func(time.Duration) <-chan time.Time

	log           zerolog.Logger
	settings      atomic.Pointer[managerSettings]
	streamCtx     context.Context // of all streams
	cancelStreams context.CancelFunc
	relayCtx      context.Context // ends when no answer is passed on any more
	cancelRelays  context.CancelFunc

	limiter       *connLimiter
	activeStreams atomic.Int64
	bodyBytes     atomic.Int64
	maxBodyBytes  atomic.Int64 // bytes of all bodies together
	draining      atomic.Bool  // the front is to send no more
	redirecting   atomic.Bool  // its clients are to go to other sidecars, or nowhere
	succeeded     atomic.Bool  // another process serves the same clients
}

// terms are what the settings say of a side.
type managerSettings struct {
	maxStreams   int64
	alone        bool          // there is no other sidecar for the clients
	fewInstances bool          // or there may be none at a moment, in a rolling restart
	drainTimeout time.Duration // a planned end takes this long at most
}

func newManagerSettings(s *config.Settings) *managerSettings {
	var longest time.Duration
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Deadline)
	}
	return &managerSettings{maxStreams: int64(s.MaxHeld), alone: s.Instances == 1, fewInstances: s.Instances <= spareMaxInstances,
		drainTimeout: min(longest, maxCountedDeadline) + killAfter - exitBefore}
}

// Frontend is one protocol on one listener. http.Server has the methods that its Server needs.
type Frontend struct {
	Addr     string // as configured
	Listener net.Listener
	Server   interface {
		// Serve takes connections until Shutdown or Close.
		Serve(l net.Listener) error
		// Shutdown takes no more, and returns when what was taken is answered and its connections are closed,
		// or with ctx's error.
		Shutdown(ctx context.Context) error
		// Close closes what is left.
		Close() error
	}
}

// NewManager returns a side that holds so many bytes of bodies and has so many connections at most.
func NewManager(s *config.Settings, bodiesMost int64, connsMost int, log zerolog.Logger) *Manager {
	side := &Manager{log: log, After: time.After, limiter: newConnLimiter(connsMost)}
	side.maxBodyBytes.Store(bodiesMost)
	side.UpdateSettings(s)
	side.relayCtx, side.cancelRelays = context.WithCancel(context.Background())
	life, cut := context.WithCancelCause(context.Background())
	side.streamCtx, side.cancelStreams = life, func() { cut(streamsCancelledError{side.relayCtx}) }
	return side
}

// streamsCancelledError is why Life has ended.
type streamsCancelledError struct{ relayCtx context.Context }

func (streamsCancelledError) Error() string { return "downstream: all is cut" }

// afterRelayAbort has stop be called when an answer that is being passed on is to be given up: as soon as its message's context ends
// with the client's leaving, and a moment after the cut, for what has come from the host by then is to reach the client.
func afterRelayAbort(ctx context.Context, stop func()) (done func() bool) {
	return context.AfterFunc(ctx, func() {
		if cut, is := context.Cause(ctx).(streamsCancelledError); is {
			<-cut.relayCtx.Done()
		}
		stop()
	})
}

// UpdateSettings takes over changed settings.
func (s *Manager) UpdateSettings(set *config.Settings) { s.settings.Store(newManagerSettings(set)) }

// SetLimits changes how many bytes of bodies and how many connections there are at most.
func (s *Manager) SetLimits(bodiesMost int64, connsMost int) {
	s.maxBodyBytes.Store(bodiesMost)
	s.limiter.setMax(connsMost)
}

// SetSucceeded says whether another process serves the same clients from the same listeners: a planned end then leaves all
// that is new to it.
func (s *Manager) SetSucceeded(on bool) { s.succeeded.Store(on) }

// IsSucceeded says what Followed was last told.
func (s *Manager) IsSucceeded() bool { return s.succeeded.Load() }

// StreamContext ends when whatever is not answered by then is to be failed.
func (s *Manager) StreamContext() context.Context { return s.streamCtx }

// StartStream counts a stream in that came to that address; each has to Leave. Without room it is to be refused.
func (s *Manager) StartStream(at net.Addr) (room bool) {
	held := s.activeStreams.Add(1)
	return held <= s.settings.Load().maxStreams && !s.lowOnConnections(held, at)
}

// EndStream counts a stream out.
func (s *Manager) EndStream() { s.activeStreams.Add(-1) }

// lowOnConnections tells whether the clients of a front are about to find no connection free where no other will be had: they would
// take the sidecar for dead and leave those that they have. Whether the other one that the settings name is up can't be known.
func (s *Manager) lowOnConnections(held int64, at net.Addr) bool {
	return s.settings.Load().fewInstances && !s.succeeded.Load() && s.draining.Load() && held >= spareMinStreams && s.limiter.countInactive(at) < minSpareConns
}

// ReserveBytes counts n more bytes of bodies, unless that are too many.
func (s *Manager) ReserveBytes(n int) bool {
	if s.bodyBytes.Add(int64(n)) > s.maxBodyBytes.Load() {
		s.ReleaseBytes(n)
		return false
	}
	return true
}

// ChargeBytes counts n more bytes in any case: what has to be kept until somebody takes it leaves less room for others.
func (s *Manager) ChargeBytes(n int) { s.bodyBytes.Add(int64(n)) }

// ReleaseBytes gives back what was counted by Keep or Owe.
func (s *Manager) ReleaseBytes(n int) { s.bodyBytes.Add(-int64(n)) }

// ConnStateChanged follows a connection's states, in net/http's words: New when it was accepted, Active from a message's
// first byte to its answer, Idle, and Closed at last.
func (s *Manager) ConnStateChanged(conn net.Conn, state http.ConnState) {
	s.limiter.setState(conn, state)
}

// ExpireRead has the reading of a connection end as if its time were over, unless something has come that is not read yet. One that
// has just come is left to bring it, until all is cut.
func (s *Manager) ExpireRead(conn net.Conn) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if q, is := s.limiter.inactive[conn]; !is || s.limiter.closeNewConns || !s.limiter.isFresh(q) {
		expireRead(conn)
	}
}

// ClosesConnections tells whether a connection is to be closed with its answers, for its client to go to another sidecar.
func (s *Manager) ClosesConnections() bool {
	return s.draining.Load() && (s.redirecting.Load() || s.succeeded.Load())
}

// Run serves until ctx ends and what was taken is answered.
func (s *Manager) Run(ctx context.Context, fronts ...Frontend) error {
	defer s.cancelRelays()
	defer s.cancelStreams()
	ended := make(chan error, len(fronts))
	var listeners []*limitedListener
	for _, f := range fronts {
		l := &limitedListener{Listener: f.Listener, limiter: s.limiter}
		listeners = append(listeners, l)
		go func() { ended <- f.Server.Serve(l) }()
	}
	select {
	case err := <-ended:
		s.closeAll(fronts)
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	}
	return s.drain(fronts, listeners)
}

// drain ends the fronts in steps. Listening goes on while connections may come, or they would be reset
// with what had been written to them. Clients keep theirs and are served as long as they can be: whether
// another sidecar is up to take them can't be known here, and in a rolling restart of two there may be none. Where
// there are others, the last answers close their connections. No new ones come, and a client
// that finds all of them busy takes the sidecar for dead: so in a crowd, a request that comes on the last ones is
// turned away at once, where there is one other sidecar at most, which may be about to start. Idle ones are closed
// last, when hardly any request can cross that: clients that have no other sidecar, too, are told to go with the last answers
// before. What can't be answered before SIGKILL is failed. Where another process
// has taken over, nothing new comes here: clients keep what they have until its next answer, and all ends with the last one.
func (s *Manager) drain(fronts []Frontend, listeners []*limitedListener) error {
	followed, terms := s.succeeded.Load(), s.settings.Load()
	s.log.Info().Int64("held", s.activeStreams.Load()).Bool("followed", followed).Msg("draining")
	from := time.Now()
	s.draining.Store(true)
	kill := terms.drainTimeout + exitBefore
	leave := kill - closeListenersBefore
	switch before := redirectBefore; {
	case followed: // the queue of connections is the successor's too, so that nothing is lost by letting go of it
		for _, f := range fronts {
			_ = f.Listener.Close()
		}
	default:
		if terms.alone {
			before = redirectBeforeIfAlone
		}
		<-s.After(leave - before)
		s.redirecting.Store(true)
	}
	s.waitForDrain(followed, leave-time.Since(from))
	ctx, cancel := context.WithDeadline(context.Background(), from.Add(terms.drainTimeout))
	defer cancel()
	last, given := s.After(kill-cancelStreamsBefore-leave), (<-chan time.Time)(nil)
	s.redirecting.Store(true)
	for _, l := range listeners {
		_ = l.Close()
	}
	ended := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { ended <- f.Server.Shutdown(ctx) }() // it may wait for a slow connection beyond its context
	}
	s.limiter.closeIdle()
	for open := len(fronts); open > 0; {
		select {
		case err := <-ended:
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("downstream: shutdown: %w", err)
			}
			open--
		case <-last:
			last = nil
			s.cancelStreams()
			s.limiter.closeInactive()
			given = s.After(cancelStreamsBefore - cancelRelaysBefore)
		case <-given:
			given = nil
			s.cancelRelays()
		case <-ctx.Done():
			s.closeAll(fronts) // what is left is beyond its deadline
			open = 0
		}
	}
	s.log.Info().Int64("held", s.activeStreams.Load()).Dur("after", time.Since(from)).Msg("drained")
	return nil
}

// await waits for so long, or until no connection is open where none can come.
func (s *Manager) waitForDrain(last bool, most time.Duration) {
	var none <-chan struct{}
	if last {
		none = s.limiter.allClosed()
	}
	select {
	case <-none:
	case <-s.After(most):
	}
}

func (s *Manager) closeAll(fronts []Frontend) {
	s.limiter.stopLingering()
	for _, f := range fronts {
		_ = f.Server.Close()
		_ = f.Listener.Close()
	}
}
