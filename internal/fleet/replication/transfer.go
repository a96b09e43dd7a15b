package replication

import "time"

// Times of transfers of the whole state. A transfer is repeated only after a time in which it should have come: on a slow
// link repeats would hold up the first one.
const (
	transferFirst = time.Second
	transferMost  = 8 * time.Second
)

// transfers are the transfers of the state that were begun, by receiver.
type transfers map[Replica]*transfer

type transfer struct {
	next  time.Duration // when it may be repeated
	pause time.Duration
}

// mayBegin tells whether the state may be sent to a replica now, and notes that it is.
func (t transfers) mayBegin(to Replica, now time.Duration) bool {
	last := t[to]
	if last == nil {
		t[to] = &transfer{next: now + transferFirst, pause: transferFirst}
		return true
	}
	if now < last.next {
		return false
	}
	last.pause = min(2*last.pause, transferMost)
	last.next = now + last.pause
	return true
}

// done notes that a replica holds the state.
func (t transfers) done(to Replica) { delete(t, to) }
