package replication

import (
	"cmp"
	"slices"
	"time"
)

// Who is in the next view.
//
// The witnesses are an odd number, twice what may be lost and one more: an even set outlives no more losses than the odd
// one below it, and one that grows by a newcomer before the replica that it is to replace has gone outlives fewer. A
// newcomer therefore waits until it can take the place of a witness that is leaving, silent or lost, and both change in
// one view.

// witnessTarget is how many witnesses outlive what may be lost at once.
func (m *Node) witnessTarget() int {
	t := m.options.Tolerance
	return 2*max(t.Machines, t.Zones, t.Regions) + 1
}

// membersMost bounds the copies: each of them has to store a change before it is acknowledged.
func (m *Node) membersMost() int { return m.witnessTarget() }

// live tells whether a replica was heard of within a time.
func (m *Node) live(r Replica, within time.Duration) bool {
	if r == m.durable.Self {
		return true
	}
	at, known := m.heard[r]
	return known && m.now-at < within
}

// asksToJoin tells whether a replica wants to be taken in.
func (m *Node) asksToJoin(r Replica) bool {
	at, known := m.joining[r]
	return known && m.now-at < m.options.Timing.JoinInterval*4
}

// applicants are the replicas that want to be taken in and are no witnesses yet, in a fixed order.
func (m *Node) applicants() []Replica {
	var all []Replica
	for r := range m.joining {
		if m.asksToJoin(r) && !m.durable.View.HasWitness(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, compareReplicas)
	return all
}

// admissible are the applicants that may become witnesses now. A primary that changes the composition of its own view
// takes only those in that hold its state already, so that the change takes no longer than a few messages.
func (m *Node) admissible(prepared bool) []Replica {
	return slices.DeleteFunc(m.applicants(), func(r Replica) bool {
		return m.penalized(r) || m.isSkipped(r) || prepared && !m.isPrepared(r)
	})
}

// fitness says how well a witness does its part.
type fitness uint8

// The fitness of a witness, from the best to the worst.
const (
	fit      fitness = iota
	outsider         // it does not count for the quorum
	leaver           // it has said that it ends
	silent           // it was not heard of for some time
)

func (m *Node) fitnessOf(r Replica) fitness {
	place := m.options.LocalityOf(r.Address)
	switch {
	case !m.live(r, m.options.Timing.WitnessTimeout) && !m.promisedNow(r):
		return silent
	case m.isLeaving(r):
		return leaver
	case place.Known && !place.CountsForQuorum:
		return outsider
	}
	return fit
}

// nextWitnesses has applicants take the places of lost replicas of the same machine, then of unfit witnesses, then free
// places. prepared: only applicants that hold the state already.
func (m *Node) nextWitnesses(prepared bool) []Replica {
	next := slices.Clone(m.durable.View.Witnesses)
	newcomers := slices.DeleteFunc(m.admissible(prepared), func(r Replica) bool { return m.replaceFormer(next, r) })
	for len(newcomers) > 0 {
		beside := next
		if worst := m.leastFit(next); worst >= 0 && m.fitnessOf(next[worst]) > fit {
			beside = slices.Delete(slices.Clone(next), worst, worst+1)
		} else if len(next) >= m.witnessTarget() {
			break
		}
		with := append(slices.Clone(beside), m.takeNewcomer(&newcomers, beside))
		if m.outlivesPlaces(with) || !m.outlivesPlaces(next) {
			next = with
		}
	}
	return m.trim(next)
}

// outlivesPlaces tells whether a majority of witnesses is left when a zone or a region is lost, as far as one may be.
func (m *Node) outlivesPlaces(witnesses []Replica) bool {
	t := m.options.Tolerance
	if t.Zones == 0 && t.Regions == 0 {
		return true
	}
	return !slices.ContainsFunc(witnesses, func(r Replica) bool { return 2*m.crowd(r, witnesses) >= len(witnesses) })
}

// replaceFormer puts an applicant in the place of a witness of the same machine, whose disk was lost.
func (m *Node) replaceFormer(witnesses []Replica, applicant Replica) bool {
	at := slices.IndexFunc(witnesses, func(r Replica) bool { return r.Address == applicant.Address })
	if at >= 0 {
		witnesses[at] = applicant
	}
	return at >= 0
}

// takeNewcomer removes the newcomer from a list that is to stand beside others: where zones or regions may be lost, one of
// the zone that has the fewest of them.
func (m *Node) takeNewcomer(newcomers *[]Replica, beside []Replica) Replica {
	best := 0
	if t := m.options.Tolerance; t.Zones > 0 || t.Regions > 0 {
		for i, r := range *newcomers {
			if m.crowd(r, beside) < m.crowd((*newcomers)[best], beside) {
				best = i
			}
		}
	}
	taken := (*newcomers)[best]
	*newcomers = slices.Delete(*newcomers, best, best+1)
	return taken
}

// crowd is how many of a list stand in a replica's zone or region.
func (m *Node) crowd(r Replica, among []Replica) int {
	place, count := m.options.LocalityOf(r.Address), 0
	for _, other := range among {
		at := m.options.LocalityOf(other.Address)
		same := at.Zone == place.Zone
		if m.options.Tolerance.Regions > 0 {
			same = at.Region == place.Region
		}
		if same {
			count++
		}
	}
	return count
}

// leastFit is the index of the witness that is to go first; -1: there is none. Of equals, one that is no member and stands
// in the most crowded zone goes first, and never this replica.
func (m *Node) leastFit(witnesses []Replica) int {
	worst := -1
	for i, r := range witnesses {
		if worst < 0 || m.goesBefore(r, witnesses[worst], witnesses) {
			worst = i
		}
	}
	return worst
}

func (m *Node) goesBefore(r, other Replica, among []Replica) bool {
	if a, b := m.fitnessOf(r), m.fitnessOf(other); a != b {
		return a > b
	}
	if a, b := r == m.durable.Self, other == m.durable.Self; a != b {
		return b
	}
	if t := m.options.Tolerance; t.Zones > 0 || t.Regions > 0 {
		if a, b := m.crowd(r, among), m.crowd(other, among); a != b {
			return a > b
		}
	}
	if a, b := m.durable.View.HasMember(r), m.durable.View.HasMember(other); a != b {
		return b
	}
	return compareReplicas(r, other) > 0
}

// trim takes witnesses out beyond the target, and one more where an even number would be left, as long as the others may
// hold copies enough.
func (m *Node) trim(witnesses []Replica) []Replica {
	if slices.ContainsFunc(witnesses, m.isUnplaced) {
		return witnesses // one that counts could go, and one that doesn't could stay
	}
	for len(witnesses) > 1 && (len(witnesses) > m.witnessTarget() || len(witnesses)%2 == 0) {
		at := m.leastFit(witnesses)
		rest := slices.Delete(slices.Clone(witnesses), at, at+1)
		if !m.enough(rest) || !m.countsEnough(witnesses, rest) {
			return witnesses
		}
		witnesses = rest
	}
	return witnesses
}

// isUnplaced tells whether nothing is known yet of where a live replica stands.
func (m *Node) isUnplaced(r Replica) bool {
	return !m.options.LocalityOf(r.Address).Known && m.fitnessOf(r) != silent
}

// countsEnough tells whether the rest still has copies enough that count for the quorum, where the whole has.
func (m *Node) countsEnough(whole, rest []Replica) bool {
	return m.enough(m.counting(rest)) || !m.enough(m.counting(whole))
}

// counting are the replicas that count for the quorum, or of which it is not known.
func (m *Node) counting(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool {
		place := m.options.LocalityOf(r.Address)
		return place.Known && !place.CountsForQuorum
	})
}

