package registry

import "time"

// State is the state that an endpoint last reported, or how it ended.
type State uint8

// The states of an endpoint. Of two reports with the same sequence, the one with the later state in this list supersedes the
// other.
const (
	Ready State = iota + 1
	Draining
	Expired      // no heartbeat was received in time
	Deregistered // it announced its shutdown, or another endpoint has replaced it at its address
)

// hasEnded reports whether the endpoint no longer serves requests.
func (s State) hasEnded() bool { return s >= Expired }

// Endpoint is a report of one process of an endpoint. It is encoded as a CBOR map with the integer keys of its tags. The
// router's status shows it as JSON under the names of its fields, which therefore must not change.
type Endpoint struct {
	ID       string `cbor:"1,keyasint"` // identifies the process; a restarted endpoint has another ID
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Capacity int    `cbor:"5,keyasint"` // as reported by its heartbeats
	State    State  `cbor:"6,keyasint"`
	Sequence uint64 `cbor:"7,keyasint"` // number of its last heartbeat
	// Owner is the internal address of the router that receives its heartbeats. It is empty if that is not known, and if another
	// router let the endpoint expire.
	Owner    string `cbor:"8,keyasint,omitempty"`
	WarmupMs int64  `cbor:"9,keyasint,omitempty"` // milliseconds of warm-up remaining at its last heartbeat

	// EndedMs is set in reports of endpoints that have ended: the time since then in milliseconds, when the report was made.
	// Reports of builds up to 7830c0d8 lack it.
	EndedMs int64 `cbor:"10,keyasint,omitempty" json:",omitempty"`
}

// endedAgo returns the time between the end of the endpoint and this report.
func (e *Endpoint) endedAgo() time.Duration { return time.Duration(e.EndedMs) * time.Millisecond }

// supersedes reports whether this report replaces another report of the same endpoint. Only the router that received a heartbeat
// knows whether the next one came. Of two reports with the same sequence and different owners, the active one therefore supersedes the
// expired one, and an expired one without an owner never supersedes an active one that has one.
func (e *Endpoint) supersedes(other *Endpoint) bool {
	switch {
	case other.State == Deregistered:
		return false // a deregistered process never becomes active again
	case e.State == Deregistered:
		return true
	case e.State == Expired && e.Owner == "" && other.Owner != "" && !other.State.hasEnded():
		return false
	case e.Sequence != other.Sequence:
		return e.Sequence > other.Sequence
	case e.Owner != other.Owner && e.State.hasEnded() != other.State.hasEnded():
		return other.State.hasEnded()
	}
	return e.State > other.State
}

// isOutdated reports whether a heartbeat was sent before another report of the same endpoint, or is the same heartbeat again.
// Endpoints that count from 0, or don't count, may send several heartbeats with sequence 0.
func (e *Endpoint) isOutdated(known *Endpoint) bool {
	if e.State == Deregistered {
		return false
	}
	isDouble := e.Sequence == known.Sequence && e.Sequence > 0 && e.State <= known.State
	return e.Sequence < known.Sequence || isDouble
}

// differs reports whether two reports differ in state, owner, address, service or capacity.
func (e *Endpoint) differs(other *Endpoint) bool {
	return e.State != other.State || e.Owner != other.Owner || e.Address != other.Address || e.Service != other.Service ||
		e.Capacity != other.Capacity
}
