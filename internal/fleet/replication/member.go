package replication

// onFetchSnapshot sends the state to the candidate that this replica has promised.
func (n *Node) onFetchSnapshot(from Replica, message FetchSnapshot) {
	if message.Number != n.nextNumber() || message.Ballot != n.hardState.Promised {
		return
	}
	n.sendWithSnapshot(from, FetchSnapshotReply{Number: message.Number, Ballot: message.Ballot, Position: n.hardState.Position})
}

// onInstallSnapshot stores the state that the next view begins with. No snapshot is needed where this replica holds the
// same state under its former position.
func (n *Node) onInstallSnapshot(from Replica, message InstallSnapshot) {
	if message.Number <= n.hardState.View.Number {
		n.sendViewNotice(from)
		return
	}
	bound := n.installBound(message.Number)
	if message.Ballot.less(bound) {
		n.send(from, Reject{Number: message.Number, Promised: bound})
		return
	}
	isInstalled := n.hardState.Position == message.Position && n.hardState.InstallBallot == message.Ballot
	hasSameState := n.hardState.Position == message.BasePosition && n.hardState.InstallBallot == message.BaseInstallBallot
	if !isInstalled && !hasSameState && message.Snapshot == nil {
		n.sendSnapshotNeeded(from, message.Number, message.Ballot)
		return
	}
	if !isInstalled {
		n.installState(message.Position, message.Ballot, message.Snapshot)
	}
	n.send(from, InstallSnapshotAck{Number: message.Number, Ballot: message.Ballot})
}

// installBound returns the lowest ballot under which a state for a view may be installed: the highest one under which this
// replica has installed a state for that view or a later one, or has promised to decide it.
func (n *Node) installBound(number uint64) Ballot {
	bound := n.hardState.InstallBallot
	if n.hardState.Position.View < number {
		bound = Ballot{}
	}
	if number == n.nextNumber() && bound.less(n.hardState.Promised) {
		bound = n.hardState.Promised
	}
	return bound
}

// sendSnapshotNeeded says which state is held, to a sender that offers another one.
func (n *Node) sendSnapshotNeeded(to Replica, number uint64, ballot Ballot) {
	n.send(to, SnapshotNeeded{Number: number, Ballot: ballot, Position: n.hardState.Position, InstallBallot: n.hardState.InstallBallot})
}

// installState takes over a state; a nil snapshot is the one that is held already, at another position.
func (n *Node) installState(position Position, installBallot Ballot, snapshot []byte) {
	n.hardState.Position, n.hardState.InstallBallot = position, installBallot
	write := n.persist()
	if snapshot != nil {
		write.Snapshot = snapshot
	}
}

// onAppend stores a change, as a member or as a learner that is to become one.
func (n *Node) onAppend(from Replica, message Append) {
	if !n.observeView(message.View) {
		n.sendViewNotice(from)
		return
	}
	if from != n.hardState.View.Primary || from == n.hardState.Self {
		return
	}
	if !n.hardState.Promised.isZero() {
		n.send(from, Reject{Number: n.nextNumber(), Promised: n.hardState.Promised})
		return
	}
	n.primaryLastSeen = n.now
	own := n.hardState.Position
	isSameHistory := n.hardState.InstallBallot == message.InstallBallot && own.View == message.Position.View
	switch {
	case isSameHistory && own.Sequence >= message.Position.Sequence: // stored already
	case isSameHistory && message.Entry != nil && own.Sequence+1 == message.Position.Sequence:
		n.hardState.Position = message.Position
		n.persist().Entry = message.Entry
	case message.Snapshot != nil:
		n.installState(message.Position, message.InstallBallot, message.Snapshot)
	default:
		n.sendSnapshotNeeded(from, n.hardState.View.Number, Ballot{})
		return
	}
	n.send(from, AppendAck{Number: n.hardState.View.Number, Position: n.hardState.Position})
}
