package replication

import (
	"slices"
	"time"
)

// A replica whose machine shuts down in a planned way announces it, whatever its part in the view is, and goes on as a
// witness and a member until the primary releases it: by then its copy and its vote are where they have to be, as far as
// waiting helps.

// possibleReplacementTTL is how long a resigning replica is kept in the hope for a replacement that is not in contact any more.
const possibleReplacementTTL = 15 * time.Second

// releaseTTL is how long a release by the primary is valid: the replica asks again, since much may happen until its process
// has drained its requests.
const releaseTTL = 4 * resendInterval

// resignation is the state of a replica's own planned shutdown.
type resignation struct {
	requested      bool
	releasedAt     time.Duration // when the primary last said that the replica may stop; 0: it did not
	nextAnnounceAt time.Duration
}

func (r *resignation) release(now time.Duration) { r.releasedAt = now }

func (r *resignation) revoke() { r.releasedAt = 0 }

// isReleased reports whether a release is valid.
func (r *resignation) isReleased(now time.Duration) bool {
	return r.requested && r.releasedAt > 0 && now-r.releasedAt < releaseTTL
}

// Resign says that this replica is about to stop. Where it is the primary, another member replaces it; it goes on as the
// primary until the other one has.
func (n *Node) Resign(now time.Duration) *Output {
	out := n.step(now)
	n.resignation.requested = true
	n.announceResignation()
	return out
}

// CanStop reports whether a replica that has resigned may stop: nobody needs its copy or its vote, or there is nobody who
// could take them over.
func (n *Node) CanStop() bool { return n.resignation.isReleased(n.now) }

// announceResignation tells the others of the view, repeatedly. The primary answers itself.
func (n *Node) announceResignation() {
	if !n.resignation.requested || n.now < n.resignation.nextAnnounceAt {
		return
	}
	n.resignation.nextAnnounceAt = n.now + resendInterval
	if n.canRelease(n.hardState.Self) {
		n.resignation.release(n.now)
		return
	}
	for _, replica := range union(n.hardState.View.Witnesses, n.hardState.View.Members) {
		n.send(replica, Resign{Number: n.hardState.View.Number})
	}
}

func (n *Node) onResign(from Replica, message Resign) {
	if message.Number < n.hardState.View.Number {
		n.sendViewNotice(from)
	}
	if message.Number > n.hardState.View.Number {
		return
	}
	n.peers.setResigning(from, true)
	if n.canRelease(from) {
		n.send(from, ResignAck{Number: n.hardState.View.Number})
		return
	}
	if message.Number == n.hardState.View.Number && from == n.hardState.View.Primary {
		n.startSuccession()
	}
}

// startSuccession ends the wait for a primary that is resigning, and makes the first member that is not a candidate.
func (n *Node) startSuccession() {
	if n.status != Following || !n.hardState.Promised.isZero() {
		return // an election is under way
	}
	n.primaryLastSeen = min(n.primaryLastSeen, n.now-n.primaryStickiness())
	if n.successor() == n.hardState.Self {
		n.startElection(PrimaryResigning)
	}
}

// successor returns the first member beside the primary that is not resigning; zero: there is none.
func (n *Node) successor() Replica {
	for _, member := range n.composition().notResigning(n.hardState.View.Members) {
		if member != n.hardState.View.Primary {
			return member
		}
	}
	return Replica{}
}

func (n *Node) onResignAck(message ResignAck) {
	if n.resignation.requested && message.Number >= n.hardState.View.Number {
		n.resignation.release(n.now)
	}
}

// canRelease reports to a primary whether a resigning replica may stop: it has no part in the view, or the next view would
// give it the same part, because nobody can take it over.
func (n *Node) canRelease(r Replica) bool {
	if n.status != Leading || n.primary.pending {
		return false
	}
	next := n.composition()
	witnesses := next.nextWitnesses(false)
	members := next.nextMembers(witnesses, func(r Replica) bool {
		return n.isLiveMember(r) && (n.hardState.View.HasMember(r) || !n.isPenalized(r))
	})
	needsVote := n.hardState.View.HasWitness(r) && (!slices.Contains(witnesses, r) || n.hasPossibleReplacement())
	needsCopy := n.hardState.View.HasMember(r) && (next.survivesLoss(members) || n.hasPossibleCopyHolder())
	return !needsVote && !needsCopy
}

// hasPossibleReplacement reports whether a replica of another machine was seen lately that may come back, or be reached
// again, and join.
func (n *Node) hasPossibleReplacement() bool {
	return n.peers.seenSince(n.now-possibleReplacementTTL, n.isPossibleReplacement)
}

// isPossibleReplacement reports whether a replica is of a machine that may vote and has no part in the view.
func (n *Node) isPossibleReplacement(r Replica) bool {
	isSameMachine := func(w Replica) bool { return w.Address == r.Address }
	return !slices.ContainsFunc(n.hardState.View.Witnesses, isSameMachine) && !n.topology().isNonVoting(r)
}

// hasPossibleCopyHolder reports whether there is a replica that may come back, or be reached again, and store a copy.
func (n *Node) hasPossibleCopyHolder() bool {
	staying := n.composition().notResigning(n.hardState.View.Witnesses)
	isOther := func(r Replica) bool { return r != n.hardState.Self }
	return slices.ContainsFunc(staying, isOther) || n.hasPossibleReplacement()
}
