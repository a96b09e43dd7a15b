package judge

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// unsafeRun is a run of an unsafe request of the first tier, where all tries of a client are of one effect.
type unsafeRun struct {
	request         int
	attempt         int
	endpointRequest int32
	reported        bool // within its own try already
}

// mayHaveRun is what a sidecar has to assume of an attempt.
func mayHaveRun(v *trace.EndpointRequest) bool {
	return v.LastByte != trace.Unset && v.Outcome != trace.OutcomeRejected
}

// effects judges whether what must take effect once was sent again, or refused, when it may have run.
func (j *evaluation) checkEffects(try int, visits []int32) {
	t := &j.log.ClientAttempts[try]
	effect := j.effect(t.Class)
	if effect == "safe" {
		return
	}
	window := j.plan.Scenario.Class[t.Class].Window.D() + j.slack // keyed: sends within it have no second effect
	var first *trace.EndpointRequest
	for _, i := range visits {
		v := &j.log.EndpointRequests[i]
		blamed := false
		if first != nil && v.LastByte != trace.Unset && (effect == "unsafe" || v.FirstByte > first.FirstByte+window) {
			blamed = true
			j.report(violationOf(DuplicateExecution, v.FirstByte, t, v.Endpoint), "it was sent to box %s %s after it may have run at box %s%s", j.endpointName(v.Endpoint),
				(v.FirstByte - first.FirstByte).Round(time.Microsecond), j.endpointName(first.Endpoint), rerunNote(v))
		}
		if first == nil && mayHaveRun(v) {
			first = v
		}
		if effect == "unsafe" && t.Tier == 0 && v.Started != trace.Unset {
			j.runs = append(j.runs, unsafeRun{t.Request, try, i, blamed})
		}
	}
	if t.Status == trace.StatusRejected && first != nil && first.FirstByte <= t.Ended &&
		(effect == "unsafe" || t.Ended > first.FirstByte+window) {
		j.report(violationOf(UnsafeRejected, t.Ended, t, first.Endpoint), "it was refused with %d, though it may have run at box %s", t.Code, j.endpointName(first.Endpoint))
	}
}

func rerunNote(v *trace.EndpointRequest) string {
	if v.Started != trace.Unset && !v.Deduplicated {
		return ", and it ran again"
	}
	return ""
}

// rerun judges the runs of unsafe requests over all of a client's tries: it sends another one only after it
// was told that this is harmless.
func (j *evaluation) checkReruns() {
	visits := j.log.EndpointRequests
	slices.SortFunc(j.runs, func(a, b unsafeRun) int {
		return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(visits[a.endpointRequest].Started, visits[b.endpointRequest].Started), cmp.Compare(a.endpointRequest, b.endpointRequest))
	})
	for i := 1; i < len(j.runs); i++ {
		before, r := j.runs[i-1], j.runs[i]
		if before.request != r.request || r.reported || before.attempt == r.attempt {
			continue
		}
		v := &visits[r.endpointRequest]
		j.report(violationOf(DuplicateExecution, v.Started, &j.log.ClientAttempts[r.attempt], v.Endpoint), "try %d ran at box %s after try %d had run at box %s",
			j.log.ClientAttempts[r.attempt].Number+1, j.endpointName(v.Endpoint), j.log.ClientAttempts[before.attempt].Number+1, j.endpointName(visits[before.endpointRequest].Endpoint))
	}
}
