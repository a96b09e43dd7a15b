package machines

import "sync"

// Losses counts the core machines that are down or have not caught up, so that never more are than is tolerated. While a fault waits for all
// machines to be back, later ones wait behind it.
type Losses struct {
	mu      sync.Mutex
	changed *sync.Cond
	core    int          // machines below are of the core; only they count
	lost    map[int]bool // machines
	waiting int          // faults that wait for all machines
	closed  bool
}

// NewLosses returns losses of a core of the first machines.
func NewLosses(core int) *Losses {
	l := &Losses{core: core, lost: map[int]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Take takes machines, and waits until no more than limit of the core are lost then. It returns false where the play ends before.
func (l *Losses) Take(machines []int, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wantsAll := limit >= l.core
	if wantsAll {
		l.waiting++
		defer func() { l.waiting-- }()
	}
	for !l.closed && (!wantsAll && l.waiting > 0 || !l.fits(machines, limit)) {
		l.changed.Wait()
	}
	if l.closed {
		return false
	}
	for _, m := range machines {
		l.lost[m] = true
	}
	l.changed.Broadcast()
	return true
}

func (l *Losses) fits(machines []int, limit int) bool {
	count := 0
	for m := range l.lost {
		if m < l.core {
			count++
		}
	}
	for _, m := range machines {
		if l.lost[m] {
			return false
		}
		if m < l.core {
			count++
		}
	}
	return count <= limit
}

// GiveBack says that machines are back.
func (l *Losses) GiveBack(machines []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range machines {
		delete(l.lost, m)
	}
	l.changed.Broadcast()
}

// Close ends all waiting: no more machines are taken.
func (l *Losses) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
}
