package membership

import "cmp"

// Status is the state of a member.
type Status uint8

// The states of a member. Of two reports with the same incarnation, the one with the later state in this list supersedes the
// other.
const (
	Alive Status = iota + 1
	Dead         // a monitor received no message from the member for Timing.FailureTimeout
	Left         // the member announced its shutdown
)

// Member is a report of one router. It is encoded as a CBOR map with the integer keys of its tags.
type Member struct {
	Address     string `cbor:"1,keyasint"`           // internal address, which identifies the member
	Control     string `cbor:"2,keyasint,omitempty"` // control address
	Zone        string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint,omitempty"`
	Core        bool   `cbor:"5,keyasint,omitempty"` // counts for the quorum
	BootID      uint64 `cbor:"6,keyasint"`           // random number that identifies the router's process
	Incarnation uint64 `cbor:"7,keyasint"`           // raised by the member itself to refute a report
	Status      Status `cbor:"8,keyasint"`
}

// supersedes reports whether this report replaces another report of the same member.
func (m *Member) supersedes(other *Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.Status, other.Status)) > 0
}
