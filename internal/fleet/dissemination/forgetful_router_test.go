package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

const (
	testHeartbeatInterval = 1200 * time.Millisecond
	testReuseDelay        = 2 * time.Second // after the end of an endpoint, before its address is assigned again
	testDrainTimeout      = 2 * time.Second
)

// restart replaces a node by one that knows nothing.
func (f *fleet) restart(address string) {
	index := 0
	for i, a := range f.order {
		if a == address {
			index = i
		}
	}
	options := f.nodes[address].options
	options.Self = membership.Member{Address: address, Zone: "z", Core: options.Self.Core, BootID: uint64(1000 + index)}
	options.Random = rand.New(rand.NewPCG(uint64(index), 77))
	f.nodes[address] = New(f.now, options)
}

// emulatedEndpoint sends heartbeats to one router.
type emulatedEndpoint struct {
	report registry.Endpoint
	next   time.Duration
}

func newEmulatedEndpoint(id, at, owner string) *emulatedEndpoint {
	return &emulatedEndpoint{report: registry.Endpoint{ID: id, Service: "s-" + id, Address: at, Capacity: 8, State: registry.Ready, Owner: owner}}
}

// heartbeat sends the endpoint's next heartbeat to a router.
func (f *fleet) heartbeat(e *emulatedEndpoint, to string) {
	e.report.Sequence++
	f.deliver(e.report, to)
}

// deliver has a router receive a report of an endpoint.
func (f *fleet) deliver(report registry.Endpoint, to string) {
	report.Owner = to
	output, _ := f.nodes[to].HandleEndpointHeartbeat(f.now, report)
	f.perform(to, output)
}

// runWith runs the fleet while endpoints send heartbeats to their owners.
func (f *fleet) runWith(span time.Duration, endpoints ...*emulatedEndpoint) {
	for end := f.now + span; f.now < end; f.run(50 * time.Millisecond) {
		for _, e := range endpoints {
			if f.now >= e.next {
				e.next = f.now + testHeartbeatInterval
				f.heartbeat(e, e.report.Owner)
			}
		}
	}
}

// countReady returns the number of routers that list an endpoint as ready.
func (f *fleet) countReady(id string) int {
	count := 0
	for _, node := range f.nodes {
		if e, _ := node.Registry.Lookup(id); e.State == registry.Ready {
			count++
		}
	}
	return count
}

// Guards against a router that has forgotten an endpoint, and lets its late heartbeat end the endpoint that has its address now (review/4).
func TestLateHeartbeatDoesNotEndSuccessor(t *testing.T) {
	const size, forgetful = 12, 11
	setUp := func(successorOwner int) (f *fleet, crashed, successor *emulatedEndpoint, late registry.Endpoint) {
		f = newFleet(size, 3)
		f.run(3 * time.Second)
		crashed, successor = newEmulatedEndpoint("crashed", "10.1.0.1:1", address(8)), newEmulatedEndpoint("successor", "10.1.0.1:1", address(successorOwner))
		f.runWith(6*time.Second, crashed)
		late = crashed.report
		late.Sequence++
		f.run(testReuseDelay + 200*time.Millisecond)
		f.runWith(500*time.Millisecond, successor)
		So(f.countReady("successor"), ShouldEqual, size)
		return f, crashed, successor, late
	}
	expectOnlySuccessor := func(f *fleet, successor *emulatedEndpoint) {
		for range 100 {
			f.runWith(100*time.Millisecond, successor)
			So(f.countReady("successor"), ShouldEqual, size)
		}
		So(f.countReady("crashed"), ShouldEqual, 0)
	}
	for name, owner := range map[string]int{"another router": 0, "the router that has forgotten": forgetful} {
		Convey("The successor's heartbeats go to "+name, t, func() {
			f, _, successor, late := setUp(owner)
			Convey("and the crashed endpoint's late one reaches a router that has restarted", func() {
				f.restart(address(forgetful))
				f.runWith(1500*time.Millisecond, successor)
				f.deliver(late, address(forgetful))
				expectOnlySuccessor(f, successor)
			})
			Convey("and the late one reaches the router as the first message after its start", func() {
				f.restart(address(forgetful))
				f.deliver(late, address(forgetful))
				f.runWith(time.Second, successor)
				expectOnlySuccessor(f, successor)
			})
			Convey("and no router remembers the crashed endpoint", func() {
				for _, node := range f.nodes {
					node.Registry.Purge(f.now + time.Hour)
				}
				f.deliver(late, address(forgetful))
				f.runWith(time.Second, successor)
				late.Sequence++
				f.deliver(late, address(5))
				expectOnlySuccessor(f, successor)
			})
			Convey("and the router that receives the late one is partitioned from the others at that time", func() {
				cutOff := address(forgetful)
				f.restart(cutOff)
				f.runWith(time.Second, successor)
				f.partitioned = func(from, to string) bool { return from == cutOff || to == cutOff }
				f.deliver(late, cutOff)
				f.runWith(2*time.Second, successor)
				f.partitioned = nil
				f.runWith(2*time.Second, successor)
				expectOnlySuccessor(f, successor)
			})
		})
	}
}

