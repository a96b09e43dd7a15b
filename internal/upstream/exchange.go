package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
)

// Proof is what a failed exchange proves about whether the request ran.
type Proof uint8

// The proofs, the strongest first.
const (
	NeverSent  Proof = iota // its last byte was not written: it never ran and never will
	MayHaveRun              // it was written and no answer came
)

// idHeader names the request that an answer belongs to.
const idHeader = "X-Request-Id"

// maxStrayResponses is how many answers to other requests are passed over before a connection counts as spoilt.
const maxStrayResponses = 4

// Exchange is one request whose answer is passed on as it comes.
type Exchange struct {
	Host     balance.EndpointID
	ID       string // of the request: answers that name another are passed over; empty: none is
	Method   string
	Deadline time.Time // when waiting for the answer's head ends
	Message  []byte    // the request, whole
}

// Reply is an answer whose body still comes. Its Body has to be closed; read to its end, the connection is kept.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // of the body; below 0: not stated
	Body   io.ReadCloser
	Reused bool // the connection had carried another request before
}

// ErrMismatchedResponse is an answer that belongs to another request.
var ErrMismatchedResponse = errors.New("upstream: answers to other requests")

// RoundTrip writes a request on one connection and reads the head of its answer. It never sends it again. When ctx ends, the
// connection is closed, also under the answer's body. The proof counts where there is an error.
func (p *Pool) RoundTrip(ctx context.Context, e *Exchange) (*Reply, Proof, error) {
	c, err := p.acquire(ctx, e.Host, e.Deadline, connKind{correlated: true})
	if err != nil {
		return nil, NeverSent, err
	}
	if !p.accepts(c) || ctx.Err() != nil {
		p.release(c)
		return nil, NeverSent, errSendRefused
	}
	reused := !c.idleSince.IsZero()
	_ = c.SetDeadline(e.Deadline) // on a connection that is broken the write says so
	stop := context.AfterFunc(ctx, c.interrupt)
	if _, err := c.Write(e.Message); err != nil {
		stop()
		p.discard(c)
		return nil, NeverSent, fmt.Errorf("upstream: write: %w", err)
	}
	response, err := c.readHead(ctx, e)
	if err != nil {
		stop()
		p.discard(c)
		return nil, MayHaveRun, err
	}
	c.maxIdle = keepAliveTimeout(response.Header)
	body := &responseBody{pool: p, conn: c, body: response.Body, keepAlive: !response.Close, stopInterrupt: stop}
	return &Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body, Reused: reused}, MayHaveRun, nil
}

// head reads answers' heads up to the one that belongs to the request. One that names no request belongs to it only where
// the host has named none on this connection before.
func (c *conn) readHead(ctx context.Context, e *Exchange) (*http.Response, error) {
	if c.reader == nil {
		c.reader = newReader(c.headLimit)
	}
	c.deadlines.ctx, c.deadlines.deadline, c.deadlines.stallTimeout, c.deadlines.started = ctx, e.Deadline, time.Until(e.Deadline), false
	request := &http.Request{Method: e.Method}
	for range maxStrayResponses {
		c.headLimit.N = maxHeadBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, c.classifyReadError(err)
		}
		c.headLimit.N = 2 * maxResponseBody
		named := response.Header.Get(idHeader)
		switch {
		case response.StatusCode < 200:
		case e.ID == "" || named == e.ID || named == "" && !c.namesRequests:
			c.namesRequests = c.namesRequests || named != ""
			return response, nil
		default:
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, c.classifyReadError(err)
			}
		}
	}
	return nil, ErrMismatchedResponse
}

// stated is how long a host lets a connection idle, by its Keep-Alive header, less a margin; 0 where it states nothing.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return max(1, time.Duration(idleTimeoutFraction*float64(time.Duration(seconds)*time.Second)))
		}
	}
	return 0
}

// responseBody is an answer's body on its connection.
type responseBody struct {
	pool          *Pool
	conn          *conn
	body          io.ReadCloser
	keepAlive     bool
	complete      bool
	closed        bool
	stopInterrupt func() bool
}

// Read reads what has come. An end that comes early is io.ErrUnexpectedEOF.
func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.body.Read(buf)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close lets go of the connection, which is kept where the answer was read to its end.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	undisturbed := b.stopInterrupt()
	if b.complete && b.keepAlive && undisturbed && b.conn.reader.Buffered() == 0 {
		b.pool.release(b.conn)
	} else {
		b.pool.discard(b.conn)
	}
	return nil
}
