// Package auditlog keeps what one sidecar did under which version: a hash chain of entries, each with the checksum of the one
// before, bounded in memory and, where there is a disk, in files.
//
// Package daemon writes it, and package audit reads what sidecars report of it. A Log may be used by many goroutines at once;
// on a request's path Sent and Ended take one short lock and allocate only at the first attempt of a class at a host. A Writer
// has a goroutine of its own. Check, LastOrder and ParseReport are pure.
//
// The entries' JSON is what checksums are made of and what other releases read: names and forms stay. Errors begin with
// "trail:", as they always have.
package auditlog

import "pinelb.example/pinelb/internal/version"

// Kind is what an entry is about.
type Kind string

// The kinds of entries. The values are stored.
const (
	Started        Kind = "began"   // a process of the sidecar starts: Incarnation is its own, From what it continues
	Adopted        Kind = "adopted" // Version is acted on from here on, under the number VersionID
	Counted        Kind = "counted" // attempts under the number VersionID since the last entry of this kind
	Ordered        Kind = "ordered" // an auditor's order was accepted or, with Reason, rejected
	VerdictChanged Kind = "judged"  // State is the process's verdict on itself from here on, Reason why
	Stopped        Kind = "stopped" // the process did not run for Duration
	Lost           Kind = "lost"    // Count entries up to that of the number Upto came to no disk
	Ended          Kind = "ended"   // a graceful shutdown
)

// Entry is a link of the chain.
type Entry struct {
	Seq  uint64 `json:"seq"`  // from 1, over all processes of a sidecar
	Prev string `json:"prev"` // Sum of the entry before; empty for the first
	Sum  string `json:"sum"`  // 32 hexadecimal digits: checksum of all the rest of this entry

	At          version.Millis `json:"at_ms"` // Unix time by the sidecar's wall clock
	Up          version.Millis `json:"up_ms"` // by the clock since its machine's start, which isn't set; 0: unknown
	Incarnation string         `json:"life"`  // of the process
	Kind        Kind           `json:"kind"`

	VersionID uint32           `json:"under,omitempty"` // numbers adoptions within an incarnation, from 1
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
	Unsent    int    `json:"never,omitempty"` // of N, those that certainly didn't reach the host: no connection, or not sent
	Withdrawn int    `json:"left,omitempty"`  // of N, those that were cancelled, which the host may not have seen
}

// Report is what a sidecar answers an auditor: GET /admin/audit?since=SEQ.
type Report struct {
	Name           string                  `json:"name"`
	Zone           string                  `json:"zone"`
	Site           string                  `json:"site"`
	Rank           int                     `json:"rank"`
	Instances      int                     `json:"instances"` // by its settings
	Incarnation    string                  `json:"life"`
	Now            version.Millis          `json:"now_ms"`          // Unix time by its wall clock
	Up             version.Millis          `json:"up_ms,omitempty"` // by the clock since its machine's start, as in entries; 0: unknown
	Version        version.Version         `json:"version"`
	VersionID      uint32                  `json:"under"`
	VersionAge     version.Millis          `json:"since_ms"`          // for how long it has acted on Version
	ListAge        version.Millis          `json:"heard_ms"`          // since the list service's last answer; -1: never
	State          string                  `json:"state"`             // "acts", "behind", "waking" or "shut"
	Reason         string                  `json:"why,omitempty"`     // why, where State isn't plainly "acts"
	Minimum        *version.MinimumVersion `json:"floor,omitempty"`   // in force here
	Permit         *version.Permit         `json:"ticket,omitempty"`  // in force here
	NeedsSuccessor bool                    `json:"succeed,omitempty"` // its build is below the minimum: a process of another build has to succeed it
	Entries        []Entry                 `json:"entries"`           // from since on, the oldest first, as many as fit
	Next           uint64                  `json:"next"`              // the since of the next request
	Oldest         uint64                  `json:"first"`             // the oldest entry that is kept
}
