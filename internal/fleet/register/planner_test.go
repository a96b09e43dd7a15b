package register

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// plannedCore is what one machine's planner hears. The machines are a to f, in zones of their own unless a script says otherwise.
type plannedCore struct {
	planner *Planner
	now     time.Duration
	config  Config
	hellos  map[string]*Hello // of the machines that are heard, by address
}

// newPlannedCore returns a core of which the first machines are the acceptors, all heard and ready.
func newPlannedCore(tolerance replication.Tolerance, acceptors int, machines ...string) *plannedCore {
	c := &plannedCore{planner: NewPlanner(tolerance), config: FirstConfig(machines[:acceptors]), hellos: map[string]*Hello{}}
	for i, address := range machines {
		hello := &Hello{Self: replication.Replica{Address: address}, Zone: address, Region: address, Votes: true}
		if i < acceptors {
			hello.ReadyEpoch = 1
		} else {
			hello.Self.Nonce = uint64(100 + i)
		}
		c.hellos[address] = hello
	}
	return c
}

// pass lets the time pass in steps as a machine's ticks do, all machines heard in each, and returns what the machine at an address proposes
// in the last of them.
func (c *plannedCore) pass(span time.Duration, at string) (Config, bool) {
	var next Config
	var ok bool
	for end := c.now + span; c.now < end; {
		c.now += 100 * time.Millisecond
		for _, hello := range c.hellos {
			c.planner.Observe(c.now, hello)
		}
		next, ok = c.planner.Next(c.now, c.config, replication.Replica{Address: at})
	}
	return next, ok
}

// addresses returns the acceptors' addresses, in their order.
func addresses(c Config) []string {
	var all []string
	for _, r := range c.Acceptors {
		all = append(all, r.Address)
	}
	return all
}

var oneMachine, twoMachines = replication.Tolerance{Machines: 1}, replication.Tolerance{Machines: 2}

// Guards against acceptors that are gone and stay acceptors, or that are replaced without need.
func TestPlannerReplacesAcceptors(t *testing.T) {
	Convey("Three acceptors that are fit stay", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		_, ok := c.pass(10*time.Second, "a")
		So(ok, ShouldBeFalse)
	})
	Convey("One whose disk is lost is replaced by what came back at its address", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		c.hellos["b"].Self.Nonce, c.hellos["b"].ReadyEpoch = 7, 0
		next, ok := c.pass(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(next.Epoch, ShouldEqual, 2)
		So(next.Previous, ShouldResemble, c.config.Acceptors)
		So(next.Acceptors, ShouldResemble, []replication.Replica{{Address: "a"}, {Address: "b", Nonce: 7}, {Address: "c"}})
	})
	Convey("One that is silent is replaced after its time", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		c.pass(2*time.Second, "a")
		delete(c.hellos, "b")
		_, ok := c.pass(acceptorTimeout-100*time.Millisecond, "a")
		So(ok, ShouldBeFalse)
		next, ok := c.pass(200*time.Millisecond, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "c", "d"})
	})
	Convey("One that is silent stays where there is no other machine", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c")
		c.pass(2*time.Second, "a")
		delete(c.hellos, "b")
		_, ok := c.pass(10*time.Second, "a")
		So(ok, ShouldBeFalse)
	})
	Convey("One that leaves, and one that no longer counts for the quorum, are replaced at once", t, func() {
		for _, change := range []func(*Hello){func(h *Hello) { h.Leaving = true }, func(h *Hello) { h.Votes = false }} {
			c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
			c.pass(2*time.Second, "a")
			change(c.hellos["b"])
			next, ok := c.pass(200*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
			So(addresses(next), ShouldResemble, []string{"a", "c", "d"})
		}
	})
}

