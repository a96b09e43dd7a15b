package thrift

import (
	"net"
	"net/http"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/thriftwire"
)

// goOn tells whether another read is wanted, and sets how long it may take. The last ones are for what had come by then.
func (c *conn) goOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && c.begun.IsZero() {
		if c.owed <= 0 {
			return false
		}
		c.final = true
		c.s.side.Retire(c.Conn)
		return true
	}
	var until time.Time // while calls are under way, the client may wait for them
	switch {
	case !c.begun.IsZero():
		until = c.begun.Add(downstream.ReadWithin)
	case !c.busy():
		until = time.Now().Add(downstream.IdleWithin)
	}
	_ = c.SetReadDeadline(until) // on a connection that is broken the read says so
	return true
}

// took counts what a read has brought of what had come by the end.
func (c *conn) took(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.stopping:
	case n > 0:
		c.owed -= n
	case c.final: // there is nothing
		c.owed = 0
	}
}

// busy tells whether anything is under way; the caller holds the lock.
func (c *conn) busy() bool { return len(c.calls) > 0 || c.oneways > 0 || c.writing }

// silent tells whether a read took too long because nothing is going on.
func (c *conn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stopping && c.begun.IsZero() && !c.busy()
}

// slow tells whether a read took too long because a message does not become whole.
func (c *conn) slow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.begun.IsZero() && time.Since(c.begun) >= downstream.ReadWithin
}

// reading notes how many bytes there are of a message that is not whole, and returns when the first came.
func (c *conn) reading(pending int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending == 0 {
		c.begun = time.Time{}
	} else if c.begun.IsZero() {
		c.begun = time.Now()
		c.mark()
	}
	return c.begun
}

// mark tells the shared bounds whether the connection may be shed; the caller holds the lock.
func (c *conn) mark() {
	if active := c.busy() || !c.begun.IsZero() || c.over; active != c.active {
		c.active = active
		state := http.StateIdle
		if active {
			state = http.StateActive
		}
		c.s.side.Changed(c.Conn, state)
	}
}

// begin waits until fewer than aheadMost calls are under way and adds one, whose answer end gives; nil is a
// oneway.
func (c *conn) begin(h thriftwire.Head) (k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.calls)+c.oneways >= aheadMost {
		c.settled.Wait()
	}
	if h.Kind == thriftwire.Oneway {
		c.oneways++
	} else {
		k = &call{head: h}
		c.calls = append(c.calls, k)
	}
	c.mark()
	return k
}

// end gives a call's answer, and writes all that are next; of a oneway there is none.
func (c *conn) end(k *call, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k == nil {
		c.oneways--
	} else {
		k.answer = answer
		c.s.side.Owe(len(answer))
		c.flush()
	}
	c.settled.Broadcast()
	if c.s.side.Closing() {
		c.halt()
	}
	switch {
	case c.over:
		c.linger()
	case !c.busy() && c.begun.IsZero() && !c.stopping:
		_ = c.SetReadDeadline(time.Now().Add(downstream.IdleWithin))
	}
	c.mark()
}

// flush writes the answers that are next in the order of the calls, unless somebody does. The caller holds the
// lock, which is released meanwhile.
func (c *conn) flush() {
	if c.writing {
		return
	}
	c.writing = true
	for len(c.calls) > 0 && c.calls[0].answer != nil {
		var out net.Buffers
		n := 0
		for len(out) < len(c.calls) && c.calls[len(out)].answer != nil {
			n += len(c.calls[len(out)].answer)
			out = append(out, c.calls[len(out)].answer)
		}
		done := len(out)
		c.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := out.WriteTo(c.Conn); err != nil { // the client has left, or takes nothing
			c.leave()
			_ = c.Close()
		}
		c.s.side.Free(n)
		c.mu.Lock()
		c.calls = slices.Delete(c.calls, 0, done) // which forgets them, or an idle connection would keep its last answers
	}
	c.writing = false
}

// stop has the connection take no more calls than have come, and one that has begun to, and close after its answers.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halt()
}

// halt is stop, where the caller holds the lock.
func (c *conn) halt() {
	if !c.stopping {
		c.stopping, c.owed = true, downstream.Unread(c.Conn)+readSize // which the reader may have in hand
		if c.begun.IsZero() && !c.over {
			c.s.side.Retire(c.Conn) // the reader may be waiting for another
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
	_ = c.SetReadDeadline(time.Now().Add(lingerFor))
}
