package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Bounds of a run, so that it ends and fits the machine.
const (
	maxLength    = 15 * time.Minute
	maxEndpoints = 1000
	maxRate      = 100_000
	maxSidecars  = 400
	maxFaults    = 1000
	maxClasses   = 32
	maxTiers     = 4
	maxAuditors  = 4

	maxPause = time.Minute // of a sidecar
)

// EndpointFaults are the kinds of Fault that a box has, by what the model calls them; those that discovery sees
// too are below.
var EndpointFaults = []string{"vanish", "hang", "fail", "slow", "refuse", "cut", "spoil", "drip", "mute"}

// EndpointEvents are the kinds by which boxes come and go: drain (told, then its process ends), crash (its process
// ends and is back after For), leave (its process ends and its entry stays for For), add (an absent one comes).
var EndpointEvents = []string{"crash", "drain", "leave", "add"}

// SidecarAndDiscoveryFaults are those of discovery and of the sidecars.
var SidecarAndDiscoveryFaults = []string{"discovery_silent", "discovery_late", "discovery_move", "sidecar_kill", "sidecar_stop",
	"sidecar_pause", "sidecar_upgrade", "hurry", "order_again", "disk_full"}

// ListServiceFaults are faults of the list service, as all sidecars or some of them have it, and LinkFaults those of the network
// between sidecars and other processes. They need processes: the virtual player refuses them.
var (
	ListServiceFaults = []string{"list_down", "list_slow", "list_old", "list_wrong", "list_cut", "list_forget"}
	LinkFaults        = []string{"link_cut", "link_slow", "link_reset"}
)

// NeedsProcesses tells whether a scenario asks for what only the player on sockets has.
func (s *Scenario) NeedsProcesses() bool {
	return s.Discovery.ListService != nil || len(s.Auditors) > 0 || slices.ContainsFunc(s.Faults, func(f Fault) bool { return isBetweenProcesses(f.Kind) })
}

func isBetweenProcesses(kind string) bool {
	return slices.Contains(ListServiceFaults, kind) || slices.Contains(LinkFaults, kind)
}

// auditorName is one that fits a file's name and an order.
var auditorName = regexp.MustCompile(`^[a-z0-9-]+$`)

// HasAuditLogs tells whether the sidecars keep trails and take orders: their operator's file has the section for it.
func (f *Fleet) HasAuditLogs() bool {
	return slices.Contains(strings.Fields(f.OperatorConfig), "[audit]")
}

// requestShareFaults strike a share of the requests at a box.
var requestShareFaults = []string{"fail", "cut", "spoil", "drip", "mute"}

// Measures are what an Expect can name: shares of the first tries, counts and seconds.
var Measures = []string{"service", "served", "late", "refused", "failed", "gone", "attempts", "copies", "wasted",
	"p50", "p90", "p99", "p999", "fallen", "worst", "refusals", "bottom",
	"list_calls", "list_refused", "list_dials", "list_peak", "handshakes", "unready", "unlisted", "unserving",
	"attempts_peak", "again_peak",
	"audit_wrong", "audit_missing", "audit_hidden", "audit_false", "audit_late", "audit_ends"}

