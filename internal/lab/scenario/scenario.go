// Package scenario describes what the test lab plays: the upstream endpoints, the clients, service discovery, the fleet
// of sidecars, the faults, and the bounds that the results have to keep, as one TOML file says it. Both players (package
// simulation in virtual time, package loopback with processes on sockets), the planner and the judges read it.
//
// Load and Parse are strict: an unknown key, a wrong type and a value out of range are errors that name the file, the
// line and the key. Nothing in the package but Load reads a file, and a parsed scenario is not changed by it later.
//
// The keys of the file are in docs/scenarios.md; the tags keep them where a field has another name.
package scenario

import (
	"slices"
	"strings"

	"pinelb.example/pinelb/internal/tomlfile"
)

// Span is a duration in a scenario, written as "250ms".
type Span = tomlfile.Duration

// Scenario describes one run. Times count from its start.
type Scenario struct {
	Name   string
	About  string // a sentence for reports
	Seed   uint64 // of every random draw
	Length Span   // of the arrivals; requests in flight at its end are played to their ends
	WarmUp Span   `toml:"settle"` // at the start, left out of the results

	Classes      []Class `toml:"class"`
	Tiers        []Tier  `toml:"tier"`
	Rules        Rules
	Clients      Clients
	Bursts       []Burst `toml:"burst"`
	Fleet        Fleet
	Discovery    Discovery
	Network      Network
	Auditors     []Auditor     `toml:"audit"`
	Faults       []Fault       `toml:"fault"`
	Expectations []Expectation `toml:"expect"`
}

// Class is a kind of request.
type Class struct {
	Name             string
	Share            float64 // of the first attempts of clients, in proportion to the other classes' shares
	Work             Span    // mean, on a core of Speed 1, over all tiers at their Work of 1
	WorkDistribution string  `toml:"spread"` // "fixed", "exp" (exponential) or "lognormal"
	CV               float64 // coefficient of variation, of the lognormal distribution
	AttemptCV        float64 `toml:"noise"` // of an attempt's work around its request's, lognormal; 0 is none
	TargetLatency    Span    `toml:"aim"`   // a response within it has the full value
	Deadline         Span    // for how long a client waits, over all its attempts
	Value            float64 `toml:"worth"`  // of a response in time
	Idempotency      string  `toml:"effect"` // "safe", "keyed" or "unsafe"
	DedupWindow      Span    `toml:"window"` // keyed: for how long endpoints drop a repeat of a key
	RequestBytes     int     `toml:"body"`   // size of a request's body; safe classes have none
	ResponseBytes    int     `toml:"answer"` // size of a response's body
}

// Tier is a tier of endpoints. Clients send to the first.
type Tier struct {
	Name       string
	Work       float64        // share of a class's work that an endpoint of it does for each call
	Calls      float64        // mean number of calls of the next tier for each request, one after another
	NextTier   string         `toml:"to"`    // the tier that it calls, where that is not the next in order
	Propagates string         `toml:"carry"` // headers that endpoints pass on in both directions: "all" or "none"
	Kinds      []EndpointKind `toml:"kind"`
}

// EndpointKind is a number of endpoints that are built alike.
type EndpointKind struct {
	Name                string  // as discovery names the kind
	Endpoints           int     `toml:"boxes"`
	Cores               int     // of each endpoint
	Speed               float64 // of a core; 1 is standard
	SpeedCV             float64 `toml:"speed_cv"` // from endpoint to endpoint, lognormal
	Slots               int     // requests that an endpoint works on at once
	Queue               int     // requests that may wait for a slot
	OverloadAt          int     `toml:"crowd_at"`   // pending requests from which efficiency falls; 0 is never
	OverloadLoss        float64 `toml:"crowd_loss"` // see model.Spec
	PauseInterval       Span    `toml:"pause_every"`
	Pause               Span    // mean length of a pause, such as a garbage collection
	ErrorRate           float64 `toml:"error_rate"` // share of the requests that end in an error after their work
	WarmupInitialShare  float64 `toml:"cold_from"`  // of its capacity, right after a start
	WarmupDuration      Span    `toml:"cold_for"`
	WarmupBy            string  `toml:"warm_by"` // "time" or "work"
	Start               string  // "warm", "cold" (it starts with the run) or "absent" (until an "add")
	CancelRule          string  `toml:"cancel"` // what a cancellation stops: "nothing", "waiting" or "all"
	Connections         int     // open at once; more are refused
	ConnectionTableLoss float64 `toml:"table_tax"` // share of the capacity that a full connection table takes
	HandshakeWork       Span    `toml:"handshake"` // of a new connection, done with the first request on it
}

