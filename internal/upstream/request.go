package upstream

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/stream"
)

const (
	probeTimeout      = 100 * time.Millisecond
	requestBufferSize = 1 << 10 // bytes
)

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, requestBufferSize); return &b }}

// Do carries out one attempt over HTTP on one connection. It never sends the request again by itself. The status is the
// evidence for the decisions: what the attempt says of the host, and whether the request may have run.
func (p *Pool) Do(ctx context.Context, id balance.EndpointID, deadline time.Time, req *stream.Request) (balance.Status, stream.Response) {
	c, err := p.acquireToSend(ctx, id, deadline, connKind{}, req)
	if err != nil {
		return notSentStatus(ctx, err), stream.Response{Outcome: stream.Failed}
	}
	remaining := time.Until(deadline)
	if req.Baggage != "" { // the next tier has a budget too, and has to know how long it really has
		remaining = budget.PropagatedTimeout(remaining, c.connectTime)
	}
	buf := requestBuffers.Get().(*[]byte)
	var resp hostResponse
	var status balance.Status
	if req.Upload != nil {
		*buf = appendRequest((*buf)[:0], req, req.Upload.ClientTimeout)
		status, err = p.upload(ctx, c, *buf, req, &resp)
	} else {
		*buf = appendRequest((*buf)[:0], req, remaining)
		status = p.exchange(ctx, c, deadline, *buf, &resp)
	}
	requestBuffers.Put(buf)
	switch {
	case err != nil: // the client's fault alone
		return balance.Cancelled, stream.Response{Outcome: stream.BodyIncomplete}
	case status == balance.OK:
		return status, p.response(c, &resp)
	case rejectsRequest(resp.status):
		// The host is healthy and the request is not: no evidence against the host, and no other host for the request.
		return balance.Cancelled, stream.Response{Outcome: stream.InvalidRequest}
	}
	return status, stream.Response{Outcome: stream.Failed, Report: resp.attempted}
}

// acquireToSend returns a connection for a request, if that may still be sent once the connection is there.
func (p *Pool) acquireToSend(ctx context.Context, id balance.EndpointID, deadline time.Time, kind connKind, req *stream.Request) (*conn, error) {
	c, err := p.acquire(ctx, id, deadline, kind)
	if err != nil {
		return nil, err
	}
	// The attempt may have waited for its connection, and what it was decided on may have changed.
	paused := p.CanSend != nil && !p.CanSend()
	if err = ctx.Err(); err == nil && (paused || !p.accepts(c) || !req.ClientRecentlyWaiting()) {
		err = errSendRefused
	}
	if err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

// response makes a stream's response of a host's successful one.
func (p *Pool) response(c *conn, resp *hostResponse) stream.Response {
	res := stream.Response{Outcome: stream.Served, MediaType: resp.mediaType, Body: resp.body, Report: resp.attempted}
	if resp.remainder != nil { // the frontend reads it, after the attempt and its context have ended
		c.deadlines.ctx = context.Background()
		res.Rest = &responseStream{pool: p, conn: c, body: resp.remainder, keepAlive: resp.keepAlive, deadline: time.Now().Add(maxStreamDuration)}
		res.Length = resp.contentLength
	}
	return res
}

// Probe carries out one health check of an upstream host.
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
	var resp hostResponse
	status := p.exchange(ctx, c, deadline, []byte("GET /ping HTTP/1.1\r\nHost: "+c.addr+"\r\n\r\n"), &resp)
	if status == balance.OK && resp.remainder != nil {
		p.discard(c)
	}
	return status
}

// exchange writes an HTTP request and reads its response.
func (p *Pool) exchange(ctx context.Context, c *conn, deadline time.Time, message []byte, resp *hostResponse) balance.Status {
	return p.roundTrip(ctx, c, deadline, message, func() (balance.Status, connDisposition, error) {
		err := c.readResponse(ctx, deadline, resp)
		return responseStatus(resp), resp.disposition(), err
	})
}

// roundTrip writes a message with a single Write and calls read for the response. read returns what that stands for, and what
// becomes of the connection.
func (p *Pool) roundTrip(ctx context.Context, c *conn, deadline time.Time, message []byte, read func() (balance.Status, connDisposition, error)) balance.Status {
	_ = c.SetDeadline(deadline) // on a broken connection the write returns the error
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if _, err := c.Write(message); err != nil {
		p.discard(c)
		return c.failureStatus(ctx, err)
	}
	status, then, err := read()
	if err != nil {
		p.discard(c)
		return c.failureStatus(ctx, err)
	}
	return p.dispose(c, !stop(), then, status)
}

// dispose makes a connection idle after a response, or closes it, and returns what the response stands for.
func (p *Pool) dispose(c *conn, cancelled bool, then connDisposition, status balance.Status) balance.Status {
	switch {
	case cancelled && then == streamConn:
		p.discard(c)
		return balance.Cancelled
	case cancelled || then == closeConn:
		p.discard(c)
	case then == reuseConn:
		p.release(c)
	}
	return status
}

// notSentStatus is the outcome of a request of which nothing was sent. Whatever went wrong, it never ran.
func notSentStatus(ctx context.Context, err error) balance.Status {
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errUnknownHost), errors.Is(err, errPoolExhausted), errors.Is(err, errSendRefused): // no evidence against the host
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// failureStatus is the outcome of a request that got no response on its connection.
func (c *conn) failureStatus(ctx context.Context, err error) balance.Status {
	switch {
	case c.proof() == NeverSent:
		return notSentStatus(ctx, err)
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errMalformedResponse):
		return balance.Error
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.Timeout
	}
	return balance.Reset
}
