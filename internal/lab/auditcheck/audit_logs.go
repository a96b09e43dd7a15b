package auditcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxDetails     = 20                   // faults that are told in words
	clockTolerance = 5 * time.Millisecond // a trail has milliseconds of the wall clock, the trace those of the run
)

// Verdict compares the trails of the sidecars of the first tier with what boxes received.
type Verdict struct {
	EndpointRequests int      `json:"visits"`   // at boxes, of sidecars whose trails were read
	Attempts         int      `json:"attempts"` // in trails
	Unambiguous      int      `json:"sure"`     // visits that can only belong to one list; the others may belong to one of two or more
	Unrecordable     int      `json:"unproven"` // made after the last count of a process that was killed: its trail can't have them
	Contradicted     int      `json:"wrong"`    // attempts in trails under a list that the sidecar can't have made them under
	Unreceived       int      `json:"unseen"`   // attempts that no box may have seen: by the trail, or as the box's process or machine went down in the play
	Missing          int      `json:"missing"`  // visits in no trail under a list that they may belong to
	UnreadSidecars   []string `json:"unread"`   // sidecars that sent something and whose trail nobody has
	Details          []string `json:"stories"`
}

// cell is what is counted: attempts of a class at a box.
type bucket struct {
	digest   version.Digest
	class    string
	endpoint string
}

// count is of a cell: attempts in a trail, and of them those that may not have come to the box; visits at the box that must
// belong to the cell, and those that may.
type tally struct{ attempts, unreceived, certain, possible int }

// CompareAuditLogs compares. Trails are by sidecar: all entries that anybody has of it, of all its processes, in their order.
func CompareAuditLogs(p *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) Verdict {
	j := comparison{plan: p, log: log, downEndpoints: map[string]bool{}, verdict: Verdict{UnreadSidecars: []string{}, Details: []string{}}}
	for _, e := range p.Events {
		if e.Kind == plan.BeginFault && e.At <= log.End && (e.Fault.Kind == model.Dead || e.Fault.Kind == model.Vanish) {
			j.downEndpoints[p.Boxes[e.Box].Name] = true
		}
	}
	for sidecar, visits := range j.requestsBySidecar() {
		entries := trails[sidecar]
		if len(entries) == 0 {
			if len(visits) > 0 {
				j.verdict.UnreadSidecars = append(j.verdict.UnreadSidecars, p.Sidecars[sidecar].Name)
			}
			continue
		}
		j.compareSidecar(sidecar, visits, entries)
	}
	return j.verdict
}

type comparison struct {
	plan          *plan.Plan
	log           *trace.Log
	downEndpoints map[string]bool // boxes whose process or machine went down
	verdict       Verdict
}

// visit is one with the time in which it was decided: not before its client asked, nor after its first byte came.
type firstTierRequest struct {
	class            string
	endpoint         string
	earliest, latest time.Duration
}

// visits are those that each sidecar of the first tier has made, by sidecar.
func (j *comparison) requestsBySidecar() [][]firstTierRequest {
	tries := make(map[uint64]*trace.ClientAttempt, len(j.log.ClientAttempts))
	answered := map[[2]int]time.Duration{} // by request and number of the try
	for i := range j.log.ClientAttempts {
		t := &j.log.ClientAttempts[i]
		if tries[t.TransactionID] = t; t.Tier == 0 {
			answered[[2]int{t.Request, t.Number}] = t.Ended
		}
	}
	out := make([][]firstTierRequest, 0, len(j.plan.Sidecars))
	for i := range j.plan.Sidecars {
		if j.plan.Sidecars[i].Box < 0 {
			out = append(out, nil)
		}
	}
	for i := range j.log.EndpointRequests {
		v := &j.log.EndpointRequests[i]
		t := tries[v.TransactionID]
		if t == nil || t.Tier != 0 || t.Sidecar >= len(out) {
			continue
		}
		from := t.Due
		if t.Number > 0 { // a retry is sent once the try before it is over
			from = max(from, answered[[2]int{t.Request, t.Number - 1}])
		}
		out[t.Sidecar] = append(out[t.Sidecar], firstTierRequest{j.plan.Scenario.Class[t.Class].Name, j.plan.Boxes[v.Endpoint].Name, from, v.FirstByte})
	}
	return out
}

