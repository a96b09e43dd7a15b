package replication

import (
	"slices"
	"time"
)

// Status is a replica's role, or the phase of its election.
type Status uint8

// The states of a replica. A candidate passes through them in this order, and skips Fetching if no member has a newer
// state, or Fetching and Installing if a proposal was accepted already. A failed election returns it to Following.
const (
	Following  Status = iota // not a candidate, nor the primary
	Preparing                // candidate: collects promises from the witnesses
	Fetching                 // candidate: fetches a newer state than its own from a member
	Installing               // candidate: has the next view's members install the state
	Accepting                // candidate: has the witnesses accept the next view
	Activating               // primary: waits until all members have stored the same state
	Leading                  // primary: can commit changes
)

func (s Status) String() string {
	return [...]string{"following", "preparing", "fetching", "installing", "accepting", "activating", "leading"}[s]
}

// Node is the state machine of one replica; only its methods change the replica's state. They are not safe for
// concurrent use. Times are readings of one monotonic clock.
//
// Each method that returns an Output is a step: the caller must carry out the Output before the next step.
type Node struct {
	options   Options
	hardState HardState
	status    Status
	out       *Output // of the current step

	now             time.Duration // of the current step
	started         time.Duration
	primaryLastSeen time.Duration // last contact with the primary; elections set it to adjust the time-out
	nextJoinRequest time.Duration
	highestRound    uint64 // of all ballots seen
	peers           peerTable
	penalties       penalties
	transfers       snapshotTransfers
	resignation     resignation // of this replica

	electionReason ElectionReason // of the last election

	election *election     // nil unless this replica is a candidate
	primary  *primaryState // nil unless this replica is the primary
}

// New returns the state machine of a replica that starts with the hard state from its disk. A replica that was the
// primary does not resume as the primary: it can't know what it had sent before the restart, and so needs a new view.
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

// View returns the newest view known to be decided.
func (n *Node) View() View { return n.hardState.View }

// Status returns the replica's role, or the phase of its election.
func (n *Node) Status() Status { return n.status }

// Position returns the position of the stored state, committed or not.
func (n *Node) Position() Position { return n.hardState.Position }

// HardState returns the hard state as of the last step. It is durable once that step's Output was carried out.
func (n *Node) HardState() HardState { return n.hardState }

// step starts a step and returns its output, which is still empty.
func (n *Node) step(now time.Duration) *Output {
	n.now = now
	n.out = &Output{}
	return n.out
}

// persist adds the hard state to this step's write, and returns the write.
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

// composition returns the composition that chooses the next view's replicas under the current conditions.
func (n *Node) composition() composition {
	return composition{topology: n.topology(), self: n.hardState.Self, view: &n.hardState.View, conditions: n}
}

// Tick checks time-outs, and sends messages that are sent at intervals. The caller calls it regularly.
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

// startupStaggerDivisor divides the election stagger while no primary has been seen since the start: all replicas may
// have just started.
const startupStaggerDivisor = 4

// checkElectionTimeout makes a member a candidate if the primary is unresponsive. The later a member is in the view's
// list, the longer it waits, so that the first responsive member becomes the candidate. Resigning members wait longest,
// but become candidates too: theirs may be the only remaining copy.
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

// primaryUnknownTimeout is the time without contact with a primary after which a witness sends join requests, to learn
// of a newer view.
const primaryUnknownTimeout = 2 * time.Second

// requestJoin sends join requests to the witnesses of the current view and to the join targets. A witness that has had
// no contact with a primary for primaryUnknownTimeout sends them too: it may have been replaced while it was
// unreachable, and a replica that has a newer view answers with that view.
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

// adoptView replaces the current view by a decided one. It is the only place where the view changes.
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
	n.resignation.revoke() // only the primary of the current view may release this replica
	n.persist()
	if view.Primary == n.hardState.Self {
		n.activate()
	}
}

// stepDown ends this replica's role as a candidate or as the primary.
func (n *Node) stepDown() {
	n.election, n.primary = nil, nil
	n.status = Following
}

// observeView adopts a received view if it is newer than the current one. It returns false if the received view is
// older.
func (n *Node) observeView(view View) bool {
	if view.Number > n.hardState.View.Number && view.isComplete() {
		n.adoptView(view)
	}
	return view.Number >= n.hardState.View.Number
}

// sendViewNotice sends the current view to a replica.
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
		n.resignation.revoke() // the sender may be able to replace this replica
	}
	if message.Number < n.hardState.View.Number {
		n.sendViewNotice(from)
	}
}

// onSnapshotNeeded sends the state to a replica that could not apply an InstallSnapshot of this candidate, or an Append
// of this primary.
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
