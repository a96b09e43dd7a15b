package audit

import (
	"cmp"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxEntries        = 512     // kept of a sidecar, the newest: 85 minutes of counts every 10 s
	maxTotalEntries   = 200_000 // and of all, some 100 MB: from 400 sidecars on less of each
	maxContradictions = 1000    // contradictions, the oldest: what follows from one is seldom news
	maxListNames      = 20_000  // list's names, of which each is looked at for a second content
	maxListIntervals  = 4096    // changes of what the list service tells
	maxMinimums       = 256     // the newest
	clockTolerance    = version.Millis(1000)

	sourceRepeated = "kept" // what an adoption comes from that a trail tells once more, for the first telling was dropped
)

// What a contradiction is about. Two processes of a sidecar beside each other are none: each life numbers its own adoptions.
const (
	MissingEntries   = "hole"      // a trail lacks an entry, or has one that was changed
	Rewritten        = "rewritten" // a trail says other things of the same time than it did before
	EarlyAdoption    = "early"     // a version was acted on before anyone published it
	ConflictingLists = "twice"     // one name, two lists
	WentBack         = "back"      // a list's revision, or an epoch, went back
)

// Contradiction is what can't be as it was told.
type Contradiction struct {
	Kind    string         `json:"kind"`
	Sidecar string         `json:"sidecar"`
	Time    version.Millis `json:"time_ms"` // of the entry that shows it, by the auditor's clock
	What    string         `json:"what"`
}

// SidecarLog is what is held of one sidecar's trail.
type SidecarLog struct {
	Entries     []TimedEntry   `json:"entries"` // the newest, life after life
	Next        uint64         `json:"next"`    // what to ask since
	Shift       version.Millis `json:"shift_ms"`
	Uncertainty version.Millis `json:"within_ms"`
	ShiftKnown  bool           `json:"known"`   // Shift is
	Dropped     bool           `json:"dropped"` // the sidecar had dropped entries before they could be read
}

// told is a time through which the list service told one list.
type listInterval struct {
	From version.Millis `json:"From"`
	To   version.Millis `json:"To"`
	List version.List   `json:"List"`
}

// raised is a floor and when the first sidecar took it or, where this audit raised it, it did.
type raisedMinimum struct {
	Minimum version.MinimumVersion `json:"floor"`
	At      version.Millis         `json:"at_ms"`
	Ours    bool                   `json:"ours"`
}

// named is the content that a list's name was first seen with, and at whom.
type firstList struct {
	Digest  version.Digest `json:"Digest"`
	Sidecar string         `json:"At"`
}

// History is all trails on one time line. It is pure, and the zero value is empty; its fields are what is kept.
type History struct {
	Sidecars       map[string]*SidecarLog `json:"Sidecars"`
	ListIntervals  []listInterval         `json:"Told"`
	Minimums       []raisedMinimum        `json:"Raised"`
	FirstLists     map[string]firstList   `json:"Names"` // by service and revision
	Contradictions []Contradiction        `json:"Found"`
	Omitted        int                    `json:"Unkept"` // contradictions beyond those
}

// past is a sidecar's.
func (h *History) sidecarLog(name string) *SidecarLog {
	if h.Sidecars == nil {
		h.Sidecars = map[string]*SidecarLog{}
	}
	p := h.Sidecars[name]
	if p == nil {
		p = &SidecarLog{}
		h.Sidecars[name] = p
	}
	return p
}

// Since is what to ask a sidecar's trail from: the last entry that is held, which has to come again as it was, with that sum.
func (h *History) Since(name string) (since uint64, sum string) {
	p := h.Sidecars[name]
	if p == nil || p.Next <= 1 {
		return 1, ""
	}
	for _, e := range p.Entries {
		if e.Seq == p.Next-1 {
			sum = e.Sum // of several lives the last that was read
		}
	}
	return p.Next - 1, sum
}

// Merge takes in what a sidecar answered when it was asked from since on.
func (h *History) Merge(name string, since uint64, a Answer) {
	p, r := h.sidecarLog(name), a.Report
	shift := a.Midpoint - r.Now
	at := clockSample{Time: a.Midpoint, Uncertainty: a.Uncertainty, Wall: r.Now, Up: r.Up}
	p.Shift, p.Uncertainty, p.ShiftKnown = shift, a.Uncertainty, true
	if len(r.Entries) == 0 || r.Entries[0].Seq > since {
		switch held := len(p.Entries) > 0; {
		case r.Oldest > since:
			p.Dropped = true
		case held && r.Next > since, len(r.Entries) > 0:
			h.contradiction(MissingEntries, name, a.Midpoint, fmt.Sprintf("asked from entry %d on, of which it says that it has it, it did not tell it", since))
		}
	}
	for _, f := range auditlog.Check(r.Entries) {
		h.contradiction(MissingEntries, name, a.Midpoint, f.String())
	}
	h.addEntries(name, r.Entries, at)
	p.Next = r.Next
}

