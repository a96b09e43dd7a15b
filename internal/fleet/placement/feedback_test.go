package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRemoteObservations(t *testing.T) {
	Convey("Observations of other routers count as own ones, and keep calls away from slow endpoints", t, func() {
		p := placer(4)
		slow := p.service("llm").endpoints[1]
		for i := range 200 {
			e := p.service("llm").endpoints[i%4]
			delay := 0.05
			if e == slow {
				delay = 0.4
			}
			p.RecordRemoteFirstToken(0, &Observation{Endpoint: e.ShortID(), PrefillUnits: 2000, Units: 2000, Delay: delay})
		}
		p.RecordRemoteFirstToken(0, &Observation{Endpoint: 12345, PrefillUnits: 1, Units: 2000, Delay: 1})
		for i := range uint32(40) {
			placed := p.Place(0, call(100+i, 8000))
			So(placed.Endpoint, ShouldNotEqual, slow)
			p.RecordFirstToken(0, placed, 200*time.Millisecond)
			p.Release(placed)
		}
	})
}
