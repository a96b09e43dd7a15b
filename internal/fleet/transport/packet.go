package transport

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind identifies the type of a message's body. Callers assign the numbers, which are part of the protocol.
type Kind uint8

// Packet is a message with its envelope, as it is sent. Its field numbers are part of the protocol.
type Packet struct {
	Fleet uint32          `cbor:"1,keyasint"` // distinguishes fleets that share addresses
	Kind  Kind            `cbor:"2,keyasint"`
	From  string          `cbor:"3,keyasint"`           // the sender's internal address
	Nonce uint64          `cbor:"4,keyasint,omitempty"` // of the sending replica's identity, where a replica sends the message
	Body  cbor.RawMessage `cbor:"5,keyasint"`
	Gzip  bool            `cbor:"6,keyasint,omitempty"` // the sender supports compressed messages
}

// encode returns the encoded packet of a message. It panics if CBOR can't represent the message: that is a programming error.
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
