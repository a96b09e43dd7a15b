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
	Convey("A key belongs to the group of its prefix up to and including the first dot", t, func() {
		for key, group := range map[string]string{"g.a": "g.", "g.a.b": "g.", "g.": "g.", "g": "g", ".a": "."} {
			So(GroupOf(key), ShouldEqual, group)
		}
	})
}

func TestPut(t *testing.T) {
	Convey("A group", t, func() {
		s := NewState(KindGroup, testOptions)

		Convey("has one sequence of revisions for all its keys", func() {
			So(execute(s, 0, put("g.a", "1")), ShouldResemble, Result{Outcome: Done, Revision: 1})
			So(execute(s, 0, put("g.b", "2")), ShouldResemble, Result{Outcome: Done, Revision: 2})
			So(execute(s, 0, put("g.a", "3")), ShouldResemble, Result{Outcome: Done, Revision: 3})
			So(execute(s, 0, get("g.a")), ShouldResemble, Result{Outcome: Done, Value: "3", Revision: 3})
			So(execute(s, 0, get("g.b")), ShouldResemble, Result{Outcome: Done, Value: "2", Revision: 2})
			So(execute(s, 0, get("g.c")), ShouldResemble, Result{Outcome: Missing})
		})
		Convey("accepts a conditional put only at the current revision of the key", func() {
			So(execute(s, 0, putIf("g.a", "x", 1)), ShouldResemble, Result{Outcome: Mismatch})
			So(execute(s, 0, putIf("g.a", "1", 0)), ShouldResemble, Result{Outcome: Done, Revision: 1})
			So(execute(s, 0, putIf("g.a", "x", 0)), ShouldResemble, Result{Outcome: Mismatch, Revision: 1})
			So(execute(s, 0, put("g.b", "2")).Revision, ShouldEqual, 2)
			So(execute(s, 0, putIf("g.a", "x", 2)), ShouldResemble, Result{Outcome: Mismatch, Revision: 1})
			So(execute(s, 0, putIf("g.a", "3", 1)), ShouldResemble, Result{Outcome: Done, Revision: 3})
		})
		Convey("is not changed by a conditional put at another revision", func() {
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
	Convey("A repeated put returns its first revision and changes nothing", t, func() {
		s := NewState(KindGroup, testOptions)
		execute(s, 0, putIf("g.a", "1", 0))
		expectRepeated := func(s *State, now time.Duration, op Operation, revision uint64) {
			change := &Change{}
			So(s.Execute(now, &op, change), ShouldResemble, Result{Outcome: Done, Revision: revision})
			So(change.IsEmpty(), ShouldBeTrue)
		}

		Convey("while its value is the current one, regardless of its age", func() {
			execute(s, 10*testOptions.History, put("g.b", "2"))
			expectRepeated(s, 10*testOptions.History, putIf("g.a", "1", 0), 1)
		})
		Convey("after another put to the key", func() {
			execute(s, 0, put("g.a", "2"))
			expectRepeated(s, testOptions.History, putIf("g.a", "1", 0), 1)
			So(execute(s, 0, get("g.a")).Value, ShouldEqual, "2")
		})
		Convey("in a replica that was restored from a snapshot", func() {
			execute(s, 0, put("g.a", "2"))
			expectRepeated(replicaOf(s, time.Second), time.Second, putIf("g.a", "1", 0), 1)
		})
		Convey("in a replica to which the changes were applied", func() {
			replica := replicaOf(s, 0)
			change := &Change{}
			op := put("g.a", "2")
			s.Execute(0, &op, change)
			replica.Apply(0, change)
			expectRepeated(replica, 0, putIf("g.a", "1", 0), 1)
			expectRepeated(replica, 0, put("g.a", "2"), 2)
		})
		Convey("but the same value under another key is a new put", func() {
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

		Convey("returns to a watch every put after its revision, in ascending order", func() {
			So(execute(s, 0, watch(1)), ShouldResemble, Result{Outcome: Done, Revision: 3, Events: events[1:]})
			So(execute(s, 0, watch(2)), ShouldResemble, Result{Outcome: Done, Revision: 3, Events: events[2:]})
			So(execute(replicaOf(s, 0), 0, watch(1)).Events, ShouldHaveLength, 2)
		})
		Convey("answers Pending to a watch that starts at or after the current revision", func() {
			So(execute(s, 0, watch(3)), ShouldResemble, Result{Outcome: Pending, Revision: 3})
			So(execute(s, 0, watch(9)), ShouldResemble, Result{Outcome: Pending, Revision: 3})
		})
		Convey("returns only the current revision to a watch without a revision", func() {
			So(execute(s, 0, watch(0)), ShouldResemble, Result{Outcome: Done, Revision: 3})
		})
		Convey("keeps its events for Options.History, and then drops them", func() {
			execute(s, testOptions.History, put("g.c", "4"))
			So(execute(s, testOptions.History, watch(1)).Events, ShouldHaveLength, 3)
			execute(s, testOptions.History+1, put("g.c", "5"))
			So(execute(s, testOptions.History+1, watch(1)), ShouldResemble, Result{Outcome: Compacted})
			So(execute(s, testOptions.History+1, watch(2)), ShouldResemble, Result{Outcome: Compacted})
			So(execute(s, testOptions.History+1, watch(3)).Events, ShouldHaveLength, 2)
			So(execute(replicaOf(s, testOptions.History+1), testOptions.History+1, watch(3)).Events, ShouldHaveLength, 2)
			So(execute(replicaOf(s, testOptions.History+1), testOptions.History+1, watch(2)).Outcome, ShouldEqual, Compacted)
		})
		Convey("keeps its events at least as long in a replica, where their ages are lower bounds", func() {
			replica := replicaOf(s, time.Second)
			execute(replica, testOptions.History, put("g.c", "4"))
			So(execute(replica, testOptions.History, watch(1)).Events, ShouldHaveLength, 3)
		})
	})
}

func TestGroupIsBounded(t *testing.T) {
	Convey("A group of the maximum size", t, func() {
		const puts = 5
		value := func(i int) string { return strings.Repeat(string(rune('a'+i)), 100) }
		s := NewState(KindGroup, Options{History: time.Second, MaxGroupBytes: puts * 2 * itemSize("g.0", value(0))})
		for i := range puts {
			So(execute(s, 0, put("g."+string(rune('0'+i)), value(i))).Outcome, ShouldEqual, Done)
		}

		Convey("rejects a put and stays unchanged", func() {
			change := &Change{}
			op := put("g.x", value(9))
			before := s.Snapshot(0)
			So(s.Execute(0, &op, change), ShouldResemble, Result{Outcome: Full})
			So(change.IsEmpty(), ShouldBeTrue)
			So(s.Snapshot(0), ShouldResemble, before)
			So(execute(s, 0, get("g.x")).Outcome, ShouldEqual, Missing)
		})
		Convey("answers a repeated put", func() {
			So(execute(s, 0, put("g.0", value(0))), ShouldResemble, Result{Outcome: Done, Revision: 1})
		})
		Convey("accepts a put again when its events are older than Options.History", func() {
			So(execute(s, time.Second+1, put("g.0", value(9))), ShouldResemble, Result{Outcome: Done, Revision: puts + 1})
		})
	})
}
