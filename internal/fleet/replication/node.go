package replication

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Status is what a replica is doing.
type Status uint8

// The states of a replica. A candidate goes through them in this order; a view change that fails leads back to Following.
const (
	Following  Status = iota // the primary of the view, if there is one, is another replica
	Preparing                // asks witnesses for promises
	Fetching                 // asks a member for a newer state than its own
	Installing               // hands the state to the next view's members
	Accepting                // has witnesses accept the next view
	Activating               // is primary, and brings all members to the same content
	Leading                  // is primary, and may acknowledge changes
)

func (s Status) String() string {
	return [...]string{"following", "preparing", "fetching", "installing", "accepting", "activating", "leading"}[s]
}

// Timing are the intervals of the protocol. None of them matters for safety.
type Timing struct {
	HeartbeatInterval     time.Duration // between a primary's rounds
	StartupTimeout        time.Duration // the same, after this replica's own start
	ElectionTimeout       time.Duration // without a primary, before the first member becomes a candidate
	ElectionStagger       time.Duration // more for each member after the first
	MemberTimeout         time.Duration // of silence after which a primary leaves a member out
	AppendTimeout         time.Duration // that a member may take to store a change
	StepTimeout           time.Duration // that each step of a view change may take
	SnapshotTimeout       time.Duration // the same, where a member that the others can't do without is sent the whole state
	JoinInterval          time.Duration // between requests to be taken in
	MinViewChangeInterval time.Duration // least time between view changes that only take replicas in
	SlowMemberBackoff     time.Duration // before a member that was left out for being slow is taken in again; doubles each time
	WitnessTimeout        time.Duration // of silence after which a witness may be replaced
}

// DefaultTiming suits machines in one region.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 150 * time.Millisecond, StartupTimeout: 180 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond, ElectionStagger: 200 * time.Millisecond,
		MemberTimeout: 700 * time.Millisecond, AppendTimeout: 500 * time.Millisecond, StepTimeout: 400 * time.Millisecond,
		SnapshotTimeout: 12 * time.Second,
		JoinInterval:    250 * time.Millisecond, MinViewChangeInterval: 500 * time.Millisecond, SlowMemberBackoff: 3 * time.Second,
		WitnessTimeout: 1500 * time.Millisecond,
	}
}

// Tolerance is what may be lost at once.
type Tolerance struct{ Machines, Zones, Regions int }

// Locality is where a machine stands, and whether it counts for the quorum. Of a machine that is not known nothing is said.
type Locality struct {
	Zone, Region    string
	Known           bool
	CountsForQuorum bool
}

// Options are a machine's surroundings.
type Options struct {
	Timing    Timing
	Tolerance Tolerance
	Random    *rand.Rand
	// LocalityOf tells where the machine at an address stands, as far as it is known.
	LocalityOf func(address string) Locality
	// JoinTargets are addresses to be asked where no primary is known.
	JoinTargets func() []string
	// RequestsJoin says that this replica asks to be taken in where it is no witness.
	RequestsJoin bool
}

// Node is one replica's part of the protocol. Its methods are not safe for concurrent use. Times are of one steady
// clock.
type Node struct {
	options Options
	hardState HardState
	status  Status
	out     *Output

	now         time.Duration
	started     time.Duration
	primaryLastSeen time.Duration             // when the view's primary last showed that it is not cut off
	lastContact       map[Replica]time.Duration // when each replica was last heard of
	joinRequests     map[Replica]time.Duration // when each last asked to be taken in
	penalties   map[Replica]*penalty
	nextJoin    time.Duration
	highestRound     uint64 // round of any ballot seen
	transfers   snapshotTransfers

	resigning    bool          // this replica is about to end: it does not ask to be taken in any more
	releasedAt   time.Duration // when the primary said last that it may end; 0: it did not
	nextResign time.Duration
	resigningPeers    map[Replica]bool          // the others that have said so
	formerWitnesses   map[Replica]time.Duration // when each former witness went out of the view

	election *election
	primary     *primaryState
}

// New returns a replica as it is after a start, with what its disk holds. A replica that was primary does not go on as
// primary: what it had sent before its own disk had it can't be told, so that it needs a new view.
func New(now time.Duration, durable HardState, options Options) *Node {
	return &Node{
		options: options, hardState: durable, now: now,
		primaryLastSeen: now - options.Timing.ElectionTimeout + options.Timing.StartupTimeout, started: now,
		lastContact: map[Replica]time.Duration{}, joinRequests: map[Replica]time.Duration{}, penalties: map[Replica]*penalty{},
		highestRound: durable.Promised.Round, transfers: snapshotTransfers{}, resigningPeers: map[Replica]bool{}, formerWitnesses: map[Replica]time.Duration{},
	}
}

