package replication

import "slices"

// Tolerance is how many machines, zones and regions may be lost at once.
type Tolerance struct{ Machines, Zones, Regions int }

// Locality is a machine's failure domains, and whether it counts for the quorum. The other fields mean nothing unless it
// is known.
type Locality struct {
	Zone, Region    string
	Known           bool
	CountsForQuorum bool
}

// topology judges sets of replicas by their localities and by what may be lost at once.
type topology struct {
	tolerance  Tolerance
	localityOf func(address string) Locality
}

// survivesLoss reports whether a copy is left on one of these replicas when the tolerated number of machines, of zones or
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

// toleratesLocalityLoss reports whether the loss of a zone or of a region is tolerated at all.
func (t topology) toleratesLocalityLoss() bool {
	return t.tolerance.Zones > 0 || t.tolerance.Regions > 0
}

// survivesLocalityLoss reports whether a majority of witnesses is left when a zone or a region is lost, if that is
// tolerated.
func (t topology) survivesLocalityLoss(witnesses []Replica) bool {
	if !t.toleratesLocalityLoss() {
		return true
	}
	return !slices.ContainsFunc(witnesses, func(r Replica) bool { return 2*t.localityCount(r, witnesses) >= len(witnesses) })
}

// witnessTarget is the least number of witnesses of which a majority is left after the tolerated loss.
func (t topology) witnessTarget() int {
	return 2*max(t.tolerance.Machines, t.tolerance.Zones, t.tolerance.Regions) + 1
}

// maxMembers bounds the members: each of them has to store a change before it is acknowledged.
func (t topology) maxMembers() int { return t.witnessTarget() }

// localityCount is how many of a list are in a replica's zone, or in its region if the loss of regions is tolerated.
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

// voting returns the replicas that count for the quorum, or of which it is not known.
func (t topology) voting(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), t.isNonVoting)
}

// keepsVotingTolerance reports whether the remaining replicas that count for the quorum still survive the tolerated loss,
// if those of all did.
func (t topology) keepsVotingTolerance(all, remaining []Replica) bool {
	return t.survivesLoss(t.voting(remaining)) || !t.survivesLoss(t.voting(all))
}

// spreadOverZones puts one replica of each zone first, and keeps the order otherwise.
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
