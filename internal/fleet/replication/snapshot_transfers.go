package replication

import "time"

// Backoff between transfers of the snapshot to one replica.
const (
	initialTransferBackoff = time.Second
	maxTransferBackoff     = 8 * time.Second
)

// snapshotTransfers are the transfers of the snapshot that were started, by receiver. A transfer is retried only after a
// time in which it should have arrived: on a slow link retries would delay the first one.
type snapshotTransfers map[Replica]*snapshotTransfer

type snapshotTransfer struct {
	retryAt time.Duration
	backoff time.Duration
}

// tryStart reports whether the snapshot may be sent to a replica now, and records that it is.
func (t snapshotTransfers) tryStart(to Replica, now time.Duration) bool {
	last := t[to]
	if last == nil {
		t[to] = &snapshotTransfer{retryAt: now + initialTransferBackoff, backoff: initialTransferBackoff}
		return true
	}
	if now < last.retryAt {
		return false
	}
	last.backoff = min(2*last.backoff, maxTransferBackoff)
	last.retryAt = now + last.backoff
	return true
}

// finish records that a replica holds the state.
func (t snapshotTransfers) finish(to Replica) { delete(t, to) }
