package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestServiceStatus(t *testing.T) {
	Convey("The status shows expected and actual delays by prefilled units, and the state of each endpoint", t, func() {
		p := placer(2)
		placed := p.Place(0, call(7, 8000))
		p.RecordRemoteFailures(0, placed.Endpoint.ShortID(), 50, false)
		status := p.Services(0)
		So(len(status), ShouldEqual, 1)
		for _, e := range status[0].Endpoints {
			if e.Endpoint == placed.Endpoint.ID {
				So(e.WaitMs, ShouldBeGreaterThan, 50)
				So(e.CachedPrefixes, ShouldEqual, 1)
				So(e.FailureShare, ShouldBeGreaterThan, 0.5)
			} else {
				So(e.WaitMs, ShouldEqual, 0)
			}
		}
		p.RecordFirstToken(0, placed, 250*time.Millisecond)
		sizes := p.Services(0)[0].Accuracy
		So(sizes[0].Calls, ShouldEqual, 0)
		So(sizes[2], ShouldResemble, AccuracyStatus{UnitsBelow: 16000, Calls: 1, ExpectedMs: tenths(placed.Expected.Seconds() * 1e3), ActualMs: 250})
	})
}
