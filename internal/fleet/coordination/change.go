package coordination

// Change is the effect of operations on a State: a complete new value, or puts to append to a group. The field numbers are part of the
// wire protocol and of the format on disk.
type Change struct {
	Lock     *LockRecord     `cbor:"1,keyasint,omitempty"`
	Counter  *CounterRecord  `cbor:"2,keyasint,omitempty"`
	Group    *GroupRecord    `cbor:"3,keyasint,omitempty"`
	Decision *DecisionRecord `cbor:"4,keyasint,omitempty"`
	Puts     []Event         `cbor:"5,keyasint,omitempty"` // to append to the existing group
}

// LockRecord is the encoded state of a lock. Fence never decreases.
type LockRecord struct {
	Fence  uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint,omitempty"` // empty: free
	HoldMs int64  `cbor:"3,keyasint,omitempty"` // duration of the hold, from the grant
	AgeMs  int64  `cbor:"4,keyasint,omitempty"` // lower bound of the time since the grant
	// CallIDs identifies the most recent calls that acquired the lock, the latest one last. Duplicates of these calls change nothing.
	CallIDs []uint64 `cbor:"5,keyasint,omitempty"`
}

// CounterRecord is the encoded state of a counter.
type CounterRecord struct {
	Count uint64 `cbor:"1,keyasint"` // the last number that was returned
}

// GroupRecord is the encoded state of a group of cells.
type GroupRecord struct {
	Revision uint64  `cbor:"1,keyasint"`           // of the last put
	Floor    uint64  `cbor:"2,keyasint,omitempty"` // of the last put whose event has been dropped; 0: none
	Cells    []Cell  `cbor:"3,keyasint,omitempty"`
	Events   []Event `cbor:"4,keyasint,omitempty"` // the puts after Floor, in ascending order of their revisions
}

// Cell is the current value of a key.
type Cell struct {
	Key      string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"` // of the put that set the value
}

// DecisionRecord is the encoded state of a decision.
type DecisionRecord struct {
	Value string `cbor:"1,keyasint,omitempty"` // empty: not decided yet
}

// IsEmpty reports whether the change has no effect. A nil change is empty.
func (c *Change) IsEmpty() bool { return c == nil || !c.IsComplete() && len(c.Puts) == 0 }

// IsComplete reports whether the change replaces the whole state, so that it applies to any previous one.
func (c *Change) IsComplete() bool {
	return c != nil && (c.Lock != nil || c.Counter != nil || c.Group != nil || c.Decision != nil)
}

// callIDBytes is the size of an encoded call ID.
const callIDBytes = 9

// Size returns about as many bytes as the encoded change has, and not fewer than its keys and values have; 0 for a nil change.
func (c *Change) Size() int {
	if c == nil {
		return 0
	}
	size := itemOverhead
	if c.Lock != nil {
		size += len(c.Lock.Holder) + callIDBytes*len(c.Lock.CallIDs)
	}
	if c.Decision != nil {
		size += len(c.Decision.Value)
	}
	if c.Group != nil {
		for _, cell := range c.Group.Cells {
			size += itemSize(cell.Key, cell.Value)
		}
		size += eventsSize(c.Group.Events)
	}
	return size + eventsSize(c.Puts)
}

func eventsSize(events []Event) (size int) {
	for _, event := range events {
		size += itemSize(event.Key, event.Value)
	}
	return size
}
