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
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond // beyond the longest deadline
	leaveBefore    = 250 * time.Millisecond // SIGKILL: nothing new is taken from then on
	moveBefore     = 800 * time.Millisecond // that: where there are other sidecars, clients are sent there with their answers
	tellBefore     = 100 * time.Millisecond // that: where there are none, clients are told all the same, or requests cross the close
	cutBefore      = 150 * time.Millisecond // SIGKILL: whatever is not answered is failed
	passBefore     = 100 * time.Millisecond // SIGKILL: answers that are still being passed on are cut off
	endBefore      = 50 * time.Millisecond  // SIGKILL
	spareLeast     = 4                      // connections that are to stay free then,
	spareFrom      = 8                      // once so many streams are open,
	spareAmong     = 2                      // where there are so many sidecars at most: of more, one is up in any rolling restart
)

// How long callers may take, on every front.
const (
	ReadWithin = 2 * time.Second // a message whole, from its first byte on, over Thrift
	HeadWithin = 3 * time.Second // an HTTP message's head: clients take 2 s, and may have waited for the core
	IdleWithin = 2 * time.Minute // between messages
)

// Side is what the fronts of a sidecar share: the bounds on what callers can make it hold, and its planned end.
type Side struct {
	// After times the steps of a planned end: time.After.
	After func(time.Duration) <-chan time.Time

	log   zerolog.Logger
	terms atomic.Pointer[terms]
	life  context.Context // of all streams
	cut   context.CancelFunc
	given context.Context // ends when no answer is passed on any more
	give  context.CancelFunc

	conns      *connections
	held       atomic.Int64
	bodies     atomic.Int64
	bodiesMost atomic.Int64 // bytes of all bodies together
	draining   atomic.Bool  // the front is to send no more
	moving     atomic.Bool  // its clients are to go to other sidecars, or nowhere
	followed   atomic.Bool  // another process serves the same clients
}

// terms are what the settings say of a side.
type terms struct {
	mostHeld int64
	alone    bool          // there is no other sidecar for the clients
	last     bool          // or there may be none at a moment, in a rolling restart
	within   time.Duration // a planned end takes this long at most
}

func termsOf(s *config.Settings) *terms {
	var longest time.Duration
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Deadline)
	}
	return &terms{mostHeld: int64(s.MaxPending), alone: s.Instances == 1, last: s.Instances <= spareAmong,
		within: min(longest, longestCounted) + killAfter - endBefore}
}

// Front is one protocol on one listener. http.Server has the methods that its Server needs.
type Front struct {
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

// NewSide returns a side that holds so many bytes of bodies and has so many connections at most.
func NewSide(s *config.Settings, bodiesMost int64, connsMost int, log zerolog.Logger) *Side {
	side := &Side{log: log, After: time.After, conns: newConnections(connsMost)}
	side.bodiesMost.Store(bodiesMost)
	side.Retune(s)
	side.given, side.give = context.WithCancel(context.Background())
	life, cut := context.WithCancelCause(context.Background())
	side.life, side.cut = life, func() { cut(errCut{side.given}) }
	return side
}

// errCut is why Life has ended.
type errCut struct{ given context.Context }

func (errCut) Error() string { return "downstream: all is cut" }

// onGivenUp has stop be called when an answer that is being passed on is to be given up: as soon as its message's context ends
// with the client's leaving, and a moment after the cut, for what has come from the host by then is to reach the client.
func onGivenUp(ctx context.Context, stop func()) (done func() bool) {
	return context.AfterFunc(ctx, func() {
		if cut, is := context.Cause(ctx).(errCut); is {
			<-cut.given.Done()
		}
		stop()
	})
}

// Retune takes over changed settings.
func (s *Side) Retune(set *config.Settings) { s.terms.Store(termsOf(set)) }

// Bound changes how many bytes of bodies and how many connections there are at most.
func (s *Side) Bound(bodiesMost int64, connsMost int) {
	s.bodiesMost.Store(bodiesMost)
	s.conns.bound(connsMost)
}

// Followed says whether another process serves the same clients from the same listeners: a planned end then leaves all
// that is new to it.
func (s *Side) Followed(on bool) { s.followed.Store(on) }

// IsFollowed says what Followed was last told.
func (s *Side) IsFollowed() bool { return s.followed.Load() }

// Life ends when whatever is not answered by then is to be failed.
func (s *Side) Life() context.Context { return s.life }

// Enter counts a stream in that came to that address; each has to Leave. Without room it is to be refused.
func (s *Side) Enter(at net.Addr) (room bool) {
	held := s.held.Add(1)
	return held <= s.terms.Load().mostHeld && !s.runsDry(held, at)
}

// Leave counts a stream out.
func (s *Side) Leave() { s.held.Add(-1) }

// runsDry tells whether the clients of a front are about to find no connection free where no other will be had: they would
// take the sidecar for dead and leave those that they have. Whether the other one that the settings name is up can't be known.
func (s *Side) runsDry(held int64, at net.Addr) bool {
	return s.terms.Load().last && !s.followed.Load() && s.draining.Load() && held >= spareFrom && s.conns.spare(at) < spareLeast
}

// Keep counts n more bytes of bodies, unless that are too many.
func (s *Side) Keep(n int) bool {
	if s.bodies.Add(int64(n)) > s.bodiesMost.Load() {
		s.Free(n)
		return false
	}
	return true
}

// Owe counts n more bytes in any case: what has to be kept until somebody takes it leaves less room for others.
func (s *Side) Owe(n int) { s.bodies.Add(int64(n)) }

// Free gives back what was counted by Keep or Owe.
func (s *Side) Free(n int) { s.bodies.Add(-int64(n)) }

// Changed follows a connection's states, in net/http's words: New when it was accepted, Active from a message's
// first byte to its answer, Idle, and Closed at last.
func (s *Side) Changed(conn net.Conn, state http.ConnState) { s.conns.changed(conn, state) }

// Retire has the reading of a connection end as if its time were over, unless something has come that is not read yet. One that
// has just come is left to bring it, until all is cut.
func (s *Side) Retire(conn net.Conn) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	if q, is := s.conns.quiet[conn]; !is || s.conns.shut || !s.conns.fresh(q) {
		retire(conn)
	}
}

