package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/settings"
)

func TestRequiredCoreSize(t *testing.T) {
	Convey("A core needs one machine more than twice its largest tolerance", t, func() {
		for _, c := range []struct {
			tolerance settings.Tolerance
			required  int
		}{
			{settings.Tolerance{}, 1}, {settings.Tolerance{Machines: 1}, 3}, {settings.Tolerance{Machines: 1, Zones: 2}, 5},
			{settings.Tolerance{Regions: 1}, 3},
		} {
			So(requiredCoreSize(c.tolerance), ShouldEqual, c.required)
		}
	})
}
