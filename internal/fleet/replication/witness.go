package replication

import "time"

// What a replica does as a witness and as a member of another replica's view.

// stickiness is how long after a sign of life of the primary a witness promises to nobody else.
func (n *Node) primaryStickiness() time.Duration { return n.options.Timing.ElectionTimeout * 9 / 10 }

func (n *Node) onHeartbeat(from Replica, message Heartbeat) {
	if !n.observeView(message.View) {
		n.send(from, ViewNotice{View: n.hardState.View})
		return
	}
	if from != n.hardState.View.Primary || from == n.hardState.Self {
		return
	}
	age := time.Duration(message.ConfirmedAgeMs) * time.Millisecond
	if age < n.options.Timing.ElectionTimeout {
		n.primaryLastSeen = n.now
	}
	n.send(from, HeartbeatAck{Number: message.View.Number, Round: message.Round, Current: n.hardState.Promised.isZero(),
		Leaving: n.resigning})
}

func (n *Node) onPrepare(from Replica, message Prepare) {
	if !n.observeView(message.View) {
		n.send(from, ViewNotice{View: n.hardState.View})
		return
	}
	if !n.hardState.View.HasWitness(n.hardState.Self) {
		return
	}
	primary := n.hardState.View.Primary
	if from != primary && n.now-n.primaryLastSeen < n.primaryStickiness() && n.hardState.Promised.isZero() && primary != (Replica{}) {
		return // the primary lives: the sender's own links are at fault
	}
	if message.Ballot.less(n.hardState.Promised) {
		n.send(from, Reject{Number: n.hardState.View.Number + 1, Promised: n.hardState.Promised})
		return
	}
	n.promise(message.Ballot)
	n.primaryLastSeen = n.now // the candidate is at work, which may wait for the state to come
	n.send(from, n.currentPromise())
}

// promise binds this replica to a ballot for the next view; as a member it takes no more changes in this one.
func (n *Node) promise(ballot Ballot) {
	n.highestRound = max(n.highestRound, ballot.Round)
	if n.hardState.Promised == ballot {
		return
	}
	n.hardState.Promised = ballot
	if ballot.Proposer != n.hardState.Self {
		n.election, n.primary = nil, nil
		n.status = Following
		n.primaryLastSeen = n.now
	}
	n.persist()
}

func (n *Node) currentPromise() Promise {
	return Promise{
		Number: n.hardState.View.Number + 1, Ballot: n.hardState.Promised, Accepted: n.hardState.Accepted,
		Proposal: n.hardState.Proposal, Position: n.hardState.Position, Source: n.hardState.Source, Leaving: n.resigning,
	}
}

func (n *Node) onFetchSnapshot(from Replica, message FetchSnapshot) {
	if message.Number != n.hardState.View.Number+1 || message.Ballot != n.hardState.Promised {
		return
	}
	n.sendWithSnapshot(from, FetchSnapshotReply{Number: message.Number, Ballot: message.Ballot, Position: n.hardState.Position})
}

func (n *Node) onInstallSnapshot(from Replica, message InstallSnapshot) {
	if message.Number <= n.hardState.View.Number {
		n.send(from, ViewNotice{View: n.hardState.View})
		return
	}
	bound := n.hardState.Source
	if n.hardState.Position.View < message.Number {
		bound = Ballot{}
	}
	if message.Number == n.hardState.View.Number+1 && bound.less(n.hardState.Promised) {
		bound = n.hardState.Promised
	}
	if message.Ballot.less(bound) {
		n.send(from, Reject{Number: message.Number, Promised: bound})
		return
	}
	held := n.hardState.Position == message.Position && n.hardState.Source == message.Ballot
	same := n.hardState.Position == message.From && n.hardState.Source == message.FromSource
	if !held && !same && message.Snapshot == nil {
		n.sendSnapshotNeeded(from, message.Number, message.Ballot)
		return
	}
	if !held {
		n.installState(message.Position, message.Ballot, message.Snapshot)
	}
	n.send(from, InstallSnapshotAck{Number: message.Number, Ballot: message.Ballot})
}

// sendSnapshotNeeded says which state is held, to one that offers another one.
func (n *Node) sendSnapshotNeeded(to Replica, number uint64, ballot Ballot) {
	n.send(to, SnapshotNeeded{Number: number, Ballot: ballot, Position: n.hardState.Position, Source: n.hardState.Source})
}

// hold takes over a state; nil is the one that is held already, at another position.
func (n *Node) installState(position Position, source Ballot, snapshot []byte) {
	n.hardState.Position, n.hardState.Source = position, source
	write := n.persist()
	if snapshot != nil {
		write.Snapshot = snapshot
	}
}

func (n *Node) onAccept(from Replica, message Accept) {
	number := message.Proposal.Number
	if number <= n.hardState.View.Number {
		n.send(from, ViewNotice{View: n.hardState.View})
		return
	}
	if number != n.hardState.View.Number+1 || !n.hardState.View.HasWitness(n.hardState.Self) {
		return
	}
	if message.Ballot.less(n.hardState.Promised) {
		n.send(from, Reject{Number: number, Promised: n.hardState.Promised})
		return
	}
	n.promise(message.Ballot)
	n.accept(message.Ballot, message.Proposal)
	n.send(from, AcceptAck{Number: number, Ballot: message.Ballot})
}

func (n *Node) accept(ballot Ballot, proposal View) {
	n.hardState.Accepted, n.hardState.Proposal = ballot, proposal
	n.persist()
}

// onAppend takes a change over, as a member or as a learner that is to become one.
func (n *Node) onAppend(from Replica, message Append) {
	if !n.observeView(message.View) {
		n.send(from, ViewNotice{View: n.hardState.View})
		return
	}
	if from != n.hardState.View.Primary || from == n.hardState.Self {
		return
	}
	if !n.hardState.Promised.isZero() {
		n.send(from, Reject{Number: n.hardState.View.Number + 1, Promised: n.hardState.Promised})
		return
	}
	n.primaryLastSeen = n.now
	current := n.hardState.Source == message.Source && n.hardState.Position.View == message.Position.View
	switch {
	case current && n.hardState.Position.Sequence >= message.Position.Sequence:
	case current && message.Entry != nil && n.hardState.Position.Sequence+1 == message.Position.Sequence:
		n.hardState.Position = message.Position
		n.persist().Entry = message.Entry
	case message.Snapshot != nil:
		n.installState(message.Position, message.Source, message.Snapshot)
	default:
		n.sendSnapshotNeeded(from, n.hardState.View.Number, Ballot{})
		return
	}
	n.send(from, AppendAck{Number: n.hardState.View.Number, Position: n.hardState.Position})
}