// promisedNow tells whether a replica has answered the candidate in this attempt.
func (m *Node) promisedNow(r Replica) bool {
	if m.election == nil {
		return false
	}
	_, promised := m.election.promises[r]
	return promised
}

// isSkipped tells whether the present attempt goes on without a replica.
func (m *Node) isSkipped(r Replica) bool {
	return m.election != nil && m.election.skipped[r] && !m.election.installed[r]
}

// answers tells a candidate whether a replica can take the state: it has promised, or asks to be taken in.
func (m *Node) answers(r Replica) bool {
	return (m.promisedNow(r) || m.asksToJoin(r)) && !m.isSkipped(r)
}

// keepsUp tells a primary whether a replica can take the state: it is heard of, and holds the state where it is no member.
func (m *Node) keepsUp(r Replica) bool {
	return m.live(r, m.options.Timing.MemberTimeout) && (m.durable.View.HasMember(r) || m.isPrepared(r))
}

// nextMembers chooses who holds the state: this replica, then present members, then others, all of them able, of as many
// zones as can be had. Replicas that were slow are taken where the others don't suffice, and those that leave are not.
func (m *Node) nextMembers(witnesses []Replica, isAble func(Replica) bool) []Replica {
	var able, slow []Replica
	for _, r := range m.staying(witnesses) {
		switch {
		case r != m.durable.Self && !isAble(r):
		case r != m.durable.Self && m.penalized(r):
			slow = append(slow, r)
		default:
			able = append(able, r)
		}
	}
	if !m.enough(able) {
		able = append(able, slow...)
	}
	if counting := m.counting(able); m.enough(counting) {
		able = counting // the others have no disk
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
func (m *Node) spread(replicas []Replica) []Replica {
	var first, rest []Replica
	zones := map[string]bool{}
	for _, r := range replicas {
		zone := m.options.LocalityOf(r.Address).Zone
		if zones[zone] {
			rest = append(rest, r)
		} else {
			first = append(first, r)
		}
		zones[zone] = true
	}
	return append(first, rest...)
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

// sameReplicas tells whether two lists hold the same replicas, in whatever order.
func sameReplicas(a, b []Replica) bool { return slices.Equal(union(a, nil), union(b, nil)) }

// penalty keeps a replica out of the members, and out of the witnesses that are taken in, for a while.
type penalty struct {
	until time.Duration
	span  time.Duration
}

func (m *Node) penalized(r Replica) bool {
	p := m.penalties[r]
	return p != nil && m.now < p.until
}

// penalize keeps a slow replica out, twice as long as the time before.
func (m *Node) penalize(r Replica) {
	if m.penalized(r) {
		return
	}
	p := m.penalties[r]
	if p == nil {
		p = &penalty{span: m.options.Timing.SlowMemberBackoff / 2}
		m.penalties[r] = p
	}
	p.span = min(2*p.span, 8*m.options.Timing.SlowMemberBackoff)
	p.until = m.now + p.span
}
