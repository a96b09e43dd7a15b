package upstream

import (
	"context"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// Guards against a response that can't be parsed, or doesn't end, being served, waited for or buffered without bound, and
// against its connection being reused.
func TestMalformedResponses(t *testing.T) {
	for _, s := range malformedReactions {
		host := newScriptedHost(t)
		p := newTestPool(host.addr, 1)
		go func() { s.apply((<-host.arrivals).nc) }() // it goes on until the reader hangs up
		if status, res := get(p, time.Minute); status != balance.Error || res.Outcome != stream.Failed {
			t.Errorf("%.60q: outcome %d", s.text, status)
		}
		if idle, open := connCounts(p, 1); idle+open != 0 {
			t.Errorf("%.60q: %d idle of %d connections open, want none", s.text, idle, open)
		}
	}
}

// pendingRequest is a request that is in flight.
type pendingRequest struct {
	at     receivedRequest
	addr   string // where the host was when it began
	cancel context.CancelFunc
	ended  chan balance.Status
}

// idleConn is an idle connection, and when its reuse delay is over.
type idleConn struct {
	receivedRequest
	until time.Time
}

// FuzzConnections walks a pool through random steps and checks each against a model in which the
// connections are a stack of idle ones, of which the latest are within their reuse delay, and a set of busy ones: which
// connection carries a request, what its outcome is, and how many are open after it.
func FuzzConnections(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0x11, 0, 1})                      // reuse, after a plain and a chunked answer
	f.Add([]byte{0, 0, 0, 1, 1, 1, 0, 0})                      // three at once, then the last used first
	f.Add([]byte{0, 0x71, 0, 0x81, 0, 0xc1, 0, 0xd1, 0, 1})    // what must not be reused
	f.Add([]byte{0, 1, 4, 0, 1, 5, 0, 1, 6, 0, 1, 7, 0, 2, 0}) // idle ones closed in every way; a cancel
	f.Add([]byte{0, 3, 1, 0, 0, 1, 3, 0, 1})                   // the host moves while a request is out, and while none is
	f.Add([]byte{0, 0, 1, 0x10, 1, 0x10, 1, 1, 0, 0x10})       // at once after an answer: on one that has rested, or a new one
	for arg := range reactions {                               // every way to end a request, then another on what is left
		f.Add([]byte{0, byte(arg<<4 | 1), 0, 1})
	}
	f.Fuzz(func(t *testing.T, steps []byte) {
		const id = 7
		host := newScriptedHost(t)
		clock := time.Now()
		p := NewPool(time.Minute, 10*time.Second, 100)
		p.now = func() time.Time { return clock }
		p.Set(id, host.addr)
		var idle []idleConn // the model: a stack
		var busy []pendingRequest
		opened := 0
		for _, step := range steps[:min(len(steps), 40)] {
			arg := int(step >> 4)
			switch step & 7 {
			case 0: // a request begins, on the last idle connection that whose reuse delay is over or a new one; mostly all are eligible
				if len(busy) == 8 {
					continue
				}
				if arg&1 == 0 {
					clock = clock.Add(reuseDelay)
				}
				ctx, cancel := context.WithCancel(context.Background())
				h := pendingRequest{addr: host.addr, cancel: cancel, ended: make(chan balance.Status, 1)}
				go func() {
					status, _ := p.Do(ctx, id, time.Now().Add(time.Minute), &stream.Request{Operation: "GET",
						Target: "/a", Authority: "x", Txn: strconv.Itoa(opened)})
					h.ended <- status
				}()
				h.at = <-host.arrivals
				want := opened
				n := len(idle) - 1
				for n >= 0 && clock.Before(idle[n].until) {
					n--
				}
				if n >= 0 {
					want = idle[n].conn
					idle = slices.Delete(idle, n, n+1)
				} else {
					opened++
				}
				if h.at.conn != want {
					t.Fatalf("the request came on connection %d, want %d", h.at.conn, want)
				}
				busy = append(busy, h)
			case 1, 2: // the oldest request ends: answered or broken, or withdrawn
				if len(busy) == 0 {
					continue
				}
				h, end := busy[0], reactions[arg%len(reactions)]
				busy = busy[1:]
				if step&7 == 2 {
					end = reaction{status: balance.Cancelled}
					h.cancel()
				} else if end.apply(h.at.nc); end.reuse && h.addr == host.addr {
					idle = append(idle, idleConn{h.at, clock.Add(reuseDelay)})
				}
				if got := <-h.ended; got != end.status {
					t.Fatalf("response %q gave outcome %d, want %d", end.text, got, end.status)
				}
				h.cancel()
			case 3: // the host moves: what is idle is of no use, what is busy is not kept afterwards
				host, idle, opened = newScriptedHost(t), nil, 0
				p.Set(id, host.addr)
			case 4, 5: // the host closes an idle connection, or writes something unexpected on it
				if len(idle) == 0 {
					continue
				}
				i := arg % len(idle)
				reaction{text: "HTTP/1.1 408 Timeout\r\n\r\n"[:24*int(step&1)], closes: step&1 == 0}.apply(idle[i].nc)
				idle = append(idle[:i:i], idle[i+1:]...)
				for n := len(idle) + 1; n > len(idle); n, _ = connCounts(p, id) {
					runtime.Gosched() // until the kernel has brought it
					p.closeUnusable()
				}
			case 6: // time passes
				clock, idle = clock.Add(8*time.Second), nil
				p.closeUnusable()
			case 7:
				p.CloseUnused(id)
				idle = nil
			}
			if n, open := connCounts(p, id); n != len(idle) || open != n+len(busy) {
				t.Fatalf("%d idle of %d open, want %d of %d", n, open, len(idle), len(idle)+len(busy))
			}
		}
		for _, h := range busy {
			h.cancel()
			<-h.ended
		}
	})
}