// Default is a scenario's values where its file says nothing.
func Default() Scenario {
	s := func(d time.Duration) Span { return Span(d) }
	return Scenario{
		Seed: 1, Length: s(20 * time.Second),
		Rules: Rules{DrainGrace: s(3 * time.Second), WarmupInitialShare: 0.3, WarmupDuration: s(9 * time.Second), CollapseMultiple: 2.5,
			CollapseWindow: s(time.Second), ResponseSlack: s(58 * time.Millisecond), MaxAttempts: 4, MaxPending: 20000, Hedging: true,
			Cancel: true, HealthChecks: true, RetryAfter: true, MaxRetryAfter: s(1500 * time.Millisecond),
			ConnectTimeout: s(75 * time.Millisecond), ConnIdleTimeout: s(30 * time.Second), PropagatesDeadline: true, MarksRetries: true},
		Clients: Clients{Shape: "steady", Period: s(10 * time.Second), MaxRetries: 3, AttemptTimeoutShare: 0.55,
			Backoff: s(100 * time.Millisecond), HonorRetryAfter: 0.15, FailureDetection: s(2 * time.Second)},
		Fleet: Fleet{Sidecars: 1, Protocol: "http", Policy: "pinelb", RankSetting: "right", Start: "before", InitialList: "fresh", MemoryMB: 192,
			Sockets: 1024, Cores: 1},
		Discovery: Discovery{AddDelay: s(500 * time.Millisecond), RemoveDelay: s(time.Second), UnresponsiveDelay: s(6 * time.Second),
			Jitter: s(300 * time.Millisecond)},
		Network: Network{Delay: s(100 * time.Microsecond)},
	}
}

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := Parse(path, data)
	if err == nil && s.Clients.RecordFile != "" && !filepath.IsAbs(s.Clients.RecordFile) {
		s.Clients.RecordFile = filepath.Join(filepath.Dir(path), s.Clients.RecordFile)
	}
	return s, err
}

