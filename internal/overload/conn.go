package overload

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Cost of a head: its bytes are held as they came, as strings and in the message that is sent on; each line is an entry of a map.
const (
	headByteCost = 6
	headLineCost = 160
)

const (
	bufferBytes       = 4 << 10          // of net/http's reader: a longer read goes past it, straight into a body
	writeStallTimeout = 10 * time.Second // that a client may read nothing of an answer
	deadlineStep      = time.Second      // writes within it share a deadline
)

// errAccountFull reports that a head doesn't fit beside what others hold.
var errAccountFull = errors.New("overload: the heads and bodies being received are too large together")

// HeadCost returns the bytes that a part of a head takes once it is parsed, at most.
func HeadCost(part []byte) int64 {
	return int64(headByteCost*len(part) + headLineCost*bytes.Count(part, []byte{'\n'}))
}

// Conn is a client's connection with its account. Its states are those of net/http with two that net/http doesn't have: a request is received (head, then
// body), and then handled.
type Conn struct {
	net.Conn
	manager *Manager

	writeBegun    atomic.Int64 // Unix time in nanoseconds of the write that is under way; 0: none is
	writeDeadline time.Time    // as it was last set; only the writer uses it

	// The manager's lock guards these.
	list     *list.List // of the manager: heads, bodies or idle; nil: the request is being handled
	place    *list.Element
	begun    time.Time     // when the request, or the silence before the first one, has begun
	since    time.Duration // on the manager's clock: the same, or when the connection became idle
	lastRead time.Duration // on the manager's clock
	silent   bool          // nothing was read yet
	account  int64         // bytes, beside connectionBytes
	ahead    int64         // part of it: what was read last may belong to the next head
	received bool          // the request is whole
	evicted  bool          // it is closed, and its bytes and place are given back
}

// Read reads from the connection and counts the head that is being received.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.countRead(buffer[:n]) {
		return 0, errAccountFull
	}
	return n, err
}

// countRead counts what was read. It returns false if the account can't hold it.
func (c *Conn) countRead(piece []byte) bool {
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.list == m.idle || c.silent {
		c.begun, c.since = time.Now(), m.clock
		m.enter(c, m.heads)
	}
	c.lastRead, c.silent = m.clock, false
	if len(piece) > bufferBytes {
		c.ahead = 0
		return !c.evicted
	}
	c.ahead = HeadCost(piece)
	if c.list == m.heads {
		return m.reserve(c, c.ahead)
	}
	return !c.evicted
}

// observe is the server's ConnState hook.
func (m *Manager) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateActive:
		c.received = false
		m.enter(c, m.bodies) // until the handler says that nothing more is to come
	case http.StateIdle:
		m.settle(c)
	}
}

// settle gives back what a request has held, and makes its connection idle. What was read last may belong to the next request. The lock is held.
func (m *Manager) settle(c *Conn) {
	if c.evicted {
		return
	}
	m.used -= c.account
	c.account = 0
	c.since = m.clock
	m.enter(c, m.idle)
	if !m.reserve(c, c.ahead) {
		m.displaced.ForBytes++
		m.evict(c)
		return
	}
	m.freed.Broadcast()
}

// Write sets a deadline, so that a client that reads nothing doesn't hold its answer for ever.
func (c *Conn) Write(content []byte) (int, error) {
	now := time.Now()
	if deadline := now.Add(writeStallTimeout); deadline.Sub(c.writeDeadline) > deadlineStep {
		c.writeDeadline = deadline
		_ = c.SetWriteDeadline(deadline) // on a broken connection the write returns the error
	}
	c.writeBegun.Store(now.UnixNano())
	defer c.writeBegun.Store(0)
	return c.Conn.Write(content)
}

// CloseWrite ends the sending side, as net/http does before it closes a connection with unread bytes, which would reset it.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back its place and its account.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leave(c)
	m.forget(c)
	return err
}

// Reserve counts n more bytes that the client's request makes the process hold, until the request ends. It returns false, and does not, if they don't fit
// beside what others hold. A nil Conn has no bound.
func (c *Conn) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	return c.manager.reserve(c, n)
}

// MarkReceived records that the whole request has been received: its connection isn't displaced any more before the request ends.
func (c *Conn) MarkReceived() {
	if c == nil {
		return
	}
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	c.received = true
	c.manager.leave(c)
}

// endHandling records that the handler has returned: of a request that hasn't been received whole, net/http discards the rest.
func (c *Conn) endHandling() {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	if !c.received {
		c.manager.enter(c, c.manager.bodies)
	}
}

type contextKey struct{}

// withConn adds a connection to the context of its requests. It is an http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// ConnOf returns the connection of a request, or nil if no Manager bounds it.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// handler marks requests without a body as received, and has the unread rest of a body count as being received.
func (m *Manager) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			c.MarkReceived()
		}
		defer c.endHandling()
		next.ServeHTTP(w, r)
	})
}
