package downstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// Guards against draining that waits for a connection on which nothing has come.
func TestInactiveConnectionsAreClosed(t *testing.T) {
	c := newConnLimiter(3)
	newConn, far := net.Pipe()
	idle, farIdle := net.Pipe()
	busy, farBusy := net.Pipe()
	c.setState(newConn, http.StateNew)
	c.setState(idle, http.StateNew)
	c.setState(idle, http.StateActive)
	c.setState(idle, http.StateIdle)
	c.setState(busy, http.StateNew)
	c.setState(busy, http.StateActive)
	c.closeInactive()
	for _, end := range []net.Conn{far, farIdle} {
		if _, err := end.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("an inactive connection reads %v, want its end", err)
		}
	}
	go func() { _, _ = busy.Write([]byte{1}) }()
	if _, err := farBusy.Read(make([]byte, 1)); err != nil {
		t.Errorf("an active connection reads %v", err)
	}
}

// Guards against silent connections, and those whose request stalls, keeping out clients that have a request: the oldest of
// these is evicted first, then those idle after one request, then those that were reused, then even one whose request is
// arriving; never one whose request is complete.
func TestEvictionOrder(t *testing.T) {
	c := newConnLimiter(0)
	clock := time.Now()
	c.now = func() time.Time { return clock }
	conns := map[net.Conn]string{}
	add := func(name string, hasRead bool, states ...http.ConnState) {
		near, _ := net.Pipe()
		conn := &clientConn{Conn: near}
		conns[conn] = name
		for _, state := range states {
			c.setState(conn, state)
		}
		if hasRead {
			conn.lastRead.Store(clock.UnixNano())
		}
		clock = clock.Add(newConnGracePeriod)
	}
	fresh, once := http.StateNew, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}
	add("reused", true, append(once, http.StateActive, http.StateIdle)...)
	add("idle first", true, once...)
	add("stalled", true, fresh)
	add("silent first", false, fresh)
	add("active", true, fresh, http.StateActive)
	add("silent last", false, fresh)
	add("idle last", true, once...)
	clock = clock.Add(headStallTimeout - 4*newConnGracePeriod)
	add("receiving", true, fresh)
	add("fresh", false, fresh)
	clock = clock.Add(-newConnGracePeriod)
	for _, want := range []string{"stalled", "silent first", "silent last", "idle first", "idle last", "reused", "receiving", "fresh", ""} {
		conn := c.evictionCandidate()
		if conns[conn] != want {
			t.Errorf("%q is evicted, want %q", conns[conn], want)
		}
		delete(c.inactive, conn)
	}
}

// Guards against client connections taking all descriptors: an idle one is evicted for a new one.
func TestMaxConnections(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
	s.limiter = newConnLimiter(2)
	addr := serve(t, s)
	var first *bufio.Reader
	for i := range 5 {
		c, in := dial(t, addr)
		send(c, rawRequest)
		if res := readResponse(t, in); res.StatusCode != 200 {
			t.Errorf("connection %d got status %d", i, res.StatusCode)
		}
		if first == nil {
			first = in
			for s.limiter.countInactive(addr) == 0 { // it becomes idle some time after its response
				runtime.Gosched()
			}
		}
	}
	if _, err := first.ReadByte(); err == nil {
		t.Error("the first connection is still open")
	}
}
