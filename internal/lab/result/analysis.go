package result

import (
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// allClasses stands for a class's index where all classes are meant.
const allClasses = -1

// New computes a run's result from its plan, its trace and the rules that it violated.
func New(p *plan.Plan, log *trace.Log, violations []Violation, meta Meta) *Result {
	r := newAnalysis(p, log)
	s := p.Scenario
	seconds := r.seconds()
	out := &Result{
		Schema:               Schema,
		Scenario:             s.Name,
		Description:          s.About,
		Seed:                 p.Seed,
		Builds:               nonNil(meta.Builds),
		Player:               meta.Player,
		Length:               s.Length.D().Seconds(),
		WarmUp:               r.warmUp.Seconds(),
		End:                  round(log.End.Seconds()),
		Sidecars:             len(p.Sidecars),
		Tiers:                []string{},
		AttainableGoodput:    r.attainableGoodput(len(seconds)),
		All:                  r.tally(allClasses, r.warmUp, maxDuration).figures(),
		UnattributedRequests: r.unattributed.requests,
		Violations:           boundTimelines(violations),
		FaultImpacts:         r.faultImpacts(),
		Detection:            detectionOf(p, log),
		Peak:                 r.attemptPeak(-maxDuration, maxDuration),
		Harness:              harnessOf(log.Lateness),
		Usage:                usageOf(p, log),
		Seconds:              seconds,
	}
	for _, tier := range s.Tiers {
		out.Tiers = append(out.Tiers, tier.Name)
	}
	if meta.Player == "sockets" {
		out.FleetLoad = r.fleetLoad()
		r.audit = r.compareAudit()
		if p.NeedsControlAccess() || r.audit.LateAttempts > 0 {
			out.Audit = r.audit
		}
	}
	out.Expectations = r.expectations() // some are of the audit
	r.addClasses(out)
	r.addEndpoints(out)
	return out
}

// analysis is what the figures are computed from.
type analysis struct {
	plan         *plan.Plan
	log          *trace.Log
	warmUp       time.Duration   // from the run's start, left out of the figures
	requests     []requestResult // of the plan's requests that were due before the end, in its order
	unattributed unattributedWork
	endpoints    []endpointSamples // by the plan's index

	audit *AuditResult // nil: operators can't call the sidecars
}

func newAnalysis(p *plan.Plan, log *trace.Log) *analysis {
	r := &analysis{plan: p, log: log, warmUp: p.Scenario.WarmUp.D(), endpoints: samplesByEndpoint(p, log)}
	r.requests, r.unattributed = requestResults(p, log)
	return r
}

// tally sums up the requests of a class, or of allClasses, that were due in a window.
func (r *analysis) tally(class int, from, to time.Duration) *tally {
	t := newTally(len(r.plan.Scenario.Tiers))
	t.addWindow(r.requests, class, from, to)
	if class == allClasses {
		t.addUnattributed(r.unattributed, from, to)
	}
	return t
}

// seconds returns the series over time. It lasts until the last request was due, at least for the scenario's length.
func (r *analysis) seconds() []Second {
	length := r.plan.Scenario.Length.D()
	if n := len(r.requests); n > 0 {
		length = max(length, r.requests[n-1].due+1)
	}
	out := make([]Second, int((length+time.Second-1)/time.Second))
	t, next := newTally(len(r.plan.Scenario.Tiers)), 0
	for i := range out {
		t.reset()
		for ; next < len(r.requests) && r.requests[next].due < time.Duration(i+1)*time.Second; next++ {
			if r.requests[next].due >= r.warmUp {
				t.add(&r.requests[next])
			}
		}
		out[i] = t.second(i)
	}
	return out
}

func (r *analysis) addClasses(out *Result) {
	out.Classes = []Class{}
	out.TargetLatencies = []float64{}
	for i, class := range r.plan.Scenario.Classes {
		target := microsToMillis(float64(class.TargetLatency.D().Microseconds()))
		out.Classes = append(out.Classes, Class{
			Name:          class.Name,
			TargetLatency: target,
			Figures:       r.tally(i, r.warmUp, maxDuration).figures(),
		})
		out.TargetLatencies = append(out.TargetLatencies, target)
	}
	slices.Sort(out.TargetLatencies)
	out.TargetLatencies = slices.Compact(out.TargetLatencies)
}

func (r *analysis) addEndpoints(out *Result) {
	out.Endpoints = []Endpoint{}
	for i := range r.endpoints {
		endpoint := r.endpoints[i].summarize(r.plan, i, len(out.Seconds))
		out.Endpoints = append(out.Endpoints, endpoint)
		out.MaxColdLoad = max(out.MaxColdLoad, endpoint.MaxColdLoad)
		if endpoint.Collapsed {
			out.CollapsedEndpoints++
		}
	}
}

// faultImpacts compares the goodput during each fault with that before and after it.
func (r *analysis) faultImpacts() []FaultImpact {
	out := []FaultImpact{}
	for _, mark := range r.plan.Annotations {
		to := max(mark.To, mark.From+minFaultDuration)
		out = append(out, FaultImpact{
			Description: mark.Name,
			From:        round(mark.From.Seconds()),
			To:          round(mark.To.Seconds()),
			Before:      r.goodput(mark.From-comparisonWindow, mark.From),
			During:      r.goodput(mark.From, to),
			After:       r.goodput(to, to+comparisonWindow),
		})
	}
	return out
}

// goodput returns that of all requests due in a window, nil if there were none.
func (r *analysis) goodput(from, to time.Duration) *float64 {
	t := r.tally(allClasses, max(from, r.warmUp), to)
	if t.requested == 0 {
		return nil
	}
	v := t.goodput()
	return &v
}

// expectations measures the scenario's expectations.
func (r *analysis) expectations() []Expectation {
	out := []Expectation{}
	for _, expected := range r.plan.Scenario.Expectations {
		out = append(out, r.expectation(&expected))
	}
	return out
}

func (r *analysis) expectation(expected *scenario.Expectation) Expectation {
	from, to := r.warmUp, maxDuration
	if expected.From > 0 {
		from = expected.From.D()
	}
	if expected.To > 0 {
		to = expected.To.D()
	}
	out := Expectation{
		Measure: expected.Measure,
		Class:   expected.Class,
		From:    from.Seconds(),
		To:      expected.To.D().Seconds(),
		Min:     expected.Min,
		Max:     expected.Max,
	}
	value, known := r.measure(expected.Measure, r.plan.Scenario.ClassIndex(expected.Class), from, to)
	if known {
		out.Measured = &value
		out.Met = (out.Min == nil || value >= *out.Min) && (out.Max == nil || value <= *out.Max)
	}
	return out
}

// usageOf returns what the sidecars' processes used.
func usageOf(p *plan.Plan, log *trace.Log) []Usage {
	out := []Usage{}
	for _, usage := range log.Usage {
		name := fmt.Sprintf("sidecar %d", usage.Sidecar)
		if usage.Sidecar >= 0 && usage.Sidecar < len(p.Sidecars) {
			name = p.Sidecars[usage.Sidecar].Name
		}
		out = append(out, Usage{
			Sidecar:        name,
			Build:          usage.Build,
			CPU:            round(usage.CPU.Seconds()),
			PeakMemory:     round(float64(usage.PeakMemory) / (1 << 20)),
			MaxDescriptors: usage.MaxDescriptors,
		})
	}
	return out
}

// boundTimelines returns the violations that occurred, with maxTimelines timelines each at most.
func boundTimelines(violations []Violation) []Violation {
	out := []Violation{}
	for _, v := range violations {
		if v.Count > 0 {
			timelines := v.Timelines[:min(len(v.Timelines), maxTimelines)]
			out = append(out, Violation{Kind: v.Kind, Count: v.Count, Timelines: nonNil(timelines)})
		}
	}
	return out
}

// nonNil returns a copy that is never nil, so that JSON has [] and not null.
func nonNil[T any](v []T) []T { return append([]T{}, v...) }
