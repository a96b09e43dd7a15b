package replication

import (
	"maps"
	"slices"
	"time"
)

// joinRequestTTLIntervals is how long a join request is valid, as a multiple of JoinInterval.
const joinRequestTTLIntervals = 4

// peerTable holds what a replica has observed of the others since its start.
type peerTable struct {
	lastContact     map[Replica]time.Duration // when the last message was received
	joinRequests    map[Replica]time.Duration // when the last join request was received
	formerWitnesses map[Replica]time.Duration // when each was last removed from the witnesses
	resigning       map[Replica]bool          // replicas that have announced a shutdown
}

func newPeerTable() peerTable {
	return peerTable{
		lastContact:     map[Replica]time.Duration{},
		joinRequests:    map[Replica]time.Duration{},
		formerWitnesses: map[Replica]time.Duration{},
		resigning:       map[Replica]bool{},
	}
}

// setResigning records whether a replica is resigning.
func (p *peerTable) setResigning(r Replica, isResigning bool) {
	if isResigning {
		p.resigning[r] = true
	} else {
		delete(p.resigning, r)
	}
}

// seenSince reports whether any replica that meets the condition was in contact or was still a witness after a time.
func (p *peerTable) seenSince(since time.Duration, condition func(Replica) bool) bool {
	for _, seen := range []map[Replica]time.Duration{p.lastContact, p.formerWitnesses} {
		for r, at := range seen {
			if at > since && condition(r) {
				return true
			}
		}
	}
	return false
}

// The following methods implement conditions for a composition, and related checks.

// isLive reports whether a message from a replica was received within a time before now. It is true of this replica.
func (n *Node) isLive(r Replica, within time.Duration) bool {
	if r == n.hardState.Self {
		return true
	}
	at, known := n.peers.lastContact[r]
	return known && n.now-at < within
}

// isLiveMember reports whether a replica was in contact recently enough to be a member.
func (n *Node) isLiveMember(r Replica) bool { return n.isLive(r, n.options.Timing.MemberTimeout) }

func (n *Node) isResponsive(r Replica) bool {
	return n.isLive(r, n.options.Timing.WitnessTimeout) || n.election.hasPromised(r)
}

func (n *Node) isResigning(r Replica) bool {
	if r == n.hardState.Self {
		return n.resignation.requested
	}
	return n.peers.resigning[r]
}

func (n *Node) isPenalized(r Replica) bool { return n.penalties.includes(r, n.now) }

func (n *Node) isExcluded(r Replica) bool { return n.election.isExcluded(r) }

// isCaughtUp reports whether a replica that is not a member has stored the primary's state. On a candidate that was
// leading, the answer is that of the start of the election.
func (n *Node) isCaughtUp(r Replica) bool {
	if n.primary != nil {
		return n.primary.matchPosition[r] == n.hardState.Position
	}
	return n.election != nil && n.election.caughtUp[r]
}

func (n *Node) hasJoinRequest(r Replica) bool {
	at, known := n.peers.joinRequests[r]
	return known && n.now-at < joinRequestTTLIntervals*n.options.Timing.JoinInterval
}

func (n *Node) joiningReplicas() []Replica {
	joining := slices.Collect(maps.Keys(n.peers.joinRequests))
	joining = slices.DeleteFunc(joining, func(r Replica) bool { return !n.hasJoinRequest(r) || n.hardState.View.HasWitness(r) })
	slices.SortFunc(joining, CompareReplicas)
	return joining
}

// canInstall reports whether a candidate may expect a replica to install the state: the replica has promised or
// requests to join, and is not excluded from the election.
func (n *Node) canInstall(r Replica) bool {
	return (n.election.hasPromised(r) || n.hasJoinRequest(r)) && !n.isExcluded(r)
}

// isInSync reports whether a primary may choose a replica as a member of the next view: the replica was in contact
// recently, and is a member already or has stored the current state.
func (n *Node) isInSync(r Replica) bool {
	return n.isLiveMember(r) && (n.hardState.View.HasMember(r) || n.isCaughtUp(r))
}
