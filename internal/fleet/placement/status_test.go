package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestServiceStatus(t *testing.T) {
	Convey("Expected and actual delays are shown by prefilled units, and each endpoint's state", t, func() {
		p := placer(2)
		placed := p.Place(0, call(7, 8000))
		p.RecordRemoteFailures(0, placed.Endpoint.ShortID(), 50, false)
		view := p.Services(0)
		So(len(view), ShouldEqual, 1)
		for _, e := range view[0].Endpoints {
			if e.Endpoint == placed.Endpoint.ID {
				So(e.WaitMs, ShouldBeGreaterThan, 50)
				So(e.Kept, ShouldEqual, 1)
				So(e.FailShare, ShouldBeGreaterThan, 0.5)
			} else {
				So(e.WaitMs, ShouldEqual, 0)
			}
		}
		p.RecordFirstToken(0, placed, 250*time.Millisecond)
		sizes := p.Services(0)[0].FirstTokens
		So(sizes[0].Calls, ShouldEqual, 0)
		So(sizes[2], ShouldResemble, SizeStatus{UnitsBelow: 16000, Calls: 1, ExpectedMs: tenths(placed.Expected.Seconds() * 1e3), ActualMs: 250})
	})
}
