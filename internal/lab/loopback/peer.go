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
	requestMost = 128 << 10 // bytes of one request, head and framing included
	dripEvery   = 50 * time.Millisecond
	dripBytes   = 3
)

// peer is one connection to a box. A goroutine reads it, also while a request is held, as its end withdraws
// the request; another one writes, as the box must not wait for a caller that doesn't read.
type peer struct {
	box   *box
	id    uint64
	conn  *net.TCPConn
	limit io.LimitedReader
	in    *bufio.Reader
	out   chan output   // what is to be answered; closed by leave
	free  chan struct{} // holds a token while no request is under way
	over  chan struct{} // closed once the connection is of no more use

	deadline time.Time // the reader's own: when it next looks whether the connection is idle

	// Guarded by the box's lock.
	known     bool // the model counts it
	frozen    bool // the machine has vanished: nothing is read or written until the reset
	ended     bool // over is closed
	fresh     bool // no request has come on it
	busy      bool // a request is under way
	idleSince time.Time
	held      *visit // its request, as long as the model has it
	dripping  *visit // its request, as long as its answer drips
}

// output is an answer on its way.
type output struct {
	what   reply
	to     mark
	how    model.Answer // of a visit's; OK is whole
	txn    uint64
	visit  int
	size   int
	last   bool
	chance [2]uint64 // seeds what is drawn
}

func newPeer(b *box, conn *net.TCPConn) *peer {
	p := &peer{box: b, conn: conn, out: make(chan output, 1), free: make(chan struct{}, 1), over: make(chan struct{}), fresh: true}
	p.limit = io.LimitedReader{R: conn, N: requestMost}
	p.in = bufio.NewReaderSize(&p.limit, 2<<10)
	p.free <- struct{}{}
	p.idleSince = time.Now()
	return p
}

func (p *peer) read() {
	for p.wait() && p.next() {
	}
	if p.box.isFrozen(p) {
		<-p.over
	}
	p.box.leave(p)
}

// next reads a request, of which the first byte is there. It returns false if the connection is to be left.
func (p *peer) next() bool {
	begun := p.box.run.now()
	select {
	case <-p.free: // until then the one before is under way; nobody ought to send a second one meanwhile
	case <-p.over:
		return false
	}
	a, err := p.box.codec.read(p.in)
	if err != nil {
		p.box.brokeOff(p, &a, begun)
		return false
	}
	return p.box.arrive(p, &a, begun)
}

// wait returns true once there is the first byte of a request, and false when the connection has ended, was
// frozen or has stood idle for as long as the rules say. The deadline lies far off most of the time, as to set
// one costs more than the rest of this.
func (p *peer) wait() bool {
	p.limit.N = requestMost
	if p.deadline.IsZero() && !p.box.extend(p, false) {
		return false
	}
	for {
		_, err := p.in.Peek(1)
		switch {
		case err == nil:
			// It is not to come in the middle of a request.
			return time.Until(p.deadline) > p.box.idle/2 || p.box.extend(p, true)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !p.box.extend(p, false):
			return false
		}
	}
}

func (p *peer) write() {
	for o := range p.out {
		if !p.send(&o) {
			p.box.hangUp(p)
			continue
		}
		p.box.answered(p)
		p.free <- struct{}{}
	}
}

// send writes an answer and says whether the connection goes on.
func (p *peer) send(o *output) bool {
	var body []byte
	if o.what == replyServed && o.size > 0 {
		body = answerBody(o.txn, p.box.index, o.visit, o.size)
	}
	codec, random := p.box.codec, rand.New(rand.NewPCG(o.chance[0], o.chance[1]))
	if o.how == model.Spoilt {
		_, _ = p.conn.Write(codec.spoil(nil, o.to, body, random)) // the connection is closed in any case
		return false
	}
	text := codec.answer(make([]byte, 0, len(body)+128), o.what, o.to, body, o.last)
	switch o.how {
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
	return err == nil && !o.last
}

// drip writes a few bytes at a time, and the last one never.
func (p *peer) drip(text []byte) {
	tick := time.NewTicker(dripEvery)
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
		case <-p.over:
			return
		}
	}
}
