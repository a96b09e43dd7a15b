// Package membership keeps the list of a fleet's routers and detects their failures. Each router sends heartbeats to the few
// that follow it on a ring of hashed addresses; those declare it dead when nothing comes, and a router that receives such a
// report of itself refutes it with a higher incarnation (SWIM: A. Das, I. Gupta, A. Motivala, 2002).
//
// The package is pure: it does no I/O and reads no clock. The dissemination package calls it and carries reports between
// routers. Times are durations since the router's start.
//
// Invariants: the ring holds exactly the members that are alive, in the order of their positions; a report replaces another of the
// same member only with a higher incarnation, or with a later status of the same one; only a member itself raises its incarnation.
package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// List is one router's knowledge of all routers. Its methods are not safe for concurrent use.
type List struct {
	timing        Timing
	self          Member
	members       map[string]*entry // by address, this router included
	ring          []string          // addresses of the members that are alive, by position
	nextHeartbeat time.Duration
	lastTick      time.Duration
	monitored     map[string]bool // as of the last tick
}

type entry struct {
	Member
	position    uint64        // on the ring
	lastContact time.Duration // last message, or when the member became known or was last reported alive
	lastProbe   time.Duration
	endedAt     time.Duration // when it was declared dead or left
}

// New returns the list of a router that knows only itself.
func New(now time.Duration, self Member, timing Timing) *List {
	self.Incarnation, self.Status = 1, Alive
	l := &List{timing: timing, self: self, members: map[string]*entry{}, lastTick: now}
	l.add(now, self)
	return l
}

// Self returns this router as it describes itself to others.
func (l *List) Self() Member { return l.self }

// add adds a member that was not known.
func (l *List) add(now time.Duration, m Member) {
	e := &entry{Member: m, position: xxhash.Sum64String(m.Address), lastContact: now}
	l.members[m.Address] = e
	l.updateRing(e)
}

// updateRing inserts a member into the ring or removes it, after its status has changed.
func (l *List) updateRing(e *entry) {
	i, found := slices.BinarySearchFunc(l.ring, e, func(address string, e *entry) int {
		return cmp.Or(cmp.Compare(l.members[address].position, e.position), strings.Compare(address, e.Address))
	})
	switch alive := e.Status == Alive; {
	case alive && !found:
		l.ring = slices.Insert(l.ring, i, e.Address)
	case !alive && found:
		l.ring = slices.Delete(l.ring, i, i+1)
	}
}

// Merge applies other routers' reports and returns those that were new, to be forwarded. Where a report says that this router is
// dead, or describes an earlier process of it, the refutation is among them.
func (l *List) Merge(now time.Duration, reports []Member) []Member {
	var changed []Member
	for _, report := range reports {
		if report.Address == l.self.Address {
			if l.refute(&report) {
				changed = append(changed, l.self)
			}
			continue
		}
		if l.apply(now, report) {
			changed = append(changed, report)
		}
	}
	return changed
}

// apply applies a report of another router; it returns false where the report was not new.
func (l *List) apply(now time.Duration, report Member) bool {
	known := l.members[report.Address]
	if known == nil {
		if report.Status != Alive {
			return false // its tombstone has been purged already
		}
		l.add(now, report)
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

// refute raises this router's incarnation above that of a report that does not describe it as it is. It returns false where
// others will reject the report anyway, or the report is true.
func (l *List) refute(report *Member) bool {
	accurate := report.BootID == l.self.BootID && report.Status == l.self.Status
	if report.Incarnation < l.self.Incarnation || accurate && report.Incarnation == l.self.Incarnation {
		return false
	}
	l.self.Incarnation = report.Incarnation + 1
	l.members[l.self.Address].Member = l.self
	return true
}

// Leave marks this router as left and returns the report to be sent.
func (l *List) Leave() Member {
	l.self.Status = Left
	own := l.members[l.self.Address]
	own.Member = l.self
	l.updateRing(own)
	return l.self
}

// RecordContact records that a message of a router has been received.
func (l *List) RecordContact(now time.Duration, address string) {
	if e := l.members[address]; e != nil {
		e.lastContact = now
	}
}

// All returns the reports of all members, this router included, ordered by address.
func (l *List) All() []Member {
	all := make([]Member, 0, len(l.members))
	for _, e := range l.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return all
}

// Lookup returns what is known of the member with an internal address.
func (l *List) Lookup(address string) (Member, bool) {
	e := l.members[address]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// EndedAt returns when a member was declared dead or left; ok is false where it is alive or not known.
func (l *List) EndedAt(address string) (at time.Duration, ok bool) {
	e := l.members[address]
	if e == nil || e.Status == Alive {
		return 0, false
	}
	return e.endedAt, true
}

// LiveAddresses returns the addresses of the other members that are alive, in the ring's order.
func (l *List) LiveAddresses() []string {
	others := make([]string, 0, len(l.ring))
	for _, address := range l.ring {
		if address != l.self.Address {
			others = append(others, address)
		}
	}
	return others
}

// LiveMembers returns the other members that are alive, in the ring's order.
func (l *List) LiveMembers() []Member {
	others := make([]Member, 0, len(l.ring))
	for _, address := range l.ring {
		if address != l.self.Address {
			others = append(others, l.members[address].Member)
		}
	}
	return others
}

// CoreAddresses returns the addresses of the other members that count for the quorum and have not left, in order; they may be dead.
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

// LiveCount returns how many members are alive, this router included.
func (l *List) LiveCount() int { return max(1, len(l.ring)) }
