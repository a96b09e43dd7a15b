package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func endpoint(id, at string, sequence uint64, state State) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: at, Capacity: 8, State: state, Sequence: sequence, Owner: "r1"}
}

func never(string) bool  { return false }
func always(string) bool { return true }

func TestRegistry(t *testing.T) {
	Convey("A registry with one endpoint", t, func() {
		registry := New()
		changed, ok := registry.ApplyHeartbeat(0, endpoint("a", "x:1", 4, Ready))
		So(ok, ShouldBeTrue)
		So(len(changed), ShouldEqual, 1)
		version := registry.Version()

		Convey("does not forward a heartbeat without changes", func() {
			changed, ok := registry.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 5, Ready))
			So(ok, ShouldBeTrue)
			So(changed, ShouldBeEmpty)
			So(registry.Version(), ShouldEqual, version)
		})
		Convey("ignores an older heartbeat", func() {
			_, ok := registry.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 3, Draining))
			So(ok, ShouldBeFalse)
			So(len(registry.Ready()), ShouldEqual, 1)
		})
		Convey("returns a draining endpoint as unready, and keeps it draining", func() {
			So(registry.TakeUnready(), ShouldBeEmpty)
			registry.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 5, Draining))
			So(registry.Ready(), ShouldBeEmpty)
			So(registry.TakeUnready(), ShouldResemble, []string{"a"})
			So(registry.TakeUnready(), ShouldBeEmpty)
			registry.ApplyHeartbeat(2*time.Second, endpoint("a", "x:1", 6, Ready))
			So(registry.Ready(), ShouldBeEmpty)
		})
		Convey("ignores reports of a deregistered endpoint", func() {
			registry.ApplyHeartbeat(time.Second, Endpoint{ID: "a", State: Deregistered})
			changed, _ := registry.Merge(time.Second, "r1", []Endpoint{endpoint("a", "x:1", 99, Ready)})
			So(changed, ShouldBeEmpty)
			So(registry.Ready(), ShouldBeEmpty)
		})
		Convey("expires an endpoint of its own router after the time-out, and makes it ready again with its next heartbeat", func() {
			So(registry.ExpireStale(4*time.Second, "r1", 5*time.Second, always), ShouldBeEmpty)
			So(len(registry.ExpireStale(6*time.Second, "r1", 5*time.Second, always)), ShouldEqual, 1)
			So(registry.Ready(), ShouldBeEmpty)
			registry.ApplyHeartbeat(7*time.Second, endpoint("a", "x:1", 5, Ready))
			So(len(registry.Ready()), ShouldEqual, 1)
		})
		Convey("keeps an endpoint while its owner receives heartbeats, and otherwise until twice the time-out", func() {
			So(registry.ExpireStale(9*time.Second, "r2", 5*time.Second, always), ShouldBeEmpty)
			So(registry.ExpireStale(9*time.Second, "r2", 5*time.Second, never), ShouldBeEmpty)
			So(len(registry.ExpireStale(11*time.Second, "r2", 5*time.Second, never)), ShouldEqual, 1)
		})
	})
	Convey("Restored endpoints are used for a short time, and any report replaces them", t, func() {
		registry := New()
		registry.Restore(0, []Endpoint{endpoint("a", "x:1", 50, Ready), endpoint("b", "y:1", 50, Draining)})
		So(len(registry.Ready()), ShouldEqual, 1)
		registry.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 1, Ready))
		So(registry.ExpireStale(2*time.Second, "r1", 5*time.Second, always), ShouldBeEmpty)
		registry.Restore(2*time.Second, []Endpoint{endpoint("c", "z:1", 50, Ready)})
		So(len(registry.ExpireStale(4*time.Second, "r1", 5*time.Second, always)), ShouldEqual, 1)
		So(len(registry.Ready()), ShouldEqual, 1)
	})
}

// Guards against two routers whose registries still differ after they have exchanged their differences, for any order in which
// heartbeats reached them.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		a, b := New(), New()
		for i := range 60 {
			report := endpoint(string(rune('a'+r.IntN(5))), string(rune('p'+r.IntN(4)))+":1", uint64(i), State(1+r.IntN(2)))
			if r.IntN(8) == 0 {
				report.State = Deregistered
			}
			receiver, owner := a, "ra"
			if r.IntN(2) == 0 {
				receiver, owner = b, "rb"
			}
			report.Owner = owner
			receiver.ApplyHeartbeat(time.Duration(i), report)
		}
		for range 3 {
			b.Merge(time.Second, "rb", a.EndpointsDiffering(time.Second, b.Digests(0)))
			a.Merge(time.Second, "ra", b.EndpointsDiffering(time.Second, a.Digests(0)))
		}
		if a.Digests(0) != b.Digests(0) {
			rt.Fatalf("registries differ after the exchange: %v and %v", a.Ready(), b.Ready())
		}
		if len(a.EndpointsDiffering(time.Second, b.Digests(0))) != 0 {
			rt.Fatal("differing endpoints are found although the digests are equal")
		}
	})
}

func TestDigestsOfManyEndpoints(t *testing.T) {
	a, b := New(), New()
	for i := range 2000 {
		a.ApplyHeartbeat(0, endpoint(fmt.Sprint("e", i), fmt.Sprint("x:", i), 1, Ready))
	}
	Convey("Successive rounds compare all partitions of many endpoints", t, func() {
		transferred := 0
		for round := range uint64(64) {
			differing := a.EndpointsDiffering(0, a.Digests(round))
			So(differing, ShouldBeEmpty)
			digest := a.Digests(round)
			theirs := b.digests(digest.Partition, digest.Partitions, false)
			found := a.EndpointsDiffering(0, theirs)
			transferred += len(found)
			b.Merge(0, "rb", found)
		}
		So(transferred, ShouldEqual, 2000)
		So(len(b.Ready()), ShouldEqual, 2000)
	})
	Convey("A single difference transfers few other endpoints", t, func() {
		a.ApplyHeartbeat(1, endpoint("e77", "x:77", 2, Draining))
		transferred := 0
		for round := range uint64(16) {
			transferred += len(a.EndpointsDiffering(0, b.Digests(round)))
		}
		So(transferred, ShouldBeBetween, 0, 40)
	})
	Convey("Digests with an impossible partition are accepted", t, func() {
		for _, d := range []Digests{{}, {Partition: 9, Partitions: 3}, {Partition: 255, Partitions: 255}} {
			So(len(a.EndpointsDiffering(0, d)), ShouldBeLessThanOrEqualTo, 2000)
		}
	})
}

func TestAssertionOfOwnership(t *testing.T) {
	Convey("A router asserts that it receives an endpoint's heartbeats, at most once a second, if others report the endpoint expired", t, func() {
		registry := New()
		owned := endpoint("a", "x:1", 9, Ready)
		owned.Owner = "r1"
		registry.ApplyHeartbeat(0, owned)
		stale := endpoint("a", "x:1", 5, Expired)
		asserts := func(now time.Duration, self string) []Endpoint {
			changed, asserted := registry.Merge(now, self, []Endpoint{stale})
			So(changed, ShouldBeEmpty)
			return asserted
		}
		So(asserts(time.Second, "r1"), ShouldResemble, []Endpoint{owned})
		So(asserts(time.Second, "r1"), ShouldBeEmpty)
		So(asserts(3*time.Second, "r1"), ShouldResemble, []Endpoint{owned})
		So(asserts(6*time.Second, "r2"), ShouldBeEmpty)
	})
}
