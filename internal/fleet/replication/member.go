package replication

// onFetchSnapshot sends a snapshot of the state to the candidate whose ballot this replica has promised.
func (n *Node) onFetchSnapshot(from Replica, message FetchSnapshot) {
	if message.Number != n.nextNumber() || message.Ballot != n.hardState.Promised {
		return
	}
	n.sendWithSnapshot(from, FetchSnapshotReply{Number: message.Number, Ballot: message.Ballot, Position: n.hardState.Position})
}

// onInstallSnapshot installs the initial state of a view to be decided. No snapshot is needed if this replica stores
// the same state under its previous position.
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

// installBound returns the lowest ballot under which the initial state of a view may be installed: the highest ballot
// under which this replica has installed a state for that view or a later one, or that it has promised for that view.
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

// sendSnapshotNeeded answers an InstallSnapshot or Append that can't be applied, and reports which state this replica
// stores, so that the sender can send what is missing.
func (n *Node) sendSnapshotNeeded(to Replica, number uint64, ballot Ballot) {
	n.send(to, SnapshotNeeded{Number: number, Ballot: ballot, Position: n.hardState.Position, InstallBallot: n.hardState.InstallBallot})
}

// installState replaces the stored state by a snapshot, with its position and install ballot. With a nil snapshot the
// stored state is kept, under the new position and install ballot.
func (n *Node) installState(position Position, installBallot Ballot, snapshot []byte) {
	n.hardState.Position, n.hardState.InstallBallot = position, installBallot
	write := n.persist()
	if snapshot != nil {
		write.Snapshot = snapshot
	}
}

// onAppend stores a change or a snapshot from the primary, as a member or as a learner.
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
