package control

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against watches that leave no connection for other calls.
func TestWatchesBeyondTheLimitEndTheLongestWaiting(t *testing.T) {
	Convey("One more watch ends the one that has waited for longest, and one that is over makes room", t, func() {
		limit := newWatchLimit(2)
		first, endFirst := limit.begin(context.Background())
		second, endSecond := limit.begin(context.Background())
		third, endThird := limit.begin(context.Background())
		So(first.Err(), ShouldNotBeNil)
		So(second.Err(), ShouldBeNil)
		endSecond()
		_, endFourth := limit.begin(context.Background())
		So(third.Err(), ShouldBeNil)
		for _, end := range []func(){endFirst, endThird, endFourth} {
			end()
		}
		So(limit.waiting.Len(), ShouldEqual, 0)
	})
}
