package register

import (
	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// The numbers of the fields of all messages are part of the protocol.

// Request goes from a proposer to an acceptor.
type Request struct {
	Epoch    uint64    `cbor:"1,keyasint"`
	Prepares []Prepare `cbor:"2,keyasint,omitempty"`
	Accepts  []Accept  `cbor:"3,keyasint,omitempty"`
}

// Prepare asks an acceptor to take part under no lower ballot, and for what it has accepted.
type Prepare struct {
	Name   coordination.Name `cbor:"1,keyasint"`
	Ballot Ballot            `cbor:"2,keyasint"`
	Known  Version           `cbor:"3,keyasint,omitzero"` // a group of that version need not be sent
}

// Accept asks an acceptor to store a version. Without a change it asks it to confirm one that the acceptor has.
type Accept struct {
	Name      coordination.Name    `cbor:"1,keyasint"`
	Version   Version              `cbor:"2,keyasint"`
	Base      Version              `cbor:"3,keyasint,omitzero"` // on top of which Change is, unless that is complete
	Change    *coordination.Change `cbor:"4,keyasint,omitempty"`
	RoundTrip uint64               `cbor:"5,keyasint"` // of this proposer; an acknowledgement of a former trip confirms nothing
}

// Reply goes from an acceptor to a proposer.
type Reply struct {
	Epoch    uint64      `cbor:"1,keyasint"`
	Promises []Promise   `cbor:"2,keyasint,omitempty"`
	Acks     []AcceptAck `cbor:"3,keyasint,omitempty"`
}

// Promise answers a Prepare.
type Promise struct {
	Name     coordination.Name    `cbor:"1,keyasint"`
	Ballot   Ballot               `cbor:"2,keyasint"`
	Promised Ballot               `cbor:"3,keyasint,omitzero"`  // higher than Ballot: rejected
	Accepted Version              `cbor:"4,keyasint,omitzero"`  // zero: nothing
	Value    *coordination.Change `cbor:"5,keyasint,omitempty"` // complete; nil: nothing is accepted, or the proposer knows it
}

// AckOutcome says what an acceptor did with an Accept.
type AckOutcome uint8

// The outcomes of an Accept.
const (
	Accepted    AckOutcome = iota + 1
	Rejected               // the acceptor has promised AcceptAck.Promised
	BaseMissing            // it needs the complete value
)

// AcceptAck answers an Accept.
type AcceptAck struct {
	Name      coordination.Name `cbor:"1,keyasint"`
	Version   Version           `cbor:"2,keyasint"`
	RoundTrip uint64            `cbor:"3,keyasint"`
	Outcome   AckOutcome        `cbor:"4,keyasint"`
	Promised  Ballot            `cbor:"5,keyasint,omitzero"`
}

// Hello tells who a machine is and which acceptors it knows. Core machines send it to each other at intervals. In answer to a message of
// another epoch, and to one that came before the acceptor was ready, it has no Self.
type Hello struct {
	Config     Config              `cbor:"1,keyasint"`
	Self       replication.Replica `cbor:"2,keyasint"`
	ReadyEpoch uint64              `cbor:"3,keyasint,omitempty"` // the newest epoch in which Self takes part
	Zone       string              `cbor:"4,keyasint,omitempty"`
	Region     string              `cbor:"5,keyasint,omitempty"`
	Leaving    bool                `cbor:"6,keyasint,omitempty"` // it shuts down
	Votes      bool                `cbor:"7,keyasint,omitempty"` // it counts for the quorum
}

// Collect asks an acceptor of Config.Previous for its registers. It seals the acceptor.
type Collect struct {
	Config Config `cbor:"1,keyasint"`
}

// Collected answers a Collect.
type Collected struct {
	Epoch     uint64   `cbor:"1,keyasint"` // of the Config in the Collect
	Registers []Stored `cbor:"2,keyasint"`
	Ready     bool     `cbor:"3,keyasint,omitempty"` // the acceptor took part in the epoch before; else it accepted nothing in it
}

// Stored is a register as it travels and as it is stored.
type Stored struct {
	Name     coordination.Name    `cbor:"1,keyasint"`
	Promised Ballot               `cbor:"2,keyasint,omitzero"`
	Accepted Version              `cbor:"3,keyasint,omitzero"`
	Change   *coordination.Change `cbor:"4,keyasint,omitempty"` // nil: only the promise is new, or the version alone
}
