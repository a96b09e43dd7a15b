package replication

// Message is what replicas send each other. The keys of the fields are those of the encoding (CBOR), and never change.
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

// Heartbeat tells a view's witnesses that its primary lives. ConfirmedAgeMs is how many milliseconds ago the primary sent
// the last round that a majority of the witnesses answered; above a bound the primary counts as cut off.
type Heartbeat struct {
	View           View   `cbor:"1,keyasint"`
	Round          uint64 `cbor:"2,keyasint"`
	ConfirmedAgeMs uint64 `cbor:"3,keyasint"`
}

// HeartbeatAck answers a Heartbeat. Current is false where the witness has promised a later view.
type HeartbeatAck struct {
	Number    uint64 `cbor:"1,keyasint"`
	Round     uint64 `cbor:"2,keyasint"`
	Current   bool   `cbor:"3,keyasint"`
	Resigning bool   `cbor:"4,keyasint,omitempty"` // the witness is resigning
}

// Join asks a primary to add the sender to the view.
type Join struct {
	Number uint64 `cbor:"1,keyasint"` // of the newest view that the sender knows
}

// ViewNotice carries a decided view that the receiver does not know.
type ViewNotice struct {
	View View `cbor:"1,keyasint"`
}

// Prepare asks a witness of View for its promise to decide the view after it under no lower ballot (Paxos, phase 1).
type Prepare struct {
	View   View   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Promise answers Prepare. Accepted is zero where nothing was accepted for the view.
type Promise struct {
	Number        uint64   `cbor:"1,keyasint"` // of the view to be decided
	Ballot        Ballot   `cbor:"2,keyasint"`
	Accepted      Ballot   `cbor:"3,keyasint"`
	Proposal      View     `cbor:"4,keyasint"`
	Position      Position `cbor:"5,keyasint"`
	InstallBallot Ballot   `cbor:"6,keyasint"`
	Resigning     bool     `cbor:"7,keyasint,omitempty"` // the witness is resigning
}

// Reject answers a message under too low a ballot.
type Reject struct {
	Number   uint64 `cbor:"1,keyasint"`
	Promised Ballot `cbor:"2,keyasint"`
}

// FetchSnapshot asks a member that has promised the sender's ballot for its state.
type FetchSnapshot struct {
	Number uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// FetchSnapshotReply answers FetchSnapshot.
type FetchSnapshotReply struct {
	Number   uint64   `cbor:"1,keyasint"`
	Ballot   Ballot   `cbor:"2,keyasint"`
	Position Position `cbor:"3,keyasint"`
	Snapshot []byte   `cbor:"4,keyasint"`
}

// InstallSnapshot has a member of a view that is to be decided install the state that the view begins with. Without a
// snapshot it is for a member that holds From under BaseInstallBallot already.
type InstallSnapshot struct {
	Number            uint64   `cbor:"1,keyasint"`
	Ballot            Ballot   `cbor:"2,keyasint"`
	Position          Position `cbor:"3,keyasint"`
	BasePosition      Position `cbor:"4,keyasint"`
	BaseInstallBallot Ballot   `cbor:"5,keyasint"`
	Snapshot          []byte   `cbor:"6,keyasint"`
}

// InstallSnapshotAck answers InstallSnapshot: the state is installed, on the disk.
type InstallSnapshotAck struct {
	Number uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Accept asks a witness to accept a view (Paxos, phase 2).
type Accept struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Proposal View   `cbor:"2,keyasint"`
}

// AcceptAck answers Accept.
type AcceptAck struct {
	Number uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Append sends a change, or with a snapshot the whole state, to a member of the primary's view. Without either it asks
// whether the member holds Position.
type Append struct {
	View          View     `cbor:"1,keyasint"`
	InstallBallot Ballot   `cbor:"2,keyasint"`
	Position      Position `cbor:"3,keyasint"`
	Entry         []byte   `cbor:"4,keyasint"`
	Snapshot      []byte   `cbor:"5,keyasint"`
}

// AppendAck answers Append: the member has stored all up to Position, on its disk.
type AppendAck struct {
	Number   uint64   `cbor:"1,keyasint"`
	Position Position `cbor:"2,keyasint"`
}

// SnapshotNeeded answers InstallSnapshot or Append where the sender's state is needed, and says which one is held.
type SnapshotNeeded struct {
	Number        uint64   `cbor:"1,keyasint"`
	Ballot        Ballot   `cbor:"2,keyasint"` // of the InstallSnapshot; zero for an Append
	Position      Position `cbor:"3,keyasint"`
	InstallBallot Ballot   `cbor:"4,keyasint"`
}

// Resign says that a replica is about to shut down, so that another one may replace it at once.
type Resign struct {
	Number uint64 `cbor:"1,keyasint"` // of the newest view that the sender knows
}

// ResignAck answers Resign: the replica may stop.
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
