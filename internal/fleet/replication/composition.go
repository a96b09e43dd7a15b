package replication

import (
	"cmp"
	"slices"
)

// composition chooses the witnesses and the members of the next view. It reads the current view and the conditions of
// the replicas, and has no side effects.
//
// The target is an odd number of witnesses: twice the tolerated loss plus one. An even set survives no more losses than
// the odd set with one witness less, and a set that adds a joiner before the replica that it replaces has left survives
// fewer. A joiner is therefore added only when it can replace a witness that is resigning, unresponsive or lost, in the
// same view change, or while there are fewer witnesses than the target.
type composition struct {
	topology
	self       Replica
	view       *View // the current one
	conditions conditions
}

// conditions provides the current conditions of the replicas to a composition.
type conditions interface {
	// joiningReplicas returns the replicas that request to join and are not witnesses, sorted.
	joiningReplicas() []Replica
	// isResponsive reports whether a replica was in contact recently enough to remain a witness.
	isResponsive(Replica) bool
	// isResigning reports whether a replica has announced that it shuts down.
	isResigning(Replica) bool
	// isPenalized reports whether a replica was slow and the penalty for that has not expired.
	isPenalized(Replica) bool
	// isExcluded reports whether the current election continues without a replica.
	isExcluded(Replica) bool
	// isCaughtUp reports whether a replica that is not a member has stored the current state.
	isCaughtUp(Replica) bool
}

// admissibleJoiners returns the joining replicas that may become witnesses now. A primary that changes the composition
// of its own view adds only replicas that are caught up, so that the view change needs no snapshot transfer.
func (c composition) admissibleJoiners(onlyCaughtUp bool) []Replica {
	return slices.DeleteFunc(c.conditions.joiningReplicas(), func(r Replica) bool {
		return c.conditions.isPenalized(r) || c.conditions.isExcluded(r) || onlyCaughtUp && !c.conditions.isCaughtUp(r)
	})
}

// fitness ranks witnesses, from the best to the worst.
type fitness uint8

// The grades of fitness.
const (
	healthy      fitness = iota
	nonVoting            // does not count for the quorum
	resigning            // has announced that it shuts down
	unresponsive         // no contact for WitnessTimeout
)

func (c composition) fitnessOf(r Replica) fitness {
	switch {
	case !c.conditions.isResponsive(r):
		return unresponsive
	case c.conditions.isResigning(r):
		return resigning
	case c.isNonVoting(r):
		return nonVoting
	}
	return healthy
}

// nextWitnesses returns the witnesses of the next view. Joiners first replace former incarnations of their own machine,
// then witnesses that are not healthy, and then fill the set up to the target.
func (c composition) nextWitnesses(onlyCaughtUp bool) []Replica {
	next := slices.Clone(c.view.Witnesses)
	joiners := slices.DeleteFunc(c.admissibleJoiners(onlyCaughtUp), func(r Replica) bool { return replaceFormerIncarnation(next, r) })
	for len(joiners) > 0 {
		others := next
		if worst := c.leastFit(next); worst >= 0 && c.fitnessOf(next[worst]) > healthy {
			others = slices.Delete(slices.Clone(next), worst, worst+1)
		} else if len(next) >= c.witnessTarget() {
			break
		}
		joiner := c.preferredJoiner(joiners, others)
		changed := append(slices.Clone(others), joiners[joiner])
		joiners = slices.Delete(joiners, joiner, joiner+1)
		if c.survivesLocalityLoss(changed) || !c.survivesLocalityLoss(next) {
			next = changed
		}
	}
	return c.trim(next)
}

// replaceFormerIncarnation replaces, in place, a witness at the joiner's address by the joiner: the machine's disk was
// lost. It reports whether there was such a witness.
func replaceFormerIncarnation(witnesses []Replica, joiner Replica) bool {
	at := slices.IndexFunc(witnesses, func(r Replica) bool { return r.Address == joiner.Address })
	if at >= 0 {
		witnesses[at] = joiner
	}
	return at >= 0
}

