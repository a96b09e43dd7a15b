package replication

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against messages that are encoded but can't be decoded, or that change in between.
func TestCodecKeepsMessages(t *testing.T) {
	Convey("Messages are decoded as they were encoded", t, func() {
		view := View{Number: 3, Primary: Replica{Address: "a:1", Nonce: 4}, Members: []Replica{{Address: "a:1", Nonce: 4}},
			Witnesses: []Replica{{Address: "b:1"}}}
		ballot := Ballot{Round: 5, Proposer: Replica{Address: "b:1"}}
		for _, message := range []Message{
			Heartbeat{View: view, Round: 2, ConfirmedAgeMs: 7}, HeartbeatAck{Number: 3, Round: 2, Current: true}, Join{Number: 1},
			ViewNotice{View: view}, Prepare{View: view, Ballot: ballot}, Promise{Number: 4, Ballot: ballot, Proposal: view},
			Reject{Number: 4, Promised: ballot}, FetchSnapshot{Number: 4, Ballot: ballot}, FetchSnapshotReply{Number: 4, Snapshot: []byte("s")},
			InstallSnapshot{Number: 4, Snapshot: []byte("s")}, InstallSnapshotAck{Number: 4}, Accept{Ballot: ballot, Proposal: view},
			AcceptAck{Number: 4}, Append{View: view, Entry: []byte("e")}, AppendAck{Number: 3}, SnapshotNeeded{Number: 3}, Resign{Number: 3},
		} {
			encoded, err := Encode(message)
			So(err, ShouldBeNil)
			decoded, err := Decode(encoded)
			So(err, ShouldBeNil)
			So(decoded.kind(), ShouldEqual, message.kind())
			again, err := Encode(decoded)
			So(err, ShouldBeNil)
			So(again, ShouldResemble, encoded)
		}
	})
	Convey("An unknown kind and a truncated body are errors", t, func() {
		_, err := Decode(Envelope{Kind: 200})
		var unknown *UnknownKindError
		So(errors.As(err, &unknown), ShouldBeTrue)
		So(unknown.Kind, ShouldEqual, 200)
		_, err = Decode(Envelope{Kind: KindPrepare, Body: []byte{0xa2, 0x01}})
		So(err, ShouldNotBeNil)
	})
}
