package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/connstate"
)

// conn is one connection to an upstream host. It carries one request at a time.
type conn struct {
	net.Conn
	endpoint    balance.EndpointID
	addr        string // of the host, as discovery lists it
	kind        connKind
	idleSince   time.Time     // zero: it has carried no request yet
	maxIdle     time.Duration // by the host's Keep-Alive header; 0: it states none
	connectTime time.Duration // how long the TCP handshake took, as an estimate of the round-trip time
	written     int           // bytes of the present request that were handed to the connection

	headLimit     *io.LimitedReader // HTTP: how many bytes of the present heads are still read
	namesRequests bool              // HTTP: the host's responses name their requests
	reader        *bufio.Reader     // HTTP, while a response is read; nil: nothing is buffered
	deadlines     readDeadlines     // HTTP
	lastSeq       int32             // Thrift: sequence id of the last call
}

func newConn(nc net.Conn, id balance.EndpointID, addr string, kind connKind) *conn {
	c := &conn{Conn: nc, endpoint: id, addr: addr, kind: kind}
	if kind.protocol == "" {
		c.headLimit = &io.LimitedReader{R: (*deadlineReader)(c)}
	}
	return c
}

const readBufferSize = 2 << 10 // bytes

// readerPool lends readers to connections that are in use. Most connections are idle, and a reader that was used just now is
// still in the processor's cache.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

func newReader(from io.Reader) *bufio.Reader {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(from)
	return r
}

// releaseReader gives the reader of a connection that becomes idle back to the pool, unless it has buffered bytes that no
// request asked for.
func (c *conn) releaseReader() {
	if c.reader != nil && c.reader.Buffered() == 0 {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// nothingToRead reports whether the host has neither closed the connection nor sent anything that is not read yet.
func (c *conn) nothingToRead() bool {
	return (c.reader == nil || c.reader.Buffered() == 0) && connstate.Peek(c.Conn) == connstate.NoData
}

// interrupt makes any read and write that is under way return at once.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// close closes the connection. Its error is dropped: nothing is buffered that somebody still wants.
func (c *conn) close() { _ = c.Conn.Close() }

// setReadDeadline sets how long reading may take, unless ctx has ended.
func (c *conn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // on a broken connection the next read returns the error
	if ctx.Err() != nil {
		c.interrupt() // its interrupt may have come before the line above
	}
}

// startReading prepares for reading a response: until the deadline, and from its first byte on with no longer gap between two
// reads than stallTimeout.
func (c *conn) startReading(ctx context.Context, deadline time.Time, stallTimeout time.Duration) {
	if c.reader == nil {
		c.reader = newReader(c.headLimit)
	}
	c.deadlines.ctx = ctx
	c.deadlines.deadline = deadline
	c.deadlines.stallTimeout = stallTimeout
	c.deadlines.started = false
}

// readDeadlines bound how long reading a response may take.
type readDeadlines struct {
	ctx          context.Context
	deadline     time.Time     // for all of it
	stallTimeout time.Duration // between two reads, once the response has started
	started      bool
	aborted      atomic.Bool // nothing more is to be read
}

// deadlineReader reads a connection within its readDeadlines.
type deadlineReader conn

func (c *deadlineReader) Read(b []byte) (int, error) {
	d := &c.deadlines
	if d.started {
		at := time.Now().Add(d.stallTimeout)
		if d.deadline.Before(at) {
			at = d.deadline
		}
		_ = c.Conn.SetReadDeadline(at) // on a broken connection the read below returns the error
	}
	if d.aborted.Load() || d.ctx.Err() != nil {
		(*conn)(c).interrupt() // its interrupt may have come before the line above
	}
	n, err := c.Conn.Read(b)
	d.started = d.started || n > 0
	return n, err
}
