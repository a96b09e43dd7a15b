package replication

import (
	"slices"
	"time"
)

// election is a candidate's attempt to decide the view after the present one.
type election struct {
	ballot    Ballot
	began     time.Duration // the present step
	resend    time.Duration
	majority  time.Duration // when a majority had promised; 0: not yet
	promises  map[Replica]Promise
	holder    Replica  // whose state the next view begins with
	from      Position // of that state, where it was taken from
	source    Ballot
	proposal  View
	installed map[Replica]bool
	accepted  map[Replica]bool
}

// gather is how long a candidate waits for promises beyond a majority, so that all live replicas are taken in.
const gather = 60 * time.Millisecond

// resendEvery is the time between repeats of messages that were not answered.
const resendEvery = 120 * time.Millisecond

// startElection makes this replica a candidate.
func (m *Machine) startElection() {
	m.highest = max(m.highest, m.durable.Promised.Round) + 1
	ballot := Ballot{Round: m.highest, Proposer: m.durable.Self}
	m.lead = nil
	m.election = &election{ballot: ballot, promises: map[Replica]Promise{}}
	m.enter(Preparing)
	m.promise(ballot)
	if m.durable.View.HasWitness(m.durable.Self) {
		m.election.promises[m.durable.Self] = m.ownPromise()
	}
	m.sendPrepare()
	m.countPromises()
}

// enter begins a step of a view change.
func (m *Machine) enter(status Status) {
	m.status = status
	m.election.began, m.election.resend = m.now, m.now+resendEvery
}

// abandon ends an attempt; the next one comes after a random time.
func (m *Machine) abandon() {
	m.election = nil
	m.status = Following
	t := m.options.Timing
	pause := time.Duration(m.options.Random.Int64N(int64(t.Stagger) + 1))
	m.primarySeen = m.now - t.Election + t.Stagger/2 + pause
}

func (m *Machine) tickElection() {
	e := m.election
	if m.now-e.began > m.options.Timing.Attempt {
		m.stepTimedOut()
		return
	}
	if m.status == Preparing {
		m.countPromises()
	}
	if m.election == e && m.now >= e.resend {
		e.resend = m.now + resendEvery
		m.repeatStep()
	}
}

// stepTimedOut goes on without the members that did not take the state, where the others suffice; else it gives up.
func (m *Machine) stepTimedOut() {
	e := m.election
	if m.status != Installing {
		m.abandon()
		return
	}
	e.proposal.Members = slices.DeleteFunc(e.proposal.Members, func(r Replica) bool { return !e.installed[r] })
	if !m.enough(e.proposal.Members) {
		m.abandon()
		return
	}
	m.beginAccepting()
}

func (m *Machine) repeatStep() {
	switch m.status {
	case Preparing:
		m.sendPrepare()
	case Fetching:
		m.sendFetch()
	case Installing:
		m.sendInstall()
	case Accepting:
		m.sendAccept()
	case Following, Activating, Leading:
	}
}

func (m *Machine) sendPrepare() {
	for _, witness := range m.durable.View.Witnesses {
		if _, done := m.election.promises[witness]; !done {
			m.send(witness, Prepare{View: m.durable.View, Ballot: m.election.ballot})
		}
	}
}

func (m *Machine) onPromise(from Replica, message Promise) {
	e := m.election
	if e == nil || m.status != Preparing || message.Ballot != e.ballot || message.Number != m.durable.View.Number+1 {
		return
	}
	if !m.durable.View.HasWitness(from) {
		return
	}
	e.promises[from] = message
	m.countPromises()
}

func (m *Machine) onReject(message Reject) {
	m.highest = max(m.highest, message.Promised.Round)
	if m.election != nil && message.Number == m.durable.View.Number+1 && m.election.ballot.less(message.Promised) {
		m.abandon()
	}
}

