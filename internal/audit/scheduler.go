package audit

import (
	"cmp"
	"slices"
	"time"
)

// scheduler decides which request is sent next. It is pure: its owner reports calls that begin and end.
type scheduler struct {
	queue []int
	free  int
}

// newScheduler puts those first that took longest the last time, so that one that hangs does so beside all others, and not
// alone at the end of the round.
func newScheduler(took []time.Duration, atATime int) *scheduler {
	t := &scheduler{queue: make([]int, len(took)), free: atATime}
	for i := range t.queue {
		t.queue[i] = i
	}
	slices.SortStableFunc(t.queue, func(a, b int) int { return cmp.Compare(took[b], took[a]) })
	return t
}

// next returns the request to be sent now, if there is one.
func (t *scheduler) next() (who int, ok bool) {
	if t.free == 0 || len(t.queue) == 0 {
		return 0, false
	}
	who, t.queue = t.queue[0], t.queue[1:]
	t.free--
	return who, true
}

// done reports that a call has ended.
func (t *scheduler) done() { t.free++ }
