package judge

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// checkResponses checks what a client got for an attempt.
func (e *evaluation) checkResponses(attemptIndex int, requests []int32) {
	attempt := &e.log.ClientAttempts[attemptIndex]
	if attempt.Responses > 1 {
		e.report(violationOf(DuplicateResponse, attempt.Ended, attempt, attempt.Endpoint), "%d final answers came", attempt.Responses)
	}
	switch {
	case attempt.Forged:
		e.report(violationOf(ForgedResponse, attempt.Ended, attempt, attempt.Endpoint),
			"a 200 came whose body no box made for this request")
	case attempt.Status == trace.StatusServed && !e.hasRun(requests):
		e.report(violationOf(ForgedResponse, attempt.Ended, attempt, attempt.Endpoint), "a 200 came, but no box has run this request")
	}
	e.checkLost(attempt)
}

// hasRun reports whether an endpoint has run one of these requests.
func (e *evaluation) hasRun(requests []int32) bool {
	for _, i := range requests {
		if request := &e.log.EndpointRequests[i]; request.Started != trace.Unset || request.Outcome == trace.OutcomeOK {
			return true
		}
	}
	return false
}

// wasPaused reports whether the script kept a sidecar from running in a part of that time. It can't know that what came meanwhile has
// waited, so it may take a request to have more time than it has.
func (e *evaluation) wasPaused(sidecar int, from, to time.Duration) bool {
	return slices.ContainsFunc(e.pauses, func(event plan.Event) bool {
		return event.Sidecar == sidecar && from <= event.At+event.Duration && to >= event.At
	})
}

// checkLost checks that an attempt that was accepted had its response in time.
func (e *evaluation) checkLost(attempt *trace.ClientAttempt) {
	if attempt.Sent == trace.Unset || attempt.Sidecar < 0 || attempt.Sidecar >= len(e.incarnations) {
		return
	}
	until := attempt.Sent + attempt.Timeout + e.slack
	if e.wasPaused(attempt.Sidecar, attempt.Sent, until) {
		return
	}
	switch attempt.Status {
	case trace.StatusTimedOut, trace.StatusDisconnected:
		disconnectedAt := model.Never
		if attempt.Status == trace.StatusDisconnected {
			disconnectedAt = attempt.Ended
		}
		if !isExcused(e.incarnations[attempt.Sidecar], attempt.Sent, until, disconnectedAt, e.slack) {
			e.report(violationOf(LostRequest, max(attempt.Sent, attempt.Ended), attempt, -1),
				"sidecar %s took it and never answered: %s", e.sidecarName(attempt.Sidecar), attempt.Status)
		}
	case trace.StatusServed, trace.StatusRejected, trace.StatusFailed:
		if attempt.Ended > until {
			e.report(violationOf(LostRequest, attempt.Ended, attempt, attempt.Endpoint),
				"overdue: the final answer came late by %s",
				(attempt.Ended - attempt.Sent - attempt.Timeout).Round(time.Microsecond))
		}
	}
}
