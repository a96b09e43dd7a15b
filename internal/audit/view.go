package audit

import (
	"cmp"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/version"
)

// Status is what an audit found of a sidecar.
type Status string

// The statuses. A sidecar that was not reached never counts as up to date, whatever it reported before.
const (
	UpToDate   Status = version.UpToDate
	Behind     Status = version.Behind
	ShutOut    Status = version.ShutOut
	NotReached Status = version.NotReached
	Unknown    Status = version.Unknown // it answers, but there is nothing to compare it with
)

// statuses are all statuses, the worst first.
var statuses = []Status{NotReached, ShutOut, Behind, Unknown, UpToDate}

// Row is a sidecar's line in a view.
type Row struct {
	Name             string           `json:"name"`
	Zone             string           `json:"zone"`
	Addr             string           `json:"addr"`
	Status           Status           `json:"status"`
	Since            version.Millis   `json:"since_ms,omitempty"` // Unix time since when it has the status, as far as this audit has seen
	State            string           `json:"state,omitempty"`    // as it reports itself
	Reason           string           `json:"why,omitempty"`      // what it lacks, or why it was not reached or is Unknown
	Version          *version.Version `json:"version,omitempty"`  // the last one that is known
	VersionAge       version.Millis   `json:"acted_ms"`           // for how long it had acted on Version when it answered
	ListAge          version.Millis   `json:"heard_ms"`           // since the list service's last answer, by then; -1: never
	LastAnswer       version.Millis   `json:"seen_ms,omitempty"`  // Unix time; 0: never
	Permit           *version.Permit  `json:"ticket,omitempty"`   // in force
	NeedsSuccessor   bool             `json:"succeed,omitempty"`  // a process of another build has to succeed it
	Late             []LateAttempts   `json:"late,omitempty"`     // by host
	Dropped          bool             `json:"dropped,omitempty"`  // the beginning of its log could not be read
	ClockOffset      version.Millis   `json:"clock_ms"`           // of its wall clock, ahead of the auditor's
	ClockUncertainty version.Millis   `json:"clock_by_ms"`        // of ClockOffset, in either direction
	OrderError       string           `json:"refused,omitempty"`  // why it rejected the last order
}

// View is an audit's findings, as they are shown.
type View struct {
	At              version.Millis          // Unix time
	Duration        version.Millis          // of the round
	Round           int                     // from 1
	Site            string                  // of most sidecars
	By              string                  // the auditor's name
	Reference       version.List            // Digest 0: none
	ReferenceSource string                  // what the reference is
	Minimum         *version.MinimumVersion // the one that this audit sends; nil: none
	NoOrdersReason  string                  // why it issues no permits, or sends no orders; empty otherwise
	Rows            []Row                   // the worst first, then by name
	InventoryFaults []string                // of the inventory
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

// Exit statuses of "pinelb audit".
const (
	ExitAllUpToDate = 0 // all listed sidecars were reached and are up to date, and there is no contradiction
	ExitNotUpToDate = 1
	ExitFaulty      = 2
	ExitNoneReached = 3
)

// Exit returns the exit status of a view.
func (v *View) Exit() int {
	switch {
	case v.Count(NotReached) == len(v.Rows):
		return ExitNoneReached
	case v.Count(UpToDate) < len(v.Rows), len(v.Contradictions) > 0, len(v.InventoryFaults) > 0:
		return ExitNotUpToDate
	}
	return ExitAllUpToDate
}

// Verdict summarizes a view in a sentence.
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

// sortRows sorts rows by status, the worst first, and then by name.
func sortRows(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(slices.Index(statuses, a.Status), slices.Index(statuses, b.Status)), cmp.Compare(a.Name, b.Name))
	})
}
