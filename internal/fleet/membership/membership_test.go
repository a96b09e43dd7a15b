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

// fleet is a number of lists whose heartbeats and reports arrive at once, except from and to routers that are down.
type fleet struct {
	now         time.Duration
	lists       map[string]*List
	down        map[string]bool
	unreachable map[string]bool // heartbeats to them are lost
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

func (f *fleet) distribute(reports []Member) {
	for address, l := range f.lists {
		if f.down[address] {
			continue
		}
		if answers := l.Merge(f.now, reports); len(answers) > 0 {
			for _, answer := range answers {
				if answer.Address == address {
					f.distribute([]Member{answer})
				}
			}
		}
	}
}

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
		Convey("detect a failed one within five seconds, and all know", func() {
			f.down[member(5).Address] = true
			f.run(5 * time.Second)
			So(observer.LiveCount(), ShouldEqual, 11)
			Convey("and it refutes the report when it receives it", func() {
				f.down[member(5).Address] = false
				recovered := f.lists[member(5).Address]
				dead, _ := observer.Lookup(member(5).Address)
				f.distribute(recovered.Merge(f.now, []Member{dead}))
				f.run(time.Second)
				So(observer.LiveCount(), ShouldEqual, 12)
			})
		})
		Convey("replace a former process of a router by a new one", func() {
			restarted := member(5)
			restarted.BootID = 999
			l := New(f.now, restarted, DefaultTiming())
			old, _ := observer.Lookup(restarted.Address)
			changed := l.Merge(f.now, []Member{old})
			So(len(changed), ShouldEqual, 1)
			So(changed[0].Incarnation, ShouldBeGreaterThan, old.Incarnation)
		})
		Convey("are not declared dead by one that was paused itself", func() {
			paused := member(7).Address
			f.down[paused] = true
			f.run(2 * time.Second)
			f.now += 10 * time.Second
			f.down[paused] = false
			So(f.lists[paused].Tick(f.now).Dead, ShouldBeEmpty)
		})
		Convey("declare nobody dead whose heartbeats go to others, as long as it replies to probes", func() {
			f.unreachable[member(4).Address] = true
			f.run(20 * time.Second)
			So(observer.LiveCount(), ShouldEqual, 12)
		})
		Convey("probe a failed one a few times, not at each tick", func() {
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
		Convey("forget one that ended long ago", func() {
			f.down[member(5).Address] = true
			f.run(70 * time.Second)
			_, known := observer.Lookup(member(5).Address)
			So(known, ShouldBeFalse)
		})
		Convey("know of one that has left", func() {
			f.distribute([]Member{f.lists[member(2).Address].Leave()})
			So(observer.LiveCount(), ShouldEqual, 11)
		})
	})
}
