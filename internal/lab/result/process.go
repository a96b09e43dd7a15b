package result

import (
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// processRun is one process of a sidecar. Times are trace.Unset where that never came.
type processRun struct {
	sidecar        int
	startedAt      time.Duration
	endedAt        time.Duration
	readyAt        time.Duration // when it accepted clients
	listedAt       time.Duration // when it had an endpoint list from the discovery service
	firstRequestAt time.Duration // when its first request was due
	firstServedAt  time.Duration // when the first of its requests to be served was
}

func (p *processRun) contains(at time.Duration) bool {
	return p.startedAt <= at && (p.endedAt == trace.Unset || at <= p.endedAt)
}

// processRuns returns the processes of all sidecars. The second process of an upgrade counts as the first one's.
func (r *analysis) processRuns() []processRun {
	runs := startedProcesses(r.log.SidecarEvents)
	runAt := func(sidecar int, at time.Duration) *processRun {
		for i := range runs {
			if run := &runs[i]; run.sidecar == sidecar && run.contains(at) {
				return run
			}
		}
		return nil
	}
	for _, poll := range r.log.Polls {
		run := runAt(poll.Sidecar, poll.At)
		if run != nil && poll.Outcome == trace.PollAnswered && run.listedAt == trace.Unset {
			run.listedAt = poll.At + poll.Duration
		}
	}
	for _, attempt := range r.log.ClientAttempts {
		run := runAt(attempt.Sidecar, attempt.Due)
		if run == nil {
			continue
		}
		if run.firstRequestAt == trace.Unset {
			run.firstRequestAt = attempt.Due
		}
		if attempt.Status == trace.StatusServed && (run.firstServedAt == trace.Unset || attempt.Ended < run.firstServedAt) {
			run.firstServedAt = attempt.Ended
		}
	}
	return runs
}

// startedProcesses returns the processes with their start, readiness and end, in the order of the starts.
func startedProcesses(events []trace.SidecarEvent) []processRun {
	var runs []processRun
	latest := map[int]int{} // by sidecar, the index of its latest process
	for _, event := range events {
		i, started := latest[event.Sidecar]
		switch event.Kind {
		case trace.SidecarStarted:
			latest[event.Sidecar] = len(runs)
			runs = append(runs, processRun{
				sidecar:        event.Sidecar,
				startedAt:      event.At,
				endedAt:        trace.Unset,
				readyAt:        trace.Unset,
				listedAt:       trace.Unset,
				firstRequestAt: trace.Unset,
				firstServedAt:  trace.Unset,
			})
		case trace.SidecarReady:
			if started && runs[i].readyAt == trace.Unset {
				runs[i].readyAt = event.At
			}
		case trace.SidecarKilled, trace.SidecarStopping, trace.SidecarCrashed, trace.SidecarExited:
			if started && runs[i].endedAt == trace.Unset {
				runs[i].endedAt = event.At
			}
		}
	}
	return runs
}
