package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// FaultDetection is how the sidecars take their boxes to be, against how they are. A pair is a sidecar and a box that it uses.
// Only the virtual player sees it; on sockets all is 0.
type FaultDetection struct {
	Pairs               int     `json:"pairs"`     // with a box that fails a part of its requests, or all
	DetectedShare       float64 `json:"noticed"`   // share of these that suspected it (grey or ejected) while that lasted
	MedianDetectionTime float64 `json:"after_s"`   // until then, median of those that did
	MedianRecoveryTime  float64 `json:"healed_s"`  // from the fault's end until they no longer did, median
	FalsePositiveRate   float64 `json:"alarms"`    // suspicions of boxes with nothing wrong, for each hour of a pair
	FalseEjectionRate   float64 `json:"ejections"` // of these, ejections
	HealthyHours        float64 `json:"watched_h"` // hours of such pairs
}

type endpointPair struct{ sidecar, endpoint int }

// stretch is from when to when a box fails a part of what it gets.
type interval struct{ from, to time.Duration }

func detectionOf(p *plan.Plan, log *trace.Log) FaultDetection {
	faults := faultIntervals(p, log.End)
	by := map[endpointPair][]trace.HealthChange{}
	for _, j := range log.HealthChanges {
		k := endpointPair{j.Sidecar, j.Endpoint}
		by[k] = append(by[k], j)
	}
	var out FaultDetection
	var after, healed []float64
	alarms, ejections := 0, 0
	for k, states := range by {
		if len(faults[k.endpoint]) == 0 {
			out.HealthyHours += (log.End - states[0].At).Hours()
		}
		for _, f := range faults[k.endpoint] {
			if states[0].At > f.from {
				continue
			}
			out.Pairs++
			if at, ok := firstSuspicion(states, f.from, true); ok && at < f.to {
				after = append(after, (at - f.from).Seconds())
			}
			if at, ok := firstSuspicion(states, f.to, false); ok && f.to < log.End {
				healed = append(healed, (at - f.to).Seconds())
			}
		}
		suspected, ejected := false, false
		for _, s := range states {
			if len(faults[k.endpoint]) == 0 {
				if (s.Grey || s.Ejected) && !suspected {
					alarms++
				}
				if s.Ejected && !ejected {
					ejections++
				}
			}
			suspected, ejected = s.Grey || s.Ejected, s.Ejected
		}
	}
	out.DetectedShare = round(ratio(float64(len(after)), float64(out.Pairs)))
	out.MedianDetectionTime, out.MedianRecoveryTime = round(median(after)), round(median(healed))
	out.FalsePositiveRate, out.FalseEjectionRate = round(ratio(float64(alarms), out.HealthyHours)), round(ratio(float64(ejections), out.HealthyHours))
	out.HealthyHours = round(out.HealthyHours)
	return out
}

// first is when a sidecar suspects a box, or no longer does, from a time on.
func firstSuspicion(states []trace.HealthChange, from time.Duration, suspects bool) (time.Duration, bool) {
	for i, s := range states {
		last := i+1 == len(states) || states[i+1].At > from
		if (s.Grey || s.Ejected) == suspects && last {
			return max(from, s.At), true
		}
	}
	return 0, false
}

// faulty is when each box failed requests that it had taken, or was not there.
func faultIntervals(p *plan.Plan, end time.Duration) map[int][]interval {
	out := map[int][]interval{}
	open := map[int]interval{} // by the fault's id
	for _, e := range p.Events {
		switch {
		case e.Kind == plan.BeginFault && e.Fault.Kind != model.Slow:
			open[e.Fault.ID] = interval{e.At, end}
			if !slices.ContainsFunc(p.Events, func(o plan.Event) bool { return o.Kind == plan.EndFault && o.Fault.ID == e.Fault.ID }) {
				out[e.Box] = append(out[e.Box], interval{e.At, end})
			}
		case e.Kind == plan.EndFault && e.Fault.Kind != model.Slow:
			out[e.Box] = append(out[e.Box], interval{open[e.Fault.ID].from, e.At})
		}
	}
	return out
}

// median of no values is 0.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
