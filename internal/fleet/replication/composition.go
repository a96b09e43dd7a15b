package replication

import (
	"cmp"
	"slices"
)

// composition chooses the witnesses and the members of the next view. It is pure: it reads the present view and the
// conditions of the replicas, and changes nothing.
//
// The witnesses are an odd number, twice the tolerated loss and one more: an even set survives no more losses than the odd
// one below it, and one that grows by a joiner before the replica that it is to replace has gone survives fewer. A joiner
// therefore waits until it can replace a witness that is resigning, unresponsive or lost, and both change in one view.
type composition struct {
	topology
	self       Replica
	view       *View // the present one
	conditions conditions
}

// conditions is what a composition has to know of the replicas at this moment.
type conditions interface {
	// joiningReplicas returns those that request to join and are no witnesses yet, sorted.
	joiningReplicas() []Replica
	// isResponsive reports whether a witness need not be replaced for its silence.
	isResponsive(Replica) bool
	// isResigning reports whether a replica has announced that it shuts down.
	isResigning(Replica) bool
	// isPenalized reports whether a replica was slow lately.
	isPenalized(Replica) bool
	// isExcluded reports whether the present election goes on without a replica.
	isExcluded(Replica) bool
	// isCaughtUp reports whether a replica that is no member holds the present state.
	isCaughtUp(Replica) bool
}

// admissibleJoiners returns the joining replicas that may become witnesses now. A primary that changes the composition of
// its own view adds only those that are caught up, so that the change takes no longer than a few messages.
func (c composition) admissibleJoiners(onlyCaughtUp bool) []Replica {
	return slices.DeleteFunc(c.conditions.joiningReplicas(), func(r Replica) bool {
		return c.conditions.isPenalized(r) || c.conditions.isExcluded(r) || onlyCaughtUp && !c.conditions.isCaughtUp(r)
	})
}

// fitness grades witnesses, from the best to the worst.
type fitness uint8

// The grades of fitness.
const (
	healthy      fitness = iota
	nonVoting            // it does not count for the quorum
	resigning            // it has announced that it shuts down
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

// nextWitnesses has joiners replace former incarnations of the same machine first, then unfit witnesses, and then fills up
// to the target.
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

// replaceFormerIncarnation puts a joiner in the place of a witness of the same machine, whose disk was lost. It reports
// whether there was one.
func replaceFormerIncarnation(witnesses []Replica, joiner Replica) bool {
	at := slices.IndexFunc(witnesses, func(r Replica) bool { return r.Address == joiner.Address })
	if at >= 0 {
		witnesses[at] = joiner
	}
	return at >= 0
}

// preferredJoiner returns the index of the joiner to be added to others: the first one of the zone or region that has the
// fewest of them where the loss of one is tolerated, else the first.
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

// leastFit returns the index of the witness to be removed first; -1: there is none.
func (c composition) leastFit(witnesses []Replica) int {
	worst := -1
	for i, r := range witnesses {
		if worst < 0 || c.lessFit(r, witnesses[worst], witnesses) {
			worst = i
		}
	}
	return worst
}

// lessFit reports whether a witness is to be removed before another one. Of equally fit ones this replica goes last, and
// one that is no member and in the zone with the most witnesses goes first.
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

// trim removes witnesses beyond the target, and one more where an even number would be left, as long as copies on the
// remaining ones survive the tolerated loss.
func (c composition) trim(witnesses []Replica) []Replica {
	if slices.ContainsFunc(witnesses, c.isLocalityUnknown) {
		return witnesses // one that counts could go, and one that doesn't could stay
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

// isLocalityUnknown reports whether the locality of a responsive replica is not known yet.
func (c composition) isLocalityUnknown(r Replica) bool {
	return !c.localityOf(r.Address).Known && c.fitnessOf(r) != unresponsive
}

// nextMembers chooses who holds the state: this replica, then present members, then others, all of them eligible, of as many
// zones as can be had. Penalized replicas are chosen only where the others don't suffice, and resigning ones never.
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

// eligibleReplicas returns the replicas that may be members. Those that don't count for the quorum, which have no disk, are
// left out where the others suffice.
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

// notResigning returns the replicas of a list that have not announced that they shut down. Only their copies count.
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