// Guards against sets of acceptors that are too small, or that stand in one zone without need.
func TestPlannerFillsUp(t *testing.T) {
	Convey("Acceptors are added up to 2f+1", t, func() {
		c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d", "e", "f")
		next, ok := c.pass(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "c", "d", "e"})
	})
	Convey("There are three where none may be lost: one may freeze", t, func() {
		c := newPlannedCore(replication.Tolerance{}, 1, "a", "b", "c", "d")
		next, ok := c.pass(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "c"})
	})
	Convey("Machines that leave, do not vote or were not heard lately are not taken", t, func() {
		c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d", "e", "f")
		c.hellos["d"].Leaving = true
		c.hellos["e"].Votes = false
		c.planner.Observe(0, c.hellos["f"])
		delete(c.hellos, "f")
		_, ok := c.pass(2*time.Second, "a")
		So(ok, ShouldBeFalse)
	})
	Convey("The zone and region with the fewest acceptors comes first", t, func() {
		c := newPlannedCore(oneMachine, 2, "a", "b", "c", "d", "e")
		for address, place := range map[string][2]string{"a": {"1", "x"}, "b": {"2", "x"}, "c": {"1", "x"}, "d": {"3", "x"}, "e": {"4", "y"}} {
			c.hellos[address].Zone, c.hellos[address].Region = place[0], place[1]
		}
		next, ok := c.pass(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "e"})
		c.hellos["e"].Leaving = true
		next, ok = c.pass(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "d"})
	})
}

// Guards against changes that come too early, or that several machines propose at once.
func TestPlannerWaits(t *testing.T) {
	Convey("Nothing is proposed", t, func() {
		Convey("while no acceptors are known", func() {
			c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
			c.config = Config{}
			_, ok := c.pass(5*time.Second, "a")
			So(ok, ShouldBeFalse)
		})
		Convey("by a machine that is no acceptor", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			_, ok := c.pass(5*time.Second, "d")
			So(ok, ShouldBeFalse)
		})
		Convey("in the first second of an epoch", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			_, ok := c.pass(minConfigAge, "a")
			So(ok, ShouldBeFalse)
			_, ok = c.pass(200*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
		})
		Convey("until all live acceptors take part", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			c.hellos["b"].ReadyEpoch, c.hellos["c"].ReadyEpoch = 0, 0
			_, ok := c.pass(4*time.Second, "a")
			So(ok, ShouldBeFalse)
			c.hellos["c"].ReadyEpoch = 1
			_, ok = c.pass(time.Second, "a")
			So(ok, ShouldBeFalse)
			c.hellos["b"].ReadyEpoch = 1
			_, ok = c.pass(100*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
		})
		Convey("until a majority takes part, where one is late for long", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			c.hellos["b"].ReadyEpoch, c.hellos["c"].ReadyEpoch = 0, 0
			_, ok := c.pass(2*carryOverTimeout, "a")
			So(ok, ShouldBeFalse)
			c.hellos["c"].ReadyEpoch = 1
			_, ok = c.pass(100*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
		})
	})
	Convey("The live acceptors propose one after the other, in the order of their addresses", t, func() {
		for rank, address := range []string{"a", "b", "c"} {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			start := 100 * time.Millisecond // the first tick, in which the change is wanted
			due := start + max(minConfigAge, time.Duration(rank)*plannerStagger)
			_, ok := c.pass(due-start, address)
			So(ok, ShouldBeFalse)
			_, ok = c.pass(start, address)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("The second one is the first where that is gone", t, func() {
		c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
		delete(c.hellos, "a")
		_, ok := c.pass(1200*time.Millisecond, "b")
		So(ok, ShouldBeTrue)
	})
}

// Guards against a proposal that stays half decided, and against questions of all machines at once.
func TestPlannerAsks(t *testing.T) {
	Convey("The first live acceptor asks what is decided, at intervals; no other does", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		for address, asks := range map[string]int{"a": 5, "b": 0, "d": 0} {
			c.planner.nextAsk = 0
			asked := 0
			for range 100 {
				c.pass(100*time.Millisecond, address)
				if c.planner.ShouldQueryNext(c.now, c.config, replication.Replica{Address: address}) {
					asked++
				}
			}
			So(asked, ShouldEqual, asks)
		}
		So(c.planner.ShouldQueryNext(c.now, Config{}, replication.Replica{Address: "a"}), ShouldBeFalse)
	})
}

// Guards against a decided value that another machine can't read.
func TestDecidedAcceptorsAreRead(t *testing.T) {
	Convey("What is decided is read as it was proposed", t, func() {
		next := Config{Epoch: 4, Acceptors: []replication.Replica{{Address: "a:1", Nonce: 1<<64 - 1}}, Previous: []replication.Replica{{Address: "b:1"}}}
		operation, err := DecideNext(next)
		So(err, ShouldBeNil)
		So(operation.MatchesNameKind(), ShouldBeTrue)
		So(operation.Name, ShouldResemble, nextConfigName(3))
		decoded, err := DecodeConfig(operation.Value)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, next)
		_, err = DecodeConfig("{")
		So(err, ShouldNotBeNil)
	})
}
