package control

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// minConnTime is how long a connection has at least to bring its call.
const minConnTime = 20 * time.Millisecond

// NewListener returns a listener with at most MaxConnections connections of l.
func NewListener(l net.Listener) net.Listener { return &listener{Listener: l} }

type listener struct {
	net.Listener

	mu   sync.Mutex
	open []*conn // the oldest first
}

// conn is one caller's connection.
type conn struct {
	net.Conn
	listener *listener
	since    time.Time
	complete bool // a complete call has come, and is about to get its response
}

// Accept returns the next connection, and evicts another one for it where there are too many.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l, since: time.Now()}
	for wait := l.add(c); wait > 0; wait = l.add(c) {
		time.Sleep(wait) // callers wait in the accept queue meanwhile
	}
	return c, nil
}

// add adds a connection and evicts another one where there are too many, or returns how long that one is still to be left open:
// where many come at once, each must have had time to bring a complete call.
func (l *listener) add(c *conn) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= MaxConnections {
		i := max(0, slices.IndexFunc(l.open, func(c *conn) bool { return !c.complete }))
		if wait = minConnTime - time.Since(l.open[i].since); wait > 0 {
			return wait
		}
		_ = l.open[i].Conn.Close()
		l.open = slices.Delete(l.open, i, i+1)
	}
	l.open = append(l.open, c)
	return 0
}

// Close closes the connection. net/http calls it also for one that was evicted.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if i := slices.Index(c.listener.open, c); i >= 0 {
		c.listener.open = slices.Delete(c.listener.open, i, i+1)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// withConn adds a connection to the context of its call. It is an http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markComplete records that a call is complete: its connection is evicted only after those without one.
func markComplete(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		c.complete = true
		c.listener.mu.Unlock()
	}
}
