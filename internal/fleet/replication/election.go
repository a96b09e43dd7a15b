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
	asking    map[Replica]time.Duration // when replicas last said that they lack the state
	skipped   map[Replica]bool          // that this attempt goes on without
	prepared  map[Replica]bool          // beside members, the replicas that hold the state already; nil: not known
}

// gather is how long a candidate waits for promises beyond a majority, so that all live replicas are taken in.
const gather = 60 * time.Millisecond

// resendEvery is the time between repeats of messages that were not answered.
const resendEvery = 120 * time.Millisecond

// startElection makes this replica a candidate.
func (m *Node) startElection() {
	m.highest = max(m.highest, m.durable.Promised.Round) + 1
	ballot := Ballot{Round: m.highest, Proposer: m.durable.Self}
	prepared := m.preparedNow()
	m.lead = nil
	m.election = &election{ballot: ballot, promises: map[Replica]Promise{}, prepared: prepared, asking: map[Replica]time.Duration{}, skipped: map[Replica]bool{}}
	m.enter(Preparing)
	m.promise(ballot)
	if m.durable.View.HasWitness(m.durable.Self) {
		m.election.promises[m.durable.Self] = m.ownPromise()
	}
	m.sendPrepare()
	m.countPromises()
}

// preparedNow are the replicas beside members that hold this primary's state; nil where this replica is no primary.
func (m *Node) preparedNow() map[Replica]bool {
	if m.status != Leading {
		return nil
	}
	prepared := map[Replica]bool{}
	for r, position := range m.lead.holds {
		prepared[r] = position == m.durable.Position
	}
	return prepared
}

// enter begins a step of a view change.
func (m *Node) enter(status Status) {
	m.status = status
	m.election.began, m.election.resend = m.now, m.now+resendEvery
}

// abandon ends an attempt; the next one comes after a random time.
func (m *Node) abandon() {
	m.election = nil
	m.status = Following
	t := m.options.Timing
	pause := time.Duration(m.options.Random.Int64N(int64(t.ElectionStagger) + 1))
	m.primarySeen = m.now - t.ElectionTimeout + t.ElectionStagger/2 + pause
}

func (m *Node) tickElection() {
	e := m.election
	if m.now-e.began > m.options.Timing.StepTimeout {
		m.stepTimedOut()
	}
	if m.election == e && m.status == Preparing {
		m.countPromises()
	}
	if m.election == e && m.now >= e.resend {
		e.resend = m.now + resendEvery
		m.repeatStep()
	}
}

// stepTimedOut waits on for a state that is on its way, goes on without the replicas that did not take theirs, where the
// others suffice, or gives up.
func (m *Node) stepTimedOut() {
	switch m.status {
	case Fetching:
		if !m.live(m.election.holder, m.options.Timing.StepTimeout) || m.transferOverdue() {
			m.abandon()
		}
	case Installing:
		m.installTimedOut()
	default:
		m.abandon()
	}
}

func (m *Node) transferOverdue() bool {
	return m.now-m.election.began > m.options.Timing.SnapshotTimeout
}

// isAsking tells whether a replica has said lately that it lacks the state: it may be on its way.
func (m *Node) isAsking(r Replica) bool {
	at, asks := m.election.asking[r]
	return asks && m.now-at < m.options.Timing.StepTimeout
}

// installTimedOut leaves out those that have not installed the state. One that is heard of is waited for where the others
// don't suffice: the whole state may be on its way to it.
func (m *Node) installTimedOut() {
	e := m.election
	missing := slices.DeleteFunc(m.installers(), func(r Replica) bool { return e.installed[r] })
	for _, r := range missing {
		e.skipped[r] = true
		if !m.isAsking(r) {
			m.penalize(r)
		}
	}
	witnesses := m.nextWitnesses(e.prepared != nil)
	members := slices.DeleteFunc(m.nextMembers(witnesses, m.answers), func(r Replica) bool { return !e.installed[r] })
	isNew := func(r Replica) bool { return !m.durable.View.HasWitness(r) && !e.installed[r] }
	if m.enough(members) && !slices.ContainsFunc(witnesses, isNew) {
		e.proposal.Witnesses, e.proposal.Members, e.proposal.Primary = witnesses, members, m.nextPrimary(members)
		m.beginAccepting()
		return
	}
	if !slices.ContainsFunc(missing, m.isAsking) || m.transferOverdue() {
		m.abandon()
	}
}

func (m *Node) repeatStep() {
	switch m.status {
	case Preparing:
		m.sendPrepare()
	case Fetching:
		m.showLife()
		if m.transfers.mayBegin(m.election.holder, m.now) {
			m.sendFetch()
		}
	case Installing:
		m.showLife()
		m.sendInstall()
	case Accepting:
		m.sendAccept()
	case Following, Activating, Leading:
	}
}

