package replication

import (
	"slices"
	"time"
)

// election is a candidate's attempt to decide the view after the present one.
type election struct {
	ballot    Ballot
	phaseStarted     time.Duration // the present step
	resendAt    time.Duration
	majorityAt  time.Duration // when a majority had promised; 0: not yet
	promises  map[Replica]Promise
	donor    Replica  // whose state the next view begins with
	donorPosition      Position // of that state, where it was taken from
	donorSource    Ballot
	proposal  View
	installed map[Replica]bool
	accepted  map[Replica]bool
	snapshotRequests    map[Replica]time.Duration // when replicas last said that they lack the state
	excluded   map[Replica]bool          // that this attempt goes on without
	caughtUp  map[Replica]bool          // beside members, the replicas that hold the state already; nil: not known
}

// gather is how long a candidate waits for promises beyond a majority, so that all live replicas are taken in.
const promiseWait = 60 * time.Millisecond

// resendInterval is the time between repeats of messages that were not answered.
const resendInterval = 120 * time.Millisecond

// startElection makes this replica a candidate.
func (n *Node) startElection() {
	n.highestRound = max(n.highestRound, n.hardState.Promised.Round) + 1
	ballot := Ballot{Round: n.highestRound, Proposer: n.hardState.Self}
	prepared := n.caughtUpReplicas()
	n.primary = nil
	n.election = &election{ballot: ballot, promises: map[Replica]Promise{}, caughtUp: prepared, snapshotRequests: map[Replica]time.Duration{}, excluded: map[Replica]bool{}}
	n.enterPhase(Preparing)
	n.promise(ballot)
	if n.hardState.View.HasWitness(n.hardState.Self) {
		n.election.promises[n.hardState.Self] = n.currentPromise()
	}
	n.sendPrepare()
	n.countPromises()
}

// caughtUpReplicas are the replicas beside members that hold this primary's state; nil where this replica is no primary.
func (n *Node) caughtUpReplicas() map[Replica]bool {
	if n.status != Leading {
		return nil
	}
	prepared := map[Replica]bool{}
	for r, position := range n.primary.matchPosition {
		prepared[r] = position == n.hardState.Position
	}
	return prepared
}

// enter begins a step of a view change.
func (n *Node) enterPhase(status Status) {
	n.status = status
	n.election.phaseStarted, n.election.resendAt = n.now, n.now+resendInterval
}

// abandon ends an attempt; the next one comes after a random time.
func (n *Node) abandonElection() {
	n.election = nil
	n.status = Following
	t := n.options.Timing
	pause := time.Duration(n.options.Random.Int64N(int64(t.ElectionStagger) + 1))
	n.primaryLastSeen = n.now - t.ElectionTimeout + t.ElectionStagger/2 + pause
}

func (n *Node) tickElection() {
	e := n.election
	if n.now-e.phaseStarted > n.options.Timing.StepTimeout {
		n.phaseTimedOut()
	}
	if n.election == e && n.status == Preparing {
		n.countPromises()
	}
	if n.election == e && n.now >= e.resendAt {
		e.resendAt = n.now + resendInterval
		n.resendPhase()
	}
}

// phaseTimedOut waits on for a state that is on its way, goes on without the replicas that did not take theirs, where the
// others suffice, or gives up.
func (n *Node) phaseTimedOut() {
	switch n.status {
	case Fetching:
		if !n.isLive(n.election.donor, n.options.Timing.StepTimeout) || n.transferOverdue() {
			n.abandonElection()
		}
	case Installing:
		n.installTimedOut()
	default:
		n.abandonElection()
	}
}

func (n *Node) transferOverdue() bool {
	return n.now-n.election.phaseStarted > n.options.Timing.SnapshotTimeout
}

// needsSnapshot tells whether a replica has said lately that it lacks the state: it may be on its way.
func (n *Node) needsSnapshot(r Replica) bool {
	at, asks := n.election.snapshotRequests[r]
	return asks && n.now-at < n.options.Timing.StepTimeout
}

