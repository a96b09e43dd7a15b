package replication

import (
	"slices"
	"time"
)

// Status is what a replica is doing.
type Status uint8

// The states of a replica. A candidate goes through them in this order; an election that fails leads back to Following.
const (
	Following  Status = iota // another replica is the primary of the view, or there is none
	Preparing                // candidate: collects promises of the witnesses
	Fetching                 // candidate: fetches a newer state than its own from a member
	Installing               // candidate: has the next view's members install the state
	Accepting                // candidate: has the witnesses accept the next view
	Activating               // primary: brings all members to the same state
	Leading                  // primary: may commit changes
)

func (s Status) String() string {
	return [...]string{"following", "preparing", "fetching", "installing", "accepting", "activating", "leading"}[s]
}

// Node is one replica's state machine. It is the one place where a replica's state changes. Its methods are not safe for
// concurrent use. Times are readings of one monotonic clock.
//
// Each method that returns an Output is a step: the Output has to be carried out before the next one.
type Node struct {
	options   Options
	hardState HardState
	status    Status
	out       *Output // of the present step

	now             time.Duration // of the present step
	started         time.Duration
	primaryLastSeen time.Duration // when the view's primary last showed that it is not cut off
	nextJoinRequest time.Duration
	highestRound    uint64 // of any ballot seen
	peers           peerTable
	penalties       penalties
	transfers       snapshotTransfers
	resignation     resignation // of this replica

	electionReason ElectionReason // of the last election

	election *election     // nil unless this replica is a candidate
	primary  *primaryState // nil unless this replica is the primary
}

// New returns a replica as it is after a start, with what its disk holds. A replica that was primary does not go on as
// primary: it can't know what it sent before its own disk had it, so that it needs a new view.
func New(now time.Duration, hardState HardState, options Options) *Node {
	return &Node{
		options:         options,
		hardState:       hardState,
		now:             now,
		started:         now,
		primaryLastSeen: now - options.Timing.ElectionTimeout + options.Timing.StartupTimeout,
		highestRound:    hardState.Promised.Round,
		peers:           newPeerTable(),
		penalties:       penalties{},
		transfers:       snapshotTransfers{},
	}
}

// Self returns this replica's identity.
func (n *Node) Self() Replica { return n.hardState.Self }

// View returns the newest view that is known to be decided.
func (n *Node) View() View { return n.hardState.View }

// Status returns what the replica is doing.
func (n *Node) Status() Status { return n.status }

// Position returns the position of the state that is stored, committed or not.
func (n *Node) Position() Position { return n.hardState.Position }

// HardState returns what has to be on the disk.
func (n *Node) HardState() HardState { return n.hardState }

// step begins a step and returns its output, which is empty yet.
func (n *Node) step(now time.Duration) *Output {
	n.now = now
	n.out = &Output{}
	return n.out
}

// persist has the hard state written with this step.
func (n *Node) persist() *Write {
	if n.out.Write == nil {
		n.out.Write = &Write{}
	}
	n.out.Write.HardState = n.hardState
	return n.out.Write
}

func (n *Node) send(to Replica, message Message) {
	if to.Address != n.hardState.Self.Address {
		n.out.Send = append(n.out.Send, Outgoing{To: to.Address, Message: message})
	}
}

func (n *Node) sendWithSnapshot(to Replica, message Message) {
	n.out.Send = append(n.out.Send, Outgoing{To: to.Address, Message: message, AttachSnapshot: true})
}

func (n *Node) topology() topology {
	return topology{tolerance: n.options.Tolerance, localityOf: n.options.LocalityOf}
}

// composition is the choice of the next view's replicas as things are now.
func (n *Node) composition() composition {
	return composition{topology: n.topology(), self: n.hardState.Self, view: &n.hardState.View, conditions: n}
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) *Output {
	out := n.step(now)
	switch n.status {
	case Following:
		n.checkElectionTimeout()
	case Preparing, Fetching, Installing, Accepting:
		n.tickElection()
	case Activating, Leading:
		n.tickPrimary()
	}
	n.requestJoin()
	n.announceResignation()
	return out
}

// startupStaggerDivisor shortens the election stagger where no primary was seen since the start: all may have just started.
const startupStaggerDivisor = 4

// checkElectionTimeout makes a member a candidate where the primary is unresponsive. Members wait the longer the later they
// stand in the view, so that the first live one acts, and resigning ones wait longest: theirs may be the only copy left.
func (n *Node) checkElectionTimeout() {
	rank := slices.Index(n.hardState.View.Members, n.hardState.Self)
	if rank < 0 {
		return
	}
	if n.resignation.requested {
		rank += len(n.hardState.View.Members)
	}
	stagger := n.options.Timing.ElectionStagger
	if n.primaryLastSeen <= n.started {
		stagger /= startupStaggerDivisor
	}
	if n.now-n.primaryLastSeen > n.options.Timing.ElectionTimeout+time.Duration(rank)*stagger {
		n.startElection(PrimaryUnresponsive)
	}
}

