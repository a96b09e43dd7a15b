package replication

import (
	"cmp"
	"slices"
	"strings"
)

// Replica is one replica's identity: the machine's address, and a number drawn when its disk was empty. At the first start
// of the whole system the number is 0, so that all machines can name the first witnesses.
type Replica struct {
	Address string `cbor:"1,keyasint"`
	Nonce   uint64 `cbor:"2,keyasint"`
}

// CompareReplicas orders replicas by address, and those of one machine by nonce.
func CompareReplicas(a, b Replica) int {
	return cmp.Or(strings.Compare(a.Address, b.Address), cmp.Compare(a.Nonce, b.Nonce))
}

// View is an epoch of the replicated state. Members hold the state and acknowledge each change; witnesses decide which
// view comes next.
type View struct {
	Number    uint64    `cbor:"1,keyasint"`
	Primary   Replica   `cbor:"2,keyasint"`
	Members   []Replica `cbor:"3,keyasint"`
	Witnesses []Replica `cbor:"4,keyasint"`
}

// HasMember reports whether a replica holds the state in this view.
func (v *View) HasMember(r Replica) bool { return slices.Contains(v.Members, r) }

// HasWitness reports whether a replica votes on the view after this one.
func (v *View) HasWitness(r Replica) bool { return slices.Contains(v.Witnesses, r) }

// isComplete reports whether a view that is said to be decided can be one.
func (v *View) isComplete() bool {
	return v.Number > 0 && len(v.Members) > 0 && len(v.Witnesses) > 0 && v.HasMember(v.Primary)
}

// quorum returns the least number of witnesses that are a majority.
func (v *View) quorum() int { return len(v.Witnesses)/2 + 1 }

// Ballot is a Paxos ballot number: it orders the attempts to decide one view. The zero Ballot is below all others.
type Ballot struct {
	Round    uint64  `cbor:"1,keyasint"`
	Proposer Replica `cbor:"2,keyasint"`
}

func (b Ballot) isZero() bool { return b.Round == 0 }

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), CompareReplicas(b.Proposer, other.Proposer))
}

func (b Ballot) less(other Ballot) bool { return b.compare(other) < 0 }

// Position identifies a version of the state: the view in which it was written and the number of changes so far.
type Position struct {
	View     uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Less reports whether a version is older than another one.
func (p Position) Less(other Position) bool {
	return cmp.Or(cmp.Compare(p.View, other.View), cmp.Compare(p.Sequence, other.Sequence)) < 0
}

// HardState is all that a replica has to find on its disk after a restart, beside the state itself (the term is that of
// etcd's raft).
type HardState struct {
	Self          Replica  `cbor:"1,keyasint"`
	View          View     `cbor:"2,keyasint"` // the newest that is known to be decided
	Promised      Ballot   `cbor:"3,keyasint"` // for the next view; a member that has promised stores no more changes
	Accepted      Ballot   `cbor:"4,keyasint"` // for the next view
	Proposal      View     `cbor:"5,keyasint"` // the view that was accepted
	Position      Position `cbor:"6,keyasint"` // of the state that is stored
	InstallBallot Ballot   `cbor:"7,keyasint"` // under which that state was installed
}

// InitialHardState returns what a replica with an empty disk begins with. At the first start of the whole system, founders
// are the addresses of the first witnesses, the same on all machines, and nonce is 0; else founders is empty and nonce is
// drawn at random.
func InitialHardState(address string, nonce uint64, founders []string) HardState {
	state := HardState{Self: Replica{Address: address, Nonce: nonce}}
	for _, founder := range founders {
		r := Replica{Address: founder}
		state.View.Members = append(state.View.Members, r)
		state.View.Witnesses = append(state.View.Witnesses, r)
	}
	return state
}

// union returns the replicas of two lists, each once, sorted.
func union(a, b []Replica) []Replica {
	all := slices.Concat(a, b)
	slices.SortFunc(all, CompareReplicas)
	return slices.Compact(all)
}

// SameReplicas reports whether two lists hold the same replicas, in whatever order.
func SameReplicas(a, b []Replica) bool { return slices.Equal(union(a, nil), union(b, nil)) }
