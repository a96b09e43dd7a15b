package register

import "pinelb.example/pinelb/internal/fleet/replication"

// Outgoing is a message to another machine: *Request, *Reply, *Hello, *Collect or *Collected.
type Outgoing struct {
	To      string // internal address of the machine
	Message any
}

// HardState is the durable state of an acceptor beside its registers.
type HardState struct {
	Self       replication.Replica `cbor:"1,keyasint"`
	Config     Config              `cbor:"2,keyasint"`           // newest one that the acceptor has learned
	ReadyEpoch uint64              `cbor:"3,keyasint,omitempty"` // newest epoch for which it has the registers; 0: none
}

// Equal reports whether two hard states are the same. Configs are compared by epoch, as only one Config is decided for
// each.
func (h *HardState) Equal(other *HardState) bool {
	return h.Self == other.Self && h.Config.Epoch == other.Config.Epoch && h.ReadyEpoch == other.ReadyEpoch
}

// Write is a change of the durable state. It must be applied atomically.
type Write struct {
	HardState HardState
	Changed   []Stored // to be applied in this order
	Replace   bool     // Changed holds all registers, complete, and replaces the stored ones
}

// Output is the result of one step of an Acceptor: Write must be durable before the messages are sent. If the write
// fails, none of the messages may be sent, and the Acceptor must be created again from the contents of the disk.
type Output struct {
	Write *Write // nil: nothing to write
	Send  []Outgoing
}
