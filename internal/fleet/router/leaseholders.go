package router

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/quota"
)

// A new ledger withholds what routers may use of shares that a former one leased, until all that may hold some have
// announced theirs, or the life of a lease has passed. Who they are a process that has just started does not know: after a
// loss of power in the core it may know the core alone, while all others use their shares. Machines of the core therefore
// keep the routers' addresses on the disk, for the process after this one. Where there is no such list, a process that has
// not run for long takes no number of announcements for all of them, until a primary has told it who they are. A primary
// knows when it has kept a ledger for longer than leases of the one before last.

const (
	leaseholdersName         = "routers"
	leaseholderCheckInterval = 500 * time.Millisecond // between looks at whether the list has changed
)

// leaseholderList is what a process knows of routers from the one before it, and leaves to the next.
type leaseholderList struct {
	file       *stateFile // nil: no disk
	restored   []string   // that the process before this one knew, or a primary
	isComplete bool       // with those that this process knows, they are all
	written    []string
	nextCheck  time.Duration // when the list is looked at again
}

// holds notes that a router has shares of this router's ledger, of which no shares are out that it does not know.
func (l *leaseholderList) recordLeaseholder(address string) {
	l.isComplete = true
	l.add(address)
}

func (l *leaseholderList) add(address string) {
	if !slices.Contains(l.restored, address) {
		l.restored = append(slices.Clone(l.restored), address)
	}
}

// addLeaseholders takes over who may hold shares, as the primary says.
func (r *Router) addLeaseholders(all []string) {
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range all {
		r.leaseholders.add(address)
	}
	r.leaseholders.isComplete = true
}

// startLeaseholders reads what the process before this one has left.
func (r *Router) startLeaseholders() {
	l := &r.leaseholders
	l.isComplete = r.settings.Bootstrap // nobody was before
	if r.settings.DataDir == "" || !r.settings.CountsForQuorum {
		return
	}
	l.file = newStateFile(r.settings.DataDir, leaseholdersName, r.log)
	if l.file.read(&l.restored) {
		l.isComplete = true
	}
	l.written = l.restored
}

// tickLeaseholders writes the list where it has changed.
func (r *Router) tickLeaseholders() {
	l, now := &r.leaseholders, r.clock()
	if l.file == nil || now < l.nextCheck || !l.file.isDue(now) {
		return
	}
	l.nextCheck = now + leaseholderCheckInterval
	r.mu.Lock()
	all, complete := r.possibleLeaseholders()
	r.mu.Unlock()
	if !complete || slices.Equal(all, l.written) {
		return
	}
	l.written = all
	l.file.write(now, all, r.tasks.Go)
}

// possibleLeaseholders are the routers that may hold shares of a former ledger, in order: those that live, those that were lost so
// lately that they may be cut off instead, and those that the process before this one knew and this one has not heard of.
// complete is false where there may be others. The caller holds the lock.
func (r *Router) possibleLeaseholders() (all []string, complete bool) {
	now := r.clock()
	recently := quota.LeaseDuration + membership.DefaultTiming().FailureTimeout
	for _, m := range r.node.Members.All() {
		ended, isOver := r.node.Members.EndedAt(m.Address)
		if !isOver || now-ended < recently {
			all = append(all, m.Address)
		}
	}
	if r.hasOutlivedTombstones() {
		return all, true
	}
	for _, address := range r.leaseholders.restored {
		if _, heard := r.node.Members.Lookup(address); !heard {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all, r.knowsAllLeaseholders()
}

// knowsAllLeaseholders tells whether possibleLeaseholders are all. The caller holds the lock.
func (r *Router) knowsAllLeaseholders() bool {
	return r.leaseholders.isComplete || r.hasOutlivedTombstones()
}

// hasOutlivedTombstones tells whether whoever was there before this process has been heard of by now, or forgotten by all.
func (r *Router) hasOutlivedTombstones() bool {
	return r.clock() > membership.DefaultTiming().TombstoneTTL
}
