package audit

import (
	"cmp"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxEntries        = 512     // of a sidecar, the newest: 85 minutes of counts every 10 s
	maxTotalEntries   = 200_000 // of all sidecars, some 100 MB; from 400 sidecars on fewer of each
	maxContradictions = 1000    // the oldest: what follows from one is seldom a new one
	maxListNames      = 20_000  // that are checked for a second content
	maxListIntervals  = 4096    // changes of the list service's list
	maxMinimums       = 256     // the newest
	clockTolerance    = version.Millis(1000)

	sourceRepeated = "kept" // the source of an adoption that repeats a dropped entry
)

// SidecarLog is what is kept of one sidecar's audit log.
type SidecarLog struct {
	Entries     []TimedEntry   `json:"entries"` // the newest, one incarnation after the other
	Next        uint64         `json:"next"`    // the number after the last entry
	Shift       version.Millis `json:"shift_ms"`
	Uncertainty version.Millis `json:"within_ms"`
	ShiftKnown  bool           `json:"known"`   // whether Shift is
	Dropped     bool           `json:"dropped"` // the sidecar had dropped entries before they could be read
}

// listInterval is a time during which the list service served one list.
type listInterval struct {
	From version.Millis `json:"From"`
	To   version.Millis `json:"To"`
	List version.List   `json:"List"`
}

// raisedMinimum is a minimum version, and when the first sidecar accepted it or, where this audit sent it, when it did.
type raisedMinimum struct {
	Minimum version.MinimumVersion `json:"floor"`
	At      version.Millis         `json:"at_ms"`
	Ours    bool                   `json:"ours"`
}

// firstList is the content that a list's name was first seen with, and at which sidecar.
type firstList struct {
	Digest  version.Digest `json:"Digest"`
	Sidecar string         `json:"At"`
}

// History is all logs on one time line. It is pure, and the zero value is empty; it is stored, and the JSON names stay.
type History struct {
	Sidecars       map[string]*SidecarLog `json:"Sidecars"`
	ListIntervals  []listInterval         `json:"Told"`
	Minimums       []raisedMinimum        `json:"Raised"`
	FirstLists     map[string]firstList   `json:"Names"` // by service and revision
	Contradictions []Contradiction        `json:"Found"`
	Omitted        int                    `json:"Unkept"` // contradictions beyond those
}

// sidecarLog returns a sidecar's log.
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

// Since returns the entry from which to request a sidecar's log: the last one that is known, which has to come again unchanged,
// and its checksum.
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

// Merge merges a sidecar's answer to a request for the entries from since on.
func (h *History) Merge(name string, since uint64, a Answer) {
	p, r := h.sidecarLog(name), a.Report
	shift := a.Midpoint - r.Now
	at := clockSample{Time: a.Midpoint, Uncertainty: a.Uncertainty, Wall: r.Now, Up: r.Up}
	p.Shift, p.Uncertainty, p.ShiftKnown = shift, a.Uncertainty, true
	if len(r.Entries) == 0 || r.Entries[0].Seq > since {
		switch hasEntries := len(p.Entries) > 0; {
		case r.Oldest > since:
			p.Dropped = true
		case hasEntries && r.Next > since, len(r.Entries) > 0:
			h.contradiction(MissingEntries, name, a.Midpoint, fmt.Sprintf("asked from entry %d on, of which it says that it has it, it did not tell it", since))
		}
	}
	for _, f := range auditlog.Check(r.Entries) {
		h.contradiction(MissingEntries, name, a.Midpoint, f.String())
	}
	h.addEntries(name, r.Entries, at)
	p.Next = r.Next
}

// MergeDir merges a log from the disk of a sidecar that can't be reached.
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

// addEntries adds the entries that are new.
func (h *History) addEntries(name string, entries []auditlog.Entry, at clockSample) {
	p := h.sidecarLog(name)
	placed := placeOnTimeline(entries, at)
	newEntries := 0
	for _, e := range placed {
		i := len(p.Entries) - 1 // a known entry is the last one, or of a log that is read anew
		for i >= 0 && (p.Entries[i].Seq != e.Seq || p.Entries[i].Incarnation != e.Incarnation) {
			i--
		}
		switch {
		case i < 0:
			if n := len(p.Entries); n > 0 && p.Entries[n-1].Incarnation == e.Incarnation && p.Entries[n-1].Seq+1 == e.Seq && p.Entries[n-1].Sum != e.Prev {
				h.contradiction(Rewritten, name, e.Time, fmt.Sprintf("entry %d does not follow the entry %d that was read before", e.Seq, e.Seq-1))
			}
			p.Entries = append(p.Entries, e)
			newEntries++
		case p.Entries[i].Sum != e.Sum:
			h.contradiction(Rewritten, name, e.Time, fmt.Sprintf("entry %d was %s and is %s", e.Seq, p.Entries[i].Sum, e.Sum))
		}
	}
	if newEntries > 0 {
		h.checkEntries(name, p, newEntries)
	}
	p.Entries = slices.Clone(p.Entries[max(0, len(p.Entries)-h.entryLimit()):])
}

// entryLimit returns how many entries are kept of each sidecar.
func (h *History) entryLimit() int { return min(maxEntries, maxTotalEntries/max(1, len(h.Sidecars))) }

// Published records the list that the list service returned to a call between those times.
func (h *History) Published(out, back version.Millis, l version.List) {
	if n := len(h.ListIntervals); n > 0 && h.ListIntervals[n-1].List == l {
		h.ListIntervals[n-1].To = out
		return
	}
	h.ListIntervals = append(h.ListIntervals[max(0, len(h.ListIntervals)+1-maxListIntervals):], listInterval{back, back, l})
	h.recordList("the list service", back, l)
	for name, p := range h.Sidecars { // which adopted it earlier
		for _, e := range p.Entries {
			if isAdoption(e) {
				h.checkEarly(name, e)
			}
		}
	}
}

// RecordMinimum records a minimum version that this audit sends.
func (h *History) RecordMinimum(now version.Millis, f version.MinimumVersion) {
	h.recordMinimum(raisedMinimum{f, now, true})
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

// compareMinimums orders minimum versions: the lesser one is superseded.
func compareMinimums(a, b version.MinimumVersion) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.By, b.By))
}
