package replication

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Envelope is an encoded message: its kind, and its body in CBOR (RFC 8949).
type Envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// UnknownKindError reports a message of a kind that this version does not support.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("replication: unknown message kind %d", e.Kind)
}

// Encode returns the encoding of a message.
func Encode(message Message) (Envelope, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return Envelope{}, fmt.Errorf("replication: encode message: %w", err)
	}
	return Envelope{Kind: message.kind(), Body: body}, nil
}

// Decode returns the message that Encode encoded. It returns an *UnknownKindError if the kind is unknown, and another
// error if the body is not a valid message of its kind.
func Decode(e Envelope) (Message, error) {
	decode, known := decoders[e.Kind]
	if !known {
		return nil, &UnknownKindError{Kind: e.Kind}
	}
	message, err := decode(e.Body)
	if err != nil {
		return nil, fmt.Errorf("replication: decode message: %w", err)
	}
	return message, nil
}

func decodeAs[M Message](body []byte) (Message, error) {
	var message M
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	return message, nil
}

var decoders = map[Kind]func(body []byte) (Message, error){
	KindHeartbeat:          decodeAs[Heartbeat],
	KindHeartbeatAck:       decodeAs[HeartbeatAck],
	KindJoin:               decodeAs[Join],
	KindViewNotice:         decodeAs[ViewNotice],
	KindPrepare:            decodeAs[Prepare],
	KindPromise:            decodeAs[Promise],
	KindReject:             decodeAs[Reject],
	KindFetchSnapshot:      decodeAs[FetchSnapshot],
	KindFetchSnapshotReply: decodeAs[FetchSnapshotReply],
	KindInstallSnapshot:    decodeAs[InstallSnapshot],
	KindInstallSnapshotAck: decodeAs[InstallSnapshotAck],
	KindAccept:             decodeAs[Accept],
	KindAcceptAck:          decodeAs[AcceptAck],
	KindAppend:             decodeAs[Append],
	KindAppendAck:          decodeAs[AppendAck],
	KindSnapshotNeeded:     decodeAs[SnapshotNeeded],
	KindResign:             decodeAs[Resign],
	KindResignAck:          decodeAs[ResignAck],
}

// WithSnapshot returns a message with a snapshot added, which replaces the change in an Append. Messages of kinds that
// have no snapshot are returned unchanged.
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
