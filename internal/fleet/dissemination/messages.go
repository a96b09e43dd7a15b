package dissemination

import (
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Heartbeat is a router's heartbeat to its monitors, and the answer to one that asks.
type Heartbeat struct {
	WantsReply bool `cbor:"1,keyasint,omitempty"` // the sender has heard nothing for long, and wants one back
}

// Pull asks a router for what the sender lacks.
type Pull struct {
	Self      membership.Member  `cbor:"1,keyasint"`
	Round     uint64             `cbor:"2,keyasint"` // names the question
	Sequence  uint64             `cbor:"3,keyasint"` // of the configuration that the sender holds
	Members   membership.Digests `cbor:"4,keyasint"`
	Endpoints registry.Digests   `cbor:"5,keyasint"`
}

// PullReply tells a puller how fresh the answerer's configuration is. What the puller lacks beside follows as News.
type PullReply struct {
	Round    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Fresh    bool   `cbor:"3,keyasint"` // AgeMs is set
	AgeMs    uint64 `cbor:"4,keyasint"` // how long ago the configuration of that sequence surely was the newest
	View     uint64 `cbor:"5,keyasint"`
	Primary  string `cbor:"6,keyasint"`
}

// Update is passed on as soon as it is known.
type Update struct {
	Members   []membership.Member `cbor:"1,keyasint,omitempty"`
	Endpoints []registry.Endpoint `cbor:"2,keyasint,omitempty"`
	Sequence  uint64              `cbor:"3,keyasint,omitempty"` // a configuration that was acknowledged
	Change     []byte              `cbor:"4,keyasint,omitempty"` // that made it of the one before
	Hops      uint8               `cbor:"5,keyasint,omitempty"` // how often it was passed on
	View      uint64              `cbor:"6,keyasint,omitempty"` // a view that is new
	Primary   string              `cbor:"7,keyasint,omitempty"` // of the view
}

// FetchRequest asks for the configurations after the sequence.
type FetchRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// FetchReply holds either the orders after the asked sequence or the whole configuration.
type FetchReply struct {
	Sequence uint64   `cbor:"1,keyasint"` // after all orders, or of the document
	Changes   [][]byte `cbor:"2,keyasint,omitempty"`
	Document []byte   `cbor:"3,keyasint,omitempty"`
	Fresh    bool     `cbor:"4,keyasint,omitempty"` // AgeMs is set
	AgeMs    uint64   `cbor:"5,keyasint,omitempty"` // as in Answer, at the time of this answer
}
