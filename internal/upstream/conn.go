package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/connstate"
	"pinelb.example/pinelb/internal/stream"
)

const (
	maxBufferedBody      = 64 << 10               // bytes of a body that is held whole; longer ones are passed on as they come
	maxResponseBody      = 64 << 20               // bytes of any answer's body: a host that states more has spoilt it
	maxHeadBytes         = 32 << 10               // of an answer's heads, 1xx ones included
	thriftReplyTimeout   = 300 * time.Millisecond // from an answer's first byte to its last, over Thrift: more than a lost packet takes
	readStallTimeout     = time.Second            // and over HTTP from one piece of an answer to the next, which slow hosts take their time for
	streamStallTimeout   = 5 * time.Second        // the same of one that is passed on: cutting it off loses it, and waiting costs a connection
	maxStreamDuration    = 20 * time.Minute       // for all of it: one that never ends holds two connections, however it drips. As stream.UploadMost
	unknownLengthTimeout = 200 * time.Millisecond // from a head that states no length on, after which the body is passed on as it comes
	initialBodyCapacity  = 4 << 10                // bytes to begin with
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	endpoint    balance.EndpointID
	addr        string // the host's, as discovery lists it
	kind        connKind
	idleSince   time.Time
	maxIdle     time.Duration // as the host states it; 0: it states none
	connectTime time.Duration // there and back, as its opening took

	headLimit     *io.LimitedReader // HTTP: what may still come of the present heads
	namesRequests bool              // HTTP: the host's answers name their requests
	reader        *bufio.Reader     // HTTP, from a request's answer on; nil: nothing is read ahead
	deadlines     readDeadlines     // HTTP
	lastSeq       int32             // Thrift: of the last call
}

func newConn(nc net.Conn, id balance.EndpointID, addr string, kind connKind) *conn {
	c := &conn{Conn: nc, endpoint: id, addr: addr, kind: kind}
	if kind.protocol == "" {
		c.headLimit = &io.LimitedReader{R: (*deadlineReader)(c)}
	}
	return c
}

// readers are for connections that are in use: most are idle, and a reader that was used just now is in the processor's cache.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2<<10) }}

func newReader(from io.Reader) *bufio.Reader {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(from)
	return r
}

// rests has a connection that becomes idle give its reader back, unless more has come than was asked for.
func (c *conn) releaseReader() {
	if c.reader != nil && c.reader.Buffered() == 0 {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// quiet tells whether the other side has neither closed an idle connection nor said anything on it.
func (c *conn) peerSilent() bool {
	return (c.reader == nil || c.reader.Buffered() == 0) && connstate.Look(c.Conn) == connstate.Silent
}

// interrupt makes what is under way on the connection return at once.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.Conn.Close() } // nothing that is still wanted is lost by an error here

// pacing is how long reading may take at present.
type readDeadlines struct {
	ctx          context.Context
	deadline     time.Time     // the latest
	stallTimeout time.Duration // from one piece to the next, once an answer has begun
	started      bool
	aborted      atomic.Bool // no more is to be read, whatever comes
}

// paced is a connection read at its pace.
type deadlineReader conn

func (c *deadlineReader) Read(b []byte) (int, error) {
	p := &c.deadlines
	if p.started {
		at := time.Now().Add(p.stallTimeout)
		if p.deadline.Before(at) {
			at = p.deadline
		}
		_ = c.Conn.SetReadDeadline(at) // on a connection that is broken the read says so
	}
	if p.aborted.Load() || p.ctx.Err() != nil {
		(*conn)(c).interrupt() // it may have come before
	}
	n, err := c.Conn.Read(b)
	p.started = p.started || n > 0
	return n, err
}

// answer is an upstream host's final answer, whole or the beginning of it.
type hostResponse struct {
	status        int
	shedLoad      bool
	attempted     budget.Tried
	mediaType     string
	body          []byte
	reusable      bool          // the connection may carry another request, once the answer is whole
	keepAlive     bool          // with rest: the host goes on with the connection
	remainder     io.ReadCloser // what follows body and still comes; nil: nothing does
	contentLength int64         // with rest: of both; below 0: not stated
}

// read reads one final answer. An error means that there was none, or that it can't be told whole. It reads
// heads of so many bytes and no more, for a head need not end and 1xx answers need not stop coming; and once an
// answer has begun it waits for each piece of it so long and no longer, as one that stops half-way will not go on.
// Answers are filled in and not passed up: each attempt has a goroutine of its own, whose stack would have to grow for them.
func (c *conn) readResponse(ctx context.Context, deadline time.Time, a *hostResponse) error {
	if c.reader == nil {
		c.reader = newReader(c.headLimit)
	}
	c.headLimit.N = maxHeadBytes
	c.deadlines.ctx, c.deadlines.deadline, c.deadlines.stallTimeout, c.deadlines.started = ctx, deadline, readStallTimeout, false
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return c.classifyReadError(err)
		}
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return c.classifyReadError(err)
		}
		if res.StatusCode < 200 { // the final answer may take its time
			c.deadlines.started = c.reader.Buffered() > 0
			c.setReadDeadline(ctx, deadline)
			continue
		}
		if res.ContentLength > maxResponseBody {
			return errMalformedResponse
		}
		c.headLimit.N = 2 * maxResponseBody // with its framing: chunks that don't end are cut there
		body, more, err := readBody(res)
		if err != nil {
			return c.classifyReadError(err)
		}
		a.status, a.contentLength, a.body = res.StatusCode, res.ContentLength, body
		a.shedLoad, a.mediaType = res.Header.Get("X-Turned-Away") == "1", res.Header.Get("Content-Type")
		a.attempted = budget.ReadTried(res.Header.Get(budget.TriedHeader))
		a.reusable = !res.Close && !more && c.reader.Buffered() == 0
		if more && a.status == http.StatusOK {
			a.remainder, a.keepAlive = res.Body, !res.Close
		}
		return nil
	}
}

