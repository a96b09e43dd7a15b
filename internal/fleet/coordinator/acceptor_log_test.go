package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// takeMessages returns the messages that were logged since its last call.
func takeMessages(logs *observer.ObservedLogs) []string {
	var messages []string
	for _, entry := range logs.TakeAll() {
		messages = append(messages, entry.Message)
	}
	return messages
}

// Guards against changes of the acceptor set that are not logged, and against a log line for each call.
func TestAcceptorChangesAreLogged(t *testing.T) {
	Convey("An acceptor that is one of two logs", t, func() {
		core, logs := observer.New(zap.InfoLevel)
		self, peer, newcomer := replication.Replica{Address: testAddress}, testPeer, replication.Replica{Address: "10.0.0.3:1", Nonce: 7}
		previous := AcceptorStatus{
			Self: self, Config: register.Config{Epoch: 1, Acceptors: []replication.Replica{self, peer}}, ReadyEpoch: 1, StoredRegisters: 3,
		}
		next := previous
		logAcceptorChange(zap.New(core), &AcceptorStatus{Self: self}, &previous)
		So(takeMessages(logs), ShouldResemble, []string{"acceptors changed", "acceptor takes part"})

		Convey("nothing if only registers have changed", func() {
			next.StoredRegisters = 4
			logAcceptorChange(zap.New(core), &previous, &next)
			So(logs.Len(), ShouldEqual, 0)
		})
		Convey("which acceptors were added and removed, that it is sealed, and that it is ready again", func() {
			next.Config = register.Config{Epoch: 2, Acceptors: []replication.Replica{self, newcomer}, Previous: previous.Config.Acceptors}
			logAcceptorChange(zap.New(core), &previous, &next)
			So(logs.All()[0].ContextMap()["added"], ShouldResemble, []replication.Replica{newcomer})
			So(logs.All()[0].ContextMap()["removed"], ShouldResemble, []replication.Replica{peer})
			So(takeMessages(logs)[1], ShouldStartWith, "acceptor sealed")
			ready := next
			ready.ReadyEpoch = 2
			logAcceptorChange(zap.New(core), &next, &ready)
			So(takeMessages(logs), ShouldResemble, []string{"acceptor takes part"})
		})
		Convey("that it is ready, without having been sealed, if it has the registers immediately", func() {
			next.Config.Epoch, next.ReadyEpoch = 2, 2
			logAcceptorChange(zap.New(core), &previous, &next)
			So(takeMessages(logs), ShouldResemble, []string{"acceptors changed", "acceptor takes part"})
		})
	})
}

// Guards against an expired lock that is granted to another holder without being counted and logged.
func TestExpiredLockIsCounted(t *testing.T) {
	Convey("A lock", t, func() {
		core, logs := observer.New(zap.DebugLevel)
		m := newMachine("")
		m.service.options.Log = zap.New(core)
		name := coordination.Name{Kind: coordination.KindLock, ID: "l"}
		lock := coordination.NewState(coordination.KindLock, coordination.Options{})
		acquire := func(now time.Duration, holder string) register.Completion {
			op := &coordination.Operation{Kind: coordination.Acquire, Name: name, Holder: holder, Hold: time.Second}
			return register.Completion{Certainty: register.Decided, Result: lock.Execute(now, op, &coordination.Change{})}
		}
		recordedExpiries := func(c register.Completion) uint64 {
			m.service.proposer.recordLockExpiry(name, &c)
			return m.service.Status().Expired
		}
		So(recordedExpiries(acquire(0, "a")), ShouldEqual, 0)
		So(recordedExpiries(acquire(2*time.Second, "a")), ShouldEqual, 0) // the same holder acquires its expired lock again
		So(logs.Len(), ShouldEqual, 0)

		Convey("that expired and was granted to another holder is counted and logged", func() {
			So(recordedExpiries(acquire(4*time.Second, "b")), ShouldEqual, 1)
			So(logs.All()[0].ContextMap(), ShouldResemble, map[string]any{"lock": "l", "former": "a", "fence": uint64(3)})
		})
		Convey("whose grant is not decided is not counted", func() {
			c := acquire(4*time.Second, "b")
			c.Certainty = register.Unclear
			So(recordedExpiries(c), ShouldEqual, 0)
		})
	})
}
