package thrift

import (
	"net"
	"net/http"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/thriftwire"
)

// prepareRead tells whether another read is wanted, and sets how long it may take. The last ones are for what had come by then.
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
	var until time.Time // while calls are under way, the client may wait for them
	switch {
	case !c.messageStart.IsZero():
		until = c.messageStart.Add(downstream.MessageTimeout)
	case !c.busy():
		until = time.Now().Add(downstream.IdleTimeout)
	}
	_ = c.SetReadDeadline(until) // on a connection that is broken the read says so
	return true
}

// took counts what a read has brought of what had come by the end.
func (c *conn) countRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.stopping:
	case n > 0:
		c.unreadAtStop -= n
	case c.finalRead: // there is nothing
		c.unreadAtStop = 0
	}
}

// busy tells whether anything is under way; the caller holds the lock.
func (c *conn) busy() bool { return len(c.calls) > 0 || c.oneways > 0 || c.writing }

// silent tells whether a read took too long because nothing is going on.
func (c *conn) idleTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stopping && c.messageStart.IsZero() && !c.busy()
}

// slow tells whether a read took too long because a message does not become whole.
func (c *conn) messageTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.messageStart.IsZero() && time.Since(c.messageStart) >= downstream.MessageTimeout
}

// reading notes how many bytes there are of a message that is not whole, and returns when the first came.
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

// mark tells the shared bounds whether the connection may be shed; the caller holds the lock.
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

// begin waits until fewer than maxPipelined calls are under way and adds one, whose answer end gives; nil is a
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

// end gives a call's answer, and writes all that are next; of a oneway there is none.
func (c *conn) completeCall(k *call, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k == nil {
		c.oneways--
	} else {
		k.reply = answer
		c.server.manager.ChargeBytes(len(answer))
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

// flush writes the answers that are next in the order of the calls, unless somebody does. The caller holds the
// lock, which is released meanwhile.
func (c *conn) flush() {
	if c.writing {
		return
	}
	c.writing = true
	for len(c.calls) > 0 && c.calls[0].reply != nil {
		var out net.Buffers
		n := 0
		for len(out) < len(c.calls) && c.calls[len(out)].reply != nil {
			n += len(c.calls[len(out)].reply)
			out = append(out, c.calls[len(out)].reply)
		}
		done := len(out)
		c.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := out.WriteTo(c.Conn); err != nil { // the client has left, or takes nothing
			c.cancel()
			_ = c.Close()
		}
		c.server.manager.ReleaseBytes(n)
		c.mu.Lock()
		c.calls = slices.Delete(c.calls, 0, done) // which forgets them, or an idle connection would keep its last answers
	}
	c.writing = false
}

// stop has the connection take no more calls than have come, and one that has begun to, and close after its answers.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLocked()
}

// halt is stop, where the caller holds the lock.
func (c *conn) stopLocked() {
	if !c.stopping {
		c.stopping, c.unreadAtStop = true, downstream.UnreadBytes(c.Conn)+readBufferSize // which the reader may have in hand
		if c.messageStart.IsZero() && !c.discarding {
			c.server.manager.ExpireRead(c.Conn) // the reader may be waiting for another
		}
	}
}

// linger sets how long the rest of what comes is dropped: while answers are owed, and then until the client has
// had time to read them. The caller holds the lock.
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
