package replication

import (
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// Envelope is a message as it travels.
type Envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Encode writes a message.
func Encode(message Message) (Envelope, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return Envelope{}, merry.Prepend(err, "replication: encode")
	}
	return Envelope{Kind: message.kind(), Body: body}, nil
}

// Decode reads what Encode wrote.
func Decode(e Envelope) (Message, error) {
	read, known := decoders[e.Kind]
	if !known {
		return nil, fmt.Errorf("replication: unknown kind %d", e.Kind)
	}
	message, err := read(e.Body)
	if err != nil {
		return nil, merry.Prepend(err, "replication: decode")
	}
	return message, nil
}

func decoder[M Message](body []byte) (Message, error) {
	var m M
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

var decoders = map[Kind]func([]byte) (Message, error){
	KindHeartbeat: decoder[Heartbeat], KindHeartbeatAck: decoder[HeartbeatAck], KindJoin: decoder[Join],
	KindViewNotice: decoder[ViewNotice], KindPrepare: decoder[Prepare], KindPromise: decoder[Promise], KindReject: decoder[Reject],
	KindFetchSnapshot: decoder[FetchSnapshot], KindFetchSnapshotReply: decoder[FetchSnapshotReply], KindInstallSnapshot: decoder[InstallSnapshot],
	KindInstallSnapshotAck: decoder[InstallSnapshotAck], KindAccept: decoder[Accept], KindAcceptAck: decoder[AcceptAck],
	KindAppend: decoder[Append], KindAppendAck: decoder[AppendAck], KindSnapshotNeeded: decoder[SnapshotNeeded],
	KindResign: decoder[Resign], KindResignAck: decoder[ResignAck],
}

// WithSnapshot returns a message with a snapshot filled in.
func WithSnapshot(message Message, snapshot []byte) Message {
	switch message := message.(type) {
	case FetchSnapshotReply:
		message.Snapshot = snapshot
		return message
	case InstallSnapshot:
		message.Snapshot = snapshot
		return message
	case Append:
		message.Snapshot, message.Entry = snapshot, nil
		return message
	}
	return message
}
