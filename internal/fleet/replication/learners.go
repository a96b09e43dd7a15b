package replication

import "slices"

// Learners are replicas that the next view is to add. The primary brings them up to date before the view change, while
// it goes on committing changes, so that the view change itself transfers no snapshot, even over a slow link.

// Bounds on the changes that a primary retains for learners, and on the learners that it brings up to date at a time.
const (
	maxRetainedEntries    = 64
	maxRetainedBytes      = 1 << 20
	maxConcurrentLearners = 2
)

// retainedEntries holds the most recent changes in order, for learners that lack only a few of them.
type retainedEntries struct {
	entries []retainedEntry
	bytes   int
}

// retainedEntry is a change, and the sequence number of the state after it.
type retainedEntry struct {
	sequence uint64
	entry    []byte
}

// add retains a change, and drops the oldest changes beyond the bounds.
func (r *retainedEntries) add(sequence uint64, entry []byte) {
	r.entries = append(r.entries, retainedEntry{sequence: sequence, entry: entry})
	r.bytes += len(entry)
	for len(r.entries) > maxRetainedEntries || r.bytes > maxRetainedBytes {
		r.bytes -= len(r.entries[0].entry)
		r.entries = r.entries[1:]
	}
}

// between returns the changes after one sequence number up to another one. ok is false if they are not all retained, or
// if upTo is not the last retained one.
func (r *retainedEntries) between(after, upTo uint64) (entries []retainedEntry, ok bool) {
	at := slices.IndexFunc(r.entries, func(e retainedEntry) bool { return e.sequence == after+1 })
	if at < 0 {
		return nil, false
	}
	return r.entries[at:], r.entries[len(r.entries)-1].sequence == upTo
}

// learners returns the replicas that the next view would add if they had stored the current state.
func (n *Node) learners() []Replica {
	view, next := &n.hardState.View, n.composition()
	witnesses := next.nextWitnesses(false)
	members := next.nextMembers(witnesses, n.isLiveMember)
	return slices.DeleteFunc(union(witnesses, members), func(r Replica) bool {
		hasNextRole := view.HasMember(r) || view.HasWitness(r) && !slices.Contains(members, r)
		return hasNextRole || r == n.hardState.Self
	})
}

// syncLearners asks learners, at intervals, whether they have stored the current state. A learner that has not answers
// with SnapshotNeeded, which names the state that it stores; sendCatchUp then sends the rest.
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

// sendCatchUp brings a replica up to date: it sends the changes since the replica's position if they are retained, else
// the snapshot.
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
