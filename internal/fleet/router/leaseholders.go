package router

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/quota"
)

// A new allocator withholds the quota that routers may still use under shares leased by a former allocator, until all possible lease
// holders have announced their shares or the duration of a lease has passed. A process that has just started does not know all possible
// lease holders: after a power loss in the core it may know the core routers only, while all other routers still use their shares. Core
// machines therefore write the routers' addresses to the disk for their next process. Without such a list, a recently started process
// never treats the announcements as complete until a primary has sent it a complete list. A primary's list is complete once its allocator
// awaits no more announcements, at the latest when it has been active for longer than leases of the former allocator last: from then on,
// only its own lease holders have shares.

const (
	leaseholdersFileName     = "routers"
	leaseholderCheckInterval = 500 * time.Millisecond // between checks whether the list differs from the one on the disk
)

// leaseholderList holds the routers that may hold leased shares. The gossip's lock guards restored and isComplete; only the goroutine of
// Router.Run uses file, written and nextCheck.
type leaseholderList struct {
	*environment
	gossip *gossip

	restored   []string // from the previous process, a primary, or recordHolder; internal addresses
	isComplete bool     // restored and the gossip's members together include all possible lease holders

	file      *stateFile    // nil: no data directory is configured, or this machine does not count for the quorum
	written   []string      // list on the disk
	nextCheck time.Duration // earliest time of the next check
}

// start reads the list that the previous process wrote.
func (l *leaseholderList) start() {
	l.isComplete = l.settings.Bootstrap // at the first start of the whole system no shares are leased
	if l.settings.DataDir == "" || !l.settings.CountsForQuorum {
		return
	}
	l.file = newStateFile(l.settings.DataDir, leaseholdersFileName, l.log)
	if l.file.read(&l.restored) {
		l.isComplete = true
	}
	l.written = l.restored
}

// tick writes the list to the disk if it is complete and has changed.
func (l *leaseholderList) tick() {
	now := l.clock()
	if l.file == nil || now < l.nextCheck || !l.file.isDue(now) {
		return
	}
	l.nextCheck = now + leaseholderCheckInterval
	l.gossip.mu.Lock()
	all, complete := l.possibleHolders()
	l.gossip.mu.Unlock()
	if !complete || slices.Equal(all, l.written) {
		return
	}
	l.written = all
	l.file.write(now, all, l.tasks.Go)
}

// recordHolder records that a router holds shares of this router's allocator, when no shares of a former allocator are leased any more.
// The caller holds the gossip's lock.
func (l *leaseholderList) recordHolder(address string) {
	l.isComplete = true
	l.add(address)
}

// add adds an internal address, unless the list has it already. The caller holds the gossip's lock.
func (l *leaseholderList) add(address string) {
	if !slices.Contains(l.restored, address) {
		l.restored = append(slices.Clone(l.restored), address)
	}
}

// addCompleteList adds the primary's complete list. An empty list means that the primary did not send one, and is ignored.
func (l *leaseholderList) addCompleteList(addresses []string) {
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

// possibleHolders returns the internal addresses of the routers that may hold shares of a former allocator: live routers, routers that
// failed recently enough that they may be partitioned and still hold a lease, and routers in restored that this process has not
// discovered. complete is false if there may be further holders. The caller holds the gossip's lock.
func (l *leaseholderList) possibleHolders() (all []string, complete bool) {
	now, members := l.clock(), l.gossip.node.Members
	recently := quota.LeaseDuration + membership.DefaultTiming().FailureTimeout
	for _, m := range members.All() {
		endedAt, ended := members.EndedAt(m.Address)
		if !ended || now-endedAt < recently {
			all = append(all, m.Address)
		}
	}
	if l.uptimeExceedsTombstoneTTL() {
		return all, true
	}
	for _, address := range l.restored {
		if _, known := members.Lookup(address); !known {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all, l.coversAllHolders()
}

// coversAllHolders reports whether possibleHolders returns all possible lease holders. The caller holds the gossip's lock.
func (l *leaseholderList) coversAllHolders() bool {
	return l.isComplete || l.uptimeExceedsTombstoneTTL()
}

// needsCompleteList reports whether this router needs the primary's complete list.
func (l *leaseholderList) needsCompleteList() bool {
	l.gossip.mu.Lock()
	defer l.gossip.mu.Unlock()
	return !l.coversAllHolders()
}

// uptimeExceedsTombstoneTTL reports whether this process has run for longer than tombstones of failed members are kept. By then, every
// router that was a member before this process started is either a known member or has been removed by all routers.
func (l *leaseholderList) uptimeExceedsTombstoneTTL() bool {
	return l.clock() > membership.DefaultTiming().TombstoneTTL
}
