package register

import (
	"cmp"
	"slices"
	"strconv"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Ballot orders the attempts to change a register. The zero Ballot is lower than all others.
type Ballot struct {
	Epoch    uint64 `cbor:"1,keyasint"` // epoch of the Config whose acceptors receive the ballot
	Round    uint64 `cbor:"2,keyasint"`
	Proposer uint64 `cbor:"3,keyasint"` // drawn at random when the proposer's process starts, so that no ballot is used twice
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Epoch, other.Epoch), cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer))
}

func (b Ballot) less(other Ballot) bool { return b.compare(other) < 0 }

// Version identifies a value of a register by the ballot under which it was proposed and a sequence number within that
// ballot.
type Version struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

func (v Version) less(other Version) bool {
	return cmp.Or(v.Ballot.compare(other.Ballot), cmp.Compare(v.Sequence, other.Sequence)) < 0
}

// Config is the set of acceptors of an epoch. Each Config but the first is decided by the acceptors of the previous one.
type Config struct {
	Epoch     uint64                `cbor:"1,keyasint"` // 0: the acceptors are not known
	Acceptors []replication.Replica `cbor:"2,keyasint"`
	Previous  []replication.Replica `cbor:"3,keyasint,omitempty"` // acceptors of the previous epoch; empty in the first one
}

// Has reports whether a replica is one of the acceptors.
func (c *Config) Has(r replication.Replica) bool { return slices.Contains(c.Acceptors, r) }

func majority(replicas []replication.Replica) int { return len(replicas)/2 + 1 }

// FirstConfig returns the Config of the first start of the whole system. Its acceptors have nonce 0.
func FirstConfig(founders []string) Config {
	c := Config{Epoch: 1}
	for _, address := range founders {
		c.Acceptors = append(c.Acceptors, replication.Replica{Address: address})
	}
	return c
}

// nextConfigName returns the name of the register in which the acceptors of an epoch decide the next Config.
func nextConfigName(epoch uint64) coordination.Name {
	return coordination.Name{Kind: coordination.KindDecision, ID: "acceptors after " + strconv.FormatUint(epoch, 10)}
}
