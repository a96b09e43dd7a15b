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
func newScheduler(durations []time.Duration, concurrency int) *scheduler {
	t := &scheduler{queue: make([]int, len(durations)), free: concurrency}
	for i := range t.queue {
		t.queue[i] = i
	}
	slices.SortStableFunc(t.queue, func(a, b int) int { return cmp.Compare(durations[b], durations[a]) })
	return t
}

// next returns the request to be sent now, if there is one.
func (t *scheduler) next() (index int, ok bool) {
	if t.free == 0 || len(t.queue) == 0 {
		return 0, false
	}
	index, t.queue = t.queue[0], t.queue[1:]
	t.free--
	return index, true
}

// done reports that a call has ended.
func (t *scheduler) done() { t.free++ }