// preferredJoiner returns the index of the joiner to be added to others: the first joiner, or, if the loss of a zone or
// a region is tolerated, the first joiner from the zone or region with the fewest of the others.
func (c composition) preferredJoiner(joiners, others []Replica) int {
	best := 0
	if c.toleratesLocalityLoss() {
		for i, r := range joiners {
			if c.localityCount(r, others) < c.localityCount(joiners[best], others) {
				best = i
			}
		}
	}
	return best
}

// leastFit returns the index of the witness to be removed first, or -1 if the list is empty.
func (c composition) leastFit(witnesses []Replica) int {
	worst := -1
	for i, r := range witnesses {
		if worst < 0 || c.lessFit(r, witnesses[worst], witnesses) {
			worst = i
		}
	}
	return worst
}

// lessFit reports whether witness r is to be removed before other. Among witnesses of equal fitness, this replica is
// removed last. Of the rest, those in the zone or region with the most witnesses are removed first if the loss of one
// is tolerated, then those that are not members.
func (c composition) lessFit(r, other Replica, among []Replica) bool {
	if a, b := c.fitnessOf(r), c.fitnessOf(other); a != b {
		return a > b
	}
	if a, b := r == c.self, other == c.self; a != b {
		return b
	}
	if c.toleratesLocalityLoss() {
		if a, b := c.localityCount(r, among), c.localityCount(other, among); a != b {
			return a > b
		}
	}
	if a, b := c.view.HasMember(r), c.view.HasMember(other); a != b {
		return b
	}
	return CompareReplicas(r, other) > 0
}

// trim removes the least fit witnesses while there are more than the target or an even number of them. It stops where
// copies on the remaining witnesses would not survive the tolerated loss.
func (c composition) trim(witnesses []Replica) []Replica {
	if slices.ContainsFunc(witnesses, c.isLocalityUnknown) {
		return witnesses // else a voting witness might be removed and a non-voting one kept
	}
	for len(witnesses) > 1 && (len(witnesses) > c.witnessTarget() || len(witnesses)%2 == 0) {
		at := c.leastFit(witnesses)
		remaining := slices.Delete(slices.Clone(witnesses), at, at+1)
		if !c.survivesLoss(remaining) || !c.keepsVotingTolerance(witnesses, remaining) {
			return witnesses
		}
		witnesses = remaining
	}
	return witnesses
}

// isLocalityUnknown reports whether a replica is responsive and its locality is not known yet.
func (c composition) isLocalityUnknown(r Replica) bool {
	return !c.localityOf(r.Address).Known && c.fitnessOf(r) != unresponsive
}

// nextMembers returns the members of the next view: of the eligible witnesses, this replica first, then current
// members, then others, up to maxMembers. If the loss of a zone or a region is tolerated, one replica of each zone
// comes first. Penalized replicas are chosen only if the others would not survive the tolerated loss, and resigning
// ones never.
func (c composition) nextMembers(witnesses []Replica, isEligible func(Replica) bool) []Replica {
	eligible := c.eligibleReplicas(witnesses, isEligible)
	slices.SortStableFunc(eligible, func(a, b Replica) int {
		return cmp.Or(compareBool(b == c.self, a == c.self), compareBool(c.view.HasMember(b), c.view.HasMember(a)))
	})
	if c.toleratesLocalityLoss() {
		eligible = c.spreadOverZones(eligible)
	}
	return slices.Clone(eligible[:min(len(eligible), c.maxMembers())])
}

// eligibleReplicas returns the witnesses that may be members. Those that don't count for the quorum, which have no
// disk, are omitted if the others survive the tolerated loss.
func (c composition) eligibleReplicas(witnesses []Replica, isEligible func(Replica) bool) []Replica {
	var eligible, penalized []Replica
	for _, r := range c.notResigning(witnesses) {
		switch {
		case r != c.self && !isEligible(r):
		case r != c.self && c.conditions.isPenalized(r):
			penalized = append(penalized, r)
		default:
			eligible = append(eligible, r)
		}
	}
	if !c.survivesLoss(eligible) {
		eligible = append(eligible, penalized...)
	}
	if voting := c.voting(eligible); c.survivesLoss(voting) {
		return voting
	}
	return eligible
}

// notResigning returns the replicas of a list that have not announced a shutdown. Copies on resigning replicas do not
// count towards the tolerated loss.
func (c composition) notResigning(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), c.conditions.isResigning)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
