package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// FaultDetection compares the health that sidecars attribute to endpoints with the faults that were injected. A pair is a
// sidecar and an endpoint that it uses. Only the virtual player records health changes; on sockets all figures are 0.
type FaultDetection struct {
	Pairs               int     `json:"pairs"`     // faults of an endpoint that fail some or all requests, once for each sidecar that uses it
	DetectedShare       float64 `json:"noticed"`   // share of Pairs in which the endpoint was suspected (grey or ejected) during the fault
	MedianDetectionTime float64 `json:"after_s"`   // from the fault's start until suspected, over the detected ones
	MedianRecoveryTime  float64 `json:"healed_s"`  // from the fault's end until no longer suspected
	FalsePositiveRate   float64 `json:"alarms"`    // suspicions of endpoints without faults, for each hour of a pair
	FalseEjectionRate   float64 `json:"ejections"` // ejections of endpoints without faults, for each hour of a pair
	HealthyHours        float64 `json:"watched_h"` // hours of pairs whose endpoint had no fault
}

// endpointPair is a sidecar and an endpoint that it uses, by index.
type endpointPair struct{ sidecar, endpoint int }

// interval is half-open.
type interval struct{ from, to time.Duration }

// detectionOf computes a run's FaultDetection.
func detectionOf(p *plan.Plan, log *trace.Log) FaultDetection {
	faults := faultIntervals(p, log.End)
	histories := map[endpointPair][]trace.HealthChange{}
	for _, change := range log.HealthChanges {
		pair := endpointPair{change.Sidecar, change.Endpoint}
		histories[pair] = append(histories[pair], change)
	}
	var out FaultDetection
	var detectionTimes, recoveryTimes []float64
	suspicions, ejections := 0, 0
	for pair, history := range histories {
		if len(faults[pair.endpoint]) == 0 {
			out.HealthyHours += (log.End - history[0].At).Hours()
			s, e := countOnsets(history)
			suspicions += s
			ejections += e
			continue
		}
		for _, fault := range faults[pair.endpoint] {
			if history[0].At > fault.from {
				continue
			}
			out.Pairs++
			if at, ok := firstSuspicion(history, fault.from, true); ok && at < fault.to {
				detectionTimes = append(detectionTimes, (at - fault.from).Seconds())
			}
			if at, ok := firstSuspicion(history, fault.to, false); ok && fault.to < log.End {
				recoveryTimes = append(recoveryTimes, (at - fault.to).Seconds())
			}
		}
	}
	out.DetectedShare = round(ratio(float64(len(detectionTimes)), float64(out.Pairs)))
	out.MedianDetectionTime = round(median(detectionTimes))
	out.MedianRecoveryTime = round(median(recoveryTimes))
	out.FalsePositiveRate = round(ratio(float64(suspicions), out.HealthyHours))
	out.FalseEjectionRate = round(ratio(float64(ejections), out.HealthyHours))
	out.HealthyHours = round(out.HealthyHours)
	return out
}

// countOnsets returns how often an endpoint became suspected, and how often it was ejected.
func countOnsets(history []trace.HealthChange) (suspicions, ejections int) {
	suspected, ejected := false, false
	for _, change := range history {
		if isSuspected(change) && !suspected {
			suspicions++
		}
		if change.Ejected && !ejected {
			ejections++
		}
		suspected, ejected = isSuspected(change), change.Ejected
	}
	return suspicions, ejections
}

func isSuspected(change trace.HealthChange) bool { return change.Grey || change.Ejected }

// firstSuspicion returns the first time at or after from at which the sidecar suspects the endpoint or, where suspected is
// false, doesn't.
func firstSuspicion(history []trace.HealthChange, from time.Duration, suspected bool) (time.Duration, bool) {
	for i, change := range history {
		lasts := i+1 == len(history) || history[i+1].At > from
		if isSuspected(change) == suspected && lasts {
			return max(from, change.At), true
		}
	}
	return 0, false
}

// faultIntervals returns, by endpoint, when it failed requests that it had accepted, or was gone. Slowness doesn't count. A
// fault that the plan doesn't end lasts until end.
func faultIntervals(p *plan.Plan, end time.Duration) map[int][]interval {
	out := map[int][]interval{}
	open := map[int]interval{} // by the fault's id
	for _, event := range p.Events {
		switch {
		case event.Kind == plan.StartFault && event.Fault.Kind != model.Slow:
			open[event.Fault.ID] = interval{event.At, end}
			if !slices.ContainsFunc(p.Events, func(other plan.Event) bool {
				return other.Kind == plan.EndFault && other.Fault.ID == event.Fault.ID
			}) {
				out[event.Endpoint] = append(out[event.Endpoint], interval{event.At, end})
			}
		case event.Kind == plan.EndFault && event.Fault.Kind != model.Slow:
			out[event.Endpoint] = append(out[event.Endpoint], interval{open[event.Fault.ID].from, event.At})
		}
	}
	return out
}

// median sorts the values and returns their median, 0 if there are none.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
