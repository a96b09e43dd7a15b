package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestCounter(t *testing.T) {
	Convey("A counter increases by one with each call, also in a replica", t, func() {
		increment := Operation{Kind: Increment, Name: Name{Kind: KindCounter, ID: "c"}}
		s := NewState(KindCounter, testOptions)
		So(execute(s, 0, increment), ShouldResemble, Result{Outcome: Done, Count: 1})
		So(execute(s, 0, increment), ShouldResemble, Result{Outcome: Done, Count: 2})
		So(execute(replicaOf(s, 0), 0, increment), ShouldResemble, Result{Outcome: Done, Count: 3})
		So(execute(s, 0, increment), ShouldResemble, Result{Outcome: Done, Count: 3})
	})
}

func TestDecision(t *testing.T) {
	Convey("A decision is the first proposed value for every caller, also in a replica", t, func() {
		decide := func(value string) Operation {
			return Operation{Kind: Decide, Name: Name{Kind: KindDecision, ID: "d"}, Value: value}
		}
		s := NewState(KindDecision, testOptions)
		So(execute(s, 0, decide("x")), ShouldResemble, Result{Outcome: Done, Value: "x"})
		So(execute(s, 0, decide("y")), ShouldResemble, Result{Outcome: Done, Value: "x"})
		So(execute(replicaOf(s, 0), 0, decide("y")), ShouldResemble, Result{Outcome: Done, Value: "x"})
	})
}

func TestOperationsOfOtherKinds(t *testing.T) {
	Convey("Each operation matches names of one kind, and does not change a state of another kind", t, func() {
		kindOf := map[OperationKind]Kind{
			Acquire: KindLock, Renew: KindLock, Release: KindLock, Increment: KindCounter, Put: KindGroup, Get: KindGroup, Watch: KindGroup,
			Decide: KindDecision,
		}
		for operation := range OperationKind(10) {
			for kind := range Kind(6) {
				op := Operation{Kind: operation, Name: Name{Kind: kind, ID: "n"}, Holder: "a", Key: "n", Value: "v"}
				matches := kindOf[operation] == kind && kind != 0
				So(op.MatchesNameKind(), ShouldEqual, matches)
				if !matches {
					change := &Change{}
					So(NewState(kind, testOptions).Execute(0, &op, change), ShouldResemble, Result{})
					So(change.IsEmpty(), ShouldBeTrue)
				}
			}
		}
	})
}

// drawOperation draws an operation for a name of the given kind. Holders, keys and values come from small ranges, so that operations
// collide.
func drawOperation(t *rapid.T, kind Kind, step int) Operation {
	op := Operation{Name: Name{Kind: kind, ID: "n."}}
	switch kind {
	case KindLock:
		op.Kind = rapid.SampledFrom([]OperationKind{Acquire, Renew, Release}).Draw(t, "operation")
		op.Holder = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")
		op.Fence = rapid.Uint64Range(0, 5).Draw(t, "fence")
		op.Hold = time.Duration(rapid.IntRange(1, 3000).Draw(t, "hold")) * time.Millisecond
	case KindCounter:
		op.Kind = Increment
	case KindGroup:
		op.Kind = rapid.SampledFrom([]OperationKind{Put, Put, Get, Watch}).Draw(t, "operation")
		op.Key = rapid.SampledFrom([]string{"n.a", "n.b", "n.c"}).Draw(t, "key")
		op.Value = fmt.Sprint(rapid.IntRange(max(0, step-3), step).Draw(t, "value")) // some values repeat those of recent steps
		op.Since = rapid.Uint64Range(0, 20).Draw(t, "since")
		if rapid.Bool().Draw(t, "conditional") {
			revision := rapid.Uint64Range(0, 10).Draw(t, "revision")
			op.IfRevision = &revision
		}
	case KindDecision:
		op.Kind, op.Value = Decide, fmt.Sprint(step)
	}
	return op
}

