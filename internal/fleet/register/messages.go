package register

import (
	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// The field numbers of all messages are part of the protocol.

// Request is sent by a proposer to an acceptor.
type Request struct {
	Epoch    uint64    `cbor:"1,keyasint"`
	Prepares []Prepare `cbor:"2,keyasint,omitempty"`
	Accepts  []Accept  `cbor:"3,keyasint,omitempty"`
}

// Prepare requests a promise to reject all lower ballots, and the version and value that the acceptor has accepted.
type Prepare struct {
	Name   coordination.Name `cbor:"1,keyasint"`
	Ballot Ballot            `cbor:"2,keyasint"`
	Known  Version           `cbor:"3,keyasint,omitzero"` // version that the proposer has: its value is omitted, except for locks
}

// Accept requests that an acceptor store a version. Without a Change it requests the confirmation of a version that the
// acceptor has stored.
type Accept struct {
	Name      coordination.Name    `cbor:"1,keyasint"`
	Version   Version              `cbor:"2,keyasint"`
	Base      Version              `cbor:"3,keyasint,omitzero"` // version to which Change applies, unless Change is complete
	Change    *coordination.Change `cbor:"4,keyasint,omitempty"`
	RoundTrip uint64               `cbor:"5,keyasint"` // round number, unique per proposer: late acknowledgements don't count
}

// Reply is sent by an acceptor to a proposer.
type Reply struct {
	Epoch    uint64      `cbor:"1,keyasint"`
	Promises []Promise   `cbor:"2,keyasint,omitempty"`
	Acks     []AcceptAck `cbor:"3,keyasint,omitempty"`
}

// Promise is the reply to a Prepare.
type Promise struct {
	Name     coordination.Name    `cbor:"1,keyasint"`
	Ballot   Ballot               `cbor:"2,keyasint"`
	Promised Ballot               `cbor:"3,keyasint,omitzero"`  // if higher than Ballot, the Prepare was rejected
	Accepted Version              `cbor:"4,keyasint,omitzero"`  // zero: nothing was accepted
	Value    *coordination.Change `cbor:"5,keyasint,omitempty"` // complete; nil: rejected, nothing was accepted, or the proposer has it
}

// AckOutcome is the outcome of an Accept at an acceptor.
type AckOutcome uint8

// The outcomes of an Accept.
const (
	Accepted    AckOutcome = iota + 1
	Rejected               // the acceptor has promised the higher ballot AcceptAck.Promised
	BaseMissing            // the acceptor does not have Accept.Base and needs the complete value
)

// AcceptAck is the reply to an Accept.
type AcceptAck struct {
	Name      coordination.Name `cbor:"1,keyasint"`
	Version   Version           `cbor:"2,keyasint"`
	RoundTrip uint64            `cbor:"3,keyasint"`
	Outcome   AckOutcome        `cbor:"4,keyasint"`
	Promised  Ballot            `cbor:"5,keyasint,omitzero"`
}

// Hello announces a machine's identity and the newest Config that it has. Core machines send it to each other
// periodically. A Hello has no Self if an acceptor sends it in reply to a Request of another epoch, or to the proposers
// whose requests arrived before the acceptor was ready.
type Hello struct {
	Config     Config              `cbor:"1,keyasint"`
	Self       replication.Replica `cbor:"2,keyasint"`
	ReadyEpoch uint64              `cbor:"3,keyasint,omitempty"` // newest epoch in which Self takes part
	Zone       string              `cbor:"4,keyasint,omitempty"`
	Region     string              `cbor:"5,keyasint,omitempty"`
	Leaving    bool                `cbor:"6,keyasint,omitempty"` // the machine is shutting down
	Votes      bool                `cbor:"7,keyasint,omitempty"` // the machine counts for the quorum
	Full       bool                `cbor:"8,keyasint,omitempty"` // Self has no room for further puts
}

// Collect requests the registers of an acceptor of Config.Previous, and seals that acceptor.
type Collect struct {
	Config   Config             `cbor:"1,keyasint"`
	InPieces bool               `cbor:"2,keyasint,omitempty"` // the sender requests one piece after the other; builds that don't get all registers at once
	After    *coordination.Name `cbor:"3,keyasint,omitempty"` // the piece begins after this name; nil: with the first register
}

// Collected is the reply to a Collect: all registers, or a piece of them, sorted by name.
type Collected struct {
	Epoch     uint64             `cbor:"1,keyasint"` // epoch of Collect.Config
	Registers []Stored           `cbor:"2,keyasint"`
	Ready     bool               `cbor:"3,keyasint,omitempty"` // took part in the previous epoch; else it accepted nothing in it
	After     *coordination.Name `cbor:"4,keyasint,omitempty"` // of the Collect
	More      bool               `cbor:"5,keyasint,omitempty"` // there are registers after those of this piece
}

// Stored is the encoded form of a register in messages and on disk.
type Stored struct {
	Name     coordination.Name    `cbor:"1,keyasint"`
	Promised Ballot               `cbor:"2,keyasint,omitzero"`
	Accepted Version              `cbor:"3,keyasint,omitzero"`
	Change   *coordination.Change `cbor:"4,keyasint,omitempty"` // nil if only the promise or the version changed
}
