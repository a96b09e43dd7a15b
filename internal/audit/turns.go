package audit

import (
	"cmp"
	"slices"
	"time"
)

// turns says who is asked next, so many at a time. It is pure: calls that begin and end are told to it.
type scheduler struct {
	queue []int
	free  int
}

// newScheduler has those asked first that took longest the last time: one that hangs then does so beside all the others, and not
// alone at the end of the round.
func newScheduler(took []time.Duration, atATime int) *scheduler {
	t := &scheduler{queue: make([]int, len(took)), free: atATime}
	for i := range t.queue {
		t.queue[i] = i
	}
	slices.SortStableFunc(t.queue, func(a, b int) int { return cmp.Compare(took[b], took[a]) })
	return t
}

// next is who is to be asked now, if anybody.
func (t *scheduler) next() (who int, ok bool) {
	if t.free == 0 || len(t.queue) == 0 {
		return 0, false
	}
	who, t.queue = t.queue[0], t.queue[1:]
	t.free--
	return who, true
}

// ended says that a call has.
func (t *scheduler) done() { t.free++ }
