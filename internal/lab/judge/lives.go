package judge

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// life is one process of a sidecar. Times that never came are model.Never.
type incarnation struct {
	started time.Duration
	stopped time.Duration // SIGTERM
	killed  time.Duration // SIGKILL, while it still ran
	ended   time.Duration // it ended, however that came
}

// lives are the processes of each sidecar, by time.
func incarnations(p *plan.Plan, log *trace.Log) [][]incarnation {
	out := make([][]incarnation, len(p.Sidecars))
	for _, c := range sortedChanges(log) {
		if c.Sidecar < 0 || c.Sidecar >= len(out) {
			continue
		}
		all := &out[c.Sidecar]
		if c.Kind == trace.SidecarStarted || len(*all) == 0 {
			*all = append(*all, incarnation{c.At, model.Never, model.Never, model.Never})
		}
		l := &(*all)[len(*all)-1]
		switch {
		case l.ended != model.Never:
		case c.Kind == trace.SidecarStopping:
			l.stopped = min(l.stopped, c.At)
		case c.Kind == trace.SidecarKilled:
			l.killed, l.ended = c.At, c.At
		case c.Kind == trace.SidecarExited, c.Kind == trace.SidecarCrashed:
			l.ended = c.At
		}
	}
	return out
}

func sortedChanges(log *trace.Log) []trace.SidecarEvent {
	sorted := slices.Clone(log.SidecarEvents)
	slices.SortStableFunc(sorted, func(a, b trace.SidecarEvent) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// excused says whether a sidecar may have lost a try that was written to it at sent, had to be answered by
// until, and whose connection was seen to break at broke (Never if it was not): the script killed it
// meanwhile, or there was no process. SIGTERM excuses nothing, and SIGKILL after it only what came before the
// sidecar had to stop taking any.
func isExcused(all []incarnation, sent, until, broke, slack time.Duration) bool {
	for i, l := range all {
		next := model.Never
		if i+1 < len(all) {
			next = all[i+1].started
		}
		if sent >= next {
			continue
		}
		if sent > l.ended {
			return true
		}
		planned := l.stopped != model.Never && sent > l.stopped+stopTimeout
		return l.killed <= until && broke >= l.killed-slack && !planned
	}
	return false
}

// crashes are the sidecars that ended unasked.
func (j *evaluation) checkCrashes() {
	for _, c := range j.log.SidecarEvents {
		if c.Kind == trace.SidecarCrashed {
			j.report(Violation{Kind: SidecarCrash, At: c.At, Request: -1, Endpoint: -1, Sidecar: c.Sidecar},
				"sidecar %s ended by itself: %s", j.sidecarName(c.Sidecar), c.Detail)
		}
	}
}
