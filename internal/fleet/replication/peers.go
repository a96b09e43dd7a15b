package replication

import (
	"maps"
	"slices"
	"time"
)

// joinRequestTTLIntervals is how many intervals of join requests a request stays in force.
const joinRequestTTLIntervals = 4

// peerTable is what a replica has seen of the others since its start.
type peerTable struct {
	lastContact     map[Replica]time.Duration // when the last message came
	joinRequests    map[Replica]time.Duration // when each last requested to join
	formerWitnesses map[Replica]time.Duration // when each was removed from the view
	resigning       map[Replica]bool          // those that have announced that they shut down
}

func newPeerTable() peerTable {
	return peerTable{
		lastContact:     map[Replica]time.Duration{},
		joinRequests:    map[Replica]time.Duration{},
		formerWitnesses: map[Replica]time.Duration{},
		resigning:       map[Replica]bool{},
	}
}

// setResigning records whether a replica shuts down.
func (p *peerTable) setResigning(r Replica, isResigning bool) {
	if isResigning {
		p.resigning[r] = true
	} else {
		delete(p.resigning, r)
	}
}

// seenSince reports whether any replica for which the condition holds was in contact, or a witness, after a time.
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

// The following methods are the conditions that a composition reads.

// isLive reports whether a message of a replica came within a time.
func (n *Node) isLive(r Replica, within time.Duration) bool {
	if r == n.hardState.Self {
		return true
	}
	at, known := n.peers.lastContact[r]
	return known && n.now-at < within
}

// isLiveMember reports whether a replica was in contact lately enough to be a member.
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

// isCaughtUp reports whether a replica that is no member holds the primary's state.
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

// canInstall reports to a candidate whether a replica can install the state: it has promised, or requests to join.
func (n *Node) canInstall(r Replica) bool {
	return (n.election.hasPromised(r) || n.hasJoinRequest(r)) && !n.isExcluded(r)
}

// isInSync reports to a primary whether a replica can be a member of the next view: it is live, and holds the state if it
// is no member yet.
func (n *Node) isInSync(r Replica) bool {
	return n.isLiveMember(r) && (n.hardState.View.HasMember(r) || n.isCaughtUp(r))
}
