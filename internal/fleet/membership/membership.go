// Package membership knows the routers of a fleet: who there is, who watches whom, and who has been silent. Each router
// sends heartbeats to the few that follow it on a ring of names' hashes; they declare it dead when it is silent, and a
// router that hears so of itself refutes it (SWIM: Das, Gupta, Motivala, 2002). It is pure: no I/O, no clock.
package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is what is known of a member.
type Status uint8

// The states of a member; of two reports of one incarnation the later state in this list holds.
const (
	Alive Status = iota + 1
	Dead         // silent, as a monitor says
	Left         // it said that it ends
)

// Member is one router.
type Member struct {
	Address     string `cbor:"1,keyasint"` // internal
	Control     string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint,omitempty"`
	Core        bool   `cbor:"5,keyasint,omitempty"` // it counts for the quorum
	BootID      uint64 `cbor:"6,keyasint"`           // drawn at its start
	Incarnation uint64 `cbor:"7,keyasint"`
	Status      Status `cbor:"8,keyasint"`
}

// supersedes tells whether a report replaces another of the same member.
func (m *Member) supersedes(other *Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.Status, other.Status)) > 0
}

// Timing are the intervals of the protocol.
type Timing struct {
	HeartbeatInterval time.Duration // between a router's heartbeats
	FailureTimeout    time.Duration // after which a monitor declares a router dead
	TombstoneTTL      time.Duration // after which one that is dead is forgotten
}

// DefaultTiming finds a silent router in some three seconds.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: time.Second, FailureTimeout: 3200 * time.Millisecond, TombstoneTTL: 60 * time.Second}
}

// monitors is how many routers watch each.
const monitorsPerMember = 2

// A member that has been silent for so long before it would be declared dead is asked whether it lives, again and again.
// Routers whose views of the ring differ would otherwise wait for heartbeats that are sent to others.
const (
	probeLeadTime = 1200 * time.Millisecond
	probeInterval  = 300 * time.Millisecond
)

// List is one router's knowledge of all.
type List struct {
	timing   Timing
	self     Member
	members  map[string]*entry
	ring     []string // addresses of those that live, in the order of the ring
	nextHeartbeat time.Duration
	lastTick time.Duration
	monitored map[string]bool // as of the last tick
}

type entry struct {
	Member
	position uint64        // on the ring
	lastContact    time.Duration // last message, or when it was heard of first
	lastProbe   time.Duration // when it was asked last whether it lives
	endedAt    time.Duration // when it was declared dead or left
}

// New returns the list of a router that knows only itself.
func New(now time.Duration, self Member, timing Timing) *List {
	self.Incarnation, self.Status = 1, Alive
	l := &List{timing: timing, self: self, members: map[string]*entry{}, lastTick: now}
	own := &entry{Member: self, position: xxhash.Sum64String(self.Address), lastContact: now}
	l.members[self.Address] = own
	l.updateRing(own)
	return l
}

// Self is this router as it describes itself.
func (l *List) Self() Member { return l.self }

// place moves a member into the ring or out of it, after its status has changed.
func (l *List) updateRing(e *entry) {
	at, found := slices.BinarySearchFunc(l.ring, e, func(address string, e *entry) int {
		return cmp.Or(cmp.Compare(l.members[address].position, e.position), strings.Compare(address, e.Address))
	})
	switch alive := e.Status == Alive; {
	case alive && !found:
		l.ring = slices.Insert(l.ring, at, e.Address)
	case !alive && found:
		l.ring = slices.Delete(l.ring, at, at+1)
	}
}

// Merge takes reports of others over and returns those that were new, to be passed on. Where a report says that this
// router is dead, or describes an earlier start of it, the answer to it is among them.
func (l *List) Merge(now time.Duration, reports []Member) []Member {
	var news []Member
	for _, report := range reports {
		if report.Address == l.self.Address {
			if l.refute(&report) {
				news = append(news, l.self)
			}
			continue
		}
		if l.apply(now, report) {
			news = append(news, report)
		}
	}
	return news
}

func (l *List) apply(now time.Duration, report Member) bool {
	known := l.members[report.Address]
	if known == nil {
		if report.Status != Alive {
			return false // it is forgotten already
		}
		added := &entry{Member: report, position: xxhash.Sum64String(report.Address), lastContact: now}
		l.members[report.Address] = added
		l.updateRing(added)
		return true
	}
	if !report.supersedes(&known.Member) {
		return false
	}
	if report.Status == Alive {
		known.lastContact = now
	} else {
		known.endedAt = now
	}
	known.Member = report
	l.updateRing(known)
	return true
}

// refute raises this router's incarnation above a report that does not describe it as it is.
func (l *List) refute(report *Member) bool {
	same := report.BootID == l.self.BootID && report.Status == l.self.Status
	if report.Incarnation < l.self.Incarnation || same && report.Incarnation == l.self.Incarnation {
		return false
	}
	l.self.Incarnation = report.Incarnation + 1
	l.members[l.self.Address].Member = l.self
	return true
}

// Leave says that this router ends.
func (l *List) Leave() Member {
	l.self.Status = Left
	own := l.members[l.self.Address]
	own.Member = l.self
	l.updateRing(own)
	return l.self
}

