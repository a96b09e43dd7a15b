// Package downstream takes streams over HTTP/1.1 and answers them. It also tells the front whether the
// sidecar is ready, and lets it end without losing what it has taken.
package downstream

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// How a planned end goes, from SIGTERM on. New connections come for 0.2 to 0.4 s more; SIGKILL comes 0.7 s
// after the longest deadline, counted as 3 s at most, at the soonest.
const (
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond // beyond the longest deadline
	acceptFor      = 900 * time.Millisecond // where there are other sidecars for the clients
	leaveBefore    = 250 * time.Millisecond // SIGKILL, where there are none
	cutBefore      = 150 * time.Millisecond // SIGKILL: whatever is not answered is failed
	endBefore      = 50 * time.Millisecond  // SIGKILL
	spareLeast     = 4                      // connections that are to stay free then,
	spareFrom      = 8                      // once so many streams are open

	readWithin = 2 * time.Second // a message whole, from its connection or its first byte on
	idleWithin = 2 * time.Minute
	headerMost = 16 << 10
)

// Handler answers streams.
type Handler interface {
	Serve(ctx context.Context, req *stream.Request) stream.Response
	// Refuse answers one for which there is no room here.
	Refuse(req *stream.Request) stream.Response
}

// Server is the side that callers see.
type Server struct {
	classes  map[string]class
	longest  time.Duration // of the classes' deadlines
	mostHeld int64
	streams  Handler
	log      zerolog.Logger
	alone    bool                                 // there is no other sidecar for the clients
	after    func(time.Duration) <-chan time.Time // times the steps of a planned end
	within   time.Duration                        // which takes this long at most

	bodiesMost int64 // bytes of all bodies together

	conns    *connections // while it runs
	held     atomic.Int64
	bodies   atomic.Int64
	ready    atomic.Bool
	draining atomic.Bool // the front is to send no more
}

// New returns a server that is not ready yet, and that holds so many bytes of bodies at most.
func New(s *config.Settings, bodiesMost int64, streams Handler, log zerolog.Logger) *Server {
	srv := &Server{classes: map[string]class{}, mostHeld: int64(s.MaxHeld), streams: streams, log: log,
		alone: s.Instances == 1, bodiesMost: bodiesMost, after: time.After}
	for i, name := range s.ClassNames {
		srv.classes[name] = class{index: i, effect: s.Classes[i].Effect, deadline: s.Classes[i].Deadline}
		srv.longest = max(srv.longest, s.Classes[i].Deadline)
	}
	srv.within = min(srv.longest, longestCounted) + killAfter - endBefore
	return srv
}

// Ready lets the front send streams.
func (s *Server) Ready() { s.ready.Store(true) }

// Run serves on l, with that many connections at most, until ctx ends and what was taken is answered.
func (s *Server) Run(ctx context.Context, l net.Listener, most int) error {
	conns := newConnections(most)
	s.conns = conns
	life, cut := context.WithCancel(context.Background()) // of all streams
	defer cut()
	hs := &http.Server{Handler: s, ReadTimeout: readWithin, IdleTimeout: idleWithin,
		MaxHeaderBytes: headerMost, DisableGeneralOptionsHandler: true,
		BaseContext: func(net.Listener) context.Context { return life }, ConnState: conns.changed, ErrorLog: stdlog.New(s.log, "", 0)}
	ended := make(chan error, 1)
	go func() { ended <- hs.Serve(&limited{Listener: l, conns: conns}) }()
	select {
	case err := <-ended:
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	}
	return s.drain(hs, conns, cut)
}

// drain ends the server in steps. Listening goes on while connections may come, or they would be reset
// with what had been written to them. Where there are other sidecars, every answer from now on closes its
// connection, so that clients go there. Where there is none, clients keep theirs and are served as long as
// they can be. But then no new ones come, and a client that finds all of them busy takes the sidecar for
// dead: so in a crowd, a request that comes on the last ones is turned away at once. Idle ones are closed
// last, when hardly any request can cross that, and what can't be answered before SIGKILL is failed.
func (s *Server) drain(hs *http.Server, conns *connections, cut context.CancelFunc) error {
	s.log.Info().Int64("held", s.held.Load()).Msg("draining")
	from := time.Now()
	s.draining.Store(true)
	kill := s.within + endBefore
	leave := kill - leaveBefore
	if !s.alone {
		leave = min(leave, acceptFor)
	}
	<-s.after(leave)
	ctx, cancel := context.WithDeadline(context.Background(), from.Add(s.within))
	defer cancel()
	last := s.after(kill - cutBefore - leave)
	ended := make(chan error, 1)
	go func() { ended <- hs.Shutdown(ctx) }() // it may wait for a slow connection beyond its context
	conns.closeQuiet()                        // Shutdown would give the silent ones five seconds
	for open := true; open; {
		select {
		case err := <-ended:
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("downstream: shutdown: %w", err)
			}
			open = false
		case <-last:
			last = nil
			cut()
		case <-ctx.Done():
			_ = hs.Close() // what is left is beyond its deadline
			open = false
		}
	}
	s.log.Info().Int64("held", s.held.Load()).Dur("after", time.Since(from)).Msg("drained")
	return nil
}
