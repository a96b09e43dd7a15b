package register

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// plannedCore is a core as seen by one machine's planner. Its machines have the addresses a to f, and each has its own
// zone and region unless a test changes them.
type plannedCore struct {
	planner *Planner
	now     time.Duration
	config  Config
	hellos  map[string]*Hello // sent by the live machines, by address
}

// newPlannedCore returns a core of live machines, the first of which are the acceptors, all ready.
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

// advance advances the time in ticks of 100 ms with a Hello of each live machine, and returns what the machine at an
// address proposes in the last tick.
func (c *plannedCore) advance(span time.Duration, at string) (Config, bool) {
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

// addresses returns the addresses of the acceptors, in the order of the Config.
func addresses(c Config) []string {
	var all []string
	for _, r := range c.Acceptors {
		all = append(all, r.Address)
	}
	return all
}

var oneMachine, twoMachines = replication.Tolerance{Machines: 1}, replication.Tolerance{Machines: 2}

// Guards against lost acceptors that are not replaced, and against unnecessary replacements.
func TestPlannerReplacesAcceptors(t *testing.T) {
	Convey("Three healthy acceptors are not replaced", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		_, ok := c.advance(10*time.Second, "a")
		So(ok, ShouldBeFalse)
	})
	Convey("An acceptor whose disk is lost is replaced by the new identity at its address", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		c.hellos["b"].Self.Nonce, c.hellos["b"].ReadyEpoch = 7, 0
		next, ok := c.advance(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(next.Epoch, ShouldEqual, 2)
		So(next.Previous, ShouldResemble, c.config.Acceptors)
		So(next.Acceptors, ShouldResemble, []replication.Replica{{Address: "a"}, {Address: "b", Nonce: 7}, {Address: "c"}})
	})
	Convey("An acceptor that sends no Hello is replaced after acceptorTimeout", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		c.advance(2*time.Second, "a")
		delete(c.hellos, "b")
		_, ok := c.advance(acceptorTimeout-100*time.Millisecond, "a")
		So(ok, ShouldBeFalse)
		next, ok := c.advance(200*time.Millisecond, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "c", "d"})
	})
	Convey("An acceptor that sends no Hello is not replaced if there is no candidate", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c")
		c.advance(2*time.Second, "a")
		delete(c.hellos, "b")
		_, ok := c.advance(10*time.Second, "a")
		So(ok, ShouldBeFalse)
	})
	Convey("An acceptor that shuts down or no longer counts for the quorum is replaced at once", t, func() {
		for _, change := range []func(*Hello){func(h *Hello) { h.Leaving = true }, func(h *Hello) { h.Votes = false }} {
			c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
			c.advance(2*time.Second, "a")
			change(c.hellos["b"])
			next, ok := c.advance(200*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
			So(addresses(next), ShouldResemble, []string{"a", "c", "d"})
		}
	})
}

// Guards against sets of acceptors that are too small, or concentrated in one zone without need.
func TestPlannerFillsUp(t *testing.T) {
	Convey("Acceptors are added up to 2f+1", t, func() {
		c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d", "e", "f")
		next, ok := c.advance(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "c", "d", "e"})
	})
	Convey("There are three with a tolerance of no losses, as one may freeze", t, func() {
		c := newPlannedCore(replication.Tolerance{}, 1, "a", "b", "c", "d")
		next, ok := c.advance(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "c"})
	})
	Convey("Machines that shut down, do not vote or sent no recent Hello are not chosen", t, func() {
		c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d", "e", "f")
		c.hellos["d"].Leaving = true
		c.hellos["e"].Votes = false
		c.planner.Observe(0, c.hellos["f"])
		delete(c.hellos, "f")
		_, ok := c.advance(2*time.Second, "a")
		So(ok, ShouldBeFalse)
	})
	Convey("Candidates of the zone and region with the fewest acceptors are preferred", t, func() {
		c := newPlannedCore(oneMachine, 2, "a", "b", "c", "d", "e")
		for address, place := range map[string][2]string{"a": {"1", "x"}, "b": {"2", "x"}, "c": {"1", "x"}, "d": {"3", "x"}, "e": {"4", "y"}} {
			c.hellos[address].Zone, c.hellos[address].Region = place[0], place[1]
		}
		next, ok := c.advance(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "e"})
		c.hellos["e"].Leaving = true
		next, ok = c.advance(2*time.Second, "a")
		So(ok, ShouldBeTrue)
		So(addresses(next), ShouldResemble, []string{"a", "b", "d"})
	})
}

