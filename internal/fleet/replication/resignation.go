package replication

import (
	"slices"
	"time"
)

// A replica resigns before a planned shutdown, whatever its role in the view. It remains a witness and a member until
// the primary releases it: by then other replicas have taken over its copy and its vote, unless there are none that
// could.

// possibleReplacementTTL is how long after its last contact a replica is regarded as a possible replacement. A
// resigning witness or member is not released while there is one.
const possibleReplacementTTL = 15 * time.Second

// releaseTTL is how long a release by the primary is valid. It expires because the view may change while the process
// still drains its requests; the replica repeats its announcement, and each answer renews the release.
const releaseTTL = 4 * resendInterval

// resignation is the state of a replica's own planned shutdown.
type resignation struct {
	requested      bool
	releasedAt     time.Duration // when the primary last released this replica; 0: not released
	nextAnnounceAt time.Duration
}

func (r *resignation) release(now time.Duration) { r.releasedAt = now }

func (r *resignation) revoke() { r.releasedAt = 0 }

// isReleased reports whether this replica has resigned and holds a valid release.
func (r *resignation) isReleased(now time.Duration) bool {
	return r.requested && r.releasedAt > 0 && now-r.releasedAt < releaseTTL
}

// Resign announces that this replica is about to stop. If it is the primary, it remains the primary until another
// member has replaced it.
func (n *Node) Resign(now time.Duration) *Output {
	out := n.step(now)
	n.resignation.requested = true
	n.announceResignation()
	return out
}

// CanStop reports whether a replica that has resigned may stop: its copy and its vote are no longer needed, or no other
// replica could take them over.
func (n *Node) CanStop() bool { return n.resignation.isReleased(n.now) }

// announceResignation sends Resign to the other replicas of the view, every resendInterval. A primary that may stop
// releases itself.
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

// startSuccession handles the resignation of the primary. This replica may then promise to another candidate, as if the
// primary were unresponsive, and becomes a candidate itself if it is the successor.
func (n *Node) startSuccession() {
	if n.status != Following || !n.hardState.Promised.isZero() {
		return // an election is in progress
	}
	n.primaryLastSeen = min(n.primaryLastSeen, n.now-n.primaryStickiness())
	if n.successor() == n.hardState.Self {
		n.startElection(PrimaryResigning)
	}
}

// successor returns the first member other than the primary that is not resigning, or the zero Replica if there is
// none.
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

// canRelease reports whether this replica is the primary and may release a resigning replica: the resigning replica has
// no role in the view, or no other replica can take its role over.
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

// hasPossibleReplacement reports whether a possible replacement was in contact or a witness within
// possibleReplacementTTL: it may start again, or become reachable again, and join.
func (n *Node) hasPossibleReplacement() bool {
	return n.peers.seenSince(n.now-possibleReplacementTTL, n.isPossibleReplacement)
}

// isPossibleReplacement reports whether a replica may vote, and is of a machine that has no witness in the view.
func (n *Node) isPossibleReplacement(r Replica) bool {
	isSameMachine := func(w Replica) bool { return w.Address == r.Address }
	return !slices.ContainsFunc(n.hardState.View.Witnesses, isSameMachine) && !n.topology().isNonVoting(r)
}

// hasPossibleCopyHolder reports whether another replica may store a copy, now or when it is reachable again: a witness
// that is not resigning, or a possible replacement.
func (n *Node) hasPossibleCopyHolder() bool {
	staying := n.composition().notResigning(n.hardState.View.Witnesses)
	isOther := func(r Replica) bool { return r != n.hardState.Self }
	return slices.ContainsFunc(staying, isOther) || n.hasPossibleReplacement()
}
