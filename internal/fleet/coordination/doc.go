// Package coordination implements the state machines of locks, counters, groups of cells, and decisions.
//
// Each name has one State: a lock, a counter, a group of cells, or a decision, which is made once. Execute runs an operation on a state and
// records the change; Apply repeats a recorded change on a replica of the same state. Package register replicates the states to a majority
// of the acceptors.
//
// The package is deterministic: no I/O, no clock, no goroutines. Times are readings of the caller's monotonic clock. Messages and files
// carry ages instead, which are lower bounds: an age counts from the time at which a process received the operation, and the time in
// transit is not added.
package coordination
