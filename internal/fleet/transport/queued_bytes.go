package transport

import "sync/atomic"

const (
	// MaxQueuedBytes is the size of the large messages that may wait in a queue together, as received.
	MaxQueuedBytes = 8 << 20
	// SmallMessageBytes is the size up to which a message doesn't count: those are bounded by the queue's length, so that large ones don't keep them out.
	SmallMessageBytes = 4 << 10
)

// QueuedBytes counts the size of the large messages that wait in a queue, which a bound on their number does not bound. Its zero value is ready to use. It is
// safe for concurrent use.
type QueuedBytes struct {
	used atomic.Int64
}

// Reserve counts a message in. It returns false, and does not, if the message would exceed MaxQueuedBytes beside others.
func (q *QueuedBytes) Reserve(size int) bool {
	if size <= SmallMessageBytes {
		return true
	}
	for {
		used := q.used.Load()
		if used > 0 && used+int64(size) > MaxQueuedBytes {
			return false
		}
		if q.used.CompareAndSwap(used, used+int64(size)) {
			return true
		}
	}
}

// Release counts a message out that Reserve has counted in.
func (q *QueuedBytes) Release(size int) {
	if size > SmallMessageBytes {
		q.used.Add(-int64(size))
	}
}

// Used returns the size of the large messages that wait, in bytes.
func (q *QueuedBytes) Used() int64 { return q.used.Load() }
