// Package coordinator runs the coordination service of one machine: it connects the state machines of package register to
// a clock, a disk and a transport, and forwards calls to proposers.
//
// A core machine has an acceptor and a proposer, each in its own goroutine, so that a stalled disk does not delay the
// machine's proposer. Every machine has a forwarder: it sends a call to the proposer that rendezvous hashing selects for the
// name of the call's lock, counter, decision or group, and fails over to the next one if that one does not
// reply. The choice of proposer affects speed, not correctness.
//
// Invariant: an acceptor's messages are sent only after the write of the same step is durable.
package coordinator
