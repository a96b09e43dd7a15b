package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/placement"
)

func TestLearnedStateExchange(t *testing.T) {
	Convey("The reply of a router that has just started is ignored", t, func() {
		var l learnedStateExchange
		l.receive(time.Second, &placement.LearnedState{Models: []placement.LatencyModel{{Service: "s"}}})
		received, _ := l.latest()
		So(received, ShouldBeNil)
		l.receive(2*time.Second, &placement.LearnedState{Prefixes: []placement.CachedPrefix{{Endpoint: 1, Prefix: 2}}})
		received, at := l.latest()
		So(received, ShouldNotBeNil)
		So(at, ShouldEqual, 2*time.Second)
	})
	Convey("A core router is chosen, in the same zone if there is one, and any router if there is no core router", t, func() {
		So(chooseLearnedSource(nil, "a"), ShouldEqual, "")
		live := fleet(20, 8)
		for range 20 {
			So([]string{"10.0.0.1:1", "10.0.0.5:1"}, ShouldContain, chooseLearnedSource(live, "b"))
		}
		So(chooseLearnedSource([]membership.Member{{Address: "x"}}, "b"), ShouldEqual, "x")
	})
}
