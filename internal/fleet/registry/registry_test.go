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
		table := New()
		news, ok := table.ApplyHeartbeat(0, endpoint("a", "x:1", 4, Ready))
		So(ok, ShouldBeTrue)
		So(len(news), ShouldEqual, 1)
		version := table.Version()

		Convey("passes a heartbeat that says nothing new on to nobody", func() {
			news, ok := table.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 5, Ready))
			So(ok, ShouldBeTrue)
			So(news, ShouldBeEmpty)
			So(table.Version(), ShouldEqual, version)
		})
		Convey("ignores an older heartbeat", func() {
			_, ok := table.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 3, Draining))
			So(ok, ShouldBeFalse)
			So(len(table.Ready()), ShouldEqual, 1)
		})
		Convey("sends nothing more to one that drains, and one that drains stays so", func() {
			So(table.TakeEnded(), ShouldBeEmpty)
			table.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 5, Draining))
			So(table.Ready(), ShouldBeEmpty)
			So(table.TakeEnded(), ShouldResemble, []string{"a"})
			So(table.TakeEnded(), ShouldBeEmpty)
			table.ApplyHeartbeat(2*time.Second, endpoint("a", "x:1", 6, Ready))
			So(table.Ready(), ShouldBeEmpty)
		})
		Convey("knows that an endpoint has ended whose address another one has", func() {
			news, _ := table.ApplyHeartbeat(time.Second, endpoint("b", "x:1", 1, Ready))
			So(len(news), ShouldEqual, 2)
			So(table.Ready()[0].ID, ShouldEqual, "b")
			_, ok := table.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 9, Ready))
			So(ok, ShouldBeFalse)
		})
		Convey("never brings one back that said that it ends", func() {
			table.ApplyHeartbeat(time.Second, Endpoint{ID: "a", State: Deregistered})
			news, _ := table.Merge(time.Second, "r1", []Endpoint{endpoint("a", "x:1", 99, Ready)})
			So(news, ShouldBeEmpty)
			So(table.Ready(), ShouldBeEmpty)
		})
		Convey("lets its own endpoint lapse after silence, and takes it again when it speaks", func() {
			So(table.ExpireSilent(4*time.Second, "r1", 5*time.Second, always), ShouldBeEmpty)
			So(len(table.ExpireSilent(6*time.Second, "r1", 5*time.Second, always)), ShouldEqual, 1)
			So(table.Ready(), ShouldBeEmpty)
			table.ApplyHeartbeat(7*time.Second, endpoint("a", "x:1", 5, Ready))
			So(len(table.Ready()), ShouldEqual, 1)
		})
		Convey("leaves another router's endpoint alone while that lives, and longer after it is gone", func() {
			So(table.ExpireSilent(9*time.Second, "r2", 5*time.Second, always), ShouldBeEmpty)
			So(table.ExpireSilent(9*time.Second, "r2", 5*time.Second, never), ShouldBeEmpty)
			So(len(table.ExpireSilent(11*time.Second, "r2", 5*time.Second, never)), ShouldEqual, 1)
		})
		Convey("forgets the dead after a while, and does not learn of them again", func() {
			table.ApplyHeartbeat(0, Endpoint{ID: "a", State: Deregistered})
			table.Purge(61*time.Second, 60*time.Second)
			news, _ := table.Merge(62*time.Second, "r1", []Endpoint{endpoint("a", "x:1", 9, Deregistered)})
			So(news, ShouldBeEmpty)
			_, known := table.Lookup("a")
			So(known, ShouldBeFalse)
		})
	})
	Convey("Hints are used for a short time, and any word replaces them", t, func() {
		table := New()
		table.Restore(0, []Endpoint{endpoint("a", "x:1", 50, Ready), endpoint("b", "y:1", 50, Draining)})
		So(len(table.Ready()), ShouldEqual, 1)
		table.ApplyHeartbeat(time.Second, endpoint("a", "x:1", 1, Ready))
		So(table.ExpireSilent(2*time.Second, "r1", 5*time.Second, always), ShouldBeEmpty)
		table.Restore(2*time.Second, []Endpoint{endpoint("c", "z:1", 50, Ready)})
		So(len(table.ExpireSilent(4*time.Second, "r1", 5*time.Second, always)), ShouldEqual, 1)
		So(len(table.Ready()), ShouldEqual, 1)
	})
}

