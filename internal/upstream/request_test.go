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

func newTestPool(addr string, most int) *Pool {
	p := NewPool(time.Minute, time.Minute, most)
	p.Set(1, addr)
	return p
}

// Guards against taking what proves that a request never ran for one that may have run: the decisions could not retry it, and
// one that is not idempotent would fail for nothing.
func TestNotSentStatus(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := l.Addr().String()
	l.Close()
	if status, _ := get(newTestPool(refusing, 1), time.Minute); status != balance.ConnectFailed {
		t.Errorf("a refused connection gave outcome %d", status)
	}
	// A pool that is full is our own doing: the host must not be ejected for it.
	if status, _ := get(newTestPool(refusing, 0), time.Minute); status != balance.NotSent {
		t.Errorf("a pool that is full gave outcome %d", status)
	}
	if status, _ := get(NewPool(time.Minute, time.Minute, 1), time.Minute); status != balance.NotSent {
		t.Errorf("a host that is not known gave outcome %d", status)
	}
}

// Guards against an unresponsive host holding its attempt, or its descriptor, beyond the time-out.
func TestTimeout(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 1)
	go func() { <-host.arrivals }()
	if status, _ := get(p, 2*time.Second); status != balance.Timeout {
		t.Errorf("an unresponsive host gave outcome %d", status)
	}
	if idle, open := connCounts(p, 1); idle+open != 0 {
		t.Errorf("%d idle of %d connections open, want none", idle, open)
	}
}

// Guards against a message that is not what the client sent.
func TestRequestMessage(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 1)
	req := &stream.Request{Operation: "POST", Target: "/place-order/7?x=%2F&y", Authority: "origin.svc", Txn: "0a1b",
		ClassName: "place-order", Key: "k1", Body: []byte("two lenses"), ClientRetry: true, Labels: "a=1", TenantName: "north", MediaType: "text/plain"}
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
	if remaining, err := time.ParseDuration(h.Get("X-Remaining-Ms") + "ms"); err != nil || remaining <= 0 || remaining > time.Minute {
		t.Errorf("X-Remaining-Ms is %q", h.Get("X-Remaining-Ms"))
	}
	reaction{text: "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nContent-Length: 4\r\n\r\n\x00\r\nz"}.apply(at.nc)
	if res := <-ended; string(res.Body) != "\x00\r\nz" || res.MediaType != "text/csv" {
		t.Errorf("response %q of type %q", res.Body, res.MediaType)
	}
}

// Guards against descriptors running out: an idle connection is evicted for one to another host.
func TestIdleConnectionIsEvicted(t *testing.T) {
	a, b := newScriptedHost(t), newScriptedHost(t)
	p := newTestPool(a.addr, 1)
	go func() { reactions[0].apply((<-a.arrivals).nc) }()
	if status, _ := get(p, time.Minute); status != balance.OK {
		t.Fatalf("outcome %d", status)
	}
	p.Set(2, b.addr)
	go func() { reactions[0].apply((<-b.arrivals).nc) }()
	if status := p.Probe(2); status != balance.OK {
		t.Errorf("a probe with all connections idle elsewhere gave outcome %d", status)
	}
	if idle, open := connCounts(p, 1); idle != 0 || open != 1 {
		t.Errorf("%d idle at the first host of %d open, want none of 1", idle, open)
	}
}

// Guards against a request that a host rejects counting against the host, or being retried.
func TestRejectedRequest(t *testing.T) {
	for text, want := range map[string]stream.Outcome{"400 Bad": stream.InvalidRequest, "404 Where": stream.InvalidRequest,
		"413 Much": stream.InvalidRequest, "408 Slow": stream.Failed, "429 Many": stream.Failed, "500 Oops": stream.Failed} {
		host := newScriptedHost(t)
		p := newTestPool(host.addr, 1)
		go func() {
			reaction{text: "HTTP/1.1 " + text + "\r\nContent-Length: 0\r\n\r\n"}.apply((<-host.arrivals).nc)
		}()
		status, res := get(p, time.Minute)
		if res.Outcome != want || (status == balance.Cancelled) != (want == stream.InvalidRequest) {
			t.Errorf("%s: outcome %d, status %d", text, res.Outcome, status)
		}
	}
}

// Guards against a second response to the last request, which comes some milliseconds later, being served to the next one: that
// goes out on another connection until the reuse delay is over, and by then the first has shown what came on it.
func TestLateDuplicateResponse(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 9)
	clock := time.Now()
	p.now = func() time.Time { return clock }
	send := func(want int, more ...receivedRequest) receivedRequest {
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
			t.Errorf("served with %q on connection %d, want its own response on %d", got, at.conn, want)
		}
		return at
	}
	first := send(0)
	send(1, first) // the first response comes a second time, after the next request was sent
	clock = clock.Add(reuseDelay)
	last := send(1)
	clock = clock.Add(reuseDelay)
	_, _ = io.WriteString(last.nc, "HTTP/1.1 200 OK")
	for idle := 1; idle > 0; idle, _ = connCounts(p, 1) { // until the kernel has delivered the unexpected bytes
		runtime.Gosched()
		p.closeUnusable()
	}
	send(2)
}

// Guards against a host at an address used before getting a connection of the former host, whichever update comes first.
func TestAddressReuse(t *testing.T) {
	for _, removedFirst := range []bool{true, false} {
		host := newScriptedHost(t)
		p := newTestPool(host.addr, 9)
		go func() { reactions[0].apply((<-host.arrivals).nc) }()
		get(p, time.Minute)
		if removedFirst {
			p.Remove(1)
		}
		p.Set(2, host.addr)
		came := make(chan int, 1)
		go func() {
			at := <-host.arrivals
			came <- at.conn
			reactions[0].apply(at.nc)
		}()
		if status := p.Probe(2); status != balance.OK {
			t.Errorf("outcome %d", status)
		}
		if conn := <-came; conn != 1 {
			t.Errorf("the new host was probed on connection %d, want a new one", conn)
		}
	}
}

// Guards against a response after an informational one (1xx) being aborted like one that has stalled.
func TestInformationalResponse(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 1)
	go func() {
		at := <-host.arrivals
		reaction{text: "HTTP/1.1 103 Early\r\n\r\n"}.apply(at.nc)
		<-time.After(thriftReplyTimeout + 100*time.Millisecond) // the time itself is what is tested
		reactions[0].apply(at.nc)
	}()
	if status, _ := get(p, time.Minute); status != balance.OK {
		t.Errorf("outcome %d", status)
	}
}

// Guards against a request that is sent, or counts against its host, although CanSend returns false once its connection is
// there. The connection is kept.
func TestCanSend(t *testing.T) {
	s := newScriptedHost(t)
	p := newTestPool(s.addr, 2)
	open := false
	p.CanSend = func() bool { return open }
	if status, _ := get(p, time.Second); status != balance.NotSent {
		t.Errorf("a request that must not be sent ends with %d", status)
	}
	if idle, opened := connCounts(p, 1); idle != 1 || opened != 1 {
		t.Errorf("%d connections of %d are idle, want the one", idle, opened)
	}
	call := &stream.Request{Operation: "call", Target: "a", MediaType: framedBinary.MediaType(), Body: []byte{0}}
	if status, _ := (&Thrift{Pool: p}).Do(context.Background(), 1, time.Now().Add(time.Second), call); status != balance.NotSent {
		t.Errorf("over Thrift one that must not be sent ends with %d", status)
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
