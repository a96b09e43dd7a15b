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
