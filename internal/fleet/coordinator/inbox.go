package coordinator

import "pinelb.example/pinelb/internal/fleet/replication"

const inboxSize = 1024 // messages; further ones are dropped, and the protocol resends them

// receivedMessage is a message with its sender.
type receivedMessage struct {
	from    replication.Replica
	message any
	size    int // in bytes, as received from another machine; 0: sent by this machine
}

// enqueue puts a message into an inbox, or drops it if the inbox is full.
func (s *Service) enqueue(inbox chan receivedMessage, m receivedMessage) {
	if !s.queued.Reserve(m.size) {
		s.Counters.Dropped.Add(1)
		return
	}
	select {
	case inbox <- m:
	default:
		s.queued.Release(m.size)
		s.Counters.Dropped.Add(1)
	}
}
