package auditlog

import (
	"fmt"
)

// FaultKind is what is wrong with a log.
type FaultKind string

// The kinds of faults. That a log begins after its first entry is none: older entries are dropped.
const (
	Changed    FaultKind = "changed"    // an entry doesn't match its checksum
	Missing    FaultKind = "hole"       // Count entries before this one are missing, and no Lost entry covers them
	Unchained  FaultKind = "unchained"  // the entry before it isn't the one that its Prev names
	Disordered FaultKind = "disordered" // it comes after a later entry of its process, or twice
	Unreadable FaultKind = "unreadable" // a line of a file isn't an entry
)

// Fault is a place at which a log is damaged.
type Fault struct {
	Seq   uint64    `json:"seq"` // of the entry at which it shows; 0: unknown
	Kind  FaultKind `json:"flaw"`
	Count uint64    `json:"n,omitempty"`    // Missing: how many
	File  string    `json:"file,omitempty"` // Unreadable: its name
	Line  int       `json:"line,omitempty"` // Unreadable: from 1
}

func (f Fault) String() string {
	switch f.Kind {
	case Missing:
		return fmt.Sprintf("entry %d: a hole, %d before it are missing", f.Seq, f.Count)
	case Unreadable:
		return fmt.Sprintf("%s, line %d: unreadable", f.File, f.Line)
	}
	return fmt.Sprintf("entry %d: %s", f.Seq, f.Kind)
}
