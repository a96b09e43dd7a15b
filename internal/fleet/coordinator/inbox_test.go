package coordinator

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Guards against a slow acceptor whose inbox holds many copies of complete groups, so that the process is killed for its memory.
func TestLargeMessagesInInboxesAreBounded(t *testing.T) {
	const largeBytes = 1 << 20
	Convey("A machine that doesn't get on", t, func() {
		m, loop := newAcceptorMachine(t, "")
		for i := range inboxSize {
			m.service.Receive(testPeer.Address, 0, acceptRequest(fmt.Sprint(i), 1, 1), largeBytes)
		}

		Convey("holds no more than transport.MaxQueuedBytes of large messages, and counts those that it drops", func() {
			So(len(loop.inbox), ShouldEqual, transport.MaxQueuedBytes/largeBytes)
			So(m.service.Counters.Dropped.Load(), ShouldEqual, inboxSize-transport.MaxQueuedBytes/largeBytes)
			m.service.Receive(testPeer.Address, 0, &register.Reply{Epoch: 1}, largeBytes)
			So(m.service.proposer.inbox, ShouldBeEmpty)
		})
		Convey("takes small messages all the same", func() {
			m.service.Receive(testPeer.Address, 0, acceptRequest("small", 1, 1), transport.SmallMessageBytes)
			So(len(loop.inbox), ShouldEqual, transport.MaxQueuedBytes/largeBytes+1)
		})
		Convey("takes large ones again as soon as it has handled those", func() {
			loop.handleBatch(t.Context(), <-loop.inbox)
			So(m.service.queued.Used(), ShouldEqual, 0)
			m.service.Receive(testPeer.Address, 0, acceptRequest("again", 1, 1), largeBytes)
			So(len(loop.inbox), ShouldEqual, 1)
		})
	})
	Convey("A single message that exceeds transport.MaxQueuedBytes is taken", t, func() {
		m, loop := newAcceptorMachine(t, "")
		m.service.Receive(testPeer.Address, 0, acceptRequest("largest", 1, 1), transport.MaxQueuedBytes+1)
		So(len(loop.inbox), ShouldEqual, 1)
	})
}
