package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/stream"
)

const probeTimeout = 100 * time.Millisecond

var errMalformedResponse = errors.New("upstream: an answer that breaks the protocol")

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// Do carries out one upstream request on one connection. It never sends it again.
func (p *Pool) Do(ctx context.Context, id balance.EndpointID, deadline time.Time, req *stream.Request) (balance.Status, stream.Response) {
	c, err := p.acquireToSend(ctx, id, deadline, connKind{}, req)
	if err != nil {
		return notSentStatus(ctx, err), stream.Response{Outcome: stream.Failed}
	}
	left := time.Until(deadline)
	if req.Baggage != "" { // the next tier keeps accounts too, and has to know how long it really has
		left = budget.Time(left, c.connectTime)
	}
	buf := requestBuffers.Get().(*[]byte)
	var a hostResponse
	var status balance.Status
	if req.Upload != nil {
		*buf = appendRequest((*buf)[:0], req, req.Upload.Left)
		status, err = p.upload(ctx, c, *buf, req, &a)
	} else {
		*buf = appendRequest((*buf)[:0], req, left)
		status = p.exchange(ctx, c, deadline, *buf, &a)
	}
	requestBuffers.Put(buf)
	switch {
	case err != nil: // nobody's fault but the client's
		return balance.Cancelled, stream.Response{Outcome: stream.Broken}
	case status == balance.OK:
		return status, p.response(c, &a)
	case rejectsRequest(a.status):
		// The host is well and the request is not: no evidence against the one, and no host for the other.
		return balance.Cancelled, stream.Response{Outcome: stream.Rejected}
	}
	return status, stream.Response{Outcome: stream.Failed, Tried: a.attempted}
}

