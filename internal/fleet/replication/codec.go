package replication

import (
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// Encoded is a message as it travels.
type Encoded struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Encode writes a message.
func Encode(message Message) (Encoded, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return Encoded{}, merry.Prepend(err, "replication: encode")
	}
	return Encoded{Kind: message.kind(), Body: body}, nil
}

// Decode reads what Encode wrote.
func Decode(e Encoded) (Message, error) {
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
	KindNewer: decoder[Newer], KindPrepare: decoder[Prepare], KindPromise: decoder[Promise], KindReject: decoder[Reject],
	KindFetch: decoder[Fetch], KindFetched: decoder[Fetched], KindInstall: decoder[Install],
	KindInstalled: decoder[Installed], KindAccept: decoder[Accept], KindAccepted: decoder[Accepted],
	KindStore: decoder[Store], KindStored: decoder[Stored], KindMissing: decoder[Missing],
	KindResign: decoder[Resign], KindReleased: decoder[Released],
}

// WithState returns a message with a snapshot filled in.
func WithState(message Message, snapshot []byte) Message {
	switch message := message.(type) {
	case Fetched:
		message.Snapshot = snapshot
		return message
	case Install:
		message.Snapshot = snapshot
		return message
	case Store:
		message.Snapshot, message.Entry = snapshot, nil
		return message
	}
	return message
}
