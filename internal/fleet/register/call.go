package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// Call is an operation that a proposer is to execute.
type Call struct {
	ID        uint64 // the owner's
	Operation coordination.Operation
	Deadline  time.Duration // when it is given up
	ParkUntil time.Duration // Watch: when it is answered without events

	proposed bool // a message left that may have it take effect
}

// Certainty says what a completion proves.
type Certainty uint8

// The certainties of a completion.
const (
	Decided     Certainty = iota + 1 // a majority holds the state that the result was read from
	Unclear                          // the operation may have taken effect, or may yet
	NotExecuted                      // it has not taken effect and never will
)

// Completion answers a call.
type Completion struct {
	ID        uint64
	Certainty Certainty
	Result    coordination.Result // Decided
}

// ProposerOutput is what a proposer's step wants done. Nothing of it has to be durable.
type ProposerOutput struct {
	Send      []Outgoing
	Completed []Completion
}
