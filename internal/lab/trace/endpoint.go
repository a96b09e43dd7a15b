package trace

import "time"

// Outcome is how a request ended at its endpoint.
type Outcome uint8

// The outcomes. Their texts stand in result files.
const (
	OutcomePending   Outcome = iota // in flight at the end of the run, or never to be answered
	OutcomeOK                       // answered 200, completely
	OutcomeError                    // answered 500
	OutcomeRejected                 // rejected before it ran
	OutcomeCorrupted                // the response was cut off, malformed or too slow: the work was done
	OutcomeCanceled                 // canceled by the sidecar
	OutcomeLost                     // lost as the endpoint went down
)

var outcomeNames = [...]string{"held", "ok", "error", "turned away", "spoilt", "withdrawn", "lost"}

// String is the outcome as result files have it.
func (o Outcome) String() string { return outcomeNames[o] }

// EndpointRequest is one upstream request as its endpoint saw it.
type EndpointRequest struct {
	TransactionID  uint64 // of the client attempt; nobody sent it if no attempt has this id
	Endpoint       int
	ConnectionID   uint64
	FirstByte      time.Duration
	LastByte       time.Duration // Unset if the request never arrived completely
	Started        time.Duration // when it began to run; Unset if it did not
	Ended          time.Duration // when it was answered, canceled or lost; Unset if in flight at the end
	Outcome        Outcome
	IdempotencyKey uint64
	Deduplicated   bool          // not run again, as its idempotency key was known
	Work           time.Duration // that was done for it, in time of a standard core
}

// Sample is the state of one endpoint at one moment; players take one of every endpoint each 100 ms.
type Sample struct {
	At                     time.Duration
	Endpoint               int
	Running, Queued        int // requests
	Connections            int
	Capacity               float64       // present, in standard cores; 0 while it is down
	SentWork, PossibleWork time.Duration // integrals: work that has reached it, and work that it could have done
	DoneWork               time.Duration // integral of the work that it has done
	WarmingUp              bool
	Collapsed              bool // down for good after an overload while it was warming up
}
