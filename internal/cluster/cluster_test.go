package cluster

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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

// Guards against a list that is taken in part: what it leaves out would count as gone.
func TestBadLists(t *testing.T) {
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

// world records what a table tells its two sides.
type world struct {
	addrs map[balance.EndpointID]string
	lists chan []balance.Entry
	kinds []balance.ListKind

	cordons []cordon
	shut    map[balance.EndpointID]bool
	removed int
}

func newWorld() (*world, *Table) {
	w := &world{addrs: map[balance.EndpointID]string{}, shut: map[balance.EndpointID]bool{}, lists: make(chan []balance.Entry, 10)}
	return w, NewTable([]string{"z0", "z1"}, []string{"k0", "k1"}, w, w)
}

func (w *world) Set(id balance.EndpointID, addr string)     { w.addrs[id] = addr }
func (w *world) SetDraining(id balance.EndpointID, on bool) { w.shut[id] = on }
func (w *world) Remove(id balance.EndpointID)               { delete(w.addrs, id); w.removed++ }
func (w *world) Membership(kind balance.ListKind, entries []balance.Entry, _ uint32) {
	w.kinds = append(w.kinds, kind)
	w.lists <- entries
}

func (w *world) Cordon(id balance.EndpointID, out bool) {
	w.cordons = append(w.cordons, cordon{id, out})
}

func (w *world) Expect(time.Duration) {}

// cordon is what a table says of one.
type cordon struct {
	id  balance.EndpointID
	out bool
}

func member(id, addr string, state balance.Availability) Member {
	return Member{ID: id, Addr: addr, State: state, Zone: "z1", Kind: "k1"}
}

// listed is an observer that keeps the last list.
type listed []Member

func (l *listed) Listed(_ balance.ListKind, members []Member) { *l = slices.Clone(members) }

// Guards against an observer that can't tell which host a number stands for.
func TestObserver(t *testing.T) {
	w, table := newWorld()
	seen := &listed{}
	table.Observer = seen
	table.Apply(balance.ListCached, List{Members: []Member{member("b", "x:1", balance.Ready), member("a", "x:2", balance.Ready)}})
	for i, e := range <-w.lists {
		if m := (*seen)[i]; m.ID != []string{"a", "b"}[i] || m.Endpoint != e.Endpoint {
			t.Errorf("told of %+v for entry %+v", m, e)
		}
	}
}

func TestTable(t *testing.T) {
	w, table := newWorld()
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
		t.Errorf("a host that a whole list leaves out is still known: %v", w.addrs)
	}
	table.Apply(balance.ListDelta, List{Members: []Member{member("a", "", balance.Gone)}})
	if e := (<-w.lists)[0]; e.State != balance.Gone || e.Endpoint != first[0].Endpoint || len(w.addrs) != 0 {
		t.Errorf("after its end: %+v, addresses %v", e, w.addrs)
	}
}

// Guards against two sidecars numbering the cluster differently, also where two ids hash alike: these two
// do (FNV-1a, 32 bits). The module's ring has to be the same everywhere.
func TestNumbersAreTheSameEverywhere(t *testing.T) {
	const a, b = "costarring", "liquid"
	numbers := func(ids ...string) map[string]balance.EndpointID {
		_, table := newWorld()
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

// agent plays discovery: each call is handed to the test, which answers it.
type agent struct {
	addr  string
	calls chan call
}

type call struct {
	target string
	conn   net.Conn
}

func newAgent(t *testing.T) *agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	a := &agent{addr: l.Addr().String(), calls: make(chan call)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					a.calls <- call{req.RequestURI, conn}
				}
			}()
		}
	}()
	return a
}

