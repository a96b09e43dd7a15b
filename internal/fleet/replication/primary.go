package replication

import (
	"slices"
	"time"
)

// roundsKept is how many of the last heartbeat rounds may still be answered.
const roundsKept = 8

// leadership is what a primary knows.
type leadership struct {
	began     time.Duration
	holds     map[Replica]Position // what each member has on its disk
	sentAt    map[Replica]time.Duration
	pending   bool // a change waits for members
	pendingAt time.Duration
	committed Position
	entry     []byte // the last change, for members that have not stored it

	learners   []Replica   // that are brought up to the state
	entries    []keptEntry // the last changes, for them
	entryBytes int

	round     uint64
	rounds    map[uint64]*round
	nextRound time.Duration
	confirmed time.Duration // when the last round was sent that a majority answered
	isCurrent bool          // confirmed is set
}

// round is one heartbeat to all witnesses.
type round struct {
	sent time.Duration
	acks map[Replica]bool
}

// activate makes this replica the primary of the view that it has just taken over.
func (m *Node) activate() {
	m.status = Activating
	m.lead = &leadership{
		began: m.now, holds: map[Replica]Position{m.durable.Self: m.durable.Position},
		sentAt: map[Replica]time.Duration{}, rounds: map[uint64]*round{},
	}
	m.sendStore()
	m.countStored()
}

// Propose begins a change. It returns false where this replica is not the primary, or another change is under way.
func (m *Node) Propose(now time.Duration, entry []byte) (*Output, bool) {
	out := m.step(now)
	if m.status != Leading || m.lead.pending || !m.durable.Promised.isZero() {
		return out, false
	}
	if !m.enough(m.staying(m.durable.View.Members)) {
		return out, false
	}
	m.durable.Position.Sequence++
	m.lead.holds[m.durable.Self] = m.durable.Position
	m.lead.pending, m.lead.pendingAt, m.lead.entry = true, now, entry
	m.lead.keepEntry(m.durable.Position.Sequence, entry)
	m.persist().Entry = entry
	m.sendStore()
	m.countStored()
	return out, true
}

// Committed is the position up to which all members hold the state; ok is false on others than a primary.
func (m *Node) Committed() (position Position, ok bool) {
	if m.status != Leading {
		return Position{}, false
	}
	return m.lead.committed, true
}

// HasPendingProposal tells whether a change is under way.
func (m *Node) HasPendingProposal() bool { return m.lead != nil && m.lead.pending }

// LeadershipConfirmedAt is when the primary sent the last round that a majority of the witnesses answered: at that moment no other
// view was in force. ok is false on others than a primary.
func (m *Node) LeadershipConfirmedAt() (at time.Duration, ok bool) {
	if m.status != Leading || !m.lead.isCurrent {
		return 0, false
	}
	return m.lead.confirmed, true
}

// ConfirmLeadership has a round begin at once.
func (m *Node) ConfirmLeadership(now time.Duration) *Output {
	out := m.step(now)
	if m.lead != nil {
		m.sendRound()
	}
	return out
}

// sendStore brings what members, and learners, lack to them. Messages that were just sent are not repeated.
func (m *Node) sendStore() {
	target := m.durable.Position
	for _, member := range union(m.durable.View.Members, m.lead.learners) {
		if m.lead.holds[member] == target {
			continue
		}
		message := Append{View: m.durable.View, Source: m.durable.Source, Position: target}
		if m.lead.pending {
			message.Entry = m.lead.entry
		}
		m.lead.sentAt[member] = m.now
		m.send(member, message)
	}
}

func (m *Node) onStored(from Replica, message AppendAck) {
	if m.lead == nil || message.Number != m.durable.View.Number {
		return
	}
	m.lead.holds[from] = message.Position
	m.transfers.done(from)
	m.countStored()
}

// countStored commits what all members hold, where enough of them stay.
func (m *Node) countStored() {
	if !m.enough(m.staying(m.durable.View.Members)) {
		return
	}
	for _, member := range m.durable.View.Members {
		if m.lead.holds[member] != m.durable.Position {
			return
		}
	}
	m.lead.committed = m.durable.Position
	m.lead.pending = false
	if m.status == Activating {
		m.status = Leading
		m.sendRound()
	}
}

