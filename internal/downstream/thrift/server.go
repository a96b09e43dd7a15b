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
	maxDepth            = 64                    // of structs and containers in each other
	maxNameBytes        = 128                   // bytes of a method's name, and of an id or a key
	acceptRetryInterval = 10 * time.Millisecond // after an accept that failed for want of something
)

// Limits are the bounds on a message of that many bytes; there is no value that takes none.
func Limits(most config.Size) thriftwire.Limits {
	return thriftwire.Limits{Message: int(most), Depth: maxDepth, Values: int(most), Name: maxNameBytes}
}

// Server takes streams over Thrift. It has the methods that a downstream.Front needs.
type Server struct {
	manager  *downstream.Manager
	handler  downstream.Handler
	log      zerolog.Logger
	form     *thriftwire.Form // nil: by the first bytes
	limits   thriftwire.Limits
	section  *config.Thrift
	table    atomic.Pointer[methodTable]
	idPrefix uint64 // begins the ids made here, so that nobody outside can name one
	idCount  atomic.Uint64

	mu        sync.Mutex
	listener  net.Listener
	conns     map[*conn]struct{}
	endConn   func(*conn)    // each connection is to end; nil: it is not
	openConns sync.WaitGroup // connections
	serveDone chan struct{}  // closed once Serve has returned, and every connection that it took is among them
}

// table is the operator's methods with the classes that the settings have at present.
type methodTable struct {
	methods       map[string]*method
	defaultMethod *method // of names that it lacks; nil: they are unknown
}

// New returns a server for the operator's section, which fits the settings.
func New(t *config.Thrift, set *config.Settings, side *downstream.Manager, streams downstream.Handler, log zerolog.Logger) *Server {
	s := &Server{manager: side, handler: streams, log: log, limits: Limits(t.MostMessage), section: t,
		idPrefix: rand.Uint64(), conns: map[*conn]struct{}{}, serveDone: make(chan struct{})}
	if form, known := thriftwire.ParseForm(t.Form); known {
		s.form = &form
	}
	s.UpdateClasses(set)
	return s
}

// UpdateClasses takes over changed classes; the section fits them, and the decisions know them already.
func (s *Server) UpdateClasses(set *config.Settings) {
	t, is := s.section, &methodTable{methods: map[string]*method{}}
	of := func(class string, m config.ThriftMethod) *method {
		i := slices.Index(set.ClassNames, class)
		deadline := set.Classes[i].Deadline
		for _, stated := range []time.Duration{m.Deadline.D(), t.Deadline.D()} {
			if stated > 0 {
				deadline = min(stated, deadline)
				break
			}
		}
		return &method{class: i, className: class, deadline: deadline, maxDeadline: set.Classes[i].Deadline,
			oneway: m.Oneway, id: m.ID, key: m.Key, remaining: m.RemainingMS}
	}
	for _, m := range t.Methods {
		is.methods[m.Name] = of(m.Class, *m)
	}
	if t.DefaultClass != "" {
		is.defaultMethod = of(t.DefaultClass, config.ThriftMethod{})
	}
	s.table.Store(is)
}

// Frontend is the server on l.
func (s *Server) Frontend(l net.Listener) downstream.Frontend {
	return downstream.Frontend{Listener: l, Server: s}
}

// Serve takes connections from l until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer close(s.serveDone)
	for {
		nc, err := l.Accept()
		var lack net.Error
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.As(err, &lack) && !errors.Is(err, net.ErrClosed): // a client that has gone, or descriptors
			time.Sleep(acceptRetryInterval)
		default:
			return fmt.Errorf("thrift: %w", err)
		}
	}
}

// take begins to serve a connection.
func (s *Server) startConn(nc net.Conn) {
	s.manager.ConnStateChanged(nc, http.StateNew)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, nc)
	s.conns[c] = struct{}{}
	if s.endConn != nil { // it was accepted, and waited for room
		s.endConn(c)
	}
	s.openConns.Add(1)
	go c.run()
}

// gone forgets a connection that is closed, and all of whose streams have ended.
func (s *Server) connClosed(c *conn) {
	s.manager.ConnStateChanged(c.Conn, http.StateClosed)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.openConns.Done()
}

// end stops listening, and has each connection end as how says.
func (s *Server) endConns(how func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endConn = how
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
	s.endConns((*conn).stop)
	done := make(chan struct{})
	go func() {
		<-s.serveDone
		s.openConns.Wait()
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
	s.endConns(func(c *conn) { _ = c.Close() })
	return nil
}
