package dissemination

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// sendHeartbeats has each endpoint send one heartbeat to its router.
func (f *fleet) sendHeartbeats(endpoints int, sequence uint64) {
	for e := range endpoints {
		owner := address(e % len(f.order))
		report := registry.Endpoint{
			ID: fmt.Sprint("e", e), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:1", e/250, e%250), State: registry.Ready, Sequence: sequence,
			Owner: owner,
		}
		output, _ := f.nodes[owner].HandleEndpointHeartbeat(f.now, report)
		f.perform(owner, output)
	}
}

// messageRate runs the fleet for span and returns the mean number of messages per second and router. It calls heartbeat every 1200 ms.
func (f *fleet) messageRate(span time.Duration, heartbeat func()) float64 {
	before := f.sent
	for startedAt := f.now; f.now-startedAt < span; f.run(1200 * time.Millisecond) {
		heartbeat()
	}
	return float64(f.sent-before) / span.Seconds() / float64(len(f.order))
}

// Guards against a fleet that exchanges lists forever, because each router re-adds entries that another one has just removed.
func TestLargeFleetBecomesQuiescent(t *testing.T) {
	Convey("Sixty routers that start at once, with many endpoints", t, func() {
		const endpoints = 300
		f := newFleet(60, 3)
		f.lossPercent = 2
		sequence := uint64(0)
		f.run(time.Second)
		f.commit(1)
		heartbeat := func() {
			f.nodes[address(0)].Config.Confirm(1, f.now)
			sequence++
			f.sendHeartbeats(endpoints, sequence)
		}
		f.messageRate(12*time.Second, heartbeat)
		Convey("converge, and send few messages", func() {
			So(f.messageRate(6*time.Second, heartbeat), ShouldBeLessThan, 12)
			for _, n := range f.nodes {
				So(n.Members.LiveCount(), ShouldEqual, 60)
				So(len(n.Registry.Ready()), ShouldEqual, endpoints)
			}
		})
		Convey("become quiescent again after some of them were reported dead and their endpoints expired", func() {
			reporter := f.nodes[address(30)]
			var dead []membership.Member
			var expired []registry.Endpoint
			for i := 40; i < 50; i++ {
				m, _ := reporter.Members.Lookup(address(i))
				m.Status = membership.Dead
				dead = append(dead, m)
				e, _ := reporter.Registry.Lookup(fmt.Sprint("e", i))
				e.State = registry.Expired
				expired = append(expired, e)
			}
			f.perform(address(30), reporter.Receive(f.now, address(31), Update{Members: dead, Endpoints: expired}))
			f.messageRate(12*time.Second, heartbeat)
			So(f.messageRate(6*time.Second, heartbeat), ShouldBeLessThan, 12)
			for _, n := range f.nodes {
				So(n.Members.LiveCount(), ShouldEqual, 60)
				So(len(n.Registry.Ready()), ShouldEqual, endpoints)
			}
		})
	})
}

func TestRepliesAreBounded(t *testing.T) {
	Convey("The reply to a pull is bounded, however many items the puller lacks", t, func() {
		f := newFleet(1, 1)
		n := f.nodes[address(0)]
		for e := range 2000 {
			n.HandleEndpointHeartbeat(0, registry.Endpoint{ID: fmt.Sprint("e", e), Address: fmt.Sprint("x:", e), Service: "s", State: registry.Ready, Sequence: 1})
		}
		output := n.Receive(0, address(1), Pull{Self: membership.Member{Address: address(1)}, Round: 1})
		items := 0
		for _, o := range output.Send {
			if update, is := o.Message.(Update); is {
				items += len(update.Members) + len(update.Endpoints)
			}
		}
		So(items, ShouldBeBetweenOrEqual, 1, 2*maxItemsPerReply)
	})
	Convey("A router that is probed replies", t, func() {
		f := newFleet(2, 1)
		output := f.nodes[address(0)].Receive(0, address(1), Heartbeat{WantsReply: true})
		So(output.Send, ShouldResemble, []Outgoing{{To: address(1), Message: Heartbeat{}}})
		So(f.nodes[address(0)].Receive(0, address(1), Heartbeat{}).Send, ShouldBeEmpty)
	})
	Convey("A router that was recently reported dead may still receive heartbeats of its endpoints", t, func() {
		f := newFleet(3, 1)
		f.run(5 * time.Second)
		n := f.nodes[address(0)]
		m, known := n.Members.Lookup(address(1))
		So(known, ShouldBeTrue)
		m.Status = membership.Dead
		n.Receive(f.now, address(2), Update{Members: []membership.Member{m}})
		So(n.mayReceiveHeartbeats(time.Second)(address(1)), ShouldBeTrue)
		n.now += 2 * time.Second
		So(n.mayReceiveHeartbeats(time.Second)(address(1)), ShouldBeFalse)
		So(n.mayReceiveHeartbeats(time.Second)("unknown"), ShouldBeFalse)
	})
}

func TestViewsArePushed(t *testing.T) {
	for _, size := range []int{12, 60} {
		Convey(fmt.Sprint("A new primary reaches nearly all of ", size, " routers at once, and all with their next pulls"), t, func() {
			f := newFleet(size, 3)
			f.run(5 * time.Second)
			f.perform(address(1), f.nodes[address(1)].AnnouncePrimary(f.now, 7))
			f.run(50 * time.Millisecond)
			countInformed := func() (count int) {
				for _, n := range f.nodes {
					if view, primary := n.Primary(); view == 7 && primary == address(1) {
						count++
					}
				}
				return count
			}
			So(countInformed(), ShouldBeGreaterThanOrEqualTo, size*9/10)
			f.run(2 * time.Second)
			So(countInformed(), ShouldEqual, size)
			Convey("and an older view is not sent", func() {
				So(f.nodes[address(2)].AnnouncePrimary(f.now, 6).Send, ShouldBeEmpty)
				sent := f.sent
				f.perform(address(3), f.nodes[address(3)].Receive(f.now, address(2), Update{View: 6, Primary: address(2)}))
				So(f.sent, ShouldEqual, sent)
			})
		})
	}
}
