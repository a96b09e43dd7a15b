package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// Guards against a watch that isn't continued, and against changes lost where discovery closes the connection or sends an invalid
// response: the next call is for changes since the last revision that was taken over.
func TestWatch(t *testing.T) {
	a := newScriptedAgent(t)
	w, table := newRecorder()
	synced := make(chan struct{})
	stop := startWatcher(newTestWatcher(a.addr, table), func() { close(synced) })
	first := <-a.calls
	if first.target != "/catalog/members" {
		t.Errorf("the first call is %s", first.target)
	}
	first.respond(document)
	<-w.lists
	<-synced
	const since41 = "/catalog/members?since=41&timeout_ms="
	for _, broken := range []func(agentCall){
		func(c agentCall) { c.conn.Close() },
		func(c agentCall) { c.respond("nonsense") },
		func(c agentCall) { c.respond(`{"revision":50,"members":[{"id":"a"}]}`) },
		func(c agentCall) { fmt.Fprint(c.conn, "HTTP/1.1 500 Down\r\nContent-Length: 0\r\n\r\n") },
	} {
		c := <-a.calls
		if !strings.HasPrefix(c.target, since41) {
			t.Errorf("the call is %s", c.target)
		}
		broken(c)
	}
	(<-a.calls).respond(`{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","host_port":"127.0.1.18:8080","phase":"Terminating"}]}`)
	if e := <-w.lists; len(e) != 1 || e[0].State != balance.Draining {
		t.Errorf("the change came as %+v", e)
	}
	if c := <-a.calls; !strings.Contains(c.target, "since=43&") {
		t.Errorf("the call after a change is %s", c.target)
	}
	stop() // while discovery holds the call
	if want := []balance.ListKind{balance.ListFull, balance.ListDelta}; !reflect.DeepEqual(w.kinds, want) {
		t.Errorf("lists of kinds %v, want %v", w.kinds, want)
	}
}

// Guards against waiting for a watch that has become unresponsive: a release was not seen for 22 s, for such a watch looks like
// one without changes until its wait is over. The agent has the changes and responds to another call.
func TestUnresponsiveWatch(t *testing.T) {
	a := newScriptedAgent(t)
	w, table := newRecorder()
	stop := startWatcher(newTestWatcher(a.addr, table), func() {})
	(<-a.calls).respond(document)
	<-w.lists
	unresponsive := <-a.calls
	var wait int
	if _, err := fmt.Sscanf(unresponsive.target, "/catalog/members?since=41&timeout_ms=%d", &wait); err != nil || wait > 1000 {
		t.Errorf("the watch is %s: a time-out would take too long (%v)", unresponsive.target, err)
	}
	again := <-a.calls // though the first got no response
	if !strings.HasPrefix(again.target, "/catalog/members?since=41&") || again.conn == unresponsive.conn {
		t.Errorf("after the time-out the call is %s, on the unresponsive connection: %v", again.target, again.conn == unresponsive.conn)
	}
	again.respond(`{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","host_port":"127.0.1.18:8080","phase":"Terminating"}]}`)
	if e := <-w.lists; len(e) != 1 || e[0].State != balance.Draining {
		t.Errorf("the change came as %+v", e)
	}
	stop()
}

// Guards against an agent that is called ten times a second, by each sidecar, for as long as it refuses: not harder the worse it
// does, but the first time within the 200 ms that keep a watch alive.
func TestRetryDelay(t *testing.T) {
	last := time.Duration(0)
	for failures := range 70 {
		d := retryDelay(failures)
		if d < last || d > maxRetryDelay || failures == 0 && d >= 200*time.Millisecond || failures > 3 && d != maxRetryDelay {
			t.Errorf("after %d failures %v, before that %v", failures, d, last)
		}
		last = d
	}
}

// Guards against sidecars that make their calls in step: two with different seeds don't wait for the same times.
func TestJitter(t *testing.T) {
	one, other := &watch{rand: rand.New(rand.NewPCG(1, 2))}, &watch{rand: rand.New(rand.NewPCG(2, 2))}
	same := 0
	for range 100 {
		x, y := one.jitter(time.Second), other.jitter(time.Second)
		if x < 750*time.Millisecond || x > time.Second {
			t.Fatalf("a wait of %v", x)
		}
		if x.Milliseconds() == y.Milliseconds() {
			same++
		}
	}
	if same > 5 {
		t.Errorf("%d of 100 waits are the same", same)
	}
}

// Guards against a change of discovery's address that waits for the old agent, takes over what it still sends, requests changes
// since the old agent's revision from the new one, or drops the present list. The same address again changes nothing.
func TestAddrChange(t *testing.T) {
	first, second := newScriptedAgent(t), newScriptedAgent(t)
	w, table := newRecorder()
	moves := make(chan string)
	synced := 0
	stop := startWatcher(&Watcher{Addr: first.addr, AddrChanges: moves, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}, func() { synced++ })
	(<-first.calls).respond(document)
	<-w.lists
	waiting := <-first.calls
	moves <- first.addr
	moves <- second.addr
	c := <-second.calls // while the old agent still holds its call
	if c.target != "/catalog/members" {
		t.Errorf("the new agent's call was %s", c.target)
	}
	if _, err := waiting.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the old agent was called again")
	}
	waiting.respond(`{"revision":99,"complete":true,"members":[]}`)
	if len(w.addrs) != 1 || len(w.kinds) != 1 {
		t.Errorf("while the address changes, %v is known after lists of kinds %v", w.addrs, w.kinds)
	}
	c.respond(`{"revision":7,"complete":true,"members":[{"id":"s-3","host_port":"127.0.1.19:8080","phase":"Ready"}]}`)
	<-w.lists
	if c := <-second.calls; !strings.Contains(c.target, "since=7&") {
		t.Errorf("the new agent's call was %s", c.target)
	}
	moves <- first.addr
	if c := <-first.calls; c.target != "/catalog/members" {
		t.Errorf("the first call of an agent that came back was %s", c.target)
	}
	stop()
	if synced != 1 {
		t.Errorf("synced %d times", synced)
	}
}

// slowInterruptConn is a connection of which an interruption takes time.
type slowInterruptConn struct {
	net.Conn
	began   chan struct{}
	stopped bool
}

func (c *slowInterruptConn) SetDeadline(time.Time) error {
	close(c.began)
	time.Sleep(20 * time.Millisecond) // a release that doesn't wait has returned by then
	c.stopped = true
	return nil
}

// Guards against a call that ends while it is being interrupted: the interruption would hit no connection, or another call's.
func TestInterruptRelease(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := &slowInterruptConn{began: make(chan struct{})}
	release := interrupt(ctx, c)
	cancel()
	<-c.began
	if release(); !c.stopped {
		t.Error("the connection was released before")
	}
}
