package calibration

import (
	"fmt"
	"math"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// RecordFile is the name of the record's file beside the scenario of a replay.
const RecordFile = "record.jsonl"

const (
	requestVarianceShare = 0.72             // part of a lognormal class's variance that is between requests; a record hardly shows it
	minWeight            = 0.001            // of a class, as a share or a value: both have to be above 0
	bodyBytes            = 64               // of requests and responses: a record does not show sizes
	minHandshakeWork     = time.Microsecond // a handshake's work is part of the attempts' latencies
)

// buildScenario returns the scenario of the fitted model.
func (m *fittedModel) buildScenario(v *history) *scenario.Scenario {
	s := scenario.Default()
	s.Name, s.About = "rehearsal", "Fitted to a record of "+strings.Join(v.names, ", ")+" by pinelab rehearse."
	last := time.Duration(0)
	if n := len(v.requests); n > 0 {
		last = v.requests[n-1].arrival
	}
	s.Length = toSpan((last + time.Second).Truncate(time.Second))
	m.buildClasses(v, &s)
	m.buildTier(v, &s)
	buildRules(&s, v)
	s.Clients.RecordFile = RecordFile
	s.Fleet.Sidecars, s.Fleet.ConfiguredInstances = len(v.names), max(v.settings.Instances, len(v.names))
	s.Fleet.MemoryMB, s.Fleet.Sockets = max(v.limits.MemoryMB, 32), max(v.limits.Sockets, 64)
	s.Fleet.Cores = max(v.limits.Cores, 0.1)
	removal, unresponsive, addition := m.discoveryDelays(v)
	d := &s.Discovery
	d.Jitter = 0
	for _, p := range []struct {
		at    *scenario.Span
		found time.Duration
	}{{&d.RemoveDelay, removal}, {&d.UnresponsiveDelay, unresponsive}, {&d.AddDelay, addition}} {
		if p.found > 0 {
			*p.at = toSpan(p.found)
		}
	}
	m.buildFaults(v, &s)
	return &s
}

func roundToThousandth(x float64) float64 { return math.Round(x*1000) / 1000 }

func toSpan(d time.Duration) scenario.Span { return scenario.Span(d.Round(time.Millisecond)) }

// idempotencyNames has the scenario's word for each of the settings'.
var idempotencyNames = map[balance.Idempotency]string{balance.Idempotent: "safe", balance.IdempotentByKey: "keyed", balance.NonIdempotent: "unsafe"}

// buildClasses adds the settings' classes with the fitted distributions of their work.
func (m *fittedModel) buildClasses(v *history, s *scenario.Scenario) {
	requests := make([]int, len(v.settings.Classes))
	for i := range v.requests {
		requests[v.requests[i].class]++
	}
	for i, c := range v.settings.Classes {
		l := m.distributions[i]
		k := scenario.Class{
			Name:             v.settings.ClassNames[i],
			Share:            max(float64(requests[i]), minWeight),
			TargetLatency:    scenario.Span(c.TargetLatency),
			Deadline:         scenario.Span(max(c.Deadline, c.TargetLatency)),
			Value:            max(c.Value, minWeight),
			Idempotency:      idempotencyNames[c.Idempotency],
			DedupWindow:      scenario.Span(c.DedupWindow),
			WorkDistribution: "exp",
			ResponseBytes:    bodyBytes,
		}
		mean := l.mean
		if l.exponential {
			k.AttemptCV = math.Sqrt(math.Expm1(l.noise * l.noise))
		} else {
			variance := l.sigma * l.sigma
			mean = math.Exp(l.mu + variance/2)
			k.WorkDistribution, k.CV = "lognormal", min(math.Sqrt(math.Expm1(variance*requestVarianceShare)), 5)
			k.AttemptCV = min(math.Sqrt(math.Expm1(variance*(1-requestVarianceShare))), 5)
		}
		k.Work = scenario.Span(max(time.Duration(mean*float64(time.Second)).Round(time.Microsecond), 10*time.Microsecond))
		if c.Idempotency != balance.Idempotent {
			k.RequestBytes = bodyBytes
		}
		s.Classes = append(s.Classes, k)
	}
}

// buildTier adds a tier with a kind for each endpoint. Names that are numbered from 1 are kept.
func (m *fittedModel) buildTier(v *history, s *scenario.Scenario) {
	name := strings.TrimRight(v.endpoints[0].name, "0123456789")
	for i := range v.endpoints {
		if v.endpoints[i].name != fmt.Sprint(name, i+1) || !strings.HasSuffix(name, "-") {
			name = "host-"
		}
	}
	t := scenario.Tier{Name: strings.TrimSuffix(name, "-"), Work: 1, Propagates: "all"}
	errorRate := m.baseErrorRate(v)
	for i := range v.endpoints {
		h := &v.endpoints[i]
		k := scenario.EndpointKind{
			Name:               h.kind,
			Endpoints:          1,
			Cores:              m.cores,
			Speed:              roundToThousandth(m.speeds[i]),
			Slots:              m.slots,
			Queue:              m.queue,
			ErrorRate:          errorRate,
			WarmupInitialShare: roundToThousandth(m.warmup.initialShare),
			WarmupDuration:     max(toSpan(m.warmup.duration), scenario.Span(time.Millisecond)),
			WarmupBy:           "time",
			Start:              "warm",
			CancelRule:         "all",
			Connections:        unboundedConnections,
			HandshakeWork:      scenario.Span(minHandshakeWork),
		}
		if k.Name == "" {
			k.Name = t.Name
		}
		if h.absent && len(h.starts) > 0 {
			k.Start = "absent"
		}
		t.Kinds = append(t.Kinds, k)
	}
	s.Tiers = []scenario.Tier{t}
}

// unboundedConnections is high enough not to matter: a record does not show connections.
const unboundedConnections = 1 << 16

// baseErrorRate is the share of errors apart from faults.
func (m *fittedModel) baseErrorRate(v *history) float64 {
	errors, all := 0.0, 0.0
	for i := range v.attempts {
		a := &v.attempts[i]
		if !m.hadFault(a, "fail", "spoil") && (a.status == balance.OK || a.status == balance.Error) {
			all++
			errors += float64(boolToInt(a.status == balance.Error))
		}
	}
	if errors < minStrayRate*all {
		return 0
	}
	return roundToThousandth(errors / all)
}

// buildRules takes over the settings, as far as a scenario has keys for them.
func buildRules(s *scenario.Scenario, v *history) {
	from, r := &v.settings, &s.Rules
	r.DrainGrace, r.WarmupInitialShare, r.WarmupDuration = scenario.Span(from.DrainGrace), from.WarmupInitialShare, scenario.Span(from.WarmupDuration)
	r.CollapseMultiple, r.CollapseWindow = from.CollapseMultiple, scenario.Span(from.CollapseWindow)
	r.MaxAttempts, r.MaxPending, r.Hedging = from.MaxAttempts, from.MaxPending, from.Hedging
	r.Cancel, r.HealthChecks, r.RetryAfter = from.Cancel, from.HealthChecks, from.RetryAfter
	r.MaxRetryAfter, r.ConnectTimeout = scenario.Span(from.MaxRetryAfter), scenario.Span(from.ConnectTimeout)
	if from.ConnIdle > 0 {
		r.ConnIdleTimeout = scenario.Span(from.ConnIdle)
	}
	r.PropagatesDeadline, r.MarksRetries, r.ValueByWork = from.PropagatesDeadline, from.MarksRetries, from.ValueByWork
}

// buildFaults adds the faults that were found, and the sidecars' restarts.
func (m *fittedModel) buildFaults(v *history, s *scenario.Scenario) {
	names := s.EndpointNames()
	add := func(f scenario.Fault, endpointIndex int, from, to time.Duration) {
		f.At = toSpan(from)
		if f.At > s.Length || f.At < 0 {
			return
		}
		if to < neverEnds {
			f.Duration = max(toSpan(to)-f.At, scenario.Span(time.Millisecond))
		}
		if f.Share = 1; endpointIndex >= 0 {
			f.Share, f.Names = 0, []string{names[endpointIndex]}
		}
		s.Faults = append(s.Faults, f)
	}
	for i := range v.endpoints {
		if h := &v.endpoints[i]; h.absent && len(h.starts) > 0 {
			add(scenario.Fault{Kind: "add"}, i, h.starts[0], neverEnds)
		}
	}
	for _, d := range m.outages {
		if d.kind != "drain" {
			add(scenario.Fault{Kind: d.kind}, d.endpoint, d.from, d.to)
			continue
		}
		at := max(d.announcedAt-s.Discovery.RemoveDelay.D(), 0)
		f := scenario.Fault{Kind: "drain", Grace: toSpan(max(d.from-at, time.Millisecond))}
		if d.to < neverEnds {
			f.RecoveryDelay = toSpan(max(d.to-d.from, time.Millisecond))
		}
		add(f, d.endpoint, at, neverEnds)
	}
	for _, h := range m.partialFaults {
		add(scenario.Fault{Kind: h.kind, Size: roundToThousandth(h.size)}, h.endpoint, h.from, h.to)
	}
	for _, w := range m.slowPeriods {
		add(scenario.Fault{Kind: "slow", Size: roundToThousandth(w.factor)}, w.endpoint, w.from, w.to)
	}
	for _, l := range sidecarRestarts(v) {
		f := scenario.Fault{Kind: "sidecar_kill", At: toSpan(l.from), RecoveryDelay: toSpan(max(l.to-l.from, time.Millisecond)),
			Names: []string{fmt.Sprint("n", l.sidecar+1)}}
		if f.At <= s.Length {
			s.Faults = append(s.Faults, f)
		}
	}
}

// sidecarRestarts returns the times between two runs of a sidecar.
func sidecarRestarts(v *history) (out []sidecarRun) {
	ended := map[int]time.Duration{}
	for _, l := range v.sidecarRuns {
		if at, again := ended[l.sidecar]; again && l.from > at {
			out = append(out, sidecarRun{sidecar: l.sidecar, from: at, to: l.from})
		}
		ended[l.sidecar] = max(ended[l.sidecar], l.to)
	}
	return out
}
