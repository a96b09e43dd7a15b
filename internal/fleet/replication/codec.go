package replication

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Envelope is a message as it travels: its kind, and its encoding (CBOR, RFC 8949).
type Envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// UnknownKindError says that a message is of a kind that this version does not know.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("replication: unknown kind %d", e.Kind) }

// Encode returns a message as it travels.
func Encode(message Message) (Envelope, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return Envelope{}, fmt.Errorf("replication: encode: %w", err)
	}
	return Envelope{Kind: message.kind(), Body: body}, nil
}

// Decode reads what Encode returned. An error is an *UnknownKindError, or says why the body is no message of its kind.
func Decode(e Envelope) (Message, error) {
	decode, known := decoders[e.Kind]
	if !known {
		return nil, &UnknownKindError{Kind: e.Kind}
	}
	message, err := decode(e.Body)
	if err != nil {
		return nil, fmt.Errorf("replication: decode: %w", err)
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

// WithSnapshot returns a message with a snapshot added. Messages that carry none are returned as they are.
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
