package judge

import (
	"fmt"
	"math"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// MaxColdRequestRatio is the most requests that came to a cold box in a window of the rules', all sidecars together, over what it stands:
// N + 2 root of N + 2, N being what the settings allow it in that window, in requests of the classes' mean work. A window of
// which a third came from sidecars that had not been told of the start is nobody's fault. It counts what is sent, whether or not
// the model's box falls, which it does by work and sooner. Of boxes that were never cold, it is 0.
func MaxColdRequestRatio(p *plan.Plan, log *trace.Log) (worst float64, where string) {
	j := &evaluation{plan: p, log: log, index: newIndex(log)}
	for i := range p.Boxes {
		for _, start := range startTimes(p, i) {
			if over, at := j.maxRatioAfterStart(i, start); over > worst {
				worst, where = over, fmt.Sprintf("box %s, %s", j.endpointName(i), at)
			}
		}
	}
	return worst, where
}

// crest is that of one start of a box.
func (j *evaluation) maxRatioAfterStart(box int, start time.Duration) (worst float64, where string) {
	spec, window := &j.plan.Boxes[box].Spec, j.plan.Scenario.Rules.FallWindow.D()
	knows := j.startKnownAt(box, start)
	var in []trace.EndpointRequest // of the window that ends with the last of them
	for _, v := range j.log.EndpointRequests {
		if v.Endpoint != box || v.FirstByte < start || v.FirstByte > start+spec.ColdFor {
			continue
		}
		for in = append(in, v); in[0].FirstByte <= v.FirstByte-window; in = in[1:] {
		}
		told := 0
		for i := range in {
			n := j.index.attempt(in[i].TransactionID)
			if n < 0 {
				continue
			}
			if at, known := knows[j.log.ClientAttempts[n].Sidecar]; known && at <= in[i].FirstByte {
				told++
			}
		}
		if float64(told) <= minInformedShare*float64(len(in)) {
			continue
		}
		age := max(0, v.FirstByte-window/2-start) // it warms evenly: what it can do in the middle of the window is the mean
		able := float64(spec.Cores) * spec.Speed * (spec.ColdFrom + (1-spec.ColdFrom)*float64(age)/float64(spec.ColdFor))
		allowed := j.plan.Scenario.Rules.FallMultiple * able * float64(window) / meanWork(j.plan)
		if over := float64(len(in)) / (allowed + 2*math.Sqrt(allowed) + 2); over > worst {
			worst = over
			where = fmt.Sprintf("%v after its start: %d in %v, %d of them told, N is %.1f", v.FirstByte-start, len(in), window, told, allowed)
		}
	}
	return worst, where
}

// meanWork is a request's, in nanoseconds of a standard core.
func meanWork(p *plan.Plan) float64 {
	work, shares := 0.0, 0.0
	for _, c := range p.Scenario.Class {
		work, shares = work+c.Share*float64(c.Work.D()), shares+c.Share
	}
	return work / shares
}

// starts are when the script starts a box's process anew.
func startTimes(p *plan.Plan, box int) (out []time.Duration) {
	for i := range p.Events {
		e := &p.Events[i]
		dead := e.Fault.Kind == model.Dead || e.Fault.Kind == model.Vanish
		if e.Box == box && (e.Kind == plan.StartBox || e.Kind == plan.EndFault && dead) {
			out = append(out, e.At)
		}
	}
	return out
}
