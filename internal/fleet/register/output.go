package register

import "pinelb.example/pinelb/internal/fleet/replication"

// Outgoing is a message to a machine: *Request, *Reply, *Hello, *Collect or *Collected.
type Outgoing struct {
	To      string // internal address
	Message any
}

// HardState is what an acceptor has to find on its disk after a restart, beside its registers.
type HardState struct {
	Self       replication.Replica `cbor:"1,keyasint"`
	Config     Config              `cbor:"2,keyasint"`           // the newest that is known
	ReadyEpoch uint64              `cbor:"3,keyasint,omitempty"` // the newest epoch whose registers it has collected; 0: none
}

// Equal reports whether two hard states are the same. A Config is decided once for its epoch.
func (h *HardState) Equal(other *HardState) bool {
	return h.Self == other.Self && h.Config.Epoch == other.Config.Epoch && h.ReadyEpoch == other.ReadyEpoch
}

// Write is to be made durable atomically.
type Write struct {
	HardState HardState
	Changed   []Stored // in the order in which they are to be applied
	Replace   bool     // Changed holds all registers, complete, in place of those that were stored
}

// Output is what an acceptor's step wants done: first Write, then the messages. Where the write fails, nothing is sent and the Acceptor is
// to be built again from what the disk holds.
type Output struct {
	Write *Write // nil: nothing
	Send  []Outgoing
}
