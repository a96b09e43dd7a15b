// Package balance decides, for one sidecar, where each request goes, when it is
// tried again and when it is turned away. It does no I/O, keeps no wall clock and
// starts no goroutines: the caller passes every event with the current time and
// carries out the actions that are appended to its buffer.
//
// This file is the whole interface; the decisions are in the files that balance.go names.
package balance

import (
	"fmt"
	"time"
)

// RequestID, EndpointID and Token are opaque numbers; they are handed back as they came.
type (
	RequestID  uint64
	EndpointID uint32
	Token      uint32
)

// Idempotency says how often a class's work may take effect.
type Idempotency uint8

// The effect classes.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // repeats are dropped by the endpoints of one group, for a while
	NonIdempotent                      // must not run twice
)

// Scope names the endpoints that drop a keyed request's repeats.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is what the settings say of one request class.
type Class struct {
	TargetLatency        time.Duration // full worth when answered within this
	Deadline             time.Duration // how long a client waits, over all its tries
	TargetLatencyStretch float64       // the aim grows by this many times the request's own work
	Idempotency          Idempotency
	Scope                Scope         // IdempotentByKey only
	DedupWindow          time.Duration // IdempotentByKey only: how long repeats are dropped, from the first send that may have run
	Value                float64
	LateValue            float64 // share of the worth for an answer after the aim
	Stream               bool
}

// Tenant is what the settings say of one tenant.
type Tenant struct {
	Share float64
	Quota float64 // requests a second, over all instances, that count in full; 0 = no quota
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct{ Waste, Handshake, Probe, Peer, LateFail, CrossZone float64 }

// LoadField names a value of a load report.
type LoadField uint8

// The load fields that decisions use; others arrive as LoadOther.
const (
	LoadOther       LoadField = iota
	LoadInFlight              // requests in hand
	LoadQueue                 // requests waiting for service
	LoadUtilisation           // share of the cores that is busy
	LoadServiceMS             // recent service time in milliseconds, without waiting
	LoadRate                  // requests served a second
	LoadErrorRate             // errors a second
)

// Settings is what an instance is told at its start.
type Settings struct {
	Name               string // of the instance, the same after a restart; empty where its rank is to tell it apart
	Instances, Rank    int    // how many instances this tier has, and which one this is
	Processes          int    // that this one consists of at present, as in an upgrade; 0 is one
	Tier, Tiers        int    // the tier this instance sends to, and how many there are
	Zone, Zones        int
	Kinds              int
	Classes            []Class
	Tenants            []Tenant
	OverQuotaValue     float64 // what a request beyond its tenant's share is worth, as a share of its worth
	ValueByWork        bool    // worth is counted for each unit of work
	PropagatesDeadline bool    // calls carry the time that their caller has left
	MarksRetries       bool
	PollsDiscovery     bool // discovery answers only when asked
	Weights            bool // listed weights are meaningful
	LoadFields         []LoadField
	LoadInline         bool // load reports come with outcomes
	Prices             Prices

	TimeResolution time.Duration // the shortest time between two events' times
	Cancel         bool
	Hedging        bool
	HealthChecks   bool
	PeerMessages   bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	MaxAttempts    int
	MaxPending     int
	ConnectTimeout time.Duration

	ResponseSlack      time.Duration
	DrainGrace         time.Duration
	MaxListAge         time.Duration
	WarmupInitialShare float64
	WarmupDuration     time.Duration
	CollapseMultiple   float64
	CollapseWindow     time.Duration
}

// SettingError is a setting without which decisions cannot be made.
type SettingError struct{ Field string } // as it is named here, such as Classes[1].Deadline

func (f *SettingError) Error() string {
	return fmt.Sprintf("balance: settings: %s is missing or out of range", f.Field)
}

// Validate names the first field without which decisions cannot be made, as a Fault.
func (s *Settings) Validate() error {
	bad := func(field string) error { return &SettingError{field} }
	switch {
	case len(s.Classes) == 0:
		return bad("Classes")
	case s.Instances < 1:
		return bad("Instances")
	case s.MaxAttempts < 1:
		return bad("MaxAttempts")
	case s.TimeResolution < 0:
		return bad("Quantum")
	case s.WarmupInitialShare <= 0 || s.WarmupInitialShare > 1:
		return bad("ColdShare")
	case s.CollapseMultiple <= 0:
		return bad("FallMultiple")
	case s.CollapseWindow <= 0:
		return bad("FallWindow")
	case s.PollsDiscovery && s.MaxListAge <= 0:
		return bad("MustAskIn")
	}
	for i, c := range s.Classes {
		switch {
		case c.TargetLatency <= 0:
			return bad(fmt.Sprintf("Classes[%d].Aim", i))
		case c.Deadline <= 0:
			return bad(fmt.Sprintf("Classes[%d].Deadline", i))
		case c.Value < 0:
			return bad(fmt.Sprintf("Classes[%d].Worth", i))
		case c.Idempotency > NonIdempotent:
			return bad(fmt.Sprintf("Classes[%d].Effect", i))
		case c.Idempotency == IdempotentByKey && c.DedupWindow <= 0:
			return bad(fmt.Sprintf("Classes[%d].Memory", i))
		}
	}
	return nil
}

// EventKind says what an event tells.
type EventKind uint8

// The events.
const (
	EventRequest       EventKind = iota + 1 // a client's request has arrived
	EventOutcome                            // an attempt has ended
	EventFirstByte                          // a streamed answer has begun
	EventClientGone                         // the client has left; nothing more is owed
	EventMembership                         // discovery's view of the endpoints
	EventHealthChecked                      // a probe has ended
	EventPeer                               // a message from another instance
	EventTimer                              // a timer of this instance is due
	EventUploadDone                         // the last byte of a request that was still coming has been passed on
	EventSettings                           // the site's settings have changed
	EventCordon                             // an operator takes an endpoint out, or puts it back
	EventListExpected                       // when discovery is asked next
)

// Status is how an attempt or a probe ended.
type Status uint8

// The outcomes.
const (
	OK            Status = iota
	Error                // the endpoint answered with an error; it may have run
	Rejected             // turned away unseen
	Timeout              // no answer in time; it may have run
	ConnectFailed        // never got there
	Reset                // the connection dropped; it may have run
	Cancelled            // withdrawn; it may have run
	NotSent              // never sent
)

// ListKind says what the entries of a membership event are.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all of them
	ListCached                 // all of them as this instance last saw them, perhaps stale
	ListFailed                 // asking failed or the subscription dropped; no entries
)

