package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// replacementSilence is how long the heartbeats of an endpoint have to stay away in these tests.
const replacementSilence = 3 * time.Second

func readyIDs(r *Registry) []string {
	var ids []string
	for _, e := range r.Ready() {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestReplacement(t *testing.T) {
	Convey("A router that receives an endpoint's heartbeats, and then one of another endpoint at the same address", t, func() {
		registry := New()
		registry.ApplyHeartbeat(0, endpoint("a", "x:1", 4, Ready))
		changed, ok := registry.ApplyHeartbeat(2*time.Second, endpoint("b", "x:1", 1, Ready))
		So(ok, ShouldBeTrue)
		So(len(changed), ShouldEqual, 1)

		Convey("has the second one ready at once, and ends the first one once its heartbeats have stayed away", func() {
			So(readyIDs(registry), ShouldResemble, []string{"a", "b"})
			So(registry.EndReplaced(replacementSilence, "r1", replacementSilence), ShouldBeEmpty)
			So(len(registry.EndReplaced(replacementSilence+1, "r1", replacementSilence)), ShouldEqual, 1)
			So(readyIDs(registry), ShouldResemble, []string{"b"})
			So(registry.TakeUnready(), ShouldResemble, []string{"a"})
			So(registry.TakeReplaced()[0].Successor, ShouldEqual, "b")
			So(registry.TakeReplaced(), ShouldBeEmpty)
			_, ok := registry.ApplyHeartbeat(4*time.Second, endpoint("a", "x:1", 9, Ready))
			So(ok, ShouldBeFalse)
			changed, _ := registry.Merge(4*time.Second, "r1", []Endpoint{endpoint("a", "x:1", 10, Ready)})
			So(changed, ShouldBeEmpty)
		})
		Convey("keeps the first one while its heartbeats continue", func() {
			for i := range time.Duration(10) {
				registry.ApplyHeartbeat((2+i)*time.Second, endpoint("a", "x:1", uint64(5+i), Ready))
				So(registry.EndReplaced((2+i)*time.Second+1, "r1", replacementSilence), ShouldBeEmpty)
			}
		})
		Convey("doesn't end the second one after a late heartbeat of the first one, which had expired", func() {
			registry.ExpireStale(2100*time.Millisecond, "r1", 2*time.Second, always)
			So(readyIDs(registry), ShouldResemble, []string{"b"})
			registry.ApplyHeartbeat(3*time.Second, endpoint("a", "x:1", 5, Ready))
			So(len(registry.EndReplaced(7*time.Second, "r1", replacementSilence)), ShouldEqual, 1)
			So(readyIDs(registry), ShouldResemble, []string{"b"})
		})
		Convey("doesn't end the first one after the second one has ended", func() {
			registry.ApplyHeartbeat(2*time.Second, Endpoint{ID: "b", State: Deregistered})
			So(registry.EndReplaced(7*time.Second, "r1", replacementSilence), ShouldBeEmpty)
			So(readyIDs(registry), ShouldResemble, []string{"a"})
		})
		Convey("ends the first one in favour of a third one, after the second one has ended", func() {
			registry.ApplyHeartbeat(2*time.Second, endpoint("c", "x:1", 1, Ready))
			registry.ApplyHeartbeat(2*time.Second, Endpoint{ID: "b", State: Deregistered})
			So(registry.EndReplaced(4*time.Second, "r1", replacementSilence)[0].ID, ShouldEqual, "a")
			So(registry.TakeReplaced()[0].Successor, ShouldEqual, "c")
		})
	})
	Convey("A router that doesn't receive an endpoint's heartbeats never decides that another one has replaced it", t, func() {
		registry := New()
		registry.Merge(0, "r2", []Endpoint{endpoint("b", "x:1", 3, Ready)})
		late := endpoint("a", "x:1", 8, Ready)
		late.Owner = "r2"
		_, ok := registry.ApplyHeartbeat(time.Second, late)
		So(ok, ShouldBeTrue)
		So(registry.EndReplaced(9*time.Second, "r2", replacementSilence), ShouldBeEmpty)
		So(readyIDs(registry), ShouldResemble, []string{"a", "b"})
	})
	Convey("A router that has restarted doesn't decide by heartbeats that its former process received", t, func() {
		registry := New()
		registry.Merge(0, "r1", []Endpoint{endpoint("b", "x:1", 3, Ready)})
		registry.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 8, Ready))
		So(registry.EndReplaced(4*time.Second+1, "r1", replacementSilence), ShouldBeEmpty)
	})
}
