package cluster

import (
	"fmt"
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
		members = append(members, member(fmt.Sprintf("h%02d", i%8), "x:1", []balance.Availability{balance.Ready, balance.Gone}[i/8%2]))
	}
	for _, last := range []balance.Availability{balance.Ready, balance.Draining, balance.Gone} {
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
		if got := table.Snapshot().List.Members; last == balance.Gone && len(got)+len(w.addrs) > 0 || last != balance.Gone &&
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
