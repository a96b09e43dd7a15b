package replication

// Outgoing is a message to a replica. With AttachSnapshot the sender fills in the snapshot of the state that it holds at
// Position when it sends.
type Outgoing struct {
	To             string // address
	Message        Message
	AttachSnapshot bool
}

// Output is what a step wants done: first Write, then the messages. Where the write fails nothing is sent and the
// machine is to be built again from what the disk holds.
type Output struct {
	Write *Write
	Send  []Outgoing
}

// Write is to be made durable in one piece.
type Write struct {
	HardState HardState
	Entry     []byte // a change of the state that is held; nil: none
	Snapshot  []byte // the state from now on; nil: it stays
}
