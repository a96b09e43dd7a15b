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

// silentLeast is how long a new connection may be silent before it is shed ahead of one that has already
// brought a request: whoever has one to bring has sent it by then.
const silentLeast = 100 * time.Millisecond

// stalledLeast is how long a message's head may stand still before its connection is shed like a silent one: clients
// that are slow write a head in pieces.
const stalledLeast = 700 * time.Millisecond

// lingerFor is how long a connection whose sending has ended is left to its client: there and back, and time to wake up. A
// planned end has it after what is answered last.
const lingerFor = cutBefore - endBefore

// connections bounds how many callers' connections are open, so that they never take the descriptors of
// the upstream side. When all are in use, one on which no request is under way is shed for a new one.
type connections struct {
	mu      sync.Mutex
	free    *sync.Cond
	most    int
	open    int
	quiet   map[net.Conn]quiet
	leaving bool // whatever falls idle is closed
	shut    bool // and whatever is new
	over    bool // no close waits for its client any more
	now     func() time.Time
}

// quiet is a connection that is idle, or new and silent so far.
type quiet struct {
	state http.ConnState
	since time.Time
}

func newConnections(most int) *connections {
	c := &connections{most: most, quiet: map[net.Conn]quiet{}, now: time.Now}
	c.free = sync.NewCond(&c.mu)
	return c
}

// changed follows net/http's states.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.quiet, conn)
	own, ok := conn.(*caller)
	if ok {
		own.begun = false
	}
	switch state {
	case http.StateActive:
		if ok {
			own.asked.Add(1)
			own.keep()
		}
	case http.StateNew, http.StateIdle:
		c.quiet[conn] = quiet{state, c.now()}
		if c.shut || c.leaving && state == http.StateIdle {
			retire(conn)
		}
		c.free.Signal()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.free.Broadcast() // for a claim, and for whoever waits for the last one
	}
}

// claim waits until there is room for one more connection.
func (c *connections) claim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.most {
		c.shed()
		c.free.Wait()
	}
	c.open++
}

// shed closes one quiet connection, if there is one; the caller holds the lock.
func (c *connections) shed() bool {
	conn := c.toShed()
	if conn != nil {
		retire(conn) // between requests, or before the first: the client takes another
	}
	return conn != nil
}

// retire has a quiet connection be closed by whoever reads it, once nothing is left to be read: a message may have come that
// its state does not show yet. The caller holds the lock.
func retire(conn net.Conn) {
	own, ok := conn.(*caller)
	switch {
	case ok && !own.retired:
		own.retired = true
		_ = own.Conn.SetReadDeadline(past) // on a connection that is broken the read says so
	case !ok:
		_ = conn.Close()
	}
}

// bound has so many connections be open at most from now on. Quiet ones beyond that are closed, busy ones end by themselves.
func (c *connections) bound(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
	for over := c.open - most; over > 0 && c.shed(); over-- {
	}
	c.free.Broadcast()
}

// none tells when no connection is open any more.
func (c *connections) none() <-chan struct{} {
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

// toShed picks the quiet connection that goes first: the oldest of those that have been silent from the start or whose
// message stands still, then of the idle ones those that have brought one message, for a crowd asks once and stays,
// then the others, the longest idle first, and last those whose message still comes. The caller holds the lock.
func (c *connections) toShed() net.Conn {
	now := c.now()
	rank := func(conn net.Conn, q quiet) (int, time.Time) {
		heard, asked, idle := int64(0), int64(0), q.state == http.StateIdle
		if own, ok := conn.(*caller); ok {
			heard, asked, idle = own.heard.Load(), own.asked.Load(), idle && !own.begun
		}
		switch at := time.Unix(0, heard); {
		case idle && asked <= 1:
			return 1, q.since
		case idle:
			return 2, q.since
		case heard == 0 && now.Sub(q.since) >= silentLeast:
			return 0, q.since
		case heard > 0 && now.Sub(at) >= stalledLeast:
			return 0, at
		case heard > 0:
			return 3, at
		}
		return 3, q.since
	}
	var best net.Conn
	var least int
	var first time.Time
	for conn, q := range c.quiet {
		if own, ok := conn.(*caller); ok && own.retired {
			continue
		}
		if n, at := rank(conn, q); best == nil || n < least || n == least && at.Before(first) {
			best, least, first = conn, n, at
		}
	}
	return best
}

// spare is how many of the connections to an address are free for another request.
func (c *connections) spare(at net.Addr) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.quiet {
		if conn.LocalAddr().String() == at.String() {
			n++
		}
	}
	return n
}

// fresh tells whether a connection is new, and its first request may be on its way. The caller holds the lock.
func (c *connections) fresh(q quiet) bool {
	return q.state == http.StateNew && c.now().Sub(q.since) < silentLeast
}

// closeIdle closes every connection that waits for another request or has long been silent, and from now on each that has
// answered its last. Those that are new are left to bring their request.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for conn, q := range c.quiet {
		if own, ok := conn.(*caller); (!ok || !own.begun) && !c.fresh(q) {
			retire(conn)
		}
	}
}

