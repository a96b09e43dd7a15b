package register

import (
	"cmp"
	"slices"
	"strconv"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Ballot orders the attempts to change a register. The zero Ballot is below all others.
type Ballot struct {
	Epoch    uint64 `cbor:"1,keyasint"` // of the Config whose acceptors are asked
	Round    uint64 `cbor:"2,keyasint"`
	Proposer uint64 `cbor:"3,keyasint"` // drawn when the proposer's process started, so that no ballot is used twice
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Epoch, other.Epoch), cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer))
}

func (b Ballot) less(other Ballot) bool { return b.compare(other) < 0 }

// Version identifies a register's value: the ballot under which it was proposed, and its number among those of that ballot.
type Version struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

func (v Version) less(other Version) bool {
	return cmp.Or(v.Ballot.compare(other.Ballot), cmp.Compare(v.Sequence, other.Sequence)) < 0
}

// Config is a set of acceptors. Each is decided by the acceptors of the one before it.
type Config struct {
	Epoch     uint64                `cbor:"1,keyasint"` // 0: not known
	Acceptors []replication.Replica `cbor:"2,keyasint"`
	Previous  []replication.Replica `cbor:"3,keyasint,omitempty"` // the acceptors of the epoch before; none: this is the first
}

// Has reports whether a replica is one of the acceptors.
func (c *Config) Has(r replication.Replica) bool { return slices.Contains(c.Acceptors, r) }

func majority(replicas []replication.Replica) int { return len(replicas)/2 + 1 }

// FirstConfig returns the acceptors at the first start of the whole system.
func FirstConfig(founders []string) Config {
	c := Config{Epoch: 1}
	for _, address := range founders {
		c.Acceptors = append(c.Acceptors, replication.Replica{Address: address})
	}
	return c
}

// nextConfigName is the register by which the acceptors of an epoch decide those of the next one.
func nextConfigName(epoch uint64) coordination.Name {
	return coordination.Name{Kind: coordination.KindDecision, ID: "acceptors after " + strconv.FormatUint(epoch, 10)}
}