// acquireToSend takes a connection for a request, which may still go out once that is there.
func (p *Pool) acquireToSend(ctx context.Context, id balance.EndpointID, deadline time.Time, kind connKind, req *stream.Request) (*conn, error) {
	c, err := p.acquire(ctx, id, deadline, kind)
	if err != nil {
		return nil, err
	}
	// The last look before the first byte: the attempt may have waited, and the world gone on.
	held := p.CanSend != nil && !p.CanSend()
	if err = ctx.Err(); err == nil && (held || !p.accepts(c) || !req.StillWanted()) {
		err = errSendRefused
	}
	if err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

// served is what a host has answered.
func (p *Pool) response(c *conn, a *hostResponse) stream.Response {
	res := stream.Response{Outcome: stream.Served, MediaType: a.mediaType, Body: a.body, Tried: a.attempted}
	if a.remainder != nil { // which is the front's to read: the attempt's context ends with the attempt
		c.deadlines.ctx = context.Background()
		res.Rest, res.Length = &responseStream{pool: p, conn: c, body: a.remainder, keepAlive: a.keepAlive, deadline: time.Now().Add(maxStreamDuration)}, a.contentLength
	}
	return res
}

// Probe asks an upstream host whether it is up.
func (p *Pool) Probe(id balance.EndpointID) balance.Status {
	ctx, deadline := context.Background(), time.Now().Add(probeTimeout)
	c, err := p.acquire(ctx, id, deadline, connKind{})
	if err != nil {
		return notSentStatus(ctx, err)
	}
	if p.ConnectOnly {
		p.discard(c)
		return balance.OK
	}
	var a hostResponse
	status := p.exchange(ctx, c, deadline, []byte("GET /ping HTTP/1.1\r\nHost: "+c.addr+"\r\n\r\n"), &a)
	if status == balance.OK && a.remainder != nil {
		p.discard(c)
	}
	return status
}

// exchange writes an HTTP message and reads the answer.
func (p *Pool) exchange(ctx context.Context, c *conn, deadline time.Time, message []byte, a *hostResponse) balance.Status {
	return p.roundTrip(ctx, c, deadline, message, func() (balance.Status, disposition, error) {
		err := c.readResponse(ctx, deadline, a)
		return responseStatus(a), a.disposition(), err
	})
}

// after is what becomes of a connection when an answer has been read.
type disposition uint8

const (
	closeConn  disposition = iota
	reuseConn              // it may carry another request
	streamConn             // the answer's rest still comes on it
)

func (a *hostResponse) disposition() disposition {
	switch {
	case a.remainder != nil:
		return streamConn
	case a.reusable:
		return reuseConn
	}
	return closeConn
}

// carry writes a message in one piece and has read take the answer, and say what it stands for and what becomes of the
// connection.
func (p *Pool) roundTrip(ctx context.Context, c *conn, deadline time.Time, message []byte, read func() (balance.Status, disposition, error)) balance.Status {
	_ = c.SetDeadline(deadline) // on a connection that is broken the write says so
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if _, err := c.Write(message); err != nil {
		p.discard(c)
		return notSentStatus(ctx, err)
	}
	status, then, err := read()
	if err != nil {
		p.discard(c)
		return noResponseStatus(ctx, err)
	}
	return p.dispose(c, !stop(), then, status)
}

// settle makes a connection idle after an answer, or closes it, and returns what the answer stands for.
func (p *Pool) dispose(c *conn, withdrawn bool, then disposition, status balance.Status) balance.Status {
	switch {
	case withdrawn && then == streamConn:
		p.discard(c)
		return balance.Cancelled
	case withdrawn || then == closeConn:
		p.discard(c)
	case then == reuseConn:
		p.release(c)
	}
	return status
}

// rest is the part of an answer that still comes.
type responseStream struct {
	pool      *Pool
	conn      *conn
	body      io.ReadCloser
	keepAlive bool // the host goes on with the connection
	deadline  time.Time
	complete  bool

	mu     sync.Mutex
	closed bool
}

// Read reads more, and waits for each piece of it so long and no longer; nor does it read on beyond the end.
func (r *responseStream) Read(b []byte) (int, error) {
	r.conn.deadlines.deadline, r.conn.deadlines.stallTimeout = r.deadline, streamStallTimeout
	n, err := r.body.Read(b)
	r.complete = err == io.EOF
	if err != nil && !r.complete {
		err = fmt.Errorf("upstream: rest: %w", err)
	}
	return n, err
}

// Interrupt has Read fail from now on.
func (r *responseStream) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed { // its connection may carry another request by then
		r.conn.deadlines.aborted.Store(true)
		r.conn.interrupt()
	}
}

// Close lets go of the connection: it may carry another request where the answer was whole.
func (r *responseStream) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	if r.complete && r.keepAlive && r.conn.reader.Buffered() == 0 && !r.conn.deadlines.aborted.Load() {
		r.pool.release(r.conn)
	} else {
		r.pool.discard(r.conn)
	}
}

// rejects tells whether a status says that the request is at fault, whoever gets it.
func rejectsRequest(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests: // of the moment, or of the host
		return false
	}
	return status >= 400 && status < 500
}

// judge is the outcome that an answer stands for.
func responseStatus(a *hostResponse) balance.Status {
	switch {
	case a.status == http.StatusOK:
		return balance.OK
	case a.shedLoad && (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout):
		return balance.Full
	}
	return balance.Error
}

// notSentStatus is the outcome of a request whose last byte was not written: whatever went wrong, it proves
// that the request never ran.
func notSentStatus(ctx context.Context, err error) balance.Status {
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errUnknownHost), errors.Is(err, errPoolExhausted), errors.Is(err, errSendRefused): // nothing that the host has done
		return balance.Moot
	}
	return balance.ConnectFailed
}

// noResponseStatus is the outcome of a request that was written whole and got no answer: it may have run.
func noResponseStatus(ctx context.Context, err error) balance.Status {
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errMalformedResponse):
		return balance.Error
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.Timeout
	}
	return balance.Reset
}
