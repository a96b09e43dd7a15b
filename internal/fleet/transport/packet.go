package transport

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind says what a message's body is. The callers number the kinds; the numbers are sent.
type Kind uint8

// Packet is a message as it is sent. The numbers of its fields are part of the protocol.
type Packet struct {
	Fleet uint32          `cbor:"1,keyasint"` // tells fleets apart that share addresses
	Kind  Kind            `cbor:"2,keyasint"`
	From  string          `cbor:"3,keyasint"` // the sender's internal address
	Nonce uint64          `cbor:"4,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"5,keyasint"`
	Gzip  bool            `cbor:"6,keyasint,omitempty"` // the sender understands compressed messages
}

// encode returns the packet of a message. It panics for a message that CBOR has no form for, which is a mistake in the code.
func (t *Transport) encode(kind Kind, nonce uint64, message any) []byte {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("transport: a message of kind %d can't be encoded: %v", kind, err))
	}
	packet, err := cbor.Marshal(&Packet{Fleet: t.fleet, Kind: kind, From: t.address, Nonce: nonce, Body: body, Gzip: true})
	if err != nil {
		panic(fmt.Sprintf("transport: a packet can't be encoded: %v", err))
	}
	return packet
}
