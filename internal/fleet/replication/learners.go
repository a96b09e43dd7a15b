package replication

import "slices"

// Learners are replicas that the next view is to take in. The primary brings them up to its state before that, beside the
// changes that it takes, so that a view change hands over no whole state, however slow a link is.

// Bounds of the changes that a primary keeps for learners that are a little behind.
const (
	maxRetainedEntries      = 64
	maxRetainedBytes   = 1 << 20
	maxConcurrentLearners = 2 // that are brought up at a time
)

// retainedEntry is a change, and the sequence that it led to.
type retainedEntry struct {
	sequence uint64
	entry    []byte
}

// retainEntry keeps a change for learners.
func (l *primaryState) retainEntry(sequence uint64, entry []byte) {
	l.retained = append(l.retained, retainedEntry{sequence: sequence, entry: entry})
	l.retainedBytes += len(entry)
	for len(l.retained) > maxRetainedEntries || l.retainedBytes > maxRetainedBytes {
		l.retainedBytes -= len(l.retained[0].entry)
		l.retained = l.retained[1:]
	}
}

// entriesAfter are the changes after a sequence; ok is false where one of them is not kept.
func (l *primaryState) entriesAfter(sequence, upTo uint64) (entries []retainedEntry, ok bool) {
	at := slices.IndexFunc(l.retained, func(e retainedEntry) bool { return e.sequence == sequence+1 })
	if at < 0 {
		return nil, false
	}
	return l.retained[at:], l.retained[len(l.retained)-1].sequence == upTo
}

// isCaughtUp tells whether a replica holds the primary's state though it is no member.
func (n *Node) isCaughtUp(r Replica) bool {
	if n.primary != nil {
		return n.primary.matchPosition[r] == n.hardState.Position
	}
	return n.election != nil && n.election.caughtUp[r]
}

// learners are the replicas that the next view would take in if they held the state.
func (n *Node) learners() []Replica {
	witnesses := n.nextWitnesses(false)
	members := n.nextMembers(witnesses, func(r Replica) bool { return n.isLive(r, n.options.Timing.MemberTimeout) })
	return slices.DeleteFunc(union(witnesses, members), func(r Replica) bool {
		view := &n.hardState.View
		isIn := view.HasMember(r) || view.HasWitness(r) && !slices.Contains(members, r)
		return isIn || r == n.hardState.Self
	})
}

// teach asks learners whether they hold the state. Those that don't say what they lack.
func (n *Node) syncLearners() {
	learners := n.learners()
	n.primary.learners = learners[:min(len(learners), maxConcurrentLearners)]
	for _, r := range n.primary.learners {
		if n.primary.matchPosition[r] != n.hardState.Position && n.now-n.primary.lastSent[r] > resendInterval {
			n.primary.lastSent[r] = n.now
			n.send(r, Append{View: n.hardState.View, Source: n.hardState.Source, Position: n.hardState.Position})
		}
	}
}

// sendCatchUp sends a replica what it lacks: the changes since its position where they are kept, else the state.
func (n *Node) sendCatchUp(to Replica, held Position, source Ballot) {
	if source == n.hardState.Source && held.View == n.hardState.Position.View {
		if entries, ok := n.primary.entriesAfter(held.Sequence, n.hardState.Position.Sequence); ok {
			for _, e := range entries {
				position := Position{View: n.hardState.Position.View, Sequence: e.sequence}
				n.send(to, Append{View: n.hardState.View, Source: n.hardState.Source, Position: position, Entry: e.entry})
			}
			return
		}
	}
	if n.transfers.tryStart(to, n.now) {
		n.sendWithSnapshot(to, Append{View: n.hardState.View, Source: n.hardState.Source, Position: n.hardState.Position})
	}
}
