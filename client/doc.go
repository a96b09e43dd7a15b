// Package client lets applications use the coordination service of a router fleet: locks with fencing tokens, elections, counters, and cells
// (small keys with revisions) that can be watched.
//
// A Client is given the control addresses of some routers. It turns to the next address after a failed connection, a 5xx, a 429, or a second
// of silence, and repeats the call until its context ends: give each call a context with a deadline. An address that answered with
// Retry-After is left alone for that long.
//
// How a call ended is told by its error: nil, or an answer of the service (ErrHeld, ErrNotFound, ErrCompacted, *RevisionMismatchError);
// *RefusedError where the call was not executed and never will be; ErrUnclear where it may have taken effect, or may yet.
//
// A lock alone does not protect a resource: a holder that was frozen may go on for a moment after another has the lock. Hand the fencing token
// (Lock.Fence) to the resource with each change, and have it reject a token below the highest that it has seen. See Kleppmann, "How to do
// distributed locking", 2016; Burrows, "The Chubby lock service", 2006 (sequencers).
package client
