package replication

import "time"

// activate makes this replica the primary of the view that it has just adopted.
func (n *Node) activate() {
	n.status = Activating
	n.primary = newPrimaryState(n.now, &n.hardState)
	n.sendAppend()
	n.advanceCommit()
}

// Propose starts the replication of a change. It returns false if this replica is not leading or has promised a ballot
// for the next view, if another change is pending, or if copies on the members that are not resigning would not survive
// the tolerated loss.
func (n *Node) Propose(now time.Duration, entry []byte) (*Output, bool) {
	out := n.step(now)
	if n.status != Leading || n.primary.pending || !n.hardState.Promised.isZero() {
		return out, false
	}
	if !n.keepsEnoughCopies(n.hardState.View.Members) {
		return out, false
	}
	n.hardState.Position.Sequence++
	n.primary.setPending(now, n.hardState.Self, n.hardState.Position, entry)
	n.persist().Entry = entry
	n.sendAppend()
	n.advanceCommit()
	return out, true
}

// keepsEnoughCopies reports whether copies on the given replicas survive the tolerated loss, without those on resigning
// replicas.
func (n *Node) keepsEnoughCopies(replicas []Replica) bool {
	c := n.composition()
	return c.survivesLoss(c.notResigning(replicas))
}

// Committed returns the position up to which all members have stored the state. ok is false if this replica is not
// leading.
func (n *Node) Committed() (position Position, ok bool) {
	if n.status != Leading {
		return Position{}, false
	}
	return n.primary.committed, true
}

// HasPendingProposal reports whether this replica is the primary and has proposed a change that is not committed yet.
func (n *Node) HasPendingProposal() bool { return n.primary != nil && n.primary.pending }

// LeadershipConfirmedAt returns when this primary sent the last heartbeat round that a majority of the witnesses has
// acknowledged: at that time no later view was in effect. ok is false if this replica is not leading, and before the
// first such round.
func (n *Node) LeadershipConfirmedAt() (at time.Duration, ok bool) {
	if n.status != Leading || !n.primary.heartbeats.isConfirmed {
		return 0, false
	}
	return n.primary.heartbeats.confirmedAt, true
}

// ConfirmLeadership starts a heartbeat round at once if this replica is the primary.
func (n *Node) ConfirmLeadership(now time.Duration) *Output {
	out := n.step(now)
	if n.primary != nil {
		n.sendHeartbeats()
	}
	return out
}

// sendAppend sends the last change to the members and learners that have not stored it.
func (n *Node) sendAppend() {
	target := n.hardState.Position
	for _, r := range union(n.hardState.View.Members, n.primary.learners) {
		if n.primary.matchPosition[r] == target {
			continue
		}
		message := n.appendMessage(target)
		if n.primary.pending {
			message.Entry = n.primary.lastEntry
		}
		n.primary.lastSent[r] = n.now
		n.send(r, message)
	}
}

// appendMessage returns an Append for a position, without a change or a snapshot.
func (n *Node) appendMessage(position Position) Append {
	return Append{View: n.hardState.View, InstallBallot: n.hardState.InstallBallot, Position: position}
}

func (n *Node) onAppendAck(from Replica, message AppendAck) {
	if n.primary == nil || message.Number != n.hardState.View.Number {
		return
	}
	n.primary.matchPosition[from] = message.Position
	n.transfers.finish(from)
	n.advanceCommit()
}

// advanceCommit commits the last change once all members have stored it, if enough of them are not resigning.
func (n *Node) advanceCommit() {
	if !n.keepsEnoughCopies(n.hardState.View.Members) {
		return
	}
	for _, member := range n.hardState.View.Members {
		if n.primary.matchPosition[member] != n.hardState.Position {
			return
		}
	}
	n.primary.committed = n.hardState.Position
	n.primary.pending = false
	if n.status == Activating {
		n.status = Leading
		n.sendHeartbeats()
	}
}

// sendHeartbeats starts a heartbeat round. It also sends the heartbeat to joining replicas, which learn the view from
// it.
func (n *Node) sendHeartbeats() {
	p := n.primary
	round := p.heartbeats.start(n.hardState.Self, n.now, n.options.Timing.HeartbeatInterval)
	message := Heartbeat{
		View:           n.hardState.View,
		Round:          p.heartbeats.number,
		ConfirmedAgeMs: uint64(p.heartbeats.unconfirmedFor(n.now, p.startedAt) / time.Millisecond),
	}
	for _, replica := range union(n.hardState.View.Witnesses, n.joiningReplicas()) {
		n.send(replica, message)
	}
	n.countHeartbeatAcks(round)
}

func (n *Node) onHeartbeatAck(from Replica, message HeartbeatAck) {
	n.peers.setResigning(from, message.Resigning)
	if n.primary == nil || message.Number != n.hardState.View.Number {
		return
	}
	round := n.primary.heartbeats.open[message.Round]
	if round == nil || !message.Current || !n.hardState.View.HasWitness(from) {
		return
	}
	round.acks[from] = true
	n.countHeartbeatAcks(round)
}

func (n *Node) countHeartbeatAcks(round *heartbeatRound) {
	if len(round.acks) < n.hardState.View.quorum() || !n.hardState.Promised.isZero() {
		return
	}
	n.primary.heartbeats.confirm(round)
}

func (n *Node) tickPrimary() {
	if n.now >= n.primary.heartbeats.nextAt {
		n.sendHeartbeats()
	}
	if n.status == Activating || n.primary.pending {
		n.advanceCommit() // a member may not be resigning any more
		n.resendAppend()
	} else {
		n.syncLearners()
	}
	if reason := n.viewChangeReason(); reason != NoElection {
		n.startElection(reason)
	}
}

func (n *Node) resendAppend() {
	for _, member := range n.hardState.View.Members {
		if n.primary.needsResend(member, n.hardState.Position, n.now) {
			n.sendAppend()
			return
		}
	}
}