func (m *Node) sendRound() {
	l := m.lead
	l.round++
	l.nextRound = m.now + m.options.Timing.HeartbeatInterval
	l.rounds[l.round] = &round{sent: m.now, acks: map[Replica]bool{m.durable.Self: true}}
	delete(l.rounds, l.round-roundsKept)
	age := m.now - l.began
	if l.isCurrent {
		age = m.now - l.confirmed
	}
	message := Heartbeat{View: m.durable.View, Round: l.round, ConfirmedAgeMs: uint64(age / time.Millisecond)}
	for _, replica := range union(m.durable.View.Witnesses, m.applicants()) {
		m.send(replica, message)
	}
	m.countRound(l.rounds[l.round])
}

func (m *Node) onHeartbeatAck(from Replica, message HeartbeatAck) {
	m.noteLeaving(from, message.Leaving)
	if m.lead == nil || message.Number != m.durable.View.Number {
		return
	}
	r := m.lead.rounds[message.Round]
	if r == nil || !message.Current || !m.durable.View.HasWitness(from) {
		return
	}
	r.acks[from] = true
	m.countRound(r)
}

func (m *Node) countRound(r *round) {
	if len(r.acks) < m.durable.View.quorum() || !m.durable.Promised.isZero() {
		return
	}
	if !m.lead.isCurrent || m.lead.confirmed < r.sent {
		m.lead.confirmed, m.lead.isCurrent = r.sent, true
	}
}

func (m *Node) tickLeadership() {
	l := m.lead
	if m.now >= l.nextRound {
		m.sendRound()
	}
	if m.status == Activating || l.pending {
		m.countStored() // a member may have said since that it stays
		m.repeatStore()
	} else {
		m.teach()
	}
	if m.wantsNewView() {
		m.startElection()
	}
}

func (m *Node) repeatStore() {
	for _, member := range m.durable.View.Members {
		if m.lead.holds[member] != m.durable.Position && m.now-m.lead.sentAt[member] > resendEvery {
			m.sendStore()
			return
		}
	}
}

// wantsNewView tells whether another composition of the view would be better: without a silent, slow or leaving member,
// where the rest suffices, or with replicas that hold the state already.
func (m *Node) wantsNewView() bool {
	if m.lacksMember() {
		return true
	}
	if m.status != Leading || m.lead.pending {
		return false
	}
	return m.mayLoseLeaver() || m.now-m.lead.began > m.options.Timing.MinViewChangeInterval && m.couldImprove()
}

func (m *Node) lacksMember() bool {
	t := m.options.Timing
	since := m.lead.began
	if m.lead.pending {
		since = m.lead.pendingAt
	}
	late := (m.lead.pending || m.status == Activating) && m.now-since > t.AppendTimeout
	silent := false
	var rest []Replica
	for _, member := range m.durable.View.Members {
		switch {
		case late && m.lead.holds[member] != m.durable.Position:
			m.penalize(member)
			silent = true
		case m.now-m.lead.began > t.MemberTimeout && !m.live(member, t.MemberTimeout):
			silent = true
		default:
			rest = append(rest, member)
		}
	}
	return silent && m.enough(m.staying(append(rest, m.spares()...)))
}

// spares are live witnesses that are no members.
func (m *Node) spares() []Replica {
	var all []Replica
	for _, r := range m.durable.View.Witnesses {
		if !m.durable.View.HasMember(r) && m.live(r, m.options.Timing.MemberTimeout) && !m.penalized(r) {
			all = append(all, r)
		}
	}
	return all
}

// mayLoseLeaver tells whether a member that leaves can be done without at once.
func (m *Node) mayLoseLeaver() bool {
	isMember := slices.ContainsFunc(m.durable.View.Members, m.isLeaving)
	return isMember && m.enough(m.nextMembers(m.nextWitnesses(true), m.keepsUp))
}

// couldImprove tells whether a view change would change the composition, and could: all that it would take in hold the
// state.
func (m *Node) couldImprove() bool {
	view := &m.durable.View
	witnesses := m.nextWitnesses(true)
	members := m.nextMembers(witnesses, m.keepsUp)
	if !m.enough(members) {
		return false
	}
	better := len(members) > len(view.Members) || slices.ContainsFunc(members, func(r Replica) bool { return !view.HasMember(r) })
	return better || !sameReplicas(witnesses, view.Witnesses)
}
