package result

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// New is a run's result.
func New(p *plan.Plan, log *trace.Log, broken []Violation, meta Meta) *Result {
	r := &analysis{plan: p, log: log, settle: p.Scenario.Settle.D()}
	r.requests, r.unattributed = requestResults(p, log)
	r.endpoints = samplesByEndpoint(p, log)
	s := p.Scenario
	out := &Result{Schema: Schema, Scenario: s.Name, Description: s.About, Seed: p.Seed, Builds: nonNil(meta.Builds), Player: meta.Player, Sidecars: len(p.Sidecars),
		Length: s.Length.D().Seconds(), Settle: r.settle.Seconds(), End: round(log.End.Seconds()), Tiers: []string{},
		UnattributedRequests: r.unattributed.requests, Violations: boundTimelines(broken), Harness: harnessOf(log.Lateness), Usage: usageOf(p, log), Seconds: r.seconds(),
		Expectations: []Expectation{}, FaultImpacts: []FaultImpact{}, Classes: []Class{}, Endpoints: []Endpoint{}, TargetLatencies: []float64{}}
	for _, t := range s.Tier {
		out.Tiers = append(out.Tiers, t.Name)
	}
	out.Detection = detectionOf(p, log)
	if meta.Player == "sockets" {
		out.FleetLoad = r.fleetLoad()
		if r.audit = r.compareAudit(); p.Operators() || r.audit.LateAttempts > 0 {
			out.Audit = r.audit
		}
	}
	out.Peak = r.attemptPeak(-maxDuration, maxDuration)
	out.AttainableGoodput = r.attainableGoodput(len(out.Seconds))
	out.All = r.tally(-1, r.settle, maxDuration).figures()
	for i, c := range s.Class {
		aim := microsToMillis(float64(c.Aim.D().Microseconds()))
		out.Classes = append(out.Classes, Class{Name: c.Name, TargetLatency: aim, Figures: r.tally(i, r.settle, maxDuration).figures()})
		out.TargetLatencies = append(out.TargetLatencies, aim)
	}
	slices.Sort(out.TargetLatencies)
	out.TargetLatencies = slices.Compact(out.TargetLatencies)
	for _, e := range s.Expect {
		out.Expectations = append(out.Expectations, r.expectation(&e))
	}
	for _, m := range p.Marks {
		out.FaultImpacts = append(out.FaultImpacts, r.faultImpact(m))
	}
	for i := range r.endpoints {
		b := r.endpoints[i].summarize(p, i, len(out.Seconds))
		out.Endpoints = append(out.Endpoints, b)
		out.MaxColdLoad = max(out.MaxColdLoad, b.MaxColdLoad)
		if b.Collapsed {
			out.CollapsedEndpoints++
		}
	}
	return out
}

// run is what the figures are taken from.
type analysis struct {
	plan         *plan.Plan
	log          *trace.Log
	settle       time.Duration
	requests     []requestResult
	unattributed unattributedWork
	endpoints    []endpointSamples

	audit *AuditResult // nil: nobody can call the sidecars
}

// tally sums up a class (-1 is all) in a window of due times.
func (r *analysis) tally(class int, from, to time.Duration) *tally {
	t := newTally(len(r.plan.Scenario.Tier))
	t.addWindow(r.requests, class, from, to)
	if class < 0 {
		t.addUnattributed(r.unattributed, from, to)
	}
	return t
}

// seconds is the series: as far as the arrivals go, at least the scenario's length.
func (r *analysis) seconds() []Second {
	length := r.plan.Scenario.Length.D()
	if n := len(r.requests); n > 0 {
		length = max(length, r.requests[n-1].due+1)
	}
	out := make([]Second, int((length+time.Second-1)/time.Second))
	t, next := newTally(len(r.plan.Scenario.Tier)), 0
	for i := range out {
		t.reset()
		for ; next < len(r.requests) && r.requests[next].due < time.Duration(i+1)*time.Second; next++ {
			if r.requests[next].due >= r.settle {
				t.add(&r.requests[next])
			}
		}
		s := Second{At: i, Requested: t.requested, Served: t.byOutcome[served], Late: t.byOutcome[late], Rejected: t.byOutcome[rejected], Failed: t.byOutcome[failed],
			Canceled: t.byOutcome[canceled], Goodput: ratio(t.servedValue, t.value), ClientAttempts: t.clientAttempts, Rejections: t.rejections,
			EndpointRequests: slices.Clone(t.endpointRequests), Hedges: t.hedges}
		if t.latency.TotalCount() > 0 {
			s.Mean, s.P50, s.P99 = microsToMillis(t.latency.Mean()), t.quantile(50), t.quantile(99)
		}
		out[i] = s
	}
	return out
}

