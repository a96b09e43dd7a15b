package coordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func acquireBy(holder string, call uint64) *Operation {
	return &Operation{
		Kind: Acquire, Name: Name{Kind: KindLock, ID: "l"}, Holder: holder, Hold: 3 * time.Second, CallID: call,
	}
}

// Guards against copies of one call that take the lock from its own holder, and against holds that are revived.
func TestLateCallsOfALock(t *testing.T) {
	Convey("A lock that a call has acquired", t, func() {
		s := NewState(KindLock, Options{})
		execute := func(now time.Duration, op *Operation) Result { return s.Execute(now, op, &Change{}) }
		first := execute(0, acquireBy("a", 1))
		So(first, ShouldResemble, Result{Outcome: Done, Fence: 1})

		Convey("gives a copy of the call the same fence", func() {
			So(execute(time.Second, acquireBy("a", 1)), ShouldResemble, first)
		})
		Convey("gives another call of the holder a higher fence, and a copy of the first nothing", func() {
			So(execute(time.Second, acquireBy("a", 2)).Fence, ShouldEqual, 2)
			So(execute(time.Second, acquireBy("a", 1)).Outcome, ShouldEqual, Held)
			So(s.lock.fence, ShouldEqual, 2)
		})
		Convey("is not acquired again by a copy that comes after its release", func() {
			execute(time.Second, &Operation{Kind: Release, Holder: "a", Fence: 1})
			So(execute(time.Second, acquireBy("a", 1)).Outcome, ShouldEqual, Held)
			So(execute(time.Second, acquireBy("b", 3)).Outcome, ShouldEqual, Done)
		})
		Convey("is not renewed once its time has run out", func() {
			renewal := &Operation{Kind: Renew, Holder: "a", Fence: 1, Hold: 3 * time.Second}
			So(execute(2*time.Second, renewal).Outcome, ShouldEqual, Done)
			So(execute(9*time.Second, renewal).Outcome, ShouldEqual, Held)
			So(execute(9*time.Second, acquireBy("b", 4)).Outcome, ShouldEqual, Done)
		})
	})
}
