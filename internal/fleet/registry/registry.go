// Package registry knows the endpoints of all services. Its state is soft: endpoints announce themselves again and
// again, so that nothing of it is kept on a disk. It is pure: no I/O, no clock.
package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what an endpoint said of itself last, or what is known of its end.
type State uint8

// The states of an endpoint; of two reports with one sequence the later state in this list holds.
const (
	Ready State = iota + 1
	Draining
	Expired      // silent, as its owner says
	Deregistered // it said that it ends, or its address has another endpoint
)

// Endpoint is one start of an endpoint.
type Endpoint struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Capacity int    `cbor:"5,keyasint"`
	State    State  `cbor:"6,keyasint"`
	Sequence uint64 `cbor:"7,keyasint"`           // of its last heartbeat
	Owner    string `cbor:"8,keyasint,omitempty"` // the router that heard it
	WarmupMs int64  `cbor:"9,keyasint,omitempty"` // how much longer it is slow, when it was heard
}

// supersedes tells whether a report replaces another of the same endpoint.
func (e *Endpoint) supersedes(other *Endpoint) bool {
	if other.State == Deregistered {
		return false // an incarnation that has ended does not come back
	}
	return e.State == Deregistered || cmp.Or(cmp.Compare(e.Sequence, other.Sequence), cmp.Compare(e.State, other.State)) > 0
}

// differs tells whether two reports differ in more than their sequence.
func (e *Endpoint) differs(other *Endpoint) bool {
	return e.State != other.State || e.Owner != other.Owner || e.Address != other.Address || e.Service != other.Service ||
		e.Capacity != other.Capacity
}

// Buckets is into how many buckets a digest divides its part of the endpoints.
const Buckets = 16

// targetPartitionSize is how many endpoints a digest covers, about: with more of them, digests take turns over parts of them, so
// that a bucket in which two routers differ stays small.
const (
	targetPartitionSize  = 128
	maxPartitions = 64
)

// Digests are one number a bucket, which two routers share when they know the same of a part of the endpoints.
type Digests struct {
	_     struct{} `cbor:",toarray"`
	Partition  uint8
	Partitions uint8 // a power of two
	Sums  [Buckets]uint32
}

// Registry is one router's knowledge of all endpoints.
type Registry struct {
	entries map[string]*entry
	idByAddress      map[string]string // the newest endpoint's id by address
	version uint64            // rises with each change that requests can see
	newlyEnded   []string          // ids that were ready until lately
}

type entry struct {
	Endpoint
	lastUpdate    time.Duration // last change, or last heartbeat where this router is the owner
	lastAssertion time.Duration // when others were told last that this router hears it
	idHash     uint64        // of the id
	digest      uint32        // what it adds to a digest; 0: it is in none
}

// summarise works out what an endpoint adds to digests, after each change. Sequences are left out: they change with each
// heartbeat. So are endpoints that have ended, which one router may have forgotten or never known.
func (e *entry) updateDigest() {
	e.digest = 0
	if e.State < Expired {
		own := e.idHash ^ xxhash.Sum64String(e.Owner)*3 ^ uint64(e.State)*0x9e3779b97f4a7c15
		e.digest = uint32(own ^ own>>32)
	}
}

func (e *entry) bucket() int { return int(e.idHash>>59) % Buckets }

// in tells whether a digest's part covers the endpoint.
func (e *entry) isCoveredBy(d *Digests) bool { return uint8(e.idHash>>50)%max(1, d.Partitions) == d.Partition }

// New returns a table without endpoints.
func New() *Registry { return &Registry{entries: map[string]*entry{}, idByAddress: map[string]string{}} }

// Version rises with each change of an endpoint's state, address or service.
func (t *Registry) Version() uint64 { return t.version }

// TakeEnded returns the endpoints that have stopped being ready since the last call.
func (t *Registry) TakeEnded() []string {
	ended := t.newlyEnded
	t.newlyEnded = nil
	return ended
}

// end changes the state of an endpoint to one in which it gets no requests. It is the only place that does so, beside
// words of the endpoint itself.
func (t *Registry) endEndpoint(now time.Duration, e *entry, state State) {
	if e.State == Ready {
		t.newlyEnded = append(t.newlyEnded, e.ID)
	}
	e.State, e.lastUpdate = state, now
	e.updateDigest()
	t.version++
}

// ApplyHeartbeat takes an endpoint's own word over. It returns the reports to be passed on; ok is false where the word is older
// than what is known.
func (t *Registry) ApplyHeartbeat(now time.Duration, said Endpoint) (news []Endpoint, ok bool) {
	known := t.entries[said.ID]
	if known != nil && (known.State == Deregistered || said.Sequence < known.Sequence && said.State != Deregistered) {
		return nil, false
	}
	if said.State == Deregistered && known != nil {
		said.Service, said.Address, said.Zone, said.Capacity = known.Service, known.Address, known.Zone, known.Capacity
		said.Sequence = max(said.Sequence, known.Sequence)
	}
	changed := known == nil || said.differs(&known.Endpoint)
	if known != nil && known.State == Draining && said.State == Ready {
		said.State = Draining // it has said that it leaves, and that stays so
		changed = said.differs(&known.Endpoint)
	}
	t.store(now, said)
	if !changed {
		return nil, true
	}
	return append(t.deregisterFormer(now, &said), said), true
}

// replace marks the endpoint that had an address before as gone.
func (t *Registry) deregisterFormer(now time.Duration, by *Endpoint) []Endpoint {
	if by.State == Deregistered {
		return nil
	}
	former := t.entries[t.idByAddress[by.Address]]
	t.idByAddress[by.Address] = by.ID
	if former == nil || former.ID == by.ID || former.State == Deregistered {
		return nil
	}
	t.endEndpoint(now, former, Deregistered)
	return []Endpoint{former.Endpoint}
}

