// Package thrift is the frontend of a sidecar for Thrift: it reads calls, hands each to a downstream.Handler and writes the
// reply. A connection's calls may be pipelined; the replies come in the order of the calls. What the encoding has no field for
// (class, deadline, id, key) comes from the operator's table of methods. internal/daemon wires it up.
//
// Invariants: a call that was read gets one reply, also while draining, and a oneway none; what a client can make the process
// hold is bounded by the downstream.Manager that all frontends share.
package thrift

import (
	"cmp"
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
	maxDepth            = 64                    // of nested structs and containers
	maxNameBytes        = 128                   // of a method's name, and of an id or a key
	acceptRetryInterval = 10 * time.Millisecond // after an accept that failed for want of a descriptor or memory
)

// Limits returns the bounds on messages of up to that many bytes. As every value takes at least a byte, they bound the number
// of values, too.
func Limits(maxMessage config.Size) thriftwire.Limits {
	return thriftwire.Limits{Message: int(maxMessage), Depth: maxDepth, Values: int(maxMessage), Name: maxNameBytes}
}

// Server serves Thrift clients. It has the methods that a downstream.Frontend needs.
type Server struct {
	manager  *downstream.Manager
	handler  downstream.Handler
	log      zerolog.Logger
	form     *thriftwire.Form // nil: by each connection's first bytes
	limits   thriftwire.Limits
	section  *config.Thrift
	table    atomic.Pointer[methodTable]
	idPrefix uint64 // of the request ids made here, random so that no client can name one
	idCount  atomic.Uint64

	mu        sync.Mutex
	listener  net.Listener
	conns     map[*conn]struct{}
	endConn   func(*conn)    // ends a connection, while shutting down; nil before
	openConns sync.WaitGroup // of the connections in conns
	serveDone chan struct{}  // closed once Serve has returned, and every connection that it accepted is in conns
}

// methodTable is the operator's methods with the present classes of the settings.
type methodTable struct {
	methods       map[string]*method
	defaultMethod *method // of names that are not in methods; nil: they are unknown
}

// New returns a server for the operator's section, which config.Operator.Fits has checked against the settings.
func New(section *config.Thrift, set *config.Settings, manager *downstream.Manager, handler downstream.Handler, log zerolog.Logger) *Server {
	s := &Server{manager: manager, handler: handler, log: log, limits: Limits(section.MaxMessage), section: section,
		idPrefix: rand.Uint64(), conns: map[*conn]struct{}{}, serveDone: make(chan struct{})}
	if form, known := thriftwire.ParseForm(section.Framing); known {
		s.form = &form
	}
	s.UpdateClasses(set)
	return s
}

// UpdateClasses takes over changed classes, which the section fits; the decisions have them already.
func (s *Server) UpdateClasses(set *config.Settings) {
	table := &methodTable{methods: map[string]*method{}}
	for _, m := range s.section.Methods {
		table.methods[m.Name] = s.newMethod(set, m.Class, m)
	}
	if s.section.DefaultClass != "" {
		table.defaultMethod = s.newMethod(set, s.section.DefaultClass, &config.ThriftMethod{})
	}
	s.table.Store(table)
}

// newMethod returns the entry of a method whose class the settings have. Its deadline is the method's, or else the section's, and
// no longer than the class's.
func (s *Server) newMethod(set *config.Settings, className string, m *config.ThriftMethod) *method {
	i := slices.Index(set.ClassNames, className)
	maxDeadline := set.Classes[i].Deadline
	deadline := maxDeadline
	if stated := cmp.Or(max(0, m.Deadline.D()), max(0, s.section.Deadline.D())); stated > 0 {
		deadline = min(stated, maxDeadline)
	}
	return &method{class: i, className: className, deadline: deadline, maxDeadline: maxDeadline,
		oneway: m.Oneway, id: m.ID, key: m.Key, remaining: m.RemainingMS}
}

// Frontend returns the server's frontend on l.
func (s *Server) Frontend(l net.Listener) downstream.Frontend {
	return downstream.Frontend{Listener: l, Server: s}
}

// Serve accepts connections from l until Shutdown or Close. Its error is that of the listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer close(s.serveDone)
	for {
		nc, err := l.Accept()
		var transient net.Error
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.As(err, &transient) && !errors.Is(err, net.ErrClosed): // the client has gone, or descriptors have run out
			time.Sleep(acceptRetryInterval)
		default:
			return fmt.Errorf("thrift: %w", err)
		}
	}
}

// startConn starts serving a connection.
func (s *Server) startConn(nc net.Conn) {
	s.manager.ConnStateChanged(nc, http.StateNew)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, nc)
	s.conns[c] = struct{}{}
	if s.endConn != nil { // it was accepted before, and has waited for the manager's bound on connections
		s.endConn(c)
	}
	s.openConns.Add(1)
	go c.run()
}

// connClosed removes a connection that is closed, and all of whose streams have ended.
func (s *Server) connClosed(c *conn) {
	s.manager.ConnStateChanged(c.Conn, http.StateClosed)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.openConns.Done()
}

// endConns closes the listener, and calls end for each connection, those that are yet to be started included.
func (s *Server) endConns(end func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endConn = end
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		end(c)
	}
}

// Shutdown closes the listener and accepts no more calls. It returns when those that were read have their replies and the
// connections are closed, or with ctx's error.
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

// Close closes the listener and all connections. It returns nil.
func (s *Server) Close() error {
	s.endConns(func(c *conn) { _ = c.Close() })
	return nil
}