// showLife tells the witnesses, while the state is on its way, that they need not stand for election themselves. Those that
// hear it answer, so that the candidate knows which of them live.
func (m *Node) showLife() {
	for _, witness := range m.durable.View.Witnesses {
		m.send(witness, Prepare{View: m.durable.View, Ballot: m.election.ballot})
	}
}

func (m *Node) sendPrepare() {
	for _, witness := range m.durable.View.Witnesses {
		if _, done := m.election.promises[witness]; !done {
			m.send(witness, Prepare{View: m.durable.View, Ballot: m.election.ballot})
		}
	}
}

func (m *Node) onPromise(from Replica, message Promise) {
	m.noteLeaving(from, message.Leaving)
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

func (m *Node) onReject(message Reject) {
	m.highest = max(m.highest, message.Promised.Round)
	if m.election != nil && message.Number == m.durable.View.Number+1 && m.election.ballot.less(message.Promised) {
		m.abandon()
	}
}

// countPromises goes on once all witnesses have promised, or a majority a while ago.
func (m *Node) countPromises() {
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
func (m *Node) chooseState() {
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
	m.transfers.done(e.holder)
	m.transfers.mayBegin(e.holder, m.now)
	m.sendFetch()
}

func (m *Node) sendFetch() {
	m.send(m.election.holder, FetchSnapshot{Number: m.durable.View.Number + 1, Ballot: m.election.ballot})
}

func (m *Node) onFetched(message FetchSnapshotReply) {
	e := m.election
	if e == nil || m.status != Fetching || message.Ballot != e.ballot || message.Number != m.durable.View.Number+1 {
		return
	}
	if message.Snapshot == nil || message.Position != e.from {
		return
	}
	m.transfers.done(e.holder)
	m.beginInstalling(message.Snapshot)
}

// beginInstalling hands the state to the members of the next view; nil is the state that this replica holds.
func (m *Node) beginInstalling(snapshot []byte) {
	e := m.election
	witnesses := m.nextWitnesses(e.prepared != nil)
	members := m.nextMembers(witnesses, m.answers)
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
func (m *Node) nextPrimary(members []Replica) Replica {
	if slices.Contains(members, m.durable.Self) {
		return m.durable.Self
	}
	return members[0]
}

// installers are the replicas that have to hold the state before the view is proposed: its members, and witnesses that are
// new, which shows that they live and store what they are sent.
func (m *Node) installers() []Replica {
	proposal := &m.election.proposal
	newcomers := slices.DeleteFunc(slices.Clone(proposal.Witnesses), m.durable.View.HasWitness)
	return union(proposal.Members, newcomers)
}

func (m *Node) sendInstall() {
	e := m.election
	for _, replica := range m.installers() {
		if !e.installed[replica] {
			m.send(replica, InstallSnapshot{Number: e.proposal.Number, Ballot: e.ballot, Position: m.durable.Position,
				From: e.from, FromSource: e.source})
		}
	}
}

func (m *Node) onInstalled(from Replica, message InstallSnapshotAck) {
	e := m.election
	if e == nil || m.status != Installing || message.Ballot != e.ballot || message.Number != e.proposal.Number {
		return
	}
	e.installed[from] = true
	m.transfers.done(from)
	m.countInstalled()
}

func (m *Node) countInstalled() {
	for _, replica := range m.installers() {
		if !m.election.installed[replica] {
			return
		}
	}
	m.beginAccepting()
}

func (m *Node) beginAccepting() {
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

func (m *Node) sendAccept() {
	e := m.election
	for _, witness := range m.durable.View.Witnesses {
		if !e.accepted[witness] {
			m.send(witness, Accept{Ballot: e.ballot, Proposal: e.proposal})
		}
	}
}

func (m *Node) onAccepted(from Replica, message AcceptAck) {
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
func (m *Node) countAccepted() {
	e := m.election
	if len(e.accepted) < m.durable.View.quorum() {
		return
	}
	former, decided := m.durable.View, e.proposal
	m.follow(decided)
	for _, replica := range union(former.Witnesses, decided.Witnesses) {
		m.send(replica, ViewNotice{View: decided})
	}
}

func (m *Node) onMissing(from Replica, message SnapshotNeeded) {
	e := m.election
	if e != nil && m.status == Installing && message.Ballot == e.ballot && message.Number == e.proposal.Number {
		e.asking[from] = m.now
		if m.transfers.mayBegin(from, m.now) {
			m.sendState(from, InstallSnapshot{Number: e.proposal.Number, Ballot: e.ballot, Position: m.durable.Position})
		}
		return
	}
	if m.lead != nil && message.Number == m.durable.View.Number && message.Ballot.isZero() {
		m.sendMissing(from, message.Position, message.Source)
	}
}

func union(a, b []Replica) []Replica {
	all := slices.Concat(a, b)
	slices.SortFunc(all, compareReplicas)
	return slices.Compact(all)
}
