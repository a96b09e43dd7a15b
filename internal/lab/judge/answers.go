package judge

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// answers judges what a client got for a try.
func (j *evaluation) checkResponses(try int, visits []int32) {
	t := &j.log.ClientAttempts[try]
	if t.Responses > 1 {
		j.report(violationOf(DuplicateResponse, t.Ended, t, t.Endpoint), "%d final answers came", t.Responses)
	}
	switch {
	case t.Forged:
		j.report(violationOf(ForgedResponse, t.Ended, t, t.Endpoint), "a 200 came whose body no box made for this request")
	case t.Status == trace.StatusServed && !j.hasRun(visits):
		j.report(violationOf(ForgedResponse, t.Ended, t, t.Endpoint), "a 200 came, but no box has run this request")
	}
	j.checkLost(t)
}

// ran says whether a box has run one of these visits.
func (j *evaluation) hasRun(visits []int32) bool {
	for _, i := range visits {
		if v := &j.log.EndpointRequests[i]; v.Started != trace.Unset || v.Outcome == trace.OutcomeOK {
			return true
		}
	}
	return false
}

// paused says whether the script kept a sidecar from running in a part of that time. What came meanwhile it can't know
// to have waited, so it may take it to have more time than it has.
func (j *evaluation) wasPaused(sidecar int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.pauses, func(e plan.Event) bool {
		return e.Sidecar == sidecar && from <= e.At+e.For && to >= e.At
	})
}

// lost judges whether a try that was taken had its answer in time.
func (j *evaluation) checkLost(t *trace.ClientAttempt) {
	if t.Sent == trace.Unset || t.Sidecar < 0 || t.Sidecar >= len(j.incarnations) {
		return
	}
	until := t.Sent + t.Timeout + j.slack
	if j.wasPaused(t.Sidecar, t.Sent, until) {
		return
	}
	switch t.Status {
	case trace.StatusTimedOut, trace.StatusDisconnected:
		broke := model.Never
		if t.Status == trace.StatusDisconnected {
			broke = t.Ended
		}
		if !isExcused(j.incarnations[t.Sidecar], t.Sent, until, broke, j.slack) {
			j.report(violationOf(LostRequest, max(t.Sent, t.Ended), t, -1), "sidecar %s took it and never answered: %s", j.sidecarName(t.Sidecar), t.Status)
		}
	case trace.StatusServed, trace.StatusRejected, trace.StatusFailed:
		if t.Ended > until {
			j.report(violationOf(LostRequest, t.Ended, t, t.Endpoint), "overdue: the final answer came late by %s", (t.Ended - t.Sent - t.Timeout).Round(time.Microsecond))
		}
	}
}
