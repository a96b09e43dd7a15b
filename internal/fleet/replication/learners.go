package replication

import "slices"

// Learners are replicas that the next view is to take in. The primary brings them up to its state before that, beside the
// changes that it takes, so that a view change hands over no whole state, however slow a link is.

// Bounds of the changes that a primary keeps for learners that are a little behind.
const (
	entriesMost      = 64
	entryBytesMost   = 1 << 20
	learnersTogether = 2 // that are brought up at a time
)

// keptEntry is a change, and the sequence that it led to.
type keptEntry struct {
	sequence uint64
	entry    []byte
}

// keepEntry keeps a change for learners.
func (l *leadership) keepEntry(sequence uint64, entry []byte) {
	l.entries = append(l.entries, keptEntry{sequence: sequence, entry: entry})
	l.entryBytes += len(entry)
	for len(l.entries) > entriesMost || l.entryBytes > entryBytesMost {
		l.entryBytes -= len(l.entries[0].entry)
		l.entries = l.entries[1:]
	}
}

// entriesAfter are the changes after a sequence; ok is false where one of them is not kept.
func (l *leadership) entriesAfter(sequence, upTo uint64) (entries []keptEntry, ok bool) {
	at := slices.IndexFunc(l.entries, func(e keptEntry) bool { return e.sequence == sequence+1 })
	if at < 0 {
		return nil, false
	}
	return l.entries[at:], l.entries[len(l.entries)-1].sequence == upTo
}

// isPrepared tells whether a replica holds the primary's state though it is no member.
func (m *Node) isPrepared(r Replica) bool {
	if m.lead != nil {
		return m.lead.holds[r] == m.durable.Position
	}
	return m.election != nil && m.election.prepared[r]
}

// learners are the replicas that the next view would take in if they held the state.
func (m *Node) learners() []Replica {
	witnesses := m.nextWitnesses(false)
	members := m.nextMembers(witnesses, func(r Replica) bool { return m.live(r, m.options.Timing.MemberTimeout) })
	return slices.DeleteFunc(union(witnesses, members), func(r Replica) bool {
		view := &m.durable.View
		isIn := view.HasMember(r) || view.HasWitness(r) && !slices.Contains(members, r)
		return isIn || r == m.durable.Self
	})
}

// teach asks learners whether they hold the state. Those that don't say what they lack.
func (m *Node) teach() {
	learners := m.learners()
	m.lead.learners = learners[:min(len(learners), learnersTogether)]
	for _, r := range m.lead.learners {
		if m.lead.holds[r] != m.durable.Position && m.now-m.lead.sentAt[r] > resendEvery {
			m.lead.sentAt[r] = m.now
			m.send(r, Append{View: m.durable.View, Source: m.durable.Source, Position: m.durable.Position})
		}
	}
}

// sendMissing sends a replica what it lacks: the changes since its position where they are kept, else the state.
func (m *Node) sendMissing(to Replica, held Position, source Ballot) {
	if source == m.durable.Source && held.View == m.durable.Position.View {
		if entries, ok := m.lead.entriesAfter(held.Sequence, m.durable.Position.Sequence); ok {
			for _, e := range entries {
				position := Position{View: m.durable.Position.View, Sequence: e.sequence}
				m.send(to, Append{View: m.durable.View, Source: m.durable.Source, Position: position, Entry: e.entry})
			}
			return
		}
	}
	if m.transfers.mayBegin(to, m.now) {
		m.sendState(to, Append{View: m.durable.View, Source: m.durable.Source, Position: m.durable.Position})
	}
}
