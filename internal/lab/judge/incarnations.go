package judge

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// incarnation is one process of a sidecar. Times that never came are model.Never.
type incarnation struct {
	started time.Duration
	stopped time.Duration // by SIGTERM
	killed  time.Duration // by SIGKILL, while it still ran
	ended   time.Duration // for whatever reason
}

// incarnations are the processes of each sidecar, by time.
func incarnations(p *plan.Plan, log *trace.Log) [][]incarnation {
	bySidecar := make([][]incarnation, len(p.Sidecars))
	for _, event := range sortedEvents(log) {
		if event.Sidecar < 0 || event.Sidecar >= len(bySidecar) {
			continue
		}
		all := &bySidecar[event.Sidecar]
		if event.Kind == trace.SidecarStarted || len(*all) == 0 {
			*all = append(*all, incarnation{event.At, model.Never, model.Never, model.Never})
		}
		current := &(*all)[len(*all)-1]
		switch {
		case current.ended != model.Never:
		case event.Kind == trace.SidecarStopping:
			current.stopped = min(current.stopped, event.At)
		case event.Kind == trace.SidecarKilled:
			current.killed, current.ended = event.At, event.At
		case event.Kind == trace.SidecarExited, event.Kind == trace.SidecarCrashed:
			current.ended = event.At
		}
	}
	return bySidecar
}

// sortedEvents are the sidecars' events by time.
func sortedEvents(log *trace.Log) []trace.SidecarEvent {
	sorted := slices.Clone(log.SidecarEvents)
	slices.SortStableFunc(sorted, func(a, b trace.SidecarEvent) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// isExcused reports whether a sidecar may have lost an attempt that was written to it at sent, had to be answered by until, and whose
// connection broke at disconnectedAt (model.Never if it did not): the script killed the sidecar meanwhile, or there was no process.
// SIGTERM excuses nothing, and SIGKILL after it only what came before the sidecar had to stop accepting requests.
func isExcused(all []incarnation, sent, until, disconnectedAt, slack time.Duration) bool {
	for i, current := range all {
		next := model.Never
		if i+1 < len(all) {
			next = all[i+1].started
		}
		if sent >= next {
			continue
		}
		if sent > current.ended {
			return true
		}
		shutDown := current.stopped != model.Never && sent > current.stopped+stopTimeout
		return current.killed <= until && disconnectedAt >= current.killed-slack && !shutDown
	}
	return false
}

// checkCrashes reports the sidecars that exited though nobody had asked for it.
func (e *evaluation) checkCrashes() {
	for _, event := range e.log.SidecarEvents {
		if event.Kind == trace.SidecarCrashed {
			e.report(Violation{Kind: SidecarCrash, At: event.At, Request: -1, Endpoint: -1, Sidecar: event.Sidecar},
				"sidecar %s ended by itself: %s", e.sidecarName(event.Sidecar), event.Detail)
		}
	}
}
