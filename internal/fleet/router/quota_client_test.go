package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRequestTimeout(t *testing.T) {
	Convey("The time-out of a request is a multiple of the mean response time, with a lower bound", t, func() {
		c := &quotaClient{}
		So(c.requestTimeout(), ShouldEqual, initialRequestTimeout)
		for range 50 {
			c.observeResponseTime(time.Millisecond)
		}
		So(c.requestTimeout(), ShouldEqual, minRequestTimeout)
		for range 50 {
			c.observeResponseTime(45 * time.Millisecond) // another region
		}
		So(c.requestTimeout(), ShouldBeGreaterThan, 100*time.Millisecond)
	})
}
