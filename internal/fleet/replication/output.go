package replication

// Outgoing is a message to a replica. With AttachSnapshot the sender adds, by WithSnapshot, the snapshot of the state that
// it has stored when it sends, which is that at the message's Position.
type Outgoing struct {
	To             string // address
	Message        Message
	AttachSnapshot bool
}

// Output is what a step wants done: first Write, then the messages in their order. Where the write fails, nothing is sent
// and the Node is to be built again from what the disk holds.
type Output struct {
	Write *Write // nil: nothing
	Send  []Outgoing
}

// Write is to be made durable atomically.
type Write struct {
	HardState HardState
	Entry     []byte // a change of the stored state; nil: none
	Snapshot  []byte // replaces the stored state; nil: it stays
}
