// Package history records what the callers of the coordination service saw, and checks it against the service's rules.
//
// A history is a list of calls with the times of sending and of the answer's arrival, all from one monotonic clock. A call without a clear
// answer may or may not have taken effect, at any time after its sending. Check reports each broken rule with the calls that show it. Counters
// and groups of cells are also checked for linearizability as a whole (Herlihy and Wing), by porcupine.
//
// The package starts nothing and reads no clock.
package history
