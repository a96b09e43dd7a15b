package result

import (
	"strings"
	"time"
)

// measure returns one of scenario.Measures, for a class or for allClasses, in a window: of the times at which requests
// were due or, where it is about endpoints, of their samples. known is false where there was nothing to measure.
func (r *analysis) measure(measure string, class int, from, to time.Duration) (value float64, known bool) {
	switch measure {
	case "fallen":
		return float64(r.countCollapsed(from, to)), true
	case "worst":
		window := r.plan.Scenario.Rules.CollapseWindow.D()
		for i := range r.endpoints {
			value = max(value, r.endpoints[i].maxColdLoad(window, from, to))
		}
		return value, true
	case "list_calls", "list_refused", "list_dials", "list_peak", "handshakes", "attempts_peak", "again_peak",
		"unready", "unlisted", "unserving":
		return r.measureFleetLoad(measure, from, to)
	}
	if strings.HasPrefix(measure, "audit_") {
		return r.measureAudit(measure)
	}
	return r.tally(class, from, to).measure(measure)
}

func (r *analysis) countCollapsed(from, to time.Duration) (n int) {
	for i := range r.endpoints {
		if r.endpoints[i].collapsed(from, to) {
			n++
		}
	}
	return n
}

// quantilePercents are the percentages of the measures that are quantiles of latency.
var quantilePercents = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9}

// measure returns one of the measures of requests: latencies in seconds, the others as in Figures.
func (t *tally) measure(measure string) (value float64, known bool) {
	if percent, isQuantile := quantilePercents[measure]; isQuantile {
		return round(t.quantile(percent) / 1000), t.latency.TotalCount() > 0
	}
	if measure == "wasted" {
		return t.wastedShare(), t.work > 0
	}
	known = t.requested > 0
	switch measure {
	case "service":
		return t.goodput(), known
	case "served":
		return t.proportion(served).Share, known
	case "late":
		return t.proportion(late).Share, known
	case "refused":
		return t.proportion(rejected).Share, known
	case "failed":
		return t.proportion(failed).Share, known
	case "gone":
		return t.proportion(canceled).Share, known
	case "attempts":
		return t.perRequest(t.endpointRequests[0]), known
	case "bottom":
		return t.perRequest(t.endpointRequests[len(t.endpointRequests)-1]), known
	case "copies":
		return t.perRequest(t.hedges), known
	case "refusals":
		return t.perRequest(t.rejections), known
	}
	return 0, known
}