// closeQuiet closes every connection on which no request has begun, and from now on each that has answered its last.
func (c *connections) closeQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.shut = true, true
	for conn := range c.quiet {
		if own, ok := conn.(*caller); !ok || !own.begun {
			retire(conn)
		}
	}
}

// abandon has no close wait for its client from now on.
func (c *connections) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
}

// past is a deadline by which a read returns at once.
var past = time.Unix(1, 0)

// caller is a caller's connection. It knows when something last came on it, and whether anything ever has. One that is
// retired reads as if its time were over, unless more has come: net/http tells of a message only once its head is whole.
type caller struct {
	net.Conn
	heard atomic.Int64 // Unix nanoseconds; 0: never
	asked atomic.Int64 // messages

	conns   *connections // whose lock guards the rest
	begun   bool         // something has come since its last state
	retired bool
	closing bool      // somebody is about to close it, or it is to be reset
	until   time.Time // for reading, as it was last set
}

func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.spared() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.heard.Store(time.Now().UnixNano())
		c.begun = true
		c.keep()
	}
	return n, err
}

// Write gives a client so long to take what it is answered: one that sends on and reads nothing would hold its connection for ever.
func (c *caller) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(takeFor)) // on a connection that is broken the write says so
	return c.Conn.Write(b)
}

// spared tells whether something waits to be read on a retired connection, which is kept by reading it. Otherwise its reader
// closes it.
func (c *caller) spared() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.retired = c.retired && unread(c.Conn); c.retired {
		_ = c.Conn.SetReadDeadline(c.until)
	}
	return c.retired
}

// keep has a connection that was retired go on. Another may have to be shed for it. The caller holds the lock.
func (c *caller) keep() {
	if c.retired {
		c.retired = false
		_ = c.Conn.SetReadDeadline(c.until)
		c.conns.free.Signal()
	}
}

// SetReadDeadline takes effect once the connection is not retired.
func (c *caller) SetReadDeadline(until time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.until = until; c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(until)
}

// CloseWrite ends our sending alone, where the connection can.
func (c *caller) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close ends our sending first, and leaves a client that may have something on its way so long to end the connection itself:
// a close over bytes that nobody has read resets the connection, and takes an answer with it that the client is yet to read.
// What comes then is not read, for it can't be answered.
func (c *caller) Close() error {
	if sc, ok := c.Conn.(syscall.Conn); ok && c.lingers() && c.CloseWrite() == nil {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = c.Conn.SetReadDeadline(time.Now().Add(lingerFor))
			_ = raw.Read(func(uintptr) bool { return Left(c.Conn) }) // or its time is over
		}
	}
	return c.Conn.Close()
}

// lingers tells whether a client may have something on its way as its connection is closed: because something is here, or
// because clients are not told of a planned end before it. It does so once.
func (c *caller) lingers() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	first := !c.closing
	c.closing = true
	return first && !c.conns.over && (c.conns.leaving || unread(c.Conn))
}

// Unread is how many bytes have come on a connection that are not read yet; 0 where that can't be told.
func Unread(conn net.Conn) (n int) {
	if own, ok := conn.(*caller); ok {
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
func (c *caller) reset() {
	c.conns.mu.Lock()
	c.closing = true
	c.conns.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

type callerKey struct{}

// withConn is for http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
}

// cut ends a message's connection in a way that can't pass for the end of an answer, whatever its framing.
func cut(ctx context.Context) {
	if c, ok := ctx.Value(callerKey{}).(*caller); ok {
		c.reset() // also where the end of the connection would be the end of the answer
	}
	panic(http.ErrAbortHandler)
}

// limited is a listener whose connections wait until there is room for them.
type limited struct {
	net.Listener
	conns *connections
	ends  atomic.Bool
}

func (l *limited) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	l.conns.claim()
	return &caller{Conn: conn, conns: l.conns}, nil
}

// accept goes on after Close, until the kernel's queue is empty.
func (l *limited) accept() (net.Conn, error) {
	for {
		if l.ends.Load() {
			if !queued(l.Listener) {
				_ = l.Listener.Close()
				return nil, net.ErrClosed
			}
			_ = l.Listener.(timed).SetDeadline(time.Now().Add(lingerFor)) // another process may take what is there
		}
		if conn, err := l.Listener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// timed is a listener whose queue can be looked at.
type timed interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Close has Accept return what is in the kernel's queue yet, and then let go of the address: those connections are this
// machine's already, and would be reset with what their clients have written.
func (l *limited) Close() error {
	t, ok := l.Listener.(timed)
	if !ok {
		return l.Listener.Close()
	}
	l.ends.Store(true)
	return t.SetDeadline(past)
}

// queued tells whether a connection waits to be accepted.
func queued(l net.Listener) (waits bool) {
	raw, err := l.(timed).SyscallConn()
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
