package config

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// maxAppliedChanges is the maximum number of digests of applied changes that a state keeps, in order to recognise a change
// that is sent again. The oldest digests are dropped.
const maxAppliedChanges = 1024

// State is the replicated state: the configuration, and the digests of the last changes that were applied to it. It is
// immutable.
type State struct {
	Document *Document
	applied  []ChangeDigest // the newest last
}

// EmptyState returns the state before the first change.
func EmptyState() *State { return &State{Document: EmptyDocument()} }

// HasApplied reports whether a change is among the last maxAppliedChanges that were applied.
func (s *State) HasApplied(digest ChangeDigest) bool { return slices.Contains(s.applied, digest) }

// Apply returns the state after a change. The caller has to check that the change is based on the present version. An error
// is an *InvalidError.
func (s *State) Apply(c *Change) (*State, error) { return s.ApplyPaced(c, nil) }

// ApplyPaced is Apply with pauses by pace.
func (s *State) ApplyPaced(c *Change, pace Pace) (*State, error) {
	document, err := s.documentAfter(c, pace)
	if err != nil {
		return nil, err
	}
	recent := s.applied[max(0, len(s.applied)-maxAppliedChanges+1):]
	applied := make([]ChangeDigest, 0, len(recent)+1)
	applied = append(append(applied, recent...), c.Digest())
	return &State{Document: document, applied: applied}, nil
}

func (s *State) documentAfter(c *Change, pace Pace) (*Document, error) {
	if c.Replace {
		return ParseDocumentAfter(s.Document.keyPolicy, c.Body, pace)
	}
	patch, err := ParsePatch(c.Body)
	if err != nil {
		return nil, err
	}
	return s.Document.ApplyPaced(patch, pace)
}

// encodedState is the form of a State in snapshots.
type encodedState struct {
	Document  []byte    `cbor:"1,keyasint"` // JSON
	Applied   []byte    `cbor:"2,keyasint"` // the digests, concatenated, the newest last
	KeyPolicy KeyPolicy `cbor:"3,keyasint"` // of the document; 0: the state was encoded by a build that recorded none
}

// Encode returns the state in its replicated form (CBOR). Errors wrap those of package cbor.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{Document: s.Document.Encode(), KeyPolicy: s.Document.keyPolicy}
	for _, digest := range s.applied {
		e.Applied = append(e.Applied, digest[:]...)
	}
	encoded, err := cbor.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	return encoded, nil
}

// DecodeState is the inverse of State.Encode. Errors wrap those of package cbor, or are an *InvalidError.
func DecodeState(encoded []byte) (*State, error) {
	var e encodedState
	if err := cbor.Unmarshal(encoded, &e); err != nil {
		return nil, fmt.Errorf("config: decode state: %w", err)
	}
	document, err := ParseDocumentAfter(e.KeyPolicy, e.Document, nil)
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
