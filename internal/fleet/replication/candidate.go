package replication

import (
	"slices"
	"time"
)

// startElection makes this replica a candidate for the next view.
func (n *Node) startElection(reason ElectionReason) {
	n.electionReason = reason
	n.highestRound = max(n.highestRound, n.hardState.Promised.Round) + 1
	ballot := Ballot{Round: n.highestRound, Proposer: n.hardState.Self}
	n.election = newElection(ballot, n.caughtUpReplicas())
	n.primary = nil
	n.enterPhase(Preparing)
	n.promise(ballot)
	if n.hardState.View.HasWitness(n.hardState.Self) {
		n.election.promises[n.hardState.Self] = n.currentPromise()
	}
	n.sendPrepare()
	n.countPromises()
}

// caughtUpReplicas returns which replicas have stored this primary's state, or nil if this replica is not leading.
func (n *Node) caughtUpReplicas() map[Replica]bool {
	if n.status != Leading {
		return nil
	}
	caughtUp := map[Replica]bool{}
	for r, position := range n.primary.matchPosition {
		caughtUp[r] = position == n.hardState.Position
	}
	return caughtUp
}

// enterPhase starts a phase of the election.
func (n *Node) enterPhase(status Status) {
	n.status = status
	n.election.phaseStarted, n.election.resendAt = n.now, n.now+resendInterval
}

// abandonElection ends the election without a decision. The next attempt follows after a random delay.
func (n *Node) abandonElection() {
	n.election = nil
	n.status = Following
	t := n.options.Timing
	pause := time.Duration(n.options.Random.Int64N(int64(t.ElectionStagger) + 1))
	n.primaryLastSeen = n.now - t.ElectionTimeout + t.ElectionStagger/2 + pause
}

func (n *Node) tickElection() {
	e := n.election
	if n.now-e.phaseStarted > n.options.Timing.PhaseTimeout {
		n.handlePhaseTimeout()
	}
	if n.election == e && n.status == Preparing {
		n.countPromises()
	}
	if n.election == e && n.now >= e.resendAt {
		e.resendAt = n.now + resendInterval
		n.resendPhase()
	}
}

// handlePhaseTimeout handles a phase that takes longer than PhaseTimeout. It keeps waiting for a snapshot transfer,
// continues without the replicas that have not installed the state if the others suffice, or abandons the election.
func (n *Node) handlePhaseTimeout() {
	switch n.status {
	case Fetching:
		if !n.isLive(n.election.donor, n.options.Timing.PhaseTimeout) || n.isTransferOverdue() {
			n.abandonElection()
		}
	case Installing:
		n.handleInstallTimeout()
	default:
		n.abandonElection()
	}
}

func (n *Node) isTransferOverdue() bool {
	return n.now-n.election.phaseStarted > n.options.Timing.SnapshotTimeout
}

// handleInstallTimeout excludes the replicas that have not installed the state, and continues if the others suffice. If
// they don't, it keeps waiting for replicas that have recently requested the snapshot: the transfer may be in progress.
func (n *Node) handleInstallTimeout() {
	e := n.election
	hasRecentSnapshotRequest := func(r Replica) bool { return e.hasRecentSnapshotRequest(r, n.now, n.options.Timing.PhaseTimeout) }
	missing := e.missingInstalls(&n.hardState.View)
	for _, r := range missing {
		e.excluded[r] = true
		if !hasRecentSnapshotRequest(r) {
			n.penalize(r)
		}
	}
	next := n.composition()
	witnesses := next.nextWitnesses(e.onlyCaughtUp())
	members := slices.DeleteFunc(next.nextMembers(witnesses, n.canInstall), func(r Replica) bool { return !e.installed[r] })
	isUntested := func(r Replica) bool { return !n.hardState.View.HasWitness(r) && !e.installed[r] }
	if next.survivesLoss(members) && !slices.ContainsFunc(witnesses, isUntested) {
		e.proposal.Witnesses, e.proposal.Members, e.proposal.Primary = witnesses, members, n.nextPrimary(members)
		n.startAccepting()
		return
	}
	if !slices.ContainsFunc(missing, hasRecentSnapshotRequest) || n.isTransferOverdue() {
		n.abandonElection()
	}
}

func (n *Node) penalize(r Replica) { n.penalties.add(r, n.now, n.options.Timing.SlowMemberBackoff) }

func (n *Node) resendPhase() {
	switch n.status {
	case Preparing:
		n.sendPrepare()
	case Fetching:
		n.sendKeepAlive()
		if n.transfers.tryStart(n.election.donor, n.now) {
			n.sendFetchSnapshot()
		}
	case Installing:
		n.sendKeepAlive()
		n.sendInstallSnapshot()
	case Accepting:
		n.sendAccept()
	case Following, Activating, Leading:
	}
}

// sendKeepAlive repeats Prepare to all witnesses during a snapshot transfer, which keeps them from becoming candidates.
// Their answers show the candidate which of them are responsive.
func (n *Node) sendKeepAlive() {
	for _, witness := range n.hardState.View.Witnesses {
		n.send(witness, Prepare{View: n.hardState.View, Ballot: n.election.ballot})
	}
}

func (n *Node) sendPrepare() {
	for _, witness := range n.hardState.View.Witnesses {
		if !n.election.hasPromised(witness) {
			n.send(witness, Prepare{View: n.hardState.View, Ballot: n.election.ballot})
		}
	}
}

