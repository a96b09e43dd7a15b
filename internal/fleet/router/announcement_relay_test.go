package router

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// sentMessage is one call of a relay's send function.
type sentMessage struct {
	to    []string
	kind  transport.Kind
	count int
}

var zones = []string{"a", "b", "c", "d"}

// fleet returns routers distributed over four zones. The first ones, as many as cores says, count for the quorum.
func fleet(routers, cores int) []membership.Member {
	var all []membership.Member
	for i := range routers {
		all = append(all, membership.Member{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: zones[i%len(zones)], Core: i < cores})
	}
	return all
}

func TestRelay(t *testing.T) {
	Convey("A router's announcements", t, func() {
		var messages []sentMessage
		record := func(to []string, kind transport.Kind, a []proxy.Announcement) {
			messages = append(messages, sentMessage{to, kind, len(a)})
		}
		Convey("are sent directly to all other routers in a small fleet", func() {
			l := newRelay("self", "a", false, record)
			l.setPeers(fleet(11, 3))
			l.announce(proxy.Announcement{Units: 5})
			So(len(messages), ShouldEqual, 1)
			So(messages[0].kind, ShouldEqual, kindAnnouncement)
			So(len(messages[0].to), ShouldEqual, 11)
		})
		Convey("are sent to a core router in its zone in a large fleet, and to another core router after that one has failed", func() {
			l := newRelay("self", "b", false, record)
			live := fleet(89, 8)
			for range 3 {
				l.setPeers(live)
				l.announce(proxy.Announcement{Units: 5})
				last := messages[len(messages)-1]
				So(len(last.to), ShouldEqual, 1)
				So(last.kind, ShouldEqual, kindAnnouncementRelay)
				live = slices.DeleteFunc(live, func(m membership.Member) bool { return m.Address == last.to[0] })
			}
			So([]string{messages[0].to[0], messages[1].to[0]}, ShouldContain, "10.0.0.1:1")
			So([]string{messages[0].to[0], messages[1].to[0]}, ShouldContain, "10.0.0.5:1")
			So(messages[2].to[0], ShouldNotEqual, "")
		})
		Convey("are batched by the router itself if no core router is alive, and sent to all other routers", func() {
			l := newRelay("self", "a", false, record)
			l.setPeers(fleet(89, 0))
			l.announce(proxy.Announcement{Units: 5})
			So(messages, ShouldBeEmpty)
			l.flush()
			So(len(messages[0].to), ShouldEqual, 89)
		})
		Convey("are batched by a core router, in messages of a bounded size", func() {
			l := newRelay("self", "a", true, record)
			l.setPeers(fleet(89, 8))
			l.announce(proxy.Announcement{Units: 5})
			l.enqueue(make([]proxy.Announcement, maxAnnouncementsPerDatagram))
			So(messages, ShouldBeEmpty)
			l.flush()
			So(len(messages), ShouldEqual, 4)
			for _, m := range messages {
				So(m.count, ShouldBeLessThanOrEqualTo, maxAnnouncementsPerDatagram)
			}
		})
		Convey("reach every other router once, and are sent to each other zone in one message", func() {
			allRouters := fleet(90, 8)
			for _, withoutCore := range []string{"", "c"} {
				relays := map[string]*announcementRelay{}
				received := map[string]int{}
				zoneCrossings := 0
				for _, m := range allRouters {
					m.Core = m.Core && m.Zone != withoutCore
					var l *announcementRelay
					l = newRelay(m.Address, m.Zone, m.Core, func(to []string, kind transport.Kind, a []proxy.Announcement) {
						for _, address := range to {
							if relays[address].zone != l.zone {
								zoneCrossings++
							}
							received[address]++
							switch kind {
							case kindAnnouncementRelay:
								relays[address].enqueue(a)
							case kindAnnouncementZoneRelay:
								relays[address].forwardToZone(a)
							}
						}
					})
					relays[m.Address] = l
				}
				for _, m := range allRouters {
					others := slices.DeleteFunc(slices.Clone(allRouters), func(other membership.Member) bool { return other.Address == m.Address })
					for i := range others {
						others[i].Core = others[i].Core && others[i].Zone != withoutCore
					}
					relays[m.Address].setPeers(others)
				}
				sender := allRouters[89]
				relays[sender.Address].announce(proxy.Announcement{Units: 5})
				for _, l := range relays {
					l.flush()
				}
				for _, m := range allRouters {
					if m.Address != sender.Address {
						So(received[m.Address], ShouldEqual, 1)
					}
				}
				if withoutCore == "" {
					So(zoneCrossings, ShouldEqual, 3)
				}
			}
		})
		Convey("are distributed evenly over the core", func() {
			counts := map[string]int{}
			var cores []string
			for _, m := range fleet(6, 6) {
				cores = append(cores, m.Address)
			}
			for i := range 600 {
				counts[newRelay(fmt.Sprint("router", i), "a", false, record).chooseCoreRouter(cores)]++
			}
			for _, count := range counts {
				So(count, ShouldBeBetween, 60, 150)
			}
			So(len(counts), ShouldEqual, 6)
		})
	})
}
