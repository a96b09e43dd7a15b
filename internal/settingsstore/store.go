package settingsstore

import (
	"bytes"
	"cmp"
	"container/list"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Tunables of a distributor.
const (
	MaxServices  = 1024          // each has three states at most: 200 MB where all of them are as large as they may be
	MaxSidecars  = 8192          // who has acknowledged, the one silent longest is forgotten
	MaxWatches   = 4096          // questions of sidecars that wait for news; one more is answered at once
	MaxPeers     = 64            // questions of distributors that do
	silenceGrace = time.Second   // beyond the end of its last question a sidecar is silent: it asks again within 0.1 s
	sidecarTTL   = 2 * time.Hour // of silence: longer than regions may be apart, and a sidecar that is gone for good isn't told of for ever
)

// Refusals, beside KeyError.
var (
	// ErrStarting says that it can't be known yet what is newest.
	ErrStarting = errors.New("distribute: this distributor has started without its states, and no other one has told it theirs yet")
	// ErrTooManyWatches says that there are as many watches as there may be.
	ErrTooManyWatches = errors.New("distribute: too many watches")
	// ErrNoPrevious says that there is nothing to roll back to.
	ErrNoPrevious = errors.New("distribute: the service has no former settings here")
	// ErrTooManyServices says that there are as many services as there may be.
	ErrTooManyServices = fmt.Errorf("distribute: there are %d services, no more are taken", MaxServices)
	// ErrEpochsExhausted says that a service can't be published any more.
	ErrEpochsExhausted = errors.New("distribute: the service's epochs are used up")
)

// Store is what a distributor holds and knows: for each service the newest state, the one before it and the one that was overruled;
// whose questions wait; and what sidecars have acknowledged. Times are of a clock that never goes back.
type Store struct {
	name         string // of the distributor
	incarnation  string
	entries      map[string]*entry
	lastSequence uint64

	starting bool
	peers    map[string]bool // by address: it said that it is starting too

	lastWatch        uint64 // watch
	watches          map[uint64]watch
	watchesByService map[string]map[uint64]bool // watches by service; "": those of distributors
	sidecarWatches   int                        // of watches those of sidecars

	sidecars      map[sidecarKey]*list.Element
	byLastRequest *list.List // of *acknowledgement, the one silent longest first
}

// held is what there is of one service.
type entry struct {
	*Record
	encoded  []byte // of the newest, as Encode writes it: one for all who are answered with it
	sequence uint64 // which of the store's it was
}

// watch is a question that waits.
type watch struct {
	service     string
	newestSeen  version.Edition // that a sidecar has seen
	peerRequest PeerRequest
}

type sidecarKey struct{ service, name string }

// acknowledgement is what a sidecar has told last.
type acknowledgement struct {
	sidecarKey
	inForce, rejected      version.Edition
	reason                 string
	receivedAt, waitsUntil time.Duration // when, and when its question ends at the latest
}

// NewStore returns a distributor's, of that name. life is another one for each process. Whole says that nothing is missing of
// what it held before; without that it is starting, until one of its peers, of these addresses, has told all that it holds, or
// all of them have said that they are starting too.
func NewStore(name, life string, peers []string, whole bool) *Store {
	s := &Store{name: name, incarnation: life, entries: map[string]*entry{}, starting: !whole && len(peers) > 0, peers: map[string]bool{},
		watches: map[uint64]watch{}, watchesByService: map[string]map[uint64]bool{}, sidecars: map[sidecarKey]*list.Element{}, byLastRequest: list.New()}
	for _, p := range peers {
		s.peers[p] = false
	}
	return s
}

// Starting tells whether it can't be known yet what is newest.
func (s *Store) Starting() bool { return s.starting }

// PeerSynced says that all of a peer's news have been merged, and whether it is itself starting. It returns the watches to be
// answered.
func (s *Store) PeerSynced(peer string, starting bool) (told []uint64) {
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

// PeerLost says that a peer can't be reached: whether it is starting isn't known any more.
func (s *Store) PeerLost(peer string) { s.peers[peer] = false }

// Next is the record to be published with these contents. It changes nothing: whoever publishes keeps it first and has it merged
// then, with no other Next or RollBack between. Errors are ErrStarting, ErrTooManyServices, ErrEpochsExhausted and of type KeyError.
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

// RollBack is the record that publishes the service's former contents anew, as Next is; there is ErrNoPrevious besides.
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
	if epoch > version.EpochMost {
		return nil, ErrEpochsExhausted
	}
	return current.successor(NewState(service, version.Edition{Epoch: epoch, By: s.name}, settings)), nil
}

// highest is the highest epoch of a service that is known here. Sidecars may have had it of a distributor that is lost; one that
// claims an absurd one must not use up all that there are.
func (s *Store) highestEpoch(service string, current *Record) (epoch uint64) {
	if current != nil {
		epoch = current.Epoch
	}
	for e := s.byLastRequest.Front(); e != nil; e = e.Next() {
		a := e.Value.(*acknowledgement)
		if a.service == service && a.inForce.Epoch <= version.EpochMost/2 {
			epoch = max(epoch, a.inForce.Epoch)
		}
	}
	return epoch
}

// Merge takes a record in, of this distributor or of another one. It returns the record to be kept from now on, nil where it is
// what is held already, and the watches to be answered. An error is ErrTooManyServices.
func (s *Store) Merge(r *Record) (keep *Record, told []uint64, err error) {
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
	told = s.watchIDs("")
	if former == nil || former.Edition != h.Edition || former.Digest != h.Digest {
		h.encoded = Encode(h.State)
		told = append(told, s.watchIDs(r.Service)...)
	}
	return h.Record, told, nil
}

// Same tells whether two records of one service hold the same.
func (r *Record) Same(o *Record) bool {
	if r.Edition != o.Edition || r.Digest != o.Digest || !maps.Equal(r.Lost, o.Lost) || (r.Overruled == nil) != (o.Overruled == nil) {
		return false
	}
	return r.Overruled == nil || r.Overruled.Edition == o.Overruled.Edition && r.Overruled.Digest == o.Overruled.Digest
}

// ids are the watches of a service; "": those of distributors.
func (s *Store) watchIDs(service string) (ids []uint64) {
	for id := range s.watchesByService[service] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Sent takes a sidecar's question and what it acknowledges. It returns a state's text as the answer, or the watch that waits for
// one; neither where the question doesn't wait. Errors are ErrStarting and ErrTooManyWatches; what was acknowledged holds.
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

// newer is the text of a service's newest state, nil where the watch has seen that one.
func (s *Store) newerState(w watch) []byte {
	if h := s.entries[w.service]; h != nil && h.Compare(w.newestSeen) > 0 {
		return h.encoded
	}
	return nil
}

// EndWatch ends a sidecar's watch, which was told, is over or has left, and returns its answer: the newest state of this moment,
// however many there were since; nil is nothing new.
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

// PollPeer takes a distributor's question. It returns the answer, or the watch that waits for one. An error is ErrTooManyWatches.
func (s *Store) PollPeer(q PeerRequest) (n *Update, id uint64, err error) {
	if n = s.updateFor(q); n != nil || q.Wait == 0 {
		return n, 0, nil
	}
	if len(s.watchesByService[""]) >= MaxPeers {
		return nil, 0, ErrTooManyWatches
	}
	return nil, s.openWatch(watch{peerRequest: q}), nil
}

// EndPeerWatch ends a distributor's watch and returns its answer; nil is nothing new.
func (s *Store) EndPeerWatch(id uint64) *Update {
	w, ok := s.closeWatch(id)
	if !ok {
		return nil
	}
	return s.updateFor(w.peerRequest)
}

// news is what there is for a distributor, one page of it; nil is nothing.
func (s *Store) updateFor(q PeerRequest) *Update {
	stranger := q.Incarnation != s.incarnation
	if stranger {
		q.Since = 0
	}
	if !stranger && q.Since >= s.lastSequence && !s.starting {
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

// size is about how many bytes a record has as EncodeRecord writes it, and not less.
func (r *Record) size() int {
	size := 4 << 10
	for _, st := range []*State{&r.State, r.Previous, r.Overruled} {
		if st != nil {
			size += len(st.Settings) + maxEnvelopeBytes
		}
	}
	return size
}

// acknowledge notes what a sidecar says of itself.
func (s *Store) acknowledge(now time.Duration, q Request) {
	s.expireSidecars(now)
	if q.Name == "" {
		return
	}
	key := sidecarKey{q.Service, q.Name}
	a := &acknowledgement{key, q.Since, q.Rejected, q.Reason, now, now + q.Wait}
	if e := s.sidecars[key]; e != nil {
		e.Value = a
		s.byLastRequest.MoveToBack(e)
		return
	}
	if len(s.sidecars) >= MaxSidecars {
		s.removeSidecar(s.byLastRequest.Front())
	}
	s.sidecars[key] = s.byLastRequest.PushBack(a)
}

// forget drops who has been silent for too long.
func (s *Store) expireSidecars(now time.Duration) {
	for e := s.byLastRequest.Front(); e != nil && e.Value.(*acknowledgement).waitsUntil+sidecarTTL < now; e = s.byLastRequest.Front() {
		s.removeSidecar(e)
	}
}

func (s *Store) removeSidecar(e *list.Element) {
	delete(s.sidecars, e.Value.(*acknowledgement).sidecarKey)
	s.byLastRequest.Remove(e)
}

// Services are the names of those that have settings here, in order.
func (s *Store) Services() []string { return sortedNames(s.entries) }

// Record is what is held of a service, or nil. What it points to stays as it is.
func (s *Store) Record(service string) *Record {
	if h := s.entries[service]; h != nil {
		return h.Record
	}
	return nil
}

// Sidecars are those that have acknowledged a service's settings here, by name.
func (s *Store) Sidecars(now time.Duration, service string) (out []Sidecar) {
	s.expireSidecars(now)
	var newest version.Edition
	if h := s.entries[service]; h != nil {
		newest = h.Edition
	}
	for e := s.byLastRequest.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*acknowledgement); a.service == service {
			c := Sidecar{Name: a.name, InForce: a.inForce, Rejected: a.rejected, Reason: a.reason, LastRequestAgo: Millis((now - a.receivedAt).Milliseconds()),
				Unresponsive: now > a.waitsUntil+silenceGrace}
			c.State = c.standing(newest)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Sidecar) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Watches is how many questions wait: of sidecars and of distributors.
func (s *Store) Watches() (sidecars, peers int) { return s.sidecarWatches, len(s.watchesByService[""]) }
