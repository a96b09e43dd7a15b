// Package coordination decides what locks, counters and groups of cells answer.
//
// Each name is one State: a lock, a counter, a group of cells, or a decision that is made once. Execute decides an operation against a
// state and records what it changes; Apply makes a recorded change in another copy of the same state. Package register keeps the copies at
// a majority of the acceptors.
//
// The package is pure: no I/O, no clock, no goroutines. Times are readings of the caller's monotonic clock. What travels holds ages, which
// are lower bounds: they count from the moment at which a process heard of the operation, and each hop only loses time.
package coordination
