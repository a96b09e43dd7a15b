package cluster

import (
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

// Guards against the last member of an id being ignored where a list has several.
func TestDuplicateMembers(t *testing.T) {
	var members []Member
	for i := range 40 {
		members = append(members, member(fmt.Sprintf("h%02d", i%8), "x:1", []balance.Availability{balance.Ready, balance.Removed}[i/8%2]))
	}
	for _, last := range []balance.Availability{balance.Ready, balance.Draining, balance.Removed} {
		list := slices.Clone(members)
		for i := range 8 {
			list = append(list, member(fmt.Sprintf("h%02d", i), "x:1", last))
		}
		w, table := newRecorder()
		table.Apply(balance.ListFull, List{Members: list})
		states := map[balance.EndpointID]balance.Availability{}
		for _, e := range <-w.lists {
			states[e.Endpoint] = e.State
		}
		for _, state := range states {
			if state != last {
				t.Errorf("the decisions got a host as %v last, want %v", state, last)
			}
		}
		if got := table.Snapshot().List.Members; last == balance.Removed && len(got)+len(w.addrs) > 0 || last != balance.Removed &&
			(len(got) != 8 || len(w.addrs) != 8 || slices.ContainsFunc(got, func(m Member) bool { return m.State != last })) {
			t.Errorf("after %v %v are listed, and the addresses are %v", last, got, w.addrs)
		}
	}
}

// Guards against a drain that is undone because zones are renamed as it comes, and against an empty list for the decisions because
// they are renamed before the first one.
func TestUpdateNamesDuringUpdates(t *testing.T) {
	w, table := newRecorder()
	if table.UpdateNames([]string{"z9"}, nil); len(w.lists) > 0 {
		t.Error("the decisions got a list before there was one")
	}
	w.lists = make(chan []balance.Entry, 300)
	var hosts []Member
	for i := range 100 {
		hosts = append(hosts, member(fmt.Sprint(i), "x:1", balance.Ready))
	}
	table.Apply(balance.ListFull, List{Members: hosts})
	for i, h := range hosts {
		zone := []string{fmt.Sprint("z", i)}
		var renamed sync.WaitGroup
		before := len(w.kinds)
		renamed.Go(func() { table.UpdateNames(zone, nil) })
		for done := false; !done; { // the drain comes as soon as it can be applied after the zones are renamed
			if !table.mu.TryLock() {
				continue
			}
			if done = slices.Equal(table.zones, zone); done {
				if len(w.kinds) == before {
					t.Errorf("zones were renamed, and the decisions got no list")
				}
				h.State = balance.Draining
				table.apply(balance.ListDelta, List{Members: []Member{h}})
			}
			table.mu.Unlock()
		}
		renamed.Wait()
		if got := table.Snapshot().List.Members[slices.IndexFunc(table.Snapshot().List.Members, func(m Member) bool { return m.ID == h.ID })]; got.State != balance.Draining {
			t.Fatalf("host %s is listed as %v after its drain", h.ID, got.State)
		}
	}
}

// Guards against numbers of a list that overflow: a host that starts in the far future would count as one of long ago, and as warmed
// up.
func TestUpSinceRange(t *testing.T) {
	const latest = time.Duration(maxUpSinceMS) * time.Millisecond
	for number, want := range map[string]time.Duration{"0": 0, "-7": 0, "1": time.Millisecond, "9223372036854": latest, "9223372036855": latest,
		"14000000000000": latest, "1e15": latest, "null": 0, `"7"`: 7 * time.Millisecond} {
		list, err := ParseList(gjson.Parse(fmt.Sprintf(`{"revision":-1,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"Ready",
		 "up_since_ms":%s,"size":1e400,"cell":-1e300}]}`, number)))
		if err != nil || list.Members[0].UpSince != want {
			t.Errorf("up_since_ms %s: %+v, %v, want %v", number, list, err, want)
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
	table.Apply(balance.ListDelta, List{Members: []Member{member("a", "", balance.Removed)}})
	if e := (<-w.lists)[0]; e.State != balance.Removed || e.Endpoint != first[0].Endpoint || len(w.addrs) != 0 {
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
	table.Apply(balance.ListDelta, List{Members: []Member{{ID: "a", State: balance.Removed}}})
	<-w.lists
	if !table.Uncordon("a") || table.Uncordon("a") || table.Cordon("a") {
		t.Error("a cordoned host that is gone is to be uncordoned once, and then unknown")
	}
	if want := []cordonCall{{a, true}, {a, true}, {a, false}}; !slices.Equal(w.cordons, want) {
		t.Errorf("the decisions got %v, want %v", w.cordons, want)
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