// compare is of one sidecar. A visit must be in the trail under its list if that can only be one, and under one of those
// that it can be otherwise; an attempt in the trail must be a visit that may belong to its list, unless it proved never to have
// come to its box, or was withdrawn.
func (j *comparison) compareSidecar(sidecar int, visits []firstTierRequest, entries []auditlog.Entry) {
	cells := map[bucket]*tally{}
	of := func(c bucket) *tally {
		if cells[c] == nil {
			cells[c] = &tally{}
		}
		return cells[c]
	}
	all := map[bucket]*tally{} // over all lists
	whole := func(c bucket) *tally {
		c.digest = 0
		if all[c] == nil {
			all[c] = &tally{}
		}
		return all[c]
	}
	for c, n := range tallyEntries(entries) {
		if j.downEndpoints[c.endpoint] { // what was on its way then, no box has seen and no trail can tell
			n.unreceived = n.attempts
		}
		j.verdict.Unreceived += n.unreceived
		*of(c) = n
		w := whole(c)
		w.attempts, w.unreceived = w.attempts+n.attempts, w.unreceived+n.unreceived
		j.verdict.Attempts += n.attempts
	}
	stretches, gone := possibleLists(j.log, sidecar), j.unrecordedSpans(sidecar, entries)
	for _, v := range visits {
		j.verdict.EndpointRequests++
		lost := slices.ContainsFunc(gone, func(g [2]time.Duration) bool { return v.latest >= g[0] && v.earliest <= g[1] })
		may := listsBetween(stretches, v.earliest, v.latest)
		for _, d := range may {
			of(bucket{d, v.class, v.endpoint}).possible++
		}
		w := whole(bucket{0, v.class, v.endpoint})
		w.possible++
		switch {
		case lost:
			j.verdict.Unrecordable++
			continue
		case len(may) == 1:
			j.verdict.Unambiguous++
			of(bucket{may[0], v.class, v.endpoint}).certain++
		}
		w.certain++
	}
	missing, wrong := j.mismatches(sidecar, cells)
	inAll, tooMany := j.mismatches(sidecar, all)
	j.verdict.Missing += max(missing, inAll) // what is missing under one list is missing in all, unless it stands under another
	j.verdict.Contradicted += max(wrong, tooMany)
}

// faults are the visits that must be in cells and are not, and the attempts that are and can't be.
func (j *comparison) mismatches(sidecar int, cells map[bucket]*tally) (missing, wrong int) {
	for _, c := range slices.SortedFunc(maps.Keys(cells), func(a, b bucket) int {
		return cmp.Or(cmp.Compare(a.digest, b.digest), cmp.Compare(a.class, b.class), cmp.Compare(a.endpoint, b.endpoint))
	}) {
		n := cells[c]
		less, more := max(0, n.certain-n.attempts), max(0, n.attempts-n.unreceived-n.possible)
		missing, wrong = missing+less, wrong+more
		if less+more > 0 && len(j.verdict.Details) < maxDetails {
			under := "all lists"
			if c.digest != 0 {
				under = fmt.Sprintf("list %016x", uint64(c.digest))
			}
			j.verdict.Details = append(j.verdict.Details, fmt.Sprintf("%s: %s at %s under %s: its trail has %d, of which %d may not have come; %d came for sure, %d perhaps",
				j.plan.Sidecars[sidecar].Name, c.class, c.endpoint, under, n.attempts, n.unreceived, n.certain, n.possible))
		}
	}
	return missing, wrong
}

// counted are a trail's attempts. What was made under a number that it does not explain is under no list.
func tallyEntries(entries []auditlog.Entry) map[bucket]tally {
	type number struct {
		life  string
		under uint32
	}
	lists := map[number]version.Digest{}
	for i := range entries {
		if e := &entries[i]; e.Kind == auditlog.Adopted && e.Version != nil {
			lists[number{e.Life, e.Under}] = e.Version.List.Digest
		}
	}
	out := map[bucket]tally{}
	for i := range entries {
		e := &entries[i]
		if e.Kind != auditlog.Counted {
			continue
		}
		for _, a := range e.Attempts {
			c := bucket{lists[number{e.Life, e.Under}], a.Class, a.Host}
			n := out[c]
			n.attempts, n.unreceived = n.attempts+a.N, n.unreceived+a.Never+a.Left
			out[c] = n
		}
	}
	return out
}

// unproven are the times in which what a process did can't be in its trail: from its last count on until it was killed.
func (j *comparison) unrecordedSpans(sidecar int, entries []auditlog.Entry) (out [][2]time.Duration) {
	begun := time.Duration(0)
	for _, c := range j.log.SidecarEvents {
		if c.Sidecar != sidecar {
			continue
		}
		switch c.Kind {
		case trace.SidecarStarted:
			if begun = c.At; begun == 0 { // before the run, which has no time of its own
				begun = -time.Hour
			}
		case trace.SidecarKilled, trace.SidecarCrashed:
			last, any := begun, false
			for i := range entries {
				at := entries[i].At.D() - time.Duration(j.log.Start.UnixMilli())*time.Millisecond
				if at < begun-clockTolerance || at > c.At+clockTolerance {
					continue
				}
				any = true // a process of which nothing at all is left excuses nothing
				if entries[i].Kind == auditlog.Counted {
					last = max(last, at)
				}
			}
			if any {
				out = append(out, [2]time.Duration{last - clockTolerance, c.At})
			}
		}
	}
	return out
}
