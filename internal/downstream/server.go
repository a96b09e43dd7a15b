// Package downstream serves the clients of a sidecar: it accepts connections, reads requests over HTTP/1.1, hands each to a
// Handler as a stream.Request and writes the response. Manager has what the frontends of all protocols share: bounds on what
// clients can make the sidecar hold, and draining. Frontends of other protocols are in packages of their own.
//
// internal/daemon wires it up. The package does network I/O; it decides nothing about upstream hosts.
//
// Invariants: a request that was read gets one response; while draining, a connection is closed only once nothing unread is on
// it; what clients can make the process hold is bounded, whatever they send or don't read.
package downstream

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

const maxHeaderBytes = 16 << 10

// Handler serves streams.
type Handler interface {
	// Serve returns a stream's response. ctx ends when the client leaves.
	Serve(ctx context.Context, req *stream.Request) stream.Response
	// Refuse returns the response to a stream that was rejected for want of capacity here.
	Refuse(req *stream.Request) stream.Response
}

// Server is the frontend for HTTP.
type Server struct {
	*Manager
	Gate stream.Gate // whether the sidecar accepts streams at present; nil: it does. Set before Run

	classes atomic.Pointer[map[string]class]
	tenants atomic.Pointer[map[string]int] // numbers as stream.Request.Tenant has them
	handler Handler
	log     zerolog.Logger
	ready   atomic.Bool
}

// New returns a server that is not ready yet.
func New(s *config.Settings, manager *Manager, handler Handler, log zerolog.Logger) *Server {
	srv := &Server{Manager: manager, handler: handler, log: log}
	srv.classes.Store(&map[string]class{})
	srv.tenants.Store(&map[string]int{})
	srv.UpdateClasses(s)
	return srv
}

// class is a traffic class of the settings.
type class struct {
	index       int // in the settings
	effect      balance.Idempotency
	deadline    time.Duration
	servedUntil time.Time // it has left the settings and is served until then; zero: the settings have it
}

// UpdateClasses takes over changed classes and tenants, by their names; the decisions have them already. A class that has left
// the settings is served for as long as its deadline: clients get the change at other moments, and still have requests of it in
// flight.
func (s *Server) UpdateClasses(set *config.Settings) {
	old, classes, now := *s.classes.Load(), map[string]class{}, time.Now()
	for i, name := range set.ClassNames {
		c := class{index: i, effect: set.Classes[i].Idempotency, deadline: set.Classes[i].Deadline}
		if set.Removed != nil && set.Removed[i] {
			if c = old[name]; c.servedUntil.IsZero() {
				c.servedUntil = now.Add(c.deadline)
			}
		}
		classes[name] = c
	}
	s.classes.Store(&classes)
	tenants := map[string]int{}
	for i, name := range set.TenantNames {
		tenants[name] = i + 1
	}
	s.tenants.Store(&tenants)
}

// class returns the class of a name that is served at that time.
func (s *Server) class(name string, at time.Time) (class, bool) {
	c, known := (*s.classes.Load())[name]
	return c, known && (c.servedUntil.IsZero() || at.Before(c.servedUntil))
}

// SetReady makes health checks succeed.
func (s *Server) SetReady() { s.ready.Store(true) }

// AcceptsStreams reports whether health checks succeed: the sidecar is ready, does not drain, and its gate admits streams.
func (s *Server) AcceptsStreams() bool {
	if !s.ready.Load() || s.draining.Load() {
		return false
	}
	if s.Gate == nil {
		return true
	}
	admits, _ := s.Gate.AcceptsStreams()
	return admits
}

// Frontend returns the server's frontend on l.
func (s *Server) Frontend(l net.Listener) Frontend {
	return Frontend{Listener: l, Server: &httpServer{limiter: s.limiter, serveDone: make(chan struct{}), Server: &http.Server{
		Handler:                      s,
		BaseContext:                  func(net.Listener) context.Context { return s.streamCtx },
		ConnContext:                  withConn,
		ConnState:                    s.ConnStateChanged,
		ReadHeaderTimeout:            HeaderTimeout,
		IdleTimeout:                  IdleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(s.log, "", 0),
	}}}
}

// httpServer is a http.Server with another Shutdown: net/http's closes every connection that is idle by its state, also where a
// request has come on it, and every one on which the head of a request is complete only later.
type httpServer struct {
	*http.Server
	limiter   *connLimiter
	serveDone chan struct{} // closed once Serve has returned, and every connection that it accepted is counted
}

func (s *httpServer) Serve(l net.Listener) error {
	defer close(s.serveDone)
	return s.Server.Serve(l)
}

// Shutdown waits, once the listener is closed, for the connections to end as the limiter makes them.
func (s *httpServer) Shutdown(ctx context.Context) error {
	select {
	case <-s.serveDone:
		select {
		case <-s.limiter.allClosed():
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	s.limiter.stopLingering() // net/http closes connections while it holds its lock
	return s.Server.Shutdown(ctx)
}
