package settingsstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/version"
)

// Bounds on what distributors exchange.
const (
	maxIncludes    = 16 // distributors that a record names as included; each has published under an epoch of its own
	MaxRecordBytes = 3*MaxStateBytes + 4<<10
	MaxUpdateBytes = 1 << 20 // one page of an update; the rest follows
	maxPageBytes   = MaxUpdateBytes - MaxRecordBytes
)

// Record is what a distributor has of a service. Records are immutable once they are merged.
type Record struct {
	State // the newest
	// Includes has, by distributor, the highest epoch of its states that the newest state's publisher knew (a version vector):
	// such a state was replaced, and not overruled. Beyond maxIncludes those of the lowest epochs are left out.
	Includes map[string]uint64
	// Lost is the same of all states that were overruled, and of what they included: the next publisher will have known them.
	// What Includes has is left out; nil: nothing was overruled.
	Lost      map[string]uint64
	Previous  *State // the contents before the newest, as its publisher had them: what rolling back publishes; nil: none
	Overruled *State // the newest state that lost to one whose publisher didn't know it; nil: none
}

// includes reports whether the newest state is of that edition, or was published by somebody who knew it.
func (r *Record) includes(e version.Edition) bool {
	return r.Edition == e || r.Includes[e.By] >= e.Epoch
}

// less orders states. Under one edition there are two contents only by a fault; all distributors have to keep the same ones.
func (s *State) less(o *State) bool {
	c := s.Compare(o.Edition)
	return c < 0 || c == 0 && s.Digest < o.Digest
}

// merge returns what a distributor has that knows both records; either may be nil. The order of merges doesn't matter to the
// newest state. Of several overruled states the newest is kept, so that of three partitions' states one may be forgotten.
func merge(a, b *Record) *Record {
	if a == nil || b != nil && a.less(&b.State) {
		a, b = b, a
	}
	if b == nil {
		return a
	}
	out := *a
	out.Lost = nil
	for _, known := range []map[string]uint64{a.Lost, b.Lost, b.Includes, {b.By: b.Epoch}} {
		for by, epoch := range known {
			if !a.includes(version.Edition{Epoch: epoch, By: by}) {
				out.Lost = addEdition(out.Lost, version.Edition{Epoch: epoch, By: by})
			}
		}
	}
	for _, s := range []*State{b.Overruled, &b.State} {
		if s != nil && !a.includes(s.Edition) && (out.Overruled == nil || out.Overruled.less(s)) {
			out.Overruled = s
		}
	}
	return &out
}

// successor returns the record that a distributor publishes over what it has, which may be nil.
func (r *Record) successor(s State) *Record {
	out := &Record{State: s}
	if r != nil {
		out.Includes = maps.Clone(r.Includes)
		for by, epoch := range r.Lost {
			out.Includes = addEdition(out.Includes, version.Edition{Epoch: epoch, By: by})
		}
		out.Includes = addEdition(out.Includes, r.Edition)
		if out.Previous = r.Previous; r.Digest != s.Digest { // the same contents once more are nothing to roll back to
			previous := r.State
			out.Previous = &previous
		}
	}
	out.Includes = addEdition(out.Includes, s.Edition)
	return out
}

// addEdition adds an edition to epochs by distributor, which may be nil, and returns them.
func addEdition(known map[string]uint64, e version.Edition) map[string]uint64 {
	if known == nil {
		known = map[string]uint64{}
	}
	known[e.By] = max(known[e.By], e.Epoch)
	if len(known) <= maxIncludes {
		return known
	}
	lowest := e.By
	for by, epoch := range known {
		if lowestEpoch := known[lowest]; epoch < lowestEpoch || epoch == lowestEpoch && by < lowest {
			lowest = by
		}
	}
	delete(known, lowest)
	return known
}

// EncodeRecord encodes a record, for another distributor or for a file. Settings stand in it byte for byte.
func EncodeRecord(r *Record) []byte {
	text := append([]byte(`{"newest":`), Encode(r.State)...)
	text = append(append(text, `,"includes":`...), encodeEpochs(r.Includes)...)
	if r.Lost != nil {
		text = append(append(text, `,"lost":`...), encodeEpochs(r.Lost)...)
	}
	if r.Previous != nil {
		text = append(append(text, `,"former":`...), Encode(*r.Previous)...)
	}
	if r.Overruled != nil {
		text = append(append(text, `,"overruled":`...), Encode(*r.Overruled)...)
	}
	return append(text, '}')
}

func encodeEpochs(known map[string]uint64) []byte {
	text, err := json.Marshal(known)
	if err != nil {
		panic(err) // a map of strings and numbers has no value that JSON can't encode
	}
	return text
}

// wireRecord is a record as JSON.
type wireRecord struct {
	Newest    *wireState        `json:"newest"`
	Includes  map[string]uint64 `json:"includes"`
	Lost      map[string]uint64 `json:"lost"`
	Former    *wireState        `json:"former"`
	Overruled *wireState        `json:"overruled"`
}

// ParseRecord decodes a record, as strictly as Parse does.
func ParseRecord(text []byte) (*Record, error) {
	var w wireRecord
	if err := decodeStrict(text, MaxRecordBytes, &w); err != nil {
		return nil, err
	}
	return w.record()
}

func (w *wireRecord) record() (*Record, error) {
	r := &Record{Includes: w.Includes, Lost: w.Lost}
	newest, err := w.Newest.stateUnder("newest")
	switch {
	case err != nil:
		return nil, err
	case newest == nil:
		return nil, KeyError{"newest", "is missing"}
	}
	r.State = *newest
	for key, known := range map[string]map[string]uint64{"includes": r.Includes, "lost": r.Lost} {
		if len(known) > maxIncludes {
			return nil, KeyError{key, fmt.Sprintf("names %d distributors, %d at most", len(known), maxIncludes)}
		}
		for by, epoch := range known {
			if err := checkEdition(key, key, version.Edition{Epoch: epoch, By: by}); err != nil {
				return nil, err
			}
			if epoch > r.Epoch {
				return nil, KeyError{key, "has an epoch above the newest's"}
			}
		}
	}
	if r.Previous, err = w.Former.stateUnder("former"); err != nil {
		return nil, err
	}
	if r.Overruled, err = w.Overruled.stateUnder("overruled"); err != nil {
		return nil, err
	}
	for key, s := range map[string]*State{"former": r.Previous, "overruled": r.Overruled} {
		if s != nil && s.Service != r.Service {
			return nil, KeyError{key + ".service", "is another than the newest's"}
		}
	}
	return r, nil
}

// stateUnder decodes the state at a key; nil is none.
func (w *wireState) stateUnder(key string) (*State, error) {
	if w == nil {
		return nil, nil
	}
	s, err := w.state()
	if keyErr := (KeyError{}); errors.As(err, &keyErr) {
		return nil, KeyError{key + "." + keyErr.Key, keyErr.Reason}
	}
	return &s, err
}

// sortedNames returns a map's keys, sorted.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
