package replication

// Message is a message between replicas. The CBOR keys of its fields never change. A field Number is the number of a
// view: of the sender's current view, unless its comment says otherwise.
type Message interface{ kind() Kind }

// Kind is a message's type on the wire. The numbers never change.
type Kind uint8

// The kinds of messages.
const (
	KindHeartbeat Kind = iota + 1
	KindHeartbeatAck
	KindJoin
	KindViewNotice
	KindPrepare
	KindPromise
	KindReject
	KindFetchSnapshot
	KindFetchSnapshotReply
	KindInstallSnapshot
	KindInstallSnapshotAck
	KindAccept
	KindAcceptAck
	KindAppend
	KindAppendAck
	KindSnapshotNeeded
	KindResign
	KindResignAck
)

// Heartbeat shows a view's witnesses that its primary is running. ConfirmedAgeMs is the time in milliseconds since the
// primary sent the last round that a majority of the witnesses acknowledged. Once it reaches the receiver's election
// time-out, the receiver regards the primary as partitioned and does not count the heartbeat as contact.
type Heartbeat struct {
	View           View   `cbor:"1,keyasint"`
	Round          uint64 `cbor:"2,keyasint"`
	ConfirmedAgeMs uint64 `cbor:"3,keyasint"`
}

// HeartbeatAck answers a Heartbeat. Current is false if the witness has promised a ballot for the next view.
type HeartbeatAck struct {
	Number    uint64 `cbor:"1,keyasint"`
	Round     uint64 `cbor:"2,keyasint"`
	Current   bool   `cbor:"3,keyasint"`
	Resigning bool   `cbor:"4,keyasint,omitempty"` // the witness is resigning
}

// Join requests that the sender be added to the view.
type Join struct {
	Number uint64 `cbor:"1,keyasint"`
}

// ViewNotice sends a decided view to a replica that may not have received it.
type ViewNotice struct {
	View View `cbor:"1,keyasint"`
}

// Prepare asks a witness of View to promise that it takes part in no lower ballot for the next view (Paxos, phase 1).
type Prepare struct {
	View   View   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Promise answers Prepare. Accepted is zero if the witness has accepted no proposal for the next view.
type Promise struct {
	Number        uint64   `cbor:"1,keyasint"` // of the view to be decided
	Ballot        Ballot   `cbor:"2,keyasint"`
	Accepted      Ballot   `cbor:"3,keyasint"`
	Proposal      View     `cbor:"4,keyasint"`
	Position      Position `cbor:"5,keyasint"`           // of the state that the witness stores
	InstallBallot Ballot   `cbor:"6,keyasint"`           // of that state: see HardState
	Resigning     bool     `cbor:"7,keyasint,omitempty"` // the witness is resigning
}

// Reject answers a message whose ballot is too low.
type Reject struct {
	Number   uint64 `cbor:"1,keyasint"` // of the view to be decided
	Promised Ballot `cbor:"2,keyasint"` // the lowest ballot that the sender takes part in
}

// FetchSnapshot asks a member that has promised the sender's ballot for a snapshot of its state.
type FetchSnapshot struct {
	Number uint64 `cbor:"1,keyasint"` // of the view to be decided
	Ballot Ballot `cbor:"2,keyasint"`
}

// FetchSnapshotReply answers FetchSnapshot with the snapshot of the state at Position.
type FetchSnapshotReply struct {
	Number   uint64   `cbor:"1,keyasint"` // of the view to be decided
	Ballot   Ballot   `cbor:"2,keyasint"`
	Position Position `cbor:"3,keyasint"`
	Snapshot []byte   `cbor:"4,keyasint"`
}

// InstallSnapshot asks a replica to install the initial state of a view to be decided, whose position is Position.
// Without a snapshot, the replica can install it only if it stores the same state already: at BasePosition, with the
// install ballot BaseInstallBallot.
type InstallSnapshot struct {
	Number            uint64   `cbor:"1,keyasint"` // of the view to be decided
	Ballot            Ballot   `cbor:"2,keyasint"`
	Position          Position `cbor:"3,keyasint"`
	BasePosition      Position `cbor:"4,keyasint"`
	BaseInstallBallot Ballot   `cbor:"5,keyasint"`
	Snapshot          []byte   `cbor:"6,keyasint"`
}

// InstallSnapshotAck answers InstallSnapshot: the state is installed and durable.
type InstallSnapshotAck struct {
	Number uint64 `cbor:"1,keyasint"` // of the view to be decided
	Ballot Ballot `cbor:"2,keyasint"`
}

// Accept asks a witness to accept a proposal for the next view (Paxos, phase 2).
type Accept struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Proposal View   `cbor:"2,keyasint"`
}

// AcceptAck answers Accept: the witness has accepted the proposal.
type AcceptAck struct {
	Number uint64 `cbor:"1,keyasint"` // of the proposed view
	Ballot Ballot `cbor:"2,keyasint"`
}

// Append sends a change, or a snapshot of the whole state, to a member or a learner of the primary's view. Without
// either it asks whether the receiver has stored the state at Position.
type Append struct {
	View          View     `cbor:"1,keyasint"`
	InstallBallot Ballot   `cbor:"2,keyasint"`
	Position      Position `cbor:"3,keyasint"`
	Entry         []byte   `cbor:"4,keyasint"`
	Snapshot      []byte   `cbor:"5,keyasint"`
}

// AppendAck answers Append: the state up to Position is durable on the sender's disk.
type AppendAck struct {
	Number   uint64   `cbor:"1,keyasint"`
	Position Position `cbor:"2,keyasint"`
}

// SnapshotNeeded answers an InstallSnapshot or Append that can't be applied to the state which the replica stores.
// Position and InstallBallot identify that state.
type SnapshotNeeded struct {
	Number        uint64   `cbor:"1,keyasint"` // that of the InstallSnapshot, or of the current view
	Ballot        Ballot   `cbor:"2,keyasint"` // of the InstallSnapshot; zero in the answer to an Append
	Position      Position `cbor:"3,keyasint"`
	InstallBallot Ballot   `cbor:"4,keyasint"`
}

// Resign announces that the sender is about to shut down, so that it can be replaced without a time-out.
type Resign struct {
	Number uint64 `cbor:"1,keyasint"`
}

// ResignAck answers Resign: the resigning replica may stop.
type ResignAck struct {
	Number uint64 `cbor:"1,keyasint"`
}

func (Heartbeat) kind() Kind          { return KindHeartbeat }
func (HeartbeatAck) kind() Kind       { return KindHeartbeatAck }
func (Join) kind() Kind               { return KindJoin }
func (ViewNotice) kind() Kind         { return KindViewNotice }
func (Prepare) kind() Kind            { return KindPrepare }
func (Promise) kind() Kind            { return KindPromise }
func (Reject) kind() Kind             { return KindReject }
func (FetchSnapshot) kind() Kind      { return KindFetchSnapshot }
func (FetchSnapshotReply) kind() Kind { return KindFetchSnapshotReply }
func (InstallSnapshot) kind() Kind    { return KindInstallSnapshot }
func (InstallSnapshotAck) kind() Kind { return KindInstallSnapshotAck }
func (Accept) kind() Kind             { return KindAccept }
func (AcceptAck) kind() Kind          { return KindAcceptAck }
func (Append) kind() Kind             { return KindAppend }
func (AppendAck) kind() Kind          { return KindAppendAck }
func (SnapshotNeeded) kind() Kind     { return KindSnapshotNeeded }
func (Resign) kind() Kind             { return KindResign }
func (ResignAck) kind() Kind          { return KindResignAck }
