package replication

import (
	"math/rand/v2"
	"time"
)

// Timing holds the intervals and time-outs of the protocol. Safety does not depend on them.
type Timing struct {
	HeartbeatInterval     time.Duration // between a primary's heartbeat rounds
	StartupTimeout        time.Duration // used instead of ElectionTimeout after this replica's own start
	ElectionTimeout       time.Duration // time without contact with a primary after which the first member is a candidate
	ElectionStagger       time.Duration // added to the election time-out for each member after the first
	MemberTimeout         time.Duration // time without contact after which a primary removes a member
	AppendTimeout         time.Duration // within which members must store a change; extended by its size / minAppendBytesPerSecond
	PhaseTimeout          time.Duration // of each phase of an election
	SnapshotTimeout       time.Duration // of an election phase that waits for the transfer of a snapshot
	JoinInterval          time.Duration // between join requests
	MinViewChangeInterval time.Duration // from a view's start to a view change that only adds or replaces replicas
	SlowMemberBackoff     time.Duration // first penalty of a slow replica; doubles with each penalty, up to maxPenaltyFactor
	WitnessTimeout        time.Duration // time without contact after which a witness may be replaced
}

// DefaultTiming returns the timing for machines in one region.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:     150 * time.Millisecond,
		StartupTimeout:        180 * time.Millisecond,
		ElectionTimeout:       700 * time.Millisecond,
		ElectionStagger:       200 * time.Millisecond,
		MemberTimeout:         700 * time.Millisecond,
		AppendTimeout:         500 * time.Millisecond,
		PhaseTimeout:          400 * time.Millisecond,
		SnapshotTimeout:       12 * time.Second,
		JoinInterval:          250 * time.Millisecond,
		MinViewChangeInterval: 500 * time.Millisecond,
		SlowMemberBackoff:     3 * time.Second,
		WitnessTimeout:        1500 * time.Millisecond,
	}
}

// Options configure a Node.
type Options struct {
	Timing    Timing
	Tolerance Tolerance
	// Random draws the delay after a failed election.
	Random *rand.Rand
	// LocalityOf returns the locality of the machine at an address.
	LocalityOf func(address string) Locality
	// JoinTargets returns the addresses that join requests are sent to, beside the witnesses of the current view.
	JoinTargets func() []string
	// RequestsJoin makes this replica request to join while it is not a witness.
	RequestsJoin bool
}
