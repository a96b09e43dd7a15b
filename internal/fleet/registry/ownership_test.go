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

// Guards against a sound endpoint that expires at all routers because one of them, which doesn't receive its heartbeats, misses them.
func TestExpiryByOthersDoesNotEndEndpoint(t *testing.T) {
	Convey("A router lists an endpoint that another router owns", t, func() {
		registry := New()
		registry.Merge(0, "r2", []Endpoint{endpointOf("r1", 3, Ready)})
		expectReady := func(count int, report Endpoint) {
			registry.Merge(time.Second, "r2", []Endpoint{report})
			So(len(registry.Ready()), ShouldEqual, count)
		}
		Convey("a router that has received a late copy of the heartbeat lets it expire", func() { expectReady(1, endpointOf("r9", 3, Expired)) })
		Convey("the owner lets it expire", func() { expectReady(0, endpointOf("r1", 3, Expired)) })
		Convey("a later owner lets it expire", func() { expectReady(0, endpointOf("r9", 4, Expired)) })
		Convey("a router that was partitioned from the owner lets it expire", func() {
			partitioned := New()
			partitioned.Merge(0, "r9", []Endpoint{endpointOf("r1", 7, Ready)})
			expired := partitioned.ExpireStale(11*time.Second, "r9", 5*time.Second, never)
			So(len(expired), ShouldEqual, 1)
			expectReady(1, expired[0])

			Convey("and lists it again with the owner's report", func() {
				partitioned.Merge(12*time.Second, "r9", []Endpoint{endpointOf("r1", 7, Ready)})
				So(len(partitioned.Ready()), ShouldEqual, 1)
			})
		})
		Convey("an endpoint whose owner has ended expires at each router by itself", func() {
			So(len(registry.ExpireStale(11*time.Second, "r2", 5*time.Second, never)), ShouldEqual, 1)
		})
	})
}
