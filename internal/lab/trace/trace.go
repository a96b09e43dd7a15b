// Package trace is what both ends saw of a run: the clients' tries, the servers' visits, what discovery told
// whom, and what became of the sidecars. Players write it, judges and reports read it. Times are durations
// since the start of the run.
package trace

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/version"
)

// Unset is a time that never came.
const Unset = time.Duration(-1)

// Status is how a try ended for its client.
type Status uint8

// The ends of a try.
const (
	StatusServed        Status = iota // 200 with the whole body
	StatusRejected                    // 429 or 503: trying again is harmless
	StatusFailed                      // any other answer, or one that was cut or spoilt
	StatusCanceled                    // the client left, as planned, before there was an answer
	StatusTimedOut                    // no answer by the end of the try: nothing came, however long the client waited
	StatusDisconnected                // the connection broke with no answer begun
	StatusConnectFailed               // no connection came up, or it broke before the request was written: nothing was taken
)

var statusNames = [...]string{"served", "refused", "failed", "gone", "silent", "broken", "no entry"}

func (s Status) String() string { return statusNames[s] }

// ClientAttempt is one request as its client saw it: a client's first try or one of its retries, or in the second
// tier a call that a box made through its own sidecar.
type ClientAttempt struct {
	TransactionID    uint64
	Request          int    // index into the plan's requests; calls carry that of the client's request
	Parent           uint64 // a call: the id of the request that its box had; 0 is a client's, or not known
	Number           int    // 0 for the first try
	Tier             int    // of the boxes that it is for
	Sidecar          int    // that got it
	Class            int
	Due              time.Duration // when the first try should have been sent by the plan: latency counts from here
	Sent             time.Duration // when this one was written whole; None if never
	Timeout          time.Duration // what the client told: how long it waits, from Sent
	Ended            time.Duration // the last byte of the answer, or when it ended without one
	Status           Status
	Code             int           // HTTP's, 0 for none; over Thrift the type of the TApplicationException
	RetryAfter       time.Duration // Retry-After; 0 is none
	Endpoint         int           // whose answer it is by its body; -1 is unknown
	ReportedAttempts budget.Tried  // what the answer says of attempts that it took below
	Forged           bool          // a 200 whose body no box made for this request
	Responses        int           // whole final answers that came for it: more than 1 breaks a rule
}

// EndpointRequest is one attempt as a server saw it.
type EndpointRequest struct {
	TransactionID  uint64 // of the try; with no match, nobody sent it
	Endpoint       int
	ConnectionID   uint64        // which connection it came on
	FirstByte      time.Duration // its first byte
	LastByte       time.Duration // its last byte; None if it never came whole
	Started        time.Duration // when it began to run; None if it did not
	Ended          time.Duration // when it was answered, withdrawn or lost; None if still held at the end
	Outcome        Outcome
	IdempotencyKey uint64
	Deduplicated   bool          // dropped as a repeat of its key
	Work           time.Duration // work that it took
}

// DownstreamRequest is a try as the sidecar that took it saw it.
type DownstreamRequest struct {
	ClientAttempt int // index into Tries
	Arrived       time.Duration
	Ended         time.Duration // when its final answer was there, or its client gone
	Status        Status        // StatusServed, Refused, Failed or Gone
	Code          int           // HTTP's; 504 is a failure for want of time. 0 where the client had gone
	RetryAfter    time.Duration // Retry-After; 0 is none
}

// UpstreamRequest is one upstream request as its sidecar saw it, also where no box did.
type UpstreamRequest struct {
	ClientAttempt int // index into Tries
	Endpoint      int // -1 where it was never sent
	Sent          time.Duration
	Duration      time.Duration
	Status        balance.Status
}

// DiscoveryPoll is one call at the list service.
type DiscoveryPoll struct {
	At            time.Duration // when it came
	Sidecar       int
	Duration      time.Duration // until it was answered, the wait for news included
	Watch         bool          // for what is newer than a revision, and not for the whole list
	SinceRevision int64         // that revision: what its list is of, by its own word
	Outcome       PollOutcome

	// Where operators call the sidecars, of an answer that was written: what the sidecar holds once it has taken it over.
	RespondedAt time.Duration // just before it was written
	Revision    int64
	Digest      version.Digest // 0: nothing was written
}

// PollOutcome says what became of a call at the list service.
type PollOutcome uint8

// Kind becomes of calls.
const (
	PollAnswered  PollOutcome = iota // a list or changes were written
	PollRejected                     // beyond the service's capacity
	PollAbandoned                    // the sidecar gave it up, or the connection broke
)

// Connection is a connection that came up at a box, or at the list service (Box -1).
type Connection struct {
	At       time.Duration
	Endpoint int
	Sidecar  int // of the list service's; -1 is not known
}

