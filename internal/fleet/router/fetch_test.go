package router

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNextFetchTime(t *testing.T) {
	Convey("A fetch that takes too long gives the next one more time, within bounds", t, func() {
		tooLong := fmt.Errorf("call: %w", context.DeadlineExceeded)
		So(nextFetchTime(fetchLeast, fetchLeast, tooLong), ShouldEqual, 2*fetchLeast)
		So(nextFetchTime(fetchMost, fetchMost, tooLong), ShouldEqual, fetchMost)
		Convey("one that was refused changes nothing", func() {
			So(nextFetchTime(2*fetchLeast, time.Millisecond, errors.New("refused")), ShouldEqual, 2*fetchLeast)
		})
		Convey("one that came soon leads back to the least", func() {
			So(nextFetchTime(fetchMost, 100*time.Millisecond, nil), ShouldEqual, fetchLeast)
			So(nextFetchTime(fetchLeast, 4*time.Second, nil), ShouldEqual, 8*time.Second)
		})
	})
}

// Guards against a router that acts on an old configuration because one fetch, from a router that is cut off, takes its time.
func TestFetchesBesideASlowOne(t *testing.T) {
	Convey("A fetch that takes long keeps no other from being begun a moment later, within bounds", t, func() {
		var f fetches
		So(f.begin(0), ShouldBeTrue)
		So(f.begin(fetchAgain/2), ShouldBeFalse)
		So(f.begin(fetchAgain), ShouldBeTrue)
		So(f.begin(2*fetchAgain), ShouldBeTrue)
		So(f.begin(3*fetchAgain), ShouldBeFalse)
		f.end()
		So(f.begin(3*fetchAgain), ShouldBeTrue)
	})
}
