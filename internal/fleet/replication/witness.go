package replication

import "time"

// primaryStickiness is how long after contact with the primary a witness promises to nobody else.
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
		return // the primary lives: the sender's own links are at fault
	}
	if message.Ballot.less(n.hardState.Promised) {
		n.send(from, Reject{Number: n.nextNumber(), Promised: n.hardState.Promised})
		return
	}
	n.promise(message.Ballot)
	n.primaryLastSeen = n.now // the candidate is at work, which may have to wait for a snapshot
	n.send(from, n.currentPromise())
}

// followsOtherPrimary reports whether this witness has seen a primary lately that is another replica than the candidate, and has
// promised nothing.
func (n *Node) followsOtherPrimary(candidate Replica) bool {
	primary := n.hardState.View.Primary
	return candidate != primary && primary != (Replica{}) && n.hardState.Promised.isZero() &&
		n.now-n.primaryLastSeen < n.primaryStickiness()
}

// promise binds this replica to a ballot for the next view; as a member it stores no more changes in this one.
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

// currentPromise is the answer to a candidate under the ballot that this replica has promised.
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
