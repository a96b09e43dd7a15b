package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

const document = `{"revision":41,"complete":true,"members":[
 {"id":"s-5be2a07c","host_port":"127.0.1.18:8080","locality":"a","flavor":"m2","cell":3,"phase":"Ready","size":1.5,"up_since_ms":1700000000123},
 {"id":"s-2","host_port":"","phase":"Gone","novel":[1]}]}`

func TestParseList(t *testing.T) {
	got, err := ParseList(gjson.Parse(document))
	if err != nil {
		t.Fatal(err)
	}
	want := List{Revision: 41, Complete: true, Members: []Member{
		{ID: "s-5be2a07c", Addr: "127.0.1.18:8080", Zone: "a", Kind: "m2", Cell: 3, State: balance.Ready, Weight: 1.5,
			UpSince: 1700000000123 * time.Millisecond},
		{ID: "s-2", State: balance.Gone},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// Guards against a list that is taken over in part: what it leaves out would count as gone.
func TestInvalidLists(t *testing.T) {
	for text, names := range map[string]string{
		`[]`:            "members",
		`{"members":1}`: "members",
		`{"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"Napping"}]}`: "members[0].phase",
		`{"members":[{"host_port":"127.0.0.1:1","phase":"Ready"}]}`:            "members[0].id",
		`{"members":[{"id":"a","host_port":"nowhere","phase":"Ready"}]}`:       "members[0].host_port",
	} {
		if _, err := ParseList(gjson.Parse(text)); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%s: error %v, want one that names %s", text, err, names)
		}
	}
}

// listObserver is an Observer that records the last list.
type listObserver []Member

func (l *listObserver) Listed(_ balance.ListKind, members []Member) { *l = slices.Clone(members) }

// Guards against an observer that can't map a number to its host.
func TestObserver(t *testing.T) {
	w, table := newRecorder()
	seen := &listObserver{}
	table.Observer = seen
	table.Apply(balance.ListCached, List{Members: []Member{member("b", "x:1", balance.Ready), member("a", "x:2", balance.Ready)}})
	for i, e := range <-w.lists {
		if m := (*seen)[i]; m.ID != []string{"a", "b"}[i] || m.Endpoint != e.Endpoint {
			t.Errorf("got %+v for entry %+v", m, e)
		}
	}
}

func TestTable(t *testing.T) {
	w, table := newRecorder()
	table.Apply(balance.ListFull, List{Members: []Member{member("a", "x:1", balance.Ready), member("b", "x:2", balance.Ready)}})
	first := <-w.lists
	if len(first) != 2 || first[0].Zone != 1 || first[0].Kind != 1 || w.addrs[first[0].Endpoint] != "x:1" {
		t.Fatalf("entries %+v, addresses %v", first, w.addrs)
	}
	table.Apply(balance.ListDelta, List{Members: []Member{member("a", "y:9", balance.Draining)}})
	if e := (<-w.lists)[0]; e.Endpoint != first[0].Endpoint || e.State != balance.Draining || w.addrs[e.Endpoint] != "y:9" {
		t.Errorf("after a drain and a move: %+v, addresses %v", e, w.addrs)
	}
	table.Apply(balance.ListFull, List{Members: []Member{member("a", "y:9", balance.Ready)}})
	<-w.lists
	if len(w.addrs) != 1 {
		t.Errorf("a host that a complete list leaves out is still known: %v", w.addrs)
	}
	table.Apply(balance.ListDelta, List{Members: []Member{member("a", "", balance.Gone)}})
	if e := (<-w.lists)[0]; e.State != balance.Gone || e.Endpoint != first[0].Endpoint || len(w.addrs) != 0 {
		t.Errorf("after its end: %+v, addresses %v", e, w.addrs)
	}
}

// Guards against two sidecars numbering the cluster differently, also where the hashes of two ids collide: these two do (FNV-1a,
// 32 bits). The hash ring has to be the same everywhere.
func TestNumbersAreDeterministic(t *testing.T) {
	const a, b = "costarring", "liquid"
	numbers := func(ids ...string) map[string]balance.EndpointID {
		_, table := newRecorder()
		var members []Member
		for _, id := range ids {
			members = append(members, member(id, "x:1", balance.Ready))
		}
		table.Apply(balance.ListFull, List{Members: members})
		return table.numbers
	}
	one, other := numbers(a, "c", b), numbers(b, a, "c")
	if !reflect.DeepEqual(one, other) || one[a] == one[b] {
		t.Errorf("%v and %v", one, other)
	}
	if alone := numbers(b); alone[b] != one[a] {
		t.Errorf("%q and %q no longer collide, so this test shows nothing: %v %v", a, b, alone, one)
	}
}

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
	silent := <-a.calls
	var wait int
	if _, err := fmt.Sscanf(silent.target, "/catalog/members?since=41&timeout_ms=%d", &wait); err != nil || wait > 1000 {
		t.Errorf("the watch is %s: a time-out would take too long (%v)", silent.target, err)
	}
	again := <-a.calls // though the first got no response
	if !strings.HasPrefix(again.target, "/catalog/members?since=41&") || again.conn == silent.conn {
		t.Errorf("after the time-out the call is %s, on the unresponsive connection: %v", again.target, again.conn == silent.conn)
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

// Guards against a cordon of an unknown host, one that is lost while its host is away, and one whose number goes to another host
// meanwhile.
func TestCordon(t *testing.T) {
	w, table := newRecorder()
	if table.Cordon("a") || table.Uncordon("a") || len(w.cordons) > 0 {
		t.Errorf("an unknown host was cordoned or uncordoned: %v", w.cordons)
	}
	table.Apply(balance.ListFull, List{Members: []Member{member("a", "x:1", balance.Ready), member("b", "x:2", balance.Ready)}})
	a := (<-w.lists)[0].Endpoint
	for range 2 { // the second changes nothing
		if !table.Cordon("a") {
			t.Error("a listed host was not cordoned")
		}
	}
	table.Apply(balance.ListFull, List{Members: []Member{member("b", "x:2", balance.Ready)}})
	<-w.lists
	table.Apply(balance.ListDelta, List{Members: []Member{member("a", "y:1", balance.Ready)}})
	if e := (<-w.lists)[0]; e.Endpoint != a || w.addrs[a] != "y:1" {
		t.Errorf("after its return the host is %d at %v, was %d", e.Endpoint, w.addrs, a)
	}
	table.Apply(balance.ListDelta, List{Members: []Member{{ID: "a", State: balance.Gone}}})
	<-w.lists
	if !table.Uncordon("a") || table.Uncordon("a") || table.Cordon("a") {
		t.Error("a cordoned host that is gone is to be uncordoned once, and then unknown")
	}
	if want := []cordonCall{{a, true}, {a, true}, {a, false}}; !slices.Equal(w.cordons, want) {
		t.Errorf("the decisions got %v, want %v", w.cordons, want)
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

// Guards against a host that drains or is cordoned still getting attempts that wait for their connection, and against one that is
// back and gets nothing.
func TestSetDraining(t *testing.T) {
	w, table := newRecorder()
	id := table.assignNumber("h")
	list := func(state balance.Availability) {
		table.Apply(balance.ListDelta, List{Members: []Member{{ID: "h", Addr: "127.0.0.1:1", State: state}}})
		<-w.lists
	}
	for i, step := range []struct {
		do   func()
		want bool
	}{
		{func() { list(balance.Ready) }, false},
		{func() { list(balance.Draining) }, true},
		{func() { list(balance.Ready) }, false},
		{func() { table.Cordon("h") }, true},
		{func() { list(balance.Ready) }, true}, // whatever is listed meanwhile
		{func() { list(balance.Draining) }, true},
		{func() { table.Uncordon("h") }, true}, // it drains still
		{func() { list(balance.Ready) }, false},
		{func() { table.Cordon("h"); table.Uncordon("h") }, false},
	} {
		if step.do(); w.draining[id] != step.want {
			t.Errorf("step %d: draining is %v", i, w.draining[id])
		}
	}
}

// Guards against connections to a former process of a host being reused: a machine that vanished never closed them, and what is
// sent on one once it is back ends as a reset, after which it may have run.
func TestHostRestart(t *testing.T) {
	w, table := newRecorder()
	for i, step := range []struct {
		up   time.Duration
		want int
	}{{0, 0}, {time.Second, 1}, {time.Second, 1}, {0, 1}, {time.Minute, 2}} {
		table.Apply(balance.ListDelta, List{Members: []Member{{ID: "h", Addr: "127.0.0.1:1", State: balance.Ready, UpSince: step.up}}})
		<-w.lists
		if w.removed != step.want || len(w.addrs) != 1 {
			t.Errorf("step %d: its connections were closed %d times, want %d; %d hosts are reachable", i, w.removed, step.want, len(w.addrs))
		}
	}
}
