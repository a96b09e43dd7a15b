package upstream

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

func get(p *Pool, within time.Duration) (balance.Status, stream.Response) {
	return p.Do(context.Background(), 1, time.Now().Add(within), request())
}

func request() *stream.Request {
	return &stream.Request{Operation: "GET", Target: "/a/b?c=%20d", Authority: "origin.svc", Txn: "0a", ClassName: "a"}
}

func poolFor(addr string, most int) *Pool {
	p := NewPool(time.Minute, time.Minute, most)
	p.Set(1, addr)
	return p
}

// Guards against taking what proves that a request never ran for something that may have run: the
// decisions could not send it again, and an unsafe one would fail for nothing.
func TestNeverSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := l.Addr().String()
	l.Close()
	if status, _ := get(poolFor(refusing, 1), time.Minute); status != balance.ConnectFailed {
		t.Errorf("a refused connection gave outcome %d", status)
	}
	// A pool that is full is our own doing: the host must not be ejected for it.
	if status, _ := get(poolFor(refusing, 0), time.Minute); status != balance.Moot {
		t.Errorf("a pool that is full gave outcome %d", status)
	}
	if status, _ := get(NewPool(time.Minute, time.Minute, 1), time.Minute); status != balance.Moot {
		t.Errorf("a host that is not known gave outcome %d", status)
	}
	near, far := net.Pipe() // a write on it takes only what is read: this one breaks half-way
	go func() {
		_, _ = far.Read(make([]byte, 10))
		far.Close()
	}()
	p := poolFor("127.0.0.1:1", 1)
	p.open = 1
	if status := p.exchange(context.Background(), newConn(near, 1, "", connKind{}), time.Now().Add(time.Minute), make([]byte, 100), new(hostResponse)); status != balance.ConnectFailed {
		t.Errorf("a break before the last byte gave outcome %d", status)
	}
	if p.open != 0 {
		t.Errorf("%d connections open, want none", p.open)
	}
}

// Guards against a silent host holding its attempt, or its descriptor, beyond the time-out.
func TestTimeout(t *testing.T) {
	host := newScripted(t)
	p := poolFor(host.addr, 1)
	go func() { <-host.arrivals }()
	if status, _ := get(p, 2*time.Second); status != balance.Timeout {
		t.Errorf("silence gave outcome %d", status)
	}
	if idle, open := counts(p, 1); idle+open != 0 {
		t.Errorf("%d idle of %d connections open, want none", idle, open)
	}
}

// Guards against a message that is not what the client sent.
func TestMessage(t *testing.T) {
	host := newScripted(t)
	p := poolFor(host.addr, 1)
	req := &stream.Request{Operation: "POST", Target: "/place-order/7?x=%2F&y", Authority: "origin.svc", Txn: "0a1b",
		ClassName: "place-order", Key: "k1", Body: []byte("two lenses"), Repeated: true, Labels: "a=1", Org: "north", MediaType: "text/plain"}
	ended := make(chan stream.Response, 1)
	go func() {
		_, res := p.Do(context.Background(), 1, time.Now().Add(time.Minute), req)
		ended <- res
	}()
	at := <-host.arrivals
	h := at.req.Header
	if at.req.Method != "POST" || at.req.RequestURI != req.Target || at.req.Host != req.Authority || h.Get("Body") != "two lenses" {
		t.Errorf("the host got %s %s for %s with body %q", at.req.Method, at.req.RequestURI, at.req.Host, h.Get("Body"))
	}
	for name, want := range map[string]string{"X-Txn": "0a1b", "X-Lane": "place-order", "Idempotency-Key": "k1",
		"X-Labels": "a=1", "X-Org": "north", "X-Resent": "1", "Content-Type": "text/plain"} {
		if h.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, h.Get(name), want)
		}
	}
	if left, err := time.ParseDuration(h.Get("X-Remaining-Ms") + "ms"); err != nil || left <= 0 || left > time.Minute {
		t.Errorf("X-Remaining-Ms is %q", h.Get("X-Remaining-Ms"))
	}
	say{text: "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nContent-Length: 4\r\n\r\n\x00\r\nz"}.end(at.nc)
	if res := <-ended; string(res.Body) != "\x00\r\nz" || res.MediaType != "text/csv" {
		t.Errorf("answer %q of type %q", res.Body, res.MediaType)
	}
}

// Guards against descriptors running out: an idle connection gives way to one for another host.
func TestRoomIsMade(t *testing.T) {
	a, b := newScripted(t), newScripted(t)
	p := poolFor(a.addr, 1)
	go func() { says[0].end((<-a.arrivals).nc) }()
	if status, _ := get(p, time.Minute); status != balance.OK {
		t.Fatalf("outcome %d", status)
	}
	p.Set(2, b.addr)
	go func() { says[0].end((<-b.arrivals).nc) }()
	if status := p.Probe(2); status != balance.OK {
		t.Errorf("a probe with all connections idle elsewhere gave outcome %d", status)
	}
	if idle, open := counts(p, 1); idle != 0 || open != 1 {
		t.Errorf("%d idle at the first host of %d open, want none of 1", idle, open)
	}
}