// MergeDir takes in a trail that was read from the disk of a sidecar that can't be asked.
func (h *History) MergeDir(name string, entries []auditlog.Entry, faults []auditlog.Fault) {
	p := h.sidecarLog(name)
	at := clockSample{Uncertainty: unknownClockSkew}
	if n := len(entries); n > 0 {
		at.Wall, at.Up = entries[n-1].At, entries[n-1].Up
		at.Time = at.Wall
		if p.ShiftKnown {
			at.Time, at.Uncertainty = at.Wall+p.Shift, p.Uncertainty+clockTolerance
		}
	}
	for _, f := range faults {
		h.contradiction(MissingEntries, name, at.Time, f.String())
	}
	h.addEntries(name, entries, at)
}

// merge adds the entries that are new.
func (h *History) addEntries(name string, entries []auditlog.Entry, at clockSample) {
	p := h.sidecarLog(name)
	placed := placeOnTimeline(entries, at)
	fresh := 0
	for _, e := range placed {
		i := len(p.Entries) - 1 // what comes again is the last, or of a trail that is read anew
		for i >= 0 && (p.Entries[i].Seq != e.Seq || p.Entries[i].Incarnation != e.Incarnation) {
			i--
		}
		switch {
		case i < 0:
			if n := len(p.Entries); n > 0 && p.Entries[n-1].Incarnation == e.Incarnation && p.Entries[n-1].Seq+1 == e.Seq && p.Entries[n-1].Sum != e.Prev {
				h.contradiction(Rewritten, name, e.Time, fmt.Sprintf("entry %d does not follow the entry %d that was read before", e.Seq, e.Seq-1))
			}
			p.Entries = append(p.Entries, e)
			fresh++
		case p.Entries[i].Sum != e.Sum:
			h.contradiction(Rewritten, name, e.Time, fmt.Sprintf("entry %d was %s and is %s", e.Seq, p.Entries[i].Sum, e.Sum))
		}
	}
	if fresh > 0 {
		h.checkEntries(name, p, fresh)
	}
	p.Entries = slices.Clone(p.Entries[max(0, len(p.Entries)-h.entryLimit()):])
}

// most is how many entries are kept of each sidecar.
func (h *History) entryLimit() int { return min(maxEntries, maxTotalEntries/max(1, len(h.Sidecars))) }

// look looks at the last entries of a sidecar, so many of which are new, for what can't be.
func (h *History) checkEntries(name string, p *SidecarLog, fresh int) {
	first := len(p.Entries) - fresh
	revisions, epoch := map[string]int64{}, uint64(0)
	for i, e := range p.Entries {
		if i > 0 && !isNext(p.Entries[i-1].Entry, e.Entry) { // what was kept before is lost, rightly or not
			revisions, epoch = map[string]int64{}, 0
		}
		if o := e.Order; e.Kind == auditlog.Ordered && o != nil && e.Reason == "" && i >= first {
			h.recordOrder(name, e, o.Minimum)
		}
		v := e.Version
		if !isAdoption(e) {
			continue
		}
		if last, seen := revisions[v.List.From]; i >= first && seen && v.List.Revision < last && isServed(v.List) {
			h.contradiction(WentBack, name, e.Time, fmt.Sprintf("%s: revision %d after %d", v.List.From, v.List.Revision, last))
		}
		if i >= first && v.Epoch < epoch {
			h.contradiction(WentBack, name, e.Time, fmt.Sprintf("epoch %d after %d", v.Epoch, epoch))
		}
		revisions[v.List.From], epoch = v.List.Revision, max(epoch, v.Epoch)
		if i >= first {
			h.recordList(name, e.Time, v.List)
			h.checkEarly(name, e)
		}
	}
}

// follows tells whether a trail goes from one entry to another.
func isNext(a, b auditlog.Entry) bool { return b.Seq == a.Seq+1 && b.Prev == a.Sum }

// served tells whether a list came from a list service, and not from a former process or the configuration.
func isServed(l version.List) bool {
	return l.Digest != 0 && l.From != "known" && l.From != "snapshot" && l.From != "former" && l.From != ""
}