func (t *Registry) store(now time.Duration, said Endpoint) {
	known := t.entries[said.ID]
	if known == nil {
		known = &entry{Endpoint: said, lastUpdate: now, idHash: xxhash.Sum64String(said.ID)}
		known.updateDigest()
		t.entries[said.ID] = known
		t.version++
		return
	}
	if said.differs(&known.Endpoint) {
		t.version++
	}
	if known.State == Ready && (said.State != Ready || said.Address != known.Address) {
		t.newlyEnded = append(t.newlyEnded, said.ID)
	}
	known.Endpoint, known.lastUpdate = said, now
	known.updateDigest()
}

// minAssertionInterval is the least time between two assertions of one endpoint.
const minAssertionInterval = time.Second

// Merge takes reports of other routers over and returns those that were new, to be passed on, also where only their
// sequence is: others may hold something else of a sequence in between. Where one says that an
// endpoint is silent that this router, self, hears, what this router knows is returned as asserted, to be told to all.
func (t *Registry) Merge(now time.Duration, self string, reports []Endpoint) (news, asserted []Endpoint) {
	for _, report := range reports {
		known := t.entries[report.ID]
		if known == nil && report.State >= Expired {
			continue // it is forgotten already
		}
		if known != nil && !report.supersedes(&known.Endpoint) {
			if report.State == Expired && known.shouldAssert(now, self) {
				asserted = append(asserted, known.Endpoint)
			}
			continue
		}
		changed := known == nil || report.differs(&known.Endpoint)
		t.store(now, report)
		news = append(news, report)
		if changed && report.State < Expired && t.idByAddress[report.Address] == "" {
			t.idByAddress[report.Address] = report.ID
		}
	}
	return news, asserted
}

// assert tells whether others are to be told that this router hears the endpoint.
func (e *entry) shouldAssert(now time.Duration, self string) bool {
	if e.Owner != self || e.State >= Expired || e.lastAssertion != 0 && now-e.lastAssertion < minAssertionInterval {
		return false
	}
	e.lastAssertion = now
	return true
}

// restoredEndpointTTL is how long an endpoint may be used that has not been heard since all routers ended.
const restoredEndpointTTL = 1500 * time.Millisecond

// Restore takes over endpoints that were known before a restart, where nothing is known of them. They are used for a short
// time: their next heartbeat replaces the hint.
func (t *Registry) Restore(now time.Duration, endpoints []Endpoint) []Endpoint {
	var news []Endpoint
	for _, e := range endpoints {
		if t.entries[e.ID] != nil || t.idByAddress[e.Address] != "" || e.State != Ready {
			continue
		}
		e.Owner, e.Sequence = "", 0
		t.store(now, e)
		t.idByAddress[e.Address] = e.ID
		news = append(news, e)
	}
	return news
}

// ExpireSilent marks the endpoints of an owner that were silent for too long. ownerHears tells whether another router may still
// hear its endpoints; the endpoints of a router that is gone lapse as this router's own, after twice the time.
func (t *Registry) ExpireSilent(now time.Duration, self string, silence time.Duration, ownerHears func(string) bool) []Endpoint {
	var news []Endpoint
	for _, e := range t.entries {
		if e.State >= Expired {
			continue
		}
		own := e.Owner == self && now-e.lastUpdate > silence
		orphaned := e.Owner != self && now-e.lastUpdate > 2*silence && !ownerHears(e.Owner)
		unconfirmed := e.Owner == "" && now-e.lastUpdate > restoredEndpointTTL
		if own || orphaned || unconfirmed {
			t.endEndpoint(now, e, Expired)
			news = append(news, e.Endpoint)
		}
	}
	return news
}

// Purge removes endpoints whose end lies some time back.
func (t *Registry) Purge(now time.Duration, after time.Duration) {
	for id, e := range t.entries {
		if e.State >= Expired && now-e.lastUpdate > after {
			delete(t.entries, id)
			if t.idByAddress[e.Address] == id {
				delete(t.idByAddress, e.Address)
			}
		}
	}
}

// Lookup returns what is known of an endpoint.
func (t *Registry) Lookup(id string) (Endpoint, bool) {
	e := t.entries[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Ready are the endpoints that may be sent requests, ordered by id.
func (t *Registry) Ready() []Endpoint {
	var all []Endpoint
	for _, e := range t.entries {
		if e.State == Ready {
			all = append(all, e.Endpoint)
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Digests summarise what is known of a part of the endpoints; rounds take turns over the parts.
func (t *Registry) Digests(round uint64) Digests {
	parts := uint64(1)
	for parts < maxPartitions && uint64(len(t.entries)) > parts*targetPartitionSize {
		parts *= 2
	}
	return t.digests(uint8(round%parts), uint8(parts))
}

func (t *Registry) digests(part, parts uint8) Digests {
	d := Digests{Partition: part, Partitions: parts}
	for _, e := range t.entries {
		if e.isCoveredBy(&d) {
			d.Sums[e.bucket()] += e.digest
		}
	}
	return d
}

// EndpointsDiffering are the endpoints in the buckets in which the digests of another router differ.
func (t *Registry) EndpointsDiffering(theirs Digests) []Endpoint {
	ours := t.digests(theirs.Partition, theirs.Partitions)
	if ours == theirs {
		return nil
	}
	var all []Endpoint
	for _, e := range t.entries {
		if b := e.bucket(); e.isCoveredBy(&theirs) && ours.Sums[b] != theirs.Sums[b] {
			all = append(all, e.Endpoint)
		}
	}
	return all
}
