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
	// Joins says that this replica asks to be taken in where it is no witness.
	Joins bool
}

// Node is one replica's part of the protocol. Its methods are not safe for concurrent use. Times are of one steady
// clock.
type Node struct {
	options Options
	durable HardState
	status  Status
	out     *Output

	now         time.Duration
	started     time.Duration
	primarySeen time.Duration             // when the view's primary last showed that it is not cut off
	heard       map[Replica]time.Duration // when each replica was last heard of
	joining     map[Replica]time.Duration // when each last asked to be taken in
	penalties   map[Replica]*penalty
	nextJoin    time.Duration
	highest     uint64 // round of any ballot seen
	transfers   transfers

	leaving    bool          // this replica is about to end: it does not ask to be taken in any more
	released   time.Duration // when the primary said last that it may end; 0: it did not
	nextResign time.Duration
	leavers    map[Replica]bool          // the others that have said so
	replaced   map[Replica]time.Duration // when each former witness went out of the view

	election *election
	lead     *leadership
}

// New returns a replica as it is after a start, with what its disk holds. A replica that was primary does not go on as
// primary: what it had sent before its own disk had it can't be told, so that it needs a new view.
func New(now time.Duration, durable HardState, options Options) *Node {
	return &Node{
		options: options, durable: durable, now: now,
		primarySeen: now - options.Timing.ElectionTimeout + options.Timing.StartupTimeout, started: now,
		heard: map[Replica]time.Duration{}, joining: map[Replica]time.Duration{}, penalties: map[Replica]*penalty{},
		highest: durable.Promised.Round, transfers: transfers{}, leavers: map[Replica]bool{}, replaced: map[Replica]time.Duration{},
	}
}

// Self is this replica.
func (m *Node) Self() Replica { return m.durable.Self }

// View is the newest view that is known to be decided.
func (m *Node) View() View { return m.durable.View }

// Status is what the replica is doing.
func (m *Node) Status() Status { return m.status }

// Position is that of the state held, committed or not.
func (m *Node) Position() Position { return m.durable.Position }

// HardState is what has to be on the disk.
func (m *Node) HardState() HardState { return m.durable }

// step begins a step and returns its output.
func (m *Node) step(now time.Duration) *Output {
	m.now = now
	m.out = &Output{}
	return m.out
}

// persist has the durable part written with this step.
func (m *Node) persist() *Write {
	if m.out.Write == nil {
		m.out.Write = &Write{}
	}
	m.out.Write.HardState = m.durable
	return m.out.Write
}

func (m *Node) send(to Replica, message Message) {
	if to.Address != m.durable.Self.Address {
		m.out.Send = append(m.out.Send, Outgoing{To: to.Address, Message: message})
	}
}

func (m *Node) sendState(to Replica, message Message) {
	m.out.Send = append(m.out.Send, Outgoing{To: to.Address, Message: message, AttachSnapshot: true})
}

// enough tells whether copies on these replicas outlive what may be lost at once.
func (m *Node) enough(replicas []Replica) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, r := range replicas {
		place := m.options.LocalityOf(r.Address)
		zones[place.Zone] = true
		regions[place.Region] = true
	}
	t := m.options.Tolerance
	return len(replicas) > t.Machines && len(zones) > t.Zones && len(regions) > t.Regions
}

// Tick lets time pass.
func (m *Node) Tick(now time.Duration) *Output {
	out := m.step(now)
	switch m.status {
	case Following:
		m.watchPrimary()
	case Preparing, Fetching, Installing, Accepting:
		m.tickElection()
	case Activating, Leading:
		m.tickLeadership()
	}
	m.askToJoin()
	m.sayLeaving()
	return out
}

// forgottenAfter is how long a witness hears of no primary before it asks whether there is a newer view.
const forgottenAfter = 2 * time.Second

