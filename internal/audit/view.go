package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// Status is what an audit found of a sidecar.
type Status string

// The statuses. One that was not reached is never counted as up to date, whatever it said before.
const (
	UpToDate   Status = version.UpToDate
	Behind     Status = version.Behind
	ShutOut    Status = version.ShutOut
	NotReached Status = version.NotReached
	Unknown    Status = version.Unknown // it answers, but there is nothing to measure it by
)

// statuses are all of them, the worst first.
var statuses = []Status{NotReached, ShutOut, Behind, Unknown, UpToDate}

const (
	maxEvents = 300 // of the history, in a view: the newest
	maxLists  = 50  // lists, in a view: the newest
)

// Row is what is told of one sidecar.
type Row struct {
	Name             string           `json:"name"`
	Zone             string           `json:"zone"`
	Addr             string           `json:"addr"`
	Status           Status           `json:"status"`
	Since            version.Millis   `json:"since_ms,omitempty"` // Unix time from which on it is that, as far as this audit has seen
	State            string           `json:"state,omitempty"`    // as it says itself
	Reason           string           `json:"why,omitempty"`      // what it lacks of the reference, or why it was not reached or can't be judged
	Version          *version.Version `json:"version,omitempty"`  // the last that is known
	VersionAge       version.Millis   `json:"acted_ms"`           // for how long it had acted on that when it answered
	ListAge          version.Millis   `json:"heard_ms"`           // how long ago it had then heard the list service; -1 is never
	LastAnswer       version.Millis   `json:"seen_ms,omitempty"`  // Unix time of its last answer; 0 is never
	Permit           *version.Permit  `json:"ticket,omitempty"`   // held
	NeedsSuccessor   bool             `json:"succeed,omitempty"`  // its build has to be succeeded
	Late             []LateAttempts   `json:"late,omitempty"`     // by host
	Dropped          bool             `json:"dropped,omitempty"`  // its trail's beginning could not be read
	ClockOffset      version.Millis   `json:"clock_ms"`           // by how much its wall clock goes before the auditor's
	ClockUncertainty version.Millis   `json:"clock_by_ms"`        // give or take that
	OrderError       string           `json:"refused,omitempty"`  // why it did not take the last order
}

// ListAdoption is a list and who acted on it.
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

// View is what an audit found, as it is shown.
type View struct {
	At              version.Millis          // Unix time
	Duration        version.Millis          // of the round
	Round           int                     // from 1
	Site            string                  // of most sidecars
	By              string                  // the auditor's name
	Reference       version.List            // none: Digest 0
	ReferenceSource string                  // what the reference is
	Minimum         *version.MinimumVersion // the one this audit raises
	NoOrdersReason  string                  // why it shuts nobody out, or orders nothing; empty otherwise
	Rows            []Row                   // the worst first, then by name
	InventoryFaults []string                // of the roster
	Contradictions  []Contradiction         // the oldest first
	Omitted         int                     // contradictions beyond those
	Lists           []ListAdoption          // the newest first
	Events          []Event                 // the newest first
}

// Count is how many sidecars have a status.
func (v *View) Count(s Status) (n int) {
	for i := range v.Rows {
		if v.Rows[i].Status == s {
			n++
		}
	}
	return n
}

// The exit statuses of an audit; that of faulty arguments is the command's.
const (
	ExitAllUpToDate = 0 // all listed sidecars were reached and are up to date, and nothing contradicts itself
	ExitNotUpToDate = 1
	ExitFaulty      = 2
	ExitNoneReached = 3
)

// Exit is the exit status for a view.
func (v *View) Exit() int {
	switch {
	case v.Count(NotReached) == len(v.Rows):
		return ExitNoneReached
	case v.Count(UpToDate) < len(v.Rows), len(v.Contradictions) > 0, len(v.InventoryFaults) > 0:
		return ExitNotUpToDate
	}
	return ExitAllUpToDate
}

// Verdict is a view in a sentence.
func (v *View) Verdict() string {
	text := fmt.Sprintf("%d of %d up to date", v.Count(UpToDate), len(v.Rows))
	for _, s := range []Status{Behind, ShutOut, NotReached, Unknown} {
		if n := v.Count(s); n > 0 {
			text += fmt.Sprintf(", %d %s", n, s)
		}
	}
	if n := len(v.Contradictions) + v.Omitted; n > 0 {
		text += fmt.Sprintf("; %s", plural(n, "contradiction"))
	}
	if n := len(v.InventoryFaults); n > 0 {
		text += fmt.Sprintf("; %s of the roster", plural(n, "fault"))
	}
	return text
}

func plural(n int, what string) string {
	if n != 1 {
		what += "s"
	}
	return fmt.Sprintf("%d %s", n, what)
}

// sortRows has the worst come first.
func sortRows(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(slices.Index(statuses, a.Status), slices.Index(statuses, b.Status)), cmp.Compare(a.Name, b.Name))
	})
}

// lists tells of each list who acted on it, the newest first.
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

// events are the newest of the merged history, the newest first. Counts are added up elsewhere.
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

// newest is the list that was first adopted last: without a list service to ask it is what a fleet goes towards. What a
// former process or the configuration gave is never news, nor is what a trail repeats because it was dropped.
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

// known is since when a list is known to have been told: 0 is never.
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

// behind is since when a sidecar does not act on a list, as its trail tells, but not before the list was known: 0 is not known.
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

// adopts tells whether an entry is an adoption.
func isAdoption(e TimedEntry) bool { return e.Kind == auditlog.Adopted && e.Version != nil }
