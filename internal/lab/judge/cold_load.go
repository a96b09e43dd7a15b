package judge

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// minInformedShare is the share of the work that overloaded a cold endpoint that has to come from sidecars notified of its start;
// otherwise nobody is to blame for the overload.
const minInformedShare = 2.0 / 3

// ColdLoad is the load of an endpoint while it was cold.
type ColdLoad struct {
	Endpoint int
	// Max is the most work sent to it in a window of Rules.FallWindow, over what it could do in that window times
	// Rules.FallMultiple: at 1 it collapses. It is read from samples, so that it may be off by a few hundredths, and by more
	// where an endpoint collapses between two of them. It is 0 for an endpoint that never was cold.
	Max           float64
	CollapsedAt   time.Duration // trace.Unset if it has not collapsed
	InformedShare float64       // of the work in the window before the collapse: from sidecars notified of its start
}

// checkColdLoads measures every endpoint's load by its samples, and checks those that collapsed.
func (e *evaluation) checkColdLoads() {
	byEndpoint := make([][]trace.Sample, len(e.plan.Endpoints))
	for _, s := range e.log.Samples {
		byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], s)
	}
	for i, samples := range byEndpoint {
		load := ColdLoad{Endpoint: i, CollapsedAt: trace.Unset, Max: e.maxColdLoad(&e.plan.Endpoints[i].Spec, samples)}
		if n := slices.IndexFunc(samples, func(s trace.Sample) bool { return s.Collapsed }); n >= 0 {
			load.CollapsedAt = samples[n].At
			load.InformedShare = e.informedShare(i, samples[max(0, n-1)].At, load.CollapsedAt)
			if load.InformedShare >= minInformedShare {
				e.report(Violation{Kind: ColdOverload, At: load.CollapsedAt, Request: -1, Endpoint: i, Sidecar: -1},
					"box %s was cold and fell over: in a window of %s it was sent %.2f times what it stands, %.0f%% of it by sidecars that knew of its start",
					e.endpointName(i), e.plan.Scenario.Rules.CollapseWindow.D(), load.Max, 100*load.InformedShare)
			}
		}
		e.verdict.Endpoints = append(e.verdict.Endpoints, load)
	}
}

// maxColdLoad is ColdLoad.Max. Before a cold start an endpoint counts as having the capacity that it has right after.
func (e *evaluation) maxColdLoad(spec *model.Spec, samples []trace.Sample) (maximum float64) {
	rules := &e.plan.Scenario.Rules
	atStart := spec.WarmupInitialShare * float64(spec.Cores) * spec.Speed
	for from := 0; from < len(samples); {
		if !samples[from].WarmingUp {
			from++
			continue
		}
		to := from
		for to < len(samples) && samples[to].WarmingUp {
			to++
		}
		run := samples[from:min(to+1, len(samples))] // with the one that finds it warm, or collapsed
		before := trace.Sample{At: run[0].At, Endpoint: run[0].Endpoint}
		if from > 0 {
			before = samples[from-1]
		}
		// It was down until it started: when that was follows from what it could do since.
		start := max(before.At, run[0].At-time.Duration(float64(run[0].PossibleWork-before.PossibleWork)/atStart))
		started := trace.Sample{At: start, SentWork: before.SentWork, PossibleWork: before.PossibleWork}
		maximum = max(maximum, maxWindowLoad(append([]trace.Sample{started}, run...), rules.CollapseWindow.D(), atStart)/rules.CollapseMultiple)
		from = to
	}
	return maximum
}

// maxWindowLoad is the most work sent in a window that ends at one of the samples, over what the endpoint could do in it.
func maxWindowLoad(run []trace.Sample, window time.Duration, atStart float64) (maximum float64) {
	first := 0
	for n := 1; n < len(run); n++ {
		last, windowStart := run[n], run[n].At-window
		sent, possible := last.SentWork-run[0].SentWork, float64(last.PossibleWork-run[0].PossibleWork)
		if windowStart <= run[0].At {
			possible += atStart * float64(run[0].At-windowStart)
		} else {
			for run[first+1].At <= windowStart {
				first++
			}
			a, b := run[first], run[first+1]
			part := float64(windowStart-a.At) / float64(b.At-a.At)
			sent = last.SentWork - a.SentWork - time.Duration(part*float64(b.SentWork-a.SentWork))
			possible = float64(last.PossibleWork-a.PossibleWork) - part*float64(b.PossibleWork-a.PossibleWork)
		}
		if possible > 0 {
			maximum = max(maximum, float64(sent)/possible)
		}
	}
	return maximum
}

// informedShare is the share of the work sent to an endpoint in the window before its collapse, which was between two samples, that
// came from sidecars notified of its last start. Work is the plan's, without handshakes.
func (e *evaluation) informedShare(endpoint int, after, by time.Duration) float64 {
	start := lastStart(e.plan, endpoint, by)
	knownAt := e.startKnownAt(endpoint, start)
	var informed, all time.Duration
	for i := range e.log.EndpointRequests {
		request := &e.log.EndpointRequests[i]
		if request.Endpoint != endpoint || request.FirstByte > by || request.FirstByte < max(start, after-e.plan.Scenario.Rules.CollapseWindow.D()) {
			continue
		}
		n := e.index.attempt(request.TransactionID)
		if n < 0 {
			continue
		}
		attempt := &e.log.ClientAttempts[n]
		work := e.plan.Requests[attempt.Request].Work
		all += work
		if at, known := knownAt[attempt.Sidecar]; known && at <= request.FirstByte {
			informed += work
		}
	}
	if all == 0 {
		return 0
	}
	return float64(informed) / float64(all)
}

// startKnownAt is when each sidecar knew of an endpoint's start, for those that did.
func (e *evaluation) startKnownAt(endpoint int, start time.Duration) map[int]time.Duration {
	knownAt := map[int]time.Duration{}
	learn := func(sidecar int, at, upSince time.Duration) {
		if old, known := knownAt[sidecar]; upSince > 0 && upSince >= start && (!known || at < old) {
			knownAt[sidecar] = at
		}
	}
	for i := range e.plan.Sidecars {
		for _, listed := range e.plan.Sidecars[i].InitialList {
			if listed.Endpoint == endpoint {
				learn(i, 0, listed.StartedAt)
			}
		}
	}
	for _, n := range e.log.Notifications {
		if n.Endpoint == endpoint {
			learn(n.Sidecar, n.At, n.UpSince)
		}
	}
	for i := range e.plan.Events {
		if event := &e.plan.Events[i]; event.Kind == plan.NotifySidecar && event.Sidecar >= 0 && event.Entry.Endpoint == endpoint {
			learn(event.Sidecar, event.At+notificationTimeout, event.Entry.StartedAt)
		}
	}
	return knownAt
}

// startTimes are when the script starts an endpoint's process anew, by time.
func startTimes(p *plan.Plan, endpoint int) (times []time.Duration) {
	for i := range p.Events {
		event := &p.Events[i]
		down := event.Fault.Kind == model.Crash || event.Fault.Kind == model.Vanish
		if event.Endpoint == endpoint && (event.Kind == plan.StartEndpoint || event.Kind == plan.EndFault && down) {
			times = append(times, event.At)
		}
	}
	return times
}

// lastStart is when the script last started an endpoint's process by a moment; 0 is the run's start.
func lastStart(p *plan.Plan, endpoint int, by time.Duration) (at time.Duration) {
	for _, start := range startTimes(p, endpoint) {
		if start <= by {
			at = start
		}
	}
	return at
}
