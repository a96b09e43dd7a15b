package downstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// newConnGracePeriod is how long a new connection may be silent before it is shed ahead of one that has already
// brought a request: whoever has one to bring has sent it by then.
const newConnGracePeriod = 100 * time.Millisecond

// headStallTimeout is how long a message's head may stand still before its connection is shed like a silent one: clients
// that are slow write a head in pieces.
const headStallTimeout = 700 * time.Millisecond

// lingerTimeout is how long a connection whose sending has ended is left to its client: there and back, and time to wake up. A
// planned end has it after what is answered last.
const lingerTimeout = cancelStreamsBefore - exitBefore

// connections bounds how many callers' connections are open, so that they never take the descriptors of
// the upstream side. When all are in use, one on which no request is under way is shed for a new one.
type connLimiter struct {
	mu               sync.Mutex
	free             *sync.Cond
	maxOpen          int
	open             int
	inactive         map[net.Conn]inactivity
	closeIdleConns   bool // whatever falls idle is closed
	closeNewConns    bool // and whatever is new
	lingeringStopped bool // no close waits for its client any more
	now              func() time.Time
}

// quiet is a connection that is idle, or new and silent so far.
type inactivity struct {
	state http.ConnState
	since time.Time
}

func newConnLimiter(most int) *connLimiter {
	c := &connLimiter{maxOpen: most, inactive: map[net.Conn]inactivity{}, now: time.Now}
	c.free = sync.NewCond(&c.mu)
	return c
}

// changed follows net/http's states.
func (c *connLimiter) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inactive, conn)
	own, ok := conn.(*clientConn)
	if ok {
		own.requestStarted = false
	}
	switch state {
	case http.StateActive:
		if ok {
			own.requests.Add(1)
			own.cancelExpiry()
		}
	case http.StateNew, http.StateIdle:
		c.inactive[conn] = inactivity{state, c.now()}
		if c.closeNewConns || c.closeIdleConns && state == http.StateIdle {
			expireRead(conn)
		}
		c.free.Signal()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.free.Broadcast() // for a claim, and for whoever waits for the last one
	}
}

// claim waits until there is room for one more connection.
func (c *connLimiter) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.maxOpen {
		c.evict()
		c.free.Wait()
	}
	c.open++
}

// shed closes one quiet connection, if there is one; the caller holds the lock.
func (c *connLimiter) evict() bool {
	conn := c.evictionCandidate()
	if conn != nil {
		expireRead(conn) // between requests, or before the first: the client takes another
	}
	return conn != nil
}

// retire has a quiet connection be closed by whoever reads it, once nothing is left to be read: a message may have come that
// its state does not show yet. The caller holds the lock.
func expireRead(conn net.Conn) {
	own, ok := conn.(*clientConn)
	switch {
	case ok && !own.readExpired:
		own.readExpired = true
		_ = own.Conn.SetReadDeadline(expiredDeadline) // on a connection that is broken the read says so
	case !ok:
		_ = conn.Close()
	}
}

// bound has so many connections be open at most from now on. Quiet ones beyond that are closed, busy ones end by themselves.
func (c *connLimiter) setMax(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = most
	for over := c.open - most; over > 0 && c.evict(); over-- {
	}
	c.free.Broadcast()
}

// none tells when no connection is open any more.
func (c *connLimiter) allClosed() <-chan struct{} {
	none := make(chan struct{})
	go func() {
		defer close(none)
		c.mu.Lock()
		defer c.mu.Unlock()
		for c.open > 0 {
			c.free.Wait()
		}
	}()
	return none
}

// evictionCandidate picks the quiet connection that goes first: the oldest of those that have been silent from the start or whose
// message stands still, then of the idle ones those that have brought one message, for a crowd asks once and stays,
// then the others, the longest idle first, and last those whose message still comes. The caller holds the lock.
func (c *connLimiter) evictionCandidate() net.Conn {
	now := c.now()
	rank := func(conn net.Conn, q inactivity) (int, time.Time) {
		heard, asked, idle := int64(0), int64(0), q.state == http.StateIdle
		if own, ok := conn.(*clientConn); ok {
			heard, asked, idle = own.lastRead.Load(), own.requests.Load(), idle && !own.requestStarted
		}
		switch at := time.Unix(0, heard); {
		case idle && asked <= 1:
			return 1, q.since
		case idle:
			return 2, q.since
		case heard == 0 && now.Sub(q.since) >= newConnGracePeriod:
			return 0, q.since
		case heard > 0 && now.Sub(at) >= headStallTimeout:
			return 0, at
		case heard > 0:
			return 3, at
		}
		return 3, q.since
	}
	var best net.Conn
	var least int
	var first time.Time
	for conn, q := range c.inactive {
		if own, ok := conn.(*clientConn); ok && own.readExpired {
			continue
		}
		if n, at := rank(conn, q); best == nil || n < least || n == least && at.Before(first) {
			best, least, first = conn, n, at
		}
	}
	return best
}

// spare is how many of the connections to an address are free for another request.
func (c *connLimiter) countInactive(at net.Addr) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.inactive {
		if conn.LocalAddr().String() == at.String() {
			n++
		}
	}
	return n
}

// fresh tells whether a connection is new, and its first request may be on its way. The caller holds the lock.
func (c *connLimiter) isFresh(q inactivity) bool {
	return q.state == http.StateNew && c.now().Sub(q.since) < newConnGracePeriod
}

