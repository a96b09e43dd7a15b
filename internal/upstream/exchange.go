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

// idHeader names the request that a response belongs to.
const idHeader = "X-Request-Id"

// maxStrayResponses is how many responses to other requests are skipped before the connection is given up.
const maxStrayResponses = 4

// Exchange is one request whose response is streamed.
type Exchange struct {
	Host     balance.EndpointID
	ID       string // of the request: responses that name another are skipped; empty: none is
	Method   string
	Deadline time.Time // for the head of the response
	Head     []byte    // of the request as it is written
	Body     []byte    // of the request as it is written; it must not be modified before the write has ended
}

// Reply is a response whose body is still to come. The caller closes Body; if it was read to its end, the connection is reused.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; negative: not stated
	Body   io.ReadCloser
	Reused bool // the connection had carried another request before
}

// ErrMismatchedResponse says that too many responses to other requests came, and none to this one.
var ErrMismatchedResponse = errors.New("upstream: answers to other requests")

// RoundTrip writes a request on one connection and reads the head of its response, which may come before the host has read all of
// the request. It never sends the request again. When ctx ends, reading and writing fail, also of the response's body. The proof
// means something only where there is an error, which is ErrMismatchedResponse, one of the connection, or why nothing could be
// sent.
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
	_ = c.SetDeadline(e.Deadline) // on a broken connection the write returns the error
	stop := context.AfterFunc(ctx, c.interrupt)
	write := c.startWrite(e.Head, e.Body)
	var response *http.Response
	if write.hasEnded() && c.proof() == NeverSent { // what there is to read responds to nothing
		err = fmt.Errorf("upstream: write: %w", write.err)
	} else {
		response, err = c.readHead(ctx, e)
	}
	if err != nil {
		stop()
		p.discard(c)     // which ends the write
		_ = write.wait() // what was written counts, not how it ended
		return nil, c.proof(), err
	}
	c.maxIdle = keepAliveTimeout(response.Header)
	body := &responseBody{pool: p, conn: c, write: write, body: response.Body, keepAlive: !response.Close, stopInterrupt: stop}
	reply := &Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body, Reused: reused}
	return reply, MayHaveRun, nil
}

// readHead reads heads of responses up to the one that belongs to the request. One that names no request belongs to it only
// where the host has named none on this connection before.
func (c *conn) readHead(ctx context.Context, e *Exchange) (*http.Response, error) {
	c.startReading(ctx, e.Deadline, time.Until(e.Deadline))
	request := &http.Request{Method: e.Method}
	for range maxStrayResponses {
		c.headLimit.N = maxHeadBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, c.classifyReadError(err)
		}
		c.headLimit.N = maxFramedBody
		named := response.Header.Get(idHeader)
		switch {
		case response.StatusCode < http.StatusOK:
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

// keepAliveTimeout is how long a host keeps an idle connection by its Keep-Alive header (RFC 2068, section 19.7.1.1), less a
// margin; 0 where it states nothing.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return max(1, time.Duration(idleTimeoutFraction*float64(time.Duration(seconds)*time.Second)))
		}
	}
	return 0
}

// responseBody is the body of a Reply on its connection.
type responseBody struct {
	pool          *Pool
	conn          *conn
	write         *messageWrite // of the request
	body          io.ReadCloser
	keepAlive     bool
	complete      bool
	closed        bool
	stopInterrupt func() bool
}

// Read reads what has come. An early end of the connection is io.ErrUnexpectedEOF.
func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.body.Read(buf)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close lets go of the connection, which is reused where the body was read to its end and the request is written to its end. A
// host that has responded before that still gets the rest of the request, for lateWriteTimeout.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	uninterrupted := b.stopInterrupt()
	if !b.complete || !b.keepAlive || !uninterrupted || b.conn.reader.Buffered() > 0 {
		b.pool.discard(b.conn) // which ends the write
		_ = b.write.wait()     // how it ended changes nothing
		return nil
	}
	b.pool.finishAfterWrite(b.conn, b.write)
	return nil
}
