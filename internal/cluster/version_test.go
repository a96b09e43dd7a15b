package cluster

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/version"
)

// numbers are the versions that a table has told of.
type numbers []version.List

func (n *numbers) Listed(l version.List, apply func(under uint32)) {
	*n = append(*n, l)
	apply(uint32(len(*n)))
}

// unders are the numbers that the decisions have been told.
type unders struct {
	*world
	got []uint32
}

func (u *unders) Membership(_ balance.ListKind, _ []balance.Entry, under uint32) {
	u.got = append(u.got, under)
}

// Guards against a digest that is not that of what is held, whatever changes came in what order; against a number for what has
// changed nothing, and none for what has; and against hosts whose names are lost with them.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, _ := newWorld()
		u, told := &unders{world: w}, &numbers{}
		table := NewTable([]string{"z0"}, nil, w, u)
		table.Versions = told
		for range rapid.IntRange(1, 8).Draw(rt, "lists") {
			kind := rapid.SampledFrom([]balance.ListKind{balance.ListDelta, balance.ListFull, balance.ListCached}).Draw(rt, "kind")
			list := List{From: rapid.SampledFrom([]string{"known", "a:1"}).Draw(rt, "from"), Revision: rapid.Int64Range(1, 2).Draw(rt, "revision")}
			for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 4, rapid.ID).Draw(rt, "ids") {
				m := member(fmt.Sprint("h", id), "127.0.0.1:1", rapid.SampledFrom([]balance.Availability{balance.Gone, balance.Ready, balance.Draining}).Draw(rt, "state"))
				m.Cell = rapid.IntRange(0, 1).Draw(rt, "cell")
				list.Members = append(list.Members, m)
			}
			was := table.Snapshot().List
			table.Apply(kind, list)
			is := table.Snapshot().List
			now := (*told)[len(*told)-1]
			if want := (version.List{From: list.From, Revision: list.Revision, Digest: is.Digest()}); now != want {
				rt.Fatalf("told %+v, held %+v", now, want)
			}
			same := len(u.got) > 1 && was.From == is.From && was.Revision == is.Revision && was.Digest() == is.Digest()
			if got := u.got[len(u.got)-1]; same != (got == 0) || !same && got != uint32(len(*told)) {
				rt.Fatalf("under %d at the %dth of %+v, unchanged %v", got, len(*told), *told, same)
			}
			for _, m := range list.Members {
				if got := table.Name(m.Endpoint); got != m.ID {
					rt.Fatalf("%s is named %q", m.ID, got)
				}
			}
		}
	})
}

// Guards against a watch that waits on when the whole list is wanted, and against an answer from before that which counts for it.
func TestRefresh(t *testing.T) {
	for name, paced := range map[string]*Pacing{"plain": nil, "paced": {Fleet: pacing.Fleet{Instances: 1, Rate: 1000, Watch: 10 * time.Second}}} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t)
			w, table := newWorld()
			ctx, end := context.WithCancel(context.Background())
			ended, heard := make(chan struct{}), make(chan time.Time, 10)
			var log bytes.Buffer
			watcher := &Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.New(&log), Pacing: paced,
				OnUpdate: func(asked time.Time) { heard <- asked }}
			go func() {
				watcher.Run(ctx, func() {})
				close(ended)
			}()
			const whole = "/catalog/members"
			list := func(n int) string { return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`, n) }
			first := <-a.calls
			first.answer(list(1))
			<-w.lists
			<-heard
			waits := <-a.calls
			if waits.target == whole {
				t.Fatalf("it asks %s", waits.target)
			}
			wanted := time.Now()
			watcher.Refresh()
			again := <-a.calls
			if again.target != whole {
				t.Fatalf("when the whole list is wanted it asks %s", again.target)
			}
			watcher.Refresh() // and once more, while that is under way
			again.answer(list(2))
			<-w.lists
			if asked := <-heard; asked.Before(wanted) {
				t.Errorf("what was asked %v before is heard", wanted.Sub(asked))
			}
			if last := <-a.calls; last.target != whole {
				t.Errorf("then it asks %s", last.target)
			} else {
				last.answer(list(3))
			}
			if got := <-a.calls; got.target == whole {
				t.Error("it goes on asking for the whole list")
			}
			end()
			<-ended
			if strings.Contains(log.String(), "did not answer") { // its watch ran out, and was not broken off
				t.Errorf("the log says\n%s", &log)
			}
		})
	}
}

// BenchmarkDigest is what a change of one host, and a list of all, cost a table that numbers its versions and one that does not.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{60, 5000} {
		var all []Member
		for i := range hosts {
			all = append(all, Member{ID: fmt.Sprintf("front-std-%05d", i), Addr: "127.0.0.1:1", Zone: "z0", Kind: "k0", State: balance.Ready, Weight: 1})
		}
		for _, kind := range []balance.ListKind{balance.ListDelta, balance.ListFull} {
			for _, on := range []bool{false, true} {
				b.Run(fmt.Sprintf("hosts=%d/whole=%v/versions=%v", hosts, kind == balance.ListFull, on), func(b *testing.B) {
					w, _ := newWorld()
					table := NewTable([]string{"z0"}, []string{"k0"}, w, &unders{world: w})
					if on {
						table.Versions = &numbers{}
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