// Guards against changes that are proposed too early, or by several machines at once.
func TestPlannerWaits(t *testing.T) {
	Convey("Nothing is proposed", t, func() {
		Convey("while the acceptors are unknown", func() {
			c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
			c.config = Config{}
			_, ok := c.advance(5*time.Second, "a")
			So(ok, ShouldBeFalse)
		})
		Convey("by a machine that is not an acceptor", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			_, ok := c.advance(5*time.Second, "d")
			So(ok, ShouldBeFalse)
		})
		Convey("within minConfigAge of a new epoch", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			_, ok := c.advance(minConfigAge, "a")
			So(ok, ShouldBeFalse)
			_, ok = c.advance(200*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
		})
		Convey("until all live acceptors are ready", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			c.hellos["b"].ReadyEpoch, c.hellos["c"].ReadyEpoch = 0, 0
			_, ok := c.advance(4*time.Second, "a")
			So(ok, ShouldBeFalse)
			c.hellos["c"].ReadyEpoch = 1
			_, ok = c.advance(time.Second, "a")
			So(ok, ShouldBeFalse)
			c.hellos["b"].ReadyEpoch = 1
			_, ok = c.advance(100*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
		})
		Convey("until a majority is ready, if one is not ready within carryOverTimeout", func() {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			c.hellos["b"].ReadyEpoch, c.hellos["c"].ReadyEpoch = 0, 0
			_, ok := c.advance(2*carryOverTimeout, "a")
			So(ok, ShouldBeFalse)
			c.hellos["c"].ReadyEpoch = 1
			_, ok = c.advance(100*time.Millisecond, "a")
			So(ok, ShouldBeTrue)
		})
	})
	Convey("The live acceptors propose in the order of their addresses, proposalStagger apart", t, func() {
		for rank, address := range []string{"a", "b", "c"} {
			c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
			start := 100 * time.Millisecond // the first tick, in which the planner first needs the change
			due := start + max(minConfigAge, time.Duration(rank)*proposalStagger)
			_, ok := c.advance(due-start, address)
			So(ok, ShouldBeFalse)
			_, ok = c.advance(start, address)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("Without a live first acceptor, the second one proposes first", t, func() {
		c := newPlannedCore(twoMachines, 3, "a", "b", "c", "d")
		delete(c.hellos, "a")
		_, ok := c.advance(1200*time.Millisecond, "b")
		So(ok, ShouldBeTrue)
	})
}

// Guards against a proposal that stays undecided, and against queries by all machines at once.
func TestPlannerAsks(t *testing.T) {
	Convey("Only the first live acceptor queries the decided Config, every queryInterval", t, func() {
		c := newPlannedCore(oneMachine, 3, "a", "b", "c", "d")
		for address, wantQueries := range map[string]int{"a": 5, "b": 0, "d": 0} {
			c.planner.nextQuery = 0
			queries := 0
			for range 100 {
				c.advance(100*time.Millisecond, address)
				if c.planner.ShouldQueryNext(c.now, c.config, replication.Replica{Address: address}) {
					queries++
				}
			}
			So(queries, ShouldEqual, wantQueries)
		}
		So(c.planner.ShouldQueryNext(c.now, Config{}, replication.Replica{Address: "a"}), ShouldBeFalse)
	})
}

// Guards against a decided value that another machine can't decode.
func TestDecidedAcceptorsAreRead(t *testing.T) {
	Convey("A proposed Config is equal after encoding and decoding, and an invalid value is an error", t, func() {
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
