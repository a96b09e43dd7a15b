package coordination

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var groupName = Name{Kind: KindGroup, ID: "g."}

func put(key, value string) Operation {
	return Operation{Kind: Put, Name: groupName, Key: key, Value: value}
}

func putIf(key, value string, revision uint64) Operation {
	op := put(key, value)
	op.IfRevision = &revision
	return op
}

func get(key string) Operation { return Operation{Kind: Get, Name: groupName, Key: key} }

func watch(since uint64) Operation { return Operation{Kind: Watch, Name: groupName, Since: since} }

func TestGroupOfKey(t *testing.T) {
	Convey("A key belongs to the group of its beginning up to the first dot", t, func() {
		for key, group := range map[string]string{"g.a": "g.", "g.a.b": "g.", "g.": "g.", "g": "g", ".a": "."} {
			So(GroupOf(key), ShouldEqual, group)
		}
	})
}

func TestPut(t *testing.T) {
	Convey("A group", t, func() {
		s := NewState(KindGroup, testOptions)

		Convey("has one count of revisions for all its keys", func() {
			So(execute(s, 0, put("g.a", "1")), ShouldResemble, Result{Outcome: Done, Revision: 1})
			So(execute(s, 0, put("g.b", "2")), ShouldResemble, Result{Outcome: Done, Revision: 2})
			So(execute(s, 0, put("g.a", "3")), ShouldResemble, Result{Outcome: Done, Revision: 3})
			So(execute(s, 0, get("g.a")), ShouldResemble, Result{Outcome: Done, Value: "3", Revision: 3})
			So(execute(s, 0, get("g.b")), ShouldResemble, Result{Outcome: Done, Value: "2", Revision: 2})
			So(execute(s, 0, get("g.c")), ShouldResemble, Result{Outcome: Missing})
		})
		Convey("has a key put only at the revision that the put names", func() {
			So(execute(s, 0, putIf("g.a", "x", 1)), ShouldResemble, Result{Outcome: Mismatch})
			So(execute(s, 0, putIf("g.a", "1", 0)), ShouldResemble, Result{Outcome: Done, Revision: 1})
			So(execute(s, 0, putIf("g.a", "x", 0)), ShouldResemble, Result{Outcome: Mismatch, Revision: 1})
			So(execute(s, 0, put("g.b", "2")).Revision, ShouldEqual, 2)
			So(execute(s, 0, putIf("g.a", "x", 2)), ShouldResemble, Result{Outcome: Mismatch, Revision: 1})
			So(execute(s, 0, putIf("g.a", "3", 1)), ShouldResemble, Result{Outcome: Done, Revision: 3})
		})
		Convey("is not changed by a put at another revision", func() {
			execute(s, 0, put("g.a", "1"))
			change := &Change{}
			op := putIf("g.a", "x", 0)
			s.Execute(0, &op, change)
			So(change.IsEmpty(), ShouldBeTrue)
			So(execute(s, 0, get("g.a")).Value, ShouldEqual, "1")
			So(execute(s, 0, watch(1)).Outcome, ShouldEqual, Pending)
		})
	})
}

func TestRepeatedPut(t *testing.T) {
	Convey("A put that comes again gets its first revision and changes nothing", t, func() {
		s := NewState(KindGroup, testOptions)
		execute(s, 0, putIf("g.a", "1", 0))
		expectRepeated := func(s *State, now time.Duration, op Operation, revision uint64) {
			change := &Change{}
			So(s.Execute(now, &op, change), ShouldResemble, Result{Outcome: Done, Revision: revision})
			So(change.IsEmpty(), ShouldBeTrue)
		}

		Convey("while its value is the present one, however long ago it was", func() {
			execute(s, 10*testOptions.History, put("g.b", "2"))
			expectRepeated(s, 10*testOptions.History, putIf("g.a", "1", 0), 1)
		})
		Convey("after another put to the key", func() {
			execute(s, 0, put("g.a", "2"))
			expectRepeated(s, testOptions.History, putIf("g.a", "1", 0), 1)
			So(execute(s, 0, get("g.a")).Value, ShouldEqual, "2")
		})
		Convey("in a copy that was made by a snapshot", func() {
			execute(s, 0, put("g.a", "2"))
			expectRepeated(copyOf(s, time.Second), time.Second, putIf("g.a", "1", 0), 1)
		})
		Convey("in a copy that was made by the changes", func() {
			other := copyOf(s, 0)
			change := &Change{}
			op := put("g.a", "2")
			s.Execute(0, &op, change)
			other.Apply(0, change)
			expectRepeated(other, 0, putIf("g.a", "1", 0), 1)
			expectRepeated(other, 0, put("g.a", "2"), 2)
		})
		Convey("but is another put under another key", func() {
			So(execute(s, 0, put("g.b", "1")), ShouldResemble, Result{Outcome: Done, Revision: 2})
		})
	})
}