// Rules are the limits and permissions that sidecars get in their settings, and by which the judges go.
type Rules struct {
	DrainGrace         Span    `toml:"drain_grace"`   // within which nothing may be sent to a draining endpoint any more
	WarmupInitialShare float64 `toml:"cold_share"`    // slow start: the share of its capacity that an endpoint starts with
	WarmupDuration     Span    `toml:"cold_for"`      // slow start: until full capacity
	CollapseMultiple   float64 `toml:"fall_multiple"` // a warming endpoint collapses at this multiple of its capacity
	CollapseWindow     Span    `toml:"fall_window"`   // over which that is counted
	ResponseSlack      Span    `toml:"answer_slack"`  // by which a response may come after its deadline
	MaxAttempts        int     `toml:"max_attempts"`  // for each request of a client, at one sidecar
	MaxPending         int     `toml:"max_held"`      // requests at a sidecar at once
	Hedging            bool    `toml:"second_copies"`
	Cancel             bool    // attempts may be cancelled
	HealthChecks       bool    `toml:"probes"`
	RetryAfter         bool    `toml:"retry_after"` // rejections may carry it
	MaxRetryAfter      Span    `toml:"max_retry_after"`
	ConnectTimeout     Span    `toml:"connect_timeout"`
	ConnIdleTimeout    Span    `toml:"conn_idle"`
	PropagatesDeadline bool    `toml:"passes_deadline"` // endpoints pass the remaining time on to the next tier
	MarksRetries       bool    `toml:"marks_retry"`     // clients mark their retries as such
	ValueByWork        bool    `toml:"by_work"`         // a class's value counts for each unit of work
}

// Clients is the load. One of Load, Rate and RecordFile is given, or bursts alone.
type Clients struct {
	Load                float64 // as a share of the capacity of the warm endpoints, of the tier that saturates first
	Rate                float64 // or first attempts a second
	Shape               string  // of the arrivals: "steady" (a Poisson process), "even" (at equal intervals) or "wave"
	Swing               float64 // wave: amplitude, as a share of the rate
	Period              Span    // wave
	RecordFile          string  `toml:"recorded"` // or the arrivals of a sidecar's record, a path from the scenario's folder
	MaxRetries          int     `toml:"retries"`
	AttemptTimeoutShare float64 `toml:"try_share"` // of the class's deadline, after which a client aborts an attempt
	Backoff             Span    // before a retry
	HonorRetryAfter     float64 `toml:"honour"`    // share of the clients that follow Retry-After
	CancelShare         float64 `toml:"impatient"` // share of the clients that cancel before their deadline
	NewConnectionShare  float64 `toml:"fresh"`     // share of the requests that come on a connection of their own
	Skew                float64 // share of the clients that the first sidecar gets beyond its even part
	FailureDetection    Span    `toml:"notice"` // from a sidecar's crash until the front stops sending to it
}

// Burst is additional load for a time.
type Burst struct {
	At             Span
	Duration       Span    `toml:"for"`
	Rate           float64 // first attempts a second
	Class          string  // "" is any, by the shares
	NewConnections bool    `toml:"fresh"` // each request comes on a connection of its own
}

// Fleet is the sidecars and how they are configured.
type Fleet struct {
	Sidecars            int     // of the first tier; each endpoint that calls another tier has one of its own
	Protocol            string  // between clients, sidecars and endpoints: one of Protocols
	Policy              string  // "pinelb", or "plain": no sidecars, clients take the listed endpoints in turn
	SecondBuild         int     `toml:"other"`    // how many of the first tier run the second build, where there is one
	RankSetting         string  `toml:"rank"`     // "right", "equal" (0 for all) or "none" (left out of the settings)
	OperatorConfig      string  `toml:"operator"` // text of their operator's file; "" is none
	ConfiguredInstances int     `toml:"told"`     // the number of instances in their settings; 0 is the real one
	Budget              *Budget // the operator's [budget]; nil is none
	Start               string  // "before" the run, which waits until all are ready, or "with" it
	StartSpread         Span    `toml:"start_spread"` // with: over which they start
	InitialList         string  `toml:"known"`        // the list that they start with: "fresh", "none" or "stale"
	MemoryMB            int     `toml:"memory_mb"`
	Sockets             int
	Cores               float64
}

// HasAuditLogs reports whether the sidecars write audit logs and take orders: whether their operator's file has the
// section [audit].
func (f *Fleet) HasAuditLogs() bool {
	return slices.Contains(strings.Fields(f.OperatorConfig), "[audit]")
}

// Budget is the section [budget] of the sidecars' operator's file. Its service is the name of the tier that a sidecar
// sends to.
type Budget struct {
	AttemptLimit int     `toml:"attempts"`
	ReentryLimit int     `toml:"reentry"`
	Share        float64 // of the sidecars that have the section
}

// Discovery is how changes of the endpoints reach the sidecars' lists.
type Discovery struct {
	AddDelay          Span         `toml:"add"`        // until an endpoint that is up is listed
	RemoveDelay       Span         `toml:"notice"`     // until draining, or the end of a process, shows in the list
	UnresponsiveDelay Span         `toml:"silent"`     // until a machine that has vanished is removed
	Jitter            Span         `toml:"spread"`     // on top, uniform from sidecar to sidecar
	FullLists         bool         `toml:"whole"`      // every update is the full list
	LateShare         float64      `toml:"late_share"` // share of the sidecars that get every update LateDelay later
	LateDelay         Span         `toml:"late"`
	ListService       *ListService `toml:"service"` // of bounded capacity, behind all agents; nil: agents respond at once
}

