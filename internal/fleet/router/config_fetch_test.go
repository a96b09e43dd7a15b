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
	Convey("A fetch that times out gives the next one a longer time-out, within bounds", t, func() {
		timedOut := fmt.Errorf("call: %w", context.DeadlineExceeded)
		So(nextFetchTimeout(minFetchTimeout, minFetchTimeout, timedOut), ShouldEqual, 2*minFetchTimeout)
		So(nextFetchTimeout(maxFetchTimeout, maxFetchTimeout, timedOut), ShouldEqual, maxFetchTimeout)
		Convey("one that was rejected changes nothing", func() {
			So(nextFetchTimeout(2*minFetchTimeout, time.Millisecond, errors.New("refused")), ShouldEqual, 2*minFetchTimeout)
		})
		Convey("one that succeeded soon leads back to the minimum", func() {
			So(nextFetchTimeout(maxFetchTimeout, 100*time.Millisecond, nil), ShouldEqual, minFetchTimeout)
			So(nextFetchTimeout(minFetchTimeout, 4*time.Second, nil), ShouldEqual, 8*time.Second)
		})
	})
}

// Guards against a router that acts on an old configuration because one fetch, from a router that is partitioned off, takes long.
func TestConcurrentFetches(t *testing.T) {
	Convey("A fetch that takes long does not prevent another one a moment later, within bounds", t, func() {
		var f fetchLimiter
		So(f.begin(0), ShouldBeTrue)
		So(f.begin(fetchHedgeDelay/2), ShouldBeFalse)
		So(f.begin(fetchHedgeDelay), ShouldBeTrue)
		So(f.begin(2*fetchHedgeDelay), ShouldBeTrue)
		So(f.begin(3*fetchHedgeDelay), ShouldBeFalse)
		f.end(0, nil)
		So(f.begin(3*fetchHedgeDelay), ShouldBeTrue)
	})
}
