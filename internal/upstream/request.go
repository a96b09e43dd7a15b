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

var errBadAnswer = errors.New("upstream: an answer that breaks the protocol")

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// Do carries out one upstream request on one connection. It never sends it again.
func (p *Pool) Do(ctx context.Context, id balance.EndpointID, until time.Time, req *stream.Request) (balance.Status, stream.Response) {
	c, err := p.takeToSend(ctx, id, until, purpose{}, req)
	if err != nil {
		return neverSent(ctx, err), stream.Response{Outcome: stream.Failed}
	}
	left := time.Until(until)
	if req.Baggage != "" { // the next tier keeps accounts too, and has to know how long it really has
		left = budget.PropagatedTimeout(left, c.way)
	}
	buf := buffers.Get().(*[]byte)
	var a answer
	var status balance.Status
	if req.Upload != nil {
		*buf = encode((*buf)[:0], req, req.Upload.ClientTimeout)
		status, err = p.upload(ctx, c, *buf, req, &a)
	} else {
		*buf = encode((*buf)[:0], req, left)
		status = p.exchange(ctx, c, until, *buf, &a)
	}
	buffers.Put(buf)
	switch {
	case err != nil: // nobody's fault but the client's
		return balance.Cancelled, stream.Response{Outcome: stream.BodyIncomplete}
	case status == balance.OK:
		return status, p.served(c, &a)
	case rejects(a.status):
		// The host is well and the request is not: no evidence against the one, and no host for the other.
		return balance.Cancelled, stream.Response{Outcome: stream.InvalidRequest}
	}
	return status, stream.Response{Outcome: stream.Failed, Report: a.tried}
}

// takeToSend takes a connection for a request, which may still go out once that is there.
func (p *Pool) takeToSend(ctx context.Context, id balance.EndpointID, until time.Time, use purpose, req *stream.Request) (*conn, error) {
	c, err := p.take(ctx, id, until, use)
	if err != nil {
		return nil, err
	}
	// The last look before the first byte: the attempt may have waited, and the world gone on.
	held := p.Sends != nil && !p.Sends()
	if err = ctx.Err(); err == nil && (held || !p.takes(c) || !req.ClientRecentlyWaiting()) {
		err = errHeldBack
	}
	if err != nil {
		p.put(c)
		return nil, err
	}
	return c, nil
}

// served is what a host has answered.
func (p *Pool) served(c *conn, a *answer) stream.Response {
	res := stream.Response{Outcome: stream.Served, MediaType: a.mediaType, Body: a.body, Report: a.tried}
	if a.rest != nil { // which is the front's to read: the attempt's context ends with the attempt
		c.pace.ctx = context.Background()
		res.Rest, res.Length = &rest{pool: p, conn: c, body: a.rest, keep: a.keep, end: time.Now().Add(restMost)}, a.length
	}
	return res
}

// Probe asks an upstream host whether it is up.
func (p *Pool) Probe(id balance.EndpointID) balance.Status {
	ctx, until := context.Background(), time.Now().Add(probeTimeout)
	c, err := p.take(ctx, id, until, purpose{})
	if err != nil {
		return neverSent(ctx, err)
	}
	if p.ConnectOnly {
		p.drop(c)
		return balance.OK
	}
	var a answer
	status := p.exchange(ctx, c, until, []byte("GET /ping HTTP/1.1\r\nHost: "+c.addr+"\r\n\r\n"), &a)
	if status == balance.OK && a.rest != nil {
		p.drop(c)
	}
	return status
}

// exchange writes an HTTP message and reads the answer.
func (p *Pool) exchange(ctx context.Context, c *conn, until time.Time, message []byte, a *answer) balance.Status {
	return p.carry(ctx, c, until, message, func() (balance.Status, after, error) {
		err := c.read(ctx, until, a)
		return judge(a), a.after(), err
	})
}

// after is what becomes of a connection when an answer has been read.
type after uint8

const (
	closed after = iota
	idle         // it may carry another request
	busy         // the answer's rest still comes on it
)

func (a *answer) after() after {
	switch {
	case a.rest != nil:
		return busy
	case a.reusable:
		return idle
	}
	return closed
}

// carry writes a message in one piece and has read take the answer, and say what it stands for and what becomes of the
// connection.
func (p *Pool) carry(ctx context.Context, c *conn, until time.Time, message []byte, read func() (balance.Status, after, error)) balance.Status {
	_ = c.SetDeadline(until) // on a connection that is broken the write says so
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if _, err := c.Write(message); err != nil {
		p.drop(c)
		return neverSent(ctx, err)
	}
	status, then, err := read()
	if err != nil {
		p.drop(c)
		return noAnswer(ctx, err)
	}
	return p.settle(c, !stop(), then, status)
}

// settle makes a connection idle after an answer, or closes it, and returns what the answer stands for.
func (p *Pool) settle(c *conn, withdrawn bool, then after, status balance.Status) balance.Status {
	switch {
	case withdrawn && then == busy:
		p.drop(c)
		return balance.Cancelled
	case withdrawn || then == closed:
		p.drop(c)
	case then == idle:
		p.put(c)
	}
	return status
}

// rest is the part of an answer that still comes.
type rest struct {
	pool  *Pool
	conn  *conn
	body  io.ReadCloser
	keep  bool // the host goes on with the connection
	end   time.Time
	whole bool

	mu     sync.Mutex
	closed bool
}

// Read reads more, and waits for each piece of it so long and no longer; nor does it read on beyond the end.
func (r *rest) Read(b []byte) (int, error) {
	r.conn.pace.until, r.conn.pace.piece = r.end, streamIn
	n, err := r.body.Read(b)
	r.whole = err == io.EOF
	if err != nil && !r.whole {
		err = fmt.Errorf("upstream: rest: %w", err)
	}
	return n, err
}

// Interrupt has Read fail from now on.
func (r *rest) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed { // its connection may carry another request by then
		r.conn.pace.cut.Store(true)
		r.conn.interrupt()
	}
}

// Close lets go of the connection: it may carry another request where the answer was whole.
func (r *rest) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	if r.whole && r.keep && r.conn.in.Buffered() == 0 && !r.conn.pace.cut.Load() {
		r.pool.put(r.conn)
	} else {
		r.pool.drop(r.conn)
	}
}

// rejects tells whether a status says that the request is at fault, whoever gets it.
func rejects(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests: // of the moment, or of the host
		return false
	}
	return status >= 400 && status < 500
}

// judge is the outcome that an answer stands for.
func judge(a *answer) balance.Status {
	switch {
	case a.status == http.StatusOK:
		return balance.OK
	case a.turnedAway && (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout):
		return balance.Rejected
	}
	return balance.Error
}

// neverSent is the outcome of a request whose last byte was not written: whatever went wrong, it proves
// that the request never ran.
func neverSent(ctx context.Context, err error) balance.Status {
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errUnknownHost), errors.Is(err, errCrowded), errors.Is(err, errHeldBack): // nothing that the host has done
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// noAnswer is the outcome of a request that was written whole and got no answer: it may have run.
func noAnswer(ctx context.Context, err error) balance.Status {
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errBadAnswer):
		return balance.Error
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.Timeout
	}
	return balance.Reset
}
