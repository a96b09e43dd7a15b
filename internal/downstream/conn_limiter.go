package downstream

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnGracePeriod is how long a new connection may be silent before it is evicted ahead of one that has already brought
	// a request: a client that has a request to send has sent it by then.
	newConnGracePeriod = 100 * time.Millisecond
	// headStallTimeout is how long the head of a request may stall before its connection is evicted like a silent one: slow
	// clients write a head in pieces.
	headStallTimeout = 700 * time.Millisecond
)

// connLimiter bounds how many client connections are open, so that they never take the descriptors of the upstream side. When
// the bound is reached, an inactive connection is evicted for a new one.
type connLimiter struct {
	mu      sync.Mutex
	changed *sync.Cond // signalled when a connection becomes inactive or is closed, or the bound changes
	maxOpen int
	open    int

	maxHeadBytes int64 // 0: unlimited
	headBytes    int64 // of all connections

	inactive map[net.Conn]inactivity
	now      func() time.Time

	closeIdleConns   bool // each connection that becomes idle is closed
	closeNewConns    bool // and so is each new one
	lingeringStopped bool // no Close waits for its client any more
}

// inactivity is since when a connection is idle, or new without a request.
type inactivity struct {
	state http.ConnState // StateNew or StateIdle
	since time.Time
}

func newConnLimiter(maxOpen int) *connLimiter {
	l := &connLimiter{maxOpen: maxOpen, inactive: map[net.Conn]inactivity{}, now: time.Now}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// setState records a connection's state, as http.Server.ConnState reports it.
func (l *connLimiter) setState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inactive, conn)
	client, ok := conn.(*clientConn)
	if ok {
		client.requestStarted = false
		l.settleHead(client, state)
	}
	switch state {
	case http.StateActive:
		if ok {
			client.requests.Add(1)
			client.cancelExpiry()
		}
	case http.StateNew, http.StateIdle:
		l.inactive[conn] = inactivity{state, l.now()}
		if l.closeNewConns || l.closeIdleConns && state == http.StateIdle {
			expireRead(conn)
		}
		l.changed.Signal()
	case http.StateClosed, http.StateHijacked:
		l.open--
		l.changed.Broadcast() // for acquire and for allClosed
	}
}

// acquire waits until one more connection may be open, and counts it.
func (l *connLimiter) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.maxOpen {
		l.evict()
		l.changed.Wait()
	}
	l.open++
}

// evict makes one inactive connection close, and reports whether there was one. The caller holds the lock.
func (l *connLimiter) evict() bool {
	conn := l.evictionCandidate()
	if conn != nil {
		expireRead(conn) // between requests, or before the first: the client opens another
	}
	return conn != nil
}

// setMax changes the bounds. Inactive connections beyond maxOpen are closed; active ones end by themselves.
func (l *connLimiter) setMax(maxOpen int, maxHeadBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOpen, l.maxHeadBytes = maxOpen, maxHeadBytes
	for excess := l.open - maxOpen; excess > 0 && l.evict(); excess-- {
	}
	l.changed.Broadcast()
}

// allClosed returns a channel that is closed when no connection is open any more.
func (l *connLimiter) allClosed() <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.mu.Lock()
		defer l.mu.Unlock()
		for l.open > 0 {
			l.changed.Wait()
		}
	}()
	return closed
}

// evictionClass ranks inactive connections: those of the lowest class are evicted first.
type evictionClass int

// The classes, the first to be evicted first.
const (
	evictStalled   evictionClass = iota // new and silent beyond the grace period, or with a request whose head stalls
	evictOneShot                        // idle after one request: in an overload such clients send one and stay connected
	evictReused                         // idle after several requests
	evictReceiving                      // new within the grace period, or with a request that is arriving
)

// classify returns a connection's eviction class, and since when it is in it. The caller holds the lock.
func (l *connLimiter) classify(conn net.Conn, in inactivity, now time.Time) (evictionClass, time.Time) {
	lastRead, requests, idle := int64(0), int64(0), in.state == http.StateIdle
	if client, ok := conn.(*clientConn); ok {
		lastRead, requests, idle = client.lastRead.Load(), client.requests.Load(), idle && !client.requestStarted
	}
	switch lastReadAt := time.Unix(0, lastRead); {
	case idle && requests <= 1:
		return evictOneShot, in.since
	case idle:
		return evictReused, in.since
	case lastRead == 0 && now.Sub(in.since) >= newConnGracePeriod:
		return evictStalled, in.since
	case lastRead > 0 && now.Sub(lastReadAt) >= headStallTimeout:
		return evictStalled, lastReadAt
	case lastRead > 0:
		return evictReceiving, lastReadAt
	}
	return evictReceiving, in.since
}

// evictionCandidate returns the connection to evict next: of the lowest class the one that is longest in it; nil if there is
// none. The caller holds the lock.
func (l *connLimiter) evictionCandidate() net.Conn {
	now := l.now()
	var candidate net.Conn
	var lowest evictionClass
	var earliest time.Time
	for conn, in := range l.inactive {
		if client, ok := conn.(*clientConn); ok && client.readExpired {
			continue
		}
		if class, since := l.classify(conn, in, now); candidate == nil || class < lowest || class == lowest && since.Before(earliest) {
			candidate, lowest, earliest = conn, class, since
		}
	}
	return candidate
}

// countInactive returns how many connections to a local address are free for another request.
func (l *connLimiter) countInactive(local net.Addr) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.inactive {
		if conn.LocalAddr().String() == local.String() {
			n++
		}
	}
	return n
}

// isFresh reports whether a connection is so new that its first request may be on its way. The caller holds the lock.
func (l *connLimiter) isFresh(in inactivity) bool {
	return in.state == http.StateNew && l.now().Sub(in.since) < newConnGracePeriod
}

// closeIdle closes every connection that is idle or has long been silent, and from now on each that becomes idle. Fresh ones
// may still bring their request.
func (l *connLimiter) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdleConns = true
	for conn, in := range l.inactive {
		if client, ok := conn.(*clientConn); (!ok || !client.requestStarted) && !l.isFresh(in) {
			expireRead(conn)
		}
	}
}

// closeInactive closes every connection on which no request has started, and from now on each that becomes idle or is new.
func (l *connLimiter) closeInactive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdleConns, l.closeNewConns = true, true
	for conn := range l.inactive {
		if client, ok := conn.(*clientConn); !ok || !client.requestStarted {
			expireRead(conn)
		}
	}
}

// stopLingering makes no Close wait for its client from now on.
func (l *connLimiter) stopLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingeringStopped = true
}
