package replication

import "time"

// Times of transfers of the whole state. A transfer is repeated only after a time in which it should have come: on a slow
// link repeats would hold up the first one.
const (
	initialTransferBackoff = time.Second
	maxTransferBackoff  = 8 * time.Second
)

// transfers are the transfers of the state that were begun, by receiver.
type snapshotTransfers map[Replica]*transfer

type transfer struct {
	retryAt  time.Duration // when it may be repeated
	backoff time.Duration
}

// tryStart tells whether the state may be sent to a replica now, and notes that it is.
func (t snapshotTransfers) tryStart(to Replica, now time.Duration) bool {
	last := t[to]
	if last == nil {
		t[to] = &transfer{retryAt: now + initialTransferBackoff, backoff: initialTransferBackoff}
		return true
	}
	if now < last.retryAt {
		return false
	}
	last.backoff = min(2*last.backoff, maxTransferBackoff)
	last.retryAt = now + last.backoff
	return true
}

// done notes that a replica holds the state.
func (t snapshotTransfers) finish(to Replica) { delete(t, to) }
