package coordinator

import (
	"sync/atomic"

	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	inboxSize         = 1024    // messages; further ones are dropped, and the protocol resends them
	maxQueuedBytes    = 8 << 20 // of the large messages that wait in the inboxes, as received; further ones are dropped
	smallMessageBytes = 4 << 10 // a message up to this size is bounded by inboxSize only, so that large ones don't keep it out
)

// receivedMessage is a message with its sender.
type receivedMessage struct {
	from    replication.Replica
	message any
	size    int // in bytes, as received from another machine; 0: sent by this machine
}

// queuedBytes counts the size of the large messages that wait in the inboxes. It is safe for concurrent use.
type queuedBytes struct {
	used atomic.Int64
}

// reserve counts a message in. It returns false, and does not, if the message would exceed maxQueuedBytes beside others.
func (q *queuedBytes) reserve(size int) bool {
	if size <= smallMessageBytes {
		return true
	}
	for {
		used := q.used.Load()
		if used > 0 && used+int64(size) > maxQueuedBytes {
			return false
		}
		if q.used.CompareAndSwap(used, used+int64(size)) {
			return true
		}
	}
}

// release counts a message out.
func (q *queuedBytes) release(size int) {
	if size > smallMessageBytes {
		q.used.Add(-int64(size))
	}
}

// enqueue puts a message into an inbox, or drops it if the inbox is full.
func (s *Service) enqueue(inbox chan receivedMessage, m receivedMessage) {
	if !s.queued.reserve(m.size) {
		s.Counters.Dropped.Add(1)
		return
	}
	select {
	case inbox <- m:
	default:
		s.queued.release(m.size)
		s.Counters.Dropped.Add(1)
	}
}