func (c call) answer(body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a watch that isn't continued, and against news lost where discovery breaks off or talks
// nonsense: the next call asks from the last revision that was taken over.
func TestWatch(t *testing.T) {
	a := newAgent(t)
	w, table := newWorld()
	ctx, end := context.WithCancel(context.Background())
	synced, ended := make(chan struct{}), make(chan struct{})
	go func() {
		(&Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}).Run(ctx, func() { close(synced) })
		close(ended)
	}()
	first := <-a.calls
	if first.target != "/catalog/members" {
		t.Errorf("the first call is %s", first.target)
	}
	first.answer(document)
	<-w.lists
	<-synced
	const since41 = "/catalog/members?since=41&timeout_ms="
	for _, broken := range []func(call){
		func(c call) { c.conn.Close() },
		func(c call) { c.answer("nonsense") },
		func(c call) { c.answer(`{"revision":50,"members":[{"id":"a"}]}`) },
		func(c call) { fmt.Fprint(c.conn, "HTTP/1.1 500 Down\r\nContent-Length: 0\r\n\r\n") },
	} {
		c := <-a.calls
		if !strings.HasPrefix(c.target, since41) {
			t.Errorf("the call is %s", c.target)
		}
		broken(c)
	}
	(<-a.calls).answer(`{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","host_port":"127.0.1.18:8080","phase":"Terminating"}]}`)
	if e := <-w.lists; len(e) != 1 || e[0].State != balance.Draining {
		t.Errorf("the change came as %+v", e)
	}
	if c := <-a.calls; !strings.Contains(c.target, "since=43&") {
		t.Errorf("the call after a change is %s", c.target)
	}
	end() // while discovery is silent
	<-ended
	if want := []balance.ListKind{balance.ListFull, balance.ListDelta}; !reflect.DeepEqual(w.kinds, want) {
		t.Errorf("lists of kinds %v, want %v", w.kinds, want)
	}
}

// Guards against a watch that has fallen silent and is waited for: a release went by unseen for 22 s, for a silent watch
// looks like one without news until its wait is over. The agent has the news and answers whoever asks again.
func TestSilentWatch(t *testing.T) {
	a := newAgent(t)
	w, table := newWorld()
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		(&Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}).Run(ctx, func() {})
		close(ended)
	}()
	(<-a.calls).answer(document)
	<-w.lists
	silent := <-a.calls
	var wait int
	if _, err := fmt.Sscanf(silent.target, "/catalog/members?since=41&timeout_ms=%d", &wait); err != nil || wait > 1000 {
		t.Errorf("the watch is %s: silence would go unnoticed for long (%v)", silent.target, err)
	}
	again := <-a.calls // though the first was never answered
	if !strings.HasPrefix(again.target, "/catalog/members?since=41&") || again.conn == silent.conn {
		t.Errorf("after the silence the call is %s, on the silent connection: %v", again.target, again.conn == silent.conn)
	}
	again.answer(`{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","host_port":"127.0.1.18:8080","phase":"Terminating"}]}`)
	if e := <-w.lists; len(e) != 1 || e[0].State != balance.Draining {
		t.Errorf("the change came as %+v", e)
	}
	end()
	<-ended
}

// Guards against an agent that is asked ten times a second, by each sidecar, for as long as it refuses: not harder the
// worse it does, but the first time within the 200 ms that keep a watch going.
func TestFailuresAreAskedAfterLessOften(t *testing.T) {
	last := time.Duration(0)
	for failures := range 70 {
		d := retryDelay(failures)
		if d < last || d > maxRetryDelay || failures == 0 && d >= 200*time.Millisecond || failures > 3 && d != maxRetryDelay {
			t.Errorf("after %d failures %v, before that %v", failures, d, last)
		}
		last = d
	}
}

