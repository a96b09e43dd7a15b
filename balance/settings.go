package balance

import (
	"fmt"
	"time"
)

// Idempotency says how often the work of a class may take effect.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the endpoints of a Scope drop duplicates of one key for Class.DedupWindow
	NonIdempotent                      // must not run twice
)

// Scope is the set of endpoints that recognise duplicates of an IdempotentByKey request.
type Scope uint8

// The scopes of an IdempotentByKey class.
const (
	ScopeAll  Scope = iota // all endpoints
	ScopeZone              // those of one zone
	ScopeCell              // those of one cell of one zone
)

// Class is what the settings say of one request class.
type Class struct {
	TargetLatency        time.Duration // an answer within it has the full Value
	Deadline             time.Duration // how long a client waits, over all its attempts
	TargetLatencyStretch float64       // the target grows by this many times the request's own work
	Idempotency          Idempotency
	Scope                Scope         // IdempotentByKey only
	DedupWindow          time.Duration // IdempotentByKey only: how long duplicates are dropped, from the first send that may have run
	Value                float64       // of a served request, relative to the other classes
	LateValue            float64       // share of Value, 0 to 1, of an answer after TargetLatency
	Stream               bool          // answers are streamed
}

// Tenant is what the settings say of one tenant.
type Tenant struct {
	Share float64
	Quota float64 // requests a second, over all instances, that have the full value; 0 is no quota
}

// Prices are the points that each cost takes off the result, each times its share or rate.
type Prices struct{ Waste, Handshake, Probe, Peer, LateFail, CrossZone float64 }

// LoadField names a value of a load report.
type LoadField uint8

// The load fields that the decisions know; all others are LoadOther.
const (
	LoadOther       LoadField = iota
	LoadInFlight              // requests in flight
	LoadQueue                 // requests queued for service
	LoadUtilisation           // busy share of the cores, 0 to 1
	LoadServiceMS             // recent service time in milliseconds, without queueing
	LoadRate                  // requests served a second
	LoadErrorRate             // errors a second
)

// Settings is the configuration of one instance.
type Settings struct {
	Name            string // of the instance, the same after a restart; empty where only Rank identifies it
	Instances, Rank int    // number of instances of this tier, and the index of this one
	Processes       int    // of which this instance consists at present, as during an upgrade; 0 is one
	Tier, Tiers     int    // index of the tier that this instance sends to, and the number of tiers
	Zone, Zones     int    // index of this instance's zone, and the number of zones
	Kinds           int    // number of endpoint kinds
	Classes         []Class
	Tenants         []Tenant
	OverQuotaValue  float64 // share of its value that a request over its tenant's quota has
	ValueByWork     bool    // values are per unit of work
	// PropagatesDeadline says that calls carry the time that their caller has left.
	PropagatesDeadline bool
	MarksRetries       bool // clients mark their own retries
	PollsDiscovery     bool // discovery answers only when asked
	Weights            bool // listed weights are meaningful
	LoadFields         []LoadField
	LoadInline         bool // load reports come with outcomes
	Prices             Prices

	TimeResolution time.Duration // the shortest time between two events' times
	Cancel         bool          // attempts may be cancelled
	Hedging        bool          // a request may have more than one attempt open
	HealthChecks   bool          // health checks are allowed
	PeerMessages   bool          // instances may send each other messages
	RetryAfter     bool          // rejections may carry a retry hint
	MaxRetryAfter  time.Duration
	MaxAttempts    int // of one request
	MaxPending     int // requests pending at once
	ConnectTimeout time.Duration

	ResponseSlack      time.Duration
	DrainGrace         time.Duration
	MaxListAge         time.Duration // with PollsDiscovery: the age at which a membership list counts as stale
	WarmupInitialShare float64       // share of its capacity, over 0 to 1, that an endpoint has right after its start
	WarmupDuration     time.Duration // until it has all of it
	CollapseMultiple   float64       // an endpoint collapses that is sent so many times its capacity
	CollapseWindow     time.Duration // over so long
}

// processCount is the number of processes that share what all instances together may do.
func (s *Settings) processCount() float64 { return float64(s.Instances * max(1, s.Processes)) }

// SettingError is a setting that is missing or out of range, without which no decision can be made.
type SettingError struct {
	// Field is the setting's stable name, such as ColdShare or Classes[1].Deadline. It stands in error texts, and package
	// config maps it to the key of the configuration file; it does not follow the identifiers of Settings.
	Field string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("balance: settings: %s is missing or out of range", e.Field)
}

// Validate returns a *SettingError for the first setting without which no decision can be made, or nil.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return &SettingError{"Classes"}
	case s.Instances < 1:
		return &SettingError{"Instances"}
	case s.MaxAttempts < 1:
		return &SettingError{"MaxAttempts"}
	case s.TimeResolution < 0:
		return &SettingError{"Quantum"}
	case s.WarmupInitialShare <= 0 || s.WarmupInitialShare > 1:
		return &SettingError{"ColdShare"}
	case s.CollapseMultiple <= 0:
		return &SettingError{"FallMultiple"}
	case s.CollapseWindow <= 0:
		return &SettingError{"FallWindow"}
	case s.PollsDiscovery && s.MaxListAge <= 0:
		return &SettingError{"MustAskIn"}
	}
	for i := range s.Classes {
		if field := s.Classes[i].invalidField(); field != "" {
			return &SettingError{fmt.Sprintf("Classes[%d].%s", i, field)}
		}
	}
	return nil
}

// invalidField returns the stable name of the first field that is missing or out of range, or "".
func (c *Class) invalidField() string {
	switch {
	case c.TargetLatency <= 0:
		return "Aim"
	case c.Deadline <= 0:
		return "Deadline"
	case c.Value < 0:
		return "Worth"
	case c.Idempotency > NonIdempotent:
		return "Effect"
	case c.Idempotency == IdempotentByKey && c.DedupWindow <= 0:
		return "Memory"
	}
	return ""
}
