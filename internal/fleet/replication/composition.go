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
func (n *Node) witnessTarget() int {
	t := n.options.Tolerance
	return 2*max(t.Machines, t.Zones, t.Regions) + 1
}

// maxMembers bounds the copies: each of them has to store a change before it is acknowledged.
func (n *Node) maxMembers() int { return n.witnessTarget() }

// live tells whether a replica was heard of within a time.
func (n *Node) isLive(r Replica, within time.Duration) bool {
	if r == n.hardState.Self {
		return true
	}
	at, known := n.lastContact[r]
	return known && n.now-at < within
}

// hasJoinRequest tells whether a replica wants to be taken in.
func (n *Node) hasJoinRequest(r Replica) bool {
	at, known := n.joinRequests[r]
	return known && n.now-at < n.options.Timing.JoinInterval*4
}

// applicants are the replicas that want to be taken in and are no witnesses yet, in a fixed order.
func (n *Node) joiningReplicas() []Replica {
	var all []Replica
	for r := range n.joinRequests {
		if n.hasJoinRequest(r) && !n.hardState.View.HasWitness(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, compareReplicas)
	return all
}

// admissible are the applicants that may become witnesses now. A primary that changes the composition of its own view
// takes only those in that hold its state already, so that the change takes no longer than a few messages.
func (n *Node) admissibleJoiners(prepared bool) []Replica {
	return slices.DeleteFunc(n.joiningReplicas(), func(r Replica) bool {
		return n.isPenalized(r) || n.isExcluded(r) || prepared && !n.isCaughtUp(r)
	})
}

// fitness says how well a witness does its part.
type fitness uint8

// The fitness of a witness, from the best to the worst.
const (
	healthy      fitness = iota
	nonVoting         // it does not count for the quorum
	resigning           // it has said that it ends
	unresponsive           // it was not heard of for some time
)

func (n *Node) fitnessOf(r Replica) fitness {
	place := n.options.LocalityOf(r.Address)
	switch {
	case !n.isLive(r, n.options.Timing.WitnessTimeout) && !n.hasPromised(r):
		return unresponsive
	case n.isResigning(r):
		return resigning
	case place.Known && !place.CountsForQuorum:
		return nonVoting
	}
	return healthy
}

// nextWitnesses has applicants take the places of lost replicas of the same machine, then of unfit witnesses, then free
// places. prepared: only applicants that hold the state already.
func (n *Node) nextWitnesses(prepared bool) []Replica {
	next := slices.Clone(n.hardState.View.Witnesses)
	newcomers := slices.DeleteFunc(n.admissibleJoiners(prepared), func(r Replica) bool { return n.replaceFormerIncarnation(next, r) })
	for len(newcomers) > 0 {
		beside := next
		if worst := n.leastFit(next); worst >= 0 && n.fitnessOf(next[worst]) > healthy {
			beside = slices.Delete(slices.Clone(next), worst, worst+1)
		} else if len(next) >= n.witnessTarget() {
			break
		}
		with := append(slices.Clone(beside), n.takeJoiner(&newcomers, beside))
		if n.survivesLocalityLoss(with) || !n.survivesLocalityLoss(next) {
			next = with
		}
	}
	return n.trim(next)
}

// survivesLocalityLoss tells whether a majority of witnesses is left when a zone or a region is lost, as far as one may be.
func (n *Node) survivesLocalityLoss(witnesses []Replica) bool {
	t := n.options.Tolerance
	if t.Zones == 0 && t.Regions == 0 {
		return true
	}
	return !slices.ContainsFunc(witnesses, func(r Replica) bool { return 2*n.localityCount(r, witnesses) >= len(witnesses) })
}

// replaceFormerIncarnation puts an applicant in the place of a witness of the same machine, whose disk was lost.
func (n *Node) replaceFormerIncarnation(witnesses []Replica, applicant Replica) bool {
	at := slices.IndexFunc(witnesses, func(r Replica) bool { return r.Address == applicant.Address })
	if at >= 0 {
		witnesses[at] = applicant
	}
	return at >= 0
}

// takeJoiner removes the newcomer from a list that is to stand beside others: where zones or regions may be lost, one of
// the zone that has the fewest of them.
func (n *Node) takeJoiner(newcomers *[]Replica, beside []Replica) Replica {
	best := 0
	if t := n.options.Tolerance; t.Zones > 0 || t.Regions > 0 {
		for i, r := range *newcomers {
			if n.localityCount(r, beside) < n.localityCount((*newcomers)[best], beside) {
				best = i
			}
		}
	}
	taken := (*newcomers)[best]
	*newcomers = slices.Delete(*newcomers, best, best+1)
	return taken
}

// crowd is how many of a list stand in a replica's zone or region.
func (n *Node) localityCount(r Replica, among []Replica) int {
	place, count := n.options.LocalityOf(r.Address), 0
	for _, other := range among {
		at := n.options.LocalityOf(other.Address)
		same := at.Zone == place.Zone
		if n.options.Tolerance.Regions > 0 {
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
func (n *Node) leastFit(witnesses []Replica) int {
	worst := -1
	for i, r := range witnesses {
		if worst < 0 || n.lessFit(r, witnesses[worst], witnesses) {
			worst = i
		}
	}
	return worst
}

func (n *Node) lessFit(r, other Replica, among []Replica) bool {
	if a, b := n.fitnessOf(r), n.fitnessOf(other); a != b {
		return a > b
	}
	if a, b := r == n.hardState.Self, other == n.hardState.Self; a != b {
		return b
	}
	if t := n.options.Tolerance; t.Zones > 0 || t.Regions > 0 {
		if a, b := n.localityCount(r, among), n.localityCount(other, among); a != b {
			return a > b
		}
	}
	if a, b := n.hardState.View.HasMember(r), n.hardState.View.HasMember(other); a != b {
		return b
	}
	return compareReplicas(r, other) > 0
}

// trim takes witnesses out beyond the target, and one more where an even number would be left, as long as the others may
// hold copies enough.
func (n *Node) trim(witnesses []Replica) []Replica {
	if slices.ContainsFunc(witnesses, n.isLocalityUnknown) {
		return witnesses // one that counts could go, and one that doesn't could stay
	}
	for len(witnesses) > 1 && (len(witnesses) > n.witnessTarget() || len(witnesses)%2 == 0) {
		at := n.leastFit(witnesses)
		rest := slices.Delete(slices.Clone(witnesses), at, at+1)
		if !n.survivesLoss(rest) || !n.keepsVotingTolerance(witnesses, rest) {
			return witnesses
		}
		witnesses = rest
	}
	return witnesses
}

// isLocalityUnknown tells whether nothing is known yet of where a live replica stands.
func (n *Node) isLocalityUnknown(r Replica) bool {
	return !n.options.LocalityOf(r.Address).Known && n.fitnessOf(r) != unresponsive
}

// keepsVotingTolerance tells whether the rest still has copies enough that count for the quorum, where the whole has.
func (n *Node) keepsVotingTolerance(whole, rest []Replica) bool {
	return n.survivesLoss(n.voting(rest)) || !n.survivesLoss(n.voting(whole))
}

// counting are the replicas that count for the quorum, or of which it is not known.
func (n *Node) voting(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool {
		place := n.options.LocalityOf(r.Address)
		return place.Known && !place.CountsForQuorum
	})
}

// hasPromised tells whether a replica has answered the candidate in this attempt.
func (n *Node) hasPromised(r Replica) bool {
	if n.election == nil {
		return false
	}
	_, promised := n.election.promises[r]
	return promised
}

// isExcluded tells whether the present attempt goes on without a replica.
func (n *Node) isExcluded(r Replica) bool {
	return n.election != nil && n.election.excluded[r] && !n.election.installed[r]
}

// answers tells a candidate whether a replica can take the state: it has promised, or asks to be taken in.
func (n *Node) canInstall(r Replica) bool {
	return (n.hasPromised(r) || n.hasJoinRequest(r)) && !n.isExcluded(r)
}

// isInSync tells a primary whether a replica can take the state: it is heard of, and holds the state where it is no member.
func (n *Node) isInSync(r Replica) bool {
	return n.isLive(r, n.options.Timing.MemberTimeout) && (n.hardState.View.HasMember(r) || n.isCaughtUp(r))
}

// nextMembers chooses who holds the state: this replica, then present members, then others, all of them able, of as many
// zones as can be had. Replicas that were slow are taken where the others don't suffice, and those that leave are not.
func (n *Node) nextMembers(witnesses []Replica, isAble func(Replica) bool) []Replica {
	var able, slow []Replica
	for _, r := range n.notResigning(witnesses) {
		switch {
		case r != n.hardState.Self && !isAble(r):
		case r != n.hardState.Self && n.isPenalized(r):
			slow = append(slow, r)
		default:
			able = append(able, r)
		}
	}
	if !n.survivesLoss(able) {
		able = append(able, slow...)
	}
	if counting := n.voting(able); n.survivesLoss(counting) {
		able = counting // the others have no disk
	}
	slices.SortStableFunc(able, func(a, b Replica) int {
		return cmp.Or(-compareBool(a == n.hardState.Self, b == n.hardState.Self),
			-compareBool(n.hardState.View.HasMember(a), n.hardState.View.HasMember(b)))
	})
	if n.options.Tolerance.Zones > 0 || n.options.Tolerance.Regions > 0 {
		able = n.spreadOverZones(able)
	}
	return slices.Clone(able[:min(len(able), n.maxMembers())])
}

// spread puts one replica of each zone first.
func (n *Node) spreadOverZones(replicas []Replica) []Replica {
	var first, rest []Replica
	zones := map[string]bool{}
	for _, r := range replicas {
		zone := n.options.LocalityOf(r.Address).Zone
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
	backoff  time.Duration
}

func (n *Node) isPenalized(r Replica) bool {
	p := n.penalties[r]
	return p != nil && n.now < p.until
}

// penalize keeps a slow replica out, twice as long as the time before.
func (n *Node) penalize(r Replica) {
	if n.isPenalized(r) {
		return
	}
	p := n.penalties[r]
	if p == nil {
		p = &penalty{backoff: n.options.Timing.SlowMemberBackoff / 2}
		n.penalties[r] = p
	}
	p.backoff = min(2*p.backoff, 8*n.options.Timing.SlowMemberBackoff)
	p.until = n.now + p.backoff
}