// Guards against sidecars that ask in step: two with seeds of their own don't wait for the same times.
func TestWatchesAreSpread(t *testing.T) {
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

// Guards against a move of discovery that waits for the old agent, believes what it still says, asks the
// new one for changes since a revision that isn't its own, or drops the list that is held. An address that
// is given again moves nothing.
func TestDiscoveryMoves(t *testing.T) {
	first, second := newAgent(t), newAgent(t)
	w, table := newWorld()
	moves := make(chan string)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	synced := 0
	go func() {
		(&Watcher{Addr: first.addr, AddrChanges: moves, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}).Run(ctx, func() { synced++ })
		close(ended)
	}()
	(<-first.calls).answer(document)
	<-w.lists
	waiting := <-first.calls
	moves <- first.addr
	moves <- second.addr
	c := <-second.calls // while the old agent holds its call
	if c.target != "/catalog/members" {
		t.Errorf("the new agent was asked for %s", c.target)
	}
	if _, err := waiting.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the old agent was asked again")
	}
	waiting.answer(`{"revision":99,"complete":true,"members":[]}`)
	if len(w.addrs) != 1 || len(w.kinds) != 1 {
		t.Errorf("while discovery moves, %v is known after lists of kinds %v", w.addrs, w.kinds)
	}
	c.answer(`{"revision":7,"complete":true,"members":[{"id":"s-3","host_port":"127.0.1.19:8080","phase":"Ready"}]}`)
	<-w.lists
	if c := <-second.calls; !strings.Contains(c.target, "since=7&") {
		t.Errorf("the new agent was asked for %s", c.target)
	}
	moves <- first.addr
	if c := <-first.calls; c.target != "/catalog/members" {
		t.Errorf("an agent that came back was asked for %s", c.target)
	}
	end()
	<-ended
	if synced != 1 {
		t.Errorf("synced %d times", synced)
	}
}

// Guards against a cordon of what nobody has, one that is lost while its host is away, and one whose number goes to
// another host meanwhile.
func TestCordons(t *testing.T) {
	w, table := newWorld()
	if table.Cordon("a") || table.Uncordon("a") || len(w.cordons) > 0 {
		t.Errorf("an unknown host was taken out or put back: %v", w.cordons)
	}
	table.Apply(balance.ListFull, List{Members: []Member{member("a", "x:1", balance.Ready), member("b", "x:2", balance.Ready)}})
	a := (<-w.lists)[0].Endpoint
	if !table.Cordon("a") || !table.Cordon("a") {
		t.Error("a listed host was not taken out")
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
		t.Error("a host that is out and away is to be put back once, and then nobody has it")
	}
	if want := []cordon{{a, true}, {a, true}, {a, false}}; !slices.Equal(w.cordons, want) {
		t.Errorf("the decisions were told %v, want %v", w.cordons, want)
	}
}

// slowToStop is a connection that takes its time to be interrupted.
type slowToStop struct {
	net.Conn
	began   chan struct{}
	stopped bool
}

func (c *slowToStop) SetDeadline(time.Time) error {
	close(c.began)
	time.Sleep(20 * time.Millisecond) // whoever doesn't wait for it is gone by then
	c.stopped = true
	return nil
}

// Guards against a call that ends while it is being interrupted: what comes late would find no connection, or another call's.
func TestInterruptIsWaitedFor(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := &slowToStop{began: make(chan struct{})}
	release := interrupt(ctx, c)
	cancel()
	<-c.began
	if release(); !c.stopped {
		t.Error("the connection was let go of before")
	}
}

// Guards against a host that drains or is taken out still getting what was sent there before and waits for its connection, and
// against one that is back and gets nothing.
func TestShut(t *testing.T) {
	w, table := newWorld()
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
		if step.do(); w.shut[id] != step.want {
			t.Errorf("step %d: shut is %v", i, w.shut[id])
		}
	}
}

// Guards against connections to a former process of a host being kept: a machine that vanished never closed them, and what is
// sent on one once it is back ends as a reset, which may have run.
func TestNewProcess(t *testing.T) {
	w, table := newWorld()
	for i, step := range []struct {
		up   time.Duration
		want int
	}{{0, 0}, {time.Second, 1}, {time.Second, 1}, {0, 1}, {time.Minute, 2}} {
		table.Apply(balance.ListDelta, List{Members: []Member{{ID: "h", Addr: "127.0.0.1:1", State: balance.Ready, UpSince: step.up}}})
		<-w.lists
		if w.removed != step.want || len(w.addrs) != 1 {
			t.Errorf("step %d: its connections were let go of %d times, want %d; %d hosts are reachable", i, w.removed, step.want, len(w.addrs))
		}
	}
}
