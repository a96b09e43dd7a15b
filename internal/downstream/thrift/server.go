// Package thrift takes streams over Thrift and answers them. A connection's calls may be pipelined; they are
// answered in the order in which they came. What the encoding has no place for (class, deadline, id, key) comes
// from the operator's table of methods.
package thrift

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/thriftwire"
)

const (
	depthMost = 64                    // of structs and containers in each other
	nameMost  = 128                   // bytes of a method's name, and of an id or a key
	acceptGap = 10 * time.Millisecond // after an accept that failed for want of something
)

// Limits are the bounds on a message of that many bytes; there is no value that takes none.
func Limits(most config.Size) thriftwire.Limits {
	return thriftwire.Limits{Message: int(most), Depth: depthMost, Values: int(most), Name: nameMost}
}

// Server takes streams over Thrift. It has the methods that a downstream.Front needs.
type Server struct {
	side    *downstream.Side
	streams downstream.Handler
	log     zerolog.Logger
	form    *thriftwire.Form // nil: by the first bytes
	limits  thriftwire.Limits
	section *config.Thrift
	table   atomic.Pointer[table]
	ids     uint64 // begins the ids made here, so that nobody outside can name one
	made    atomic.Uint64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	how      func(*conn)    // each connection is to end; nil: it is not
	open     sync.WaitGroup // connections
	served   chan struct{}  // closed once Serve has returned, and every connection that it took is among them
}

// table is the operator's methods with the classes that the settings have at present.
type table struct {
	methods map[string]*method
	other   *method // of names that it lacks; nil: they are unknown
}

// New returns a server for the operator's section, which fits the settings.
func New(t *config.Thrift, set *config.Settings, side *downstream.Side, streams downstream.Handler, log zerolog.Logger) *Server {
	s := &Server{side: side, streams: streams, log: log, limits: Limits(t.MaxMessage), section: t,
		ids: rand.Uint64(), conns: map[*conn]struct{}{}, served: make(chan struct{})}
	if form, known := thriftwire.ParseForm(t.Framing); known {
		s.form = &form
	}
	s.Reclass(set)
	return s
}

// Reclass takes over changed classes; the section fits them, and the decisions know them already.
func (s *Server) Reclass(set *config.Settings) {
	t, is := s.section, &table{methods: map[string]*method{}}
	of := func(class string, m config.ThriftMethod) *method {
		i := slices.Index(set.ClassNames, class)
		deadline := set.Classes[i].Deadline
		for _, stated := range []time.Duration{m.Deadline.D(), t.Deadline.D()} {
			if stated > 0 {
				deadline = min(stated, deadline)
				break
			}
		}
		return &method{class: i, className: class, deadline: deadline, longest: set.Classes[i].Deadline,
			oneway: m.Oneway, id: m.ID, key: m.Key, remaining: m.RemainingMS}
	}
	for _, m := range t.Methods {
		is.methods[m.Name] = of(m.Class, *m)
	}
	if t.DefaultClass != "" {
		is.other = of(t.DefaultClass, config.ThriftMethod{})
	}
	s.table.Store(is)
}

// Front is the server on l.
func (s *Server) Front(l net.Listener) downstream.Front {
	return downstream.Front{Listener: l, Server: s}
}

// Serve takes connections from l until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer close(s.served)
	for {
		nc, err := l.Accept()
		var lack net.Error
		switch {
		case err == nil:
			s.take(nc)
		case errors.As(err, &lack) && !errors.Is(err, net.ErrClosed): // a client that has gone, or descriptors
			time.Sleep(acceptGap)
		default:
			return fmt.Errorf("thrift: %w", err)
		}
	}
}

// take begins to serve a connection.
func (s *Server) take(nc net.Conn) {
	s.side.Changed(nc, http.StateNew)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, nc)
	s.conns[c] = struct{}{}
	if s.how != nil { // it was accepted, and waited for room
		s.how(c)
	}
	s.open.Add(1)
	go c.run()
}

// gone forgets a connection that is closed, and all of whose streams have ended.
func (s *Server) gone(c *conn) {
	s.side.Changed(c.Conn, http.StateClosed)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.open.Done()
}

// end stops listening, and has each connection end as how says.
func (s *Server) end(how func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.how = how
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		how(c)
	}
}

// Shutdown stops listening and takes no more calls. It returns when those that were taken are answered and their
// connections closed, or with ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.end((*conn).stop)
	done := make(chan struct{})
	go func() {
		<-s.served
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	s.end(func(c *conn) { _ = c.Close() })
	return nil
}
