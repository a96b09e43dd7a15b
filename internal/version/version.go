// Package version identifies what a sidecar acts on (list, settings, operator's file, build), and decides which sidecars are
// behind, which may act and which may be shut out. An Actor decides for one sidecar, an Auditor for one auditor.
//
// It is pure: times and events in, verdicts and orders out. Times are of a monotonic clock that goes on while the process is
// stopped, and the owner of an Actor or an Auditor serializes the calls. Package daemon drives the Actor, package audit the
// Auditor.
//
// Invariants: at most the share of a fleet and of each zone is shut out at once, however many auditors there are; a sidecar
// accepts no order that is less than one it has accepted; of two auditors in two partitions at most one issues permits.
package version

import (
	"fmt"
	"strconv"
	"time"
)

// Digest identifies contents: equal contents have equal digests at every sidecar. 0 is none. As text it has 16 hexadecimal
// digits; none is the empty text.
type Digest uint64

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	if d == 0 {
		return nil, nil
	}
	return fmt.Appendf(nil, "%016x", uint64(d)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = 0
		return nil
	}
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("version: a digest has 16 hexadecimal digits, not %q", text)
	}
	*d = Digest(n)
	return nil
}

// List identifies a list of upstream hosts. Revisions are ordered within one process of one list service; a service that has
// restarted may assign one twice, so that the digest, and not the revision, identifies the list. Digests have no order.
type List struct {
	From     string `json:"from"` // its source: the list service's address, "known", "snapshot" or "former"
	Revision int64  `json:"revision"`
	Digest   Digest `json:"digest"` // of the members without their addresses, which differ between sidecars
}

// Version is what a sidecar acts on. Epochs are totally ordered; lists as List says; settings, the operator's file and builds
// have no order.
type Version struct {
	Epoch    uint64 `json:"epoch"` // of the last order that it has accepted; 0 is none
	List     List   `json:"list"`
	Settings Digest `json:"settings"` // of the platform's settings as they were read
	File     Digest `json:"file"`     // of the operator's file; 0 is none
	Build    string `json:"build"`
}

// Millis is a duration, or a Unix time, in milliseconds.
type Millis int64

// D returns the duration.
func (m Millis) D() time.Duration { return time.Duration(m) * time.Millisecond }

// MinimumVersion is the least version that may act. What it leaves empty may be anything.
type MinimumVersion struct {
	Epoch    uint64   `json:"epoch"` // of two orders the one with the lower epoch is superseded,
	By       string   `json:"by"`    // and of two with one epoch the one whose auditor's name sorts first
	Site     string   `json:"site"`
	List     Digest   `json:"list"`     // this one,
	Revision int64    `json:"revision"` // or one of a later revision
	Settings Digest   `json:"settings"`
	File     Digest   `json:"file"`
	Builds   []string `json:"builds"`    // one of them
	Grace    Millis   `json:"grace_ms"`  // from its acceptance until a sidecar below it is behind
	Spread   Millis   `json:"spread_ms"` // over which the sidecars below it distribute their requests
	Validity Millis   `json:"for_ms"`    // after which it has expired
}

// Permit is a lease that allows a sidecar to shut itself out. Nobody is shut out without one, and there are as many as the
// share allows.
type Permit struct {
	Number   int    `json:"no"`        // from 0; each number is leased to one sidecar at a time
	Issued   Millis `json:"issued_ms"` // Unix time by the auditor's clock
	Validity Millis `json:"for_ms"`    // it expires after that unless it is renewed; 5 s at most
}

// Order is what an auditor sends one sidecar.
type Order struct {
	Minimum MinimumVersion `json:"floor"`
	Permit  *Permit        `json:"ticket,omitempty"` // nil: it is not to shut itself out
}