// ListService is the capacity of the list service. A long poll takes its part of it like any call.
type ListService struct {
	Concurrency int    `toml:"calls"`       // calls in service at once
	ServiceTime Span   `toml:"call"`        // of a call
	QueueLength int    `toml:"line"`        // calls that may wait
	OnOverflow  string `toml:"beyond"`      // what a further call gets: "503", "reset", "silence", or "slower" for all calls
	RetryAfter  Span   `toml:"retry_after"` // of the 503; 0 is none
}

// Auditor is an audit process beside the fleet. It polls all sidecars of the first tier.
type Auditor struct {
	Name           string
	Start          Span
	Interval       Span    `toml:"every"`  // between rounds
	Timeout        Span    `toml:"within"` // of one sidecar's poll; 0 is the program's default
	PollsList      bool    `toml:"list"`   // from the list service; otherwise the newest version at any sidecar is taken
	RaisesMinimum  bool    `toml:"raise"`  // it raises the minimum version
	Grace          Span    // of a raised minimum
	Jitter         Span    `toml:"spread"`   // over which sidecars below the minimum poll again
	IssuesPermits  bool    `toml:"shut_out"` // it issues permits, without which a sidecar below the minimum stops serving
	MaxPermitShare float64 `toml:"share"`    // of the fleet and of each zone that may be stopped at once
	KillAt         Span    `toml:"kill"`     // SIGKILL; 0 is never
	RestartDelay   Span    `toml:"back"`     // from then until it starts again from its stored state; 0 is never
	PauseAt        Span    `toml:"pause"`    // the process is stopped from then on; 0 is never
	PauseDuration  Span    `toml:"for"`
}

// Network is the virtual network. Processes on sockets have the machine's own.
type Network struct {
	Delay Span // one way, to and from a sidecar
}

// Fault is something that goes wrong, or an operation during the run. Which fields apply depends on the kind.
type Fault struct {
	// Kind is one of EndpointFaults, EndpointEvents, SidecarAndDiscoveryFaults, ListServiceFaults and LinkFaults, or "flap",
	// which repeats an endpoint's fault.
	Kind     string
	At       Span
	Duration Span   `toml:"for"` // 0 is to the end of the run
	Tier     string // "" is the first

	// What it affects: a number of the tier's endpoints, drawn by the seed, a share of them (one at least), or names. For a
	// sidecar's kinds these are sidecars of the first tier; none of the three is all sidecars.
	Endpoints int `toml:"boxes"`
	Share     float64
	Names     []string

	Size float64 // a share of the requests or a factor, by kind

	// Of the kinds that affect a share of the requests (hurry has the class, too): only those of a class, only while an
	// endpoint has so many running and queued, or ("connection" in place of "request") all on a share of the connections.
	// A link_cut has its directions in Scope: "both", "there" or "back".
	Class       string
	MinInFlight int    `toml:"above"`
	Scope       string `toml:"by"`

	TimeoutShare float64 `toml:"left"` // hurry: share of their usual time-out of an attempt that such clients have

	// Target is, for flap, the kind that it repeats; for list_wrong "empty", "half" or "other"; for the kinds of links
	// "list", "boxes", "clients" or "control".
	Target string `toml:"of"`

	Up, Down Span // flap, and faults of the list service and of links: lengths of the two phases
	Grace    Span // drain: until the process exits; sidecar_stop: until SIGKILL

	// RecoveryDelay is, for drain, sidecar_kill and sidecar_stop, the time from the exit to the restart, 0 being never. For
	// list_slow, link_slow and discovery_late it is the delay, and for order_again the time until the replay.
	RecoveryDelay Span `toml:"back"`

	Step Span // between one sidecar and the next
}

// Expectation is a bound on a figure of the run. Violated rules need none: they always count.
type Expectation struct {
	Measure string   `toml:"what"` // one of Measures
	Class   string   // "" is all
	Min     *float64 `toml:"least"`
	Max     *float64 `toml:"most"`
	From    Span     // start of the window of due times; 0 is the end of the warm-up
	To      Span     // 0 is the end of the run
}

// Measures are the figures that an Expectation can name: shares of the first attempts, counts, and times in seconds.
var Measures = []string{"service", "served", "late", "refused", "failed", "gone", "attempts", "copies", "wasted",
	"p50", "p90", "p99", "p999", "fallen", "worst", "refusals", "bottom",
	"list_calls", "list_refused", "list_dials", "list_peak", "handshakes", "unready", "unlisted", "unserving",
	"attempts_peak", "again_peak",
	"audit_wrong", "audit_missing", "audit_hidden", "audit_false", "audit_late", "audit_ends"}
