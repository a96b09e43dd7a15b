package upstream

import (
	"context"
	"errors"
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
	c, err := p.take(ctx, id, until, purpose{})
	if err != nil {
		return neverSent(ctx, err), stream.Response{Outcome: stream.Failed}
	}
	left := time.Until(until)
	if req.Baggage != "" { // the next tier keeps books too, and has to know how long it really has
		left = budget.Time(left, c.way)
	}
	buf := buffers.Get().(*[]byte)
	*buf = encode((*buf)[:0], req, left)
	a, status := p.exchange(ctx, c, until, *buf)
	buffers.Put(buf)
	switch {
	case status == balance.OK:
		return status, stream.Response{Outcome: stream.Served, MediaType: a.mediaType, Body: a.body, Tried: a.tried}
	case rejects(a.status):
		// The host is well and the request is not: no evidence against the one, and no host for the other.
		return balance.Cancelled, stream.Response{Outcome: stream.Rejected}
	}
	return status, stream.Response{Outcome: stream.Failed, Tried: a.tried}
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
	_, status := p.exchange(ctx, c, until, []byte("GET /ping HTTP/1.1\r\nHost: "+c.addr+"\r\n\r\n"))
	return status
}

// exchange writes an HTTP message and reads the answer.
func (p *Pool) exchange(ctx context.Context, c *conn, until time.Time, message []byte) (a answer, status balance.Status) {
	status = p.carry(ctx, c, until, message, func() (balance.Status, bool, error) {
		var err error
		a, err = c.read(ctx, until)
		return judge(a), a.reusable, err
	})
	return a, status
}

// carry writes a message in one piece and has read take the answer, say what it stands for, and whether the
// connection may carry another request. It is idle again afterwards, or closed.
func (p *Pool) carry(ctx context.Context, c *conn, until time.Time, message []byte, read func() (balance.Status, bool, error)) balance.Status {
	_ = c.SetDeadline(until) // on a connection that is broken the write says so
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if _, err := c.Write(message); err != nil {
		p.drop(c)
		return neverSent(ctx, err)
	}
	status, reusable, err := read()
	if err != nil {
		p.drop(c)
		return noAnswer(ctx, err)
	}
	if stop() && reusable {
		p.put(c)
	} else {
		p.drop(c)
	}
	return status
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
func judge(a answer) balance.Status {
	switch {
	case a.status == http.StatusOK:
		return balance.OK
	case a.turnedAway && (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout):
		return balance.Full
	}
	return balance.Error
}

// neverSent is the outcome of a request whose last byte was not written: whatever went wrong, it proves
// that the request never ran.
func neverSent(ctx context.Context, err error) balance.Status {
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, errUnknownHost), errors.Is(err, errCrowded): // nothing that the host has done
		return balance.Moot
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
