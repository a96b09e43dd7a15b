// Package replication keeps one state on several machines: a primary with backups, whose views are decided by witnesses
// that store only epochs. docs/design/router.md explains it.
//
// A view is decided by single-decree Paxos among the witnesses of the view before (Vertical Paxos: Lamport, Malkhi,
// Zhou, 2009; the roles are those of Viewstamped Replication Revisited: Liskov, Cowling, 2012). A replica's identity
// belongs to its disk, so that one whose disk was lost is another replica and can't vote on what it has forgotten.
//
// The package is pure: no I/O, no clock, no goroutines. Node is a state machine in the manner of etcd's raft: messages
// and ticks go in, and an Output comes out that its owner (package replica) carries out: first the write, then the
// messages. Only methods of Node change a replica's state; the types that they use (election, primaryState, composition,
// resignation, snapshotTransfers, penalties) decide nothing beyond their own data. All of it belongs to one goroutine.
//
// Invariants:
//   - A replica never takes part under a ballot lower than one that it has promised, over restarts as well.
//   - A view comes into force when a majority of the former view's witnesses has accepted it, and only after each of its
//     members has installed the state that it begins with.
//   - A change is committed when every member of the view has stored it.
//   - A replica sends nothing that rests on a write before the write is durable.
package replication
