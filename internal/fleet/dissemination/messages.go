package dissemination

import (
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// The messages travel as CBOR maps with the integer keys of their tags; a key is never given another meaning.

// Heartbeat is a router's heartbeat to its monitors, and the reply to one that wants a reply.
type Heartbeat struct {
	WantsReply bool `cbor:"1,keyasint,omitempty"` // a probe: the sender has received nothing for long
}

// Pull asks a router for whatever the sender lacks.
type Pull struct {
	Self      membership.Member  `cbor:"1,keyasint"`
	Round     uint64             `cbor:"2,keyasint"` // identifies the pull in its reply
	Sequence  uint64             `cbor:"3,keyasint"` // of the sender's configuration
	Members   membership.Digests `cbor:"4,keyasint"`
	Endpoints registry.Digests   `cbor:"5,keyasint"`
}

// PullReply says when the replying router's configuration was last confirmed. Members and endpoints that the puller lacks
// follow as Updates.
type PullReply struct {
	Round    uint64 `cbor:"1,keyasint"` // as in Pull
	Sequence uint64 `cbor:"2,keyasint"`
	Fresh    bool   `cbor:"3,keyasint"` // AgeMs is set
	AgeMs    uint64 `cbor:"4,keyasint"` // milliseconds since the configuration with Sequence was confirmed to be the newest
	View     uint64 `cbor:"5,keyasint"`
	Primary  string `cbor:"6,keyasint"` // internal address of the view's primary
}

// Update pushes what a router has just learned. Each of its groups of fields may be empty.
type Update struct {
	Members   []membership.Member `cbor:"1,keyasint,omitempty"`
	Endpoints []registry.Endpoint `cbor:"2,keyasint,omitempty"`
	Sequence  uint64              `cbor:"3,keyasint,omitempty"` // of an acknowledged configuration
	Change    []byte              `cbor:"4,keyasint,omitempty"` // encoded change from the configuration before; empty: to be fetched
	Hops      uint8               `cbor:"5,keyasint,omitempty"` // how often it has been forwarded
	View      uint64              `cbor:"6,keyasint,omitempty"` // a new view
	Primary   string              `cbor:"7,keyasint,omitempty"` // internal address of the view's primary
}

// FetchRequest asks for the configurations after a sequence; 0 asks for the complete configuration.
type FetchRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// FetchReply holds either the changes after the requested sequence or the complete configuration.
type FetchReply struct {
	Sequence uint64   `cbor:"1,keyasint"` // of the last change, or of the document
	Changes  [][]byte `cbor:"2,keyasint,omitempty"`
	Document []byte   `cbor:"3,keyasint,omitempty"`
	Fresh    bool     `cbor:"4,keyasint,omitempty"` // AgeMs is set
	AgeMs    uint64   `cbor:"5,keyasint,omitempty"` // as in PullReply, at the time of this reply
}
