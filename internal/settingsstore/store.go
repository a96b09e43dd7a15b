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
	ServicesMost = 1024          // each has three states at most: 200 MB where all of them are as large as they may be
	SidecarsMost = 8192          // who has acknowledged, the one silent longest is forgotten
	WatchesMost  = 4096          // questions of sidecars that wait for news; one more is answered at once
	PeersMost    = 64            // questions of distributors that do
	quietMost    = time.Second   // beyond the end of its last question a sidecar is silent: it asks again within 0.1 s
	forgetAfter  = 2 * time.Hour // of silence: longer than regions may be apart, and a sidecar that is gone for good isn't told of for ever
)

// Refusals, beside FaultyKey.
var (
	// ErrStarting says that it can't be known yet what is newest.
	ErrStarting = errors.New("distribute: this distributor has started without its states, and no other one has told it theirs yet")
	// ErrFull says that there are as many watches as there may be.
	ErrFull = errors.New("distribute: too many watches")
	// ErrNoFormer says that there is nothing to roll back to.
	ErrNoFormer = errors.New("distribute: the service has no former settings here")
	// ErrServices says that there are as many services as there may be.
	ErrServices = fmt.Errorf("distribute: there are %d services, no more are taken", ServicesMost)
	// ErrEpochs says that a service can't be published any more.
	ErrEpochs = errors.New("distribute: the service's epochs are used up")
)

// Store is what a distributor holds and knows: for each service the newest state, the one before it and the one that was overruled;
// whose questions wait; and what sidecars have acknowledged. Times are of a clock that never goes back.
type Store struct {
	name     string // of the distributor
	life     string
	services map[string]*held
	changes  uint64

	starting bool
	peers    map[string]bool // by address: it said that it is starting too

	last    uint64 // watch
	watches map[uint64]watch
	waiting map[string]map[uint64]bool // watches by service; "": those of distributors
	full    int                        // of watches those of sidecars

	sidecars map[sidecarKey]*list.Element
	heard    *list.List // of *acknowledgement, the one silent longest first
}

// held is what there is of one service.
type held struct {
	*Record
	text   []byte // of the newest, as Encode writes it: one for all who are answered with it
	change uint64 // which of the store's it was
}

// watch is a question that waits.
type watch struct {
	service string
	newest  version.Edition // that a sidecar has seen
	peer    PeerQuestion
}

type sidecarKey struct{ service, name string }

// acknowledgement is what a sidecar has told last.
type acknowledgement struct {
	sidecarKey
	inForce, refused version.Edition
	why              string
	at, until        time.Duration // when, and when its question ends at the latest
}

// NewStore returns a distributor's, of that name. life is another one for each process. Whole says that nothing is missing of
// what it held before; without that it is starting, until one of its peers, of these addresses, has told all that it holds, or
// all of them have said that they are starting too.
func NewStore(name, life string, peers []string, whole bool) *Store {
	s := &Store{name: name, life: life, services: map[string]*held{}, starting: !whole && len(peers) > 0, peers: map[string]bool{},
		watches: map[uint64]watch{}, waiting: map[string]map[uint64]bool{}, sidecars: map[sidecarKey]*list.Element{}, heard: list.New()}
	for _, p := range peers {
		s.peers[p] = false
	}
	return s
}

// Starting tells whether it can't be known yet what is newest.
func (s *Store) Starting() bool { return s.starting }

// PeerTold says that all of a peer's news have been merged, and whether it is itself starting. It returns the watches to be
// answered.
func (s *Store) PeerTold(peer string, starting bool) (told []uint64) {
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
	return s.ids("")
}

// PeerLost says that a peer can't be reached: whether it is starting isn't known any more.
func (s *Store) PeerLost(peer string) { s.peers[peer] = false }

// Next is the record to be published with these contents. It changes nothing: whoever publishes keeps it first and has it merged
// then, with no other Next or RollBack between. Errors are ErrStarting, ErrServices, ErrEpochs and of type FaultyKey.
func (s *Store) Next(service string, settings []byte) (*Record, error) {
	if err := CheckName("service", service); err != nil {
		return nil, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, settings); err != nil {
		return nil, FaultyKey{"settings", err.Error()}
	}
	if err := CheckSettings(compact.Bytes()); err != nil {
		return nil, err
	}
	return s.next(service, compact.Bytes())
}

