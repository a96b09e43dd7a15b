package coordinator

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// newAcceptorMachine returns a machine whose acceptor has made its identity durable.
func newAcceptorMachine(t *testing.T, directory string) (*machine, *acceptorLoop) {
	m := newMachine(directory)
	loop := m.service.acceptor
	So(loop.status().Durable, ShouldBeFalse)
	So(loop.writeIdentity(t.Context()), ShouldBeTrue)
	So(loop.status().Durable, ShouldBeTrue)
	return m, loop
}

// handleAsBatch has the acceptor handle messages as one batch.
func (l *acceptorLoop) handleAsBatch(t *testing.T, messages ...any) {
	for _, message := range messages {
		l.inbox <- receivedMessage{from: testPeer, message: message}
	}
	l.handleBatch(t.Context(), <-l.inbox)
	So(l.inbox, ShouldBeEmpty)
}

// acknowledgedCounters returns the names of the counters whose changes were acknowledged as accepted.
func acknowledgedCounters(messages []any) []string {
	var names []string
	for _, message := range messages {
		reply, ok := message.(*register.Reply)
		if !ok {
			continue
		}
		for _, ack := range reply.Acks {
			if ack.Outcome == register.Accepted {
				names = append(names, ack.Name.ID)
			}
		}
	}
	return names
}

func TestAcceptorSharesSyncs(t *testing.T) {
	Convey("The changes of a batch of messages are made durable by one sync, before any reply is sent", t, func() {
		directory := t.TempDir()
		m, loop := newAcceptorMachine(t, directory)
		defer loop.store.close()
		m.onSend = func(sent sentMessage) {
			counts := storedCounts(directory)
			for _, name := range acknowledgedCounters([]any{sent.message}) {
				So(counts, ShouldContainKey, name)
			}
		}
		before := m.service.Counters.Syncs.Load()
		loop.handleAsBatch(t, acceptRequest("a", 1, 1), acceptRequest("b", 1, 2), acceptRequest("c", 1, 3))
		So(m.service.Counters.Syncs.Load()-before, ShouldEqual, 1)
		So(acknowledgedCounters(m.takeSent()), ShouldResemble, []string{"a", "b", "c"})

		Convey("and a message that changes nothing needs no sync", func() {
			loop.handleAsBatch(t, acceptRequest("a", 1, 1))
			So(m.service.Counters.Syncs.Load()-before, ShouldEqual, 1)
			So(acknowledgedCounters(m.takeSent()), ShouldResemble, []string{"a"})
		})
		Convey("and a new acceptor set is made durable together with the changes before it in the batch", func() {
			next := register.Config{
				Epoch: 2, Acceptors: []replication.Replica{{Address: testAddress}}, Previous: []replication.Replica{{Address: testAddress}},
			}
			loop.handleAsBatch(t, acceptRequest("d", 1, 4), &register.Hello{Config: next}, acceptRequest("e", 1, 5))
			So(storedCounts(directory), ShouldContainKey, "d")
			So(storedCounts(directory), ShouldNotContainKey, "e") // its request is of an earlier epoch
			So(loop.status().ReadyEpoch, ShouldEqual, 2)
			So(loop.status().Config, ShouldResemble, next)
		})
	})
	Convey("More messages than fit into one batch are made durable by several syncs", t, func() {
		m, loop := newAcceptorMachine(t, t.TempDir())
		defer loop.store.close()
		before := m.service.Counters.Syncs.Load()
		for i := range maxBatchedMessages + 2 {
			loop.inbox <- receivedMessage{from: testPeer, message: acceptRequest(fmt.Sprint(i), 1, 1)}
		}
		loop.handleBatch(t.Context(), <-loop.inbox)
		So(len(loop.inbox), ShouldEqual, 1)
		loop.handleBatch(t.Context(), <-loop.inbox)
		So(m.service.Counters.Syncs.Load()-before, ShouldEqual, 2)
		So(acknowledgedCounters(m.takeSent()), ShouldHaveLength, maxBatchedMessages+2)
	})
	Convey("Without a disk nothing is synced", t, func() {
		m, loop := newAcceptorMachine(t, "")
		loop.handleAsBatch(t, acceptRequest("a", 1, 1))
		So(acknowledgedCounters(m.takeSent()), ShouldResemble, []string{"a"})
		So(m.service.Counters.Syncs.Load(), ShouldEqual, 0)
		So(loop.status().StoredRegisters, ShouldEqual, 1)
	})
}

