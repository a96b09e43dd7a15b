package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// Call is an operation for a proposer to execute.
type Call struct {
	ID        uint64 // assigned by the caller, returned in the Completion
	Operation coordination.Operation
	Deadline  time.Duration // time after which it completes as Unclear or NotExecuted
	ParkUntil time.Duration // Watch: time at which it completes even without events

	proposed bool // a message was sent that may make the operation take effect
}

// Certainty says whether the operation of a completed call took effect.
type Certainty uint8

// The certainties of a Completion.
const (
	Decided     Certainty = iota + 1 // a majority has accepted the state from which the result was read
	Unclear                          // the operation may have taken effect, or may still do so
	NotExecuted                      // the operation has not taken effect and never will
)

// Completion is the result of a Call.
type Completion struct {
	ID        uint64
	Certainty Certainty
	Result    coordination.Result // set if Certainty is Decided
}

// ProposerOutput holds the messages to send and the calls completed by one step of a Proposer. None of it has to be
// durable.
type ProposerOutput struct {
	Send      []Outgoing
	Completed []Completion
}
