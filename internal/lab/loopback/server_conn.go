package loopback

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
)

const (
	maxRequestSize   = 128 << 10 // bytes of one request, head and framing included
	serverReadBuffer = 2 << 10   // bytes
	responseHeadSize = 128       // bytes, about: head and framing of most responses
	dripInterval     = 50 * time.Millisecond
	dripSize         = 3 // bytes at a time
)

// serverConn is one connection that an endpoint has accepted. One goroutine reads it, also while a request is pending, as a close
// by the other end cancels the request; another one writes, as the endpoint must not wait for a client that doesn't read.
type serverConn struct {
	endpoint  *endpoint
	id        uint64
	tcp       *net.TCPConn
	limit     io.LimitedReader
	reader    *bufio.Reader
	responses chan endpointResponse // to be written; closed by endpoint.removeConnection
	free      chan struct{}         // holds a token while no request is in flight
	closed    chan struct{}         // closed once the connection is of no more use

	deadline time.Time // the reader's own: when it next checks whether the connection is idle

	// Guarded by the endpoint's lock.
	counted   bool // among the model's connections
	frozen    bool // the host has become unresponsive: nothing is read or written until the reset
	isClosed  bool // the channel closed is closed
	unused    bool // no request has come on it
	busy      bool // a request is in flight
	idleSince time.Time
	pending   *endpointRequest // the request that the model has
	dripping  *endpointRequest // the request whose response drips
}

// endpointResponse is a response that is to be written.
type endpointResponse struct {
	kind          responseKind
	correlation   correlation
	answer        model.Response // of a request that the model had; model.OK is a complete response
	transactionID uint64
	requestNumber int // see endpointRequest.number
	size          int // of the body, bytes
	closeAfter    bool
	seed          [2]uint64 // of the draws that corrupt it
}

func newServerConn(e *endpoint, tcp *net.TCPConn) *serverConn {
	c := &serverConn{
		endpoint:  e,
		tcp:       tcp,
		limit:     io.LimitedReader{R: tcp, N: maxRequestSize},
		responses: make(chan endpointResponse, 1),
		free:      make(chan struct{}, 1),
		closed:    make(chan struct{}),
		unused:    true,
		idleSince: time.Now(),
	}
	c.reader = bufio.NewReaderSize(&c.limit, serverReadBuffer)
	c.free <- struct{}{}
	return c
}

// readLoop reads requests until the connection ends.
func (c *serverConn) readLoop() {
	for c.awaitRequest() && c.readRequest() {
	}
	if c.endpoint.isFrozen(c) {
		<-c.closed
	}
	c.endpoint.removeConnection(c)
}

// readRequest reads a request, of which the first byte is there. It returns false if nothing more is to be read.
func (c *serverConn) readRequest() bool {
	firstByte := c.endpoint.run.elapsed()
	select {
	case <-c.free: // the previous request is answered; nobody ought to send a second one before that
	case <-c.closed:
		return false
	}
	request, err := c.endpoint.codec.readRequest(c.reader)
	if err != nil {
		c.endpoint.recordIncomplete(c, &request, firstByte)
		return false
	}
	return c.endpoint.handleRequest(c, &request, firstByte)
}

// awaitRequest returns true once the first byte of a request is there, and false when the connection has ended, was frozen or has
// been idle for the idle time-out. The deadline is far off most of the time, as setting one costs more than the rest of this.
func (c *serverConn) awaitRequest() bool {
	c.limit.N = maxRequestSize
	if c.deadline.IsZero() && !c.endpoint.extendDeadline(c, false) {
		return false
	}
	for {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			// The deadline must not come in the middle of a request.
			return time.Until(c.deadline) > c.endpoint.idleTimeout/2 || c.endpoint.extendDeadline(c, true)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.endpoint.extendDeadline(c, false):
			return false
		}
	}
}

// writeLoop writes responses until the reader has ended.
func (c *serverConn) writeLoop() {
	for response := range c.responses {
		if !c.writeResponse(&response) {
			c.endpoint.closeConnection(c)
			continue
		}
		c.endpoint.markIdle(c)
		c.free <- struct{}{}
	}
}

// writeResponse writes a response and reports whether the connection stays open.
func (c *serverConn) writeResponse(response *endpointResponse) bool {
	var body []byte
	if response.kind == responseOK && response.size > 0 {
		body = responseBody(response.transactionID, c.endpoint.index, response.requestNumber, response.size)
	}
	codec := c.endpoint.codec
	random := rand.New(rand.NewPCG(response.seed[0], response.seed[1]))
	if response.answer == model.ResponseCorrupted {
		_, _ = c.tcp.Write(codec.appendMalformed(nil, response.correlation, body, random)) // the connection is closed in any case
		return false
	}
	text := codec.appendResponse(make([]byte, 0, len(body)+responseHeadSize), response.kind, response.correlation, body, response.closeAfter)
	switch response.answer {
	case model.ResponseTruncated:
		_, _ = c.tcp.Write(text[:1+random.IntN(len(text)-1)])
		if random.IntN(2) == 0 {
			_ = c.tcp.SetLinger(0) // a reset instead of an orderly end
		}
		return false
	case model.ResponseTrickled:
		c.drip(text)
		return false
	}
	_, err := c.tcp.Write(text)
	return err == nil && !response.closeAfter
}

// drip writes a few bytes at a time, and never the last one.
func (c *serverConn) drip(text []byte) {
	tick := time.NewTicker(dripInterval)
	defer tick.Stop()
	for {
		if n := min(dripSize, len(text)-1); n > 0 {
			if _, err := c.tcp.Write(text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
		select {
		case <-tick.C:
		case <-c.closed:
			return
		}
	}
}