// Parse reads a scenario's text; name is the file's in errors.
func Parse(name string, data []byte) (*Scenario, error) {
	s := Default()
	f, err := tomlfile.Decode(name, data, &s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	return &s, s.validate(f)
}

// fill gives the elements of lists their defaults.
func (s *Scenario) setDefaults() {
	or := func(p *Span, d time.Duration) {
		if *p == 0 {
			*p = Span(d)
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.WorkDistribution, c.Idempotency = orDefault(c.WorkDistribution, "fixed"), orDefault(c.Idempotency, "safe")
		if c.Value == 0 {
			c.Value = 1
		}
		if c.Idempotency == "keyed" {
			or(&c.DedupWindow, 4*time.Second)
		}
		if c.ResponseBytes == 0 {
			c.ResponseBytes = 64
		}
	}
	if b := s.Fleet.Budget; b != nil && b.Share == 0 {
		b.Share = 1
	}
	for i := range s.Auditors {
		a := &s.Auditors[i]
		or(&a.Interval, time.Second)
		or(&a.Grace, 3*time.Second)
		or(&a.Jitter, time.Second)
		if a.MaxPermitShare == 0 {
			a.MaxPermitShare = 0.1
		}
	}
	for i := range s.Tiers {
		t := &s.Tiers[i]
		if t.Work == 0 {
			t.Work = 1
		}
		t.Propagates = orDefault(t.Propagates, "all")
		for j := range t.Kinds {
			k := &t.Kinds[j]
			k.Name = orDefault(k.Name, t.Name)
			k.WarmupBy, k.Start, k.CancelRule = orDefault(k.WarmupBy, "time"), orDefault(k.Start, "warm"), orDefault(k.CancelRule, "all")
			for _, d := range []struct {
				p   *int
				def int
			}{{&k.Endpoints, 1}, {&k.Cores, 1}, {&k.Slots, 20 * max(1, k.Cores)}, {&k.Queue, 24 * max(1, k.Cores)}, {&k.Connections, 800}} {
				if *d.p == 0 {
					*d.p = d.def
				}
			}
			if k.Speed == 0 {
				k.Speed = 1
			}
			if k.WarmupInitialShare == 0 {
				k.WarmupInitialShare = 0.4
			}
			or(&k.WarmupDuration, 6*time.Second)
			or(&k.HandshakeWork, 1500*time.Microsecond)
		}
	}
}

func orDefault(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

// check names the first key that can't be played.
func (s *Scenario) validate(f *tomlfile.File) error {
	c := validator{file: f}
	c.require(s.Name != "", "name", "is missing")
	c.require(s.Length > 0 && s.Length.D() <= maxLength, "length", "must be above 0 and at most %s", maxLength)
	c.require(s.WarmUp >= 0 && s.WarmUp < s.Length, "settle", "must be less than length")
	c.require(len(s.Classes) > 0 && len(s.Classes) <= maxClasses, "class", "there must be 1 to %d", maxClasses)
	seen := map[string]bool{}
	for i := range s.Classes {
		c.class(fmt.Sprintf("class[%d]", i), &s.Classes[i], seen)
	}
	c.require(len(s.Tiers) > 0 && len(s.Tiers) <= maxTiers, "tier", "there must be 1 to %d", maxTiers)
	boxes := 0
	for i := range s.Tiers {
		at := fmt.Sprintf("tier[%d]", i)
		c.require(s.Tiers[i].NextTier == "" || s.TierIndex(s.Tiers[i].NextTier) > 0, at+".to", "%q is no tier but the first, which clients alone call", s.Tiers[i].NextTier)
		boxes += c.tier(at, &s.Tiers[i], s.NextTierIndex(i) < 0, seen)
		c.require(s.Tiers[i].NextTier == "" || s.Clients.Load == 0, at+".to", "a tier that is called from anywhere needs clients.rate: load can't be told")
	}
	c.require(boxes <= maxEndpoints, "tier", "has %d boxes in all; %d at most", boxes, maxEndpoints)
	c.clients(s)
	c.rules(&s.Rules)
	c.fleet(s)
	c.require(s.Discovery.LateShare >= 0 && s.Discovery.LateShare <= 1, "discovery.late_share", "must be from 0 to 1")
	if v := s.Discovery.ListService; v != nil {
		c.require(v.Concurrency > 0 && v.ServiceTime > 0 && v.ServiceTime.D() <= time.Minute, "discovery.service.calls", "and call must be above 0")
		c.require(v.QueueLength >= 0, "discovery.service.line", "must not be negative")
		c.require(v.RetryAfter >= 0 && v.RetryAfter.D() <= time.Minute, "discovery.service.retry_after", "must be from 0 to 1m")
		v.OnOverflow = orDefault(v.OnOverflow, "503")
		c.oneOf(v.OnOverflow, "discovery.service.beyond", "503", "reset", "silence", "slower")
	}
	c.require(s.Network.Delay >= 0 && s.Network.Delay.D() <= time.Second, "network.delay", "must be from 0 to 1s")
	c.require(len(s.Faults) <= maxFaults, "fault", "there may be %d at most", maxFaults)
	for i := range s.Faults {
		c.fault(fmt.Sprintf("fault[%d]", i), &s.Faults[i], s)
	}
	c.require(len(s.Auditors) <= maxAuditors, "audit", "there may be %d at most", maxAuditors)
	names := map[string]bool{}
	for i := range s.Auditors {
		c.audit(fmt.Sprintf("audit[%d]", i), &s.Auditors[i], names)
	}
	for i := range s.Expectations {
		c.expect(fmt.Sprintf("expect[%d]", i), &s.Expectations[i], s)
	}
	return c.err
}

// checker keeps the first fault.
type validator struct {
	file *tomlfile.File
	err  error
}

func (c *validator) require(holds bool, key, format string, args ...any) {
	if !holds && c.err == nil {
		c.err = c.file.Fault(key, format, args...)
	}
}

func (c *validator) oneOf(value, key string, words ...string) {
	c.require(slices.Contains(words, value), key, "is %q; it must be one of %s", value, strings.Join(words, ", "))
}

func (c *validator) class(at string, k *Class, seen map[string]bool) {
	c.require(k.Name != "" && !seen[k.Name] && !strings.ContainsAny(k.Name, "/ ?#%\r\n"), at+".name",
		"is missing, not unique or not fit for a path")
	seen[k.Name] = true
	c.require(k.Share > 0, at+".share", "must be above 0")
	c.require(k.Work > 0, at+".work", "must be above 0")
	c.oneOf(k.WorkDistribution, at+".spread", "fixed", "exp", "lognormal")
	c.require(k.WorkDistribution != "lognormal" || k.CV > 0, at+".cv", "must be above 0 for lognormal")
	c.require(k.CV >= 0 && k.CV <= 5, at+".cv", "must be from 0 to 5")
	c.require(k.AttemptCV >= 0 && k.AttemptCV <= 5, at+".noise", "must be from 0 to 5")
	c.require(k.TargetLatency > 0, at+".aim", "must be above 0")
	c.require(k.Deadline >= k.TargetLatency && k.Deadline.D() <= time.Minute, at+".deadline", "must be from aim to 1m")
	c.require(k.Value > 0, at+".worth", "must be above 0")
	c.oneOf(k.Idempotency, at+".effect", "safe", "keyed", "unsafe")
	c.require(k.RequestBytes >= 0 && k.RequestBytes <= 64<<10 && (k.RequestBytes == 0 || k.Idempotency != "safe"), at+".body",
		"must be from 0 to 65536, and 0 for a safe class")
	c.require(k.ResponseBytes >= 0 && k.ResponseBytes <= 64<<10, at+".answer", "must be from 0 to 65536")
}

func (c *validator) tier(at string, t *Tier, last bool, seen map[string]bool) (boxes int) {
	c.require(t.Name != "" && !seen[t.Name], at+".name", "is missing or not unique")
	seen[t.Name] = true
	c.require(t.Work > 0, at+".work", "must be above 0")
	c.oneOf(t.Propagates, at+".carry", "all", "none")
	c.require(t.Calls >= 0 && t.Calls <= 10 && (!last || t.Calls == 0), at+".calls", "must be from 0 to 10, and 0 in the last tier")
	c.require(last || t.Calls > 0, at+".calls", "must be above 0 where there is a next tier")
	c.require(len(t.Kinds) > 0, at+".kind", "there must be one at least")
	for i := range t.Kinds {
		k, at := &t.Kinds[i], fmt.Sprintf("%s.kind[%d]", at, i)
		boxes += k.Endpoints
		for _, n := range []struct {
			key string
			v   int
		}{{"boxes", k.Endpoints}, {"cores", k.Cores}, {"slots", k.Slots}, {"connections", k.Connections}} {
			c.require(n.v > 0, at+"."+n.key, "must be above 0")
		}
		c.require(k.Queue >= 0 && k.OverloadAt >= 0, at+".queue", "must not be negative")
		c.require(k.Speed > 0 && k.Speed <= 1000, at+".speed", "must be above 0 and at most 1000")
		c.require(k.SpeedCV >= 0 && k.SpeedCV <= 2, at+".speed_cv", "must be from 0 to 2")
		c.require(k.OverloadLoss >= 0 && k.ConnectionTableLoss >= 0 && k.ConnectionTableLoss < 1, at+".table_tax", "must be from 0 to 1")
		c.require(k.ErrorRate >= 0 && k.ErrorRate <= 1, at+".error_rate", "must be from 0 to 1")
		c.require(k.WarmupInitialShare > 0 && k.WarmupInitialShare <= 1, at+".cold_from", "must be above 0 and at most 1")
		c.require((k.Pause > 0) == (k.PauseInterval > 0), at+".pause", "goes with pause_every")
		c.oneOf(k.WarmupBy, at+".warm_by", "time", "work")
		c.oneOf(k.Start, at+".start", "warm", "cold", "absent")
		c.oneOf(k.CancelRule, at+".cancel", "nothing", "waiting", "all")
	}
	return boxes
}

func (c *validator) clients(s *Scenario) {
	k := &s.Clients
	ways := 0
	for _, given := range []bool{k.Load > 0, k.Rate > 0, k.RecordFile != "", len(s.Bursts) > 0 && k.Load == 0 && k.Rate == 0} {
		if given {
			ways++
		}
	}
	c.require(ways == 1, "clients.load", "one of load, rate and recorded must be given, or bursts alone")
	c.require(k.Load >= 0 && k.Load <= 20, "clients.load", "must be from 0 to 20")
	c.require(k.Rate >= 0 && k.Rate <= maxRate, "clients.rate", "must be from 0 to %d", maxRate)
	c.oneOf(k.Shape, "clients.shape", "steady", "even", "wave")
	c.require(k.Swing >= 0 && k.Swing <= 1 && (k.Shape != "wave" || k.Period > 0), "clients.swing", "must be from 0 to 1, with a period")
	c.require(k.MaxRetries >= 0 && k.MaxRetries <= 10, "clients.retries", "must be from 0 to 10")
	c.require(k.AttemptTimeoutShare > 0 && k.AttemptTimeoutShare <= 1, "clients.try_share", "must be above 0 and at most 1")
	for _, p := range []struct {
		key string
		v   float64
	}{{"honour", k.HonorRetryAfter}, {"impatient", k.CancelShare}, {"fresh", k.NewConnectionShare}, {"skew", k.Skew}} {
		c.require(p.v >= 0 && p.v <= 1, "clients."+p.key, "must be from 0 to 1")
	}
	for i, b := range s.Bursts {
		at := fmt.Sprintf("burst[%d]", i)
		c.require(b.Rate > 0 && b.Rate <= maxRate, at+".rate", "must be above 0 and at most %d", maxRate)
		c.require(b.At >= 0 && b.Duration > 0 && b.At+b.Duration <= s.Length, at+".for", "must end within length")
		c.require(b.Class == "" || s.ClassIndex(b.Class) >= 0, at+".class", "%q is no class", b.Class)
	}
}

func (c *validator) rules(r *Rules) {
	c.require(r.DrainGrace >= 0, "rules.drain_grace", "must not be negative")
	c.require(r.WarmupInitialShare > 0 && r.WarmupInitialShare <= 1, "rules.cold_share", "must be above 0 and at most 1")
	c.require(r.CollapseMultiple > 0 && r.CollapseWindow > 0, "rules.fall_multiple", "and fall_window must be above 0")
	c.require(r.MaxAttempts > 0 && r.MaxPending > 0, "rules.max_attempts", "and max_held must be above 0")
	c.require(r.ConnectTimeout > 0 && r.ConnIdleTimeout > 0, "rules.connect_timeout", "and conn_idle must be above 0")
}

func (c *validator) fleet(s *Scenario) {
	k := &s.Fleet
	c.oneOf(k.Protocol, "fleet.protocol", Protocols...)
	if k.IsThrift() {
		c.thriftMethods(s.Classes)
	}
	c.oneOf(k.Policy, "fleet.policy", "pinelb", "plain")
	c.require(k.Sidecars > 0 && k.Sidecars <= maxSidecars, "fleet.sidecars", "must be from 1 to %d", maxSidecars)
	c.require(k.SecondBuild >= 0 && k.SecondBuild <= k.Sidecars, "fleet.other", "must be from 0 to sidecars")
	c.oneOf(k.RankSetting, "fleet.rank", "right", "equal", "none")
	if k.Budget != nil {
		c.require(k.Budget.Share >= 0 && k.Budget.Share <= 1, "fleet.budget.share", "must be from 0 to 1")
	}
	_, err := config.ParseOperator("operator", []byte(s.OperatorFile("127.0.0.1:1", s.Tiers[0].Name, true)))
	c.require(err == nil, "fleet.operator", "%v", err)
	c.oneOf(k.Start, "fleet.start", "before", "with")
	c.oneOf(k.InitialList, "fleet.known", "fresh", "none", "stale")
	c.require(k.ConfiguredInstances >= 0, "fleet.told", "must not be negative")
	c.require(k.MemoryMB >= 32 && k.Sockets >= 64 && k.Cores > 0, "fleet.memory_mb", "must be 32 or more, sockets 64 or more and cores above 0")
}

// methods checks that classes can be told apart as methods of Thrift.
func (c *validator) thriftMethods(classes []Class) {
	seen := map[string]bool{}
	for i := range classes {
		name := classes[i].ThriftMethod()
		c.require(methodName.MatchString(name) && !seen[name], fmt.Sprintf("class[%d].name", i),
			"gives no method of Thrift of its own: %q", name)
		seen[name] = true
	}
}

func (c *validator) fault(at string, k *Fault, s *Scenario) {
	kinds := slices.Concat(EndpointFaults, EndpointEvents, SidecarAndDiscoveryFaults, ListServiceFaults, LinkFaults, []string{"flap"})
	c.oneOf(k.Kind, at+".kind", kinds...)
	c.require(k.At >= 0 && k.At <= s.Length && k.Duration >= 0, at+".at", "must be from 0 to length, and for not negative")
	c.require(k.Tier == "" || s.TierIndex(k.Tier) >= 0, at+".tier", "%q is no tier", k.Tier)
	if isBetweenProcesses(k.Kind) {
		c.faultBetweenProcesses(at, k, s)
		return
	}
	if !slices.Contains(SidecarAndDiscoveryFaults, k.Kind) {
		ways := 0
		for _, given := range []bool{k.Endpoints > 0, k.Share > 0, len(k.Names) > 0} {
			if given {
				ways++
			}
		}
		c.require(ways == 1, at+".boxes", "one of boxes, share and names must be given")
		c.require(k.Share >= 0 && k.Share <= 1, at+".share", "must be from 0 to 1")
		names := s.EndpointNames()
		for _, name := range k.Names {
			c.require(slices.Contains(names, name), at+".names", "%q is no box; the first of a tier \"t\" is \"t-1\"", name)
		}
	}
	kind := k.Kind
	if kind == "flap" {
		c.oneOf(k.Target, at+".of", append([]string{"crash"}, EndpointFaults...)...)
		c.require(k.Up >= Span(10*time.Millisecond) && k.Down >= Span(10*time.Millisecond) && k.Duration > 0, at+".up", "and down must be 10ms or more, and for given")
		kind = k.Target
	} else {
		c.require(k.Target == "" && k.Up == 0 && k.Down == 0, at+".of", "with up and down, is for flap alone")
	}
	share := slices.Contains(requestShareFaults, kind)
	c.require(k.Class == "" || (share || kind == "hurry") && s.ClassIndex(k.Class) >= 0, at+".class", "must be a class, of a fault that strikes a share of the requests")
	c.require(k.MinInFlight == 0 || share && k.MinInFlight > 0, at+".above", "must be above 0, of a fault that strikes a share of the requests")
	c.require(k.Scope == "" || share && slices.Contains([]string{"request", "connection"}, k.Scope), at+".by",
		`must be "request" or "connection", of a fault that strikes a share of the requests`)
	c.require((k.TimeoutShare > 0 && k.TimeoutShare < 1) == (kind == "hurry"), at+".left", "must be above 0 and under 1 for hurry, and is for hurry alone")
	switch kind {
	case "fail", "cut", "spoil", "drip", "mute":
		c.require(k.Size > 0 && k.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the requests")
	case "hurry":
		c.require(k.Size > 0 && k.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the clients")
	case "sidecar_pause":
		c.require(k.Duration > 0 && k.Duration <= Span(maxPause), at+".for", "must be given, and %s at most", maxPause)
	case "order_again":
		c.require(len(s.Auditors) > 0 && k.RecoveryDelay > 0 && k.Size >= 0, at+".back", "must be given, size not negative, and [[audit]] there")
	case "disk_full":
		c.require(k.At == 0 && k.Duration == 0, at+".at", "must be 0, and no for: it is full all the time")
		c.require(strings.Contains(s.Fleet.OperatorConfig, "[state]"), at+".kind", "needs [state] in fleet.operator")
	case "slow":
		c.require(k.Size >= 1, at+".size", "must be 1 or more: how many times as long work takes")
	case "discovery_late":
		c.require(k.Size >= 0 && k.Size <= 1, at+".size", "must be from 0 to 1: a share of the sidecars, all if left out")
		c.require(k.RecoveryDelay > 0, at+".back", "must be given: how much later")
	}
}

// between checks a fault of the list service or of links.
func (c *validator) faultBetweenProcesses(at string, k *Fault, s *Scenario) {
	c.require((k.Up > 0) == (k.Down > 0) && (k.Up == 0 || k.Up >= Span(10*time.Millisecond) && k.Down >= Span(10*time.Millisecond) && k.Duration > 0),
		at+".up", "and down go together, are 10ms or more, and need for")
	c.require(k.Share >= 0 && k.Share <= 1 && k.Endpoints >= 0, at+".share", "must be from 0 to 1, and boxes not negative")
	c.require(k.RecoveryDelay >= 0 && k.RecoveryDelay.D() <= time.Minute, at+".back", "must be from 0 to 1m")
	switch k.Kind {
	case "list_wrong":
		c.oneOf(k.Target, at+".of", "empty", "half", "other")
	case "list_slow":
		c.require(k.Size >= 1 || k.Size == 0 && k.RecoveryDelay > 0, at+".size", "must be 1 or more, or back given")
	case "list_cut":
		c.require(k.Size > 0 && k.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the answers")
	case "link_cut", "link_slow", "link_reset":
		c.oneOf(k.Target, at+".of", "list", "boxes", "clients", "control")
		c.require(k.Target != "control" || len(s.Auditors) > 0 || s.Fleet.HasAuditLogs(), at+".of", "control needs [[audit]], or [audit] in fleet.operator")
		c.require(k.Scope == "" || k.Kind == "link_cut", at+".by", "is for link_cut alone")
		c.require((k.Kind == "link_slow") == (k.RecoveryDelay > 0), at+".back", "must be given for link_slow, and is for that alone")
	}
	if k.Scope != "" {
		c.oneOf(k.Scope, at+".by", "both", "there", "back")
	}
	for _, name := range k.Names {
		n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
		c.require(err == nil && n > 0 && n <= s.Fleet.Sidecars, at+".names", "%q is no sidecar of the first tier; the first is \"n1\"", name)
	}
}

func (c *validator) audit(at string, k *Auditor, seen map[string]bool) {
	c.require(auditorName.MatchString(k.Name) && !seen[k.Name], at+".name", "must be letters, digits and dashes, and unique")
	seen[k.Name] = true
	c.require(k.Interval >= Span(100*time.Millisecond) && k.Interval.D() <= time.Minute, at+".every", "must be from 100ms to 1m")
	c.require(k.Grace > 0 && k.Jitter >= 0, at+".grace", "must be above 0, and spread not negative")
	c.require(k.MaxPermitShare >= 0 && k.MaxPermitShare <= 1, at+".share", "must be from 0 to 1")
	c.require(!k.IssuesPermits || k.RaisesMinimum, at+".shut_out", "needs raise")
	c.require((k.KillAt == 0 || k.KillAt > k.Start) && (k.RestartDelay == 0 || k.KillAt > 0), at+".kill", "must be after start; back needs it")
	c.require((k.PauseAt > 0) == (k.PauseDuration > 0), at+".pause", "and for go together")
}

func (c *validator) expect(at string, k *Expectation, s *Scenario) {
	c.oneOf(k.Measure, at+".what", Measures...)
	c.require(k.Class == "" || s.ClassIndex(k.Class) >= 0, at+".class", "%q is no class", k.Class)
	c.require(k.Min != nil || k.Max != nil, at+".least", "least or most must be given")
	c.require(k.To == 0 || k.To > k.From, at+".to", "must be after from")
}

// ClassIndex is the place of a class, or -1.
func (s *Scenario) ClassIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// TierIndex is the place of a tier, or -1.
func (s *Scenario) TierIndex(name string) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name })
}

// NextTierIndex is the tier that a tier's boxes call; -1 is none.
func (s *Scenario) NextTierIndex(tier int) int {
	switch t := &s.Tiers[tier]; {
	case t.NextTier != "":
		return s.TierIndex(t.NextTier)
	case tier+1 < len(s.Tiers):
		return tier + 1
	}
	return -1
}

// EndpointNames are the names of all boxes in the order of the tiers and their kinds: the tier's, a dash and a
// number from 1.
func (s *Scenario) EndpointNames() []string {
	var out []string
	for _, t := range s.Tiers {
		n := 0
		for _, k := range t.Kinds {
			for range k.Endpoints {
				n++
				out = append(out, fmt.Sprintf("%s-%d", t.Name, n))
			}
		}
	}
	return out
}
