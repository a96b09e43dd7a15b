package replication

import "time"

// What a replica does as a witness and as a member of another replica's view.

// stickiness is how long after a sign of life of the primary a witness promises to nobody else.
func (m *Node) stickiness() time.Duration { return m.options.Timing.ElectionTimeout * 9 / 10 }

func (m *Node) onHeartbeat(from Replica, message Heartbeat) {
	if !m.learn(message.View) {
		m.send(from, ViewNotice{View: m.durable.View})
		return
	}
	if from != m.durable.View.Primary || from == m.durable.Self {
		return
	}
	age := time.Duration(message.ConfirmedAgeMs) * time.Millisecond
	if age < m.options.Timing.ElectionTimeout {
		m.primarySeen = m.now
	}
	m.send(from, HeartbeatAck{Number: message.View.Number, Round: message.Round, Current: m.durable.Promised.isZero(),
		Leaving: m.leaving})
}

func (m *Node) onPrepare(from Replica, message Prepare) {
	if !m.learn(message.View) {
		m.send(from, ViewNotice{View: m.durable.View})
		return
	}
	if !m.durable.View.HasWitness(m.durable.Self) {
		return
	}
	primary := m.durable.View.Primary
	if from != primary && m.now-m.primarySeen < m.stickiness() && m.durable.Promised.isZero() && primary != (Replica{}) {
		return // the primary lives: the sender's own links are at fault
	}
	if message.Ballot.less(m.durable.Promised) {
		m.send(from, Reject{Number: m.durable.View.Number + 1, Promised: m.durable.Promised})
		return
	}
	m.promise(message.Ballot)
	m.primarySeen = m.now // the candidate is at work, which may wait for the state to come
	m.send(from, m.ownPromise())
}

// promise binds this replica to a ballot for the next view; as a member it takes no more changes in this one.
func (m *Node) promise(ballot Ballot) {
	m.highest = max(m.highest, ballot.Round)
	if m.durable.Promised == ballot {
		return
	}
	m.durable.Promised = ballot
	if ballot.Proposer != m.durable.Self {
		m.election, m.lead = nil, nil
		m.status = Following
		m.primarySeen = m.now
	}
	m.persist()
}

func (m *Node) ownPromise() Promise {
	return Promise{
		Number: m.durable.View.Number + 1, Ballot: m.durable.Promised, Accepted: m.durable.Accepted,
		Proposal: m.durable.Proposal, Position: m.durable.Position, Source: m.durable.Source, Leaving: m.leaving,
	}
}

func (m *Node) onFetch(from Replica, message FetchSnapshot) {
	if message.Number != m.durable.View.Number+1 || message.Ballot != m.durable.Promised {
		return
	}
	m.sendState(from, FetchSnapshotReply{Number: message.Number, Ballot: message.Ballot, Position: m.durable.Position})
}

func (m *Node) onInstall(from Replica, message InstallSnapshot) {
	if message.Number <= m.durable.View.Number {
		m.send(from, ViewNotice{View: m.durable.View})
		return
	}
	bound := m.durable.Source
	if m.durable.Position.View < message.Number {
		bound = Ballot{}
	}
	if message.Number == m.durable.View.Number+1 && bound.less(m.durable.Promised) {
		bound = m.durable.Promised
	}
	if message.Ballot.less(bound) {
		m.send(from, Reject{Number: message.Number, Promised: bound})
		return
	}
	held := m.durable.Position == message.Position && m.durable.Source == message.Ballot
	same := m.durable.Position == message.From && m.durable.Source == message.FromSource
	if !held && !same && message.Snapshot == nil {
		m.sendMissingTo(from, message.Number, message.Ballot)
		return
	}
	if !held {
		m.hold(message.Position, message.Ballot, message.Snapshot)
	}
	m.send(from, InstallSnapshotAck{Number: message.Number, Ballot: message.Ballot})
}

// sendMissingTo says which state is held, to one that offers another one.
func (m *Node) sendMissingTo(to Replica, number uint64, ballot Ballot) {
	m.send(to, SnapshotNeeded{Number: number, Ballot: ballot, Position: m.durable.Position, Source: m.durable.Source})
}

// hold takes over a state; nil is the one that is held already, at another position.
func (m *Node) hold(position Position, source Ballot, snapshot []byte) {
	m.durable.Position, m.durable.Source = position, source
	write := m.persist()
	if snapshot != nil {
		write.Snapshot = snapshot
	}
}

func (m *Node) onAccept(from Replica, message Accept) {
	number := message.Proposal.Number
	if number <= m.durable.View.Number {
		m.send(from, ViewNotice{View: m.durable.View})
		return
	}
	if number != m.durable.View.Number+1 || !m.durable.View.HasWitness(m.durable.Self) {
		return
	}
	if message.Ballot.less(m.durable.Promised) {
		m.send(from, Reject{Number: number, Promised: m.durable.Promised})
		return
	}
	m.promise(message.Ballot)
	m.accept(message.Ballot, message.Proposal)
	m.send(from, AcceptAck{Number: number, Ballot: message.Ballot})
}

func (m *Node) accept(ballot Ballot, proposal View) {
	m.durable.Accepted, m.durable.Proposal = ballot, proposal
	m.persist()
}

// onStore takes a change over, as a member or as a learner that is to become one.
func (m *Node) onStore(from Replica, message Append) {
	if !m.learn(message.View) {
		m.send(from, ViewNotice{View: m.durable.View})
		return
	}
	if from != m.durable.View.Primary || from == m.durable.Self {
		return
	}
	if !m.durable.Promised.isZero() {
		m.send(from, Reject{Number: m.durable.View.Number + 1, Promised: m.durable.Promised})
		return
	}
	m.primarySeen = m.now
	current := m.durable.Source == message.Source && m.durable.Position.View == message.Position.View
	switch {
	case current && m.durable.Position.Sequence >= message.Position.Sequence:
	case current && message.Entry != nil && m.durable.Position.Sequence+1 == message.Position.Sequence:
		m.durable.Position = message.Position
		m.persist().Entry = message.Entry
	case message.Snapshot != nil:
		m.hold(message.Position, message.Source, message.Snapshot)
	default:
		m.sendMissingTo(from, m.durable.View.Number, Ballot{})
		return
	}
	m.send(from, AppendAck{Number: m.durable.View.Number, Position: m.durable.Position})
}
