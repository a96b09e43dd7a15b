package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowness(t *testing.T) {
	Convey("A single slow call has little effect, many have a large one, and the factor decays", t, func() {
		var s slowness
		So(s.factor(0), ShouldEqual, 1)
		s.observe(0, 6)
		So(s.factor(0), ShouldBeLessThan, 2)
		for range 30 {
			s.observe(0, 6)
		}
		So(s.factor(0), ShouldBeGreaterThan, 2.5)
		So(s.factor(time.Minute), ShouldBeLessThan, 1.1)
		s.observe(time.Minute, 1e12)
		s.observe(time.Minute, 0)
		So(s.factor(time.Minute), ShouldBeBetween, 0.9, 1.1)
	})
}
