package replication

import (
	"cmp"
	"slices"
	"time"
)

// Who is in the next view.

// witnessesMost bounds the witnesses, so that a majority stays quick to ask.
const witnessesMost = 9

// live tells whether a replica was heard of within a time.
func (m *Machine) live(r Replica, within time.Duration) bool {
	if r == m.durable.Self {
		return true
	}
	at, known := m.heard[r]
	return known && m.now-at < within
}

// asksToJoin tells whether a replica wants to be taken in.
func (m *Machine) asksToJoin(r Replica) bool {
	at, known := m.joining[r]
	return known && m.now-at < m.options.Timing.Join*4
}

// applicants are the replicas that want to be taken in and are no witnesses yet, in a fixed order.
func (m *Machine) applicants() []Replica {
	var all []Replica
	for r := range m.joining {
		if m.asksToJoin(r) && !m.durable.View.HasWitness(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, compareReplicas)
	return all
}

// nextWitnesses takes applicants in: each for a lost replica of the same machine, else for a silent witness, else as one
// more. Beyond what has to outlive the losses, silent witnesses go.
func (m *Machine) nextWitnesses() []Replica {
	next := slices.Clone(m.durable.View.Witnesses)
	gone := func(r Replica) bool { return !m.live(r, m.options.Timing.WitnessGone) && !m.promisedNow(r) }
	for _, applicant := range m.applicants() {
		same := slices.IndexFunc(next, func(r Replica) bool { return r.Address == applicant.Address })
		if same < 0 {
			same = slices.IndexFunc(next, gone)
		}
		switch {
		case same >= 0:
			next[same] = applicant
		case len(next) < witnessesMost:
			next = append(next, applicant)
		}
	}
	next = m.withoutOutsiders(next)
	least := 2*m.options.Tolerance.Machines + 1
	for i := 0; i < len(next) && len(next) > least; {
		if gone(next[i]) {
			next = slices.Delete(next, i, i+1)
		} else {
			i++
		}
	}
	return next
}

// withoutOutsiders drops witnesses that do not count for the quorum, as soon as there are enough that do. At the first
// start the seeds are witnesses whatever they are; one without a disk would be lost with its process.
func (m *Machine) withoutOutsiders(replicas []Replica) []Replica {
	counting := slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool {
		place := m.options.PlaceOf(r.Address)
		return place.Known && !place.Counts
	})
	if !m.enough(counting) || len(counting) < 2*m.options.Tolerance.Machines+1 {
		return replicas
	}
	return counting
}

// promisedNow tells whether a replica has answered the candidate in this attempt.
func (m *Machine) promisedNow(r Replica) bool {
	if m.election == nil {
		return false
	}
	_, promised := m.election.promises[r]
	return promised
}

// nextMembers chooses who holds the state: this replica, then present members, then others, all of them live, of as many
// zones as can be had. Replicas that were slow are taken where the others don't suffice.
func (m *Machine) nextMembers(witnesses []Replica) []Replica {
	var able, slow []Replica
	for _, r := range witnesses {
		switch {
		case r != m.durable.Self && !m.promisedNow(r) && !m.asksToJoin(r):
		case r != m.durable.Self && m.penalized(r):
			slow = append(slow, r)
		default:
			able = append(able, r)
		}
	}
	if !m.enough(able) {
		able = append(able, slow...)
	}
	slices.SortStableFunc(able, func(a, b Replica) int {
		return cmp.Or(-compareBool(a == m.durable.Self, b == m.durable.Self),
			-compareBool(m.durable.View.HasMember(a), m.durable.View.HasMember(b)))
	})
	if m.options.Tolerance.Zones > 0 || m.options.Tolerance.Regions > 0 {
		able = m.spread(able)
	}
	return slices.Clone(able[:min(len(able), m.membersMost())])
}

// spread puts one replica of each zone first.
func (m *Machine) spread(replicas []Replica) []Replica {
	var first, rest []Replica
	zones := map[string]bool{}
	for _, r := range replicas {
		zone := m.options.PlaceOf(r.Address).Zone
		if zones[zone] {
			rest = append(rest, r)
		} else {
			first = append(first, r)
		}
		zones[zone] = true
	}
	return append(first, rest...)
}

// membersMost bounds the copies: each of them has to store a change before it is acknowledged.
func (m *Machine) membersMost() int {
	t := m.options.Tolerance
	return max(2*t.Machines+1, 2*t.Zones+1, 2*t.Regions+1)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (m *Machine) penalized(r Replica) bool {
	p := m.penalties[r]
	return p != nil && m.now < p.until
}

// penalize keeps a slow member out, twice as long as the time before.
func (m *Machine) penalize(r Replica) {
	if m.penalized(r) {
		return
	}
	p := m.penalties[r]
	if p == nil {
		p = &penalty{span: m.options.Timing.Penalty / 2}
		m.penalties[r] = p
	}
	p.span = min(2*p.span, 8*m.options.Timing.Penalty)
	p.until = m.now + p.span
}
