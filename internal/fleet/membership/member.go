package membership

import "cmp"

// Status is what is known of a member.
type Status uint8

// The states of a member; of two reports with the same incarnation the one with the later state in this list supersedes the other.
const (
	Alive Status = iota + 1
	Dead         // a monitor received nothing from it for Timing.FailureTimeout
	Left         // it announced that it shuts down
)

// Member is one router as a report describes it. It travels as a CBOR map with the integer keys of its tags.
type Member struct {
	Address     string `cbor:"1,keyasint"`           // internal address, which identifies the member
	Control     string `cbor:"2,keyasint,omitempty"` // control address
	Zone        string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint,omitempty"`
	Core        bool   `cbor:"5,keyasint,omitempty"` // it counts for the quorum
	BootID      uint64 `cbor:"6,keyasint"`           // random number of its process
	Incarnation uint64 `cbor:"7,keyasint"`           // raised by the member itself to refute a report
	Status      Status `cbor:"8,keyasint"`
}

// supersedes reports whether this report replaces another one of the same member.
func (m *Member) supersedes(other *Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.Status, other.Status)) > 0
}
