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
	storiesMost = 20                   // faults that are told in words
	clocksApart = 5 * time.Millisecond // a trail has milliseconds of the wall clock, the trace those of the run
)

// Verdict compares the trails of the sidecars of the first tier with what boxes received.
type Verdict struct {
	Visits   int      `json:"visits"`   // at boxes, of sidecars whose trails were read
	Attempts int      `json:"attempts"` // in trails
	Sure     int      `json:"sure"`     // visits that can only belong to one list; the others may belong to one of two or more
	Unproven int      `json:"unproven"` // made after the last count of a process that was killed: its trail can't have them
	Wrong    int      `json:"wrong"`    // attempts in trails under a list that the sidecar can't have made them under
	Unseen   int      `json:"unseen"`   // attempts that no box may have seen: by the trail, or as the box's process or machine went down in the play
	Missing  int      `json:"missing"`  // visits in no trail under a list that they may belong to
	Unread   []string `json:"unread"`   // sidecars that sent something and whose trail nobody has
	Stories  []string `json:"stories"`
}

// cell is what is counted: attempts of a class at a box.
type cell struct {
	digest version.Digest
	class  string
	host   string
}

// count is of a cell: attempts in a trail, and of them those that may not have come to the box; visits at the box that must
// belong to the cell, and those that may.
type count struct{ attempts, unseen, must, may int }

// Judge compares. Trails are by sidecar: all entries that anybody has of it, of all its processes, in their order.
func Judge(p *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) Verdict {
	j := judge{p: p, log: log, down: map[string]bool{}, out: Verdict{Unread: []string{}, Stories: []string{}}}
	for _, e := range p.Events {
		if e.Kind == plan.BeginFault && e.At <= log.End && (e.Fault.Kind == model.Dead || e.Fault.Kind == model.Vanish) {
			j.down[p.Boxes[e.Box].Name] = true
		}
	}
	for sidecar, visits := range j.visits() {
		entries := trails[sidecar]
		if len(entries) == 0 {
			if len(visits) > 0 {
				j.out.Unread = append(j.out.Unread, p.Sidecars[sidecar].Name)
			}
			continue
		}
		j.compare(sidecar, visits, entries)
	}
	return j.out
}

type judge struct {
	p    *plan.Plan
	log  *trace.Log
	down map[string]bool // boxes whose process or machine went down
	out  Verdict
}

// visit is one with the time in which it was decided: not before its client asked, nor after its first byte came.
type visit struct {
	class    string
	host     string
	from, to time.Duration
}

// visits are those that each sidecar of the first tier has made, by sidecar.
func (j *judge) visits() [][]visit {
	tries := make(map[uint64]*trace.Try, len(j.log.Tries))
	answered := map[[2]int]time.Duration{} // by request and number of the try
	for i := range j.log.Tries {
		t := &j.log.Tries[i]
		if tries[t.Txn] = t; t.Tier == 0 {
			answered[[2]int{t.Request, t.No}] = t.Answered
		}
	}
	out := make([][]visit, 0, len(j.p.Sidecars))
	for i := range j.p.Sidecars {
		if j.p.Sidecars[i].Box < 0 {
			out = append(out, nil)
		}
	}
	for i := range j.log.Visits {
		v := &j.log.Visits[i]
		t := tries[v.Txn]
		if t == nil || t.Tier != 0 || t.Sidecar >= len(out) {
			continue
		}
		from := t.Due
		if t.No > 0 { // a retry is sent once the try before it is over
			from = max(from, answered[[2]int{t.Request, t.No - 1}])
		}
		out[t.Sidecar] = append(out[t.Sidecar], visit{j.p.Scenario.Class[t.Class].Name, j.p.Boxes[v.Box].Name, from, v.Begun})
	}
	return out
}