// primaryUnknownTimeout is how long a witness sees no primary before it asks whether there is a newer view.
const primaryUnknownTimeout = 2 * time.Second

// requestJoin asks the primary, or whoever may know it, to add this replica to the view. A witness that has seen no primary
// for long asks too: it may have been replaced while it was away, and whoever knows the newer view answers with it.
func (n *Node) requestJoin() {
	isCurrentWitness := n.hardState.View.HasWitness(n.hardState.Self) && (n.primary != nil || n.now-n.primaryLastSeen < primaryUnknownTimeout)
	if !n.options.RequestsJoin || n.resignation.requested || isCurrentWitness || n.now < n.nextJoinRequest {
		return
	}
	n.nextJoinRequest = n.now + n.options.Timing.JoinInterval
	message := Join{Number: n.hardState.View.Number}
	if n.hardState.View.Number > 0 {
		for _, witness := range n.hardState.View.Witnesses {
			n.send(witness, message)
		}
	}
	for _, address := range n.options.JoinTargets() {
		n.send(Replica{Address: address}, message)
	}
}

// adoptView takes over a decided view. It is the only place where the view changes.
func (n *Node) adoptView(view View) {
	for _, r := range n.hardState.View.Witnesses {
		if !view.HasWitness(r) {
			n.peers.formerWitnesses[r] = n.now
		}
	}
	n.hardState.View = view
	n.hardState.Promised, n.hardState.Accepted, n.hardState.Proposal = Ballot{}, Ballot{}, View{}
	n.stepDown()
	n.primaryLastSeen = n.now
	n.resignation.revoke() // the primary of this view has to release this replica again
	n.persist()
	if view.Primary == n.hardState.Self {
		n.activate()
	}
}

// stepDown ends this replica's part as a candidate or as the primary.
func (n *Node) stepDown() {
	n.election, n.primary = nil, nil
	n.status = Following
}

// observeView adopts a view that is newer than the one known. It returns false where the sender's is the older one.
func (n *Node) observeView(view View) bool {
	if view.Number > n.hardState.View.Number && view.isComplete() {
		n.adoptView(view)
	}
	return view.Number >= n.hardState.View.Number
}

// sendViewNotice tells a replica of the present view.
func (n *Node) sendViewNotice(to Replica) { n.send(to, ViewNotice{View: n.hardState.View}) }

// Receive handles a message from a replica.
func (n *Node) Receive(now time.Duration, from Replica, message Message) *Output {
	out := n.step(now)
	n.peers.lastContact[from] = now
	switch message := message.(type) {
	case Heartbeat:
		n.onHeartbeat(from, message)
	case HeartbeatAck:
		n.onHeartbeatAck(from, message)
	case Join:
		n.onJoin(from, message)
	case ViewNotice:
		n.observeView(message.View)
	case Prepare:
		n.onPrepare(from, message)
	case Promise:
		n.onPromise(from, message)
	case Reject:
		n.onReject(message)
	case FetchSnapshot:
		n.onFetchSnapshot(from, message)
	case FetchSnapshotReply:
		n.onFetchSnapshotReply(message)
	case InstallSnapshot:
		n.onInstallSnapshot(from, message)
	case InstallSnapshotAck:
		n.onInstallSnapshotAck(from, message)
	case Accept:
		n.onAccept(from, message)
	case AcceptAck:
		n.onAcceptAck(from, message)
	case Append:
		n.onAppend(from, message)
	case AppendAck:
		n.onAppendAck(from, message)
	case SnapshotNeeded:
		n.onSnapshotNeeded(from, message)
	case Resign:
		n.onResign(from, message)
	case ResignAck:
		n.onResignAck(message)
	}
	return out
}

func (n *Node) onJoin(from Replica, message Join) {
	n.peers.joinRequests[from] = n.now
	if !n.hardState.View.HasWitness(from) {
		n.resignation.revoke() // there is somebody who may replace this replica
	}
	if message.Number < n.hardState.View.Number {
		n.sendViewNotice(from)
	}
}

// onSnapshotNeeded answers a replica that lacks the state which it was offered, by a candidate or by the primary.
func (n *Node) onSnapshotNeeded(from Replica, message SnapshotNeeded) {
	e := n.election
	if n.status == Installing && e.proposes(message.Number, message.Ballot) {
		e.snapshotRequests[from] = n.now
		if n.transfers.tryStart(from, n.now) {
			n.sendWithSnapshot(from, InstallSnapshot{Number: message.Number, Ballot: e.ballot, Position: n.hardState.Position})
		}
		return
	}
	if n.primary != nil && message.Number == n.hardState.View.Number && message.Ballot.isZero() {
		n.sendCatchUp(from, message.Position, message.InstallBallot)
	}
}
