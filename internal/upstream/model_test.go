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

// poolModel runs a pool beside a model of it, in which the connections are a stack of idle ones, of which the latest are within
// their reuse delay, and a queue of busy ones.
type poolModel struct {
	t      *testing.T
	pool   *Pool
	host   *scriptedHost
	clock  time.Time
	idle   []idleConn
	busy   []pendingRequest
	opened int // connections to the present address
}

// modelHost is the only host of a poolModel.
const modelHost balance.EndpointID = 7

func newPoolModel(t *testing.T) *poolModel {
	m := &poolModel{t: t, pool: NewPool(time.Minute, 10*time.Second, 100), host: newScriptedHost(t), clock: time.Now()}
	m.pool.now = func() time.Time { return m.clock }
	m.pool.Set(modelHost, m.host.addr)
	return m
}

// FuzzConnections walks a pool through random steps and checks each against a poolModel: which connection carries a request,
// what its outcome is, and how many are open after it.
func FuzzConnections(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0x11, 0, 1})                      // reuse, after a plain and a chunked response
	f.Add([]byte{0, 0, 0, 1, 1, 1, 0, 0})                      // three at once, then the last used first
	f.Add([]byte{0, 0x71, 0, 0x81, 0, 0xc1, 0, 0xd1, 0, 1})    // what must not be reused
	f.Add([]byte{0, 1, 4, 0, 1, 5, 0, 1, 6, 0, 1, 7, 0, 2, 0}) // idle ones closed in every way; a cancellation
	f.Add([]byte{0, 3, 1, 0, 0, 1, 3, 0, 1})                   // the address changes while a request is in flight, and while none is
	f.Add([]byte{0, 0, 1, 0x10, 1, 0x10, 1, 1, 0, 0x10})       // at once after a response: on one whose reuse delay is over, or a new one
	for arg := range reactions {                               // every way to end a request, then another on what is left
		f.Add([]byte{0, byte(arg<<4 | 1), 0, 1})
	}
	f.Fuzz(func(t *testing.T, steps []byte) {
		m := newPoolModel(t)
		for _, step := range steps[:min(len(steps), 40)] {
			if !m.step(int(step&7), int(step>>4)) {
				continue
			}
			if n, open := connCounts(m.pool, modelHost); n != len(m.idle) || open != n+len(m.busy) {
				t.Fatalf("%d idle of %d open, want %d of %d", n, open, len(m.idle), len(m.idle)+len(m.busy))
			}
		}
		for _, r := range m.busy {
			r.cancel()
			<-r.ended
		}
	})
}

// step makes one step, and reports whether it was possible.
func (m *poolModel) step(kind, arg int) bool {
	switch kind {
	case 0:
		return m.startRequest(arg&1 == 0)
	case 1, 2:
		return m.endRequest(arg, kind == 2)
	case 3: // the address changes: idle connections are of no use, and busy ones are not reused
		m.host, m.idle, m.opened = newScriptedHost(m.t), nil, 0
		m.pool.Set(modelHost, m.host.addr)
	case 4, 5:
		return m.disturbIdle(arg, kind == 4)
	case 6: // time passes
		m.clock, m.idle = m.clock.Add(8*time.Second), nil
		m.pool.closeUnusable()
	case 7:
		m.pool.CloseUnused(modelHost)
		m.idle = nil
	}
	return true
}

// startRequest starts a request, on the last idle connection whose reuse delay is over or on a new one.
func (m *poolModel) startRequest(afterDelay bool) bool {
	if len(m.busy) == 8 {
		return false
	}
	if afterDelay {
		m.clock = m.clock.Add(reuseDelay)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := pendingRequest{addr: m.host.addr, cancel: cancel, ended: make(chan balance.Status, 1)}
	txn := strconv.Itoa(m.opened)
	go func() {
		status, _ := m.pool.Do(ctx, modelHost, time.Now().Add(time.Minute), &stream.Request{Operation: "GET",
			Target: "/a", Authority: "x", Txn: txn})
		r.ended <- status
	}()
	r.at = <-m.host.arrivals
	want := m.opened
	n := len(m.idle) - 1
	for n >= 0 && m.clock.Before(m.idle[n].until) {
		n--
	}
	if n >= 0 {
		want = m.idle[n].conn
		m.idle = slices.Delete(m.idle, n, n+1)
	} else {
		m.opened++
	}
	if r.at.conn != want {
		m.t.Fatalf("the request came on connection %d, want %d", r.at.conn, want)
	}
	m.busy = append(m.busy, r)
	return true
}

// endRequest ends the oldest request: by one of the reactions, or by its cancellation.
func (m *poolModel) endRequest(arg int, cancelled bool) bool {
	if len(m.busy) == 0 {
		return false
	}
	r, end := m.busy[0], reactions[arg%len(reactions)]
	m.busy = m.busy[1:]
	if cancelled {
		end = reaction{status: balance.Cancelled}
		r.cancel()
	} else if end.apply(r.at.nc); end.reuse && r.addr == m.host.addr {
		m.idle = append(m.idle, idleConn{r.at, m.clock.Add(reuseDelay)})
	}
	if got := <-r.ended; got != end.status {
		m.t.Fatalf("response %q gave outcome %d, want %d", end.text, got, end.status)
	}
	r.cancel()
	return true
}

// disturbIdle closes an idle connection at the host, or writes something unexpected on it.
func (m *poolModel) disturbIdle(arg int, closes bool) bool {
	if len(m.idle) == 0 {
		return false
	}
	i := arg % len(m.idle)
	text := "HTTP/1.1 408 Timeout\r\n\r\n"
	if closes {
		text = ""
	}
	reaction{text: text, closes: closes}.apply(m.idle[i].nc)
	m.idle = append(m.idle[:i:i], m.idle[i+1:]...)
	for n := len(m.idle) + 1; n > len(m.idle); n, _ = connCounts(m.pool, modelHost) {
		runtime.Gosched() // until the kernel has delivered it
		m.pool.closeUnusable()
	}
	return true
}
