package registry

import "cmp"

// State is what an endpoint reported of itself last, or how it ended.
type State uint8

// The states of an endpoint; of two reports with the same sequence the one with the later state in this list supersedes the other.
const (
	Ready State = iota + 1
	Draining
	Expired      // its owner received no heartbeat for too long
	Deregistered // it announced its end, or another endpoint has its address
)

// hasEnded reports whether the endpoint serves no requests any more.
func (s State) hasEnded() bool { return s >= Expired }

// Endpoint is one process of an endpoint as a report describes it. It travels as a CBOR map with the integer keys of its tags;
// the router's status shows it as JSON under the names of its fields, which therefore stay.
type Endpoint struct {
	ID       string `cbor:"1,keyasint"` // of the process: a restarted endpoint has another one
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Capacity int    `cbor:"5,keyasint"` // as its heartbeats give it
	State    State  `cbor:"6,keyasint"`
	Sequence uint64 `cbor:"7,keyasint"`           // of its last heartbeat
	Owner    string `cbor:"8,keyasint,omitempty"` // internal address of the router that receives its heartbeats; empty: none known
	WarmupMs int64  `cbor:"9,keyasint,omitempty"` // milliseconds of warm-up that remained at its last heartbeat
}

// supersedes reports whether this report replaces another one of the same endpoint.
func (e *Endpoint) supersedes(other *Endpoint) bool {
	if other.State == Deregistered {
		return false // a process that has ended does not come back
	}
	return e.State == Deregistered || cmp.Or(cmp.Compare(e.Sequence, other.Sequence), cmp.Compare(e.State, other.State)) > 0
}

// differs reports whether two reports differ in more than their sequence.
func (e *Endpoint) differs(other *Endpoint) bool {
	return e.State != other.State || e.Owner != other.Owner || e.Address != other.Address || e.Service != other.Service ||
		e.Capacity != other.Capacity
}
