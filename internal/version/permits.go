package version

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// permitReservation is how long after its issue a permit may be valid somewhere: it may be in transit until its sidecar's clock
// rejects it, and that clock and the auditor's may differ by maxClockSkew.
const permitReservation = maxPermitValidity + 2*maxClockSkew

type reservation struct {
	number int
	zone   string
	expiry time.Duration
}

// issuePermits returns the permits by sidecar, and if there are none, why.
func (a *Auditor) issuePermits(now, wall time.Duration, fleet []Observation) (map[string]*Permit, string) {
	for name, h := range a.reservations {
		if now >= h.expiry {
			delete(a.reservations, name)
		}
	}
	if !a.rules.IssuesPermits {
		return nil, ""
	}
	var below []*Observation
	reached, meets, votes, reportedInstances := 0, 0, 0, 0
	zones := map[string]int{}
	for i := range fleet {
		s := &fleet[i]
		zones[s.Zone]++
		if !s.Reached || now-s.AnsweredAt > maxAnswerAge {
			continue
		}
		reached++
		reportedInstances = max(reportedInstances, s.Instances)
		k := a.sidecars[s.Name]
		if k.incarnation != "" && now-k.followsSince >= voteDelay {
			votes++
		}
		switch {
		case s.Site != a.rules.Site:
		case a.minimum.missing(&s.Version) == "":
			meets++
		case now-k.belowSince >= a.rules.Grace:
			below = append(below, s)
		}
	}
	if len(below) == 0 {
		return nil, ""
	}
	n, all := len(fleet), max(len(fleet), reportedInstances)
	if reportedInstances > 0 {
		n = min(n, reportedInstances) // an outdated inventory has too many
	}
	if 2*votes <= all {
		return nil, fmt.Sprintf("%d of %d sidecars have followed this auditor for %s; more than half are needed", votes, all, voteDelay)
	}
	if minMeets := (1 - a.rules.Share) * float64(reached); meets == 0 || float64(meets) < minMeets-1e-9 {
		return nil, fmt.Sprintf("%d of the %d sidecars reached meet the floor; it may be wrong", meets, reached)
	}
	return a.assignPermits(now, wall, below, MaxShutOut(a.rules.Share, n), zones), ""
}

// assignPermits renews permits, and assigns the free ones to the sidecars that have been below the minimum version for longest.
func (a *Auditor) assignPermits(now, wall time.Duration, below []*Observation, maxPermits int, zones map[string]int) map[string]*Permit {
	slices.SortFunc(below, func(x, y *Observation) int {
		return cmp.Or(cmp.Compare(a.sidecars[x.Name].belowSince, a.sidecars[y.Name].belowSince), cmp.Compare(x.Name, y.Name))
	})
	taken, inZone := map[int]bool{}, map[string]int{}
	for _, h := range a.reservations {
		taken[h.number] = true
		inZone[h.zone]++
	}
	out := map[string]*Permit{}
	for _, s := range below {
		h, has := a.reservations[s.Name]
		if !has {
			h = reservation{zone: s.Zone}
			for taken[h.number] {
				h.number++
			}
		}
		in := inZone[h.zone]
		if !has {
			in++
		}
		// Both are looked at for a renewal too: the fleet may have become smaller.
		if h.number >= maxPermits || float64(in) > a.rules.Share*float64(zones[h.zone])+1e-9 {
			continue
		}
		taken[h.number], inZone[h.zone] = true, in
		h.expiry = now + permitReservation
		a.reservations[s.Name] = h
		out[s.Name] = &Permit{h.number, Millis(wall.Milliseconds()), Millis(maxPermitValidity.Milliseconds())}
	}
	return out
}
