package replication

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzReceive checks that no kind and body of a message crash the process, and that a message from an unknown replica
// changes neither the stored view nor the stored position, unless it is of a kind that carries a view, a proposal or a
// state.
func FuzzReceive(f *testing.F) {
	view := View{Number: 1, Primary: Replica{Address: address(1)}, Members: []Replica{{Address: address(1)}}, Witnesses: []Replica{{Address: address(0)}}}
	ballot := Ballot{Round: 2, Proposer: Replica{Address: address(1)}}
	for _, message := range []Message{
		Heartbeat{View: view, Round: 1}, HeartbeatAck{Number: 1, Round: 1}, Join{Number: 3}, ViewNotice{View: view},
		Prepare{View: view, Ballot: ballot}, Promise{Number: 1, Ballot: ballot}, Reject{Number: 1, Promised: ballot},
		FetchSnapshot{Number: 1, Ballot: ballot}, FetchSnapshotReply{Number: 1, Snapshot: []byte{0}}, InstallSnapshot{Number: 1, Ballot: ballot, Snapshot: []byte{0}},
		InstallSnapshotAck{Number: 1}, Accept{Ballot: ballot, Proposal: view}, AcceptAck{Number: 1}, Append{View: view, Entry: []byte{1, 2}},
		AppendAck{Number: 1}, SnapshotNeeded{Number: 1}, Resign{Number: 0}, ResignAck{Number: 9},
	} {
		encoded, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(encoded.Kind), []byte(encoded.Body), true)
		f.Add(uint8(encoded.Kind), []byte(encoded.Body)[:len(encoded.Body)/2], false)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte, known bool) {
		c := newCluster(3, 1)
		c.run(500 * time.Millisecond)
		c.proposeAndCommit()
		target, from := c.replicas[0], Replica{Address: "10.9.9.9:1", Nonce: 5}
		if known {
			from = c.replicas[1].disk.Self
		}
		before := target.disk
		message, err := Decode(Envelope{Kind: Kind(kind), Body: cbor.RawMessage(body)})
		if err != nil {
			return
		}
		c.apply(target, target.node.Receive(c.now, from, message))
		if !known && message.kind() != KindViewNotice && message.kind() != KindHeartbeat && message.kind() != KindAppend &&
			message.kind() != KindPrepare && message.kind() != KindInstallSnapshot && message.kind() != KindAccept {
			if target.disk.View.Number != before.View.Number || target.disk.Position != before.Position {
				t.Errorf("a %T from an unknown replica changes the stored view or position", message)
			}
		}
		c.run(200 * time.Millisecond)
	})
}
