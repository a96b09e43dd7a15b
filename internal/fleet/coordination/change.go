package coordination

// Change is what operations change in a state: a whole new value, or puts that are added to a group. The numbers of the fields are part of
// the protocol and of the files.
type Change struct {
	Lock     *LockRecord     `cbor:"1,keyasint,omitempty"`
	Counter  *CounterRecord  `cbor:"2,keyasint,omitempty"`
	Group    *GroupRecord    `cbor:"3,keyasint,omitempty"`
	Decision *DecisionRecord `cbor:"4,keyasint,omitempty"`
	Puts     []Event         `cbor:"5,keyasint,omitempty"` // on top of the group that is there
}

// LockRecord is a lock. Fence only rises.
type LockRecord struct {
	Fence  uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint,omitempty"` // empty: free
	HoldMs int64  `cbor:"3,keyasint,omitempty"` // from the grant
	AgeMs  int64  `cbor:"4,keyasint,omitempty"` // the grant was at least so long ago
	// CallIDs are the calls that acquired the lock lately, the last one at the end: copies of them change nothing.
	CallIDs []uint64 `cbor:"5,keyasint,omitempty"`
}

// CounterRecord is a counter.
type CounterRecord struct {
	Count uint64 `cbor:"1,keyasint"` // the last that was given
}

// GroupRecord is a group of cells.
type GroupRecord struct {
	Revision uint64  `cbor:"1,keyasint"`           // of the last put
	Floor    uint64  `cbor:"2,keyasint,omitempty"` // of the last put whose event is no longer kept
	Cells    []Cell  `cbor:"3,keyasint,omitempty"`
	Events   []Event `cbor:"4,keyasint,omitempty"` // the puts after Floor
}

// Cell is a key's present value.
type Cell struct {
	Key      string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// DecisionRecord is a decision.
type DecisionRecord struct {
	Value string `cbor:"1,keyasint,omitempty"` // empty: not made yet
}

// IsEmpty reports whether a change changes nothing.
func (c *Change) IsEmpty() bool { return c == nil || !c.IsComplete() && len(c.Puts) == 0 }

// IsComplete reports whether a change replaces the whole state, so that it needs no former one.
func (c *Change) IsComplete() bool {
	return c != nil && (c.Lock != nil || c.Counter != nil || c.Group != nil || c.Decision != nil)
}
