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

// listener holds Most connections at most.
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
	complete bool // a whole call has come: it is about to be answered
}

// Accept returns the next connection, and closes another for it where there are too many.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l, since: time.Now()}
	for wait := l.add(c); wait > 0; wait = l.add(c) {
		time.Sleep(wait) // callers wait in the queue meanwhile
	}
	return c, nil
}

// add takes a connection in, in the place of another where there are too many, or says how long that other one is to be
// left yet: where many come at once, a whole call among them must have been read before its turn comes.
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

// Close is net/http's, at the end of a connection, or the second one of a connection that was shed.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if i := slices.Index(c.listener.open, c); i >= 0 {
		c.listener.open = slices.Delete(c.listener.open, i, i+1)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// withConn is for http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// called marks the connection of a call that has come whole: it is not shed.
func markComplete(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		c.complete = true
		c.listener.mu.Unlock()
	}
}
