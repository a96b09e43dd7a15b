package cluster

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/version"
)

// versionRecorder records the versions that a table publishes.
type versionRecorder []version.List

func (n *versionRecorder) Listed(l version.List, apply func(under uint32)) {
	*n = append(*n, l)
	apply(uint32(len(*n)))
}

// numberRecorder records the numbers that the decisions get.
type numberRecorder struct {
	*recorder
	got []uint32
}

func (u *numberRecorder) Membership(_ balance.ListKind, _ []balance.Entry, under uint32) {
	u.got = append(u.got, under)
}

// Guards against a digest that is not that of the present list, whatever changes came in what order; against a number for a list
// that has changed nothing, and none for one that has; and against hosts whose names are lost with them.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, _ := newRecorder()
		u, published := &numberRecorder{recorder: w}, &versionRecorder{}
		table := NewTable([]string{"z0"}, nil, w, u)
		table.Versions = published
		for range rapid.IntRange(1, 8).Draw(rt, "lists") {
			kind := rapid.SampledFrom([]balance.ListKind{balance.ListDelta, balance.ListFull, balance.ListCached}).Draw(rt, "kind")
			list := List{From: rapid.SampledFrom([]string{"known", "a:1"}).Draw(rt, "from"), Revision: rapid.Int64Range(1, 2).Draw(rt, "revision")}
			for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 4, rapid.ID).Draw(rt, "ids") {
				m := member(fmt.Sprint("h", id), "127.0.0.1:1", rapid.SampledFrom([]balance.Availability{balance.Removed, balance.Ready, balance.Draining}).Draw(rt, "state"))
				m.Cell = rapid.IntRange(0, 1).Draw(rt, "cell")
				list.Members = append(list.Members, m)
			}
			was := table.Snapshot().List
			table.Apply(kind, list)
			is := table.Snapshot().List
			now := (*published)[len(*published)-1]
			if want := (version.List{From: list.From, Revision: list.Revision, Digest: is.Digest()}); now != want {
				rt.Fatalf("published %+v, want %+v", now, want)
			}
			same := len(u.got) > 1 && was.From == is.From && was.Revision == is.Revision && was.Digest() == is.Digest()
			if got := u.got[len(u.got)-1]; same != (got == 0) || !same && got != uint32(len(*published)) {
				rt.Fatalf("under %d at the %dth of %+v, unchanged %v", got, len(*published), *published, same)
			}
			for _, m := range list.Members {
				if got := table.Name(m.Endpoint); got != m.ID {
					rt.Fatalf("%s is named %q", m.ID, got)
				}
			}
		}
	})
}

// Guards against a watch that goes on waiting when the complete list is requested, and against a response to an earlier call that
// counts for the request.
func TestRefresh(t *testing.T) {
	for name, paced := range map[string]*Pacing{"plain": nil, "paced": {Fleet: pacing.Fleet{Instances: 1, Rate: 1000, MinWatchWait: 10 * time.Second}}} {
		t.Run(name, func(t *testing.T) {
			a := newScriptedAgent(t)
			w, table := newRecorder()
			updates := make(chan time.Time, 10)
			var log bytes.Buffer
			watcher := newTestWatcher(a.addr, table)
			watcher.Log, watcher.Pacing = zerolog.New(&log), paced
			watcher.OnUpdate = func(sentAt time.Time) { updates <- sentAt }
			stop := startWatcher(watcher, func() {})
			list := func(n int) string { return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`, n) }
			first := <-a.calls
			first.respond(list(1))
			<-w.lists
			<-updates
			waiting := <-a.calls
			if waiting.target == fullList {
				t.Fatalf("the call is %s", waiting.target)
			}
			requested := time.Now()
			watcher.Refresh()
			again := <-a.calls
			if again.target != fullList {
				t.Fatalf("after a refresh the call is %s", again.target)
			}
			watcher.Refresh() // and again, while that call is in flight
			again.respond(list(2))
			<-w.lists
			if sentAt := <-updates; sentAt.Before(requested) {
				t.Errorf("a call that was sent %v before counts", requested.Sub(sentAt))
			}
			if last := <-a.calls; last.target != fullList {
				t.Errorf("then the call is %s", last.target)
			} else {
				last.respond(list(3))
			}
			if got := <-a.calls; got.target == fullList {
				t.Error("the complete list is fetched again")
			}
			stop()
			if strings.Contains(log.String(), "did not answer") { // the interruption counts as a failure
				t.Errorf("the log says\n%s", &log)
			}
		})
	}
}

// BenchmarkDigest measures a change of one host, and a complete list, for a table that numbers its versions and one that does not.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{60, 5000} {
		var all []Member
		for i := range hosts {
			all = append(all, Member{ID: fmt.Sprintf("front-std-%05d", i), Addr: "127.0.0.1:1", Zone: "z0", Kind: "k0", State: balance.Ready, Weight: 1})
		}
		for _, kind := range []balance.ListKind{balance.ListDelta, balance.ListFull} {
			for _, on := range []bool{false, true} {
				b.Run(fmt.Sprintf("hosts=%d/whole=%v/versions=%v", hosts, kind == balance.ListFull, on), func(b *testing.B) {
					w, _ := newRecorder()
					table := NewTable([]string{"z0"}, []string{"k0"}, w, &numberRecorder{recorder: w})
					if on {
						table.Versions = &versionRecorder{}
					}
					table.Apply(balance.ListFull, List{Members: all})
					for n := range b.N {
						list := List{Members: all}
						if kind == balance.ListDelta {
							list.Members = all[:1]
						}
						list.Members[0].Cell = n
						table.Apply(kind, list)
					}
				})
			}
		}
	}
}
