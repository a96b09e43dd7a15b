package replication

import "time"

// Backoff between snapshot transfers to the same replica.
const (
	initialTransferBackoff = time.Second
	maxTransferBackoff     = 8 * time.Second
)

// snapshotTransfers tracks the snapshot transfers in progress, keyed by the replica that sends to or receives from this
// one. A transfer is retried only after a time in which it should have completed: on a slow link, an earlier retry would
// delay the first transfer.
type snapshotTransfers map[Replica]*snapshotTransfer

type snapshotTransfer struct {
	retryAt time.Duration
	backoff time.Duration
}

// tryStart reports whether a transfer with a replica may be started or retried now. If so, it records the transfer.
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

// finish removes the transfer with a replica, which resets its backoff.
func (t snapshotTransfers) finish(to Replica) { delete(t, to) }
