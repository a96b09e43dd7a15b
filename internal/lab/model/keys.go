package model

import "time"

// Keys remembers for a window which keys have run, for one server or for all of a tier. Servers that share it
// are advanced together, in order of time: which of two runs is the first follows the order of calls. It holds
// no more keys than were new within a window.
type Keys struct {
	window time.Duration
	firsts map[uint64]time.Duration
	order  queue[first]
}

type first struct {
	key uint64
	at  time.Duration
}

// NewKeys returns an empty set. Without a window, 0, it remembers nothing.
func NewKeys(window time.Duration) *Keys {
	return &Keys{window: window, firsts: map[uint64]time.Duration{}}
}

// Seen notes that key runs now and says whether its first run is less than the window ago. A repeat does not
// lengthen the window.
func (k *Keys) Seen(now time.Duration, key uint64) bool {
	for k.order.len() > 0 && now-k.order.first().at >= k.window {
		old := k.order.pop()
		delete(k.firsts, old.key)
	}
	if _, seen := k.firsts[key]; seen {
		return true
	}
	k.firsts[key] = now
	k.order.push(first{key, now})
	return false
}
