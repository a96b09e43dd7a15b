package settingsstore

import (
	"bytes"
	"container/list"
	"encoding/json"
	"maps"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Bounds on what a distributor keeps in memory.
const (
	MaxServices  = 1024          // each has at most three states: 200 MB where all of them have the maximum size
	MaxSidecars  = 8192          // that have acknowledged; beyond that the least recently heard one is forgotten
	MaxWatches   = 4096          // requests of sidecars that wait; further ones are answered at once
	MaxPeers     = 64            // the same of distributors
	silenceGrace = time.Second   // after the end of its last request, beyond which a sidecar is unresponsive: it polls again within 0.1 s
	sidecarTTL   = 2 * time.Hour // after its last request: longer than a partition between regions, but a sidecar that has gone is not reported for ever
)

// Store is what a distributor knows: of each service the newest state, the previous one and the one that was overruled; which
// requests wait; and what sidecars have acknowledged. Times are of a monotonic clock.
type Store struct {
	name         string // of the distributor
	incarnation  string
	entries      map[string]*entry
	lastSequence uint64

	starting bool
	peers    map[string]bool // by address: whether it has reported that it is starting, too

	lastWatch        uint64 // watch
	watches          map[uint64]watch
	watchesByService map[string]map[uint64]bool // by service; "": those of distributors
	sidecarWatches   int                        // how many watches are of sidecars

	sidecars      map[sidecarKey]*list.Element
	byLastRequest *list.List // of *acknowledgement, the least recently heard first
}

// entry is what there is of one service.
type entry struct {
	*Record
	encoded  []byte // the newest state, which all answers share
	sequence uint64 // of the store's changes, the one that made this entry
}

// NewStore returns the store of a distributor. Incarnation identifies its process. Complete says that nothing is missing of
// what the distributor had before; without that it is starting, until one of its peers, at these addresses, has sent all that
// it has, or all of them have reported that they are starting, too.
func NewStore(name, incarnation string, peers []string, complete bool) *Store {
	s := &Store{name: name, incarnation: incarnation, entries: map[string]*entry{}, starting: !complete && len(peers) > 0, peers: map[string]bool{},
		watches: map[uint64]watch{}, watchesByService: map[string]map[uint64]bool{}, sidecars: map[sidecarKey]*list.Element{}, byLastRequest: list.New()}
	for _, p := range peers {
		s.peers[p] = false
	}
	return s
}

// Starting reports whether the distributor can't know yet what is newest.
func (s *Store) Starting() bool { return s.starting }

// PeerSynced records that all of a peer's updates have been merged, and whether it is starting itself. It returns the watches
// that are to be answered.
func (s *Store) PeerSynced(peer string, starting bool) (ready []uint64) {
	if !s.starting {
		return nil
	}
	if s.peers[peer] = starting; starting {
		for _, too := range s.peers {
			if !too {
				return nil
			}
		}
	}
	s.starting = false
	return s.watchIDs("")
}

// PeerLost records that a peer can't be reached, so that it isn't known any more whether it is starting.
func (s *Store) PeerLost(peer string) { s.peers[peer] = false }

// Next returns the record that publishes these contents. It changes nothing: the caller makes the record durable, and then
// merges it, without another Next or RollBack in between. Errors are ErrStarting, ErrTooManyServices, ErrEpochsExhausted and of
// type KeyError.
func (s *Store) Next(service string, settings []byte) (*Record, error) {
	if err := CheckName("service", service); err != nil {
		return nil, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, settings); err != nil {
		return nil, KeyError{"settings", err.Error()}
	}
	if err := CheckSettings(compact.Bytes()); err != nil {
		return nil, err
	}
	return s.nextRecord(service, compact.Bytes())
}

// RollBack returns the record that publishes the service's previous contents anew, as Next does; ErrNoPrevious is another error
// of it.
func (s *Store) RollBack(service string) (*Record, error) {
	if err := CheckName("service", service); err != nil {
		return nil, err
	}
	if s.starting {
		return nil, ErrStarting
	}
	h := s.entries[service]
	if h == nil || h.Previous == nil {
		return nil, ErrNoPrevious
	}
	return s.nextRecord(service, h.Previous.Settings)
}

func (s *Store) nextRecord(service string, settings []byte) (*Record, error) {
	if s.starting {
		return nil, ErrStarting
	}
	var current *Record
	if h := s.entries[service]; h != nil {
		current = h.Record
	} else if len(s.entries) >= MaxServices {
		return nil, ErrTooManyServices
	}
	epoch := s.highestEpoch(service, current) + 1
	if epoch > version.MaxEpoch {
		return nil, ErrEpochsExhausted
	}
	return current.successor(NewState(service, version.Edition{Epoch: epoch, By: s.name}, settings)), nil
}

// Merge merges a record, of this distributor or of another one. It returns the record that is to be stored from now on, nil
// where nothing has changed, and the watches that are to be answered. The error is ErrTooManyServices.
func (s *Store) Merge(r *Record) (changed *Record, ready []uint64, err error) {
	former := s.entries[r.Service]
	if former == nil && len(s.entries) >= MaxServices {
		return nil, nil, ErrTooManyServices
	}
	h := &entry{}
	if former == nil {
		h.Record = merge(nil, r)
	} else if h.Record = merge(former.Record, r); h.Same(former.Record) {
		return nil, nil, nil
	} else {
		h.encoded = former.encoded
	}
	s.lastSequence++
	h.sequence = s.lastSequence
	s.entries[r.Service] = h
	ready = s.watchIDs("")
	if former == nil || former.Edition != h.Edition || former.Digest != h.Digest {
		h.encoded = Encode(h.State)
		ready = append(ready, s.watchIDs(r.Service)...)
	}
	return h.Record, ready, nil
}

// Same reports whether two records of one service are equal.
func (r *Record) Same(o *Record) bool {
	if r.Edition != o.Edition || r.Digest != o.Digest || !maps.Equal(r.Lost, o.Lost) || (r.Overruled == nil) != (o.Overruled == nil) {
		return false
	}
	return r.Overruled == nil || r.Overruled.Edition == o.Overruled.Edition && r.Overruled.Digest == o.Overruled.Digest
}

// Services returns the names of the services that have settings here, sorted.
func (s *Store) Services() []string { return sortedNames(s.entries) }

// Record returns the record of a service, or nil. It is not to be changed.
func (s *Store) Record(service string) *Record {
	if h := s.entries[service]; h != nil {
		return h.Record
	}
	return nil
}