// closeIdle closes every connection that waits for another request or has long been silent, and from now on each that has
// answered its last. Those that are new are left to bring their request.
func (c *connLimiter) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleConns = true
	for conn, q := range c.inactive {
		if own, ok := conn.(*clientConn); (!ok || !own.requestStarted) && !c.isFresh(q) {
			expireRead(conn)
		}
	}
}

// closeInactive closes every connection on which no request has begun, and from now on each that has answered its last.
func (c *connLimiter) closeInactive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleConns, c.closeNewConns = true, true
	for conn := range c.inactive {
		if own, ok := conn.(*clientConn); !ok || !own.requestStarted {
			expireRead(conn)
		}
	}
}

// abandon has no close wait for its client from now on.
func (c *connLimiter) stopLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingeringStopped = true
}

// past is a deadline by which a read returns at once.
var expiredDeadline = time.Unix(1, 0)

// caller is a caller's connection. It knows when something last came on it, and whether anything ever has. One that is
// retired reads as if its time were over, unless more has come: net/http tells of a message only once its head is whole.
type clientConn struct {
	net.Conn
	lastRead atomic.Int64 // Unix nanoseconds; 0: never
	requests atomic.Int64 // messages

	limiter        *connLimiter // whose lock guards the rest
	requestStarted bool         // something has come since its last state
	readExpired    bool
	closing        bool      // somebody is about to close it, or it is to be reset
	readDeadline   time.Time // for reading, as it was last set
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
	}
	return n, err
}

// Write gives a client so long to take what it is answered: one that sends on and reads nothing would hold its connection for ever.
func (c *clientConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // on a connection that is broken the write says so
	return c.Conn.Write(b)
}

// spared tells whether something waits to be read on a retired connection, which is kept by reading it. Otherwise its reader
// closes it.
func (c *clientConn) shouldRetryRead() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.readExpired = c.readExpired && hasUnread(c.Conn); c.readExpired {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	return c.readExpired
}

// keep has a connection that was retired go on. Another may have to be shed for it. The caller holds the lock.
func (c *clientConn) cancelExpiry() {
	if c.readExpired {
		c.readExpired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		c.limiter.free.Signal()
	}
}

// SetReadDeadline takes effect once the connection is not retired.
func (c *clientConn) SetReadDeadline(until time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.readDeadline = until; c.readExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(until)
}

// CloseWrite ends our sending alone, where the connection can.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close ends our sending first, and leaves a client that may have something on its way so long to end the connection itself:
// a close over bytes that nobody has read resets the connection, and takes an answer with it that the client is yet to read.
// What comes then is not read, for it can't be answered.
func (c *clientConn) Close() error {
	if sc, ok := c.Conn.(syscall.Conn); ok && c.shouldLinger() && c.CloseWrite() == nil {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
			_ = raw.Read(func(uintptr) bool { return PeerClosed(c.Conn) }) // or its time is over
		}
	}
	return c.Conn.Close()
}

// lingers tells whether a client may have something on its way as its connection is closed: because something is here, or
// because clients are not told of a planned end before it. It does so once.
func (c *clientConn) shouldLinger() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	first := !c.closing
	c.closing = true
	return first && !c.limiter.lingeringStopped && (c.limiter.closeIdleConns || hasUnread(c.Conn))
}

// UnreadBytes is how many bytes have come on a connection that are not read yet; 0 where that can't be told.
func UnreadBytes(conn net.Conn) (n int) {
	if own, ok := conn.(*clientConn); ok {
		conn = own.Conn
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	fault := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if fault != nil || err != nil {
		return 0
	}
	return n
}

// reset has the connection end with a reset, whatever has come.
func (c *clientConn) forceReset() {
	c.limiter.mu.Lock()
	c.closing = true
	c.limiter.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

type connContextKey struct{}

// withConn is for http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// cut ends a message's connection in a way that can't pass for the end of an answer, whatever its framing.
func abortResponse(ctx context.Context) {
	if c, ok := ctx.Value(connContextKey{}).(*clientConn); ok {
		c.forceReset() // also where the end of the connection would be the end of the answer
	}
	panic(http.ErrAbortHandler)
}

// limited is a listener whose connections wait until there is room for them.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
	closing atomic.Bool
}

func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	l.limiter.acquire()
	return &clientConn{Conn: conn, limiter: l.limiter}, nil
}

// accept goes on after Close, until the kernel's queue is empty.
func (l *limitedListener) accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			if !hasQueuedConn(l.Listener) {
				_ = l.Listener.Close()
				return nil, net.ErrClosed
			}
			_ = l.Listener.(pollableListener).SetDeadline(time.Now().Add(lingerTimeout)) // another process may take what is there
		}
		if conn, err := l.Listener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// timed is a listener whose queue can be looked at.
type pollableListener interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Close has Accept return what is in the kernel's queue yet, and then let go of the address: those connections are this
// machine's already, and would be reset with what their clients have written.
func (l *limitedListener) Close() error {
	t, ok := l.Listener.(pollableListener)
	if !ok {
		return l.Listener.Close()
	}
	l.closing.Store(true)
	return t.SetDeadline(expiredDeadline)
}

// queued tells whether a connection waits to be accepted.
func hasQueuedConn(l net.Listener) (waits bool) {
	raw, err := l.(pollableListener).SyscallConn()
	if err != nil {
		return false
	}
	fault := raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		waits = err == nil && n > 0 && p[0].Revents&unix.POLLIN != 0
	})
	return waits && fault == nil
}
