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
	maxRequestSize = 128 << 10 // bytes of one request, head and framing included
	dripInterval   = 50 * time.Millisecond
	dripBytes      = 3
)

// peer is one connection to a box. A goroutine reads it, also while a request is held, as its end withdraws
// the request; another one writes, as the box must not wait for a caller that doesn't read.
type serverConn struct {
	endpoint  *endpoint
	id        uint64
	conn      *net.TCPConn
	limit     io.LimitedReader
	reader    *bufio.Reader
	responses chan endpointResponse // what is to be answered; closed by leave
	free      chan struct{}         // holds a token while no request is under way
	closed    chan struct{}         // closed once the connection is of no more use

	deadline time.Time // the reader's own: when it next looks whether the connection is idle

	// Guarded by the box's lock.
	counted   bool // the model counts it
	frozen    bool // the machine has vanished: nothing is read or written until the reset
	isClosed  bool // over is closed
	unused    bool // no request has come on it
	busy      bool // a request is under way
	idleSince time.Time
	pending   *endpointRequest // its request, as long as the model has it
	dripping  *endpointRequest // its request, as long as its answer drips
}

// output is an answer on its way.
type endpointResponse struct {
	kind          responseKind
	correlation   correlation
	answer        model.Answer // of a visit's; OK is whole
	transactionID uint64
	requestNumber int
	size          int
	closeAfter    bool
	seed          [2]uint64 // seeds what is drawn
}

func newServerConn(b *endpoint, conn *net.TCPConn) *serverConn {
	p := &serverConn{endpoint: b, conn: conn, responses: make(chan endpointResponse, 1), free: make(chan struct{}, 1), closed: make(chan struct{}), unused: true}
	p.limit = io.LimitedReader{R: conn, N: maxRequestSize}
	p.reader = bufio.NewReaderSize(&p.limit, 2<<10)
	p.free <- struct{}{}
	p.idleSince = time.Now()
	return p
}

func (p *serverConn) readLoop() {
	for p.awaitRequest() && p.readRequest() {
	}
	if p.endpoint.isFrozen(p) {
		<-p.closed
	}
	p.endpoint.removeConnection(p)
}

// next reads a request, of which the first byte is there. It returns false if the connection is to be left.
func (p *serverConn) readRequest() bool {
	begun := p.endpoint.run.elapsed()
	select {
	case <-p.free: // until then the one before is under way; nobody ought to send a second one meanwhile
	case <-p.closed:
		return false
	}
	a, err := p.endpoint.codec.readRequest(p.reader)
	if err != nil {
		p.endpoint.recordIncomplete(p, &a, begun)
		return false
	}
	return p.endpoint.handleRequest(p, &a, begun)
}

// wait returns true once there is the first byte of a request, and false when the connection has ended, was
// frozen or has stood idle for as long as the rules say. The deadline lies far off most of the time, as to set
// one costs more than the rest of this.
func (p *serverConn) awaitRequest() bool {
	p.limit.N = maxRequestSize
	if p.deadline.IsZero() && !p.endpoint.extendDeadline(p, false) {
		return false
	}
	for {
		_, err := p.reader.Peek(1)
		switch {
		case err == nil:
			// It is not to come in the middle of a request.
			return time.Until(p.deadline) > p.endpoint.idleTimeout/2 || p.endpoint.extendDeadline(p, true)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !p.endpoint.extendDeadline(p, false):
			return false
		}
	}
}

func (p *serverConn) writeLoop() {
	for o := range p.responses {
		if !p.writeResponse(&o) {
			p.endpoint.closeConnection(p)
			continue
		}
		p.endpoint.markIdle(p)
		p.free <- struct{}{}
	}
}

// send writes an answer and says whether the connection goes on.
func (p *serverConn) writeResponse(o *endpointResponse) bool {
	var body []byte
	if o.kind == responseOK && o.size > 0 {
		body = responseBody(o.transactionID, p.endpoint.index, o.requestNumber, o.size)
	}
	codec, random := p.endpoint.codec, rand.New(rand.NewPCG(o.seed[0], o.seed[1]))
	if o.answer == model.Spoilt {
		_, _ = p.conn.Write(codec.appendMalformed(nil, o.correlation, body, random)) // the connection is closed in any case
		return false
	}
	text := codec.appendResponse(make([]byte, 0, len(body)+128), o.kind, o.correlation, body, o.closeAfter)
	switch o.answer {
	case model.CutOff:
		_, _ = p.conn.Write(text[:1+random.IntN(len(text)-1)])
		if random.IntN(2) == 0 {
			_ = p.conn.SetLinger(0) // reset, rather than ended
		}
		return false
	case model.Dripped:
		p.drip(text)
		return false
	}
	_, err := p.conn.Write(text)
	return err == nil && !o.closeAfter
}

// drip writes a few bytes at a time, and the last one never.
func (p *serverConn) drip(text []byte) {
	tick := time.NewTicker(dripInterval)
	defer tick.Stop()
	for {
		if n := min(dripBytes, len(text)-1); n > 0 {
			if _, err := p.conn.Write(text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
		select {
		case <-tick.C:
		case <-p.closed:
			return
		}
	}
}
