package dissemination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
)

// Guards against routers that wait for a router with a saturated link although other routers hold the configuration.
func TestBusyRouterNamesHolders(t *testing.T) {
	Convey("A router on a slow link that has started three transfers", t, func() {
		n := newOutdatedRouter()
		n.transfers.bytesPerSecond = slowLinkRate
		for i, zone := range map[int]string{4: "far", 5: "near", 6: "near", 7: "near", 8: "near"} {
			n.Members.Merge(time.Second, []membership.Member{{Address: address(i), Zone: zone, BootID: uint64(i), Status: membership.Alive}})
		}
		n.HandleFetchReply(time.Second, time.Second, address(2), FetchReply{Sequence: 2, PackedChanges: []Blob{newBlob(encodedRoutes())}})
		fetch := func(at time.Duration, from int) FetchReply {
			reply, err := n.ServeFetch(at, FetchRequest{After: 1, Packed: true, From: address(from)})
			So(err, ShouldBeNil)
			return reply
		}
		for _, from := range []int{4, 5, 6} {
			So(fetch(time.Second, from).Busy, ShouldBeFalse)
		}
		Convey("starts no fourth one, and names no holders before any has arrived", func() {
			reply := fetch(time.Second, 7)
			So(reply.Busy, ShouldBeTrue)
			So(reply.Sequence, ShouldEqual, 2)
			So(reply.Holders, ShouldBeEmpty)
			So(reply.size(), ShouldEqual, 0)
		})
		Convey("later names the receivers as holders, those in the caller's zone first, and not the caller", func() {
			for _, from := range []int{7, 8, 5} {
				So(fetch(2*time.Second, from).Busy, ShouldBeFalse)
			}
			So(fetch(2*time.Second, 5).Holders, ShouldResemble, []string{address(6), address(4)})
		})
		Convey("answers a request of an earlier build nevertheless", func() {
			reply, err := n.ServeFetch(time.Second, FetchRequest{After: 1})
			So(err, ShouldBeNil)
			So(len(reply.Changes), ShouldEqual, 1)
			So(reply.PackedChanges, ShouldBeEmpty)
		})
	})
}
