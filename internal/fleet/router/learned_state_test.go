package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/placement"
)

func TestLearnedState(t *testing.T) {
	Convey("An answer of a router that has just started is none", t, func() {
		var l learnedStateExchange
		l.receive(time.Second, &placement.LearnedState{Models: []placement.LatencyModel{{Service: "s"}}})
		came, _ := l.latest()
		So(came, ShouldBeNil)
		l.receive(2*time.Second, &placement.LearnedState{Prefixes: []placement.CachedPrefix{{Endpoint: 1, Prefix: 2}}})
		came, at := l.latest()
		So(came, ShouldNotBeNil)
		So(at, ShouldEqual, 2*time.Second)
	})
	Convey("A router of the core is asked, of the same zone if there is one", t, func() {
		So(pickLearnedSource(nil, "a"), ShouldEqual, "")
		live := fleet(20, 8)
		for range 20 {
			So([]string{"10.0.0.1:1", "10.0.0.5:1"}, ShouldContain, pickLearnedSource(live, "b"))
		}
		So(pickLearnedSource([]membership.Member{{Address: "x"}}, "b"), ShouldEqual, "x")
	})
}
