package replication

import (
	"slices"
	"time"
)

// A replica whose machine ends in a planned way says so, whatever its part in the view is, and goes on as a witness and a
// member until the primary releases it: by then its copy and its vote are where they have to be, as far as waiting helps.

// replacementMemory is how long a leaver hopes for a newcomer that it does not hear of any more.
const replacementMemory = 15 * time.Second

// releaseTTL is how long the primary's word that a replica may end holds: it is asked again, since much may happen until
// the process has brought its requests to an end.
const releaseTTL = 4 * resendInterval

// Resign says that this replica is about to end. Where it is the primary, another member takes its place; it goes on as the
// primary until the other has.
func (n *Node) Resign(now time.Duration) *Output {
	out := n.step(now)
	n.resigning = true
	n.announceResignation()
	return out
}

// CanStop tells whether a replica that has resigned may end: nobody needs its copy or its vote, or there is nobody who
// could take them over.
func (n *Node) CanStop() bool {
	return n.resigning && n.releasedAt > 0 && n.now-n.releasedAt < releaseTTL
}

// announceResignation tells the others of the view, again and again. The primary answers itself.
func (n *Node) announceResignation() {
	if !n.resigning || n.now < n.nextResign {
		return
	}
	n.nextResign = n.now + resendInterval
	if n.canRelease(n.hardState.Self) {
		n.releasedAt = n.now
		return
	}
	for _, replica := range union(n.hardState.View.Witnesses, n.hardState.View.Members) {
		n.send(replica, Resign{Number: n.hardState.View.Number})
	}
}

func (n *Node) onResign(from Replica, message Resign) {
	if message.Number < n.hardState.View.Number {
		n.send(from, ViewNotice{View: n.hardState.View})
	}
	if message.Number > n.hardState.View.Number {
		return
	}
	n.recordResigning(from, true)
	if n.canRelease(from) {
		n.send(from, ResignAck{Number: n.hardState.View.Number})
		return
	}
	if message.Number == n.hardState.View.Number && from == n.hardState.View.Primary {
		n.startSuccession()
	}
}

// succeed has nobody wait for a primary that leaves, and the first member that stays take its place.
func (n *Node) startSuccession() {
	if n.status != Following || !n.hardState.Promised.isZero() {
		return // a view change is under way
	}
	n.primaryLastSeen = min(n.primaryLastSeen, n.now-n.primaryStickiness())
	if n.successor() == n.hardState.Self {
		n.startElection()
	}
}

func (n *Node) onResignAck(message ResignAck) {
	if n.resigning && message.Number >= n.hardState.View.Number {
		n.releasedAt = n.now
	}
}

// canRelease tells a primary whether a replica that leaves may end: it has no part in the view, or the next view would give
// it the same part, because nobody can take it over.
func (n *Node) canRelease(r Replica) bool {
	if n.status != Leading || n.primary.pending {
		return false
	}
	witnesses := n.nextWitnesses(false)
	members := n.nextMembers(witnesses, func(r Replica) bool {
		return n.isLive(r, n.options.Timing.MemberTimeout) && (n.hardState.View.HasMember(r) || !n.isPenalized(r))
	})
	votes := n.hardState.View.HasWitness(r) && (!slices.Contains(witnesses, r) || n.hasPossibleReplacement())
	holds := n.hardState.View.HasMember(r) && (n.survivesLoss(members) || n.hasOtherCopyTarget())
	return !votes && !holds
}

// hasPossibleReplacement tells whether a replica of another machine was heard of lately that may come back, or be reached again,
// and be taken in.
func (n *Node) hasPossibleReplacement() bool {
	for _, known := range []map[Replica]time.Duration{n.lastContact, n.formerWitnesses} {
		for r, at := range known {
			if n.now-at < replacementMemory && n.isPossibleReplacement(r) {
				return true
			}
		}
	}
	return false
}

// isPossibleReplacement tells whether a replica is of a machine that counts and has no part in the view.
func (n *Node) isPossibleReplacement(r Replica) bool {
	isSameMachine := func(w Replica) bool { return w.Address == r.Address }
	place := n.options.LocalityOf(r.Address)
	return !slices.ContainsFunc(n.hardState.View.Witnesses, isSameMachine) && (!place.Known || place.CountsForQuorum)
}

// hasOtherCopyTarget tells whether there is a replica that may come back, or may be reached again, and take a copy.
func (n *Node) hasOtherCopyTarget() bool {
	others := slices.DeleteFunc(n.notResigning(n.hardState.View.Witnesses), func(r Replica) bool { return r == n.hardState.Self })
	return len(others) > 0 || n.hasPossibleReplacement()
}

// recordResigning notes what a replica says of its own end.
func (n *Node) recordResigning(r Replica, leaving bool) {
	if leaving {
		n.resigningPeers[r] = true
	} else {
		delete(n.resigningPeers, r)
	}
}

func (n *Node) isResigning(r Replica) bool {
	if r == n.hardState.Self {
		return n.resigning
	}
	return n.resigningPeers[r]
}

// staying are the replicas of a list that have not said that they end. Only their copies count.
func (n *Node) notResigning(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), n.isResigning)
}

// successor is the first member beside the primary that stays.
func (n *Node) successor() Replica {
	for _, member := range n.notResigning(n.hardState.View.Members) {
		if member != n.hardState.View.Primary {
			return member
		}
	}
	return Replica{}
}
