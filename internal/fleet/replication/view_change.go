package replication

import (
	"slices"
	"time"
)

// viewChangeReason says to a primary why another composition of its view would be better: without an unresponsive, slow or resigning
// member, if the others suffice, or with replicas that hold the state already. NoElection: it would not.
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

// canDropFailedMember reports whether a member is unresponsive or late, and the others suffice without it. It penalizes
// late members.
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

// minAppendBytesPerSecond is how fast a member is expected to receive, decode and store a large change, beside AppendTimeout: a view that drops a
// sound member costs more than that time.
const minAppendBytesPerSecond = 1 << 20

// isAppendLate reports whether the members had time enough to store the change that is pending, or the view's first state.
func (n *Node) isAppendLate() bool {
	p := n.primary
	since, timeout := p.startedAt, n.options.Timing.AppendTimeout
	if p.pending {
		since = p.pendingSince
		timeout += time.Duration(len(p.lastEntry)) * time.Second / minAppendBytesPerSecond
	}
	return (p.pending || n.status == Activating) && n.now-since > timeout
}

// spareWitnesses returns the live witnesses that are no members and were not slow lately.
func (n *Node) spareWitnesses() []Replica {
	var spares []Replica
	for _, r := range n.hardState.View.Witnesses {
		if !n.hardState.View.HasMember(r) && n.isLiveMember(r) && !n.isPenalized(r) {
			spares = append(spares, r)
		}
	}
	return spares
}

// canDropResigningMember reports whether there is a resigning member that the view can do without at once.
func (n *Node) canDropResigningMember() bool {
	if !slices.ContainsFunc(n.hardState.View.Members, n.isResigning) {
		return false
	}
	next := n.composition()
	return next.survivesLoss(next.nextMembers(next.nextWitnesses(true), n.isInSync))
}

// canImproveComposition reports whether a view change would change the composition, and could: all that it would add hold
// the state.
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
