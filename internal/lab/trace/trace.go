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

// None is a time that never came.
const None = time.Duration(-1)

// Status is how a try ended for its client.
type Status uint8

// The ends of a try.
const (
	Served  Status = iota // 200 with the whole body
	Refused               // 429 or 503: trying again is harmless
	Failed                // any other answer, or one that was cut or spoilt
	Gone                  // the client left, as planned, before there was an answer
	Silent                // no answer by the end of the try: nothing came, however long the client waited
	Broken                // the connection broke with no answer begun
	NoEntry               // no connection came up, or it broke before the request was written: nothing was taken
)

var statusWords = [...]string{"served", "refused", "failed", "gone", "silent", "broken", "no entry"}

func (s Status) String() string { return statusWords[s] }

// Try is one request as its client saw it: a client's first try or one of its retries, or in the second
// tier a call that a box made through its own sidecar.
type Try struct {
	Txn      uint64
	Request  int    // index into the plan's requests; calls carry that of the client's request
	Parent   uint64 // a call: the id of the request that its box had; 0 is a client's, or not known
	No       int    // 0 for the first try
	Tier     int    // of the boxes that it is for
	Sidecar  int    // that got it
	Class    int
	Due      time.Duration // when the first try should have been sent by the plan: latency counts from here
	Sent     time.Duration // when this one was written whole; None if never
	Left     time.Duration // what the client told: how long it waits, from Sent
	Answered time.Duration // the last byte of the answer, or when it ended without one
	Status   Status
	Code     int                  // HTTP's, 0 for none; over Thrift the type of the TApplicationException
	Advice   time.Duration        // Retry-After; 0 is none
	Box      int                  // whose answer it is by its body; -1 is unknown
	Tried    budget.AttemptReport // what the answer says of attempts that it took below
	Forged   bool                 // a 200 whose body no box made for this request
	Answers  int                  // whole final answers that came for it: more than 1 breaks a rule
}

// Visit is one attempt as a server saw it.
type Visit struct {
	Txn     uint64 // of the try; with no match, nobody sent it
	Box     int
	Conn    uint64        // which connection it came on
	Begun   time.Duration // its first byte
	Arrived time.Duration // its last byte; None if it never came whole
	Started time.Duration // when it began to run; None if it did not
	Ended   time.Duration // when it was answered, withdrawn or lost; None if still held at the end
	End     End
	Key     uint64
	Repeat  bool          // dropped as a repeat of its key
	Done    time.Duration // work that it took
}

// Stream is a try as the sidecar that took it saw it.
type Stream struct {
	Try      int // index into Tries
	Arrived  time.Duration
	Answered time.Duration // when its final answer was there, or its client gone
	Status   Status        // Served, Refused, Failed or Gone
	Code     int           // HTTP's; 504 is a failure for want of time. 0 where the client had gone
	Advice   time.Duration // Retry-After; 0 is none
}

// Attempt is one upstream request as its sidecar saw it, also where no box did.
type Attempt struct {
	Try    int // index into Tries
	Box    int // -1 where it was never sent
	Sent   time.Duration
	Took   time.Duration
	Status balance.Status
}

// Asked is one call at the list service.
type Asked struct {
	At      time.Duration // when it came
	Sidecar int
	Took    time.Duration // until it was answered, the wait for news included
	Watch   bool          // for what is newer than a revision, and not for the whole list
	Since   int64         // that revision: what its list is of, by its own word
	How     AskedHow

	// Where operators call the sidecars, of an answer that was written: what the sidecar holds once it has taken it over.
	Told     time.Duration // just before it was written
	Revision int64
	Digest   version.Digest // 0: nothing was written
}

// AskedHow says what became of a call at the list service.
type AskedHow uint8

// What becomes of calls.
const (
	Listed AskedHow = iota // a list or changes were written
	Turned                 // beyond the service's capacity
	Left                   // the sidecar gave it up, or the connection broke
)

// Dialled is a connection that came up at a box, or at the list service (Box -1).
type Dialled struct {
	At      time.Duration
	Box     int
	Sidecar int // of the list service's; -1 is not known
}

