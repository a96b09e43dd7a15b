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

// fleet is a number of lists whose heartbeats and reports arrive at once, unless a router is silent.
type fleet struct {
	now    time.Duration
	lists  map[string]*List
	silent map[string]bool
	deaf   map[string]bool // heartbeats to them are lost
}

func newFleet(size int) *fleet {
	f := &fleet{lists: map[string]*List{}, silent: map[string]bool{}, deaf: map[string]bool{}}
	for i := range size {
		f.lists[member(i).Address] = New(0, member(i), DefaultTiming())
	}
	for _, l := range f.lists {
		f.spread([]Member{l.Self()})
	}
	return f
}

func (f *fleet) spread(reports []Member) {
	for address, l := range f.lists {
		if f.silent[address] {
			continue
		}
		if answers := l.Merge(f.now, reports); len(answers) > 0 {
			for _, answer := range answers {
				if answer.Address == address {
					f.spread([]Member{answer})
				}
			}
		}
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.now += 100 * time.Millisecond
		for address, l := range f.lists {
			if f.silent[address] {
				continue
			}
			step := l.Tick(f.now)
			for _, to := range step.Heartbeats {
				if !f.silent[to] && !f.deaf[to] {
					f.lists[to].RecordContact(f.now, address)
				}
			}
			for _, to := range step.Probes {
				if !f.silent[to] {
					l.RecordContact(f.now, to)
				}
			}
			f.spread(step.Dead)
		}
	}
}

func TestMembership(t *testing.T) {
	Convey("Twelve routers", t, func() {
		f := newFleet(12)
		f.run(10 * time.Second)
		any := f.lists[member(3).Address]
		So(any.LiveCount(), ShouldEqual, 12)
		digest := any.Digests()
		for _, l := range f.lists {
			So(l.Digests(), ShouldEqual, digest)
		}
		Convey("find a silent one within five seconds, and all know", func() {
			f.silent[member(5).Address] = true
			f.run(5 * time.Second)
			So(any.LiveCount(), ShouldEqual, 11)
			Convey("and it refutes that when it hears of it", func() {
				f.silent[member(5).Address] = false
				back := f.lists[member(5).Address]
				dead, _ := any.Lookup(member(5).Address)
				f.spread(back.Merge(f.now, []Member{dead}))
				f.run(time.Second)
				So(any.LiveCount(), ShouldEqual, 12)
			})
		})
		Convey("take a new start of a router over from the former one", func() {
			again := member(5)
			again.BootID = 999
			l := New(f.now, again, DefaultTiming())
			old, _ := any.Lookup(again.Address)
			news := l.Merge(f.now, []Member{old})
			So(len(news), ShouldEqual, 1)
			So(news[0].Incarnation, ShouldBeGreaterThan, old.Incarnation)
		})
		Convey("do not call all others dead when one of them stood still itself", func() {
			frozen := member(7).Address
			f.silent[frozen] = true
			f.run(2 * time.Second)
			f.now += 10 * time.Second
			f.silent[frozen] = false
			So(f.lists[frozen].Tick(f.now).Dead, ShouldBeEmpty)
		})
		Convey("call nobody dead whose heartbeats go to others, as long as it answers", func() {
			f.deaf[member(4).Address] = true
			f.run(20 * time.Second)
			So(any.LiveCount(), ShouldEqual, 12)
		})
		Convey("ask a silent one a few times, not at each tick", func() {
			f.silent[member(5).Address] = true
			probes := 0
			for range 60 {
				f.now += 50 * time.Millisecond
				for address, l := range f.lists {
					if f.silent[address] {
						continue
					}
					for other := range f.lists {
						if !f.silent[other] {
							l.RecordContact(f.now, other)
						}
					}
					probes += len(l.Tick(f.now).Probes)
				}
			}
			So(probes, ShouldBeBetweenOrEqual, 2, 2*4)
		})
		Convey("forget one that is gone for long", func() {
			f.silent[member(5).Address] = true
			f.run(70 * time.Second)
			_, known := any.Lookup(member(5).Address)
			So(known, ShouldBeFalse)
		})
		Convey("know of one that leaves", func() {
			f.spread([]Member{f.lists[member(2).Address].Leave()})
			So(any.LiveCount(), ShouldEqual, 11)
		})
	})
}
