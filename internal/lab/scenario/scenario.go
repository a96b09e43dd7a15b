// Package scenario is what the rig plays: the boxes, the clients, discovery, the fleet of sidecars, what goes
// wrong and what is expected, as one TOML file says it. Reading is strict and every error names the file, the
// line and the key. docs/scenarios.md describes each key.
package scenario

import "pinelb.example/pinelb/internal/tomlfile"

// Span is a time in a scenario, written as "250ms".
type Span = tomlfile.Span

// Scenario is a whole run. Times count from its start.
type Scenario struct {
	Name   string
	About  string
	Seed   uint64
	Length Span // of the arrivals; what is open then is seen through
	WarmUp Span `toml:"settle"` // at the start, left out of the results

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

// Classes is a kind of request.
type Class struct {
	Name             string
	Share            float64 // of the first tries; shares are taken in proportion
	Work             Span    // mean, on a standard core, over all tiers at their Work of 1
	WorkDistribution string  `toml:"spread"` // "fixed", "exp" or "lognormal"
	CV               float64 // of lognormal: standard deviation over mean
	AttemptCV        float64 `toml:"noise"` // the same of each attempt's work around its request's, lognormal; 0 is none
	TargetLatency    Span    `toml:"aim"`
	Deadline         Span    // how long a client waits, over all its tries
	Value            float64 `toml:"worth"`
	Idempotency      string  `toml:"effect"` // "safe", "keyed" or "unsafe"
	DedupWindow      Span    `toml:"window"` // keyed: how long boxes drop a repeat
	RequestBytes     int     `toml:"body"`   // bytes of a request's body; safe classes have none
	ResponseBytes    int     `toml:"answer"` // bytes of an answer's
}

// Tiers is a tier of boxes. Clients' requests go to the first.
type Tier struct {
	Name       string
	Work       float64        // share of a class's work that a box of it does for each call
	Calls      float64        // of the next tier that each request of this one makes, on average, one after another
	NextTier   string         `toml:"to"`    // the tier that it calls, if not the next one
	Propagates string         `toml:"carry"` // what its boxes pass on that they don't know: "all" is what a request carries, and what a failure says; or "none"
	Kinds      []EndpointKind `toml:"kind"`
}

// EndpointKind is a number of boxes built alike.
type EndpointKind struct {
	Name                string
	Endpoints           int `toml:"boxes"`
	Cores               int
	Speed               float64 // of a core; 1 is standard
	SpeedCV             float64 `toml:"speed_cv"` // from box to box, lognormal
	Slots               int     // requests in work at once, for a box
	Queue               int     // and waiting
	OverloadAt          int     `toml:"crowd_at"` // requests held from which it loses efficiency; 0 is never
	OverloadLoss        float64 `toml:"crowd_loss"`
	PauseInterval       Span    `toml:"pause_every"`
	Pause               Span
	ErrorRate           float64 `toml:"error_rate"`
	WarmupInitialShare  float64 `toml:"cold_from"`
	WarmupDuration      Span    `toml:"cold_for"`
	WarmupBy            string  `toml:"warm_by"` // "time" or "work"
	Start               string  // "warm", "cold" (it starts with the run) or "absent" (until an "add")
	CancelRule          string  `toml:"cancel"` // "nothing", "waiting" or "all"
	Connections         int
	ConnectionTableLoss float64 `toml:"table_tax"`
	HandshakeWork       Span    `toml:"handshake"`
}

// Rules are what sidecars are told and judged by.
type Rules struct {
	DrainGrace         Span    `toml:"drain_grace"`
	WarmupInitialShare float64 `toml:"cold_share"`
	WarmupDuration     Span    `toml:"cold_for"`
	CollapseMultiple   float64 `toml:"fall_multiple"`
	CollapseWindow     Span    `toml:"fall_window"`
	ResponseSlack      Span    `toml:"answer_slack"`
	MaxAttempts        int     `toml:"max_attempts"`
	MaxPending         int     `toml:"max_held"`
	Hedging            bool    `toml:"second_copies"`
	Cancel             bool
	HealthChecks       bool `toml:"probes"`
	RetryAfter         bool `toml:"retry_after"`
	MaxRetryAfter      Span `toml:"max_retry_after"`
	ConnectTimeout     Span `toml:"connect_timeout"`
	ConnIdleTimeout    Span `toml:"conn_idle"`
	PropagatesDeadline bool `toml:"passes_deadline"`
	MarksRetries       bool `toml:"marks_retry"`
	ValueByWork        bool `toml:"by_work"` // worth counts for each unit of work
}

// Clients are who asks.
type Clients struct {
	Load                float64 // of what the warm boxes can do; the tier that runs out first counts
	Rate                float64 // or first tries a second
	Shape               string  // "steady" (Poisson), "even" (one after another) or "wave"
	Swing               float64 // wave: of the rate, up and down
	Period              Span    // wave
	RecordFile          string  `toml:"recorded"` // or the arrivals of a sidecar's record: file, beside the scenario's
	MaxRetries          int     `toml:"retries"`
	AttemptTimeoutShare float64 `toml:"try_share"` // of the class's deadline, after which a try is given up
	Backoff             Span    // before a retry
	HonorRetryAfter     float64 `toml:"honour"`    // share of clients that follow Retry-After
	CancelShare         float64 `toml:"impatient"` // share that leave before their time is up
	NewConnectionShare  float64 `toml:"fresh"`     // share of the requests that come on a connection of their own
	Skew                float64 // share of the clients that the first sidecar gets beyond its even part
	FailureDetection    Span    `toml:"notice"` // until the front sends no more to a sidecar that has died
}

// Bursts is a crowd on top of the steady load.
type Burst struct {
	At             Span
	Duration       Span    `toml:"for"`
	Rate           float64 // first tries a second
	Class          string  // "" is any, by the shares
	NewConnections bool    `toml:"fresh"` // each a new client with a connection of its own
}

// Fleet is the sidecars.
type Fleet struct {
	Sidecars            int     // of the first tier; each box of a tier with a next one has one of its own
	Protocol            string  // between clients, sidecars and boxes: see Protocols
	Policy              string  // "pinelb", or "plain": no sidecars, clients go round the listed boxes
	SecondBuild         int     `toml:"other"`    // how many of the first tier run the second build, where there is one
	RankSetting         string  `toml:"rank"`     // "right", "equal" (all are told 0) or "none" (the settings lack it)
	OperatorConfig      string  `toml:"operator"` // text of the operator's file that they are given; "" is none
	ConfiguredInstances int     `toml:"told"`     // how many instances they are told there are; 0 is right
	Budget              *Budget // [budget] of the operator's file; nil is off
	Start               string  // "before" the run, which waits until all are ready, or "with" it
	StartSpread         Span    `toml:"start_spread"` // with: over which they start
	InitialList         string  `toml:"known"`        // "fresh", "none" or "stale": the list that they start with
	MemoryMB            int     `toml:"memory_mb"`
	Sockets             int
	Cores               float64
}

// Budget is the section [budget] that sidecars get: the service is the name of the tier that each sends to.
type Budget struct {
	AttemptLimit int     `toml:"attempts"`
	ReentryLimit int     `toml:"reentry"`
	Share        float64 // of the sidecars that get it; the others keep no accounts
}

// Discovery is how the lists travel.
type Discovery struct {
	AddDelay          Span         `toml:"add"`        // until a box that is up is listed
	RemoveDelay       Span         `toml:"notice"`     // until a drain or an end of a process is
	UnresponsiveDelay Span         `toml:"silent"`     // until a machine that says nothing is
	Jitter            Span         `toml:"spread"`     // beyond that, evenly from sidecar to sidecar
	FullLists         bool         `toml:"whole"`      // every change brings the whole list
	LateShare         float64      `toml:"late_share"` // share of the sidecars that hear all by Late later
	LateDelay         Span         `toml:"late"`
	ListService       *ListService `toml:"service"` // one service behind all agents, of bounded capacity; nil: agents answer at once and at no cost
}

// ListService is the capacity of the list service. Every call takes its part of it, also one that then waits for news.
type ListService struct {
	Concurrency int    `toml:"calls"`       // at a time
	ServiceTime Span   `toml:"call"`        // that each takes
	QueueLength int    `toml:"line"`        // that may wait
	OnOverflow  string `toml:"beyond"`      // what becomes of a call beyond that: "503", "reset", "silence" or "slower" (for all)
	RetryAfter  Span   `toml:"retry_after"` // of the 503; 0 is none
}

// Auditor is an auditor beside the fleet, as a process of the program's. It asks all sidecars of the first tier.
type Auditor struct {
	Name           string
	Start          Span    // from then on
	Interval       Span    `toml:"every"`  // between its rounds
	Timeout        Span    `toml:"within"` // that it waits for one sidecar; 0: as the program has it
	PollsList      bool    `toml:"list"`   // it asks the list service, too; otherwise the newest version that it finds is the one to have
	RaisesMinimum  bool    `toml:"raise"`  // it raises floors
	Grace          Span    // of them
	Jitter         Span    `toml:"spread"`   // over which those under them ask again
	IssuesPermits  bool    `toml:"shut_out"` // it gives tickets
	MaxPermitShare float64 `toml:"share"`    // of the fleet and of each zone, at most
	KillAt         Span    `toml:"kill"`     // SIGKILL; 0 is never
	RestartDelay   Span    `toml:"back"`     // after that until it starts again from what it has kept; 0 is never
	PauseAt        Span    `toml:"pause"`    // it does not run from then on; 0 is never
	PauseDuration  Span    `toml:"for"`      // for so long
}

// Network is the virtual one; on sockets it is the machine's own.
type Network struct {
	Delay Span // one way, to and from a sidecar
}

// Faults is something that goes wrong, or is done on purpose.
type Fault struct {
	Kind          string
	At            Span
	Duration      Span     `toml:"for"` // 0 is to the end
	Tier          string   // "" is the first
	Endpoints     int      `toml:"boxes"` // so many of the tier, drawn by the seed
	Share         float64  // or so large a part of it, at least one
	Names         []string // or these; for a sidecar's kinds they name sidecars
	Size          float64  // a share of requests or a factor, by kind
	Class         string   // share of requests: only this class's; of hurry too
	MinInFlight   int      `toml:"above"` // share of requests: only while a box has so many in work and waiting
	Scope         string   `toml:"by"`    // share of requests: "request", or "connection": a share of these is struck, as a whole
	TimeoutShare  float64  `toml:"left"`  // hurry: share of the usual time that such clients give a try
	Target        string   `toml:"of"`    // flap: the fault that comes and goes; list_wrong: "empty", "half", "other"; links: "list", "boxes", "clients", "control"
	Up, Down      Span     // flap, and faults of the list service and of links
	Grace         Span     // drain: until the process ends; sidecar_stop: until SIGKILL
	RecoveryDelay Span     `toml:"back"` // until it is back, after the end: drain, sidecar_kill, sidecar_stop; 0 is never. list_slow, link_slow: by how much
	Step          Span     // between one sidecar and the next
}

// Expectation is a bound that the run has to keep. Broken rules need none: they always count.
type Expectation struct {
	Measure string   `toml:"what"` // see Measures
	Class   string   // "" is all
	Min     *float64 `toml:"least"`
	Max     *float64 `toml:"most"`
	From    Span     // of the window of due times; 0 is from Settle
	To      Span     // 0 is to the end
}
