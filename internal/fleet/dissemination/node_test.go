package dissemination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// fleet simulates routers on one clock. A message arrives after a millisecond unless it is lost or crosses a partition.
type fleet struct {
	now         time.Duration
	nodes       map[string]*Gossiper
	order       []string // addresses of all nodes, in the order of their steps
	inFlight    []delivery
	partitioned func(from, to string) bool
	formerBuild func(address string) bool // routers that neither request nor state the age of endpoints that have ended; nil: none
	lossPercent int
	sent        int
	rng         *rand.Rand

	scheduled       []event // unordered
	linkRate        float64 // bytes of fetch replies that each router sends per second; 0: not limited
	decodeRate      float64 // bytes that each router decodes per second; 0: not limited
	links           map[string]*link
	tables          map[uint64]*config.Table // results of builds, by sequence
	replyBytes      int                      // total size of all fetch replies
	unpackedReplies bool                     // replies have the form of earlier builds
	buildErrors     int
}

type delivery struct {
	at       time.Duration
	from, to string
	message  any
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func newFleet(size, cores int) *fleet {
	f := &fleet{nodes: map[string]*Gossiper{}, rng: rand.New(rand.NewPCG(5, 5)), links: map[string]*link{}, tables: map[uint64]*config.Table{}}
	for i := range size {
		f.nodes[address(i)] = New(0, Options{
			Self:  membership.Member{Address: address(i), Zone: "z", Core: i < cores, BootID: uint64(i) + 1},
			Seeds: []string{address(0), address(1), address(2)}, EndpointHeartbeatInterval: 1200 * time.Millisecond,
			Timing: membership.DefaultTiming(), Random: rand.New(rand.NewPCG(uint64(i), 9)),
		})
		f.order = append(f.order, address(i))
	}
	return f
}

// perform executes the output of a node.
func (f *fleet) perform(from string, output *Output) {
	for _, o := range output.Send {
		f.sent++
		if f.partitioned != nil && f.partitioned(from, o.To) || f.rng.IntN(100) < f.lossPercent {
			continue
		}
		f.inFlight = append(f.inFlight, delivery{f.now + time.Millisecond, from, o.To, o.Message})
	}
	if output.Fetch != nil {
		f.fetch(from, output.Fetch)
	}
	if output.Build != nil {
		f.build(from, output.Build)
	}
	if output.BuildError != nil {
		f.buildErrors++
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.now += time.Millisecond
		f.runEvents()
		if f.now%(50*time.Millisecond) == 0 {
			for _, a := range f.order {
				f.perform(a, f.nodes[a].Tick(f.now))
			}
		}
		messages := f.inFlight
		f.inFlight = nil
		for _, m := range messages {
			if m.at > f.now {
				f.inFlight = append(f.inFlight, m)
				continue
			}
			f.perform(m.to, f.nodes[m.to].Receive(f.now, m.from, f.asSentBetweenBuilds(m)))
		}
	}
}

// asSentBetweenBuilds returns a message without the fields that its sender or receiver doesn't know.
func (f *fleet) asSentBetweenBuilds(m delivery) any {
	if f.formerBuild == nil {
		return m.message
	}
	switch message := m.message.(type) {
	case Pull:
		if f.formerBuild(m.from) || f.formerBuild(m.to) {
			message.Ended = nil
		}
		return message
	case Update:
		if f.formerBuild(m.from) {
			message.Endpoints = slices.Clone(message.Endpoints)
			for i := range message.Endpoints {
				message.Endpoints[i].EndedMs = 0
			}
		}
		return message
	}
	return m.message
}

// commit has the first node commit and confirm a configuration.
func (f *fleet) commit(sequence uint64) {
	change := &config.Change{Replace: true, Body: fmt.Appendf(nil, `{"version":%d}`, sequence)}
	state, err := config.EmptyState().Apply(change)
	So(err, ShouldBeNil)
	table, err := config.NewTable(state.Document, nil)
	So(err, ShouldBeNil)
	encoded, err := change.Encode()
	So(err, ShouldBeNil)
	f.perform(address(0), f.nodes[address(0)].Commit(f.now, sequence, table, encoded))
	f.nodes[address(0)].Config.Confirm(sequence, f.now)
}

// countBehind returns the number of nodes whose active configuration is older than sequence.
func (f *fleet) countBehind(sequence uint64) int {
	count := 0
	for _, node := range f.nodes {
		if node.Config.Sequence < sequence {
			count++
		}
	}
	return count
}

func TestDissemination(t *testing.T) {
	for _, size := range []int{12, 90} {
		Convey(fmt.Sprintf("%d routers with three seeds", size), t, func() {
			f := newFleet(size, 3)
			f.run(3 * time.Second)
			So(f.nodes[address(size-1)].Members.LiveCount(), ShouldEqual, size)

			Convey("all activate a change within a second although 5% of the messages are lost", func() {
				f.lossPercent = 5
				f.commit(1)
				f.run(time.Second)
				So(f.countBehind(1), ShouldEqual, 0)
			})
			Convey("all activate changes made in quick succession", func() {
				for sequence := uint64(1); sequence <= 10; sequence++ {
					f.commit(sequence)
					f.run(50 * time.Millisecond)
				}
				f.run(time.Second)
				So(f.countBehind(10), ShouldEqual, 0)
			})
			Convey("all list an endpoint as draining within a second", func() {
				report := registry.Endpoint{ID: "e", Service: "s", Address: "x:1", State: registry.Ready, Sequence: 1, Owner: address(4)}
				output, ok := f.nodes[address(4)].HandleEndpointHeartbeat(f.now, report)
				So(ok, ShouldBeTrue)
				f.perform(address(4), output)
				f.run(time.Second)
				report.State, report.Sequence = registry.Draining, 2
				output, _ = f.nodes[address(4)].HandleEndpointHeartbeat(f.now, report)
				f.perform(address(4), output)
				f.run(time.Second)
				for _, node := range f.nodes {
					e, known := node.Registry.Lookup("e")
					So(known, ShouldBeTrue)
					So(e.State, ShouldEqual, registry.Draining)
				}
			})
			Convey("catch up after a partition from the core", func() {
				isolated := address(size - 1)
				f.partitioned = func(from, to string) bool { return from == isolated || to == isolated }
				f.commit(1)
				f.run(2 * time.Second)
				So(f.countBehind(1), ShouldEqual, 1)
				f.partitioned = nil
				f.run(2 * time.Second)
				So(f.countBehind(1), ShouldEqual, 0)
			})
			Convey("send few messages while nothing changes", func() {
				f.commit(1)
				f.run(2 * time.Second)
				f.sent = 0
				f.run(10 * time.Second)
				each := float64(f.sent) / float64(size) / 10
				So(each, ShouldBeLessThan, 8) // heartbeats to two monitors, two pulls and their replies
			})
		})
	}
}

func TestConfirmation(t *testing.T) {
	Convey("Three routers that hold a configuration", t, func() {
		f := newFleet(3, 1)
		f.run(time.Second)
		f.commit(1)
		f.run(time.Second)
		other := f.nodes[address(2)]

		Convey("have a recent confirmation while the primary keeps confirming it", func() {
			for range 20 {
				f.nodes[address(0)].Config.Confirm(1, f.now)
				f.run(200 * time.Millisecond)
			}
			at, fresh := other.Config.ConfirmedAt()
			So(fresh, ShouldBeTrue)
			So(f.now-at, ShouldBeLessThan, 2*time.Second)
		})
		Convey("measure its age from the primary's last confirmation, not from the last message", func() {
			confirmed, _ := f.nodes[address(0)].Config.ConfirmedAt()
			f.run(5 * time.Second)
			at, _ := other.Config.ConfirmedAt()
			So(at, ShouldBeLessThanOrEqualTo, confirmed)
		})
		Convey("do not count a delayed reply as a recent confirmation", func() {
			sentAt := f.now
			output := other.Tick(f.now + PullInterval*2)
			var pull Pull
			for _, o := range output.Send {
				if p, is := o.Message.(Pull); is {
					pull = p
				}
			}
			So(pull.Round, ShouldBeGreaterThan, 0)
			receivedAt := f.now + 10*time.Second
			reply := PullReply{Round: pull.Round, Sequence: 1, Fresh: true, AgeMs: 0}
			for _, to := range []string{address(0), address(1)} {
				other.Receive(receivedAt, to, reply)
			}
			at, _ := other.Config.ConfirmedAt()
			So(at, ShouldBeLessThanOrEqualTo, sentAt+PullInterval*2)
		})
		Convey("do not apply the confirmation of a newer configuration to an older one", func() {
			before, _ := other.Config.ConfirmedAt()
			other.Config.Confirm(2, f.now)
			at, _ := other.Config.ConfirmedAt()
			So(at, ShouldEqual, before)
		})
		Convey("never replace it with an older one", func() {
			other.Config.Set(0, other.Config.Table, nil)
			So(other.Config.Sequence, ShouldEqual, 1)
		})
	})
}