// Closing tells whether a connection is to be closed with its answers, for its client to go to another sidecar.
func (s *Side) Closing() bool { return s.draining.Load() && (s.moving.Load() || s.followed.Load()) }

// Run serves until ctx ends and what was taken is answered.
func (s *Side) Run(ctx context.Context, fronts ...Front) error {
	defer s.give()
	defer s.cut()
	ended := make(chan error, len(fronts))
	var listeners []*limited
	for _, f := range fronts {
		l := &limited{Listener: f.Listener, conns: s.conns}
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
func (s *Side) drain(fronts []Front, listeners []*limited) error {
	followed, terms := s.followed.Load(), s.terms.Load()
	s.log.Info().Int64("held", s.held.Load()).Bool("followed", followed).Msg("draining")
	from := time.Now()
	s.draining.Store(true)
	kill := terms.within + endBefore
	leave := kill - leaveBefore
	switch before := moveBefore; {
	case followed: // the queue of connections is the successor's too, so that nothing is lost by letting go of it
		for _, f := range fronts {
			_ = f.Listener.Close()
		}
	default:
		if terms.alone {
			before = tellBefore
		}
		<-s.After(leave - before)
		s.moving.Store(true)
	}
	s.await(followed, leave-time.Since(from))
	ctx, cancel := context.WithDeadline(context.Background(), from.Add(terms.within))
	defer cancel()
	last, given := s.After(kill-cutBefore-leave), (<-chan time.Time)(nil)
	s.moving.Store(true)
	for _, l := range listeners {
		_ = l.Close()
	}
	ended := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { ended <- f.Server.Shutdown(ctx) }() // it may wait for a slow connection beyond its context
	}
	s.conns.closeIdle()
	for open := len(fronts); open > 0; {
		select {
		case err := <-ended:
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("downstream: shutdown: %w", err)
			}
			open--
		case <-last:
			last = nil
			s.cut()
			s.conns.closeQuiet()
			given = s.After(cutBefore - passBefore)
		case <-given:
			given = nil
			s.give()
		case <-ctx.Done():
			s.closeAll(fronts) // what is left is beyond its deadline
			open = 0
		}
	}
	s.log.Info().Int64("held", s.held.Load()).Dur("after", time.Since(from)).Msg("drained")
	return nil
}

// await waits for so long, or until no connection is open where none can come.
func (s *Side) await(last bool, most time.Duration) {
	var none <-chan struct{}
	if last {
		none = s.conns.none()
	}
	select {
	case <-none:
	case <-s.After(most):
	}
}

func (s *Side) closeAll(fronts []Front) {
	s.conns.abandon()
	for _, f := range fronts {
		_ = f.Server.Close()
		_ = f.Listener.Close()
	}
}