// Guards against two routers that exchange all they know and still differ, in whatever order words came to them.
func TestRoutersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		a, b := New(), New()
		for i := range 60 {
			said := endpoint(string(rune('a'+r.IntN(5))), string(rune('p'+r.IntN(4)))+":1", uint64(i), State(1+r.IntN(2)))
			if r.IntN(8) == 0 {
				said.State = Deregistered
			}
			heard, owner := a, "ra"
			if r.IntN(2) == 0 {
				heard, owner = b, "rb"
			}
			said.Owner = owner
			heard.ApplyHeartbeat(time.Duration(i), said)
		}
		for range 3 {
			b.Merge(time.Second, "rb", a.EndpointsDiffering(b.Digests(0)))
			a.Merge(time.Second, "ra", b.EndpointsDiffering(a.Digests(0)))
		}
		if a.Digests(0) != b.Digests(0) {
			rt.Fatalf("%v and %v", a.Ready(), b.Ready())
		}
		if len(a.EndpointsDiffering(b.Digests(0))) != 0 {
			rt.Fatal("equal tables differ")
		}
	})
}

func TestDigestsOfManyEndpoints(t *testing.T) {
	a, b := New(), New()
	for i := range 2000 {
		a.ApplyHeartbeat(0, endpoint(fmt.Sprint("e", i), fmt.Sprint("x:", i), 1, Ready))
	}
	Convey("Many endpoints are compared part after part, and found in as many rounds", t, func() {
		moved := 0
		for round := range uint64(64) {
			differing := a.EndpointsDiffering(a.Digests(round))
			So(differing, ShouldBeEmpty)
			digest := a.Digests(round)
			theirs := b.digests(digest.Partition, digest.Partitions)
			found := a.EndpointsDiffering(theirs)
			moved += len(found)
			b.Merge(0, "rb", found)
		}
		So(moved, ShouldEqual, 2000)
		So(len(b.Ready()), ShouldEqual, 2000)
	})
	Convey("One that differs costs few others", t, func() {
		a.ApplyHeartbeat(1, endpoint("e77", "x:77", 2, Draining))
		moved := 0
		for round := range uint64(16) {
			moved += len(a.EndpointsDiffering(b.Digests(round)))
		}
		So(moved, ShouldBeBetween, 0, 40)
	})
	Convey("A digest of a part that can't be is answered all the same", t, func() {
		for _, d := range []Digests{{}, {Partition: 9, Partitions: 3}, {Partition: 255, Partitions: 255}} {
			So(len(a.EndpointsDiffering(d)), ShouldBeLessThanOrEqualTo, 2000)
		}
	})
}

func TestAssertion(t *testing.T) {
	Convey("A router that hears an endpoint says so when others call it silent, once a second", t, func() {
		table := New()
		heard := endpoint("a", "x:1", 9, Ready)
		heard.Owner = "r1"
		table.ApplyHeartbeat(0, heard)
		stale := endpoint("a", "x:1", 5, Expired)
		asserts := func(now time.Duration, self string) []Endpoint {
			news, asserted := table.Merge(now, self, []Endpoint{stale})
			So(news, ShouldBeEmpty)
			return asserted
		}
		So(asserts(time.Second, "r1"), ShouldResemble, []Endpoint{heard})
		So(asserts(time.Second, "r1"), ShouldBeEmpty)
		So(asserts(3*time.Second, "r1"), ShouldResemble, []Endpoint{heard})
		So(asserts(6*time.Second, "r2"), ShouldBeEmpty)
	})
}