func (n *Node) onPromise(from Replica, message Promise) {
	n.peers.setResigning(from, message.Resigning)
	e := n.election
	if e == nil || n.status != Preparing || message.Ballot != e.ballot || message.Number != n.nextNumber() {
		return
	}
	if !n.hardState.View.HasWitness(from) {
		return
	}
	e.promises[from] = message
	n.countPromises()
}

// nextNumber returns the number of the view after the current one.
func (n *Node) nextNumber() uint64 { return n.hardState.View.Number + 1 }

func (n *Node) onReject(message Reject) {
	n.highestRound = max(n.highestRound, message.Promised.Round)
	if n.election != nil && message.Number == n.nextNumber() && n.election.ballot.less(message.Promised) {
		n.abandonElection()
	}
}

// countPromises ends the Preparing phase once there are enough promises.
func (n *Node) countPromises() {
	e := n.election
	if !e.hasEnoughPromises(&n.hardState.View, n.now) {
		return
	}
	if proposal, found := e.highestAccepted(); found {
		e.proposal = proposal // its members have installed the state already
		n.startAccepting()
		return
	}
	e.chooseDonor(&n.hardState)
	if e.donor == n.hardState.Self {
		n.startInstalling(nil)
		return
	}
	n.enterPhase(Fetching)
	n.transfers.finish(e.donor)
	n.transfers.tryStart(e.donor, n.now)
	n.sendFetchSnapshot()
}

func (n *Node) sendFetchSnapshot() {
	n.send(n.election.donor, FetchSnapshot{Number: n.nextNumber(), Ballot: n.election.ballot})
}

func (n *Node) onFetchSnapshotReply(message FetchSnapshotReply) {
	e := n.election
	if e == nil || n.status != Fetching || message.Ballot != e.ballot || message.Number != n.nextNumber() {
		return
	}
	if message.Snapshot == nil || message.Position != e.donorPosition {
		return
	}
	n.transfers.finish(e.donor)
	n.startInstalling(message.Snapshot)
}

// startInstalling proposes the next view and has its members install its initial state. A nil snapshot stands for the
// state that this replica stores.
func (n *Node) startInstalling(snapshot []byte) {
	e := n.election
	next := n.composition()
	witnesses := next.nextWitnesses(e.onlyCaughtUp())
	members := next.nextMembers(witnesses, n.canInstall)
	if !next.survivesLoss(members) {
		n.abandonElection()
		return
	}
	number := n.nextNumber()
	e.proposal = View{Number: number, Primary: n.nextPrimary(members), Members: members, Witnesses: witnesses}
	e.installed = map[Replica]bool{n.hardState.Self: true}
	n.installState(Position{View: number, Sequence: e.donorPosition.Sequence}, e.ballot, snapshot)
	n.enterPhase(Installing)
	n.sendInstallSnapshot()
	n.countInstalled()
}

// nextPrimary returns this replica if it is among the members, else the first member.
func (n *Node) nextPrimary(members []Replica) Replica {
	if slices.Contains(members, n.hardState.Self) {
		return n.hardState.Self
	}
	return members[0]
}

func (n *Node) sendInstallSnapshot() {
	e := n.election
	for _, replica := range e.missingInstalls(&n.hardState.View) {
		n.send(replica, InstallSnapshot{
			Number:            e.proposal.Number,
			Ballot:            e.ballot,
			Position:          n.hardState.Position,
			BasePosition:      e.donorPosition,
			BaseInstallBallot: e.donorInstallBallot,
		})
	}
}

func (n *Node) onInstallSnapshotAck(from Replica, message InstallSnapshotAck) {
	if n.status != Installing || !n.election.proposes(message.Number, message.Ballot) {
		return
	}
	n.election.installed[from] = true
	n.transfers.finish(from)
	n.countInstalled()
}

// countInstalled ends the Installing phase once all install targets have installed the state.
func (n *Node) countInstalled() {
	if len(n.election.missingInstalls(&n.hardState.View)) > 0 {
		return
	}
	n.startAccepting()
}

func (n *Node) startAccepting() {
	e := n.election
	e.accepted = map[Replica]bool{}
	n.enterPhase(Accepting)
	if n.hardState.View.HasWitness(n.hardState.Self) {
		n.accept(e.ballot, e.proposal)
		e.accepted[n.hardState.Self] = true
	}
	n.sendAccept()
	n.countAccepted()
}

func (n *Node) sendAccept() {
	e := n.election
	for _, witness := range n.hardState.View.Witnesses {
		if !e.accepted[witness] {
			n.send(witness, Accept{Ballot: e.ballot, Proposal: e.proposal})
		}
	}
}

func (n *Node) onAcceptAck(from Replica, message AcceptAck) {
	if n.status != Accepting || !n.election.proposes(message.Number, message.Ballot) {
		return
	}
	if n.hardState.View.HasWitness(from) {
		n.election.accepted[from] = true
	}
	n.countAccepted()
}

// countAccepted adopts the proposed view, and announces it, once a majority of the current view's witnesses has
// accepted it.
func (n *Node) countAccepted() {
	e := n.election
	if len(e.accepted) < n.hardState.View.quorum() {
		return
	}
	former, decided := n.hardState.View, e.proposal
	n.adoptView(decided)
	for _, replica := range union(former.Witnesses, decided.Witnesses) {
		n.sendViewNotice(replica)
	}
}
