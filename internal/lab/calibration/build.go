package calibration

import (
	"fmt"
	"math"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// RecordFile is the name under which a rehearsal's scenario has the record, beside it.
const RecordFile = "record.jsonl"

const (
	withinShare = 0.72             // of a lognormal class's variance is between requests; a record hardly shows it
	noCost      = time.Microsecond // a handshake's work is in what attempts took
)

// scenario puts what was fitted into a scenario's words.
func (m *servers) scenario(v *view) *scenario.Scenario {
	s := scenario.Default()
	s.Name, s.About = "rehearsal", "Fitted to a record of "+strings.Join(v.names, ", ")+" by pinelab rehearse."
	last := time.Duration(0)
	if n := len(v.streams); n > 0 {
		last = v.streams[n-1].at
	}
	s.Length = span((last + time.Second).Truncate(time.Second))
	m.classes(v, &s)
	m.tier(v, &s)
	rules(&s, v)
	s.Clients.RecordFile = RecordFile
	s.Fleet.Sidecars, s.Fleet.ConfiguredInstances = len(v.names), max(v.settings.Instances, len(v.names))
	s.Fleet.MemoryMB, s.Fleet.Sockets = max(v.limits.MemoryMB, 32), max(v.limits.Sockets, 64)
	s.Fleet.Cores = max(v.limits.Cores, 0.1)
	notice, silent, add := m.delays(v)
	d := &s.Discovery
	d.Jitter = 0
	for _, p := range []struct {
		at    *scenario.Span
		found time.Duration
	}{{&d.RemoveDelay, notice}, {&d.UnresponsiveDelay, silent}, {&d.AddDelay, add}} {
		if p.found > 0 {
			*p.at = span(p.found)
		}
	}
	m.faults(v, &s)
	return &s
}

func thousandths(x float64) float64 { return math.Round(x*1000) / 1000 }

func span(d time.Duration) scenario.Span { return scenario.Span(d.Round(time.Millisecond)) }

func (m *servers) classes(v *view, s *scenario.Scenario) {
	effects := map[balance.Effect]string{balance.Safe: "safe", balance.Keyed: "keyed", balance.Unsafe: "unsafe"}
	asked := make([]int, len(v.settings.Classes))
	for i := range v.streams {
		asked[v.streams[i].class]++
	}
	for i, c := range v.settings.Classes {
		l := m.laws[i]
		k := scenario.Class{Name: v.settings.ClassNames[i], Share: max(float64(asked[i]), 0.001), TargetLatency: scenario.Span(c.Aim),
			Deadline: scenario.Span(max(c.Deadline, c.Aim)), Value: max(c.Worth, 0.001), Idempotency: effects[c.Effect],
			DedupWindow: scenario.Span(c.Memory), WorkDistribution: "exp", ResponseBytes: 64}
		mean := l.mean
		if l.exp {
			k.AttemptCV = math.Sqrt(math.Expm1(l.noise * l.noise))
		} else {
			variance := l.sigma * l.sigma
			mean = math.Exp(l.mu + variance/2)
			k.WorkDistribution, k.CV = "lognormal", min(math.Sqrt(math.Expm1(variance*withinShare)), 5)
			k.AttemptCV = min(math.Sqrt(math.Expm1(variance*(1-withinShare))), 5)
		}
		k.Work = scenario.Span(max(time.Duration(mean*float64(time.Second)).Round(time.Microsecond), 10*time.Microsecond))
		if c.Effect != balance.Safe {
			k.RequestBytes = 64
		}
		s.Classes = append(s.Classes, k)
	}
}

// tier has a kind for each host. Where their names go from 1 up the boxes get the same.
func (m *servers) tier(v *view, s *scenario.Scenario) {
	name := strings.TrimRight(v.hosts[0].name, "0123456789")
	for i := range v.hosts {
		if v.hosts[i].name != fmt.Sprint(name, i+1) || !strings.HasSuffix(name, "-") {
			name = "host-"
		}
	}
	t := scenario.Tier{Name: strings.TrimSuffix(name, "-"), Work: 1, Propagates: "all"}
	failing := m.errorRate(v)
	for i := range v.hosts {
		h := &v.hosts[i]
		k := scenario.EndpointKind{Name: h.kind, Endpoints: 1, Cores: m.cores, Speed: thousandths(m.speed[i]), Slots: m.slots, Queue: m.queue,
			ErrorRate: failing, WarmupInitialShare: thousandths(m.cold.from), WarmupDuration: max(span(m.cold.takes), scenario.Span(time.Millisecond)),
			WarmupBy: "time", Start: "warm", CancelRule: "all", Connections: mostConnections, HandshakeWork: scenario.Span(noCost)}
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

// mostConnections is so high that it bounds nothing: a record does not show connections.
const mostConnections = 1 << 16

// errorRate is the share of errors that is there all the time.
func (m *servers) errorRate(v *view) float64 {
	errors, all := 0.0, 0.0
	for i := range v.attempts {
		a := &v.attempts[i]
		if !m.struck(a, "fail", "spoil") && (a.status == balance.OK || a.status == balance.Error) {
			all++
			errors += float64(b2i(a.status == balance.Error))
		}
	}
	if errors < strayRate*all {
		return 0
	}
	return thousandths(errors / all)
}

// rules are the settings, as far as a scenario has words for them.
func rules(s *scenario.Scenario, v *view) {
	from, r := &v.settings, &s.Rules
	r.DrainGrace, r.WarmupInitialShare, r.WarmupDuration = scenario.Span(from.DrainGrace), from.ColdShare, scenario.Span(from.ColdFor)
	r.CollapseMultiple, r.CollapseWindow = from.FallMultiple, scenario.Span(from.FallWindow)
	r.MaxAttempts, r.MaxPending, r.Hedging = from.MaxAttempts, from.MaxHeld, from.SecondCopies
	r.Cancel, r.HealthChecks, r.RetryAfter = from.Cancel, from.Probes, from.RetryAfter
	r.MaxRetryAfter, r.ConnectTimeout = scenario.Span(from.MaxRetryAfter), scenario.Span(from.ConnectTimeout)
	if from.ConnIdle > 0 {
		r.ConnIdleTimeout = scenario.Span(from.ConnIdle)
	}
	r.PropagatesDeadline, r.MarksRetries, r.ValueByWork = from.PassesDeadline, from.MarksRetry, from.ByWork
}

// faults are the script.
func (m *servers) faults(v *view, s *scenario.Scenario) {
	names := s.EndpointNames()
	add := func(f scenario.Fault, host int, from, to time.Duration) {
		f.At = span(from)
		if f.At > s.Length || f.At < 0 {
			return
		}
		if to < never {
			f.Duration = max(span(to)-f.At, scenario.Span(time.Millisecond))
		}
		if f.Share = 1; host >= 0 {
			f.Share, f.Names = 0, []string{names[host]}
		}
		s.Faults = append(s.Faults, f)
	}
	for i := range v.hosts {
		if h := &v.hosts[i]; h.absent && len(h.starts) > 0 {
			add(scenario.Fault{Kind: "add"}, i, h.starts[0], never)
		}
	}
	for _, d := range m.downs {
		if d.kind != "drain" {
			add(scenario.Fault{Kind: d.kind}, d.host, d.from, d.to)
			continue
		}
		at := max(d.told-s.Discovery.RemoveDelay.D(), 0)
		f := scenario.Fault{Kind: "drain", Grace: span(max(d.from-at, time.Millisecond))}
		if d.to < never {
			f.RecoveryDelay = span(max(d.to-d.from, time.Millisecond))
		}
		add(f, d.host, at, never)
	}
	for _, h := range m.shares {
		add(scenario.Fault{Kind: h.kind, Size: thousandths(h.size)}, h.host, h.from, h.to)
	}
	for _, w := range m.slows {
		add(scenario.Fault{Kind: "slow", Size: thousandths(w.factor)}, w.host, w.from, w.to)
	}
	for _, l := range restarts(v) {
		f := scenario.Fault{Kind: "sidecar_kill", At: span(l.from), RecoveryDelay: span(max(l.to-l.from, time.Millisecond)),
			Names: []string{fmt.Sprint("n", l.sidecar+1)}}
		if f.At <= s.Length {
			s.Faults = append(s.Faults, f)
		}
	}
}

// restarts are the times between two runs of a sidecar.
func restarts(v *view) (out []life) {
	ended := map[int]time.Duration{}
	for _, l := range v.lives {
		if at, again := ended[l.sidecar]; again && l.from > at {
			out = append(out, life{sidecar: l.sidecar, from: at, to: l.from})
		}
		ended[l.sidecar] = max(ended[l.sidecar], l.to)
	}
	return out
}
