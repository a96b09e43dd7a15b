package replication

import "time"

// primaryStickiness returns how long after contact with the primary a witness makes no promise to another candidate.
func (n *Node) primaryStickiness() time.Duration { return n.options.Timing.ElectionTimeout * 9 / 10 }

func (n *Node) onHeartbeat(from Replica, message Heartbeat) {
	if !n.observeView(message.View) {
		n.sendViewNotice(from)
		return
	}
	if from != n.hardState.View.Primary || from == n.hardState.Self {
		return
	}
	confirmedAge := time.Duration(message.ConfirmedAgeMs) * time.Millisecond
	if confirmedAge < n.options.Timing.ElectionTimeout {
		n.primaryLastSeen = n.now
	}
	n.send(from, HeartbeatAck{
		Number:    message.View.Number,
		Round:     message.Round,
		Current:   n.hardState.Promised.isZero(),
		Resigning: n.resignation.requested,
	})
}

func (n *Node) onPrepare(from Replica, message Prepare) {
	if !n.observeView(message.View) {
		n.sendViewNotice(from)
		return
	}
	if !n.hardState.View.HasWitness(n.hardState.Self) {
		return
	}
	if n.followsOtherPrimary(from) {
		return // the primary is responsive: the fault is in the sender's links
	}
	if message.Ballot.less(n.hardState.Promised) {
		n.send(from, Reject{Number: n.nextNumber(), Promised: n.hardState.Promised})
		return
	}
	n.promise(message.Ballot)
	n.primaryLastSeen = n.now // gives the candidate time, as it may have to wait for a snapshot transfer
	n.send(from, n.currentPromise())
}

// followsOtherPrimary reports whether this witness was in contact with a primary other than the candidate within
// primaryStickiness, and has promised no ballot for the next view.
func (n *Node) followsOtherPrimary(candidate Replica) bool {
	primary := n.hardState.View.Primary
	return candidate != primary && primary != (Replica{}) && n.hardState.Promised.isZero() &&
		n.now-n.primaryLastSeen < n.primaryStickiness()
}

// promise promises a ballot for the next view. From then on this replica stores no more changes of the current view.
func (n *Node) promise(ballot Ballot) {
	n.highestRound = max(n.highestRound, ballot.Round)
	if n.hardState.Promised == ballot {
		return
	}
	n.hardState.Promised = ballot
	if ballot.Proposer != n.hardState.Self {
		n.stepDown()
		n.primaryLastSeen = n.now
	}
	n.persist()
}

// currentPromise returns the answer to the candidate whose ballot this replica has promised.
func (n *Node) currentPromise() Promise {
	return Promise{
		Number:        n.nextNumber(),
		Ballot:        n.hardState.Promised,
		Accepted:      n.hardState.Accepted,
		Proposal:      n.hardState.Proposal,
		Position:      n.hardState.Position,
		InstallBallot: n.hardState.InstallBallot,
		Resigning:     n.resignation.requested,
	}
}

func (n *Node) onAccept(from Replica, message Accept) {
	number := message.Proposal.Number
	if number <= n.hardState.View.Number {
		n.sendViewNotice(from)
		return
	}
	if number != n.nextNumber() || !n.hardState.View.HasWitness(n.hardState.Self) {
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
