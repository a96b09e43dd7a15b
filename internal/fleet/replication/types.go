package replication

import (
	"cmp"
	"slices"
	"strings"
)

// Replica identifies a replica: its machine's address, and a nonce that was drawn at random when its disk was empty. At
// the first start of the whole system the nonce is 0, so that every machine can name the initial witnesses.
type Replica struct {
	Address string `cbor:"1,keyasint"`
	Nonce   uint64 `cbor:"2,keyasint"`
}

// CompareReplicas orders replicas by address, and replicas with the same address by nonce.
func CompareReplicas(a, b Replica) int {
	return cmp.Or(strings.Compare(a.Address, b.Address), cmp.Compare(a.Nonce, b.Nonce))
}

// View is an epoch of the replicated state, with its configuration. Members store the state and acknowledge each
// change; witnesses vote on the next view.
type View struct {
	Number    uint64    `cbor:"1,keyasint"`
	Primary   Replica   `cbor:"2,keyasint"`
	Members   []Replica `cbor:"3,keyasint"`
	Witnesses []Replica `cbor:"4,keyasint"`
}

// HasMember reports whether r is a member of this view.
func (v *View) HasMember(r Replica) bool { return slices.Contains(v.Members, r) }

// HasWitness reports whether r is a witness of this view.
func (v *View) HasWitness(r Replica) bool { return slices.Contains(v.Witnesses, r) }

// isComplete reports whether a received view has all that every decided view has: a number, witnesses, and members that
// include its primary.
func (v *View) isComplete() bool {
	return v.Number > 0 && len(v.Members) > 0 && len(v.Witnesses) > 0 && v.HasMember(v.Primary)
}

// quorum returns the smallest number of witnesses that is a majority.
func (v *View) quorum() int { return len(v.Witnesses)/2 + 1 }

// Ballot is a Paxos ballot number, which orders the attempts to decide one view. The zero Ballot is lower than all
// others.
type Ballot struct {
	Round    uint64  `cbor:"1,keyasint"`
	Proposer Replica `cbor:"2,keyasint"`
}

func (b Ballot) isZero() bool { return b.Round == 0 }

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), CompareReplicas(b.Proposer, other.Proposer))
}

func (b Ballot) less(other Ballot) bool { return b.compare(other) < 0 }

// Position identifies a version of the state: the view in which it was written, and the number of changes up to it,
// which is counted across views.
type Position struct {
	View     uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Less reports whether p is older than other.
func (p Position) Less(other Position) bool {
	return cmp.Or(cmp.Compare(p.View, other.View), cmp.Compare(p.Sequence, other.Sequence)) < 0
}

// HardState is everything except the replicated state itself that a replica must find on its disk after a restart (the
// term is that of etcd's raft).
type HardState struct {
	Self          Replica  `cbor:"1,keyasint"`
	View          View     `cbor:"2,keyasint"` // the newest view known to be decided
	Promised      Ballot   `cbor:"3,keyasint"` // for the next view; a member that has promised stores no more changes
	Accepted      Ballot   `cbor:"4,keyasint"` // under which Proposal was accepted
	Proposal      View     `cbor:"5,keyasint"` // accepted as the next view
	Position      Position `cbor:"6,keyasint"` // of the stored state
	InstallBallot Ballot   `cbor:"7,keyasint"` // under which the initial state of Position's view was installed
}

// InitialHardState returns the hard state of a replica with an empty disk. At the first start of the whole system,
// founders are the addresses of the initial witnesses, the same on all machines, and nonce is 0. Otherwise founders is
// empty and nonce is random.
func InitialHardState(address string, nonce uint64, founders []string) HardState {
	state := HardState{Self: Replica{Address: address, Nonce: nonce}}
	for _, founder := range founders {
		r := Replica{Address: founder}
		state.View.Members = append(state.View.Members, r)
		state.View.Witnesses = append(state.View.Witnesses, r)
	}
	return state
}

// union returns the replicas of both lists, sorted and without duplicates.
func union(a, b []Replica) []Replica {
	all := slices.Concat(a, b)
	slices.SortFunc(all, CompareReplicas)
	return slices.Compact(all)
}

// SameReplicas reports whether two lists contain the same replicas, regardless of order and duplicates.
func SameReplicas(a, b []Replica) bool { return slices.Equal(union(a, nil), union(b, nil)) }