// encodeAndDecode returns the change as another machine receives it.
func encodeAndDecode(t *rapid.T, c *Change) *Change {
	encoded, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &Change{}
	if err := cbor.Unmarshal(encoded, decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// fingerprint returns the complete state as text, for comparison.
func fingerprint(s *State, now time.Duration) string {
	size, puts := 0, 0
	if s.group != nil {
		s.group.compact(now)
		size, puts = s.group.size, len(s.group.puts)
	}
	encoded, err := cbor.Marshal(s.Snapshot(now))
	return fmt.Sprintf("%x %d %d %v", encoded, size, puts, err)
}

// Guards against replicas of a name that differ after the same changes.
func TestReplicasAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{KindLock, KindCounter, KindGroup, KindDecision}).Draw(t, "kind")
		options := Options{History: 2 * time.Second, MaxGroupBytes: 1000}
		original, byChanges, bySnapshot := NewState(kind, options), NewState(kind, options), NewState(kind, options)
		snapshotAt := rapid.IntRange(0, 30).Draw(t, "snapshot at")
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			change := &Change{}
			for range rapid.IntRange(1, 3).Draw(t, "operations of a round") {
				op := drawOperation(t, kind, step)
				if result := original.Execute(now, &op, change); result.Outcome == 0 {
					t.Fatalf("%+v has no outcome", op)
				}
			}
			byChanges.Apply(now, encodeAndDecode(t, change))
			if step == snapshotAt {
				bySnapshot.Apply(now, encodeAndDecode(t, original.Snapshot(now)))
			} else {
				bySnapshot.Apply(now, encodeAndDecode(t, change))
			}
			for _, replica := range []*State{byChanges, bySnapshot} {
				if fingerprint(original, now) != fingerprint(replica, now) {
					t.Fatalf("a replica differs:\n%s\n%s", fingerprint(original, now), fingerprint(replica, now))
				}
			}
		}
	})
}

// Guards against a lock that is held by two holders at once. Each holder counts its hold from the time at which it sent the call.
func TestHoldsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(KindLock, testOptions)
		now, heldUntil, holder, fence := time.Duration(0), time.Duration(0), "", uint64(0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2_000_000).Draw(t, "pause")) * time.Microsecond
			if rapid.Bool().Draw(t, "moves") { // to another proposer, which receives the snapshot with a delay
				snapshot := s.Snapshot(now)
				now += time.Duration(rapid.IntRange(0, 500_000).Draw(t, "transit time")) * time.Microsecond
				s = NewState(KindLock, testOptions)
				s.Apply(now, snapshot)
			}
			op := drawOperation(t, KindLock, step)
			result := execute(s, now, op)
			switch {
			case op.Kind == Release && op.Holder == holder && op.Fence == fence:
				heldUntil = now
			case op.Kind == Release || result.Outcome == Held:
			case op.Holder != holder && now < heldUntil:
				t.Fatalf("%s acquired the lock while %s held it", op.Holder, holder)
			case op.Kind == Acquire && result.Fence <= fence:
				t.Fatalf("fence %d granted after fence %d", result.Fence, fence)
			default:
				heldUntil, holder, fence = max(now+op.Hold, heldUntil), op.Holder, result.Fence
			}
		}
	})
}

// drawEvents draws events that need not have the properties of recorded events, such as ascending revisions.
func drawEvents(t *rapid.T) []Event {
	var events []Event
	for range rapid.IntRange(0, 3).Draw(t, "events") {
		events = append(events, Event{
			Key: rapid.SampledFrom([]string{"", "n.a"}).Draw(t, "key"), Value: rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value"),
			Revision: rapid.Uint64Range(0, 12).Draw(t, "revision"), AgeMs: rapid.Int64().Draw(t, "age"),
		})
	}
	return events
}

// drawInvalidChange draws a change that no state records.
func drawInvalidChange(t *rapid.T) *Change {
	c := &Change{Puts: drawEvents(t)}
	if rapid.Bool().Draw(t, "lock") {
		c.Lock = &LockRecord{Fence: rapid.Uint64().Draw(t, "fence"), Holder: "a", HoldMs: rapid.Int64().Draw(t, "hold"), AgeMs: rapid.Int64().Draw(t, "age")}
	}
	if rapid.Bool().Draw(t, "counter") {
		c.Counter = &CounterRecord{Count: rapid.Uint64().Draw(t, "count")}
	}
	if rapid.Bool().Draw(t, "group") {
		c.Group = &GroupRecord{
			Revision: rapid.Uint64Range(0, 12).Draw(t, "revision"), Floor: rapid.Uint64Range(0, 12).Draw(t, "floor"), Events: drawEvents(t),
		}
		for _, e := range drawEvents(t) {
			c.Group.Cells = append(c.Group.Cells, Cell{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
	}
	return c
}

// Guards against a panic on an invalid message that no router sends.
func TestInvalidChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{0, KindLock, KindCounter, KindGroup, KindDecision, 9}).Draw(t, "kind")
		s := NewState(kind, testOptions)
		for step := range rapid.IntRange(1, 5).Draw(t, "steps") {
			now := time.Duration(step) * 15 * time.Second
			s.Apply(now, drawInvalidChange(t))
			for since := range uint64(14) {
				execute(s, now, watch(since))
			}
			execute(s, now, drawOperation(t, rapid.SampledFrom([]Kind{KindLock, KindCounter, KindGroup, KindDecision}).Draw(t, "operation on"), step))
			replicaOf(s, now).Snapshot(now)
		}
	})
}
