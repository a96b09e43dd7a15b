package coordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func acquireBy(holder string, callID uint64) *Operation {
	return &Operation{
		Kind: Acquire, Name: Name{Kind: KindLock, ID: "l"}, Holder: holder, Hold: 3 * time.Second, CallID: callID,
	}
}

// Guards against delayed duplicates of an acquiring call that supersede the fence of the current grant, and against the renewal of expired
// holds.
func TestLateCallsOfALock(t *testing.T) {
	Convey("A lock that was acquired by a call", t, func() {
		s := NewState(KindLock, Options{})
		execute := func(now time.Duration, op *Operation) Result { return s.Execute(now, op, &Change{}) }
		first := execute(0, acquireBy("a", 1))
		So(first, ShouldResemble, Result{Outcome: Done, Fence: 1})

		Convey("returns the same fence to a duplicate of the call", func() {
			So(execute(time.Second, acquireBy("a", 1)), ShouldResemble, first)
		})
		Convey("grants a higher fence to another call of the holder, and rejects a duplicate of the first call", func() {
			So(execute(time.Second, acquireBy("a", 2)).Fence, ShouldEqual, 2)
			So(execute(time.Second, acquireBy("a", 1)).Outcome, ShouldEqual, Held)
			So(s.lock.fence, ShouldEqual, 2)
		})
		Convey("is not acquired by a duplicate that arrives after its release", func() {
			execute(time.Second, &Operation{Kind: Release, Holder: "a", Fence: 1})
			So(execute(time.Second, acquireBy("a", 1)).Outcome, ShouldEqual, Held)
			So(execute(time.Second, acquireBy("b", 3)).Outcome, ShouldEqual, Done)
		})
		Convey("is not renewed after its hold has expired", func() {
			renewal := &Operation{Kind: Renew, Holder: "a", Fence: 1, Hold: 3 * time.Second}
			So(execute(2*time.Second, renewal).Outcome, ShouldEqual, Done)
			So(execute(9*time.Second, renewal).Outcome, ShouldEqual, Held)
			So(execute(9*time.Second, acquireBy("b", 4)).Outcome, ShouldEqual, Done)
		})
	})
}
