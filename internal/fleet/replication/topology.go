package replication

import "slices"

// Tolerance is the number of machines, of zones and of regions that may be lost at once.
type Tolerance struct{ Machines, Zones, Regions int }

// Locality holds a machine's failure domains, and whether the machine counts for the quorum. The other fields are valid
// only if Known is true.
type Locality struct {
	Zone, Region    string
	Known           bool
	CountsForQuorum bool
}

// topology evaluates sets of replicas by their localities and the tolerated loss.
type topology struct {
	tolerance  Tolerance
	localityOf func(address string) Locality
}

// survivesLoss reports whether at least one of the replicas remains when the tolerated number of machines, of zones or
// of regions is lost.
func (t topology) survivesLoss(replicas []Replica) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, r := range replicas {
		locality := t.localityOf(r.Address)
		zones[locality.Zone] = true
		regions[locality.Region] = true
	}
	return len(replicas) > t.tolerance.Machines && len(zones) > t.tolerance.Zones && len(regions) > t.tolerance.Regions
}

// toleratesLocalityLoss reports whether the loss of a zone or of a region is tolerated.
func (t topology) toleratesLocalityLoss() bool {
	return t.tolerance.Zones > 0 || t.tolerance.Regions > 0
}

// survivesLocalityLoss reports whether a majority of the witnesses remains when any one zone or region is lost. It is
// true if no such loss is tolerated.
func (t topology) survivesLocalityLoss(witnesses []Replica) bool {
	if !t.toleratesLocalityLoss() {
		return true
	}
	return !slices.ContainsFunc(witnesses, func(r Replica) bool { return 2*t.localityCount(r, witnesses) >= len(witnesses) })
}

// witnessTarget returns the smallest number of witnesses of which a majority remains after the tolerated loss.
func (t topology) witnessTarget() int {
	return 2*max(t.tolerance.Machines, t.tolerance.Zones, t.tolerance.Regions) + 1
}

// maxMembers returns the maximum number of members. It is bounded because each member must store a change before the
// change is acknowledged.
func (t topology) maxMembers() int { return t.witnessTarget() }

// localityCount returns how many replicas of a list are in r's zone, or in r's region if the loss of regions is
// tolerated.
func (t topology) localityCount(r Replica, among []Replica) int {
	locality, count := t.localityOf(r.Address), 0
	for _, other := range among {
		at := t.localityOf(other.Address)
		same := at.Zone == locality.Zone
		if t.tolerance.Regions > 0 {
			same = at.Region == locality.Region
		}
		if same {
			count++
		}
	}
	return count
}

// isNonVoting reports whether a replica is known not to count for the quorum.
func (t topology) isNonVoting(r Replica) bool {
	locality := t.localityOf(r.Address)
	return locality.Known && !locality.CountsForQuorum
}

// voting returns the replicas that count for the quorum, including those whose locality is unknown.
func (t topology) voting(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), t.isNonVoting)
}

// keepsVotingTolerance reports whether the voting replicas among remaining survive the tolerated loss. It is also true
// if those among all don't.
func (t topology) keepsVotingTolerance(all, remaining []Replica) bool {
	return t.survivesLoss(t.voting(remaining)) || !t.survivesLoss(t.voting(all))
}

// spreadOverZones moves the first replica of each zone to the front, and otherwise keeps the order.
func (t topology) spreadOverZones(replicas []Replica) []Replica {
	var first, rest []Replica
	zones := map[string]bool{}
	for _, r := range replicas {
		zone := t.localityOf(r.Address).Zone
		if zones[zone] {
			rest = append(rest, r)
		} else {
			first = append(first, r)
		}
		zones[zone] = true
	}
	return append(first, rest...)
}