// End says how a visit ended.
type End uint8

// The ends of a visit.
const (
	Held       End = iota // still there when the run ended, or never to be answered
	OK                    // answered 200, whole
	Errored               // answered 500
	TurnedAway            // unseen
	Spoilt                // cut off, unreadable or too slow: the work was done
	Withdrawn             // the sidecar gave it up
	LostHere              // the server went down with it
)

var endWords = [...]string{"held", "ok", "error", "turned away", "spoilt", "withdrawn", "lost"}

func (e End) String() string { return endWords[e] }

// Phase is a box's state in discovery's list.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Terminating
	Away // gone
)

var phaseWords = [...]string{"Ready", "Terminating", "Gone"}

func (p Phase) String() string { return phaseWords[p] }

// Told is one entry of a list that was written to a sidecar.
type Told struct {
	At      time.Duration
	Sidecar int
	Box     int
	Phase   Phase
	UpSince time.Duration // 0 is before the run
}

// Change is something that happened to a sidecar.
type Change struct {
	At      time.Duration
	Sidecar int
	What    Happening
	Text    string         // of a crash: how it ended and the end of its log
	Digest  version.Digest // Begun, where operators call it: of the list that it was configured with
}

// Happening is what happened.
type Happening uint8

// What happens to sidecars.
const (
	Begun     Happening = iota // its process was started
	Able                       // it answered 200 on /_health
	Stopping                   // SIGTERM was sent
	Killed                     // SIGKILL was sent, by the script or at the end of the grace
	Ended                      // it ended after SIGTERM by itself
	Crashed                    // it ended by itself, unasked
	Reloaded                   // SIGHUP was sent
	Doubled                    // a second process was started beside it
	Succeeded                  // and is alone now
)

var happeningWords = [...]string{"started", "ready", "stopping", "killed", "ended", "crashed", "reloaded", "doubled", "succeeded"}

func (h Happening) String() string { return happeningWords[h] }

// Sample is a box at one moment; players take one each 100 ms of every box.
type Sample struct {
	At              time.Duration
	Box             int
	InWork, Waiting int
	Connections     int
	Capacity        float64       // present, in standard cores; 0 while it is not up
	Sent, Could     time.Duration // integrals: work that has reached it, and work it could have done
	Did             time.Duration
	Cold, Fallen    bool
}

// Judged is a change in how a sidecar takes a box to be; the first is when it begins to use the box.
type Judged struct {
	At           time.Duration
	Sidecar, Box int
	Grey         bool // failing more than its like
	Ejected      bool // left out for a while, or on trial
}

// Ordered is an order that the rig itself gave a sidecar.
type Ordered struct {
	At      time.Duration
	Sidecar int
	Epoch   uint64
	Code    int // HTTP's of the answer; 0: there was none
}

// Usage is what a sidecar's process took.
type Usage struct {
	Sidecar     int
	Build       int // 0 or 1: which of the two builds
	CPU         time.Duration
	PeakMemory  int64 // bytes, resident
	Descriptors int   // most seen
}

// Log is a whole run.
type Log struct {
	Tries    []Try
	Visits   []Visit
	Streams  []Stream  // that are over, by try; of the virtual player only: sidecars on sockets keep records
	Attempts []Attempt // that are over, in the order in which they began; likewise
	Told     []Told
	Changes  []Change
	Asked    []Asked // players on sockets only, as the next
	Dials    []Dialled
	Samples  []Sample
	Ordered  []Ordered
	Reports  []auditlog.Report        // what sidecars of the first tier answered auditors at the end, by sidecar; empty: nothing
	Trails   map[int][]auditlog.Entry // and all entries that anybody has of each
	Findings map[string][]byte        // what each auditor printed, JSON lines, by name
	Judged   []Judged                 // of the virtual player only
	Usage    []Usage
	Lateness []time.Duration // of each first try: when it was sent, less when it was due; players on sockets only
	Start    time.Time       // the run's, by the wall clock; players on sockets only
	End      time.Duration   // when the run was over
}
