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
		So(nextFetchTimeout(minFetchTimeout, minFetchTimeout, tooLong), ShouldEqual, 2*minFetchTimeout)
		So(nextFetchTimeout(maxFetchTimeout, maxFetchTimeout, tooLong), ShouldEqual, maxFetchTimeout)
		Convey("one that was refused changes nothing", func() {
			So(nextFetchTimeout(2*minFetchTimeout, time.Millisecond, errors.New("refused")), ShouldEqual, 2*minFetchTimeout)
		})
		Convey("one that came soon leads back to the least", func() {
			So(nextFetchTimeout(maxFetchTimeout, 100*time.Millisecond, nil), ShouldEqual, minFetchTimeout)
			So(nextFetchTimeout(minFetchTimeout, 4*time.Second, nil), ShouldEqual, 8*time.Second)
		})
	})
}

// Guards against a router that acts on an old configuration because one fetch, from a router that is cut off, takes its time.
func TestFetchesBesideASlowOne(t *testing.T) {
	Convey("A fetch that takes long keeps no other from being begun a moment later, within bounds", t, func() {
		var f fetchLimiter
		So(f.begin(0), ShouldBeTrue)
		So(f.begin(fetchHedgeDelay/2), ShouldBeFalse)
		So(f.begin(fetchHedgeDelay), ShouldBeTrue)
		So(f.begin(2*fetchHedgeDelay), ShouldBeTrue)
		So(f.begin(3*fetchHedgeDelay), ShouldBeFalse)
		f.end()
		So(f.begin(3*fetchHedgeDelay), ShouldBeTrue)
	})
}
