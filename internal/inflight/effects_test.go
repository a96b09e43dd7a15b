package inflight

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance"
)

// fact is an attempt, as the oracle keeps it: for ever, and in a list.
type recordedAttempt struct {
	effect string
	Attempt
	never bool
}

// Guards against an id taken twice, an effect forgotten within its time or said to have run when it never did, at either of
// two processes that tell each other all: against a list of all that was done.
func TestTwoProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(100), New(100)}
		tables[0].Apply(time.Time{}, Successor, tables[1].Subscribe(Predecessor, func(n Update) { tables[0].Apply(n.SentAt, Successor, []Update{n}) }))
		tables[1].Apply(time.Time{}, Predecessor, tables[0].Subscribe(Successor, func(n Update) { tables[1].Apply(n.SentAt, Predecessor, []Update{n}) }))
		now := time.Unix(1000, 0)
		facts, at := []*recordedAttempt{}, map[string]int{} // which process a Txn is under way at
		txns := 0
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				who := rapid.IntRange(0, 1).Draw(t, "process")
				id := ID{Txn: fmt.Sprint(txns), Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
					Key: rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key"), Retention: time.Hour}
				if again := rapid.IntRange(0, 3).Draw(t, "again"); again == 0 && txns > 0 {
					id.Txn = fmt.Sprint(rapid.IntRange(0, txns-1).Draw(t, "txn"))
				}
				if there, open := at[id.Txn]; open && there == who {
					return // the stream's own list has that
				}
				now = now.Add(time.Millisecond)
				first, free := tables[who].Start(now, id)
				if _, open := at[id.Txn]; free == open {
					t.Fatalf("open %+v: free is %v", id, free)
				}
				if !free {
					return
				}
				var want Attempt
				for _, f := range facts {
					if f.effect == id.effectKey() && !f.never {
						want = f.Attempt
						break
					}
				}
				if first != want {
					t.Fatalf("open %+v: %+v, want %+v", id, first, want)
				}
				at[id.Txn] = who
				txns++
				for range rapid.IntRange(0, 2).Draw(t, "sends") {
					now = now.Add(time.Millisecond)
					f := &recordedAttempt{effect: id.effectKey(), Attempt: Attempt{balance.EndpointID(len(facts)), now}}
					n, _ := tables[who].AttemptStarted(now, id.Txn, f.Endpoint)
					facts = append(facts, f)
					if rapid.Bool().Draw(t, "never") {
						tables[who].AttemptEnded(id.Txn, n, false)
						f.never = true
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(at) == 0 {
					t.Skip("none is open")
				}
				txn := rapid.SampledFrom(slices.Sorted(maps.Keys(at))).Draw(t, "ends")
				tables[at[txn]].Finish(now, txn)
				delete(at, txn)
			},
		})
	})
}

// Guards against what a process that died had under way being taken for what never ran, or for under way for ever; against
// effects kept beyond their time, and against more of them than there is room for.
func TestDisconnectAndExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(3)
	sent := Update{ID: ID{Txn: "a", Class: "c", Retention: time.Second}, Attempt: Attempt{Endpoint: 7, SentAt: now}}
	table.Apply(now, Predecessor, []Update{sent, {ID: ID{Txn: "b", Class: "c", Retention: time.Second}}})
	for _, txn := range []string{"a", "b"} {
		if _, free := table.Start(now, ID{Txn: txn}); free {
			t.Errorf("%s is free while it is under way elsewhere", txn)
		}
	}
	table.Disconnect(now, Predecessor)
	if first, free := table.Start(now, sent.ID); !free || first != sent.Attempt {
		t.Errorf("of one that may have run: %+v, %v", first, free)
	}
	table.Finish(now, "a")
	if first, free := table.Start(now, ID{Txn: "b", Class: "c", Retention: time.Second}); !free || !first.SentAt.IsZero() {
		t.Errorf("of one that had not begun: %+v, %v", first, free)
	}
	if first, _ := table.Start(now.Add(time.Second), ID{Txn: "a", Class: "c", Retention: time.Second}); !first.SentAt.IsZero() {
		t.Errorf("after its time: %+v", first)
	}
	for i := range 5 {
		id := ID{Txn: fmt.Sprint(i), Class: "c", Retention: time.Second}
		table.Start(now, id)
		table.AttemptStarted(now, id.Txn, 1)
		table.Finish(now, id.Txn)
	}
	if past, dropped := table.Counts(); past != 3 || dropped != 2 {
		t.Errorf("%d effects are kept of 3 at most, %d dropped", past, dropped)
	}
	if first, _ := table.Start(now, ID{Txn: "4", Class: "c", Retention: time.Second}); first.SentAt.IsZero() {
		t.Error("the newest was dropped")
	}
}

// Guards against a client that gives up and comes again while its first try is still out being taken for another.
func TestKeyInFlight(t *testing.T) {
	now, id := time.Unix(1000, 0), ID{Txn: "a", Class: "c", Key: "k", Retention: time.Second}
	table := New(3)
	table.Start(now, id)
	table.AttemptStarted(now, "a", 5)
	id.Txn = "b"
	if first, free := table.Start(now.Add(time.Millisecond), id); !free || first != (Attempt{5, now}) {
		t.Errorf("%+v, %v", first, free)
	}
}
