package coordinator

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const testMaxState = 4000 // bytes

// newLimitedMachine returns a machine with its own acceptor, whose registers may have testMaxState.
func newLimitedMachine(t *testing.T) *machine {
	m := newProposerMachine(t)
	m.service.options.MaxState = testMaxState
	m.service.options.State.HasRoom = m.service.hasRoom
	m.service.proposer.proposer = register.NewProposer(register.ProposerOptions{State: m.service.options.State, Random: rand.New(rand.NewPCG(1, 2))})
	m.service.proposer.setConfig(m.service.acceptor.status().Config)
	return m
}

func putRequest(id uint64, value string) *CallRequest {
	name := coordination.Name{Kind: coordination.KindGroup, ID: "g."}
	return &CallRequest{ID: id, Operation: coordination.Operation{Kind: coordination.Put, Name: name, Key: "g.k", Value: value}, Timeout: callTimeout}
}

// fill puts values until a put is not executed, and returns the number of puts that were, and the ID of the next call.
func (m *machine) fill(t *testing.T, caller string) (executed int, nextID uint64) {
	for id := uint64(1); id < 1000; id++ {
		replies := m.call(t, caller, putRequest(id, strings.Repeat("v", 100)+string(rune('0'+id%64))+strings.Repeat("w", int(id))))
		So(replies, ShouldHaveLength, 1)
		if replies[0].Result.Outcome == coordination.Full {
			return executed, id + 1
		}
		executed++
	}
	return executed, 0
}

// Guards against registers that grow until their process is killed for its memory or its disk is full.
func TestFullRegistersTakeNoMore(t *testing.T) {
	const caller = "10.0.0.8:1"
	Convey("An acceptor with MaxState", t, func() {
		m := newLimitedMachine(t)
		So(m.call(t, caller, incrementRequest(5000)), ShouldResemble, repliesWithCount(5000, 1))
		executed, next := m.fill(t, caller)
		So(executed, ShouldBeGreaterThan, 5)
		stored := m.service.acceptor.status().StoredBytes
		So(stored, ShouldBeBetweenOrEqual, testMaxState, testMaxState+1000)

		Convey("reports in the status that it is full", func() {
			m.now += maintenanceInterval
			m.service.proposer.tick()
			status := m.service.Status()
			So(status.Full, ShouldBeTrue)
			So(status.MaxBytes, ShouldEqual, testMaxState)
			So(status.Bytes, ShouldEqual, stored)
		})
		Convey("still serves locks and counters, also under a name that is new", func() {
			request := incrementRequest(next)
			request.Operation.Name.ID = "another"
			So(m.call(t, caller, request), ShouldResemble, repliesWithCount(next, 1))
		})
		Convey("still serves the names that it has, and a put that is repeated", func() {
			So(m.call(t, caller, incrementRequest(next)), ShouldResemble, repliesWithCount(next, 2))
			first := putRequest(next+1, strings.Repeat("v", 100)+"1w")
			So(m.call(t, caller, first)[0].Result, ShouldResemble, coordination.Result{Outcome: coordination.Done, Revision: 1})
		})
		Convey("has room again once events need not be kept any longer", func() {
			m.now += m.service.options.State.History + 1
			m.service.acceptor.step(t.Context(), m.service.acceptor.acceptor.Tick(m.now))
			m.service.acceptor.publishSize()
			So(m.call(t, caller, putRequest(next, "later"))[0].Result.Outcome, ShouldEqual, coordination.Done)
		})
	})
	Convey("A proposer beside a full acceptor of another machine", t, func() {
		m := newLimitedMachine(t)
		config := m.service.proposer.proposer.Config()
		config.Epoch, config.Acceptors = 2, append(config.Acceptors, testPeer)
		m.service.proposer.setConfig(config)
		m.service.proposer.onHello(testPeer.Address, &register.Hello{Config: config, Self: testPeer, Full: true})
		So(m.service.hasRoom(), ShouldBeFalse)

		Convey("has room once that acceptor reports that it has", func() {
			m.service.proposer.onHello(testPeer.Address, &register.Hello{Config: config, Self: testPeer})
			So(m.service.hasRoom(), ShouldBeTrue)
		})
		Convey("has room once that acceptor has been silent for fullTTL", func() {
			m.now += fullTTL
			So(m.service.hasRoom(), ShouldBeTrue)
		})
		Convey("does not mind a machine that is no acceptor", func() {
			m.service.proposer.onHello(testPeer.Address, &register.Hello{Config: config, Self: testPeer})
			m.service.proposer.onHello("10.0.0.7:1", &register.Hello{Config: config, Self: replication.Replica{Address: "10.0.0.7:1"}, Full: true})
			So(m.service.hasRoom(), ShouldBeTrue)
		})
	})
}

// Guards against names that are refused as new ones by a proposer that has just started, although the full acceptors store them: reads of acknowledged keys would fail then.
func TestFullRegistersServeStoredNamesAfterRestartOfTheProposer(t *testing.T) {
	const caller = "10.0.0.8:1"
	Convey("A proposer that starts beside a full acceptor serves a name that the acceptor stores", t, func() {
		m := newLimitedMachine(t)
		So(m.call(t, caller, incrementRequest(5000)), ShouldResemble, repliesWithCount(5000, 1))
		_, next := m.fill(t, caller)
		m.service.proposer.proposer = register.NewProposer(register.ProposerOptions{State: m.service.options.State, Random: rand.New(rand.NewPCG(3, 4))})
		m.service.proposer.setConfig(m.service.acceptor.status().Config)
		So(m.call(t, caller, incrementRequest(next)), ShouldResemble, repliesWithCount(next, 2))
	})
}
