// Package trail keeps what one sidecar did under which version: a chain of entries, each with the digest of the one before,
// bounded in memory and, where there is a disk, on it.
package auditlog

import "pinelb.example/pinelb/internal/version"

// Kind says what an entry tells.
type Kind string

// The kinds of entries.
const (
	Started        Kind = "began"   // a process of the sidecar starts: Life is its own, From what it starts from
	Adopted        Kind = "adopted" // Version is acted on from here on, under the number Under
	Counted        Kind = "counted" // attempts made under the number Under since the entry of this kind before
	Ordered        Kind = "ordered" // an auditor's order was taken or, with Why, refused
	VerdictChanged Kind = "judged"  // State is the verdict on itself from here on, Why the reason
	Stopped        Kind = "stopped" // the process did not run for Took ms
	Lost           Kind = "lost"    // Count entries up to that of the number Upto came to no disk
	Ended          Kind = "ended"   // a planned end
)

// Entry is a link of the chain.
type Entry struct {
	Seq  uint64 `json:"seq"`  // from 1, over all processes of a sidecar
	Prev string `json:"prev"` // Sum of the entry before; empty for the first
	Sum  string `json:"sum"`  // 32 hexadecimal digits: of Prev and all the rest of this entry

	At          version.Millis `json:"at_ms"` // Unix time by the sidecar's wall clock
	Up          version.Millis `json:"up_ms"` // by the clock since its machine's start, which nobody sets; 0 is not known
	Incarnation string         `json:"life"`  // of the process
	Kind        Kind           `json:"kind"`

	VersionID uint32           `json:"under,omitempty"` // numbers adoptions within a life, from 1
	Version   *version.Version `json:"version,omitempty"`
	From      string           `json:"from,omitempty"` // "kept": the entry repeats one that had to be dropped
	Attempts  []Attempts       `json:"attempts,omitempty"`
	Crossed   int              `json:"crossed,omitempty"` // Counted: attempts of streams whose first attempt was made under another number
	Order     *version.Order   `json:"order,omitempty"`
	State     string           `json:"state,omitempty"`
	Reason    string           `json:"why,omitempty"`
	Duration  version.Millis   `json:"took_ms,omitempty"`
	N         int              `json:"n,omitempty"`
	UpTo      uint64           `json:"upto,omitempty"`
}

// Attempts are those of one class at one host.
type Attempts struct {
	Class     string `json:"class"`
	Host      string `json:"host"`            // discovery's id
	N         int    `json:"n"`               // decided
	Unsent    int    `json:"never,omitempty"` // of them those that proved never to have reached the host: no connection, or held back
	Withdrawn int    `json:"left,omitempty"`  // of them those that were withdrawn, which the host may not have seen
}

// Report is what a sidecar answers an auditor: GET /admin/audit?since=SEQ.
type Report struct {
	Name           string                  `json:"name"`
	Zone           string                  `json:"zone"`
	Site           string                  `json:"site"`
	Rank           int                     `json:"rank"`
	Instances      int                     `json:"instances"` // as its settings tell
	Incarnation    string                  `json:"life"`
	Now            version.Millis          `json:"now_ms"`          // Unix time by its wall clock
	Up             version.Millis          `json:"up_ms,omitempty"` // by the clock since its machine's start, as entries have it; 0 is not known
	Version        version.Version         `json:"version"`
	VersionID      uint32                  `json:"under"`
	VersionAge     version.Millis          `json:"since_ms"`          // for how long it has acted on that
	ListAge        version.Millis          `json:"heard_ms"`          // how long ago the list service answered; -1 is never
	State          string                  `json:"state"`             // "acts", "behind", "waking" or "shut"
	Reason         string                  `json:"why,omitempty"`     // and why, where it does not simply act
	Minimum        *version.MinimumVersion `json:"floor,omitempty"`   // in force here
	Permit         *version.Permit         `json:"ticket,omitempty"`  // held
	NeedsSuccessor bool                    `json:"succeed,omitempty"` // its build is under the floor: it has to be succeeded
	Entries        []Entry                 `json:"entries"`           // from since on, the oldest first, so many as fit
	Next           uint64                  `json:"next"`              // what to ask since the next time
	Oldest         uint64                  `json:"first"`             // the oldest entry that is kept
}
