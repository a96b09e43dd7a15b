package audit

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// inventoryFaults returns the faults of the inventory that show in answers. A sidecar that answers with another name counts as
// not reached: its address has been given to another one.
func (a *Audit) inventoryFaults(answers []Answer) (faults []string) {
	listed := a.options.Inventory.Sidecars
	ranks := map[int]string{}
	instances, reached := 0, 0
	for i := range answers {
		r, s := answers[i].Report, &listed[i]
		if r == nil {
			continue
		}
		if r.Name != s.Name {
			err := fmt.Errorf("audit: %s answers as %.100q", s.Addr, r.Name)
			faults = append(faults, fmt.Sprintf("%s: %s answers as %.100q", s.Name, s.Addr, r.Name))
			answers[i].Report, answers[i].Err = nil, err
			continue
		}
		reached++
		if s.Zone != "" && r.Zone != s.Zone {
			faults = append(faults, fmt.Sprintf("%s: is listed in the zone %s and says %.100q", s.Name, s.Zone, r.Zone))
		}
		if r.Site != cmp.Or(a.site, r.Site) { // of another fleet, with its own ranks
			continue
		}
		instances = max(instances, r.Instances)
		if other, twice := ranks[r.Rank]; twice {
			faults = append(faults, fmt.Sprintf("%s and %s have the same rank, %d", other, s.Name, r.Rank))
		}
		ranks[r.Rank] = s.Name
	}
	if instances > len(listed) {
		faults = append(faults, fmt.Sprintf("%d sidecars are listed, and their settings tell of %d", len(listed), instances))
	}
	if reached == len(listed) { // one that wasn't reached may have the rank
		for rank := range min(instances, maxSidecars) {
			if _, there := ranks[rank]; !there {
				faults = append(faults, fmt.Sprintf("rank %d is nobody's", rank))
			}
		}
	}
	if len(faults) > maxContradictions {
		faults = append(faults[:maxContradictions], fmt.Sprintf("and %d more", len(faults)-maxContradictions))
	}
	return faults
}

// view returns what is shown of a round that was decided at that time.
func (a *Audit) view(answers []Answer, decided *version.RoundResult, at time.Time) *View {
	v := &View{At: millis(at), Round: a.round, Site: a.site, By: a.options.By, Minimum: decided.Minimum,
		NoOrdersReason: cmp.Or(decided.Superseded, decided.NoPermitReason),
		Contradictions: a.history.Contradictions, Omitted: a.history.Omitted}
	v.Reference, v.ReferenceSource = a.shownReference(answers)
	standings := map[string]version.Standing{}
	for _, s := range decided.Standings {
		standings[s.Name] = s
	}
	knownSince := a.history.listKnownSince(v.Reference)
	for i := range answers {
		s := &a.options.Inventory.Sidecars[i]
		row := a.newRow(s, standings[s.Name], &answers[i])
		a.addDetails(&row, standings[s.Name], &answers[i], v, knownSince)
		v.Rows = append(v.Rows, row)
	}
	sortRows(v.Rows)
	v.Lists, v.Events = a.history.lists(v.Rows), a.history.events()
	return v
}

// shownReference returns the reference and what it is; the zero list where there is none.
func (a *Audit) shownReference(answers []Answer) (reference version.List, source string) {
	if a.options.List != "" {
		if n := len(a.history.ListIntervals); n > 0 {
			return a.history.ListIntervals[n-1].List, "the list service"
		}
		return version.List{}, ""
	}
	if reference = a.newestList(answers); reference.Digest != 0 {
		source = "the newest adoption"
	}
	return reference, source
}

// newRow returns what is known of a sidecar, whether it was reached or not.
func (a *Audit) newRow(s *Sidecar, standing version.Standing, answer *Answer) Row {
	record := a.record(s.Name)
	row := Row{Name: s.Name, Zone: a.zone(s), Addr: s.Addr, Status: Status(standing.State), Reason: standing.Reason,
		LastAnswer: record.LastAnswer, Late: a.history.Late(s.Name)}
	if log := a.history.Sidecars[s.Name]; log != nil {
		row.Dropped, row.ClockOffset, row.ClockUncertainty = log.Dropped, -log.Shift, log.Uncertainty
	}
	if r := record.Report; r != nil {
		row.State, row.Version, row.VersionAge, row.ListAge = r.State, &r.Version, r.VersionAge, r.ListAge
		row.Permit, row.NeedsSuccessor = r.Permit, r.NeedsSuccessor
	}
	if row.Status == "" && answer.Report != nil { // there is no auditor to decide
		row.Status, row.Reason = Unknown, "nobody tells a site"
	}
	return row
}

// addDetails adds to a row since when its status holds, and why.
func (a *Audit) addDetails(row *Row, standing version.Standing, answer *Answer, v *View, knownSince version.Millis) {
	switch row.Status {
	case Behind, ShutOut:
		if standing.Since <= a.now {
			row.Since = v.At - version.Millis((a.now - standing.Since).Milliseconds())
		}
		if since := a.history.behindSince(row.Name, v.Reference, knownSince); since > 0 && since < row.Since {
			row.Since = since
		}
		if r := answer.Report; r != nil && r.Reason != "" {
			row.Reason += "; it says: " + r.Reason
		}
	case NotReached, "":
		row.Status, row.Since, row.State, row.Permit = NotReached, a.record(row.Name).UnreachedSince, "", nil
		if answer.Err != nil {
			row.Reason = strings.TrimPrefix(answer.Err.Error(), "audit: ")
		}
	}
}