// RollBack is the record that publishes the service's former contents anew, as Next is; there is ErrNoFormer besides.
func (s *Store) RollBack(service string) (*Record, error) {
	if err := CheckName("service", service); err != nil {
		return nil, err
	}
	if s.starting {
		return nil, ErrStarting
	}
	h := s.services[service]
	if h == nil || h.Former == nil {
		return nil, ErrNoFormer
	}
	return s.next(service, h.Former.Settings)
}

func (s *Store) next(service string, settings []byte) (*Record, error) {
	if s.starting {
		return nil, ErrStarting
	}
	var current *Record
	if h := s.services[service]; h != nil {
		current = h.Record
	} else if len(s.services) >= ServicesMost {
		return nil, ErrServices
	}
	epoch := s.highest(service, current) + 1
	if epoch > version.EpochMost {
		return nil, ErrEpochs
	}
	return current.next(NewState(service, version.Edition{Epoch: epoch, By: s.name}, settings)), nil
}

// highest is the highest epoch of a service that is known here. Sidecars may have had it of a distributor that is lost; one that
// claims an absurd one must not use up all that there are.
func (s *Store) highest(service string, current *Record) (epoch uint64) {
	if current != nil {
		epoch = current.Epoch
	}
	for e := s.heard.Front(); e != nil; e = e.Next() {
		a := e.Value.(*acknowledgement)
		if a.service == service && a.inForce.Epoch <= version.EpochMost/2 {
			epoch = max(epoch, a.inForce.Epoch)
		}
	}
	return epoch
}

