package result

import (
	"strings"
	"time"
)

// measure is one of scenario.Measures in a window: of due times, and for boxes of the samples' times. It is
// unknown where there was nothing to measure.
func (r *run) measure(what string, class int, from, to time.Duration) (v float64, known bool) {
	switch what {
	case "fallen":
		n := 0
		for i := range r.boxes {
			if r.boxes[i].fell(from, to) {
				n++
			}
		}
		return float64(n), true
	case "worst":
		for i := range r.boxes {
			v = max(v, r.boxes[i].worst(r.plan.Scenario.Rules.CollapseWindow.D(), from, to))
		}
		return v, true
	case "list_calls", "list_refused", "list_dials", "list_peak", "handshakes", "attempts_peak", "again_peak", "unready", "unlisted", "unserving":
		return r.measureTogether(what, from, to)
	}
	if strings.HasPrefix(what, "audit_") {
		return r.measureAudit(what)
	}
	t := r.tally(class, from, to)
	if percent, isQuantile := quantiles[what]; isQuantile {
		return tidy(t.quantile(percent) / 1000), t.latency.TotalCount() > 0
	}
	if what == "wasted" {
		return ratio(t.wasted.Seconds(), t.work.Seconds()), t.work > 0
	}
	f := t.figures()
	return map[string]float64{"service": f.Service, "served": f.Served.Share, "late": f.Late.Share, "refused": f.Refused.Share,
		"failed": f.Failed.Share, "gone": f.Gone.Share, "attempts": f.Attempts[0], "bottom": f.Attempts[len(f.Attempts)-1], "copies": f.Copies,
		"refusals": f.Refusals}[what], t.asked > 0
}

var quantiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9}
