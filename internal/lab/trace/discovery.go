package trace

import (
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Phase is an endpoint's state in discovery's list.
type Phase uint8

// The phases. Their texts are those of the discovery protocol.
const (
	PhaseReady Phase = iota
	PhaseTerminating
	PhaseGone
)

var phaseNames = [...]string{"Ready", "Terminating", "Gone"}

// String is the phase as the discovery protocol has it.
func (p Phase) String() string { return phaseNames[p] }

// Notification is one entry of an endpoint list that was written to a sidecar.
type Notification struct {
	At       time.Duration
	Sidecar  int
	Endpoint int
	Phase    Phase
	UpSince  time.Duration // 0 is before the run
}

// DiscoveryPoll is one call of the list service.
type DiscoveryPoll struct {
	At            time.Duration // when it arrived
	Sidecar       int           // -1 is an auditor
	Duration      time.Duration // until it was answered, the wait for changes included
	Watch         bool          // for what is newer than a revision, and not for the complete list
	SinceRevision int64         // that revision: the one whose list the caller says it holds
	Outcome       PollOutcome

	// Set where operators can call the sidecars, of a response that was written: what the sidecar holds once it has adopted it.
	RespondedAt time.Duration // just before it was written
	Revision    int64
	Digest      version.Digest // 0 if nothing was written
}

// PollOutcome is how a call of the list service ended.
type PollOutcome uint8

// The outcomes of polls.
const (
	PollAnswered  PollOutcome = iota // a list or changes were written
	PollRejected                     // beyond the service's capacity
	PollAbandoned                    // canceled by the sidecar, or the connection broke
)

// Connection is a connection that was accepted by an endpoint, or by the list service (Endpoint -1).
type Connection struct {
	At       time.Duration
	Endpoint int
	Sidecar  int // of the list service's; -1 is unknown
}
