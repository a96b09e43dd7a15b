package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// sendTombstones transfers the ended endpoints in which two registries differ.
func sendTombstones(now time.Duration, from, to *Registry) (changed []Endpoint) {
	changed, _ = to.Merge(now, "r", from.EndedDiffering(now, to.EndedDigests(0)))
	return changed
}

func TestTombstones(t *testing.T) {
	Convey("A registry that knows nothing, beside one whose endpoint has deregistered", t, func() {
		informed, empty := New(), New()
		informed.ApplyHeartbeat(0, endpoint("a", "x:1", 4, Ready))
		informed.ApplyHeartbeat(time.Second, Endpoint{ID: "a", State: Deregistered})

		Convey("gets the tombstone, and ignores a late heartbeat by it", func() {
			So(len(sendTombstones(2*time.Second, informed, empty)), ShouldEqual, 1)
			So(sendTombstones(2*time.Second, informed, empty), ShouldBeEmpty)
			_, ok := empty.ApplyHeartbeat(3*time.Second, endpoint("a", "x:1", 5, Ready))
			So(ok, ShouldBeFalse)
			So(empty.Ready(), ShouldBeEmpty)
		})
		Convey("lets the tombstone end an endpoint that a late heartbeat has added before", func() {
			empty.ApplyHeartbeat(2*time.Second, endpoint("a", "x:1", 5, Ready))
			sendTombstones(3*time.Second, informed, empty)
			So(empty.Ready(), ShouldBeEmpty)
		})
		Convey("gets the tombstone beside an active endpoint too, from a router of a build that sends no other", func() {
			informed.ApplyHeartbeat(0, endpoint("b", "y:1", 4, Ready))
			empty.Merge(time.Second, "r", informed.EndpointsDiffering(time.Second, empty.Digests(0).Inverted()))
			known, _ := empty.Lookup("a")
			So(known.State, ShouldEqual, Deregistered)
		})
		Convey("purges the tombstone as long after the end as the other one, which doesn't renew it", func() {
			sendTombstones(50*time.Second, informed, empty)
			empty.Purge(61 * time.Second)
			So(empty.Len(), ShouldEqual, 1)
			empty.Purge(61*time.Second + 1)
			So(empty.Len(), ShouldEqual, 0)
			So(sendTombstones(61*time.Second, informed, empty), ShouldBeEmpty)
			So(empty.Len(), ShouldEqual, 0)
			informed.Purge(61*time.Second + 1)
			So(informed.Len(), ShouldEqual, 0)
		})
		Convey("adds no tombstones while it is full", func() {
			for i := range maxEntriesWithTombstones {
				empty.ApplyHeartbeat(0, endpoint(string(rune(1000+i)), string(rune(1000+i)), 1, Ready))
			}
			So(sendTombstones(2*time.Second, informed, empty), ShouldBeEmpty)
		})
	})
	Convey("A tombstone of an expired endpoint keeps the sequence, by which a heartbeat from before is ignored and a later one is not", t, func() {
		informed, empty := New(), New()
		informed.ApplyHeartbeat(0, endpoint("a", "x:1", 4, Ready))
		informed.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 7, Draining))
		informed.ExpireStale(20*time.Second, "r1", 5*time.Second, always)
		sendTombstones(21*time.Second, informed, empty)
		_, ok := empty.ApplyHeartbeat(22*time.Second, endpoint("a", "x:1", 6, Ready))
		So(ok, ShouldBeFalse)
		_, ok = empty.ApplyHeartbeat(22*time.Second, endpoint("a", "x:1", 8, Draining))
		So(ok, ShouldBeTrue)
	})
	Convey("Leaves outlast a restart: late heartbeats from before them are ignored", t, func() {
		former, restarted := New(), New()
		for _, id := range []string{"draining", "ended", "ready"} {
			former.ApplyHeartbeat(0, endpoint(id, id+":1", 4, Ready))
		}
		former.ApplyHeartbeat(time.Second, endpoint("draining", "draining:1", 6, Draining))
		former.ApplyHeartbeat(time.Second, Endpoint{ID: "ended", State: Deregistered})
		restarted.RestoreLeaves(0, former.Snapshot(2*time.Second))
		So(restarted.Len(), ShouldEqual, 2)
		for _, id := range []string{"draining", "ended"} {
			restarted.ApplyHeartbeat(3*time.Second, endpoint(id, id+":1", 5, Ready))
		}
		So(restarted.Ready(), ShouldBeEmpty)
		_, ok := restarted.ApplyHeartbeat(3*time.Second, endpoint("ready", "ready:1", 5, Ready))
		So(ok, ShouldBeTrue)
	})
}
