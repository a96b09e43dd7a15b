package replication

// Outgoing is a message to a replica. If AttachSnapshot is set, the caller adds a snapshot with WithSnapshot: that of
// the state stored at the time of sending, whose position is the message's Position.
type Outgoing struct {
	To             string // address
	Message        Message
	AttachSnapshot bool
}

// Output is what the caller must carry out after a step: first Write, then the messages in order. If the write fails,
// no message may be sent, and the Node must be created anew from the contents of the disk.
type Output struct {
	Write *Write // nil: nothing to write
	Send  []Outgoing
}

// Write must be made durable atomically.
type Write struct {
	HardState HardState
	Entry     []byte // a change to apply to the stored state; nil: none
	Snapshot  []byte // replaces the stored state; nil: the stored state is kept
}