// Guards against a router that has forgotten an endpoint's leave, and takes a late heartbeat from before it (review/5).
func TestLateHeartbeatDoesNotUndoLeave(t *testing.T) {
	const forgetful = 11
	for _, size := range []int{12, 90} {
		setUp := func() (f *fleet, late, leave registry.Endpoint) {
			f = newFleet(size, 3)
			f.run(5 * time.Second)
			leaving := newEmulatedEndpoint("leaving", "10.1.0.1:1", address(8))
			f.runWith(6*time.Second, leaving)
			late = leaving.report
			late.Sequence++
			return f, late, registry.Endpoint{ID: "leaving", State: registry.Deregistered}
		}
		expectNotReady := func(f *fleet, late registry.Endpoint) {
			f.deliver(late, address(forgetful))
			for range 100 {
				So(f.countReady("leaving"), ShouldEqual, 0)
				f.run(50 * time.Millisecond)
			}
		}
		builds := map[string]func(string) bool{
			"of its own build":    nil,
			"of the former build": func(a string) bool { return a != address(forgetful) },
		}
		for name, formerBuild := range builds {
			Convey("A late heartbeat reaches a router that has restarted since the leave, among routers "+name, t, func() {
				f, late, leave := setUp()
				f.formerBuild = formerBuild
				f.deliver(leave, address(0))
				f.run(400 * time.Millisecond)
				f.restart(address(forgetful))
				f.run(3 * time.Second)
				expectNotReady(f, late)
			})
		}
		Convey("A late heartbeat reaches a router that was partitioned from the others during the endpoint's life", t, func() {
			f := newFleet(size, 3)
			f.run(5 * time.Second)
			cutOff := address(forgetful)
			f.partitioned = func(from, to string) bool { return from == cutOff || to == cutOff }
			leaving := newEmulatedEndpoint("leaving", "10.1.0.1:1", address(8))
			f.runWith(3*time.Second, leaving)
			f.deliver(registry.Endpoint{ID: "leaving", State: registry.Deregistered}, address(0))
			f.run(3 * time.Second)
			f.partitioned = nil
			f.run(6 * time.Second)
			late := leaving.report
			late.Sequence++
			expectNotReady(f, late)
		})
		Convey("A late heartbeat reaches a restarted router after the endpoint had said that it drains, and expired", t, func() {
			f, late, _ := setUp()
			draining := late
			draining.State, draining.Sequence = registry.Draining, late.Sequence+1
			f.deliver(draining, address(8))
			f.run(6 * time.Second)
			f.restart(address(forgetful))
			f.run(3 * time.Second)
			expectNotReady(f, late)
		})
	}
	Convey("A leave that another router reports to the primary reaches all, although the primary doesn't know the endpoint", t, func() {
		f := newFleet(12, 3)
		f.run(5 * time.Second)
		leaving := newEmulatedEndpoint("leaving", "10.1.0.1:1", address(8))
		f.runWith(3*time.Second, leaving)
		f.nodes[address(0)].Registry = registry.New()
		leave := leaving.report
		leave.State = registry.Deregistered
		f.perform(address(0), f.nodes[address(0)].HandleEndpointLeave(f.now, leave))
		f.run(testDrainTimeout)
		So(f.countReady("leaving"), ShouldEqual, 0)
	})
}

// Guards against a sound endpoint that is kept out of service because a router hears of it late, or of another one at its address.
func TestSuccessorIsReadyWithItsFirstHeartbeat(t *testing.T) {
	for _, size := range []int{12, 90} {
		Convey("The successor of a crashed endpoint is ready at all routers at once, and the crashed one is deregistered", t, func() {
			f := newFleet(size, 3)
			f.run(5 * time.Second)
			crashed, successor := newEmulatedEndpoint("crashed", "10.1.0.1:1", address(8)), newEmulatedEndpoint("successor", "10.1.0.1:1", address(4))
			f.runWith(6*time.Second, crashed)
			f.run(testReuseDelay)
			successor.report.Sequence = 6 // the first heartbeats got lost
			f.heartbeat(successor, successor.report.Owner)
			f.run(500 * time.Millisecond)
			So(f.countReady("successor"), ShouldEqual, size)
			f.runWith(4*time.Second, successor)
			So(f.countReady("crashed"), ShouldEqual, 0)
			known, _ := f.nodes[address(4)].Registry.Lookup("crashed")
			So(known.State, ShouldEqual, registry.Deregistered)
			So(f.countReady("successor"), ShouldEqual, size)
		})
	}
}

// Guards against routers that keep an endpoint alive for each other after it and the router that received its heartbeats have ended.
func TestOrphanedEndpointExpiresForGood(t *testing.T) {
	for _, size := range []int{12, 60} {
		Convey("An endpoint crashes together with its owner", t, func() {
			f := newFleet(size, 3)
			f.run(5 * time.Second)
			endpoint := newEmulatedEndpoint("orphan", "10.1.0.1:1", address(8))
			for _, restarted := range []int{4, 5, 6, 7} { // each has its report at another time
				f.runWith(1500*time.Millisecond, endpoint)
				f.restart(address(restarted))
			}
			f.runWith(time.Second, endpoint)
			owner := address(8)
			f.partitioned = func(from, to string) bool { return from == owner || to == owner }
			f.run(14 * time.Second)
			for range 200 {
				So(f.countReady("orphan"), ShouldEqual, 0)
				f.run(100 * time.Millisecond)
			}
		})
	}
}