// installTimedOut leaves out those that have not installed the state. One that is heard of is waited for where the others
// don't suffice: the whole state may be on its way to it.
func (n *Node) installTimedOut() {
	e := n.election
	missing := slices.DeleteFunc(n.installTargets(), func(r Replica) bool { return e.installed[r] })
	for _, r := range missing {
		e.excluded[r] = true
		if !n.needsSnapshot(r) {
			n.penalize(r)
		}
	}
	witnesses := n.nextWitnesses(e.caughtUp != nil)
	members := slices.DeleteFunc(n.nextMembers(witnesses, n.canInstall), func(r Replica) bool { return !e.installed[r] })
	isNew := func(r Replica) bool { return !n.hardState.View.HasWitness(r) && !e.installed[r] }
	if n.survivesLoss(members) && !slices.ContainsFunc(witnesses, isNew) {
		e.proposal.Witnesses, e.proposal.Members, e.proposal.Primary = witnesses, members, n.nextPrimary(members)
		n.startAccepting()
		return
	}
	if !slices.ContainsFunc(missing, n.needsSnapshot) || n.transferOverdue() {
		n.abandonElection()
	}
}

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

// sendKeepAlive tells the witnesses, while the state is on its way, that they need not stand for election themselves. Those that
// hear it answer, so that the candidate knows which of them live.
func (n *Node) sendKeepAlive() {
	for _, witness := range n.hardState.View.Witnesses {
		n.send(witness, Prepare{View: n.hardState.View, Ballot: n.election.ballot})
	}
}

func (n *Node) sendPrepare() {
	for _, witness := range n.hardState.View.Witnesses {
		if _, done := n.election.promises[witness]; !done {
			n.send(witness, Prepare{View: n.hardState.View, Ballot: n.election.ballot})
		}
	}
}

func (n *Node) onPromise(from Replica, message Promise) {
	n.recordResigning(from, message.Leaving)
	e := n.election
	if e == nil || n.status != Preparing || message.Ballot != e.ballot || message.Number != n.hardState.View.Number+1 {
		return
	}
	if !n.hardState.View.HasWitness(from) {
		return
	}
	e.promises[from] = message
	n.countPromises()
}

func (n *Node) onReject(message Reject) {
	n.highestRound = max(n.highestRound, message.Promised.Round)
	if n.election != nil && message.Number == n.hardState.View.Number+1 && n.election.ballot.less(message.Promised) {
		n.abandonElection()
	}
}

// countPromises goes on once all witnesses have promised, or a majority a while ago.
func (n *Node) countPromises() {
	e := n.election
	if len(e.promises) < n.hardState.View.quorum() {
		return
	}
	if e.majorityAt == 0 {
		e.majorityAt = n.now
	}
	if len(e.promises) < len(n.hardState.View.Witnesses) && n.now-e.majorityAt < promiseWait {
		return
	}
	if proposal, found := e.highestAccepted(); found {
		e.proposal = proposal // its members hold the state already
		n.startAccepting()
		return
	}
	n.chooseDonor()
}

// highestAccepted is the proposal that may have been decided already.
func (e *election) highestAccepted() (View, bool) {
	var best Promise
	for _, p := range e.promises {
		if best.Accepted.less(p.Accepted) {
			best = p
		}
	}
	return best.Proposal, !best.Accepted.isZero()
}

// chooseDonor finds the newest state that a sealed member of the present view holds. Any of them has all that was
// acknowledged in that view.
func (n *Node) chooseDonor() {
	e := n.election
	e.donor, e.donorPosition, e.donorSource = n.hardState.Self, n.hardState.Position, n.hardState.Source
	for _, member := range n.hardState.View.Members {
		p, promised := e.promises[member]
		if promised && e.donorPosition.Less(p.Position) {
			e.donor, e.donorPosition, e.donorSource = member, p.Position, p.Source
		}
	}
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
	n.send(n.election.donor, FetchSnapshot{Number: n.hardState.View.Number + 1, Ballot: n.election.ballot})
}

