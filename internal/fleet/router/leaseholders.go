package router

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/quota"
)

// A new allocator withholds what routers may use of shares that a former one leased, until all possible lease holders have announced
// theirs, or the duration of a lease has passed. A process that has just started does not know who they are: after a loss of power in
// the core it may know the core alone, while all others use their shares. Machines of the core therefore write the routers'
// addresses to the disk, for the process after this one. Where there is no such list, a process that has not run for long treats no
// number of announcements as complete, until a primary has sent it the list. A primary knows that its list is complete once its
// allocator has been active for longer than leases of the one before last.

const (
	leaseholdersName         = "routers"
	leaseholderCheckInterval = 500 * time.Millisecond // between comparisons of the list with the one on the disk
)

// leaseholderList knows the routers that may hold leased shares. The gossip's lock guards restored and isComplete; only the goroutine
// of Router.Run uses the file and what belongs to it.
type leaseholderList struct {
	*environment
	gossip *gossip

	restored   []string // known from the process before this one, or from a primary
	isComplete bool     // restored and the members of the gossip are all

	file      *stateFile // nil: no disk, or not of the core
	written   []string
	nextCheck time.Duration
}

// start reads what the process before this one wrote.
func (l *leaseholderList) start() {
	l.isComplete = l.settings.Bootstrap // there was no process before
	if l.settings.DataDir == "" || !l.settings.CountsForQuorum {
		return
	}
	l.file = newStateFile(l.settings.DataDir, leaseholdersName, l.log)
	if l.file.read(&l.restored) {
		l.isComplete = true
	}
	l.written = l.restored
}

// tick writes the list where it has changed.
func (l *leaseholderList) tick() {
	now := l.clock()
	if l.file == nil || now < l.nextCheck || !l.file.isDue(now) {
		return
	}
	l.nextCheck = now + leaseholderCheckInterval
	l.gossip.mu.Lock()
	all, complete := l.possible()
	l.gossip.mu.Unlock()
	if !complete || slices.Equal(all, l.written) {
		return
	}
	l.written = all
	l.file.write(now, all, l.tasks.Go)
}

// recordHolder records that a router holds shares of this router's allocator, while no shares of a former one are out. The caller
// holds the gossip's lock.
func (l *leaseholderList) recordHolder(address string) {
	l.isComplete = true
	l.add(address)
}

// add adds an address. The caller holds the gossip's lock.
func (l *leaseholderList) add(address string) {
	if !slices.Contains(l.restored, address) {
		l.restored = append(slices.Clone(l.restored), address)
	}
}

// addComplete adds the primary's complete list; empty: it has not sent one.
func (l *leaseholderList) addComplete(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	l.gossip.mu.Lock()
	defer l.gossip.mu.Unlock()
	for _, address := range addresses {
		l.add(address)
	}
	l.isComplete = true
}

// possible returns the addresses of the routers that may hold shares of a former allocator: those that are alive, those that ended so
// lately that they may be partitioned off instead, and those that the process before this one knew and this one has not met.
// complete is false where there may be others. The caller holds the gossip's lock.
func (l *leaseholderList) possible() (all []string, complete bool) {
	now, members := l.clock(), l.gossip.node.Members
	recently := quota.LeaseDuration + membership.DefaultTiming().FailureTimeout
	for _, m := range members.All() {
		endedAt, ended := members.EndedAt(m.Address)
		if !ended || now-endedAt < recently {
			all = append(all, m.Address)
		}
	}
	if l.hasOutlivedTombstones() {
		return all, true
	}
	for _, address := range l.restored {
		if _, known := members.Lookup(address); !known {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all, l.knowsAll()
}

// knowsAll reports whether possible returns all. The caller holds the gossip's lock.
func (l *leaseholderList) knowsAll() bool { return l.isComplete || l.hasOutlivedTombstones() }

// wantsComplete reports whether this router needs the primary's list.
func (l *leaseholderList) wantsComplete() bool {
	l.gossip.mu.Lock()
	defer l.gossip.mu.Unlock()
	return !l.knowsAll()
}

// hasOutlivedTombstones reports whether this process has run so long that every router that was there before it is either known or
// forgotten by all.
func (l *leaseholderList) hasOutlivedTombstones() bool {
	return l.clock() > membership.DefaultTiming().TombstoneTTL
}
