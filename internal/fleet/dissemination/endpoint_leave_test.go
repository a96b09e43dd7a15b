package dissemination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// Guards against a leave of an endpoint that the primary applies but that does not reach every connected router within drainMs.
func TestEndpointLeaveReachesAllRouters(t *testing.T) {
	const drainTimeout = 2 * time.Second
	for _, size := range []int{12, 90} {
		Convey("A leave that the primary applies reaches all routers within drainMs, with a tenth of the datagrams lost", t, func() {
			f := newFleet(size, 3)
			f.run(10 * time.Second)
			endpoint := registry.Endpoint{ID: "i-1", Service: "s", Address: "10.1.0.1:1", State: registry.Ready, Sequence: 1, Owner: address(7)}
			output, _ := f.nodes[address(7)].HandleEndpointHeartbeat(f.now, endpoint)
			f.perform(address(7), output)
			f.run(3 * time.Second)
			f.lossPercent = 10
			leaving := endpoint
			leaving.State, leaving.Sequence = registry.Draining, 2
			f.perform(address(0), f.nodes[address(0)].HandleEndpointLeave(f.now, leaving))
			f.run(drainTimeout)
			for _, a := range f.order {
				known, ok := f.nodes[a].Registry.Lookup("i-1")
				So(ok, ShouldBeTrue)
				So(known.State, ShouldEqual, registry.Draining)
			}
		})
	}
	Convey("A leave that is reported again is pushed again, because the first push may have been lost", t, func() {
		f := newFleet(3, 3)
		f.run(5 * time.Second)
		endpoint := registry.Endpoint{ID: "i-1", Service: "s", Address: "10.1.0.1:1", State: registry.Ready, Sequence: 1, Owner: address(1)}
		output, _ := f.nodes[address(1)].HandleEndpointHeartbeat(f.now, endpoint)
		f.perform(address(1), output)
		f.run(time.Second)
		endpoint.State, endpoint.Sequence = registry.Draining, 2
		So(len(f.nodes[address(0)].HandleEndpointLeave(f.now, endpoint).Send), ShouldEqual, 2)
		So(len(f.nodes[address(0)].HandleEndpointLeave(f.now, endpoint).Send), ShouldEqual, 2)
	})
}