// wait sets how long reading may take, unless it has been interrupted.
func (c *conn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // on a connection that is broken the next read says so
	if ctx.Err() != nil {
		c.interrupt() // it may have come before
	}
}

// fault tells an answer that breaks the protocol from a connection that does not bring one.
func (c *conn) classifyReadError(err error) error {
	var broken net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.deadlines.started:
	case c.headLimit.N > 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)):
		return fmt.Errorf("upstream: read: %w", err)
	}
	return fmt.Errorf("%w: %w", errMalformedResponse, err)
}

// take reads a body as it comes, up to where it is held whole: a longer one's first bytes are enough, and so is what has
// come of one that states no length after a while. It returns whether more is to come.
func readBody(res *http.Response) (body []byte, more bool, err error) {
	buf := make([]byte, 0, max(0, min(res.ContentLength, initialBodyCapacity))+bytes.MinRead)
	from := time.Now()
	for err == nil {
		switch n := int64(len(buf)); {
		case n > 0 && (res.ContentLength > maxBufferedBody || n > maxBufferedBody || res.ContentLength < 0 && time.Since(from) > unknownLengthTimeout):
			return buf, true, nil
		case len(buf) == cap(buf):
			buf = slices.Grow(buf, cap(buf))
		}
		var n int
		n, err = res.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
	}
	if err == io.EOF {
		return buf, false, nil
	}
	return nil, false, err
}

// encode writes a request in one piece, so that it leaves whole or not at all in all but rare cases.
func appendRequest(b []byte, req *stream.Request, left time.Duration) []byte {
	b = append(b, req.Operation...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Authority...)
	b = appendHeader(b, "X-Txn", req.Txn)
	b = appendHeader(b, "X-Lane", req.ClassName)
	b = appendNumberHeader(b, "X-Remaining-Ms", max(1, left.Milliseconds()))
	b = appendHeader(b, "Idempotency-Key", req.Key)
	b = appendHeader(b, "X-Org", req.Org)
	b = appendHeader(b, "X-Labels", req.Labels)
	b = appendHeader(b, "Content-Type", req.MediaType)
	b = appendHeader(b, "Baggage", req.Baggage)
	if req.Repeated {
		b = appendHeader(b, "X-Resent", "1")
	}
	switch {
	case req.Upload != nil && req.Upload.Length < 0:
		b = appendHeader(b, "Transfer-Encoding", "chunked")
		b = append(b, "\r\n\r\n"...)
		return appendChunk(b, req.Body)
	case req.Upload != nil:
		b = appendNumberHeader(b, "Content-Length", req.Upload.Length)
	case len(req.Body) > 0 || req.Operation == http.MethodPost:
		b = appendNumberHeader(b, "Content-Length", int64(len(req.Body)))
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, req.Body...)
}

// chunk appends a piece of a body of which no length is stated (RFC 9112, section 7.1). An empty one would end it.
func appendChunk(b, piece []byte) []byte {
	if len(piece) == 0 {
		return b
	}
	b = fmt.Appendf(b, "%x\r\n", len(piece))
	b = append(b, piece...)
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

func appendNumberHeader(b []byte, name string, value int64) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return strconv.AppendInt(b, value, 10)
}
