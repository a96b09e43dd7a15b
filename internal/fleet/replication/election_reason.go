package replication

// ElectionReason is the reason why a replica became a candidate.
type ElectionReason uint8

// The reasons of an election.
const (
	NoElection          ElectionReason = iota // this replica has not been a candidate since its start
	PrimaryUnresponsive                       // there was no contact with the primary for the election time-out
	MemberFailed                              // the primary removes a member that is unresponsive or slow
	MemberResigning                           // the primary removes a member that shuts down
	CompositionImproves                       // the primary adds replicas, or replaces witnesses
	PrimaryResigning                          // the primary shuts down
)

func (r ElectionReason) String() string {
	return [...]string{
		"none", "primary silent", "member silent or slow", "member shuts down", "better composition", "primary shuts down",
	}[r]
}

// LastElectionReason returns why this replica last became a candidate.
func (n *Node) LastElectionReason() ElectionReason { return n.electionReason }

// IsCandidate reports whether this replica is a candidate.
func (n *Node) IsCandidate() bool { return n.election != nil }