// watchPrimary makes a member a candidate where the primary is silent. Members wait the longer the later they stand in
// the view, so that the first live one acts, and those that leave wait longest: theirs may be the only copy left.
func (m *Node) watchPrimary() {
	rank := slices.Index(m.durable.View.Members, m.durable.Self)
	if rank < 0 {
		return
	}
	if m.leaving {
		rank += len(m.durable.View.Members)
	}
	t := m.options.Timing
	stagger := t.ElectionStagger
	if m.primarySeen <= m.started {
		stagger /= 4 // nothing was heard yet: all may have just started
	}
	if m.now-m.primarySeen > t.ElectionTimeout+time.Duration(rank)*stagger {
		m.startElection()
	}
}

// askToJoin asks the primary, or whoever may know it, to take this replica in. A witness that has heard of no primary for
// long asks too: it may have been replaced while it was away, and whoever knows the newer view answers with it.
func (m *Node) askToJoin() {
	isIn := m.durable.View.HasWitness(m.durable.Self) && (m.lead != nil || m.now-m.primarySeen < forgottenAfter)
	if !m.options.Joins || m.leaving || isIn || m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.options.Timing.JoinInterval
	message := Join{Number: m.durable.View.Number}
	if m.durable.View.Number > 0 {
		for _, witness := range m.durable.View.Witnesses {
			m.send(witness, message)
		}
	}
	for _, address := range m.options.JoinTargets() {
		m.send(Replica{Address: address}, message)
	}
}

// follow takes over a decided view. It is the only place where the view changes.
func (m *Node) follow(view View) {
	for _, r := range m.durable.View.Witnesses {
		if !view.HasWitness(r) {
			m.replaced[r] = m.now
		}
	}
	m.durable.View = view
	m.durable.Promised, m.durable.Accepted, m.durable.Proposal = Ballot{}, Ballot{}, View{}
	m.election, m.lead = nil, nil
	m.status = Following
	m.primarySeen = m.now
	m.released = 0 // the primary of this view has to say so again
	m.persist()
	if view.Primary == m.durable.Self {
		m.activate()
	}
}

// Receive takes a message from a replica.
func (m *Node) Receive(now time.Duration, from Replica, message Message) *Output {
	out := m.step(now)
	m.heard[from] = now
	switch message := message.(type) {
	case Heartbeat:
		m.onHeartbeat(from, message)
	case HeartbeatAck:
		m.onHeartbeatAck(from, message)
	case Join:
		m.onJoin(from, message)
	case ViewNotice:
		m.learn(message.View)
	case Prepare:
		m.onPrepare(from, message)
	case Promise:
		m.onPromise(from, message)
	case Reject:
		m.onReject(message)
	case FetchSnapshot:
		m.onFetch(from, message)
	case FetchSnapshotReply:
		m.onFetched(message)
	case InstallSnapshot:
		m.onInstall(from, message)
	case InstallSnapshotAck:
		m.onInstalled(from, message)
	case Accept:
		m.onAccept(from, message)
	case AcceptAck:
		m.onAccepted(from, message)
	case Append:
		m.onStore(from, message)
	case AppendAck:
		m.onStored(from, message)
	case SnapshotNeeded:
		m.onMissing(from, message)
	case Resign:
		m.onResign(from, message)
	case ResignAck:
		m.onReleased(message)
	}
	return out
}

// learn takes over a view that is newer than the one known. It returns false where the sender's is the older one.
func (m *Node) learn(view View) bool {
	if view.Number > m.durable.View.Number && view.isComplete() {
		m.follow(view)
	}
	return view.Number >= m.durable.View.Number
}

func (m *Node) onJoin(from Replica, message Join) {
	m.joining[from] = m.now
	if !m.durable.View.HasWitness(from) {
		m.released = 0 // there is somebody who may take this replica's part over
	}
	if message.Number < m.durable.View.Number {
		m.send(from, ViewNotice{View: m.durable.View})
	}
}
