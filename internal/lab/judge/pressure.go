package judge

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// minInformedShare of the work that pushed a box over has to come from sidecars that were told of its start, or the
// fall is nobody's fault.
const minInformedShare = 2.0 / 3

// ColdLoad is what a box stood while it was cold.
type ColdLoad struct {
	Endpoint int
	// Max is the most work sent to it in a window of FallWindow, over what it could do in that window times
	// FallMultiple: at 1 it falls. It is read from samples, so that it may be off by a few hundredths, and
	// by more where a box falls between two of them. 0 is a box that never was cold.
	Max           float64
	CollapsedAt   time.Duration // None if it stands
	InformedShare float64       // of the work of the window before the fall: from sidecars told of its start
}

// pressures reads every box's samples, and judges those that fell.
func (j *evaluation) checkColdLoads() {
	byBox := make([][]trace.Sample, len(j.plan.Boxes))
	for _, s := range j.log.Samples {
		byBox[s.Endpoint] = append(byBox[s.Endpoint], s)
	}
	for i, samples := range byBox {
		r := ColdLoad{Endpoint: i, CollapsedAt: trace.Unset, Max: j.maxColdLoad(&j.plan.Boxes[i].Spec, samples)}
		if n := slices.IndexFunc(samples, func(s trace.Sample) bool { return s.Collapsed }); n >= 0 {
			r.CollapsedAt = samples[n].At
			r.InformedShare = j.informedShare(i, samples[max(0, n-1)].At, r.CollapsedAt)
			if r.InformedShare >= minInformedShare {
				j.report(Violation{Kind: ColdOverload, At: r.CollapsedAt, Request: -1, Endpoint: i, Sidecar: -1},
					"box %s was cold and fell over: in a window of %s it was sent %.2f times what it stands, %.0f%% of it by sidecars that knew of its start",
					j.endpointName(i), j.plan.Scenario.Rules.FallWindow.D(), r.Max, 100*r.InformedShare)
			}
		}
		j.verdict.Endpoints = append(j.verdict.Endpoints, r)
	}
}

// worst is a box's highest pressure. Before a cold start it counts as able to do what it can right after.
func (j *evaluation) maxColdLoad(spec *model.Spec, samples []trace.Sample) (most float64) {
	r := &j.plan.Scenario.Rules
	atStart := spec.ColdFrom * float64(spec.Cores) * spec.Speed
	for from := 0; from < len(samples); {
		if !samples[from].WarmingUp {
			from++
			continue
		}
		to := from
		for to < len(samples) && samples[to].WarmingUp {
			to++
		}
		run := samples[from:min(to+1, len(samples))] // with the one that finds it warm, or fallen
		before := trace.Sample{At: run[0].At, Endpoint: run[0].Endpoint}
		if from > 0 {
			before = samples[from-1]
		}
		// It was down until it started: when that was follows from what it could do since.
		start := max(before.At, run[0].At-time.Duration(float64(run[0].PossibleWork-before.PossibleWork)/atStart))
		began := trace.Sample{At: start, SentWork: before.SentWork, PossibleWork: before.PossibleWork}
		most = max(most, maxWindowLoad(append([]trace.Sample{began}, run...), r.FallWindow.D(), atStart)/r.FallMultiple)
		from = to
	}
	return most
}

// highest is the most work sent in a window that ends at one of the samples, over what the box could do in it.
func maxWindowLoad(run []trace.Sample, window time.Duration, atStart float64) (most float64) {
	first := 0
	for n := 1; n < len(run); n++ {
		last, opens := run[n], run[n].At-window
		sent, could := last.SentWork-run[0].SentWork, float64(last.PossibleWork-run[0].PossibleWork)
		if opens <= run[0].At {
			could += atStart * float64(run[0].At-opens)
		} else {
			for run[first+1].At <= opens {
				first++
			}
			a, b := run[first], run[first+1]
			part := float64(opens-a.At) / float64(b.At-a.At)
			sent = last.SentWork - a.SentWork - time.Duration(part*float64(b.SentWork-a.SentWork))
			could = float64(last.PossibleWork-a.PossibleWork) - part*float64(b.PossibleWork-a.PossibleWork)
		}
		if could > 0 {
			most = max(most, float64(sent)/could)
		}
	}
	return most
}

// informedShare is the share of the work sent to a box in the window before its fall, which was between two
// samples, that came from sidecars told of its last start. Work is the plan's; handshakes are left out.
func (j *evaluation) informedShare(box int, after, by time.Duration) float64 {
	start := lastStart(j.plan, box, by)
	knows := j.startKnownAt(box, start)
	var told, all time.Duration
	for i := range j.log.EndpointRequests {
		v := &j.log.EndpointRequests[i]
		if v.Endpoint != box || v.FirstByte > by || v.FirstByte < max(start, after-j.plan.Scenario.Rules.FallWindow.D()) {
			continue
		}
		n := j.index.attempt(v.TransactionID)
		if n < 0 {
			continue
		}
		t := &j.log.ClientAttempts[n]
		work := j.plan.Requests[t.Request].Work
		all += work
		if at, known := knows[t.Sidecar]; known && at <= v.FirstByte {
			told += work
		}
	}
	if all == 0 {
		return 0
	}
	return float64(told) / float64(all)
}

// startKnownAt is when each sidecar knew of a box's start, for those that did.
func (j *evaluation) startKnownAt(box int, start time.Duration) map[int]time.Duration {
	knows := map[int]time.Duration{}
	hears := func(sidecar int, at, upSince time.Duration) {
		if old, known := knows[sidecar]; upSince > 0 && upSince >= start && (!known || at < old) {
			knows[sidecar] = at
		}
	}
	for i := range j.plan.Sidecars {
		for _, l := range j.plan.Sidecars[i].Known {
			if l.Box == box {
				hears(i, 0, l.UpSince)
			}
		}
	}
	for _, t := range j.log.Notifications {
		if t.Endpoint == box {
			hears(t.Sidecar, t.At, t.UpSince)
		}
	}
	for i := range j.plan.Events {
		if e := &j.plan.Events[i]; e.Kind == plan.Tell && e.Sidecar >= 0 && e.Entry.Box == box {
			hears(e.Sidecar, e.At+notificationTimeout, e.Entry.UpSince)
		}
	}
	return knows
}

// lastStart is when the script last started a box's process by a moment; 0 is the run's start.
func lastStart(p *plan.Plan, box int, by time.Duration) (at time.Duration) {
	for i := range p.Events {
		e := &p.Events[i]
		dead := e.Fault.Kind == model.Dead || e.Fault.Kind == model.Vanish
		if e.At <= by && e.Box == box && (e.Kind == plan.StartBox || e.Kind == plan.EndFault && dead) {
			at = e.At
		}
	}
	return at
}
