package audit

import (
	"cmp"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxEvents = 300 // of a view: the newest
	maxLists  = 50  // of a view: the newest
)

// ListAdoption is a list, and which sidecars acted on it.
type ListAdoption struct {
	List      version.List   `json:"list"`
	First     version.Millis `json:"first_ms"` // Unix time of the first adoption that is known
	FirstBy   string         `json:"first_by"`
	Last      version.Millis `json:"last_ms"` // and of the last sidecar's first
	LastBy    string         `json:"last_by"`
	Adopted   int            `json:"adopted"` // sidecars
	ActiveNow int            `json:"now"`     // of those reached
}

// Event is an entry of the merged history.
type Event struct {
	TimedEntry
	Sidecar string
}

// lists returns for each list which sidecars acted on it, the newest first.
func (h *History) lists(rows []Row) []ListAdoption {
	all := map[version.List]*ListAdoption{}
	at := func(l version.List) *ListAdoption {
		l.From = "" // sidecars may know one list service by several addresses
		if all[l] == nil {
			all[l] = &ListAdoption{List: l}
		}
		return all[l]
	}
	for _, name := range slices.Sorted(maps.Keys(h.Sidecars)) {
		firsts := map[version.List]version.Millis{}
		for _, e := range h.Sidecars[name].Entries {
			if !isAdoption(e) || e.Version.List.Digest == 0 {
				continue
			}
			l := e.Version.List
			l.From = ""
			if old, seen := firsts[l]; !seen || e.Time < old {
				firsts[l] = e.Time
			}
		}
		for l, t := range firsts {
			one := at(l)
			if one.Adopted == 0 || t < one.First {
				one.First, one.FirstBy = t, name
			}
			if one.Adopted == 0 || t > one.Last {
				one.Last, one.LastBy = t, name
			}
			one.Adopted++
		}
	}
	for i := range rows {
		if r := &rows[i]; r.Status != NotReached && r.Version != nil && r.Version.List.Digest != 0 {
			at(r.Version.List).ActiveNow++
		}
	}
	out := make([]ListAdoption, 0, len(all))
	for _, l := range all {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b ListAdoption) int {
		return cmp.Or(cmp.Compare(b.First, a.First), cmp.Compare(b.List.Revision, a.List.Revision), cmp.Compare(a.List.Digest, b.List.Digest))
	})
	return out[:min(len(out), maxLists)]
}

// events returns the newest entries of the merged history, the newest first, without counts.
func (h *History) events() []Event {
	var all []Event
	for name, p := range h.Sidecars {
		for _, e := range p.Entries[max(0, len(p.Entries)-maxEvents):] {
			if e.Kind != auditlog.Counted {
				all = append(all, Event{e, name})
			}
		}
	}
	slices.SortFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(b.Time, a.Time), cmp.Compare(a.Sidecar, b.Sidecar), cmp.Compare(b.Seq, a.Seq))
	})
	return all[:min(len(all), maxEvents)]
}

// newestList returns the list whose first adoption is the latest: without a list service to ask it is what a fleet moves
// towards. Lists of another process or of the configuration don't count, nor do entries that repeat a dropped one.
func (h *History) newestList() (newest version.List) {
	firsts := map[version.List]version.Millis{}
	for _, p := range h.Sidecars {
		for _, e := range p.Entries {
			if isAdoption(e) && e.From != sourceRepeated && isServed(e.Version.List) {
				if t, seen := firsts[e.Version.List]; !seen || e.Time < t {
					firsts[e.Version.List] = e.Time
				}
			}
		}
	}
	for l, t := range firsts {
		last := firsts[newest]
		if newest.Digest == 0 || cmp.Or(cmp.Compare(t, last), cmp.Compare(l.Revision, newest.Revision), cmp.Compare(l.From, newest.From)) > 0 {
			newest = l
		}
	}
	return newest
}

// listKnownSince returns since when a list is known to have been served; 0: never.
func (h *History) listKnownSince(l version.List) (first version.Millis) {
	note := func(t version.Millis) {
		if first == 0 || t < first {
			first = t
		}
	}
	for _, t := range h.ListIntervals {
		if t.List == l {
			note(t.From)
		}
	}
	for _, p := range h.Sidecars {
		for _, e := range p.Entries {
			if isAdoption(e) && e.Version.List.Digest == l.Digest && e.Version.List.Revision == l.Revision {
				note(e.Time)
			}
		}
	}
	return first
}

// behindSince returns since when a sidecar does not act on a list, by its log, but not before the list was known; 0: unknown.
func (h *History) behindSince(name string, l version.List, known version.Millis) (since version.Millis) {
	since = known
	p := h.Sidecars[name]
	if p == nil || l.Digest == 0 {
		return 0
	}
	acts := false
	for _, e := range p.Entries {
		if isAdoption(e) {
			if was := acts; e.Version.List.Digest == l.Digest {
				acts = true
			} else if acts = false; was {
				since = e.Time
			}
		}
	}
	if acts { // it lacks something else
		return 0
	}
	return since
}

// isAdoption reports whether an entry is an adoption.
func isAdoption(e TimedEntry) bool { return e.Kind == auditlog.Adopted && e.Version != nil }
