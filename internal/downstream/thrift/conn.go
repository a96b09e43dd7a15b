package thrift

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/thriftwire"
)

const (
	aheadMost   = 16                     // calls of one connection that are under way at once
	readSize    = 4 << 10                // bytes at once, and of a beginning message that are not counted
	writeWithin = 5 * time.Second        // answers that lie ready: a client that does not take them has gone
	lingerFor   = 250 * time.Millisecond // after the last answer, for the client to read it and hang up
)

var (
	errSlow    = errors.New("the message was not whole in time")
	errNoCall  = errors.New("the message is neither a call nor a oneway")
	errCrowded = errors.New("too many bodies at once")
)

// conn is one connection. Its reader is the goroutine of run; every call has one of its own, and whichever
// finds the next answers ready writes them.
type conn struct {
	net.Conn
	s     *Server
	ctx   context.Context // of its calls; ends when the client leaves
	leave context.CancelFunc

	mu       sync.Mutex
	settled  *sync.Cond // something that was under way has ended
	calls    []*call    // answers that are owed, in the order of the calls
	oneways  int        // under way
	writing  bool       // somebody writes answers
	active   bool       // as the shared bounds know it
	begun    time.Time  // when the message came that is being read; zero: none is
	stopping bool       // no more calls are taken than have come
	owed     int        // bytes that had come by then, at most
	final    bool       // a read has begun that is only for those
	over     bool       // nothing more is read: what still comes is dropped

	// The reader's.
	in   *thriftwire.Reader
	kept int // bytes counted for the message that is being read
}

// call is an answer that is owed.
type call struct {
	head   thriftwire.Head
	answer []byte // nil: not yet there
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, s: s, in: thriftwire.NewReader(s.limits, s.form)}
	c.settled = sync.NewCond(&c.mu)
	c.ctx, c.leave = context.WithCancel(s.side.Life())
	return c
}

// run serves the connection until the client leaves, falls silent, breaks the protocol or is to go elsewhere.
// In the last two cases its calls are seen through first. A oneway is seen through in any case: its client waits
// for nothing, so that its leaving says nothing.
func (c *conn) run() {
	defer c.s.gone(c)
	if c.take(make([]byte, readSize)) {
		c.finish()
	}
	c.leave()
	_ = c.Close() // what was owed is written, or can't be
	c.s.side.Free(c.kept)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.busy() {
		c.settled.Wait()
	}
}

// take reads calls and starts them. It returns whether the client may still be there. A panic ends this
// connection alone.
func (c *conn) take(buf []byte) (there bool) {
	defer func() {
		if fault := recover(); fault != nil {
			c.s.log.Error().Interface("panic", fault).Msg("stream failed")
			there = false
		}
	}()
	for c.goOn() {
		n, err := c.Read(buf)
		c.took(n)
		if n > 0 {
			if fault := c.feed(buf[:n]); fault != nil {
				c.fault(fault)
				return true
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case c.silent():
			return false
		case c.slow():
			c.fault(errSlow)
			return true
		}
	}
	return true
}

// feed takes bytes that came, and every call that they make whole.
func (c *conn) feed(b []byte) error {
	at := c.reading(len(b))
	c.in.Feed(b)
	for {
		m, whole, err := c.in.Next()
		switch {
		case err != nil:
			return err
		case !whole:
			c.reading(c.in.Pending())
			return c.keep(c.in.Pending())
		case m.Kind != thriftwire.Call && m.Kind != thriftwire.Oneway:
			return errNoCall
		}
		c.reading(0)
		c.call(m, at)   // also at the end: what has been read is taken
		at = time.Now() // what follows came with this one
	}
}

// keep counts the bytes of a message that is not whole yet.
func (c *conn) keep(n int) error {
	n = max(0, n-readSize)
	if n > c.kept && !c.s.side.Keep(n-c.kept) {
		return errCrowded
	}
	if n < c.kept {
		c.s.side.Free(c.kept - n)
	}
	if n == 0 && c.kept > 0 && c.in.Pending() == 0 { // or an idle connection would keep the room for it
		if form, known := c.in.Form(); known {
			c.in = thriftwire.NewReader(c.s.limits, &form)
		}
	}
	c.kept = n
	return nil
}

// call begins a call that came at that time, once fewer than so many are under way, and answers it when it ends.
func (c *conn) call(m thriftwire.Message, at time.Time) {
	of := c.s.method(m.Head)
	if of != nil && of.oneway {
		m.Kind = thriftwire.Oneway
	}
	req, bad := c.s.decode(m, of, at)
	k := c.begin(m.Head)
	side, head := c.s.side, m.Head
	room := side.Enter(c.LocalAddr())
	if room && bad == nil && side.Keep(len(m.Body)) {
		req.Body = append(make([]byte, 0, len(m.Body)), m.Body...)
		ctx := side.Life() // a oneway's client waits for nothing
		if k != nil {
			ctx, req.ClientGone = c.ctx, c.left
		}
		go func() {
			res := c.s.serve(ctx, req)
			side.Free(len(req.Body))
			side.Leave()
			c.end(k, encode(head, res))
		}()
		return
	}
	side.Leave()
	switch {
	case bad == nil:
		c.end(k, encode(head, c.s.refuse(req)))
	case !room: // nor is there any to find fault with it
		c.end(k, encode(head, stream.Response{Outcome: stream.RejectedLocally}))
	default:
		c.end(k, exception(head, *bad))
	}
}

// fault answers what is no call, and ends the connection after what is owed before: what follows need not be a
// message. Where no form is known it is the commonest one, whose text can be read in other protocols' logs.
func (c *conn) fault(fault error) {
	form, _ := c.in.Form()
	e := thriftwire.ApplicationException{Type: thriftwire.TypeProtocolError, Message: "pinelb: protocol error; " + fault.Error()}
	if fault == errCrowded {
		e = thriftwire.ApplicationException{Type: typeRefused, Message: "pinelb: refused; " + fault.Error()}
	}
	k := c.begin(thriftwire.Head{Form: form, Kind: thriftwire.Call})
	c.end(k, exception(k.head, e))
}

// left tells whether the client has gone, which the reader may be too busy to notice.
func (c *conn) left() bool { return downstream.Left(c.Conn) }

// finish sees through what is owed. What still comes is dropped, so that closing does not reset the connection
// under an answer that its client is yet to read, and the client's leaving is noticed.
func (c *conn) finish() {
	c.mu.Lock()
	c.over = true
	c.linger()
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Conn) // until the client hangs up, or the time for it is over
}
