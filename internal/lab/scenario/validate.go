package scenario

import (
	"fmt"
	"regexp"
	"slices"
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

// auditorName is a name that fits a file's name and an operator's order.
var auditorName = regexp.MustCompile(`^[a-z0-9-]+$`)

// validate returns an error that names the first key that can't be played.
func (s *Scenario) validate(file *tomlfile.File) error {
	v := validator{file: file}
	v.require(s.Name != "", "name", "is missing")
	v.require(s.Length > 0 && s.Length.D() <= maxLength, "length", "must be above 0 and at most %s", maxLength)
	v.require(s.WarmUp >= 0 && s.WarmUp < s.Length, "settle", "must be less than length")
	v.require(len(s.Classes) > 0 && len(s.Classes) <= maxClasses, "class", "there must be 1 to %d", maxClasses)
	seen := map[string]bool{}
	for i := range s.Classes {
		v.class(fmt.Sprintf("class[%d]", i), &s.Classes[i], seen)
	}
	v.require(len(s.Tiers) > 0 && len(s.Tiers) <= maxTiers, "tier", "there must be 1 to %d", maxTiers)
	v.tiers(s, seen)
	v.clients(s)
	v.rules(&s.Rules)
	v.fleet(s)
	v.require(s.Discovery.LateShare >= 0 && s.Discovery.LateShare <= 1, "discovery.late_share", "must be from 0 to 1")
	if s.Discovery.ListService != nil {
		v.listService(s.Discovery.ListService)
	}
	v.require(s.Network.Delay >= 0 && s.Network.Delay.D() <= time.Second, "network.delay", "must be from 0 to 1s")
	v.require(len(s.Faults) <= maxFaults, "fault", "there may be %d at most", maxFaults)
	for i := range s.Faults {
		v.fault(fmt.Sprintf("fault[%d]", i), &s.Faults[i], s)
	}
	v.require(len(s.Auditors) <= maxAuditors, "audit", "there may be %d at most", maxAuditors)
	names := map[string]bool{}
	for i := range s.Auditors {
		v.audit(fmt.Sprintf("audit[%d]", i), &s.Auditors[i], names)
	}
	for i := range s.Expectations {
		v.expect(fmt.Sprintf("expect[%d]", i), &s.Expectations[i], s)
	}
	return v.err
}

// validator keeps the first error. Its methods take the key of the table that they check as at.
type validator struct {
	file *tomlfile.File
	err  error
}

func (v *validator) require(holds bool, key, format string, args ...any) {
	if !holds && v.err == nil {
		v.err = v.file.Errorf(key, format, args...)
	}
}

func (v *validator) oneOf(value, key string, allowed ...string) {
	v.require(slices.Contains(allowed, value), key, "is %q; it must be one of %s", value, strings.Join(allowed, ", "))
}

func (v *validator) listService(service *ListService) {
	v.require(service.Concurrency > 0 && service.ServiceTime > 0 && service.ServiceTime.D() <= time.Minute,
		"discovery.service.calls", "and call must be above 0")
	v.require(service.QueueLength >= 0, "discovery.service.line", "must not be negative")
	v.require(service.RetryAfter >= 0 && service.RetryAfter.D() <= time.Minute, "discovery.service.retry_after",
		"must be from 0 to 1m")
	v.oneOf(service.OnOverflow, "discovery.service.beyond", "503", "reset", "silence", "slower")
}

func (v *validator) class(at string, class *Class, seen map[string]bool) {
	v.require(class.Name != "" && !seen[class.Name] && !strings.ContainsAny(class.Name, "/ ?#%\r\n"), at+".name",
		"is missing, not unique or not fit for a path")
	seen[class.Name] = true
	v.require(class.Share > 0, at+".share", "must be above 0")
	v.require(class.Work > 0, at+".work", "must be above 0")
	v.oneOf(class.WorkDistribution, at+".spread", "fixed", "exp", "lognormal")
	v.require(class.WorkDistribution != "lognormal" || class.CV > 0, at+".cv", "must be above 0 for lognormal")
	v.require(class.CV >= 0 && class.CV <= 5, at+".cv", "must be from 0 to 5")
	v.require(class.AttemptCV >= 0 && class.AttemptCV <= 5, at+".noise", "must be from 0 to 5")
	v.require(class.TargetLatency > 0, at+".aim", "must be above 0")
	v.require(class.Deadline >= class.TargetLatency && class.Deadline.D() <= time.Minute, at+".deadline",
		"must be from aim to 1m")
	v.require(class.Value > 0, at+".worth", "must be above 0")
	v.oneOf(class.Idempotency, at+".effect", "safe", "keyed", "unsafe")
	v.require(class.RequestBytes >= 0 && class.RequestBytes <= 64<<10 && (class.RequestBytes == 0 || class.Idempotency != "safe"), at+".body",
		"must be from 0 to 65536, and 0 for a safe class")
	v.require(class.ResponseBytes >= 0 && class.ResponseBytes <= 64<<10, at+".answer", "must be from 0 to 65536")
}

func (v *validator) tiers(s *Scenario, seen map[string]bool) {
	endpoints := 0
	for i := range s.Tiers {
		tier, at := &s.Tiers[i], fmt.Sprintf("tier[%d]", i)
		v.require(tier.NextTier == "" || s.TierIndex(tier.NextTier) > 0, at+".to",
			"%q is no tier but the first, which clients alone call", tier.NextTier)
		endpoints += v.tier(at, tier, s.NextTierIndex(i) < 0, seen)
		v.require(tier.NextTier == "" || s.Clients.Load == 0, at+".to",
			"a tier that is called from anywhere needs clients.rate: load can't be told")
	}
	v.require(endpoints <= maxEndpoints, "tier", "has %d boxes in all; %d at most", endpoints, maxEndpoints)
}

// tier returns the number of endpoints in a tier.
func (v *validator) tier(at string, tier *Tier, last bool, seen map[string]bool) (endpoints int) {
	v.require(tier.Name != "" && !seen[tier.Name], at+".name", "is missing or not unique")
	seen[tier.Name] = true
	v.require(tier.Work > 0, at+".work", "must be above 0")
	v.oneOf(tier.Propagates, at+".carry", "all", "none")
	v.require(tier.Calls >= 0 && tier.Calls <= 10 && (!last || tier.Calls == 0), at+".calls",
		"must be from 0 to 10, and 0 in the last tier")
	v.require(last || tier.Calls > 0, at+".calls", "must be above 0 where there is a next tier")
	v.require(len(tier.Kinds) > 0, at+".kind", "there must be one at least")
	for i := range tier.Kinds {
		kind := &tier.Kinds[i]
		endpoints += kind.Endpoints
		v.kind(fmt.Sprintf("%s.kind[%d]", at, i), kind)
	}
	return endpoints
}

func (v *validator) kind(at string, kind *EndpointKind) {
	for _, count := range []struct {
		key   string
		value int
	}{{"boxes", kind.Endpoints}, {"cores", kind.Cores}, {"slots", kind.Slots}, {"connections", kind.Connections}} {
		v.require(count.value > 0, at+"."+count.key, "must be above 0")
	}
	v.require(kind.Queue >= 0 && kind.OverloadAt >= 0, at+".queue", "must not be negative")
	v.require(kind.Speed > 0 && kind.Speed <= 1000, at+".speed", "must be above 0 and at most 1000")
	v.require(kind.SpeedCV >= 0 && kind.SpeedCV <= 2, at+".speed_cv", "must be from 0 to 2")
	v.require(kind.OverloadLoss >= 0 && kind.ConnectionTableLoss >= 0 && kind.ConnectionTableLoss < 1, at+".table_tax",
		"must be from 0 to 1")
	v.require(kind.ErrorRate >= 0 && kind.ErrorRate <= 1, at+".error_rate", "must be from 0 to 1")
	v.require(kind.WarmupInitialShare > 0 && kind.WarmupInitialShare <= 1, at+".cold_from", "must be above 0 and at most 1")
	v.require((kind.Pause > 0) == (kind.PauseInterval > 0), at+".pause", "goes with pause_every")
	v.oneOf(kind.WarmupBy, at+".warm_by", "time", "work")
	v.oneOf(kind.Start, at+".start", "warm", "cold", "absent")
	v.oneOf(kind.CancelRule, at+".cancel", "nothing", "waiting", "all")
}

func (v *validator) clients(s *Scenario) {
	clients := &s.Clients
	burstsAlone := len(s.Bursts) > 0 && clients.Load == 0 && clients.Rate == 0
	v.require(countTrue(clients.Load > 0, clients.Rate > 0, clients.RecordFile != "", burstsAlone) == 1, "clients.load",
		"one of load, rate and recorded must be given, or bursts alone")
	v.require(clients.Load >= 0 && clients.Load <= 20, "clients.load", "must be from 0 to 20")
	v.require(clients.Rate >= 0 && clients.Rate <= maxRate, "clients.rate", "must be from 0 to %d", maxRate)
	v.oneOf(clients.Shape, "clients.shape", "steady", "even", "wave")
	v.require(clients.Swing >= 0 && clients.Swing <= 1 && (clients.Shape != "wave" || clients.Period > 0), "clients.swing",
		"must be from 0 to 1, with a period")
	v.require(clients.MaxRetries >= 0 && clients.MaxRetries <= 10, "clients.retries", "must be from 0 to 10")
	v.require(clients.AttemptTimeoutShare > 0 && clients.AttemptTimeoutShare <= 1, "clients.try_share",
		"must be above 0 and at most 1")
	for _, share := range []struct {
		key   string
		value float64
	}{{"honour", clients.HonorRetryAfter}, {"impatient", clients.CancelShare}, {"fresh", clients.NewConnectionShare}, {"skew", clients.Skew}} {
		v.require(share.value >= 0 && share.value <= 1, "clients."+share.key, "must be from 0 to 1")
	}
	for i, burst := range s.Bursts {
		at := fmt.Sprintf("burst[%d]", i)
		v.require(burst.Rate > 0 && burst.Rate <= maxRate, at+".rate", "must be above 0 and at most %d", maxRate)
		v.require(burst.At >= 0 && burst.Duration > 0 && burst.At+burst.Duration <= s.Length, at+".for", "must end within length")
		v.require(burst.Class == "" || s.ClassIndex(burst.Class) >= 0, at+".class", "%q is no class", burst.Class)
	}
}

func (v *validator) rules(rules *Rules) {
	v.require(rules.DrainGrace >= 0, "rules.drain_grace", "must not be negative")
	v.require(rules.WarmupInitialShare > 0 && rules.WarmupInitialShare <= 1, "rules.cold_share",
		"must be above 0 and at most 1")
	v.require(rules.CollapseMultiple > 0 && rules.CollapseWindow > 0, "rules.fall_multiple", "and fall_window must be above 0")
	v.require(rules.MaxAttempts > 0 && rules.MaxPending > 0, "rules.max_attempts", "and max_held must be above 0")
	v.require(rules.ConnectTimeout > 0 && rules.ConnIdleTimeout > 0, "rules.connect_timeout", "and conn_idle must be above 0")
}

func (v *validator) fleet(s *Scenario) {
	fleet := &s.Fleet
	v.oneOf(fleet.Protocol, "fleet.protocol", Protocols...)
	if fleet.IsThrift() {
		v.thriftMethods(s.Classes)
	}
	v.oneOf(fleet.Policy, "fleet.policy", "pinelb", "plain")
	v.require(fleet.Sidecars > 0 && fleet.Sidecars <= maxSidecars, "fleet.sidecars", "must be from 1 to %d", maxSidecars)
	v.require(fleet.SecondBuild >= 0 && fleet.SecondBuild <= fleet.Sidecars, "fleet.other", "must be from 0 to sidecars")
	v.oneOf(fleet.RankSetting, "fleet.rank", "right", "equal", "none")
	if fleet.Budget != nil {
		v.require(fleet.Budget.Share >= 0 && fleet.Budget.Share <= 1, "fleet.budget.share", "must be from 0 to 1")
	}
	_, err := config.ParseOperator("operator", []byte(s.OperatorFile("127.0.0.1:1", s.Tiers[0].Name, true)))
	v.require(err == nil, "fleet.operator", "%v", err)
	v.oneOf(fleet.Start, "fleet.start", "before", "with")
	v.oneOf(fleet.InitialList, "fleet.known", "fresh", "none", "stale")
	v.require(fleet.ConfiguredInstances >= 0, "fleet.told", "must not be negative")
	v.require(fleet.MemoryMB >= 32 && fleet.Sockets >= 64 && fleet.Cores > 0, "fleet.memory_mb",
		"must be 32 or more, sockets 64 or more and cores above 0")
}

// thriftMethods checks that each class has a Thrift method of its own.
func (v *validator) thriftMethods(classes []Class) {
	seen := map[string]bool{}
	for i := range classes {
		name := classes[i].ThriftMethod()
		v.require(methodName.MatchString(name) && !seen[name], fmt.Sprintf("class[%d].name", i),
			"gives no method of Thrift of its own: %q", name)
		seen[name] = true
	}
}

func (v *validator) audit(at string, auditor *Auditor, seen map[string]bool) {
	v.require(auditorName.MatchString(auditor.Name) && !seen[auditor.Name], at+".name",
		"must be letters, digits and dashes, and unique")
	seen[auditor.Name] = true
	v.require(auditor.Interval >= Span(100*time.Millisecond) && auditor.Interval.D() <= time.Minute, at+".every",
		"must be from 100ms to 1m")
	v.require(auditor.Grace > 0 && auditor.Jitter >= 0, at+".grace", "must be above 0, and spread not negative")
	v.require(auditor.MaxPermitShare >= 0 && auditor.MaxPermitShare <= 1, at+".share", "must be from 0 to 1")
	v.require(!auditor.IssuesPermits || auditor.RaisesMinimum, at+".shut_out", "needs raise")
	v.require((auditor.KillAt == 0 || auditor.KillAt > auditor.Start) && (auditor.RestartDelay == 0 || auditor.KillAt > 0), at+".kill",
		"must be after start; back needs it")
	v.require((auditor.PauseAt > 0) == (auditor.PauseDuration > 0), at+".pause", "and for go together")
}

func (v *validator) expect(at string, expectation *Expectation, s *Scenario) {
	v.oneOf(expectation.Measure, at+".what", Measures...)
	v.require(expectation.Class == "" || s.ClassIndex(expectation.Class) >= 0, at+".class", "%q is no class", expectation.Class)
	v.require(expectation.Min != nil || expectation.Max != nil, at+".least", "least or most must be given")
	v.require(expectation.To == 0 || expectation.To > expectation.From, at+".to", "must be after from")
}

func countTrue(conditions ...bool) (n int) {
	for _, holds := range conditions {
		if holds {
			n++
		}
	}
	return n
}