// countPromises goes on once all witnesses have promised, or a majority a while ago.
func (m *Machine) countPromises() {
	e := m.election
	if len(e.promises) < m.durable.View.quorum() {
		return
	}
	if e.majority == 0 {
		e.majority = m.now
	}
	if len(e.promises) < len(m.durable.View.Witnesses) && m.now-e.majority < gather {
		return
	}
	if proposal, found := e.highestAccepted(); found {
		e.proposal = proposal // its members hold the state already
		m.beginAccepting()
		return
	}
	m.chooseState()
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

// chooseState finds the newest state that a sealed member of the present view holds. Any of them has all that was
// acknowledged in that view.
func (m *Machine) chooseState() {
	e := m.election
	e.holder, e.from, e.source = m.durable.Self, m.durable.Position, m.durable.Source
	for _, member := range m.durable.View.Members {
		p, promised := e.promises[member]
		if promised && e.from.Less(p.Position) {
			e.holder, e.from, e.source = member, p.Position, p.Source
		}
	}
	if e.holder == m.durable.Self {
		m.beginInstalling(nil)
		return
	}
	m.enter(Fetching)
	m.sendFetch()
}

func (m *Machine) sendFetch() {
	m.send(m.election.holder, Fetch{Number: m.durable.View.Number + 1, Ballot: m.election.ballot})
}

func (m *Machine) onFetched(message Fetched) {
	e := m.election
	if e == nil || m.status != Fetching || message.Ballot != e.ballot || message.Number != m.durable.View.Number+1 {
		return
	}
	if message.Snapshot == nil || message.Position != e.from {
		return
	}
	m.beginInstalling(message.Snapshot)
}

// beginInstalling hands the state to the members of the next view; nil is the state that this replica holds.
func (m *Machine) beginInstalling(snapshot []byte) {
	e := m.election
	witnesses := m.nextWitnesses()
	members := m.nextMembers(witnesses)
	if !m.enough(members) {
		m.abandon()
		return
	}
	number := m.durable.View.Number + 1
	e.proposal = View{Number: number, Primary: m.nextPrimary(members), Members: members, Witnesses: witnesses}
	e.installed = map[Replica]bool{m.durable.Self: true}
	m.hold(Position{View: number, Sequence: e.from.Sequence}, e.ballot, snapshot)
	m.enter(Installing)
	m.sendInstall()
	m.countInstalled()
}

// nextPrimary is this replica, unless it is no member any more.
func (m *Machine) nextPrimary(members []Replica) Replica {
	if slices.Contains(members, m.durable.Self) {
		return m.durable.Self
	}
	return members[0]
}

func (m *Machine) sendInstall() {
	e := m.election
	for _, member := range e.proposal.Members {
		if !e.installed[member] {
			m.send(member, Install{Number: e.proposal.Number, Ballot: e.ballot, Position: m.durable.Position,
				From: e.from, FromSource: e.source})
		}
	}
}

func (m *Machine) onInstalled(from Replica, message Installed) {
	e := m.election
	if e == nil || m.status != Installing || message.Ballot != e.ballot || message.Number != e.proposal.Number {
		return
	}
	e.installed[from] = true
	m.countInstalled()
}

func (m *Machine) countInstalled() {
	for _, member := range m.election.proposal.Members {
		if !m.election.installed[member] {
			return
		}
	}
	m.beginAccepting()
}

func (m *Machine) beginAccepting() {
	e := m.election
	e.accepted = map[Replica]bool{}
	m.enter(Accepting)
	if m.durable.View.HasWitness(m.durable.Self) {
		m.accept(e.ballot, e.proposal)
		e.accepted[m.durable.Self] = true
	}
	m.sendAccept()
	m.countAccepted()
}

func (m *Machine) sendAccept() {
	e := m.election
	for _, witness := range m.durable.View.Witnesses {
		if !e.accepted[witness] {
			m.send(witness, Accept{Ballot: e.ballot, Proposal: e.proposal})
		}
	}
}

func (m *Machine) onAccepted(from Replica, message Accepted) {
	e := m.election
	if e == nil || m.status != Accepting || message.Ballot != e.ballot || message.Number != e.proposal.Number {
		return
	}
	if m.durable.View.HasWitness(from) {
		e.accepted[from] = true
	}
	m.countAccepted()
}

// countAccepted puts a view in force that a majority of the former witnesses has accepted.
func (m *Machine) countAccepted() {
	e := m.election
	if len(e.accepted) < m.durable.View.quorum() {
		return
	}
	former, decided := m.durable.View, e.proposal
	m.follow(decided)
	for _, replica := range union(former.Witnesses, decided.Witnesses) {
		m.send(replica, Newer{View: decided})
	}
}

func (m *Machine) onMissing(from Replica, message Missing) {
	e := m.election
	if e != nil && m.status == Installing && message.Ballot == e.ballot && message.Number == e.proposal.Number {
		m.sendState(from, Install{Number: e.proposal.Number, Ballot: e.ballot, Position: m.durable.Position})
		return
	}
	if m.lead != nil && message.Number == m.durable.View.Number && message.Ballot.isZero() {
		m.sendState(from, Store{View: m.durable.View, Source: m.durable.Source, Position: m.durable.Position})
	}
}

func union(a, b []Replica) []Replica {
	all := slices.Concat(a, b)
	slices.SortFunc(all, compareReplicas)
	return slices.Compact(all)
}
