package replication

import (
	"math/rand/v2"
	"time"
)

// Timing are the intervals and time-outs of the protocol. None of them matters for safety.
type Timing struct {
	HeartbeatInterval     time.Duration // between a primary's heartbeat rounds
	StartupTimeout        time.Duration // election time-out after this replica's own start
	ElectionTimeout       time.Duration // without contact from a primary, before the first member becomes a candidate
	ElectionStagger       time.Duration // added to the election time-out for each member after the first
	MemberTimeout         time.Duration // without contact, after which a primary removes a member
	AppendTimeout         time.Duration // in which a member has to store a change
	PhaseTimeout          time.Duration // of each phase of an election
	SnapshotTimeout       time.Duration // of a phase in which an indispensable member is sent a snapshot
	JoinInterval          time.Duration // between requests to join
	MinViewChangeInterval time.Duration // between view changes that only add replicas
	SlowMemberBackoff     time.Duration // before a member that was removed for being slow is added again; doubles each time
	WitnessTimeout        time.Duration // without contact, after which a witness may be replaced
}

// DefaultTiming suits machines in one region.
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

// Options are a replica's surroundings.
type Options struct {
	Timing    Timing
	Tolerance Tolerance
	// Random draws the pause after a failed election.
	Random *rand.Rand
	// LocalityOf returns the locality of the machine at an address, as far as it is known.
	LocalityOf func(address string) Locality
	// JoinTargets returns the addresses that are asked where no primary is known.
	JoinTargets func() []string
	// RequestsJoin makes this replica request to join while it is no witness.
	RequestsJoin bool
}
