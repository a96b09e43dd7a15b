package coordination

import "time"

// OperationKind is the type of an operation. The numbers are part of the wire protocol.
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
	Decide                             // of a decision; without a value it only reads
)

// Operation is a request of a caller that concerns one name. Repeating an operation is safe: see State.Execute.
type Operation struct {
	Kind       OperationKind `cbor:"1,keyasint"`
	Name       Name          `cbor:"2,keyasint"`
	Holder     string        `cbor:"3,keyasint,omitempty"`  // Acquire, Renew, Release
	Fence      uint64        `cbor:"4,keyasint,omitempty"`  // Renew, Release
	Hold       time.Duration `cbor:"5,keyasint,omitempty"`  // Acquire, Renew: how long the holder can rely on the lock
	Key        string        `cbor:"6,keyasint,omitempty"`  // Put, Get
	Value      string        `cbor:"7,keyasint,omitempty"`  // Put, Decide
	IfRevision *uint64       `cbor:"8,keyasint,omitempty"`  // Put: the required revision of the key; 0: the key does not exist; nil: any
	CallID     uint64        `cbor:"10,keyasint,omitempty"` // Acquire: identifies the call, to recognise delayed duplicates; 0: not checked
	Since      uint64        `cbor:"9,keyasint,omitempty"`  // Watch: return the events after this revision; 0: return the current revision only
}

// Outcome says how an operation ended. The numbers are part of the wire protocol.
type Outcome uint8

// The outcomes.
const (
	Done      Outcome = iota + 1
	Held              // the lock is held by another holder, or the caller's hold has ended
	Mismatch          // the key does not have the required revision; Result.Revision is its current one
	Missing           // the key does not exist
	Compacted         // some of the events after Operation.Since have been dropped
	Pending           // Watch: there are no events after Operation.Since yet
	Full              // the put was rejected: the group would exceed Options.MaxGroupBytes, or Options.HasRoom is false
)

// Result is the result of an operation.
type Result struct {
	Outcome  Outcome `cbor:"1,keyasint"`
	Fence    uint64  `cbor:"2,keyasint,omitempty"` // Acquire
	Count    uint64  `cbor:"3,keyasint,omitempty"` // Increment
	Revision uint64  `cbor:"4,keyasint,omitempty"` // Put, Get, Watch
	Value    string  `cbor:"5,keyasint,omitempty"` // Get, Decide
	Events   []Event `cbor:"6,keyasint,omitempty"` // Watch, in ascending order of their revisions
	Expired  string  `cbor:"-"`                    // Acquire: the former holder, whose hold expired; for the proposer's log, not encoded
}

// Event is one put.
type Event struct {
	Key      string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	AgeMs    int64  `cbor:"4,keyasint,omitempty"` // lower bound of the time since the put
}
