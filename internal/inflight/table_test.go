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

// recordedAttempt is an attempt, as the oracle keeps it: for ever, and in a list.
type recordedAttempt struct {
	effect string
	Attempt
	never bool
}

// Guards against an id taken twice, an effect forgotten within its time or said to have run when it never did, at either of
// two processes that pass each other all updates: against a list of all that was done.
func TestTwoProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(100), New(100)}
		tables[0].Apply(time.Time{}, Successor, tables[1].Subscribe(Predecessor, func(n Update) { tables[0].Apply(n.SentAt, Successor, []Update{n}) }))
		tables[1].Apply(time.Time{}, Predecessor, tables[0].Subscribe(Successor, func(n Update) { tables[1].Apply(n.SentAt, Predecessor, []Update{n}) }))
		now := time.Unix(1000, 0)
		recorded, inFlightAt := []*recordedAttempt{}, map[string]int{} // which process a Txn is in flight at
		txns := 0
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				process := rapid.IntRange(0, 1).Draw(t, "process")
				id := ID{Txn: fmt.Sprint(txns), Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
					Key: rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key"), Retention: time.Hour}
				if again := rapid.IntRange(0, 3).Draw(t, "again"); again == 0 && txns > 0 {
					id.Txn = fmt.Sprint(rapid.IntRange(0, txns-1).Draw(t, "txn"))
				}
				if there, open := inFlightAt[id.Txn]; open && there == process {
					return // package stream rejects that
				}
				now = now.Add(time.Millisecond)
				first, free := tables[process].Start(now, id)
				if _, open := inFlightAt[id.Txn]; free == open {
					t.Fatalf("open %+v: free is %v", id, free)
				}
				if !free {
					return
				}
				var want Attempt
				for _, attempt := range recorded {
					if attempt.effect == id.effectKey() && !attempt.never {
						want = attempt.Attempt
						break
					}
				}
				if first != want {
					t.Fatalf("open %+v: %+v, want %+v", id, first, want)
				}
				inFlightAt[id.Txn] = process
				txns++
				for range rapid.IntRange(0, 2).Draw(t, "sends") {
					now = now.Add(time.Millisecond)
					attempt := &recordedAttempt{effect: id.effectKey(), Attempt: Attempt{balance.EndpointID(len(recorded)), now}}
					n, _ := tables[process].AttemptStarted(now, id.Txn, attempt.Endpoint)
					recorded = append(recorded, attempt)
					if rapid.Bool().Draw(t, "never") {
						tables[process].AttemptEnded(id.Txn, n, false)
						attempt.never = true
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(inFlightAt) == 0 {
					t.Skip("none is open")
				}
				txn := rapid.SampledFrom(slices.Sorted(maps.Keys(inFlightAt))).Draw(t, "ends")
				tables[inFlightAt[txn]].Finish(now, txn)
				delete(inFlightAt, txn)
			},
		})
	})
}

// Guards against what a process that died had in flight being taken for what never ran, or for in flight for ever; against
// effects kept beyond their time, and against more of them than there is capacity for.
func TestDisconnectAndExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(3)
	sent := Update{ID: ID{Txn: "a", Class: "c", Retention: time.Second}, Attempt: Attempt{Endpoint: 7, SentAt: now}}
	table.Apply(now, Predecessor, []Update{sent, {ID: ID{Txn: "b", Class: "c", Retention: time.Second}}})
	for _, txn := range []string{"a", "b"} {
		if _, free := table.Start(now, ID{Txn: txn}); free {
			t.Errorf("%s is free while it is in flight elsewhere", txn)
		}
	}
	table.Disconnect(now, Predecessor)
	if first, free := table.Start(now, sent.ID); !free || first != sent.Attempt {
		t.Errorf("of one that may have run: %+v, %v", first, free)
	}
	table.Finish(now, "a")
	if first, free := table.Start(now, ID{Txn: "b", Class: "c", Retention: time.Second}); !free || !first.SentAt.IsZero() {
		t.Errorf("of one that had not started: %+v, %v", first, free)
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
	if finished, dropped := table.Counts(); finished != 3 || dropped != 2 {
		t.Errorf("%d effects are remembered of 3 at most, %d dropped", finished, dropped)
	}
	if first, _ := table.Start(now, ID{Txn: "4", Class: "c", Retention: time.Second}); first.SentAt.IsZero() {
		t.Error("the newest was dropped")
	}
}

// Guards against a client that disconnects and retries while its first attempt is still open being taken for another.
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
