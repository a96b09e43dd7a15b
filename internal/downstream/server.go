// Package downstream takes streams over HTTP/1.1 and answers them. It also tells the front whether the
// sidecar is ready, and lets it end without losing what it has taken. Side is what fronts for other protocols,
// in packages of their own, share with it.
package downstream

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

const headerMost = 16 << 10

// Handler answers streams.
type Handler interface {
	Serve(ctx context.Context, req *stream.Request) stream.Response
	// Refuse answers one for which there is no room here.
	Refuse(req *stream.Request) stream.Response
}

// Server takes streams over HTTP.
type Server struct {
	*Side
	Gate stream.Gate // says whether the sidecar takes streams at present; nil: it does

	classes atomic.Pointer[map[string]class]
	tenants atomic.Pointer[map[string]int] // as stream.Request has them
	streams Handler
	log     zerolog.Logger
	ready   atomic.Bool
}

// New returns a server that is not ready yet.
func New(s *config.Settings, side *Side, streams Handler, log zerolog.Logger) *Server {
	srv := &Server{Side: side, streams: streams, log: log}
	srv.classes.Store(&map[string]class{})
	srv.tenants.Store(&map[string]int{})
	srv.Reclass(s)
	return srv
}

// Reclass takes over changed tenants and classes, by their names; the decisions know them already. One that has vanished is taken for
// as long as its deadline: whoever calls, and was told at another moment, still has requests of it under way.
func (s *Server) Reclass(set *config.Settings) {
	was, is, now := *s.classes.Load(), map[string]class{}, time.Now()
	for i, name := range set.ClassNames {
		c := class{index: i, effect: set.Classes[i].Effect, deadline: set.Classes[i].Deadline}
		if set.Removed != nil && set.Removed[i] {
			if c = was[name]; c.until.IsZero() {
				c.until = now.Add(c.deadline)
			}
		}
		is[name] = c
	}
	s.classes.Store(&is)
	tenants := map[string]int{}
	for i, name := range set.TenantNames {
		tenants[name] = i + 1
	}
	s.tenants.Store(&tenants)
}

// class finds one by its name, at that time.
func (s *Server) class(name string, at time.Time) (class, bool) {
	c, known := (*s.classes.Load())[name]
	return c, known && (c.until.IsZero() || at.Before(c.until))
}

// Ready lets the front send streams.
func (s *Server) Ready() { s.ready.Store(true) }

// Takes tells whether the front is to send streams: the sidecar is ready, not about to end, and its gate lets them in.
func (s *Server) Takes() bool {
	if !s.ready.Load() || s.draining.Load() {
		return false
	}
	if s.Gate == nil {
		return true
	}
	takes, _ := s.Gate.Takes()
	return takes
}

// Front is the server on l.
func (s *Server) Front(l net.Listener) Front {
	return Front{Listener: l, Server: &server{conns: s.conns, served: make(chan struct{}), Server: &http.Server{
		ConnContext: withConn, Handler: s, ReadHeaderTimeout: HeadWithin, IdleTimeout: IdleWithin,
		MaxHeaderBytes: headerMost, DisableGeneralOptionsHandler: true,
		BaseContext: func(net.Listener) context.Context { return s.life }, ConnState: s.Changed, ErrorLog: stdlog.New(s.log, "", 0)}}}
}

// server is net/http's with another Shutdown: its own hangs up on every message whose head becomes whole later, and on every
// connection that is idle by its state.
type server struct {
	*http.Server
	conns  *connections
	served chan struct{} // closed once Serve has returned, and every connection that it took is counted
}

func (s *server) Serve(l net.Listener) error {
	defer close(s.served)
	return s.Server.Serve(l)
}

// Shutdown waits for connections that end by themselves, as closeQuiet has them do, once its listener is closed.
func (s *server) Shutdown(ctx context.Context) error {
	select {
	case <-s.served:
		select {
		case <-s.conns.none():
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	s.conns.abandon() // net/http closes while it holds its lock
	return s.Server.Shutdown(ctx)
}