// Self is this replica.
func (n *Node) Self() Replica { return n.hardState.Self }

// View is the newest view that is known to be decided.
func (n *Node) View() View { return n.hardState.View }

// Status is what the replica is doing.
func (n *Node) Status() Status { return n.status }

// Position is that of the state held, committed or not.
func (n *Node) Position() Position { return n.hardState.Position }

// HardState is what has to be on the disk.
func (n *Node) HardState() HardState { return n.hardState }

// step begins a step and returns its output.
func (n *Node) step(now time.Duration) *Output {
	n.now = now
	n.out = &Output{}
	return n.out
}

// persist has the durable part written with this step.
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

// enough tells whether copies on these replicas outlive what may be lost at once.
func (n *Node) survivesLoss(replicas []Replica) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, r := range replicas {
		place := n.options.LocalityOf(r.Address)
		zones[place.Zone] = true
		regions[place.Region] = true
	}
	t := n.options.Tolerance
	return len(replicas) > t.Machines && len(zones) > t.Zones && len(regions) > t.Regions
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

// primaryUnknownTimeout is how long a witness hears of no primary before it asks whether there is a newer view.
const primaryUnknownTimeout = 2 * time.Second

// checkElectionTimeout makes a member a candidate where the primary is silent. Members wait the longer the later they stand in
// the view, so that the first live one acts, and those that leave wait longest: theirs may be the only copy left.
func (n *Node) checkElectionTimeout() {
	rank := slices.Index(n.hardState.View.Members, n.hardState.Self)
	if rank < 0 {
		return
	}
	if n.resigning {
		rank += len(n.hardState.View.Members)
	}
	t := n.options.Timing
	stagger := t.ElectionStagger
	if n.primaryLastSeen <= n.started {
		stagger /= 4 // nothing was heard yet: all may have just started
	}
	if n.now-n.primaryLastSeen > t.ElectionTimeout+time.Duration(rank)*stagger {
		n.startElection()
	}
}

// requestJoin asks the primary, or whoever may know it, to take this replica in. A witness that has heard of no primary for
// long asks too: it may have been replaced while it was away, and whoever knows the newer view answers with it.
func (n *Node) requestJoin() {
	isIn := n.hardState.View.HasWitness(n.hardState.Self) && (n.primary != nil || n.now-n.primaryLastSeen < primaryUnknownTimeout)
	if !n.options.RequestsJoin || n.resigning || isIn || n.now < n.nextJoin {
		return
	}
	n.nextJoin = n.now + n.options.Timing.JoinInterval
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

// follow takes over a decided view. It is the only place where the view changes.
func (n *Node) adoptView(view View) {
	for _, r := range n.hardState.View.Witnesses {
		if !view.HasWitness(r) {
			n.formerWitnesses[r] = n.now
		}
	}
	n.hardState.View = view
	n.hardState.Promised, n.hardState.Accepted, n.hardState.Proposal = Ballot{}, Ballot{}, View{}
	n.election, n.primary = nil, nil
	n.status = Following
	n.primaryLastSeen = n.now
	n.releasedAt = 0 // the primary of this view has to say so again
	n.persist()
	if view.Primary == n.hardState.Self {
		n.activate()
	}
}

// Receive takes a message from a replica.
func (n *Node) Receive(now time.Duration, from Replica, message Message) *Output {
	out := n.step(now)
	n.lastContact[from] = now
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

// learn takes over a view that is newer than the one known. It returns false where the sender's is the older one.
func (n *Node) observeView(view View) bool {
	if view.Number > n.hardState.View.Number && view.isComplete() {
		n.adoptView(view)
	}
	return view.Number >= n.hardState.View.Number
}

func (n *Node) onJoin(from Replica, message Join) {
	n.joinRequests[from] = n.now
	if !n.hardState.View.HasWitness(from) {
		n.releasedAt = 0 // there is somebody who may take this replica's part over
	}
	if message.Number < n.hardState.View.Number {
		n.send(from, ViewNotice{View: n.hardState.View})
	}
}