// Guards against a request that a host finds fault with counting against the host, or being sent on.
func TestRejected(t *testing.T) {
	for text, want := range map[string]stream.Outcome{"400 Bad": stream.Rejected, "404 Where": stream.Rejected,
		"413 Much": stream.Rejected, "408 Slow": stream.Failed, "429 Many": stream.Failed, "500 Oops": stream.Failed} {
		host := newScripted(t)
		p := poolFor(host.addr, 1)
		go func() { say{text: "HTTP/1.1 " + text + "\r\nContent-Length: 0\r\n\r\n"}.end((<-host.arrivals).nc) }()
		status, res := get(p, time.Minute)
		if res.Outcome != want || (status == balance.Cancelled) != (want == stream.Rejected) {
			t.Errorf("%s: outcome %d, status %d", text, res.Outcome, status)
		}
	}
}

// Guards against an answer to the last request, which its host gives once more some milliseconds later, being served to the
// next: that goes out on another connection until the first has rested, and then has shown what came on it.
func TestLateSecondAnswer(t *testing.T) {
	host := newScripted(t)
	p := poolFor(host.addr, 9)
	clock := time.Now()
	p.now = func() time.Time { return clock }
	ask := func(want int, more ...arrival) arrival {
		t.Helper()
		body := make(chan string, 1)
		go func() {
			_, res := get(p, time.Minute)
			body <- string(res.Body)
		}()
		at := <-host.arrivals
		for _, m := range more {
			_, _ = io.WriteString(m.nc, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
		}
		_, _ = io.WriteString(at.nc, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
		if got := <-body; got != "new" || at.conn != want {
			t.Errorf("served with %q on connection %d, want its own answer on %d", got, at.conn, want)
		}
		return at
	}
	first := ask(0)
	ask(1, first) // the host's first answer comes once more, after the next request was sent
	clock = clock.Add(reuseDelay)
	last := ask(1)
	clock = clock.Add(reuseDelay)
	_, _ = io.WriteString(last.nc, "HTTP/1.1 200 OK")
	for idle := 1; idle > 0; idle, _ = counts(p, 1) { // all that is idle has something unasked on it, once the kernel has brought it
		runtime.Gosched()
		p.closeUnusable()
	}
	ask(2)
}

// Guards against a host at an address used before meeting a connection of the former one, whichever news
// comes first.
func TestAddressUsedAgain(t *testing.T) {
	for _, goneFirst := range []bool{true, false} {
		host := newScripted(t)
		p := poolFor(host.addr, 9)
		go func() { says[0].end((<-host.arrivals).nc) }()
		get(p, time.Minute)
		if goneFirst {
			p.Remove(1)
		}
		p.Set(2, host.addr)
		came := make(chan int, 1)
		go func() {
			at := <-host.arrivals
			came <- at.conn
			says[0].end(at.nc)
		}()
		if status := p.Probe(2); status != balance.OK {
			t.Errorf("outcome %d", status)
		}
		if conn := <-came; conn != 1 {
			t.Errorf("the new host was asked on connection %d, want a new one", conn)
		}
	}
}

// Guards against an answer that is announced early being given up like one that has stopped half-way.
func TestAnnouncedAnswer(t *testing.T) {
	host := newScripted(t)
	p := poolFor(host.addr, 1)
	go func() {
		at := <-host.arrivals
		say{text: "HTTP/1.1 103 Early\r\n\r\n"}.end(at.nc)
		<-time.After(thriftReplyTimeout + 100*time.Millisecond) // the time itself is what is tested
		says[0].end(at.nc)
	}()
	if status, _ := get(p, time.Minute); status != balance.OK {
		t.Errorf("outcome %d", status)
	}
}

// Guards against a request that goes out, or blames its host, although the process was stopped while it waited for its
// connection: the gate is shut when that is there. The connection is kept.
func TestHeldBack(t *testing.T) {
	s := newScripted(t)
	p := poolFor(s.addr, 2)
	open := false
	p.CanSend = func() bool { return open }
	if status, _ := get(p, time.Second); status != balance.Moot {
		t.Errorf("a request that is held back ends with %d", status)
	}
	if idle, opened := counts(p, 1); idle != 1 || opened != 1 {
		t.Errorf("%d connections of %d are idle, want the one", idle, opened)
	}
	call := &stream.Request{Operation: "call", Target: "a", MediaType: framedBinary.MediaType(), Body: []byte{0}}
	if status, _ := (&Thrift{Pool: p}).Do(context.Background(), 1, time.Now().Add(time.Second), call); status != balance.Moot {
		t.Errorf("over Thrift one that is held back ends with %d", status)
	}
	open = true
	go func() {
		a := <-s.arrivals
		_, _ = a.nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}()
	if status, _ := get(p, time.Minute); status != balance.OK {
		t.Errorf("then one ends with %d", status)
	}
}
