package downstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// lingerTimeout is how long a connection whose sending side was closed is left to its client: one round trip, and time for
// the client to be scheduled. Draining leaves as much after the last responses.
const lingerTimeout = cancelStreamsBefore - exitBefore

// expiredDeadline is a deadline by which a read returns at once.
var expiredDeadline = time.Unix(1, 0)

// clientConn is a client's connection. It records when something last came on it. It is closed by expiring its read: that then
// fails as if its deadline were over, unless something has come meanwhile, for net/http reports a request only once its head
// is complete.
type clientConn struct {
	net.Conn
	lastRead atomic.Int64 // Unix time in nanoseconds; 0: nothing was ever read
	requests atomic.Int64

	limiter        *connLimiter // whose lock guards the fields below
	hasHeads       bool         // it speaks HTTP
	headBytes      int64        // counted for the head of its request
	aheadBytes     int64        // the part of them that was read last, which may belong to the next head
	requestStarted bool         // something was read since the last change of state
	readExpired    bool
	closing        bool      // Close was called, or the connection is to be reset
	readDeadline   time.Time // as it was last set
}

// expireRead makes whoever reads an inactive connection close it, once nothing is left to be read: a request may have come that
// the connection's state does not show yet. The caller holds the limiter's lock.
func expireRead(conn net.Conn) {
	client, ok := conn.(*clientConn)
	switch {
	case ok && !client.readExpired:
		client.readExpired = true
		_ = client.Conn.SetReadDeadline(expiredDeadline) // on a broken connection the read returns the error
	case !ok:
		_ = conn.Close()
	}
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.shouldRetryRead() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.lastRead.Store(time.Now().UnixNano())
		c.requestStarted = true
		c.cancelExpiry()
		if !c.limiter.countHead(c, b[:n]) {
			return 0, errHeadMemoryExhausted
		}
	}
	return n, err
}

// Write fails where the client accepts nothing within writeStallTimeout: one that goes on sending and reads nothing would hold
// its connection for ever.
func (c *clientConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // on a broken connection the write returns the error
	return c.Conn.Write(b)
}

// shouldRetryRead reports whether something waits to be read on a connection whose read has expired; reading it cancels the
// expiry. Otherwise whoever reads closes the connection.
func (c *clientConn) shouldRetryRead() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.readExpired = c.readExpired && hasUnread(c.Conn); c.readExpired {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	return c.readExpired
}

// cancelExpiry lets a connection whose read was expired go on. Another may have to be evicted for it. The caller holds the
// limiter's lock.
func (c *clientConn) cancelExpiry() {
	if c.readExpired {
		c.readExpired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		c.limiter.changed.Signal()
	}
}

// SetReadDeadline takes effect once the read is not expired.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.readDeadline = deadline; c.readExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the sending side alone. Where the connection has no such close it returns errors.ErrUnsupported.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the sending side first, and gives a client that may have something on its way lingerTimeout to close the
// connection itself: a close over bytes that nobody has read resets the connection, and the client loses a response that it
// has yet to read (RFC 9112, section 9.6). What comes then is not read, for it can't be answered.
func (c *clientConn) Close() error {
	if sc, ok := c.Conn.(syscall.Conn); ok && c.shouldLinger() && c.CloseWrite() == nil {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
			_ = raw.Read(func(uintptr) bool { return PeerClosed(c.Conn) }) // an error says that the time is over
		}
	}
	return c.Conn.Close()
}

// shouldLinger reports whether the client may have something on its way as its connection is closed: because unread bytes are
// here, or because clients don't know of draining before it closes their connections. It is true at most once.
func (c *clientConn) shouldLinger() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	first := !c.closing
	c.closing = true
	return first && !c.limiter.lingeringStopped && (c.limiter.closeIdleConns || hasUnread(c.Conn))
}

// forceReset makes the connection's close a reset, whatever has come on it.
func (c *clientConn) forceReset() {
	c.limiter.mu.Lock()
	c.closing = true
	c.limiter.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

type connContextKey struct{}

// withConn adds a connection to the context of its requests. It is an http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*clientConn); ok {
		c.limiter.mu.Lock()
		c.hasHeads = true
		c.limiter.mu.Unlock()
	}
	return context.WithValue(ctx, connContextKey{}, conn)
}

// abortResponse ends the connection of a request in a way that can't be taken for the end of a response, whatever its framing.
// It panics with http.ErrAbortHandler.
func abortResponse(ctx context.Context) {
	if c, ok := ctx.Value(connContextKey{}).(*clientConn); ok {
		c.forceReset() // without a stated length, an orderly close would be the end of the response
	}
	panic(http.ErrAbortHandler)
}
