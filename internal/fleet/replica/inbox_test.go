package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Guards against a replica that waits for its disk while large messages pile up before it, so that the process is killed for its memory.
func TestLargeMessagesBeforeABusyReplicaAreBounded(t *testing.T) {
	Convey("While the replica's goroutine is busy, large messages wait up to transport.MaxQueuedBytes", t, func() {
		const largeBytes = 1 << 20
		r, _ := startSingle("", true)
		defer r.Close()
		busy, goOn := make(chan struct{}), make(chan struct{})
		r.enqueue(func() {
			close(busy)
			<-goOn
		})
		<-busy
		encoded, err := replication.Encode(&replication.Append{Entry: make([]byte, largeBytes)})
		So(err, ShouldBeNil)
		for range inboxSize {
			So(r.Deliver(replication.Replica{Address: "10.0.0.2:1"}, encoded), ShouldBeNil)
		}
		So(len(r.inbox), ShouldEqual, transport.MaxQueuedBytes/len(encoded.Body))
		close(goOn)
		handled := make(chan struct{})
		r.enqueue(func() { close(handled) })
		<-handled
		So(r.queued.Used(), ShouldEqual, 0)
	})
}
