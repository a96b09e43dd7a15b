package thrift

import (
	"net"
	"net/http"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/thriftwire"
)

// prepareRead reports whether another read is wanted, and sets its deadline. While stopping, reads go on only for what had come
// by then.
func (c *conn) prepareRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && c.messageStart.IsZero() {
		if c.unreadAtStop <= 0 {
			return false
		}
		c.finalRead = true
		c.server.manager.ExpireRead(c.Conn)
		return true
	}
	var deadline time.Time // none while calls are in flight: the client may wait for them
	switch {
	case !c.messageStart.IsZero():
		deadline = c.messageStart.Add(downstream.MessageTimeout)
	case !c.busy():
		deadline = time.Now().Add(downstream.IdleTimeout)
	}
	_ = c.SetReadDeadline(deadline) // on a broken connection the read returns the error
	return true
}

// countRead counts n bytes that a read has returned against those that had come when the connection began to stop.
func (c *conn) countRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.stopping:
	case n > 0:
		c.unreadAtStop -= n
	case c.finalRead: // nothing is left
		c.unreadAtStop = 0
	}
}

// busy reports whether anything is in flight. The caller holds the lock.
func (c *conn) busy() bool { return len(c.calls) > 0 || c.oneways > 0 || c.writing }

// idleTimedOut reports whether a read timed out because the connection is idle.
func (c *conn) idleTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stopping && c.messageStart.IsZero() && !c.busy()
}

// messageTimedOut reports whether a read timed out because a message is not complete in time.
func (c *conn) messageTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.messageStart.IsZero() && time.Since(c.messageStart) >= downstream.MessageTimeout
}

// setPending records how many bytes of an incomplete message there are, and returns when the first of them came.
func (c *conn) setPending(pending int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending == 0 {
		c.messageStart = time.Time{}
	} else if c.messageStart.IsZero() {
		c.messageStart = time.Now()
		c.updateState()
	}
	return c.messageStart
}

// updateState reports a change between active and idle to the manager, which may evict an idle connection. The caller holds the
// lock.
func (c *conn) updateState() {
	if active := c.busy() || !c.messageStart.IsZero() || c.discarding; active != c.active {
		c.active = active
		state := http.StateIdle
		if active {
			state = http.StateActive
		}
		c.server.manager.ConnStateChanged(c.Conn, state)
	}
}

// addCall waits until fewer than maxPipelined calls are in flight and adds one, which completeCall ends; nil stands for a
// oneway.
func (c *conn) addCall(h thriftwire.Head) (k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.calls)+c.oneways >= maxPipelined {
		c.callDone.Wait()
	}
	if h.Kind == thriftwire.Oneway {
		c.oneways++
	} else {
		k = &call{head: h}
		c.calls = append(c.calls, k)
	}
	c.updateState()
	return k
}

// completeCall sets a call's reply, and writes all replies that are next in order. A oneway has none.
func (c *conn) completeCall(k *call, reply []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k == nil {
		c.oneways--
	} else {
		k.reply = reply
		c.server.manager.ChargeBytes(len(reply))
		c.flush()
	}
	c.callDone.Broadcast()
	if c.server.manager.ClosesConnections() {
		c.stopLocked()
	}
	switch {
	case c.discarding:
		c.linger()
	case !c.busy() && c.messageStart.IsZero() && !c.stopping:
		_ = c.SetReadDeadline(time.Now().Add(downstream.IdleTimeout))
	}
	c.updateState()
}

// flush writes the replies that are next in the order of the calls, unless another goroutine does. The caller holds the lock,
// which is released while writing.
func (c *conn) flush() {
	if c.writing {
		return
	}
	c.writing = true
	for len(c.calls) > 0 && c.calls[0].reply != nil {
		var replies net.Buffers
		size := 0
		for len(replies) < len(c.calls) && c.calls[len(replies)].reply != nil {
			size += len(c.calls[len(replies)].reply)
			replies = append(replies, c.calls[len(replies)].reply)
		}
		written := len(replies)
		c.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := replies.WriteTo(c.Conn); err != nil { // the client has left, or reads nothing
			c.cancel()
			_ = c.Close()
		}
		c.server.manager.ReleaseBytes(size)
		c.mu.Lock()
		c.calls = slices.Delete(c.calls, 0, written) // which clears them, or an idle connection would keep its last replies
	}
	c.writing = false
}

// stop makes the connection accept no more calls than have come, the one that is being read included, and close after their
// replies.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLocked()
}

// stopLocked is stop for a caller that holds the lock.
func (c *conn) stopLocked() {
	if !c.stopping {
		c.stopping, c.unreadAtStop = true, downstream.UnreadBytes(c.Conn)+readBufferSize // a read may have returned so much just now
		if c.messageStart.IsZero() && !c.discarding {
			c.server.manager.ExpireRead(c.Conn) // the reading goroutine may wait for another call
		}
	}
}

// linger sets how long what comes is discarded: while replies are not written, and then for lingerTimeout. The caller holds the
// lock.
func (c *conn) linger() {
	if len(c.calls) > 0 || c.writing {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // it fails where the client has left
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}
