package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func member(i int) Member {
	return Member{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z", BootID: uint64(i)}
}

// fleet is a set of lists whose heartbeats and reports arrive without delay, except from and to routers that are down.
type fleet struct {
	now         time.Duration
	lists       map[string]*List
	down        map[string]bool
	unreachable map[string]bool // routers to which heartbeats are lost
}

func newFleet(size int) *fleet {
	f := &fleet{lists: map[string]*List{}, down: map[string]bool{}, unreachable: map[string]bool{}}
	for i := range size {
		f.lists[member(i).Address] = New(0, member(i), DefaultTiming())
	}
	for _, l := range f.lists {
		f.distribute([]Member{l.Self()})
	}
	return f
}

// distribute delivers reports to all routers, and their refutations as well.
func (f *fleet) distribute(reports []Member) {
	for address, l := range f.lists {
		if f.down[address] {
			continue
		}
		if forwarded := l.Merge(f.now, reports); len(forwarded) > 0 {
			for _, report := range forwarded {
				if report.Address == address {
					f.distribute([]Member{report})
				}
			}
		}
	}
}

// run advances the time in steps of 100 ms and delivers heartbeats, probes and reports.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.now += 100 * time.Millisecond
		for address, l := range f.lists {
			if f.down[address] {
				continue
			}
			result := l.Tick(f.now)
			for _, to := range result.Heartbeats {
				if !f.down[to] && !f.unreachable[to] {
					f.lists[to].RecordContact(f.now, address)
				}
			}
			for _, to := range result.Probes {
				if !f.down[to] {
					l.RecordContact(f.now, to)
				}
			}
			f.distribute(result.Dead)
		}
	}
}

func TestMembership(t *testing.T) {
	Convey("Twelve routers", t, func() {
		f := newFleet(12)
		f.run(10 * time.Second)
		observer := f.lists[member(3).Address]
		So(observer.LiveCount(), ShouldEqual, 12)
		digest := observer.Digests()
		for _, l := range f.lists {
			So(l.Digests(), ShouldEqual, digest)
		}
		Convey("detect a failed router within five seconds", func() {
			f.down[member(5).Address] = true
			f.run(5 * time.Second)
			So(observer.LiveCount(), ShouldEqual, 11)
			Convey("and the router refutes the report of its death when it receives it", func() {
				f.down[member(5).Address] = false
				recovered := f.lists[member(5).Address]
				dead, _ := observer.Lookup(member(5).Address)
				f.distribute(recovered.Merge(f.now, []Member{dead}))
				f.run(time.Second)
				So(observer.LiveCount(), ShouldEqual, 12)
			})
		})
		Convey("replace an earlier process of a router by a new one", func() {
			restarted := member(5)
			restarted.BootID = 999
			l := New(f.now, restarted, DefaultTiming())
			old, _ := observer.Lookup(restarted.Address)
			changed := l.Merge(f.now, []Member{old})
			So(len(changed), ShouldEqual, 1)
			So(changed[0].Incarnation, ShouldBeGreaterThan, old.Incarnation)
		})
		Convey("are not declared dead by a router that was paused itself", func() {
			paused := member(7).Address
			f.down[paused] = true
			f.run(2 * time.Second)
			f.now += 10 * time.Second
			f.down[paused] = false
			So(f.lists[paused].Tick(f.now).Dead, ShouldBeEmpty)
		})
		Convey("do not declare a router dead that replies to probes while its monitors receive no heartbeats", func() {
			f.unreachable[member(4).Address] = true
			f.run(20 * time.Second)
			So(observer.LiveCount(), ShouldEqual, 12)
		})
		Convey("probe a failed router a few times, not at each tick", func() {
			f.down[member(5).Address] = true
			probes := 0
			for range 60 {
				f.now += 50 * time.Millisecond
				for address, l := range f.lists {
					if f.down[address] {
						continue
					}
					for other := range f.lists {
						if !f.down[other] {
							l.RecordContact(f.now, other)
						}
					}
					probes += len(l.Tick(f.now).Probes)
				}
			}
			So(probes, ShouldBeBetweenOrEqual, 2, 2*4)
		})
		Convey("remove a dead router from the list after the tombstone TTL", func() {
			f.down[member(5).Address] = true
			f.run(70 * time.Second)
			_, known := observer.Lookup(member(5).Address)
			So(known, ShouldBeFalse)
		})
		Convey("apply the report of a router that has left", func() {
			f.distribute([]Member{f.lists[member(2).Address].Leave()})
			So(observer.LiveCount(), ShouldEqual, 11)
		})
	})
}
