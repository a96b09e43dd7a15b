package router

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/front"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// sent is one message of a relay.
type sent struct {
	to    []string
	kind  transport.Kind
	count int
}

func addresses(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	return all
}

func TestRelay(t *testing.T) {
	Convey("A router's announcements", t, func() {
		var messages []sent
		record := func(to []string, kind transport.Kind, a []front.Announcement) {
			messages = append(messages, sent{to, kind, len(a)})
		}
		Convey("go to all others at once in a small fleet", func() {
			l := newRelay("self", false, record)
			l.setPeers(addresses(11), addresses(3))
			l.announce(front.Announcement{Units: 5})
			So(messages, ShouldResemble, []sent{{addresses(11), kindAnnounce, 1}})
		})
		Convey("go to one router of the core in a large one, and to another when that is gone", func() {
			l := newRelay("self", false, record)
			l.setPeers(addresses(89), addresses(6))
			l.announce(front.Announcement{Units: 5})
			So(len(messages[0].to), ShouldEqual, 1)
			So(messages[0].kind, ShouldEqual, kindRelay)
			first := messages[0].to[0]
			var rest []string
			for _, core := range addresses(6) {
				if core != first {
					rest = append(rest, core)
				}
			}
			l.setPeers(addresses(89), rest)
			l.announce(front.Announcement{Units: 5})
			So(messages[1].to[0], ShouldNotEqual, first)
		})
		Convey("are gathered and told to all by a router of the core, and by any where no core lives", func() {
			for _, core := range []bool{true, false} {
				messages = nil
				l := newRelay("self", core, record)
				cores := addresses(6)
				if !core {
					cores = nil
				}
				l.setPeers(addresses(89), cores)
				l.announce(front.Announcement{Units: 5})
				l.gather(make([]front.Announcement, 40))
				So(messages, ShouldBeEmpty)
				l.flush()
				So(len(messages), ShouldEqual, 2)
				So(messages[0].count+messages[1].count, ShouldEqual, 41)
				So(len(messages[0].to), ShouldEqual, 89)
			}
		})
		Convey("spread evenly over the core", func() {
			counts := map[string]int{}
			for i := range 600 {
				counts[newRelay(fmt.Sprint("router", i), false, record).choose(addresses(6))]++
			}
			for _, count := range counts {
				So(count, ShouldBeBetween, 60, 150)
			}
			So(len(counts), ShouldEqual, 6)
		})
	})
}

func TestPatience(t *testing.T) {
	Convey("The ledger's answer is waited for as long as answers usually take, and a little at least", t, func() {
		c := &quotaClient{}
		So(c.patience(), ShouldEqual, askFirst)
		for range 50 {
			c.observe(time.Millisecond)
		}
		So(c.patience(), ShouldEqual, askLeast)
		for range 50 {
			c.observe(45 * time.Millisecond) // another region
		}
		So(c.patience(), ShouldBeGreaterThan, 100*time.Millisecond)
	})
}
