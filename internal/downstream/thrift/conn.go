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
	maxPipelined   = 16                     // calls of one connection that are in flight at once
	readBufferSize = 4 << 10                // bytes; so much of an incomplete message is not counted as a body
	writeTimeout   = 5 * time.Second        // for replies: a client that does not read them has gone
	lingerTimeout  = 250 * time.Millisecond // after the last reply, for the client to read it and close
)

// Why a connection is closed with an exception. Their texts are part of it.
var (
	errMessageTimeout      = errors.New("the message was not whole in time")
	errNotACall            = errors.New("the message is neither a call nor a oneway")
	errBodyMemoryExhausted = errors.New("too many bodies at once")
)

// conn is one client connection. The goroutine of run reads it; every call has a goroutine of its own, and whichever completes
// the next reply in order writes all that are ready.
type conn struct {
	net.Conn
	server *Server
	ctx    context.Context // of its calls; ends when the client leaves
	cancel context.CancelFunc

	mu           sync.Mutex
	callDone     *sync.Cond // signalled when something in flight has ended
	calls        []*call    // without a written reply, in the order in which they came
	oneways      int        // in flight
	writing      bool       // a goroutine writes replies
	active       bool       // the state that was reported to the manager last
	messageStart time.Time  // when the message that is being read came; zero: none is
	stopping     bool       // no more calls are accepted than had come by then
	unreadAtStop int        // bytes of them that are still to be read, at most
	finalRead    bool       // a read has begun that is only for those
	discarding   bool       // what still comes is dropped

	// Used by the reading goroutine alone.
	reader        *thriftwire.Reader
	reservedBytes int // for the message that is being read
}

// call is a call whose reply is not written yet.
type call struct {
	head  thriftwire.Head
	reply []byte // nil: the call is in flight
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, reader: thriftwire.NewReader(s.limits, s.form)}
	c.callDone = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(s.manager.StreamContext())
	return c
}

// run serves the connection until the client leaves, is idle for too long or breaks the protocol, or the server stops. In the
// last two cases its calls are completed first. A oneway is completed in any case: its client waits for nothing, so that its
// leaving means nothing.
func (c *conn) run() {
	defer c.server.connClosed(c)
	if c.readCalls(make([]byte, readBufferSize)) {
		c.finish()
	}
	c.cancel()
	_ = c.Close() // all replies are written, or can't be
	c.server.manager.ReleaseBytes(c.reservedBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.busy() {
		c.callDone.Wait()
	}
}

// readCalls reads calls and starts them. It reports whether the client may still be there. A panic ends this connection alone.
func (c *conn) readCalls(buf []byte) (connected bool) {
	defer func() {
		if fault := recover(); fault != nil {
			c.server.log.Error().Interface("panic", fault).Msg("stream failed")
			connected = false
		}
	}()
	for c.prepareRead() {
		n, err := c.Read(buf)
		c.countRead(n)
		if n > 0 {
			if malformed := c.feed(buf[:n]); malformed != nil {
				c.protocolError(malformed)
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

// feed parses bytes that were read, and starts every call that they complete.
func (c *conn) feed(b []byte) error {
	arrived := c.setPending(len(b))
	c.reader.Feed(b)
	for {
		m, complete, err := c.reader.Next()
		switch {
		case err != nil:
			return err
		case !complete:
			c.setPending(c.reader.Pending())
			return c.reserve(c.reader.Pending())
		case m.Kind != thriftwire.Call && m.Kind != thriftwire.Oneway:
			return errNotACall
		}
		c.setPending(0)
		c.startCall(m, arrived) // also while draining: what was read is served
		arrived = time.Now()    // the next one came with this one
	}
}

// reserve counts the bytes of an incomplete message.
func (c *conn) reserve(pending int) error {
	n := max(0, pending-readBufferSize)
	if n > c.reservedBytes && !c.server.manager.ReserveBytes(n-c.reservedBytes) {
		return errBodyMemoryExhausted
	}
	if n < c.reservedBytes {
		c.server.manager.ReleaseBytes(c.reservedBytes - n)
	}
	if n == 0 && c.reservedBytes > 0 && c.reader.Pending() == 0 { // or an idle connection would keep the large buffer
		if form, known := c.reader.Form(); known {
			c.reader = thriftwire.NewReader(c.server.limits, &form)
		}
	}
	c.reservedBytes = n
	return nil
}

// startCall starts a call that came at that time, once fewer than maxPipelined are in flight. Its reply follows when it ends.
func (c *conn) startCall(m thriftwire.Message, arrived time.Time) {
	meth := c.server.method(m.Head)
	if meth != nil && meth.oneway {
		m.Kind = thriftwire.Oneway
	}
	req, invalid := c.server.decode(m, meth, arrived)
	k := c.addCall(m.Head)
	manager, head := c.server.manager, m.Head
	admitted := manager.StartStream(c.LocalAddr())
	if admitted && invalid == nil && manager.ReserveBytes(len(m.Body)) {
		req.Body = append(make([]byte, 0, len(m.Body)), m.Body...)
		ctx := manager.StreamContext() // a oneway's client waits for nothing
		if k != nil {
			ctx, req.ClientGone = c.ctx, c.clientClosed
		}
		go func() {
			res := c.server.serveStream(ctx, req)
			manager.ReleaseBytes(len(req.Body))
			manager.EndStream()
			c.completeCall(k, encodeReply(head, res))
		}()
		return
	}
	manager.EndStream()
	switch {
	case invalid == nil:
		c.completeCall(k, encodeReply(head, c.server.refuseStream(req)))
	case !admitted: // nor is there capacity to report the fault
		c.completeCall(k, encodeReply(head, stream.Response{Outcome: stream.RejectedLocally}))
	default:
		c.completeCall(k, encodeException(head, *invalid))
	}
}

// protocolError replies to what is no call, after the replies before it; the connection ends with it, as what follows need not
// be a message. Where no form is known the reply has the most common one, whose text is readable in other protocols' logs.
func (c *conn) protocolError(cause error) {
	form, _ := c.reader.Form()
	e := thriftwire.ApplicationException{Type: thriftwire.TypeProtocolError, Message: "pinelb: protocol error; " + cause.Error()}
	if errors.Is(cause, errBodyMemoryExhausted) {
		e = thriftwire.ApplicationException{Type: typeRefused, Message: "pinelb: refused; " + cause.Error()}
	}
	k := c.addCall(thriftwire.Head{Form: form, Kind: thriftwire.Call})
	c.completeCall(k, encodeException(k.head, e))
}

// clientClosed reports whether the client has left, also where the reading goroutine is too busy to notice.
func (c *conn) clientClosed() bool { return downstream.PeerClosed(c.Conn) }

// finish completes the calls in flight. What still comes is discarded, so that closing does not reset the connection under a
// reply that its client is yet to read, and so that the client's leaving is noticed.
func (c *conn) finish() {
	c.mu.Lock()
	c.discarding = true
	c.linger()
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Conn) // until the client closes, or the deadline that linger has set
}
