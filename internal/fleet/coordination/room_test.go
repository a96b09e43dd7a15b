package coordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a state that grows beyond its machine, and against a repetition of a put that took effect being reported as not executed.
func TestPutWithoutRoom(t *testing.T) {
	Convey("While the acceptors have no room", t, func() {
		hasRoom := true
		s := NewState(KindGroup, Options{History: time.Minute, MaxGroupBytes: 1 << 20, HasRoom: func() bool { return hasRoom }})
		So(execute(s, 0, put("g.a", "1")), ShouldResemble, Result{Outcome: Done, Revision: 1})
		hasRoom = false

		Convey("a put is not executed", func() {
			So(execute(s, 0, put("g.a", "2")), ShouldResemble, Result{Outcome: Full})
			So(execute(s, 0, get("g.a")), ShouldResemble, Result{Outcome: Done, Value: "1", Revision: 1})
		})
		Convey("a put that took effect before gets its revision", func() {
			So(execute(s, 0, put("g.a", "1")), ShouldResemble, Result{Outcome: Done, Revision: 1})
		})
		Convey("a put is executed again once there is room", func() {
			hasRoom = true
			So(execute(s, 0, put("g.a", "2")), ShouldResemble, Result{Outcome: Done, Revision: 2})
		})
	})
}

func TestCompactedGroup(t *testing.T) {
	Convey("A group that gets no further puts drops its events after their time, and keeps its cells", t, func() {
		s := NewState(KindGroup, Options{History: time.Minute, MaxGroupBytes: 1 << 20})
		execute(s, 0, put("g.a", "1"))
		execute(s, 0, put("g.a", "2"))
		before := s.Size()
		s.Compact(time.Minute)
		So(s.Size(), ShouldEqual, before)
		s.Compact(time.Minute + 1)
		So(s.Size(), ShouldEqual, itemSize("g.a", "2"))
		So(execute(s, time.Minute+1, get("g.a")), ShouldResemble, Result{Outcome: Done, Value: "2", Revision: 2})
		So(execute(s, time.Minute+1, watch(1)), ShouldResemble, Result{Outcome: Compacted})
	})
}
