// Package register keeps each name's state at a majority of acceptors, without a log: a register is a value, its version and a promise,
// and is changed by functions (CASPaxos: Rystsov, 2018; Paxos made simple: Lamport, 2001).
//
// A Proposer executes operations on registers. It prepares a ballot for a name once, and keeps it: each further round is one trip. A round
// executes every operation that waits for the name, has a majority accept the changed state, and then tells the results. Where nothing has
// changed, the round has the acceptors confirm the ballot, so that reads are as strict as writes. Two proposers of one name only slow each
// other down.
//
// An Acceptor stores registers; its owner makes each step's write durable before it sends the step's messages. An acceptor is its disk: one
// that lost it has another nonce, is another acceptor, and votes on nothing old.
//
// The acceptors are those of a Config. The next one is decided by the acceptors of the present one, as a register of its own. An acceptor
// that learns of it accepts nothing more under the former one (it is sealed), and an acceptor of the next one takes part only once it has
// collected the registers of a majority of the former acceptors, all sealed. So whatever was chosen before is known to each acceptor that
// takes part, and no name is decided by two sets at once. A name that nobody touches is carried over with the others.
//
// The package is pure: no I/O, no clock, no goroutines. Proposer and Acceptor are state machines in the manner of package replication; each
// belongs to one goroutine. Only speed rests on time.
package register