func TestWatch(t *testing.T) {
	Convey("A group with three puts", t, func() {
		s := NewState(KindGroup, testOptions)
		events := []Event{{Key: "g.a", Value: "1", Revision: 1}, {Key: "g.b", Value: "2", Revision: 2}, {Key: "g.a", Value: "3", Revision: 3}}
		for _, e := range events {
			execute(s, 0, put(e.Key, e.Value))
		}

		Convey("tells a watch every put after its revision, in rising order", func() {
			So(execute(s, 0, watch(1)), ShouldResemble, Result{Outcome: Done, Revision: 3, Events: events[1:]})
			So(execute(s, 0, watch(2)), ShouldResemble, Result{Outcome: Done, Revision: 3, Events: events[2:]})
			So(execute(copyOf(s, 0), 0, watch(1)).Events, ShouldHaveLength, 2)
		})
		Convey("has a watch wait that knows all of them", func() {
			So(execute(s, 0, watch(3)), ShouldResemble, Result{Outcome: Pending, Revision: 3})
			So(execute(s, 0, watch(9)), ShouldResemble, Result{Outcome: Pending, Revision: 3})
		})
		Convey("tells a watch without a revision the present one alone", func() {
			So(execute(s, 0, watch(0)), ShouldResemble, Result{Outcome: Done, Revision: 3})
		})
		Convey("keeps its puts for the history, and drops them after it", func() {
			execute(s, testOptions.History, put("g.c", "4"))
			So(execute(s, testOptions.History, watch(1)).Events, ShouldHaveLength, 3)
			execute(s, testOptions.History+1, put("g.c", "5"))
			So(execute(s, testOptions.History+1, watch(1)), ShouldResemble, Result{Outcome: Compacted})
			So(execute(s, testOptions.History+1, watch(2)), ShouldResemble, Result{Outcome: Compacted})
			So(execute(s, testOptions.History+1, watch(3)).Events, ShouldHaveLength, 2)
			So(execute(copyOf(s, testOptions.History+1), testOptions.History+1, watch(3)).Events, ShouldHaveLength, 2)
			So(execute(copyOf(s, testOptions.History+1), testOptions.History+1, watch(2)).Outcome, ShouldEqual, Compacted)
		})
		Convey("keeps them no shorter in a copy, which knows lower bounds of their ages", func() {
			other := copyOf(s, time.Second)
			execute(other, testOptions.History, put("g.c", "4"))
			So(execute(other, testOptions.History, watch(1)).Events, ShouldHaveLength, 3)
		})
	})
}

func TestGroupIsBounded(t *testing.T) {
	Convey("A group that is as large as it may be", t, func() {
		const puts = 5
		value := func(i int) string { return strings.Repeat(string(rune('a'+i)), 100) }
		s := NewState(KindGroup, Options{History: time.Second, MaxGroupBytes: puts * 2 * itemSize("g.0", value(0))})
		for i := range puts {
			So(execute(s, 0, put("g."+string(rune('0'+i)), value(i))).Outcome, ShouldEqual, Done)
		}

		Convey("refuses a put without effect", func() {
			change := &Change{}
			op := put("g.x", value(9))
			before := s.Snapshot(0)
			So(s.Execute(0, &op, change), ShouldResemble, Result{Outcome: Full})
			So(change.IsEmpty(), ShouldBeTrue)
			So(s.Snapshot(0), ShouldResemble, before)
			So(execute(s, 0, get("g.x")).Outcome, ShouldEqual, Missing)
		})
		Convey("answers a put that comes again", func() {
			So(execute(s, 0, put("g.0", value(0))), ShouldResemble, Result{Outcome: Done, Revision: 1})
		})
		Convey("has room again after the history", func() {
			So(execute(s, time.Second+1, put("g.0", value(9))), ShouldResemble, Result{Outcome: Done, Revision: puts + 1})
		})
	})
}
