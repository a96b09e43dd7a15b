// Package coordinator runs the coordination service of one machine: the state machines of package register on a clock, a disk and a
// transport, and the way of a call to a proposer.
//
// A core machine has an acceptor and a proposer, each with a goroutine of its own, so that a stalled disk does not hold up the machine's
// proposer. Every machine has a forwarder: it sends a call to the proposer that rendezvous hashing gives the name, and to the next one where
// no answer comes. Which proposer is asked matters for speed only.
//
// Invariant: an acceptor's messages are sent after its write is durable.
package coordinator
