package model

import "time"

// DedupStore remembers for a window which idempotency keys have run, for one endpoint or for all of a tier. Endpoints that
// share it are advanced together, in order of time: which of two runs is the first follows from the order of calls. It
// holds no more keys than were new within a window.
type DedupStore struct {
	window    time.Duration
	firstRuns map[uint64]time.Duration
	order     fifo[firstRun]
}

type firstRun struct {
	key uint64
	at  time.Duration
}

// NewDedupStore returns an empty store. With a window of 0 it remembers nothing.
func NewDedupStore(window time.Duration) *DedupStore {
	return &DedupStore{window: window, firstRuns: map[uint64]time.Duration{}}
}

// SeenBefore records that a key runs now, and reports whether its first run is less than the window ago. A repeat does
// not extend the window.
func (k *DedupStore) SeenBefore(now time.Duration, key uint64) bool {
	for k.order.len() > 0 && now-k.order.front().at >= k.window {
		old := k.order.pop()
		delete(k.firstRuns, old.key)
	}
	if _, seen := k.firstRuns[key]; seen {
		return true
	}
	k.firstRuns[key] = now
	k.order.push(firstRun{key, now})
	return false
}
