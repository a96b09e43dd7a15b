package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// newProposerMachine returns a machine whose proposer has the initial configuration, with the machine's own acceptor.
func newProposerMachine(t *testing.T) *machine {
	m, _ := newAcceptorMachine(t, "")
	m.service.proposer.tick()
	m.drainInboxes(t)
	So(m.service.proposer.proposer.Config().Epoch, ShouldEqual, 1)
	m.takeSent()
	return m
}

// drainInboxes has both loops handle their queued messages until both inboxes are empty.
func (m *machine) drainInboxes(t *testing.T) {
	for {
		select {
		case message := <-m.service.acceptor.inbox:
			m.service.acceptor.handleBatch(t.Context(), message)
		case message := <-m.service.proposer.inbox:
			m.service.proposer.receive(message)
		default:
			return
		}
	}
}

// call has the proposer receive a call from another machine and returns the replies to that machine, with Process checked and
// cleared.
func (m *machine) call(t *testing.T, from string, request *CallRequest) []*CallReply {
	m.service.Receive(from, 0, request, 0)
	m.drainInboxes(t)
	var replies []*CallReply
	for _, sent := range m.sent {
		if reply, ok := sent.message.(*CallReply); ok && sent.to == from {
			So(reply.Process, ShouldEqual, m.service.proposer.process)
			withoutProcess := *reply
			withoutProcess.Process = 0
			replies = append(replies, &withoutProcess)
		}
	}
	m.sent = nil
	return replies
}

func incrementRequest(id uint64) *CallRequest {
	return &CallRequest{
		ID: id, Operation: coordination.Operation{Kind: coordination.Increment, Name: counterName}, Timeout: callTimeout,
	}
}

func repliesWithCount(id, count uint64) []*CallReply {
	return []*CallReply{{ID: id, Certainty: register.Decided, Result: coordination.Result{Outcome: coordination.Done, Count: count}}}
}

// Guards against a call that is executed twice because its caller resent it.
func TestRepeatedCallIsExecutedOnce(t *testing.T) {
	const caller, other = "10.0.0.8:1", "10.0.0.9:1"
	Convey("A call", t, func() {
		m := newProposerMachine(t)

		Convey("whose copy arrives after the reply gets the same reply", func() {
			So(m.call(t, caller, incrementRequest(1)), ShouldResemble, repliesWithCount(1, 1))
			So(m.call(t, caller, incrementRequest(1)), ShouldResemble, repliesWithCount(1, 1))
			So(m.service.Counters.Duplicates.Load(), ShouldEqual, 1)
			So(m.call(t, caller, incrementRequest(2)), ShouldResemble, repliesWithCount(2, 2))
		})
		Convey("whose copies arrive while it is in progress gets replies without a certainty, and one result", func() {
			m.service.proposer.onCall(caller, incrementRequest(1))
			m.service.proposer.onCall(caller, incrementRequest(1))
			inProgressReply := &CallReply{ID: 1}
			So(m.call(t, caller, incrementRequest(1)), ShouldResemble, append([]*CallReply{inProgressReply, inProgressReply}, repliesWithCount(1, 1)...))
			So(m.service.Counters.Duplicates.Load(), ShouldEqual, 2)
		})
		Convey("from another machine is another call even if it has the same ID", func() {
			So(m.call(t, caller, incrementRequest(1)), ShouldResemble, repliesWithCount(1, 1))
			So(m.call(t, other, incrementRequest(1)), ShouldResemble, repliesWithCount(1, 2))
		})
		Convey("is removed after its time-out and replyTTL, when no copy is expected any more", func() {
			So(m.call(t, caller, incrementRequest(1)), ShouldResemble, repliesWithCount(1, 1))
			m.now += callTimeout + replyTTL
			m.service.proposer.tick()
			So(m.call(t, caller, incrementRequest(1)), ShouldResemble, repliesWithCount(1, 1))
			m.now += maintenanceInterval
			m.service.proposer.tick()
			So(m.service.proposer.calls, ShouldBeEmpty)
			So(m.service.proposer.keysByCallID, ShouldBeEmpty)
		})
		Convey("of an operation that does not fit the kind of its name is ignored", func() {
			request := incrementRequest(1)
			request.Operation.Name.Kind = coordination.KindLock
			So(m.call(t, caller, request), ShouldBeEmpty)
			So(m.service.proposer.calls, ShouldBeEmpty)
		})
	})
}

func TestCallsWithoutMajority(t *testing.T) {
	const caller = "10.0.0.8:1"
	Convey("A proposer whose acceptors do not reply", t, func() {
		m := newMachine("")
		m.service.proposer.setConfig(register.Config{Epoch: 1, Acceptors: []replication.Replica{testPeer}})
		m.now = time.Second
		So(m.call(t, caller, incrementRequest(1)), ShouldBeEmpty)

		Convey("replies at the time-out that the call was not executed if no accept request was sent for it", func() {
			m.now += callTimeout
			m.service.proposer.tick()
			So(m.call(t, caller, incrementRequest(1)), ShouldContain, &CallReply{ID: 1, Certainty: register.NotExecuted})
		})
		Convey("replies at the time-out that the outcome is unclear if an accept request was sent for it", func() {
			ballot := register.Ballot{}
			m.service.proposer.onCall(caller, incrementRequest(1))
			m.service.proposer.execute(m.service.proposer.proposer.Tick(m.now + time.Millisecond))
			m.now += 500 * time.Millisecond // the proposer resends its prepare requests
			m.service.proposer.tick()
			for _, message := range m.takeSent() {
				if request, ok := message.(*register.Request); ok {
					ballot = request.Prepares[0].Ballot
				}
			}
			So(ballot.Round, ShouldBeGreaterThan, 0)
			m.service.proposer.receive(receivedMessage{from: testPeer, message: &register.Reply{
				Epoch: 1, Promises: []register.Promise{{Name: counterName, Ballot: ballot}}}})
			m.now += callTimeout
			m.service.proposer.tick()
			So(m.call(t, caller, incrementRequest(1)), ShouldContain, &CallReply{ID: 1, Certainty: register.Unclear})
		})
	})
}

// Guards against a call that one process refused and a later process at the same address executes.
func TestCallOfFormerProcessIsNotExecuted(t *testing.T) {
	Convey("A copy of a call that is bound to an earlier process gets a reply without being executed", t, func() {
		m := newProposerMachine(t)
		request := incrementRequest(1)
		request.Process = m.service.proposer.process + 1
		So(m.call(t, "10.0.0.8:1", request), ShouldResemble, []*CallReply{{ID: 1}})
		So(m.service.proposer.calls, ShouldBeEmpty)
		request.Process = m.service.proposer.process
		So(m.call(t, "10.0.0.8:1", request), ShouldResemble, repliesWithCount(1, 1))
	})
}
