package register

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

var testOptions = coordination.Options{History: 30 * time.Second, MaxGroupBytes: 1 << 20}

// restarted returns the acceptor as restored from a disk that holds a single write.
func restarted(w *Write) *Acceptor {
	return NewAcceptor(0, w.HardState, [][]Stored{w.Changed}, testOptions)
}

// Guards against an acceptor that never becomes ready if its process ended between adopting its epoch and becoming ready.
func TestAcceptorRestartsWhileItCollects(t *testing.T) {
	Convey("An acceptor that restarts after it has adopted its epoch collects and becomes ready", t, func() {
		founder := replication.Replica{Address: "a"}
		joiner := NewAcceptor(0, InitialHardState("b", 7, nil), nil, testOptions)
		config := Config{Epoch: 2, Acceptors: []replication.Replica{founder, {Address: "b", Nonce: 7}}, Previous: []replication.Replica{founder}}
		out := joiner.Receive(0, founder, &Hello{Config: config})
		So(out.Write, ShouldNotBeNil)

		joiner = restarted(out.Write)
		out = joiner.Tick(time.Second)
		So(out.Send, ShouldResemble, []Outgoing{{To: "a", Message: &Collect{Config: config, InPieces: true}}})
		name := coordination.Name{Kind: coordination.KindCounter, ID: "n"}
		version := Version{Ballot: Ballot{Epoch: 1, Round: 1}, Sequence: 1}
		out = joiner.Receive(time.Second, founder, &Collected{Epoch: 2, Ready: true, Registers: []Stored{
			{Name: name, Accepted: version, Change: &coordination.Change{Counter: &coordination.CounterRecord{Count: 5}}},
		}})
		So(joiner.isReady(), ShouldBeTrue)
		So(out.Write.Replace, ShouldBeTrue)
		So(restarted(out.Write).Snapshot(0), ShouldResemble, joiner.Snapshot(0))
	})
}
