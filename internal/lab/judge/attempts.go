package judge

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// unknown judges visits of an id that no client and no box has sent.
func (j *evaluation) reportUnknown(visits []int32) {
	for _, i := range visits {
		v := &j.log.EndpointRequests[i]
		j.report(Violation{Kind: UnknownRequest, At: v.FirstByte, Request: -1, TransactionID: v.TransactionID, Endpoint: v.Endpoint, Sidecar: -1},
			"box %s got a request with id %016x, which nobody sent", j.endpointName(v.Endpoint), v.TransactionID)
	}
}

// attempts judges when and where a sidecar sent a try. An attempt counts from its last byte on.
func (j *evaluation) checkAttempts(try int, visits []int32) {
	t := &j.log.ClientAttempts[try]
	count := 0
	for n, i := range visits {
		v := &j.log.EndpointRequests[i]
		j.checkEndpoint(t, v)
		if t.Ended != trace.Unset && v.FirstByte > t.Ended+j.slack {
			j.report(violationOf(AttemptAfterEnd, v.FirstByte, t, v.Endpoint), "it was sent to box %s %s after the try was over (%s)",
				j.endpointName(v.Endpoint), (v.FirstByte - t.Ended).Round(time.Microsecond), t.Status)
		}
		if v.LastByte == trace.Unset {
			continue
		}
		if count++; count > j.plan.Scenario.Rules.MaxAttempts {
			j.report(violationOf(TooManyAttempts, v.FirstByte, t, v.Endpoint), "attempt %d came to box %s; %d are allowed", count, j.endpointName(v.Endpoint), j.plan.Scenario.Rules.MaxAttempts)
		}
		if !j.plan.Scenario.Rules.SecondCopies {
			j.checkHedges(t, v, visits[:n])
		}
	}
}

// place judges the box that an attempt went to by what its sidecar had been told.
func (j *evaluation) checkEndpoint(t *trace.ClientAttempt, v *trace.EndpointRequest) {
	if t.Sidecar < 0 || t.Sidecar >= len(j.plan.Sidecars) || v.Endpoint < 0 || v.Endpoint >= len(j.plan.Boxes) {
		return
	}
	if v.FirstByte+j.slack < j.discovery.firstListedAt(t.Sidecar, v.Endpoint) {
		j.report(violationOf(UnknownRequest, v.FirstByte, t, v.Endpoint), "it was sent to box %s, which no list had named to sidecar %s", j.endpointName(v.Endpoint), j.sidecarName(t.Sidecar))
	}
	grace := j.plan.Scenario.Rules.DrainGrace.D() + drainSlack + 3*j.plan.Scenario.Network.Delay.D() // a connection comes first
	if since, off := j.discovery.unavailableSince(t.Sidecar, v.Endpoint, v.FirstByte); off && v.FirstByte > since+grace {
		j.report(violationOf(AttemptAfterDrain, v.FirstByte, t, v.Endpoint), "it was sent to box %s %s after sidecar %s was told that this drains or is gone",
			j.endpointName(v.Endpoint), (v.FirstByte - since).Round(time.Microsecond), j.sidecarName(t.Sidecar))
	}
}

// copies judges whether an earlier attempt was still out, for longer than its end may take to be seen.
func (j *evaluation) checkHedges(t *trace.ClientAttempt, v *trace.EndpointRequest, earlier []int32) {
	for _, i := range earlier {
		o := &j.log.EndpointRequests[i]
		ended := o.Ended
		if ended == trace.Unset {
			ended = model.Never
		}
		if o.LastByte != trace.Unset && ended-v.LastByte > j.slack {
			j.report(violationOf(ForbiddenHedge, v.LastByte, t, v.Endpoint), "it came to box %s while it was out at box %s", j.endpointName(v.Endpoint), j.endpointName(o.Endpoint))
			return
		}
	}
}
