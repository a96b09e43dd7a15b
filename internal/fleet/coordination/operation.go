package coordination

import "time"

// OperationKind says what an operation does. The numbers are part of the protocol.
type OperationKind uint8

// The operations.
const (
	Acquire   OperationKind = iota + 1 // of a lock
	Renew                              // of a lock
	Release                            // of a lock
	Increment                          // of a counter
	Put                                // of a cell
	Get                                // of a cell
	Watch                              // of a group
	Decide                             // of a decision; without a value it only asks
)

// Operation is what a caller asks of a name. Repeating one is safe: see State.Execute.
type Operation struct {
	Kind       OperationKind `cbor:"1,keyasint"`
	Name       Name          `cbor:"2,keyasint"`
	Holder     string        `cbor:"3,keyasint,omitempty"`  // Acquire, Renew, Release
	Fence      uint64        `cbor:"4,keyasint,omitempty"`  // Renew, Release
	Hold       time.Duration `cbor:"5,keyasint,omitempty"`  // Acquire, Renew: how long the holder may count on the lock
	Key        string        `cbor:"6,keyasint,omitempty"`  // Put, Get
	Value      string        `cbor:"7,keyasint,omitempty"`  // Put, Decide
	IfRevision *uint64       `cbor:"8,keyasint,omitempty"`  // Put: the revision that the key must have; 0: none yet; nil: any
	CallID     uint64        `cbor:"10,keyasint,omitempty"` // Acquire: identifies the call, of which copies may come late; 0: no copies
	Since      uint64        `cbor:"9,keyasint,omitempty"`  // Watch: the last revision that the watcher knows; 0: it asks for the present one
}

// Outcome says how an operation ended. The numbers are part of the protocol.
type Outcome uint8

// The outcomes.
const (
	Done      Outcome = iota + 1
	Held              // the lock is another holder's, or no longer the caller's
	Mismatch          // the key has another revision: Result.Revision
	Missing           // there is no such key
	Compacted         // the events after Operation.Since are no longer kept
	Pending           // Watch: there are no events yet
	Full              // nothing was done: the group is as large as it may be
)

// Result is what an operation is answered with.
type Result struct {
	Outcome  Outcome `cbor:"1,keyasint"`
	Fence    uint64  `cbor:"2,keyasint,omitempty"` // Acquire
	Count    uint64  `cbor:"3,keyasint,omitempty"` // Increment
	Revision uint64  `cbor:"4,keyasint,omitempty"` // Put, Get, Watch
	Value    string  `cbor:"5,keyasint,omitempty"` // Get, Decide
	Events   []Event `cbor:"6,keyasint,omitempty"` // Watch, in rising order of their revisions
	Expired  string  `cbor:"-"`                    // Acquire: the holder whose time had run out, for the proposer's log; it does not travel
}

// Event is one put.
type Event struct {
	Key      string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	AgeMs    int64  `cbor:"4,keyasint,omitempty"` // at least so long ago
}