// RecordContact notes a message of a router.
func (l *List) RecordContact(now time.Duration, address string) {
	if e := l.members[address]; e != nil {
		e.lastContact = now
	}
}

// TickResult is what is to be done as time passes.
type TickResult struct {
	Heartbeats []string // who is to be sent a heartbeat
	Probes     []string // who is to be asked whether it lives
	Dead       []Member // who was declared dead just now
}

// Tick lets time pass.
func (l *List) Tick(now time.Duration) TickResult {
	var step TickResult
	if now >= l.nextHeartbeat {
		l.nextHeartbeat = now + l.timing.HeartbeatInterval
		step.Heartbeats = l.successors(l.self.Address)
	}
	l.refreshMonitored(now)
	for address := range l.monitored {
		l.checkLiveness(now, l.members[address], &step)
	}
	for address, e := range l.members {
		if e.Status != Alive && address != l.self.Address && now-e.endedAt > l.timing.TombstoneTTL {
			delete(l.members, address)
		}
	}
	return step
}

// watch judges a member's silence.
func (l *List) checkLiveness(now time.Duration, e *entry, step *TickResult) {
	silence := now - e.lastContact
	switch {
	case silence > l.timing.FailureTimeout:
		e.Status, e.endedAt = Dead, now
		l.updateRing(e)
		step.Dead = append(step.Dead, e.Member)
	case silence > l.timing.FailureTimeout-probeLeadTime && now-e.lastProbe >= probeInterval:
		e.lastProbe = now
		step.Probes = append(step.Probes, e.Address)
	}
}

// successors are the monitors of a member: those that follow it on the ring.
func (l *List) successors(address string) []string {
	at := slices.Index(l.ring, address)
	if at < 0 {
		return nil
	}
	var next []string
	for i := 1; i <= min(monitorsPerMember, len(l.ring)-1); i++ {
		next = append(next, l.ring[(at+i)%len(l.ring)])
	}
	return next
}

// refreshMonitored gives time to members that this router did not watch until now, and to all after it stood still itself.
func (l *List) refreshMonitored(now time.Duration) {
	stoodStill := now-l.lastTick > l.timing.FailureTimeout/3
	l.lastTick = now
	watching := map[string]bool{}
	for _, address := range l.predecessors() {
		watching[address] = true
		if stoodStill || !l.monitored[address] {
			l.members[address].lastContact = now
		}
	}
	l.monitored = watching
}

// watched are the members that this router monitors: those before it on the ring.
func (l *List) predecessors() []string {
	at := slices.Index(l.ring, l.self.Address)
	if at < 0 {
		return nil
	}
	var before []string
	for i := 1; i <= min(monitorsPerMember, len(l.ring)-1); i++ {
		before = append(before, l.ring[(at-i+len(l.ring))%len(l.ring)])
	}
	return before
}

// Buckets is into how many parts the digests divide the members.
const Buckets = 16

// Digests are one number a bucket, which two routers share when they know the same.
type Digests [Buckets]uint32

// Digests summarise what is known.
func (l *List) Digests() Digests {
	var d Digests
	for _, e := range l.members {
		own := e.position ^ (e.Incarnation<<8|uint64(e.Status))*0x9e3779b97f4a7c15
		d[e.bucket()] += uint32(own ^ own>>32)
	}
	return d
}

func (e *entry) bucket() int { return int(e.position>>32) % Buckets }

// MembersDiffering are the members in the buckets in which the digests of another router differ.
func (l *List) MembersDiffering(theirs Digests) []Member {
	ours := l.Digests()
	if ours == theirs {
		return nil
	}
	var all []Member
	for _, e := range l.members {
		if b := e.bucket(); ours[b] != theirs[b] {
			all = append(all, e.Member)
		}
	}
	return all
}

// All are the reports of all members, this router included.
func (l *List) All() []Member {
	all := make([]Member, 0, len(l.members))
	for _, e := range l.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return all
}

// Lookup returns what is known of the member at an address.
func (l *List) Lookup(address string) (Member, bool) {
	e := l.members[address]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// EndedAt is when a member was declared dead or left; ok is false of one that lives or is not known.
func (l *List) EndedAt(address string) (at time.Duration, ok bool) {
	e := l.members[address]
	if e == nil || e.Status == Alive {
		return 0, false
	}
	return e.endedAt, true
}

// LiveAddresses are the addresses of the others that live.
func (l *List) LiveAddresses() []string {
	others := make([]string, 0, len(l.ring))
	for _, address := range l.ring {
		if address != l.self.Address {
			others = append(others, address)
		}
	}
	return others
}

// CoreAddresses are the addresses of the others that count for the quorum, whatever their state.
func (l *List) CoreAddresses() []string {
	var cores []string
	for address, e := range l.members {
		if e.Core && e.Status != Left && address != l.self.Address {
			cores = append(cores, address)
		}
	}
	slices.Sort(cores)
	return cores
}

// LiveMembers are the others that live.
func (l *List) LiveMembers() []Member {
	others := make([]Member, 0, len(l.ring))
	for _, address := range l.ring {
		if address != l.self.Address {
			others = append(others, l.members[address].Member)
		}
	}
	return others
}

// LiveCount is how many members live, this router included.
func (l *List) LiveCount() int { return max(1, len(l.ring)) }