// mark compares the service in a fault with that before and after it.
func (r *analysis) faultImpact(m plan.Mark) FaultImpact {
	service := func(from, to time.Duration) *float64 {
		t := r.tally(-1, max(from, r.settle), to)
		if t.requested == 0 {
			return nil
		}
		v := ratio(t.servedValue, t.value)
		return &v
	}
	to := max(m.To, m.From+minFaultDuration)
	return FaultImpact{Description: m.What, From: round(m.From.Seconds()), To: round(m.To.Seconds()), Before: service(m.From-comparisonWindow, m.From),
		During: service(m.From, to), After: service(to, to+comparisonWindow)}
}

// harnessOf judges the rig itself.
func harnessOf(lateness []time.Duration) Harness {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	veryLate := 0
	for _, d := range lateness {
		_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatency.Microseconds())) // within its bounds
		if d > latenessThreshold {
			veryLate++
		}
	}
	out := Harness{Measured: len(lateness), VeryLateShare: ratio(float64(veryLate), float64(len(lateness)))}
	if out.Measured == 0 {
		return out
	}
	out.P50, out.P99 = microsToMillis(float64(h.ValueAtPercentile(50))), microsToMillis(float64(h.ValueAtPercentile(99)))
	out.Max = microsToMillis(float64(h.Max()))
	switch {
	case out.VeryLateShare > maxLateShare:
		out.Reason = fmt.Sprintf("%.1f%% of the first tries were sent more than %s late; %.0f%% may be", 100*out.VeryLateShare, latenessThreshold, 100*maxLateShare)
	case out.P99 > float64(maxP99Lateness.Milliseconds()):
		out.Reason = fmt.Sprintf("one first try in a hundred was sent %.0f ms late or later; %s is the most", out.P99, maxP99Lateness)
	}
	out.Void = out.Reason != ""
	return out
}

func usageOf(p *plan.Plan, log *trace.Log) []Usage {
	out := []Usage{}
	for _, u := range log.Usage {
		name := fmt.Sprintf("sidecar %d", u.Sidecar)
		if u.Sidecar >= 0 && u.Sidecar < len(p.Sidecars) {
			name = p.Sidecars[u.Sidecar].Name
		}
		out = append(out, Usage{Sidecar: name, Build: u.Build, CPU: round(u.CPU.Seconds()), PeakMemory: round(float64(u.PeakMemory) / (1 << 20)),
			MaxDescriptors: u.MaxDescriptors})
	}
	return out
}

// told keeps the kinds that were broken, with a bounded number of stories.
func boundTimelines(broken []Violation) []Violation {
	out := []Violation{}
	for _, b := range broken {
		if b.Count > 0 {
			out = append(out, Violation{b.Kind, b.Count, nonNil(b.Timelines[:min(len(b.Timelines), maxTimelines)])})
		}
	}
	return out
}

// list is never nil, so that the file has [] and not null.
func nonNil[T any](v []T) []T { return append([]T{}, v...) }

// expect measures an expectation.
func (r *analysis) expectation(e *scenario.Expect) Expectation {
	from, to := r.settle, maxDuration
	if e.From > 0 {
		from = e.From.D()
	}
	if e.To > 0 {
		to = e.To.D()
	}
	out := Expectation{What: e.What, Class: e.Class, From: from.Seconds(), To: e.To.D().Seconds(), Min: e.Least, Max: e.Most}
	if v, known := r.measure(e.What, r.plan.Scenario.ClassIndex(e.Class), from, to); known {
		out.Measured = &v
		out.Met = (e.Least == nil || v >= *e.Least) && (e.Most == nil || v <= *e.Most)
	}
	return out
}