// compare is of one sidecar. A visit must be in the trail under its list if that can only be one, and under one of those
// that it can be otherwise; an attempt in the trail must be a visit that may belong to its list, unless it proved never to have
// come to its box, or was withdrawn.
func (j *judge) compare(sidecar int, visits []visit, entries []auditlog.Entry) {
	cells := map[cell]*count{}
	of := func(c cell) *count {
		if cells[c] == nil {
			cells[c] = &count{}
		}
		return cells[c]
	}
	all := map[cell]*count{} // over all lists
	whole := func(c cell) *count {
		c.digest = 0
		if all[c] == nil {
			all[c] = &count{}
		}
		return all[c]
	}
	for c, n := range counted(entries) {
		if j.down[c.host] { // what was on its way then, no box has seen and no trail can tell
			n.unseen = n.attempts
		}
		j.out.Unseen += n.unseen
		*of(c) = n
		w := whole(c)
		w.attempts, w.unseen = w.attempts+n.attempts, w.unseen+n.unseen
		j.out.Attempts += n.attempts
	}
	stretches, gone := held(j.log, sidecar), j.unproven(sidecar, entries)
	for _, v := range visits {
		j.out.Visits++
		lost := slices.ContainsFunc(gone, func(g [2]time.Duration) bool { return v.to >= g[0] && v.from <= g[1] })
		may := between(stretches, v.from, v.to)
		for _, d := range may {
			of(cell{d, v.class, v.host}).may++
		}
		w := whole(cell{0, v.class, v.host})
		w.may++
		switch {
		case lost:
			j.out.Unproven++
			continue
		case len(may) == 1:
			j.out.Sure++
			of(cell{may[0], v.class, v.host}).must++
		}
		w.must++
	}
	missing, wrong := j.faults(sidecar, cells)
	inAll, tooMany := j.faults(sidecar, all)
	j.out.Missing += max(missing, inAll) // what is missing under one list is missing in all, unless it stands under another
	j.out.Wrong += max(wrong, tooMany)
}

// faults are the visits that must be in cells and are not, and the attempts that are and can't be.
func (j *judge) faults(sidecar int, cells map[cell]*count) (missing, wrong int) {
	for _, c := range slices.SortedFunc(maps.Keys(cells), func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.digest, b.digest), cmp.Compare(a.class, b.class), cmp.Compare(a.host, b.host))
	}) {
		n := cells[c]
		less, more := max(0, n.must-n.attempts), max(0, n.attempts-n.unseen-n.may)
		missing, wrong = missing+less, wrong+more
		if less+more > 0 && len(j.out.Stories) < storiesMost {
			under := "all lists"
			if c.digest != 0 {
				under = fmt.Sprintf("list %016x", uint64(c.digest))
			}
			j.out.Stories = append(j.out.Stories, fmt.Sprintf("%s: %s at %s under %s: its trail has %d, of which %d may not have come; %d came for sure, %d perhaps",
				j.p.Sidecars[sidecar].Name, c.class, c.host, under, n.attempts, n.unseen, n.must, n.may))
		}
	}
	return missing, wrong
}

// counted are a trail's attempts. What was made under a number that it does not explain is under no list.
func counted(entries []auditlog.Entry) map[cell]count {
	type number struct {
		life  string
		under uint32
	}
	lists := map[number]version.Digest{}
	for i := range entries {
		if e := &entries[i]; e.Kind == auditlog.Adopted && e.Version != nil {
			lists[number{e.Incarnation, e.VersionID}] = e.Version.List.Digest
		}
	}
	out := map[cell]count{}
	for i := range entries {
		e := &entries[i]
		if e.Kind != auditlog.Counted {
			continue
		}
		for _, a := range e.Attempts {
			c := cell{lists[number{e.Incarnation, e.VersionID}], a.Class, a.Host}
			n := out[c]
			n.attempts, n.unseen = n.attempts+a.N, n.unseen+a.Unsent+a.Withdrawn
			out[c] = n
		}
	}
	return out
}

// unproven are the times in which what a process did can't be in its trail: from its last count on until it was killed.
func (j *judge) unproven(sidecar int, entries []auditlog.Entry) (out [][2]time.Duration) {
	begun := time.Duration(0)
	for _, c := range j.log.Changes {
		if c.Sidecar != sidecar {
			continue
		}
		switch c.What {
		case trace.Begun:
			if begun = c.At; begun == 0 { // before the run, which has no time of its own
				begun = -time.Hour
			}
		case trace.Killed, trace.Crashed:
			last, any := begun, false
			for i := range entries {
				at := entries[i].At.D() - time.Duration(j.log.Start.UnixMilli())*time.Millisecond
				if at < begun-clocksApart || at > c.At+clocksApart {
					continue
				}
				any = true // a process of which nothing at all is left excuses nothing
				if entries[i].Kind == auditlog.Counted {
					last = max(last, at)
				}
			}
			if any {
				out = append(out, [2]time.Duration{last - clocksApart, c.At})
			}
		}
	}
	return out
}
