package downstream

import (
	"errors"
	"net/http"

	"pinelb.example/pinelb/internal/overload"
)

const (
	smallHeadBytes   = 16 << 10 // of a parsed head, up to which it is always admitted: the bound on connections bounds such heads
	headBufferBytes  = 4 << 10  // of net/http's reader: a longer read goes past it, straight into a body
	headBytesPerBody = 2        // bytes for parsed heads, as a multiple of those for bodies
)

// errHeadMemoryExhausted ends a connection whose head doesn't fit beside those of others. Its request is not read.
var errHeadMemoryExhausted = errors.New("downstream: the heads being received are too large together")

// countHead counts a part of a head by what it takes once it is parsed. Where heads take too much, it closes the connections that have been without a whole head
// for longest, and returns false where there is none. The caller holds the lock.
func (l *connLimiter) countHead(c *clientConn, part []byte) bool {
	if !c.hasHeads || len(part) > headBufferBytes {
		return true
	}
	c.aheadBytes = overload.HeadCost(part)
	if _, inactive := l.inactive[c]; !inactive { // it is a body, or belongs to the next head
		return true
	}
	return l.reserveHead(c, c.aheadBytes)
}

// reserveHead counts n more bytes of a connection's head. The caller holds the lock.
func (l *connLimiter) reserveHead(c *clientConn, n int64) bool {
	for c.headBytes+n > smallHeadBytes && l.maxHeadBytes > 0 && l.headBytes+n > l.maxHeadBytes {
		other := l.oldestLargeHead()
		if other == nil || other == c {
			return false
		}
		l.releaseHead(other)
		_ = other.Conn.Close() // its reader notices
	}
	c.headBytes += n
	l.headBytes += n
	return true
}

// oldestLargeHead returns the connection that has been without a whole head for longest, of those whose heads are not small; nil if there is none. The caller
// holds the lock.
func (l *connLimiter) oldestLargeHead() (oldest *clientConn) {
	for conn, in := range l.inactive {
		c, ok := conn.(*clientConn)
		if ok && c.headBytes > smallHeadBytes && (oldest == nil || in.since.Before(l.inactive[oldest].since)) {
			oldest = c
		}
	}
	return oldest
}

// releaseHead gives back what a connection's heads have taken. The caller holds the lock.
func (l *connLimiter) releaseHead(c *clientConn) {
	l.headBytes -= c.headBytes
	c.headBytes = 0
}

// settleHead gives back what the head of a request has taken when the connection's state changes. What was read last may belong to the next head. The caller
// holds the lock.
func (l *connLimiter) settleHead(c *clientConn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		l.releaseHead(c)
		if !l.reserveHead(c, c.aheadBytes) {
			_ = c.Conn.Close() // its reader notices
		}
	case http.StateClosed, http.StateHijacked:
		l.releaseHead(c)
	}
}
