package balance

import (
	"fmt"
	"time"
)

// Idempotency says whether the requests of a class may run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a request may run any number of times
	IdempotentByKey                    // the endpoints of a Scope drop duplicates with the same key for Class.DedupWindow
	NonIdempotent                      // a request must not run twice
)

// Scope is the set of endpoints that recognise duplicates of an IdempotentByKey request.
type Scope uint8

// The scopes of an IdempotentByKey class.
const (
	ScopeAll  Scope = iota // all endpoints
	ScopeZone              // the endpoints of one zone
	ScopeCell              // the endpoints of one cell of one zone
)

// Class is the settings of one request class.
type Class struct {
	TargetLatency        time.Duration // an answer within this time has the full Value
	Deadline             time.Duration // time for which a client waits, over all attempts
	TargetLatencyStretch float64       // multiple of a request's own work that is added to its target latency
	Idempotency          Idempotency
	Scope                Scope         // IdempotentByKey only
	DedupWindow          time.Duration // IdempotentByKey only: duplicates are dropped this long after the first send that may have run
	Value                float64       // of a served request, relative to the other classes
	LateValue            float64       // fraction of Value, 0 to 1, of an answer after TargetLatency
	Stream               bool          // answers are streamed
}

// Tenant is the settings of one tenant.
type Tenant struct {
	Share float64 // not used by the decisions; read from the configuration
	Quota float64 // requests per second, over all instances, that have the full value; 0 is no quota
}

// Prices are the points by which each cost lowers the platform's score, per unit of its share or rate. They are read from
// the configuration, but no decision uses them.
type Prices struct{ Waste, Handshake, Probe, Peer, LateFail, CrossZone float64 }

// LoadField identifies a value of a load report.
type LoadField uint8

// The load fields that have a name; all others are LoadOther.
const (
	LoadOther       LoadField = iota
	LoadInFlight              // requests in flight
	LoadQueue                 // requests queued for service
	LoadUtilisation           // busy fraction of the cores, 0 to 1
	LoadServiceMS             // recent service time in milliseconds, without queueing
	LoadRate                  // requests served per second
	LoadErrorRate             // errors per second
)

// Settings is the configuration of one instance.
type Settings struct {
	Name            string // name of the instance, the same after a restart; empty if only Rank identifies it
	Instances, Rank int    // number of instances of this tier, and the index of this one
	Processes       int    // number of processes of this instance, more than one during an upgrade; 0 means one
	Tier, Tiers     int    // index of the tier that this instance sends to, and the number of tiers
	Zone, Zones     int    // index of this instance's zone, and the number of zones
	Kinds           int    // number of endpoint kinds
	Classes         []Class
	Tenants         []Tenant
	OverQuotaValue  float64 // fraction of its value, 0 to 1, that a request over its tenant's quota has
	ValueByWork     bool    // values are per unit of work
	// PropagatesDeadline says that requests carry the remaining time of their caller.
	PropagatesDeadline bool
	MarksRetries       bool // clients mark their own retries
	PollsDiscovery     bool // discovery sends lists only in answer to a poll or subscription
	Weights            bool // listed weights are meaningful
	LoadFields         []LoadField
	LoadInline         bool // load reports are part of outcomes
	Prices             Prices

	TimeResolution time.Duration // minimum difference between the times of two events
	Cancel         bool          // attempts may be cancelled
	Hedging        bool          // a request may have more than one open attempt
	HealthChecks   bool          // health checks are allowed
	PeerMessages   bool          // instances may send each other messages
	RetryAfter     bool          // rejections may carry a retry hint
	MaxRetryAfter  time.Duration
	MaxAttempts    int // attempts per request
	MaxPending     int // requests pending at a time
	ConnectTimeout time.Duration

	ResponseSlack      time.Duration // not used by the decisions
	DrainGrace         time.Duration // not used by the decisions: a draining endpoint gets no new attempts
	MaxListAge         time.Duration // with PollsDiscovery: age from which a membership list counts as stale
	WarmupInitialShare float64       // fraction of its capacity that an endpoint has just after its start; above 0, at most 1
	WarmupDuration     time.Duration // time from an endpoint's start to its full capacity
	CollapseMultiple   float64       // multiple of its capacity at which an endpoint that is warming up collapses (goes down)
	CollapseWindow     time.Duration // time over which the load is compared with CollapseMultiple
}

// processCount is the number of processes of all instances, among which limits and quotas are divided.
func (s *Settings) processCount() float64 { return float64(s.Instances * max(1, s.Processes)) }

// SettingError reports a required setting that is missing or out of range.
type SettingError struct {
	// Field is the setting's stable name, such as ColdShare or Classes[1].Deadline. It appears in error messages, and
	// package config maps it to the key of the configuration file. It may differ from the name of the field in
	// Settings.
	Field string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("balance: settings: %s is missing or out of range", e.Field)
}

// Validate returns a *SettingError for the first required setting that is missing or out of range, or nil. The names in
// the errors are the stable ones of SettingError.Field: Quantum, for example, is TimeResolution.
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
