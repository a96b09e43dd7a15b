package register

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Guards against an acceptor that crashes on the first Collected after a restart during collection, again after each start.
func TestAcceptorCollectsAfterRestart(t *testing.T) {
	Convey("An acceptor that adopted its epoch before a restart becomes ready once a majority of the former acceptors has answered", t, func() {
		former := FirstConfig([]string{"a:1", "b:1", "c:1"}).Acceptors
		self := replication.Replica{Address: "d:1", Nonce: 7}
		config := Config{Epoch: 2, Acceptors: []replication.Replica{former[0], former[1], self}, Previous: former}
		options := coordination.Options{History: time.Minute, MaxGroupBytes: 1000}
		before := NewAcceptor(0, InitialHardState(self.Address, self.Nonce, nil), nil, options)
		written := before.Receive(0, former[0], &Hello{Config: config}).Write
		So(written, ShouldNotBeNil)

		a := NewAcceptor(0, written.HardState, nil, options)
		So(a.Tick(0).Send, ShouldHaveLength, 3)
		a.Receive(0, former[0], &Collected{Epoch: 2, Ready: true})
		So(a.HardState().ReadyEpoch, ShouldEqual, 0)
		a.Receive(0, former[2], &Collected{Epoch: 2, Ready: true})
		So(a.HardState().ReadyEpoch, ShouldEqual, 2)
	})
}

// Guards against a change of acceptors that completes while acceptors of the previous change are still collecting, after
// which the loss of one disk stops the service permanently. Found by seed 1834 of the simulation "six, three at the start".
func TestAcceptorsThatAChangeOvertookAreSealed(t *testing.T) {
	options := coordination.Options{History: time.Minute, MaxGroupBytes: 1000}
	founders := FirstConfig([]string{"a:1", "b:1", "c:1"}).Acceptors
	d, e, f := replication.Replica{Address: "d:1", Nonce: 4}, replication.Replica{Address: "e:1", Nonce: 5}, replication.Replica{Address: "f:1", Nonce: 6}
	second := Config{Epoch: 2, Acceptors: append(slices.Clone(founders), d, e), Previous: founders}
	third := Config{Epoch: 3, Acceptors: []replication.Replica{founders[1], founders[2], d, e, f}, Previous: second.Acceptors}
	Convey("A former acceptor that was still collecting is sealed, and reports that it did not take part", t, func() {
		overtaken := NewAcceptor(0, HardState{Self: founders[0], Config: second, ReadyEpoch: 1}, nil, options)
		out := overtaken.Receive(0, e, &Collect{Config: third})
		So(out.Write.HardState.Config.Epoch, ShouldEqual, 3)
		So(out.Send, ShouldHaveLength, 1)
		So(out.Send[0].Message, ShouldResemble, &Collected{Epoch: 3, Registers: []Stored{}})
	})
	Convey("A sealed majority of the former acceptors is sufficient if one of them took part", t, func() {
		collector := NewAcceptor(0, HardState{Self: e, Config: third}, nil, options)
		collector.Receive(0, founders[0], &Collected{Epoch: 3})
		collector.Receive(0, d, &Collected{Epoch: 3})
		So(collector.HardState().ReadyEpoch, ShouldEqual, 0)
		collector.Receive(0, founders[1], &Collected{Epoch: 3, Ready: true})
		So(collector.HardState().ReadyEpoch, ShouldEqual, 3)
	})
	Convey("A former acceptor that took part is not sufficient without a sealed majority", t, func() {
		collector := NewAcceptor(0, HardState{Self: f, Config: third}, nil, options)
		collector.Receive(0, founders[1], &Collected{Epoch: 3, Ready: true})
		collector.Receive(0, founders[0], &Collected{Epoch: 3})
		So(collector.HardState().ReadyEpoch, ShouldEqual, 0)
		collector.Receive(0, d, &Collected{Epoch: 3})
		So(collector.HardState().ReadyEpoch, ShouldEqual, 3)
	})
}
