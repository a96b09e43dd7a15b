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

// Guards against the last word on a host being lost where a list names it twice.
func TestTheLastWordCounts(t *testing.T) {
	var members []Member
	for i := range 40 {
		members = append(members, member(fmt.Sprintf("h%02d", i%8), "x:1", []balance.Availability{balance.Ready, balance.Gone}[i/8%2]))
	}
	for _, last := range []balance.Availability{balance.Ready, balance.Draining, balance.Gone} {
		list := slices.Clone(members)
		for i := range 8 {
			list = append(list, member(fmt.Sprintf("h%02d", i), "x:1", last))
		}
		w, table := newWorld()
		table.Apply(balance.ListFull, List{Members: list})
		told := map[balance.EndpointID]balance.Availability{}
		for _, e := range <-w.lists {
			told[e.Endpoint] = e.State
		}
		for _, state := range told {
			if state != last {
				t.Errorf("a host is told as %v last, want %v", state, last)
			}
		}
		if got := table.Snapshot().List.Members; last == balance.Gone && len(got)+len(w.addrs) > 0 || last != balance.Gone &&
			(len(got) != 8 || len(w.addrs) != 8 || slices.ContainsFunc(got, func(m Member) bool { return m.State != last })) {
			t.Errorf("after %v it holds %v and %v", last, got, w.addrs)
		}
	}
}

// Guards against a drain that is undone because zones are renamed as it is told, and against a cluster of nobody that is
// told because they are before the first list.
func TestRetuneAmongNews(t *testing.T) {
	w, table := newWorld()
	if table.UpdateNames([]string{"z9"}, nil); len(w.lists) > 0 {
		t.Error("a list was told before there was one")
	}
	w.lists = make(chan []balance.Entry, 300)
	var hosts []Member
	for i := range 100 {
		hosts = append(hosts, member(fmt.Sprint(i), "x:1", balance.Ready))
	}
	table.Apply(balance.ListFull, List{Members: hosts})
	for i, h := range hosts {
		zone := []string{fmt.Sprint("z", i)}
		var retuned sync.WaitGroup
		told := len(w.kinds)
		retuned.Go(func() { table.UpdateNames(zone, nil) })
		for done := false; !done; { // the news comes as soon as it can be taken after the zones are renamed
			if !table.mu.TryLock() {
				continue
			}
			if done = slices.Equal(table.zones, zone); done {
				if len(w.kinds) == told {
					t.Errorf("zones were renamed, and nobody was told")
				}
				h.State = balance.Draining
				table.apply(balance.ListDelta, List{Members: []Member{h}})
			}
			table.mu.Unlock()
		}
		retuned.Wait()
		if got := table.Snapshot().List.Members[slices.IndexFunc(table.Snapshot().List.Members, func(m Member) bool { return m.ID == h.ID })]; got.State != balance.Draining {
			t.Fatalf("host %s is held as %v after its drain was told", h.ID, got.State)
		}
	}
}

// Guards against numbers of a list that come round: a host that starts in the far future would be one of long ago, and warm.
func TestNumbersOutOfRange(t *testing.T) {
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
