// Package membership maintains the list of a fleet's routers and detects their failures. Each router sends heartbeats to the
// monitorsPerMember routers that follow it on a ring of hashed addresses. These declare it dead when no heartbeats arrive, and a
// router that receives a report of its own death refutes the report with a higher incarnation (SWIM: A. Das, I. Gupta,
// A. Motivala, 2002).
//
// The package is pure: it does no I/O and reads no clock. The dissemination package calls it and transfers reports between
// routers. Times are durations since the router's start.
//
// Invariants: the ring holds exactly the members that are alive, in the order of their positions; a report supersedes another
// report of the same member only with a higher incarnation, or with a later status and the same incarnation; only the member
// itself raises its incarnation.
package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// List is the list of all routers as one router knows it. Its methods are not safe for concurrent use.
type List struct {
	timing        Timing
	self          Member
	members       map[string]*entry // by address, including this router
	ring          []string          // addresses of the members that are alive, by position
	nextHeartbeat time.Duration
	lastTick      time.Duration
	monitored     map[string]bool // addresses of the members that this router monitors, as of the last tick
}

// entry is a member together with this router's state for it.
type entry struct {
	Member
	position    uint64        // on the ring
	lastContact time.Duration // time of the last message or report that it is alive, or when refreshMonitored restarted its time-out
	lastProbe   time.Duration
	endedAt     time.Duration // when the member was declared dead or left
}

// New returns the list of a router that knows no other routers.
func New(now time.Duration, self Member, timing Timing) *List {
	self.Incarnation, self.Status = 1, Alive
	l := &List{timing: timing, self: self, members: map[string]*entry{}, lastTick: now}
	l.add(now, self)
	return l
}

// Self returns this router's report of itself.
func (l *List) Self() Member { return l.self }

// add adds a member that is not in the list.
func (l *List) add(now time.Duration, m Member) {
	e := &entry{Member: m, position: xxhash.Sum64String(m.Address), lastContact: now}
	l.members[m.Address] = e
	l.updateRing(e)
}

// updateRing adds a member to the ring or removes it from the ring, according to its status.
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

// Merge applies other routers' reports and returns the new ones, which are to be forwarded. If a report declares this router
// dead or describes an earlier process of it, the returned reports include a refutation.
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

// apply applies a report of another router. It returns false if the report is not new.
func (l *List) apply(now time.Duration, report Member) bool {
	known := l.members[report.Address]
	if known == nil {
		if report.Status != Alive {
			return false // the member has been purged already
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

// refute raises this router's incarnation above that of a wrong report of this router. It returns false if the report is
// accurate, or other routers reject it because of its lower incarnation.
func (l *List) refute(report *Member) bool {
	accurate := report.BootID == l.self.BootID && report.Status == l.self.Status
	if report.Incarnation < l.self.Incarnation || accurate && report.Incarnation == l.self.Incarnation {
		return false
	}
	l.self.Incarnation = report.Incarnation + 1
	l.members[l.self.Address].Member = l.self
	return true
}

// Leave sets this router's status to Left and returns the report to be sent.
func (l *List) Leave() Member {
	l.self.Status = Left
	own := l.members[l.self.Address]
	own.Member = l.self
	l.updateRing(own)
	return l.self
}

// RecordContact records that a message from a router has been received.
func (l *List) RecordContact(now time.Duration, address string) {
	if e := l.members[address]; e != nil {
		e.lastContact = now
	}
}

// All returns the reports of all members, including this router, ordered by address.
func (l *List) All() []Member {
	all := make([]Member, 0, len(l.members))
	for _, e := range l.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return all
}

// Lookup returns the current report of the member with the given internal address.
func (l *List) Lookup(address string) (Member, bool) {
	e := l.members[address]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// EndedAt returns when a member was declared dead or left. ok is false if the member is alive or unknown.
func (l *List) EndedAt(address string) (at time.Duration, ok bool) {
	e := l.members[address]
	if e == nil || e.Status == Alive {
		return 0, false
	}
	return e.endedAt, true
}

// LiveAddresses returns the addresses of the live members except this router, in ring order.
func (l *List) LiveAddresses() []string {
	others := make([]string, 0, len(l.ring))
	for _, address := range l.ring {
		if address != l.self.Address {
			others = append(others, address)
		}
	}
	return others
}

// LiveMembers returns the live members except this router, in ring order.
func (l *List) LiveMembers() []Member {
	others := make([]Member, 0, len(l.ring))
	for _, address := range l.ring {
		if address != l.self.Address {
			others = append(others, l.members[address].Member)
		}
	}
	return others
}

// CoreAddresses returns the sorted addresses of the members that count for the quorum and have not left, except this router.
// They include dead members.
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

// LiveCount returns the number of live members, including this router.
func (l *List) LiveCount() int { return max(1, len(l.ring)) }