// Availability is an endpoint's state in discovery's list.
type Availability uint8

// The states of an endpoint.
const (
	Gone Availability = iota
	Ready
	Draining
)

// Entry is one endpoint of a list.
type Entry struct {
	Endpoint  EndpointID
	State     Availability
	Weight    float64
	Zone      int
	Cell      int
	Kind      int
	StartedAt time.Duration // when it last started; 0 = long ago
	Cached    bool          // as an old list has it: it may have started since, and is cold until a list of the present says otherwise
}

// LoadReport holds the first N of Settings.LoadFields.
type LoadReport struct {
	N int
	V [4]float32
}

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	Kind EventKind

	Request          RequestID
	Class            int
	Tenant           int
	Key              uint64
	Remaining        time.Duration // until the client abandons this try
	WorkHint         time.Duration // expected work on a standard core; 0 = none
	Uploading        bool          // its message still comes: its time begins with EventUploadDone, and it has one attempt at a time
	ClientRetry      bool          // a client's own retry, where clients mark it
	Write            bool
	EarlierAttemptAt time.Duration // when the same effect was first asked for, at Endpoint, by an earlier request, and may have taken place; 0 = never
	MaxAttempts      int           // attempts that it may make here; 0 = as the settings have it, below 0 = none
	ValueShare       float64       // share of its class's worth that it is worth, as a tier above had it; 0 = all of it

	Endpoint     EndpointID
	Cordoned     bool // of a cordon: taken out, and not put back
	Attempt      int
	Closed       bool // the request has ended
	Status       Status
	RetriedBelow bool // of a failure: the tier below has tried again itself, and another attempt would only repeat that
	Latency      time.Duration
	Load         LoadReport

	List       ListKind
	Entries    []Entry
	ExpectedIn time.Duration // until a list may come, where discovery is not asked all the time

	Settings *Settings // the classes that there were keep their places; a new one comes after them

	From  int
	Data  []byte
	Token Token
}

// ActionKind says what the caller is to do.
type ActionKind uint8

// The actions.
const (
	ActSend        ActionKind = iota + 1 // start an attempt
	ActReject                            // final answer: turned away, a retry is harmless
	ActFail                              // final answer: failed, nothing is promised
	ActCancel                            // stop waiting for an attempt
	ActTimer                             // ask for an EventTimer
	ActFetch                             // ask discovery for the whole list
	ActSubscribe                         // subscribe to discovery's changes
	ActHealthCheck                       // examine an endpoint
	ActSendPeer                          // send Data to a peer
	ActCloseIdle                         // close idle connections to an endpoint
	ActLog                               // a line for the operators
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Endpoint   EndpointID
	Attempt    int
	After      time.Duration // ActSend: time-out; ActTimer: from now; ActReject: retry hint
	ValueShare float64       // ActSend: share of its class's worth that the request is worth
	Token      Token
	Peer       int // ActSendPeer: a rank, or -1 for all
	Data       []byte
	Text       string
}

// New returns the decision state of one instance, or an error naming the setting that is missing.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return newBalancer(s, seed), nil
}
