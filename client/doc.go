// Package client is a client of the coordination service of a router fleet: locks with fencing tokens, elections, counters, and cells (keys
// with small values and revisions) that can be watched.
//
// A Client has the control addresses of some routers. After a failed connection, a 5xx, a 429, or no response within Options.AttemptTimeout,
// it retries the call at the next address, until the context of the call ends: pass a context with a deadline. If a response has the header
// Retry-After, the client makes no attempt at that address for the given time.
//
// The error of a call says how the call ended: nil; an answer of the service (ErrHeld, ErrNotFound, ErrCompacted, *RevisionMismatchError);
// *RefusedError if the call was not executed and never will be; ErrUnclear if it may have taken effect, or may still take effect.
//
// A lock alone does not protect a resource: a holder whose process was frozen may continue for a moment after another holder has acquired the
// lock. Send the fencing token (Lock.Fence) to the resource with each change, and let the resource reject tokens that are lower than the
// highest one it has received. See Kleppmann, "How to do
// distributed locking", 2016; Burrows, "The Chubby lock service", 2006 (sequencers).
package client
