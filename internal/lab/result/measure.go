package result

import (
	"strings"
	"time"
)

// measure is one of scenario.Measures in a window: of due times, and for boxes of the samples' times. It is
// unknown where there was nothing to measure.
func (r *analysis) measure(what string, class int, from, to time.Duration) (v float64, known bool) {
	switch what {
	case "fallen":
		n := 0
		for i := range r.endpoints {
			if r.endpoints[i].collapsed(from, to) {
				n++
			}
		}
		return float64(n), true
	case "worst":
		for i := range r.endpoints {
			v = max(v, r.endpoints[i].maxColdLoad(r.plan.Scenario.Rules.FallWindow.D(), from, to))
		}
		return v, true
	case "list_calls", "list_refused", "list_dials", "list_peak", "handshakes", "attempts_peak", "again_peak", "unready", "unlisted", "unserving":
		return r.measureFleetLoad(what, from, to)
	}
	if strings.HasPrefix(what, "audit_") {
		return r.measureAudit(what)
	}
	t := r.tally(class, from, to)
	if percent, isQuantile := quantilePercents[what]; isQuantile {
		return round(t.quantile(percent) / 1000), t.latency.TotalCount() > 0
	}
	if what == "wasted" {
		return ratio(t.wasted.Seconds(), t.work.Seconds()), t.work > 0
	}
	f := t.figures()
	return map[string]float64{"service": f.Goodput, "served": f.Served.Share, "late": f.Late.Share, "refused": f.Rejected.Share,
		"failed": f.Failed.Share, "gone": f.Canceled.Share, "attempts": f.EndpointRequests[0], "bottom": f.EndpointRequests[len(f.EndpointRequests)-1], "copies": f.Hedges,
		"refusals": f.Rejections}[what], t.requested > 0
}

var quantilePercents = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9}
