package replication

import (
	"slices"
	"time"
)

// A replica whose machine ends in a planned way says so, whatever its part in the view is, and goes on as a witness and a
// member until the primary releases it: by then its copy and its vote are where they have to be, as far as waiting helps.

// newcomerRemembered is how long a leaver hopes for a newcomer that it does not hear of any more.
const newcomerRemembered = 15 * time.Second

// releaseHolds is how long the primary's word that a replica may end holds: it is asked again, since much may happen until
// the process has brought its requests to an end.
const releaseHolds = 4 * resendEvery

// Resign says that this replica is about to end. Where it is the primary, another member takes its place; it goes on as the
// primary until the other has.
func (m *Node) Resign(now time.Duration) *Output {
	out := m.step(now)
	m.leaving = true
	m.sayLeaving()
	return out
}

// MayStop tells whether a replica that has resigned may end: nobody needs its copy or its vote, or there is nobody who
// could take them over.
func (m *Node) MayStop() bool {
	return m.leaving && m.released > 0 && m.now-m.released < releaseHolds
}

// sayLeaving tells the others of the view, again and again. The primary answers itself.
func (m *Node) sayLeaving() {
	if !m.leaving || m.now < m.nextResign {
		return
	}
	m.nextResign = m.now + resendEvery
	if m.mayRelease(m.durable.Self) {
		m.released = m.now
		return
	}
	for _, replica := range union(m.durable.View.Witnesses, m.durable.View.Members) {
		m.send(replica, Resign{Number: m.durable.View.Number})
	}
}

func (m *Node) onResign(from Replica, message Resign) {
	if message.Number < m.durable.View.Number {
		m.send(from, ViewNotice{View: m.durable.View})
	}
	if message.Number > m.durable.View.Number {
		return
	}
	m.noteLeaving(from, true)
	if m.mayRelease(from) {
		m.send(from, ResignAck{Number: m.durable.View.Number})
		return
	}
	if message.Number == m.durable.View.Number && from == m.durable.View.Primary {
		m.succeed()
	}
}

// succeed has nobody wait for a primary that leaves, and the first member that stays take its place.
func (m *Node) succeed() {
	if m.status != Following || !m.durable.Promised.isZero() {
		return // a view change is under way
	}
	m.primarySeen = min(m.primarySeen, m.now-m.stickiness())
	if m.successor() == m.durable.Self {
		m.startElection()
	}
}

func (m *Node) onReleased(message ResignAck) {
	if m.leaving && message.Number >= m.durable.View.Number {
		m.released = m.now
	}
}

// mayRelease tells a primary whether a replica that leaves may end: it has no part in the view, or the next view would give
// it the same part, because nobody can take it over.
func (m *Node) mayRelease(r Replica) bool {
	if m.status != Leading || m.lead.pending {
		return false
	}
	witnesses := m.nextWitnesses(false)
	members := m.nextMembers(witnesses, func(r Replica) bool {
		return m.live(r, m.options.Timing.MemberTimeout) && (m.durable.View.HasMember(r) || !m.penalized(r))
	})
	votes := m.durable.View.HasWitness(r) && (!slices.Contains(witnesses, r) || m.remembersNewcomer())
	holds := m.durable.View.HasMember(r) && (m.enough(members) || m.knowsOthers())
	return !votes && !holds
}

// remembersNewcomer tells whether a replica of another machine was heard of lately that may come back, or be reached again,
// and be taken in.
func (m *Node) remembersNewcomer() bool {
	for _, known := range []map[Replica]time.Duration{m.heard, m.replaced} {
		for r, at := range known {
			if m.now-at < newcomerRemembered && m.couldCome(r) {
				return true
			}
		}
	}
	return false
}

// couldCome tells whether a replica is of a machine that counts and has no part in the view.
func (m *Node) couldCome(r Replica) bool {
	isSameMachine := func(w Replica) bool { return w.Address == r.Address }
	place := m.options.LocalityOf(r.Address)
	return !slices.ContainsFunc(m.durable.View.Witnesses, isSameMachine) && (!place.Known || place.CountsForQuorum)
}

// knowsOthers tells whether there is a replica that may come back, or may be reached again, and take a copy.
func (m *Node) knowsOthers() bool {
	others := slices.DeleteFunc(m.staying(m.durable.View.Witnesses), func(r Replica) bool { return r == m.durable.Self })
	return len(others) > 0 || m.remembersNewcomer()
}

// noteLeaving notes what a replica says of its own end.
func (m *Node) noteLeaving(r Replica, leaving bool) {
	if leaving {
		m.leavers[r] = true
	} else {
		delete(m.leavers, r)
	}
}

func (m *Node) isLeaving(r Replica) bool {
	if r == m.durable.Self {
		return m.leaving
	}
	return m.leavers[r]
}

// staying are the replicas of a list that have not said that they end. Only their copies count.
func (m *Node) staying(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), m.isLeaving)
}

// successor is the first member beside the primary that stays.
func (m *Node) successor() Replica {
	for _, member := range m.staying(m.durable.View.Members) {
		if member != m.durable.View.Primary {
			return member
		}
	}
	return Replica{}
}