// listed notes a list's content under its name.
func (h *History) recordList(who string, at version.Millis, l version.List) {
	if !isServed(l) {
		return
	}
	key := fmt.Sprintf("%s %d", l.From, l.Revision)
	first, seen := h.FirstLists[key]
	switch {
	case !seen:
		if h.FirstLists == nil || len(h.FirstLists) >= maxListNames {
			h.FirstLists = map[string]firstList{}
		}
		h.FirstLists[key] = firstList{l.Digest, who}
	case first.Digest != l.Digest:
		h.contradiction(ConflictingLists, who, at, fmt.Sprintf("%s revision %d is %016x here and %016x at %s",
			l.From, l.Revision, uint64(l.Digest), uint64(first.Digest), first.Sidecar))
	}
}

// Published takes in what the list service told a call that went out and came back at those times.
func (h *History) Published(out, back version.Millis, l version.List) {
	if n := len(h.ListIntervals); n > 0 && h.ListIntervals[n-1].List == l {
		h.ListIntervals[n-1].To = out
		return
	}
	h.ListIntervals = append(h.ListIntervals[max(0, len(h.ListIntervals)+1-maxListIntervals):], listInterval{back, back, l})
	h.recordList("the list service", back, l)
	for name, p := range h.Sidecars { // who had it before
		for _, e := range p.Entries {
			if isAdoption(e) {
				h.checkEarly(name, e)
			}
		}
	}
}

// early looks whether an adopted list was acted on while the list service told a lower revision, before and after, and told
// this one only later. A service that counts anew in between proves nothing, nor does a time before the first call.
func (h *History) checkEarly(name string, e TimedEntry) {
	l := e.Version.List
	if !isServed(l) {
		return
	}
	from, to := e.Time-e.Uncertainty-clockTolerance, e.Time+e.Uncertainty+clockTolerance
	first := slices.IndexFunc(h.ListIntervals, func(t listInterval) bool { return t.List.Revision == l.Revision && t.List.Digest == l.Digest })
	begin := first
	for begin > 0 && h.ListIntervals[begin-1].List.Revision < h.ListIntervals[begin].List.Revision {
		begin--
	}
	if first > begin && h.ListIntervals[begin].From <= from && to <= h.ListIntervals[first-1].To {
		h.contradiction(EarlyAdoption, name, e.Time, fmt.Sprintf("revision %d was adopted %.1f s before the list service told of it; it then told revision %d",
			l.Revision, float64(h.ListIntervals[first].From-e.Time)/1000, h.ListIntervals[first-1].List.Revision))
	}
}

// RecordMinimum notes a floor that this audit raises.
func (h *History) RecordMinimum(now version.Millis, f version.MinimumVersion) {
	h.recordMinimum(raisedMinimum{f, now, true})
}

// ordered notes a floor that a sidecar took.
func (h *History) recordOrder(name string, e TimedEntry, f version.MinimumVersion) {
	i := slices.IndexFunc(h.Minimums, func(r raisedMinimum) bool { return r.Minimum.Epoch == f.Epoch && r.Minimum.By == f.By })
	switch {
	case i < 0:
		h.recordMinimum(raisedMinimum{f, e.Time, false})
	case h.Minimums[i].Ours && e.Time+e.Uncertainty+clockTolerance < h.Minimums[i].At:
		h.contradiction(EarlyAdoption, name, e.Time, fmt.Sprintf("epoch %d was taken %.1f s before it was raised", f.Epoch, float64(h.Minimums[i].At-e.Time)/1000))
	case !h.Minimums[i].Ours:
		h.Minimums[i].At = min(h.Minimums[i].At, e.Time)
	}
}

func (h *History) recordMinimum(r raisedMinimum) {
	i := slices.IndexFunc(h.Minimums, func(old raisedMinimum) bool {
		return old.Minimum.Epoch == r.Minimum.Epoch && old.Minimum.By == r.Minimum.By
	})
	if i >= 0 {
		h.Minimums[i].Ours, h.Minimums[i].At = r.Ours || h.Minimums[i].Ours, min(h.Minimums[i].At, r.At)
		return
	}
	h.Minimums = append(h.Minimums, r)
	slices.SortStableFunc(h.Minimums, func(a, b raisedMinimum) int { return compareMinimums(a.Minimum, b.Minimum) })
	h.Minimums = h.Minimums[max(0, len(h.Minimums)-maxMinimums):]
}

// note keeps a contradiction, once.
func (h *History) contradiction(kind, sidecar string, at version.Millis, what string) {
	switch same := func(c Contradiction) bool { return c.Kind == kind && c.Sidecar == sidecar && c.What == what }; {
	case slices.ContainsFunc(h.Contradictions, same):
	case len(h.Contradictions) >= maxContradictions:
		h.Omitted++
	default:
		h.Contradictions = append(h.Contradictions, Contradiction{kind, sidecar, at, what})
	}
}

// compareMinimums orders floors: the one that is less loses.
func compareMinimums(a, b version.MinimumVersion) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.By, b.By))
}
