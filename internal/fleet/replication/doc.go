// Package replication implements primary-backup replication of one state. The members of a view store the state; its
// witnesses vote on the next view, for which they store only ballots and views. docs/design/router.md describes the
// protocol.
//
// A view is decided by single-decree Paxos among the witnesses of the previous view (Vertical Paxos: Lamport, Malkhi,
// Zhou, 2009); the roles are those of Viewstamped Replication Revisited (Liskov, Cowling, 2012). A replica's identity
// is stored on its disk. A machine whose disk was lost restarts as a new replica, so that it can't vote under an
// identity whose promises it no longer has.
//
// The package performs no I/O, reads no clock and starts no goroutines. Node is a state machine in the style of etcd's
// raft: it receives messages and ticks, and returns an Output, which the caller (package replica) carries out: the
// write first, then the messages. Only methods of Node change a replica's state; the types that they use (election,
// primaryState, composition, resignation, snapshotTransfers, penalties) manage only their own data. A Node and its data
// are used by one goroutine.
//
// Invariants:
//   - A replica never takes part in a ballot lower than one that it has promised, also after a restart.
//   - A view takes effect once a majority of the previous view's witnesses has accepted it, and only after each of its
//     members has installed the view's initial state.
//   - A change is committed once every member of the view has stored it.
//   - A message that depends on a write is sent only after the write is durable.
package replication