// Merge takes a record in, of this distributor or of another one. It returns the record to be kept from now on, nil where it is
// what is held already, and the watches to be answered. An error is ErrServices.
func (s *Store) Merge(r *Record) (keep *Record, told []uint64, err error) {
	former := s.services[r.Service]
	if former == nil && len(s.services) >= ServicesMost {
		return nil, nil, ErrServices
	}
	h := &held{}
	if former == nil {
		h.Record = merge(nil, r)
	} else if h.Record = merge(former.Record, r); h.Same(former.Record) {
		return nil, nil, nil
	} else {
		h.text = former.text
	}
	s.changes++
	h.change = s.changes
	s.services[r.Service] = h
	told = s.ids("")
	if former == nil || former.Edition != h.Edition || former.Digest != h.Digest {
		h.text = Encode(h.State)
		told = append(told, s.ids(r.Service)...)
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
func (s *Store) ids(service string) (ids []uint64) {
	for id := range s.waiting[service] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Ask takes a sidecar's question and what it acknowledges. It returns a state's text as the answer, or the watch that waits for
// one; neither where the question doesn't wait. Errors are ErrStarting and ErrFull; what was acknowledged holds.
func (s *Store) Ask(now time.Duration, q Question) (text []byte, id uint64, err error) {
	s.acknowledge(now, q)
	if s.starting {
		return nil, 0, ErrStarting
	}
	w := watch{service: q.Service, newest: q.Newest()}
	if text = s.newer(w); text != nil || q.Wait == 0 {
		return text, 0, nil
	}
	if s.full >= WatchesMost {
		return nil, 0, ErrFull
	}
	s.full++
	return nil, s.open(w), nil
}

func (s *Store) open(w watch) (id uint64) {
	s.last++
	s.watches[s.last] = w
	if s.waiting[w.service] == nil {
		s.waiting[w.service] = map[uint64]bool{}
	}
	s.waiting[w.service][s.last] = true
	return s.last
}

// newer is the text of a service's newest state, nil where the watch has seen that one.
func (s *Store) newer(w watch) []byte {
	if h := s.services[w.service]; h != nil && h.Compare(w.newest) > 0 {
		return h.text
	}
	return nil
}

// End ends a sidecar's watch, which was told, is over or has left, and returns its answer: the newest state of this moment,
// however many there were since; nil is nothing new.
func (s *Store) End(id uint64) (text []byte) {
	w, ok := s.close(id)
	if !ok {
		return nil
	}
	s.full--
	return s.newer(w)
}

func (s *Store) close(id uint64) (watch, bool) {
	w, ok := s.watches[id]
	delete(s.watches, id)
	if delete(s.waiting[w.service], id); len(s.waiting[w.service]) == 0 {
		delete(s.waiting, w.service)
	}
	return w, ok
}

// AskPeer takes a distributor's question. It returns the answer, or the watch that waits for one. An error is ErrFull.
func (s *Store) AskPeer(q PeerQuestion) (n *News, id uint64, err error) {
	if n = s.news(q); n != nil || q.Wait == 0 {
		return n, 0, nil
	}
	if len(s.waiting[""]) >= PeersMost {
		return nil, 0, ErrFull
	}
	return nil, s.open(watch{peer: q}), nil
}

// EndPeer ends a distributor's watch and returns its answer; nil is nothing new.
func (s *Store) EndPeer(id uint64) *News {
	w, ok := s.close(id)
	if !ok {
		return nil
	}
	return s.news(w.peer)
}

// news is what there is for a distributor, one page of it; nil is nothing.
func (s *Store) news(q PeerQuestion) *News {
	stranger := q.Life != s.life
	if stranger {
		q.Since = 0
	}
	if !stranger && q.Since >= s.changes && !s.starting {
		return nil
	}
	var changed []*held
	for _, h := range s.services {
		if h.change > q.Since {
			changed = append(changed, h)
		}
	}
	slices.SortFunc(changed, func(a, b *held) int { return cmp.Compare(a.change, b.change) })
	n := &News{Name: s.name, Life: s.life, At: q.Since, Starting: s.starting}
	size := 0
	for _, h := range changed {
		if size += h.size(); size > pageMost && len(n.Records) > 0 {
			n.More = true
			return n
		}
		n.Records, n.At = append(n.Records, h.Record), h.change
	}
	n.At = s.changes
	return n
}

// size is about how many bytes a record has as EncodeRecord writes it, and not less.
func (r *Record) size() int {
	size := 4 << 10
	for _, st := range []*State{&r.State, r.Former, r.Overruled} {
		if st != nil {
			size += len(st.Settings) + headMost
		}
	}
	return size
}

// acknowledge notes what a sidecar says of itself.
func (s *Store) acknowledge(now time.Duration, q Question) {
	s.forget(now)
	if q.Name == "" {
		return
	}
	key := sidecarKey{q.Service, q.Name}
	a := &acknowledgement{key, q.Since, q.Refused, q.Why, now, now + q.Wait}
	if e := s.sidecars[key]; e != nil {
		e.Value = a
		s.heard.MoveToBack(e)
		return
	}
	if len(s.sidecars) >= SidecarsMost {
		s.drop(s.heard.Front())
	}
	s.sidecars[key] = s.heard.PushBack(a)
}

// forget drops who has been silent for too long.
func (s *Store) forget(now time.Duration) {
	for e := s.heard.Front(); e != nil && e.Value.(*acknowledgement).until+forgetAfter < now; e = s.heard.Front() {
		s.drop(e)
	}
}

func (s *Store) drop(e *list.Element) {
	delete(s.sidecars, e.Value.(*acknowledgement).sidecarKey)
	s.heard.Remove(e)
}

// Services are the names of those that have settings here, in order.
func (s *Store) Services() []string { return sortedNames(s.services) }

// Record is what is held of a service, or nil. What it points to stays as it is.
func (s *Store) Record(service string) *Record {
	if h := s.services[service]; h != nil {
		return h.Record
	}
	return nil
}

// Sidecars are those that have acknowledged a service's settings here, by name.
func (s *Store) Sidecars(now time.Duration, service string) (out []Sidecar) {
	s.forget(now)
	var newest version.Edition
	if h := s.services[service]; h != nil {
		newest = h.Edition
	}
	for e := s.heard.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*acknowledgement); a.service == service {
			c := Sidecar{Name: a.name, InForce: a.inForce, Refused: a.refused, Why: a.why, Heard: Millis((now - a.at).Milliseconds()),
				Silent: now > a.until+quietMost}
			c.State = c.stand(newest)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Sidecar) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Watches is how many questions wait: of sidecars and of distributors.
func (s *Store) Watches() (sidecars, peers int) { return s.full, len(s.waiting[""]) }
