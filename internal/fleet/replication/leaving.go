package replication

import "time"

// resignedFor is how long a replica that has said that it ends is not taken in as a member.
const resignedFor = 15 * time.Second

// Resign says that this replica is about to end. Where it is the primary, another member takes its place; it goes on as a
// witness, and as the primary until the other has.
func (m *Machine) Resign(now time.Duration) *Output {
	out := m.step(now)
	m.leaving = true
	if m.lead == nil || len(m.durable.View.Members) < 2 {
		return out
	}
	for _, replica := range union(m.durable.View.Witnesses, m.durable.View.Members) {
		m.send(replica, Resign{Number: m.durable.View.Number})
	}
	return out
}

func (m *Machine) onResign(from Replica, message Resign) {
	if message.Number != m.durable.View.Number || from != m.durable.View.Primary {
		return
	}
	m.penalties[from] = &penalty{until: m.now + resignedFor, span: m.options.Timing.Penalty / 2}
	m.primarySeen = m.now - m.stickiness() // nobody has to wait for it any more
	if m.successor() == m.durable.Self {
		m.startElection()
	}
}

// successor is the first member beside the primary.
func (m *Machine) successor() Replica {
	for _, member := range m.durable.View.Members {
		if member != m.durable.View.Primary {
			return member
		}
	}
	return Replica{}
}
