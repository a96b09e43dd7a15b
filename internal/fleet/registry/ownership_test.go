package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func endpointOf(owner string, sequence uint64, state State) Endpoint {
	e := endpoint("a", "x:1", sequence, state)
	e.Owner = owner
	return e
}

// Guards against a router that takes over an endpoint by a heartbeat that has come late or twice, and then lets it expire for all.
func TestLateHeartbeatDoesNotTakeOver(t *testing.T) {
	Convey("A heartbeat that another router has already received is ignored", t, func() {
		registry := New()
		registry.Merge(0, "r2", []Endpoint{endpointOf("r1", 3, Ready)})
		changed, ok := registry.ApplyHeartbeat(time.Second, endpointOf("r2", 3, Ready))
		So(ok, ShouldBeFalse)
		So(changed, ShouldBeEmpty)
		known, _ := registry.Lookup("a")
		So(known.Owner, ShouldEqual, "r1")
	})
	Convey("The same sequence with a later state, and sequences that don't count, are not ignored", t, func() {
		registry := New()
		registry.ApplyHeartbeat(0, endpointOf("r1", 0, Ready))
		_, ok := registry.ApplyHeartbeat(time.Second, endpointOf("r1", 0, Ready))
		So(ok, ShouldBeTrue)
		registry.ApplyHeartbeat(time.Second, endpointOf("r1", 3, Ready))
		_, ok = registry.ApplyHeartbeat(time.Second, endpointOf("r1", 3, Draining))
		So(ok, ShouldBeTrue)
	})
	Convey("The owner asserts its ownership when another router reports an older heartbeat as its own", t, func() {
		registry := New()
		registry.ApplyHeartbeat(0, endpointOf("r1", 6, Ready))
		changed, asserted := registry.Merge(time.Second, "r1", []Endpoint{endpointOf("r2", 5, Ready)})
		So(changed, ShouldBeEmpty)
		So(asserted, ShouldResemble, []Endpoint{endpointOf("r1", 6, Ready)})
		_, asserted = registry.Merge(time.Second, "r1", []Endpoint{endpointOf("r1", 5, Ready)})
		So(asserted, ShouldBeEmpty)
	})
}
