package config

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// maxAppliedChanges is how many of the last orders' digests a state keeps, so that an order that is sent again is known.
const maxAppliedChanges = 1024

// Change is one change of the configuration, as the operator sent it.
type Change struct {
	Replace bool   `cbor:"1,keyasint"` // a whole configuration; else a change of named items
	Base    int64  `cbor:"2,keyasint"` // the version that it builds on
	Body    []byte `cbor:"3,keyasint"`
}

// ChangeDigest identifies an order by its content.
type ChangeDigest [16]byte

// Digest identifies the order.
func (o *Change) Digest() ChangeDigest {
	hash := sha256.New()
	var head [9]byte
	if o.Replace {
		head[0] = 1
	}
	binary.BigEndian.PutUint64(head[1:], uint64(o.Base))
	hash.Write(head[:])
	hash.Write(o.Body)
	return ChangeDigest(hash.Sum(nil)[:16])
}

// Encode writes the order as it is replicated.
func (o *Change) Encode() ([]byte, error) {
	text, err := cbor.Marshal(o)
	if err != nil {
		return nil, merry.Prepend(err, "config: order")
	}
	return text, nil
}

// DecodeChange reads what Encode wrote.
func DecodeChange(text []byte) (*Change, error) {
	var o Change
	if err := cbor.Unmarshal(text, &o); err != nil {
		return nil, merry.Prepend(err, "config: order")
	}
	return &o, nil
}

// State is what is replicated: the configuration and the last orders that made it. It is never changed.
type State struct {
	Document *Document
	applied   []ChangeDigest // the last one last
}

// EmptyState is what is replicated before the first order.
func EmptyState() *State { return &State{Document: EmptyDocument()} }

// HasApplied tells whether an order is among the last that were taken.
func (s *State) HasApplied(digest ChangeDigest) bool { return slices.Contains(s.applied, digest) }

// Apply returns the state after an order. It does not check the order against the present version.
func (s *State) Apply(o *Change) (*State, error) {
	document, err := s.documentAfter(o)
	if err != nil {
		return nil, err
	}
	kept := s.applied[max(0, len(s.applied)-maxAppliedChanges+1):]
	orders := make([]ChangeDigest, 0, len(kept)+1)
	orders = append(append(orders, kept...), o.Digest())
	return &State{Document: document, applied: orders}, nil
}

func (s *State) documentAfter(o *Change) (*Document, error) {
	if o.Replace {
		return ParseDocument(o.Body)
	}
	patch, err := ParsePatch(o.Body)
	if err != nil {
		return nil, err
	}
	return s.Document.Apply(patch)
}

// encodedState is a state as it is replicated whole.
type encodedState struct {
	Document []byte `cbor:"1,keyasint"`
	Applied   []byte `cbor:"2,keyasint"`
}

// Encode writes the state.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{Document: s.Document.Encode()}
	for _, digest := range s.applied {
		e.Applied = append(e.Applied, digest[:]...)
	}
	text, err := cbor.Marshal(&e)
	if err != nil {
		return nil, merry.Prepend(err, "config: state")
	}
	return text, nil
}

// DecodeState reads what Encode wrote.
func DecodeState(text []byte) (*State, error) {
	var e encodedState
	if err := cbor.Unmarshal(text, &e); err != nil {
		return nil, merry.Prepend(err, "config: state")
	}
	document, err := ParseDocument(e.Document)
	if err != nil {
		return nil, err
	}
	s := &State{Document: document}
	for digest := range slices.Chunk(e.Applied, len(ChangeDigest{})) {
		if len(digest) == len(ChangeDigest{}) {
			s.applied = append(s.applied, ChangeDigest(digest))
		}
	}
	return s, nil
}
