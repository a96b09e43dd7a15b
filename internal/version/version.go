// Package version names what a sidecar acts on, and decides who is behind, who may act and who may be shut out. It is pure:
// times and events in, verdicts out. Times are of a clock that goes on while the process is stopped and never goes back.
package version

import (
	"fmt"
	"strconv"
	"time"
)

// Digest tells contents apart: equal contents have equal digests at every sidecar. 0 is none. As text it is 16 hexadecimal
// digits, none is the empty text.
type Digest uint64

// MarshalText writes a digest.
func (d Digest) MarshalText() ([]byte, error) {
	if d == 0 {
		return nil, nil
	}
	return fmt.Appendf(nil, "%016x", uint64(d)), nil
}

// UnmarshalText reads a digest.
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

// RefreshList is a list of upstream hosts. Revisions are ordered within one life of one list service; a service that has restarted may
// give one twice, so that the digest, and not the revision, says which list it is. Digests only differ.
type List struct {
	From     string `json:"from"` // who told it: the list service's address, "known", "snapshot" or "former"
	Revision int64  `json:"revision"`
	Digest   Digest `json:"digest"` // of the members but for their addresses, which differ from one sidecar to the next
}

// Version is what a sidecar acts on. Epochs are ordered, everywhere and for ever; lists as List says; settings, the operator's
// file and builds only differ.
type Version struct {
	Epoch    uint64 `json:"epoch"` // of the last order that it has taken; 0 is none
	List     List   `json:"list"`
	Settings Digest `json:"settings"` // of the platform's settings as they were read
	File     Digest `json:"file"`     // of the operator's file; 0 is none
	Build    string `json:"build"`
}

// Millis is a time in milliseconds, as orders and answers have it.
type Millis int64

// D is the time.
func (m Millis) D() time.Duration { return time.Duration(m) * time.Millisecond }

// Minimum is the least version that may act. What it leaves empty may be anything.
type MinimumVersion struct {
	Epoch    uint64   `json:"epoch"` // of two orders the one of the lower epoch loses,
	By       string   `json:"by"`    // and of two of the same epoch the one whose auditor's name comes first
	Site     string   `json:"site"`
	List     Digest   `json:"list"`     // this one,
	Revision int64    `json:"revision"` // or one of a later revision
	Settings Digest   `json:"settings"`
	File     Digest   `json:"file"`
	Builds   []string `json:"builds"`    // one of them
	Grace    Millis   `json:"grace_ms"`  // from when it is taken until who is under it is behind
	Spread   Millis   `json:"spread_ms"` // over which those under it ask again, each at a moment of its own
	Validity Millis   `json:"for_ms"`    // after which it is no floor any more
}

// Permit is the leave to shut oneself out. Nobody is shut out without one, and there are as many as the share allows.
type Permit struct {
	Number   int    `json:"no"`        // from 0; each number is one sidecar's at a time
	Issued   Millis `json:"issued_ms"` // Unix time by the auditor's clock
	Validity Millis `json:"for_ms"`    // it lapses after that, unless it comes anew; 5 s at most
}

// Order is what an auditor tells one sidecar.
type Order struct {
	Minimum MinimumVersion `json:"floor"`
	Permit  *Permit        `json:"ticket,omitempty"` // nil: it is not to shut itself out
}
