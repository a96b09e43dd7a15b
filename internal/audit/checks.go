package audit

import (
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// The kinds of contradictions. Two concurrent processes of a sidecar are none: each incarnation numbers its own adoptions.
const (
	MissingEntries   = "hole"      // a log lacks an entry, or has one that was changed
	Rewritten        = "rewritten" // a log's past has changed since it was read
	EarlyAdoption    = "early"     // a version was acted on before it was published
	ConflictingLists = "twice"     // one name, two lists
	WentBack         = "back"      // a list's revision, or an epoch, decreased
)

// Contradiction is what can't be as it was reported.
type Contradiction struct {
	Kind    string         `json:"kind"`
	Sidecar string         `json:"sidecar"`
	Time    version.Millis `json:"time_ms"` // of the entry that shows it, by the auditor's clock
	What    string         `json:"what"`
}

// checkEntries checks the last entries of a sidecar, of which fresh are new, for contradictions.
func (h *History) checkEntries(name string, p *SidecarLog, newEntries int) {
	first := len(p.Entries) - newEntries
	revisions, epoch := map[string]int64{}, uint64(0)
	for i, e := range p.Entries {
		if i > 0 && !isNext(p.Entries[i-1].Entry, e.Entry) { // entries in between are missing, with or without a fault
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

// isNext reports whether b follows a in the chain.
func isNext(a, b auditlog.Entry) bool { return b.Seq == a.Seq+1 && b.Prev == a.Sum }

// isServed reports whether a list is from a list service, and not from another process or the configuration.
func isServed(l version.List) bool {
	return l.Digest != 0 && l.From != "known" && l.From != "snapshot" && l.From != "former" && l.From != ""
}

// recordList records a list's content under its name.
func (h *History) recordList(sidecar string, at version.Millis, l version.List) {
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
		h.FirstLists[key] = firstList{l.Digest, sidecar}
	case first.Digest != l.Digest:
		h.contradiction(ConflictingLists, sidecar, at, fmt.Sprintf("%s revision %d is %016x here and %016x at %s",
			l.From, l.Revision, uint64(l.Digest), uint64(first.Digest), first.Sidecar))
	}
}

// checkEarly checks whether a list was adopted while the list service served a lower revision, before and after, and served
// this one only later. A service that restarts its revisions in between proves nothing, nor does a time before the first call.
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

// recordOrder records a minimum version that a sidecar accepted.
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

// contradiction records a contradiction, once.
func (h *History) contradiction(kind, sidecar string, at version.Millis, what string) {
	switch same := func(c Contradiction) bool { return c.Kind == kind && c.Sidecar == sidecar && c.What == what }; {
	case slices.ContainsFunc(h.Contradictions, same):
	case len(h.Contradictions) >= maxContradictions:
		h.Omitted++
	default:
		h.Contradictions = append(h.Contradictions, Contradiction{kind, sidecar, at, what})
	}
}
