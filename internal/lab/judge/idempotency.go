package judge

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// unsafeRun is a run of an unsafe request in the first tier. All attempts of a client's request are of one effect.
type unsafeRun struct {
	request         int   // index into the plan's requests
	attempt         int   // index into Log.ClientAttempts
	endpointRequest int32 // index into Log.EndpointRequests
	reported        bool  // as a duplicate within its own attempt
}

// mayHaveRun reports whether a sidecar has to assume that an upstream request has run.
func mayHaveRun(request *trace.EndpointRequest) bool {
	return request.LastByte != trace.Unset && request.Outcome != trace.OutcomeRejected
}

// checkEffects checks that what must take effect once was neither sent again nor rejected when it may have run.
func (e *evaluation) checkEffects(attemptIndex int, requests []int32) {
	attempt := &e.log.ClientAttempts[attemptIndex]
	effect := e.effect(attempt.Class)
	if effect == "safe" {
		return
	}
	window := e.plan.Scenario.Classes[attempt.Class].DedupWindow.D() + e.slack // of keyed classes: within it a second request has no effect
	var first *trace.EndpointRequest
	for _, i := range requests {
		request := &e.log.EndpointRequests[i]
		reported := false
		if first != nil && request.LastByte != trace.Unset && (effect == "unsafe" || request.FirstByte > first.FirstByte+window) {
			reported = true
			e.report(violationOf(DuplicateExecution, request.FirstByte, attempt, request.Endpoint),
				"it was sent to box %s %s after it may have run at box %s%s", e.endpointName(request.Endpoint),
				(request.FirstByte - first.FirstByte).Round(time.Microsecond), e.endpointName(first.Endpoint), rerunNote(request))
		}
		if first == nil && mayHaveRun(request) {
			first = request
		}
		if effect == "unsafe" && attempt.Tier == 0 && request.Started != trace.Unset {
			e.runs = append(e.runs, unsafeRun{attempt.Request, attemptIndex, i, reported})
		}
	}
	if attempt.Status == trace.StatusRejected && first != nil && first.FirstByte <= attempt.Ended &&
		(effect == "unsafe" || attempt.Ended > first.FirstByte+window) {
		e.report(violationOf(UnsafeRejected, attempt.Ended, attempt, first.Endpoint),
			"it was refused with %d, though it may have run at box %s", attempt.Code, e.endpointName(first.Endpoint))
	}
}

// rerunNote says whether a second request ran.
func rerunNote(request *trace.EndpointRequest) string {
	if request.Started != trace.Unset && !request.Deduplicated {
		return ", and it ran again"
	}
	return ""
}

// checkReruns checks the runs of unsafe requests over all attempts of a client, which retries only after a response that says that
// this is safe.
func (e *evaluation) checkReruns() {
	requests := e.log.EndpointRequests
	slices.SortFunc(e.runs, func(a, b unsafeRun) int {
		return cmp.Or(cmp.Compare(a.request, b.request),
			cmp.Compare(requests[a.endpointRequest].Started, requests[b.endpointRequest].Started),
			cmp.Compare(a.endpointRequest, b.endpointRequest))
	})
	for i := 1; i < len(e.runs); i++ {
		before, run := e.runs[i-1], e.runs[i]
		if before.request != run.request || run.reported || before.attempt == run.attempt {
			continue
		}
		request := &requests[run.endpointRequest]
		e.report(violationOf(DuplicateExecution, request.Started, &e.log.ClientAttempts[run.attempt], request.Endpoint),
			"try %d ran at box %s after try %d had run at box %s",
			e.log.ClientAttempts[run.attempt].Number+1, e.endpointName(request.Endpoint), e.log.ClientAttempts[before.attempt].Number+1, e.endpointName(requests[before.endpointRequest].Endpoint))
	}
}
