package dissemination

import (
	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// The messages are encoded as CBOR maps with the integer keys of their tags. A key is never reused with another meaning.

// Heartbeat is a router's heartbeat to its monitors, and also the reply to a heartbeat with WantsReply.
type Heartbeat struct {
	WantsReply bool `cbor:"1,keyasint,omitempty"` // a probe, sent when the sender has not received anything from the router recently
}

// Pull requests the members and endpoints that the sender lacks, and the state of the configuration.
type Pull struct {
	Self      membership.Member  `cbor:"1,keyasint"`
	Round     uint64             `cbor:"2,keyasint"` // identifies the pull in its reply
	Sequence  uint64             `cbor:"3,keyasint"` // of the sender's active configuration
	Members   membership.Digests `cbor:"4,keyasint"`
	Endpoints registry.Digests   `cbor:"5,keyasint"`
	Ended     *registry.Digests  `cbor:"6,keyasint,omitempty"` // of endpoints that have ended; nil: builds up to 7830c0d8 don't request them
}

// PullReply states when the replying router's configuration was last confirmed. Members and endpoints that the puller lacks
// follow in Updates.
type PullReply struct {
	Round    uint64 `cbor:"1,keyasint"` // as in Pull
	Sequence uint64 `cbor:"2,keyasint"`
	Fresh    bool   `cbor:"3,keyasint"` // AgeMs is set
	AgeMs    uint64 `cbor:"4,keyasint"` // milliseconds since the configuration with Sequence was confirmed to be the newest
	View     uint64 `cbor:"5,keyasint"`
	Primary  string `cbor:"6,keyasint"`           // internal address of the view's primary
	Received uint64 `cbor:"7,keyasint,omitempty"` // newest sequence that can be fetched; 0: the same as Sequence
}

// Update pushes changes to other routers. Each of its groups of fields may be empty.
type Update struct {
	Members   []membership.Member `cbor:"1,keyasint,omitempty"`
	Endpoints []registry.Endpoint `cbor:"2,keyasint,omitempty"`
	Sequence  uint64              `cbor:"3,keyasint,omitempty"` // of an acknowledged configuration
	Change    []byte              `cbor:"4,keyasint,omitempty"` // encoded change from the previous configuration; empty: it has to be fetched
	Hops      uint8               `cbor:"5,keyasint,omitempty"` // how many times the update has been forwarded
	View      uint64              `cbor:"6,keyasint,omitempty"` // a new view
	Primary   string              `cbor:"7,keyasint,omitempty"` // internal address of the view's primary
	// Announced is the sequence of an acknowledged configuration to be fetched. It is fetched from the sender only if no other router has
	// supplied it by the end of announcementFetchDelay.
	Announced uint64 `cbor:"8,keyasint,omitempty"`
}

// FetchRequest requests the changes after a sequence; 0 requests the complete configuration.
type FetchRequest struct {
	After  uint64 `cbor:"1,keyasint"`
	Packed bool   `cbor:"2,keyasint,omitempty"` // the sender supports packed replies and Busy; builds up to 79c0b7a don't
	From   string `cbor:"3,keyasint,omitempty"` // the sender's internal address
}

// FetchReply holds the changes after the requested sequence or the complete configuration; a Busy reply holds neither.
type FetchReply struct {
	Sequence uint64   `cbor:"1,keyasint"` // of the last change, or of the document
	Changes  [][]byte `cbor:"2,keyasint,omitempty"`
	Document []byte   `cbor:"3,keyasint,omitempty"`
	Fresh    bool     `cbor:"4,keyasint,omitempty"` // AgeMs is set
	AgeMs    uint64   `cbor:"5,keyasint,omitempty"` // as in PullReply, at the time of this reply

	// These replace Changes and Document if the request has Packed:
	PackedChanges  []Blob `cbor:"6,keyasint,omitempty"` // the last one leads to Sequence
	PackedDocument *Blob  `cbor:"7,keyasint,omitempty"` // of the sequence before the first of PackedChanges

	Busy    bool     `cbor:"8,keyasint,omitempty"` // other transfers occupy the sender's link: Sequence can be fetched later, or from Holders
	Holders []string `cbor:"9,keyasint,omitempty"` // internal addresses of routers that have recently fetched it

	KeyPolicy config.KeyPolicy `cbor:"10,keyasint,omitempty"` // of Document or PackedDocument; 0: the sender's build recorded none
}

// normalize converts a reply of an earlier build to the packed form.
func (r FetchReply) normalize() FetchReply {
	if r.Document != nil && r.PackedDocument == nil {
		document := newBlob(r.Document)
		r.PackedDocument = &document
	}
	for _, change := range r.Changes {
		r.PackedChanges = append(r.PackedChanges, newBlob(change))
	}
	r.Document, r.Changes = nil, nil
	return r
}

// size returns the length in bytes of the changes and the document in the reply, as sent.
func (r FetchReply) size() int {
	size := len(r.Document)
	if r.PackedDocument != nil {
		size += len(r.PackedDocument.Data)
	}
	for _, change := range r.Changes {
		size += len(change)
	}
	for _, change := range r.PackedChanges {
		size += len(change.Data)
	}
	return size
}
