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
	maxPipelined   = 16                     // calls of one connection that are under way at once
	readBufferSize = 4 << 10                // bytes at once, and of a beginning message that are not counted
	writeTimeout   = 5 * time.Second        // answers that lie ready: a client that does not take them has gone
	lingerTimeout  = 250 * time.Millisecond // after the last answer, for the client to read it and hang up
)

var (
	errMessageTimeout      = errors.New("the message was not whole in time")
	errNotACall            = errors.New("the message is neither a call nor a oneway")
	errBodyMemoryExhausted = errors.New("too many bodies at once")
)

// conn is one connection. Its reader is the goroutine of run; every call has one of its own, and whichever
// finds the next answers ready writes them.
type conn struct {
	net.Conn
	server *Server
	ctx    context.Context // of its calls; ends when the client leaves
	cancel context.CancelFunc

	mu           sync.Mutex
	callDone     *sync.Cond // something that was under way has ended
	calls        []*call    // answers that are owed, in the order of the calls
	oneways      int        // under way
	writing      bool       // somebody writes answers
	active       bool       // as the shared bounds know it
	messageStart time.Time  // when the message came that is being read; zero: none is
	stopping     bool       // no more calls are taken than have come
	unreadAtStop int        // bytes that had come by then, at most
	finalRead    bool       // a read has begun that is only for those
	discarding   bool       // nothing more is read: what still comes is dropped

	// The reader's.
	reader        *thriftwire.Reader
	reservedBytes int // bytes counted for the message that is being read
}

// call is an answer that is owed.
type call struct {
	head  thriftwire.Head
	reply []byte // nil: not yet there
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, reader: thriftwire.NewReader(s.limits, s.form)}
	c.callDone = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(s.manager.StreamContext())
	return c
}

// run serves the connection until the client leaves, falls silent, breaks the protocol or is to go elsewhere.
// In the last two cases its calls are seen through first. A oneway is seen through in any case: its client waits
// for nothing, so that its leaving says nothing.
func (c *conn) run() {
	defer c.server.connClosed(c)
	if c.readCalls(make([]byte, readBufferSize)) {
		c.finish()
	}
	c.cancel()
	_ = c.Close() // what was owed is written, or can't be
	c.server.manager.ReleaseBytes(c.reservedBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.busy() {
		c.callDone.Wait()
	}
}

// take reads calls and starts them. It returns whether the client may still be there. A panic ends this
// connection alone.
func (c *conn) readCalls(buf []byte) (there bool) {
	defer func() {
		if fault := recover(); fault != nil {
			c.server.log.Error().Interface("panic", fault).Msg("stream failed")
			there = false
		}
	}()
	for c.prepareRead() {
		n, err := c.Read(buf)
		c.countRead(n)
		if n > 0 {
			if fault := c.feed(buf[:n]); fault != nil {
				c.protocolError(fault)
				return true
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case c.idleTimedOut():
			return false
		case c.messageTimedOut():
			c.protocolError(errMessageTimeout)
			return true
		}
	}
	return true
}

// feed takes bytes that came, and every call that they make whole.
func (c *conn) feed(b []byte) error {
	at := c.setPending(len(b))
	c.reader.Feed(b)
	for {
		m, whole, err := c.reader.Next()
		switch {
		case err != nil:
			return err
		case !whole:
			c.setPending(c.reader.Pending())
			return c.reserve(c.reader.Pending())
		case m.Kind != thriftwire.Call && m.Kind != thriftwire.Oneway:
			return errNotACall
		}
		c.setPending(0)
		c.startCall(m, at) // also at the end: what has been read is taken
		at = time.Now()    // what follows came with this one
	}
}

// keep counts the bytes of a message that is not whole yet.
func (c *conn) reserve(n int) error {
	n = max(0, n-readBufferSize)
	if n > c.reservedBytes && !c.server.manager.ReserveBytes(n-c.reservedBytes) {
		return errBodyMemoryExhausted
	}
	if n < c.reservedBytes {
		c.server.manager.ReleaseBytes(c.reservedBytes - n)
	}
	if n == 0 && c.reservedBytes > 0 && c.reader.Pending() == 0 { // or an idle connection would keep the room for it
		if form, known := c.reader.Form(); known {
			c.reader = thriftwire.NewReader(c.server.limits, &form)
		}
	}
	c.reservedBytes = n
	return nil
}

// call begins a call that came at that time, once fewer than so many are under way, and answers it when it ends.
func (c *conn) startCall(m thriftwire.Message, at time.Time) {
	of := c.server.method(m.Head)
	if of != nil && of.oneway {
		m.Kind = thriftwire.Oneway
	}
	req, bad := c.server.decode(m, of, at)
	k := c.addCall(m.Head)
	side, head := c.server.manager, m.Head
	room := side.StartStream(c.LocalAddr())
	if room && bad == nil && side.ReserveBytes(len(m.Body)) {
		req.Body = append(make([]byte, 0, len(m.Body)), m.Body...)
		ctx := side.StreamContext() // a oneway's client waits for nothing
		if k != nil {
			ctx, req.Left = c.ctx, c.clientClosed
		}
		go func() {
			res := c.server.serveStream(ctx, req)
			side.ReleaseBytes(len(req.Body))
			side.EndStream()
			c.completeCall(k, encodeReply(head, res))
		}()
		return
	}
	side.EndStream()
	switch {
	case bad == nil:
		c.completeCall(k, encodeReply(head, c.server.refuseStream(req)))
	case !room: // nor is there any to find fault with it
		c.completeCall(k, encodeReply(head, stream.Response{Outcome: stream.Refused}))
	default:
		c.completeCall(k, encodeException(head, *bad))
	}
}

// fault answers what is no call, and ends the connection after what is owed before: what follows need not be a
// message. Where no form is known it is the commonest one, whose text can be read in other protocols' logs.
func (c *conn) protocolError(fault error) {
	form, _ := c.reader.Form()
	e := thriftwire.ApplicationException{Type: thriftwire.TypeProtocolError, Message: "pinelb: protocol error; " + fault.Error()}
	if fault == errBodyMemoryExhausted {
		e = thriftwire.ApplicationException{Type: typeRefused, Message: "pinelb: refused; " + fault.Error()}
	}
	k := c.addCall(thriftwire.Head{Form: form, Kind: thriftwire.Call})
	c.completeCall(k, encodeException(k.head, e))
}

// left tells whether the client has gone, which the reader may be too busy to notice.
func (c *conn) clientClosed() bool { return downstream.PeerClosed(c.Conn) }

// finish sees through what is owed. What still comes is dropped, so that closing does not reset the connection
// under an answer that its client is yet to read, and the client's leaving is noticed.
func (c *conn) finish() {
	c.mu.Lock()
	c.discarding = true
	c.linger()
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Conn) // until the client hangs up, or the time for it is over
}
