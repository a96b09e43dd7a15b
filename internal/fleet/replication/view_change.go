package replication

import (
	"slices"
	"time"
)

// viewChangeReason returns why a primary should change its view: to remove an unresponsive, slow or resigning member if
// the others suffice, or to add replicas that have stored the state already. It returns NoElection if there is no
// reason.
func (n *Node) viewChangeReason() ElectionReason {
	if n.canDropFailedMember() {
		return MemberFailed
	}
	if n.status != Leading || n.primary.pending {
		return NoElection
	}
	if n.canDropResigningMember() {
		return MemberResigning
	}
	if n.now-n.primary.startedAt > n.options.Timing.MinViewChangeInterval && n.canImproveComposition() {
		return CompositionImproves
	}
	return NoElection
}

// canDropFailedMember reports whether a member is unresponsive or late to store a change, and the others suffice
// without it. It penalizes late members.
func (n *Node) canDropFailedMember() bool {
	isAppendLate := n.isAppendLate()
	hasFailed := false
	var others []Replica
	for _, member := range n.hardState.View.Members {
		switch {
		case isAppendLate && n.primary.matchPosition[member] != n.hardState.Position:
			n.penalize(member)
			hasFailed = true
		case n.now-n.primary.startedAt > n.options.Timing.MemberTimeout && !n.isLiveMember(member):
			hasFailed = true
		default:
			others = append(others, member)
		}
	}
	return hasFailed && n.keepsEnoughCopies(append(others, n.spareWitnesses()...))
}

// minAppendBytesPerSecond is the rate at which a member is expected to receive, decode and store a change. Members have
// the time that follows from it in addition to AppendTimeout, because a view change that removes a healthy member costs
// more than that time.
const minAppendBytesPerSecond = 1 << 20

// isAppendLate reports whether the time in which members must store the pending change, or the view's initial state,
// has passed.
func (n *Node) isAppendLate() bool {
	p := n.primary
	since, timeout := p.startedAt, n.options.Timing.AppendTimeout
	if p.pending {
		since = p.pendingSince
		timeout += time.Duration(len(p.lastEntry)) * time.Second / minAppendBytesPerSecond
	}
	return (p.pending || n.status == Activating) && n.now-since > timeout
}

// spareWitnesses returns the witnesses that could become members: in contact recently, not penalized, and not members
// yet.
func (n *Node) spareWitnesses() []Replica {
	var spares []Replica
	for _, r := range n.hardState.View.Witnesses {
		if !n.hardState.View.HasMember(r) && n.isLiveMember(r) && !n.isPenalized(r) {
			spares = append(spares, r)
		}
	}
	return spares
}

// canDropResigningMember reports whether there is a resigning member, and the next view can have enough members in sync
// without it.
func (n *Node) canDropResigningMember() bool {
	if !slices.ContainsFunc(n.hardState.View.Members, n.isResigning) {
		return false
	}
	next := n.composition()
	return next.survivesLoss(next.nextMembers(next.nextWitnesses(true), n.isInSync))
}

// canImproveComposition reports whether a view change would add a member or change the witnesses, using only replicas
// that have stored the state, and its members would survive the tolerated loss.
func (n *Node) canImproveComposition() bool {
	view, next := &n.hardState.View, n.composition()
	witnesses := next.nextWitnesses(true)
	members := next.nextMembers(witnesses, n.isInSync)
	if !next.survivesLoss(members) {
		return false
	}
	isNewMember := func(r Replica) bool { return !view.HasMember(r) }
	return len(members) > len(view.Members) || slices.ContainsFunc(members, isNewMember) || !SameReplicas(witnesses, view.Witnesses)
}
