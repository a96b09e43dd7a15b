package replication

import (
	"math/rand/v2"
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
	Heartbeat   time.Duration // between a primary's rounds
	Start       time.Duration // the same, after this replica's own start
	Election    time.Duration // without a primary, before the first member becomes a candidate
	Stagger     time.Duration // more for each member after the first
	Member      time.Duration // of silence after which a primary leaves a member out
	Store       time.Duration // that a member may take to store a change
	Attempt     time.Duration // that each step of a view change may take
	Join        time.Duration // between requests to be taken in
	Settle      time.Duration // least time between view changes that only take replicas in
	Penalty     time.Duration // before a member that was left out for being slow is taken in again; doubles each time
	WitnessGone time.Duration // of silence after which a witness may be replaced
}

// DefaultTiming suits machines in one region.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 150 * time.Millisecond, Start: 180 * time.Millisecond, Election: 700 * time.Millisecond, Stagger: 200 * time.Millisecond,
		Member: 700 * time.Millisecond, Store: 500 * time.Millisecond, Attempt: 400 * time.Millisecond,
		Join: 250 * time.Millisecond, Settle: 500 * time.Millisecond, Penalty: 3 * time.Second,
		WitnessGone: 1500 * time.Millisecond,
	}
}

// Tolerance is what may be lost at once.
type Tolerance struct{ Machines, Zones, Regions int }

// Place is where a machine stands, and whether it counts for the quorum. Of a machine that is not known nothing is said.
type Place struct {
	Zone, Region string
	Known        bool
	Counts       bool
}

// Options are a machine's surroundings.
type Options struct {
	Timing    Timing
	Tolerance Tolerance
	Random    *rand.Rand
	// PlaceOf tells where the machine at an address stands, as far as it is known.
	PlaceOf func(address string) Place
	// JoinTargets are addresses to be asked where no primary is known.
	JoinTargets func() []string
	// Joins says that this replica asks to be taken in where it is no witness.
	Joins bool
}

// Machine is one replica's part of the protocol. Its methods are not safe for concurrent use. Times are of one steady
// clock.
type Machine struct {
	options Options
	durable Durable
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

	leaving bool // this replica is about to end: it neither leads nor joins any more

	election *election
	lead     *leadership
}

// penalty keeps a replica out of the members for a while.
type penalty struct {
	until time.Duration
	span  time.Duration
}

// New returns a replica as it is after a start, with what its disk holds. A replica that was primary does not go on as
// primary: what it had sent before its own disk had it can't be told, so that it needs a new view.
func New(now time.Duration, durable Durable, options Options) *Machine {
	return &Machine{
		options: options, durable: durable, now: now,
		primarySeen: now - options.Timing.Election + options.Timing.Start, started: now,
		heard: map[Replica]time.Duration{}, joining: map[Replica]time.Duration{}, penalties: map[Replica]*penalty{},
		highest: durable.Promised.Round,
	}
}

// Self is this replica.
func (m *Machine) Self() Replica { return m.durable.Self }

// View is the newest view that is known to be decided.
func (m *Machine) View() View { return m.durable.View }

// Status is what the replica is doing.
func (m *Machine) Status() Status { return m.status }

// Position is that of the state held, committed or not.
func (m *Machine) Position() Position { return m.durable.Position }

// Durable is what has to be on the disk.
func (m *Machine) Durable() Durable { return m.durable }

// step begins a step and returns its output.
func (m *Machine) step(now time.Duration) *Output {
	m.now = now
	m.out = &Output{}
	return m.out
}

// persist has the durable part written with this step.
func (m *Machine) persist() *Write {
	if m.out.Write == nil {
		m.out.Write = &Write{}
	}
	m.out.Write.Durable = m.durable
	return m.out.Write
}

func (m *Machine) send(to Replica, message Message) {
	if to.Address != m.durable.Self.Address {
		m.out.Send = append(m.out.Send, Outgoing{To: to.Address, Message: message})
	}
}

func (m *Machine) sendState(to Replica, message Message) {
	m.out.Send = append(m.out.Send, Outgoing{To: to.Address, Message: message, AttachState: true})
}

// enough tells whether copies on these replicas outlive what may be lost at once.
func (m *Machine) enough(replicas []Replica) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, r := range replicas {
		place := m.options.PlaceOf(r.Address)
		zones[place.Zone] = true
		regions[place.Region] = true
	}
	t := m.options.Tolerance
	return len(replicas) > t.Machines && len(zones) > t.Zones && len(regions) > t.Regions
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) *Output {
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
	return out
}

// watchPrimary makes a member a candidate where the primary is silent. Members wait the longer the later they stand in
// the view, so that the first live one acts.
func (m *Machine) watchPrimary() {
	rank := -1
	for i, member := range m.durable.View.Members {
		if member == m.durable.Self {
			rank = i
		}
	}
	if rank < 0 || m.leaving {
		return
	}
	t := m.options.Timing
	stagger := t.Stagger
	if m.primarySeen <= m.started {
		stagger /= 4 // nothing was heard yet: all may have just started
	}
	if m.now-m.primarySeen > t.Election+time.Duration(rank)*stagger {
		m.startElection()
	}
}

// askToJoin asks the primary, or whoever may know it, to take this replica in.
func (m *Machine) askToJoin() {
	if !m.options.Joins || m.leaving || m.durable.View.HasWitness(m.durable.Self) || m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.options.Timing.Join
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
func (m *Machine) follow(view View) {
	m.durable.View = view
	m.durable.Promised, m.durable.Accepted, m.durable.Proposal = Ballot{}, Ballot{}, View{}
	m.election, m.lead = nil, nil
	m.status = Following
	m.primarySeen = m.now
	m.persist()
	if view.Primary == m.durable.Self {
		m.activate()
	}
}

// Receive takes a message from a replica.
func (m *Machine) Receive(now time.Duration, from Replica, message Message) *Output {
	out := m.step(now)
	m.heard[from] = now
	switch message := message.(type) {
	case Heartbeat:
		m.onHeartbeat(from, message)
	case HeartbeatAck:
		m.onHeartbeatAck(from, message)
	case Join:
		m.onJoin(from, message)
	case Newer:
		m.learn(message.View)
	case Prepare:
		m.onPrepare(from, message)
	case Promise:
		m.onPromise(from, message)
	case Reject:
		m.onReject(message)
	case Fetch:
		m.onFetch(from, message)
	case Fetched:
		m.onFetched(message)
	case Install:
		m.onInstall(from, message)
	case Installed:
		m.onInstalled(from, message)
	case Accept:
		m.onAccept(from, message)
	case Accepted:
		m.onAccepted(from, message)
	case Store:
		m.onStore(from, message)
	case Stored:
		m.onStored(from, message)
	case Missing:
		m.onMissing(from, message)
	case Resign:
		m.onResign(from, message)
	}
	return out
}

// learn takes over a view that is newer than the one known. It returns false where the sender's is the older one.
func (m *Machine) learn(view View) bool {
	if view.Number > m.durable.View.Number {
		m.follow(view)
	}
	return view.Number >= m.durable.View.Number
}

func (m *Machine) onJoin(from Replica, message Join) {
	m.joining[from] = m.now
	if message.Number < m.durable.View.Number {
		m.send(from, Newer{View: m.durable.View})
	}
}
