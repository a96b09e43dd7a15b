// Package register keeps the state of each name in a register that is replicated to a majority of acceptors, without a
// replicated log (CASPaxos: Rystsov, 2018; Paxos Made Simple: Lamport, 2001). A register holds a value, the version of
// the value and the highest ballot that was promised. Operations are functions that change the value.
//
// A Proposer executes operations on registers. It prepares a ballot for a name once and reuses it, so that each further
// round takes one round trip. A round executes all queued operations of the name, waits until a majority has accepted
// the changed state, and only then returns the results. If no operation changed the state, the acceptors confirm the
// current version under the ballot instead, which makes reads linearizable like writes. Two proposers that compete for
// a name slow each other down, but don't violate consistency.
//
// An Acceptor stores registers. Its owner must make the write of each step durable before it sends the messages of that
// step. An acceptor is identified by its address and by a nonce on its disk: after the loss of the disk it has another
// nonce, counts as another acceptor and has no vote under the former identity.
//
// A Config lists the acceptors of an epoch. The acceptors of the current Config decide the next one in a register of
// its own. An acceptor that learns of the next Config is sealed: it accepts nothing more under the former one. An
// acceptor of the next Config takes part only after it has collected the registers of a majority of the former
// acceptors, all of them sealed. Therefore every acceptor that takes part holds whatever was chosen before, and two
// Configs never decide on a name at the same time. Registers that are not in use are carried over with the others.
//
// The package does no I/O, reads no clock and starts no goroutines. Proposer and Acceptor are state machines like those
// of package replication; each is used by one goroutine only. Safety does not depend on time, only performance does.
package register