// Outcome says how a visit ended.
type Outcome uint8

// The ends of a visit.
const (
	OutcomePending   Outcome = iota // still there when the run ended, or never to be answered
	OutcomeOK                       // answered 200, whole
	OutcomeError                    // answered 500
	OutcomeRejected                 // unseen
	OutcomeCorrupted                // cut off, unreadable or too slow: the work was done
	OutcomeCanceled                 // the sidecar gave it up
	OutcomeLost                     // the server went down with it
)

var outcomeNames = [...]string{"held", "ok", "error", "turned away", "spoilt", "withdrawn", "lost"}

func (e Outcome) String() string { return outcomeNames[e] }

// Phase is a box's state in discovery's list.
type Phase uint8

// The phases.
const (
	PhaseReady Phase = iota
	PhaseTerminating
	PhaseGone // gone
)

var phaseNames = [...]string{"Ready", "Terminating", "Gone"}

func (p Phase) String() string { return phaseNames[p] }

// Notification is one entry of a list that was written to a sidecar.
type Notification struct {
	At       time.Duration
	Sidecar  int
	Endpoint int
	Phase    Phase
	UpSince  time.Duration // 0 is before the run
}

// SidecarEvent is something that happened to a sidecar.
type SidecarEvent struct {
	At      time.Duration
	Sidecar int
	Kind    SidecarEventKind
	Detail  string         // of a crash: how it ended and the end of its log
	Digest  version.Digest // SidecarStarted, where operators call it: of the list that it was configured with
}

// SidecarEventKind is what happened.
type SidecarEventKind uint8

// Kind happens to sidecars.
const (
	SidecarStarted         SidecarEventKind = iota // its process was started
	SidecarReady                                   // it answered 200 on /_health
	SidecarStopping                                // SIGTERM was sent
	SidecarKilled                                  // SIGKILL was sent, by the script or at the end of the grace
	SidecarExited                                  // it ended after SIGTERM by itself
	SidecarCrashed                                 // it ended by itself, unasked
	SidecarReloaded                                // SIGHUP was sent
	SidecarUpgradeStarted                          // a second process was started beside it
	SidecarUpgradeFinished                         // and is alone now
)

var sidecarEventNames = [...]string{"started", "ready", "stopping", "killed", "ended", "crashed", "reloaded", "doubled", "succeeded"}

func (h SidecarEventKind) String() string { return sidecarEventNames[h] }

// Sample is a box at one moment; players take one each 100 ms of every box.
type Sample struct {
	At                     time.Duration
	Endpoint               int
	Running, Queued        int
	Connections            int
	Capacity               float64       // present, in standard cores; 0 while it is not up
	SentWork, PossibleWork time.Duration // integrals: work that has reached it, and work it could have done
	DoneWork               time.Duration
	WarmingUp, Collapsed   bool
}

// HealthChange is a change in how a sidecar takes a box to be; the first is when it begins to use the box.
type HealthChange struct {
	At                time.Duration
	Sidecar, Endpoint int
	Grey              bool // failing more than its like
	Ejected           bool // left out for a while, or on trial
}

// ReplayedOrder is an order that the rig itself gave a sidecar.
type ReplayedOrder struct {
	At         time.Duration
	Sidecar    int
	Epoch      uint64
	StatusCode int // HTTP's of the answer; 0: there was none
}

// Usage is what a sidecar's process took.
type Usage struct {
	Sidecar        int
	Build          int // 0 or 1: which of the two builds
	CPU            time.Duration
	PeakMemory     int64 // bytes, resident
	MaxDescriptors int   // most seen
}

// Log is a whole run.
type Log struct {
	ClientAttempts     []ClientAttempt
	EndpointRequests   []EndpointRequest
	DownstreamRequests []DownstreamRequest // that are over, by try; of the virtual player only: sidecars on sockets keep records
	UpstreamRequests   []UpstreamRequest   // that are over, in the order in which they began; likewise
	Notifications      []Notification
	SidecarEvents      []SidecarEvent
	Polls              []DiscoveryPoll // players on sockets only, as the next
	Connections        []Connection
	Samples            []Sample
	ReplayedOrders     []ReplayedOrder
	Reports            []auditlog.Report        // what sidecars of the first tier answered auditors at the end, by sidecar; empty: nothing
	AuditLogs          map[int][]auditlog.Entry // and all entries that anybody has of each
	Findings           map[string][]byte        // what each auditor printed, JSON lines, by name
	HealthChanges      []HealthChange           // of the virtual player only
	Usage              []Usage
	Lateness           []time.Duration // of each first try: when it was sent, less when it was due; players on sockets only
	Start              time.Time       // the run's, by the wall clock; players on sockets only
	End                time.Duration   // when the run was over
}