func (n *Node) onFetchSnapshotReply(message FetchSnapshotReply) {
	e := n.election
	if e == nil || n.status != Fetching || message.Ballot != e.ballot || message.Number != n.hardState.View.Number+1 {
		return
	}
	if message.Snapshot == nil || message.Position != e.donorPosition {
		return
	}
	n.transfers.finish(e.donor)
	n.startInstalling(message.Snapshot)
}

// startInstalling hands the state to the members of the next view; nil is the state that this replica holds.
func (n *Node) startInstalling(snapshot []byte) {
	e := n.election
	witnesses := n.nextWitnesses(e.caughtUp != nil)
	members := n.nextMembers(witnesses, n.canInstall)
	if !n.survivesLoss(members) {
		n.abandonElection()
		return
	}
	number := n.hardState.View.Number + 1
	e.proposal = View{Number: number, Primary: n.nextPrimary(members), Members: members, Witnesses: witnesses}
	e.installed = map[Replica]bool{n.hardState.Self: true}
	n.installState(Position{View: number, Sequence: e.donorPosition.Sequence}, e.ballot, snapshot)
	n.enterPhase(Installing)
	n.sendInstallSnapshot()
	n.countInstalled()
}

// nextPrimary is this replica, unless it is no member any more.
func (n *Node) nextPrimary(members []Replica) Replica {
	if slices.Contains(members, n.hardState.Self) {
		return n.hardState.Self
	}
	return members[0]
}

// installers are the replicas that have to hold the state before the view is proposed: its members, and witnesses that are
// new, which shows that they live and store what they are sent.
func (n *Node) installTargets() []Replica {
	proposal := &n.election.proposal
	newcomers := slices.DeleteFunc(slices.Clone(proposal.Witnesses), n.hardState.View.HasWitness)
	return union(proposal.Members, newcomers)
}

func (n *Node) sendInstallSnapshot() {
	e := n.election
	for _, replica := range n.installTargets() {
		if !e.installed[replica] {
			n.send(replica, InstallSnapshot{Number: e.proposal.Number, Ballot: e.ballot, Position: n.hardState.Position,
				From: e.donorPosition, FromSource: e.donorSource})
		}
	}
}

func (n *Node) onInstallSnapshotAck(from Replica, message InstallSnapshotAck) {
	e := n.election
	if e == nil || n.status != Installing || message.Ballot != e.ballot || message.Number != e.proposal.Number {
		return
	}
	e.installed[from] = true
	n.transfers.finish(from)
	n.countInstalled()
}

func (n *Node) countInstalled() {
	for _, replica := range n.installTargets() {
		if !n.election.installed[replica] {
			return
		}
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
	e := n.election
	if e == nil || n.status != Accepting || message.Ballot != e.ballot || message.Number != e.proposal.Number {
		return
	}
	if n.hardState.View.HasWitness(from) {
		e.accepted[from] = true
	}
	n.countAccepted()
}

// countAccepted puts a view in force that a majority of the former witnesses has accepted.
func (n *Node) countAccepted() {
	e := n.election
	if len(e.accepted) < n.hardState.View.quorum() {
		return
	}
	former, decided := n.hardState.View, e.proposal
	n.adoptView(decided)
	for _, replica := range union(former.Witnesses, decided.Witnesses) {
		n.send(replica, ViewNotice{View: decided})
	}
}

func (n *Node) onSnapshotNeeded(from Replica, message SnapshotNeeded) {
	e := n.election
	if e != nil && n.status == Installing && message.Ballot == e.ballot && message.Number == e.proposal.Number {
		e.snapshotRequests[from] = n.now
		if n.transfers.tryStart(from, n.now) {
			n.sendWithSnapshot(from, InstallSnapshot{Number: e.proposal.Number, Ballot: e.ballot, Position: n.hardState.Position})
		}
		return
	}
	if n.primary != nil && message.Number == n.hardState.View.Number && message.Ballot.isZero() {
		n.sendCatchUp(from, message.Position, message.Source)
	}
}

func union(a, b []Replica) []Replica {
	all := slices.Concat(a, b)
	slices.SortFunc(all, compareReplicas)
	return slices.Compact(all)
}
