package settingsstore

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// watch is a request that waits.
type watch struct {
	service     string
	newestSeen  version.Edition // of a sidecar
	peerRequest PeerRequest     // of a distributor; service is "" then
}

// watchIDs returns the watches of a service, sorted; "": those of distributors.
func (s *Store) watchIDs(service string) (ids []uint64) {
	for id := range s.watchesByService[service] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Poll takes a sidecar's request and what it acknowledges. It returns the encoded state as the answer, or the id of a watch
// that waits for one; neither where there is nothing newer and the request doesn't wait. Errors are ErrStarting and
// ErrTooManyWatches; the acknowledgement counts nonetheless.
func (s *Store) Poll(now time.Duration, q Request) (text []byte, id uint64, err error) {
	s.acknowledge(now, q)
	if s.starting {
		return nil, 0, ErrStarting
	}
	w := watch{service: q.Service, newestSeen: q.NewestSeen()}
	if text = s.newerState(w); text != nil || q.Wait == 0 {
		return text, 0, nil
	}
	if s.sidecarWatches >= MaxWatches {
		return nil, 0, ErrTooManyWatches
	}
	s.sidecarWatches++
	return nil, s.openWatch(w), nil
}

func (s *Store) openWatch(w watch) (id uint64) {
	s.lastWatch++
	s.watches[s.lastWatch] = w
	if s.watchesByService[w.service] == nil {
		s.watchesByService[w.service] = map[uint64]bool{}
	}
	s.watchesByService[w.service][s.lastWatch] = true
	return s.lastWatch
}

// newerState returns a service's newest state, encoded; nil where the watch has seen it.
func (s *Store) newerState(w watch) []byte {
	if h := s.entries[w.service]; h != nil && h.Compare(w.newestSeen) > 0 {
		return h.encoded
	}
	return nil
}

// EndWatch ends a sidecar's watch, which is to be answered, has timed out or was cancelled, and returns its answer: the newest
// state at this moment, however many there were since; nil: nothing newer.
func (s *Store) EndWatch(id uint64) (text []byte) {
	w, ok := s.closeWatch(id)
	if !ok {
		return nil
	}
	s.sidecarWatches--
	return s.newerState(w)
}

func (s *Store) closeWatch(id uint64) (watch, bool) {
	w, ok := s.watches[id]
	delete(s.watches, id)
	if delete(s.watchesByService[w.service], id); len(s.watchesByService[w.service]) == 0 {
		delete(s.watchesByService, w.service)
	}
	return w, ok
}

// PollPeer takes a distributor's request. It returns the answer, or the id of a watch that waits for one. The error is
// ErrTooManyWatches.
func (s *Store) PollPeer(q PeerRequest) (n *Update, id uint64, err error) {
	if n = s.updateFor(q); n != nil || q.Wait == 0 {
		return n, 0, nil
	}
	if len(s.watchesByService[""]) >= MaxPeers {
		return nil, 0, ErrTooManyWatches
	}
	return nil, s.openWatch(watch{peerRequest: q}), nil
}

// EndPeerWatch ends a distributor's watch and returns its answer; nil: nothing new.
func (s *Store) EndPeerWatch(id uint64) *Update {
	w, ok := s.closeWatch(id)
	if !ok {
		return nil
	}
	return s.updateFor(w.peerRequest)
}

// updateFor returns one page of what is new for a distributor; nil: nothing.
func (s *Store) updateFor(q PeerRequest) *Update {
	otherIncarnation := q.Incarnation != s.incarnation
	if otherIncarnation {
		q.Since = 0
	}
	if !otherIncarnation && q.Since >= s.lastSequence && !s.starting {
		return nil
	}
	var changed []*entry
	for _, h := range s.entries {
		if h.sequence > q.Since {
			changed = append(changed, h)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	n := &Update{Name: s.name, Incarnation: s.incarnation, Sequence: q.Since, Starting: s.starting}
	size := 0
	for _, h := range changed {
		if size += h.size(); size > maxPageBytes && len(n.Records) > 0 {
			n.More = true
			return n
		}
		n.Records, n.Sequence = append(n.Records, h.Record), h.sequence
	}
	n.Sequence = s.lastSequence
	return n
}

// size returns an upper bound of the bytes that EncodeRecord writes.
func (r *Record) size() int {
	size := 4 << 10
	for _, st := range []*State{&r.State, r.Previous, r.Overruled} {
		if st != nil {
			size += len(st.Settings) + maxEnvelopeBytes
		}
	}
	return size
}

// Watches returns how many requests wait: of sidecars, and of distributors.
func (s *Store) Watches() (sidecars, peers int) { return s.sidecarWatches, len(s.watchesByService[""]) }