// Guards against a reply that is sent although its change is not on disk, and against a change that is kept in memory only.
func TestAcceptorSurvivesFailedWrites(t *testing.T) {
	Convey("An acceptor whose write fails", t, func() {
		directory := t.TempDir()
		m, loop := newAcceptorMachine(t, directory)
		defer loop.store.close()
		loop.handleAsBatch(t, acceptRequest("a", 1, 1))
		So(acknowledgedCounters(m.takeSent()), ShouldResemble, []string{"a"})
		failNextWrite(directory, loop.store.log)
		loop.handleAsBatch(t, acceptRequest("a", 5, 7), acceptRequest("b", 1, 1))

		Convey("sends nothing", func() {
			So(m.takeSent(), ShouldBeEmpty)
			So(m.service.Counters.FailedSyncs.Load(), ShouldEqual, 1)
		})
		Convey("is in the same state as after a restart", func() {
			stored := loop.acceptor.Snapshot(0)
			So(stored, ShouldHaveLength, 1)
			So(stored[0].Change.Counter.Count, ShouldEqual, 1)
			So(stored[0].Promised.Round, ShouldEqual, 1)
			So(loop.status().StoredRegisters, ShouldEqual, 1)
		})
		Convey("continues with the same identity and its earlier registers", func() {
			m.takeSent()
			loop.handleAsBatch(t, acceptRequest("b", 1, 2))
			So(acknowledgedCounters(m.takeSent()), ShouldResemble, []string{"b"})
			So(storedCounts(directory), ShouldResemble, map[string]uint64{"a": 1, "b": 2})
			So(loop.status().Self, ShouldResemble, replication.Replica{Address: testAddress})
		})
	})
	Convey("An acceptor that can't write a new acceptor set does not adopt it", t, func() {
		directory := t.TempDir()
		m, loop := newAcceptorMachine(t, directory)
		defer loop.store.close()
		failNextWrite(directory, loop.store.log)
		next := register.Config{Epoch: 2, Acceptors: []replication.Replica{testPeer}, Previous: []replication.Replica{{Address: testAddress}}}
		loop.handleAsBatch(t, acceptRequest("a", 1, 1), &register.Collect{Config: next})
		So(m.takeSent(), ShouldBeEmpty)
		So(loop.status().Config.Epoch, ShouldEqual, 1)
		loop.handleAsBatch(t, &register.Collect{Config: next})
		sent := m.takeSent()
		So(sent, ShouldHaveLength, 1)
		So(sent[0].(*register.Collected).Registers, ShouldBeEmpty)
		So(loop.status().Config.Epoch, ShouldEqual, 2)
	})
}

func TestAcceptorAnswersUnderItsNonce(t *testing.T) {
	Convey("An acceptor's replies are sent with the nonce that is stored on its disk", t, func() {
		directory := t.TempDir()
		store, err := openStore(storeOptions(directory))
		So(err, ShouldBeNil)
		hardState := store.hardState
		hardState.Config, hardState.ReadyEpoch = register.Config{Epoch: 1, Acceptors: []replication.Replica{hardState.Self}}, 1
		So(store.replace(hardState, nil), ShouldBeNil)
		store.close()

		m, loop := newAcceptorMachine(t, directory)
		defer loop.store.close()
		loop.handleAsBatch(t, &register.Request{Epoch: 1, Prepares: []register.Prepare{
			{Name: coordination.Name{Kind: coordination.KindLock, ID: "l"}, Ballot: register.Ballot{Epoch: 1, Round: 1}}}})
		So(m.sent, ShouldHaveLength, 1)
		So(m.sent[0].nonce, ShouldEqual, hardState.Self.Nonce)
	})
}
