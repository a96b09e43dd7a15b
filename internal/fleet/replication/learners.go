package replication

import "slices"

// Learners are replicas that the next view is to add. The primary brings them up to its state before that, beside the
// changes that it takes, so that a view change transfers no snapshot, however slow a link is.

// Bounds of what a primary does for learners.
const (
	maxRetainedEntries    = 64
	maxRetainedBytes      = 1 << 20
	maxConcurrentLearners = 2
)

// retainedEntries are the last changes, in their order, for learners that are a little behind.
type retainedEntries struct {
	entries []retainedEntry
	bytes   int
}

// retainedEntry is a change, and the sequence number that it led to.
type retainedEntry struct {
	sequence uint64
	entry    []byte
}

// add retains a change, and drops the oldest ones beyond the bounds.
func (r *retainedEntries) add(sequence uint64, entry []byte) {
	r.entries = append(r.entries, retainedEntry{sequence: sequence, entry: entry})
	r.bytes += len(entry)
	for len(r.entries) > maxRetainedEntries || r.bytes > maxRetainedBytes {
		r.bytes -= len(r.entries[0].entry)
		r.entries = r.entries[1:]
	}
}

// between returns the changes after one sequence number up to another one; ok is false where one of them is not retained.
func (r *retainedEntries) between(after, upTo uint64) (entries []retainedEntry, ok bool) {
	at := slices.IndexFunc(r.entries, func(e retainedEntry) bool { return e.sequence == after+1 })
	if at < 0 {
		return nil, false
	}
	return r.entries[at:], r.entries[len(r.entries)-1].sequence == upTo
}

// learners returns the replicas that the next view would add if they held the state.
func (n *Node) learners() []Replica {
	view, next := &n.hardState.View, n.composition()
	witnesses := next.nextWitnesses(false)
	members := next.nextMembers(witnesses, n.isLiveMember)
	return slices.DeleteFunc(union(witnesses, members), func(r Replica) bool {
		hasRole := view.HasMember(r) || view.HasWitness(r) && !slices.Contains(members, r)
		return hasRole || r == n.hardState.Self
	})
}

// syncLearners asks learners whether they hold the state. Those that don't answer with the state that they have.
func (n *Node) syncLearners() {
	learners := n.learners()
	n.primary.learners = learners[:min(len(learners), maxConcurrentLearners)]
	for _, r := range n.primary.learners {
		if n.primary.needsResend(r, n.hardState.Position, n.now) {
			n.primary.lastSent[r] = n.now
			n.send(r, n.appendMessage(n.hardState.Position))
		}
	}
}

// sendCatchUp sends a replica what it lacks: the changes since its position if they are retained, else the snapshot.
func (n *Node) sendCatchUp(to Replica, position Position, installBallot Ballot) {
	own := n.hardState.Position
	if installBallot == n.hardState.InstallBallot && position.View == own.View {
		if entries, ok := n.primary.retained.between(position.Sequence, own.Sequence); ok {
			for _, e := range entries {
				message := n.appendMessage(Position{View: own.View, Sequence: e.sequence})
				message.Entry = e.entry
				n.send(to, message)
			}
			return
		}
	}
	if n.transfers.tryStart(to, n.now) {
		n.sendWithSnapshot(to, n.appendMessage(own))
	}
}
