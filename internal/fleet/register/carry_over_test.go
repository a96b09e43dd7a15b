package register

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Guards against an acceptor that was restarted while it collects, and whose process ends at the first answer, after each start again.
func TestAcceptorCollectsAfterRestart(t *testing.T) {
	Convey("An acceptor that learned of its epoch before a restart takes part once a majority of the former acceptors has answered", t, func() {
		former := FirstConfig([]string{"a:1", "b:1", "c:1"}).Acceptors
		self := replication.Replica{Address: "d:1", Nonce: 7}
		config := Config{Epoch: 2, Acceptors: []replication.Replica{former[0], former[1], self}, Previous: former}
		options := coordination.Options{History: time.Minute, MaxGroupBytes: 1000}
		before := NewAcceptor(0, InitialHardState(self.Address, self.Nonce, nil), nil, options)
		written := before.Receive(0, former[0], &Hello{Config: config}).Write
		So(written, ShouldNotBeNil)

		a := NewAcceptor(0, written.HardState, nil, options)
		So(a.Tick(0).Send, ShouldHaveLength, 3)
		a.Receive(0, former[0], &Collected{Epoch: 2})
		So(a.HardState().ReadyEpoch, ShouldEqual, 0)
		a.Receive(0, former[2], &Collected{Epoch: 2})
		So(a.HardState().ReadyEpoch, ShouldEqual, 2)
	})
}
