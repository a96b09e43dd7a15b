package judge

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// unknown judges visits of an id that no client and no box has sent.
func (j *judge) unknown(visits []int32) {
	for _, i := range visits {
		v := &j.log.EndpointRequests[i]
		j.breach(Breach{Kind: Unknown, At: v.FirstByte, Request: -1, Txn: v.TransactionID, Box: v.Endpoint, Sidecar: -1},
			"box %s got a request with id %016x, which nobody sent", j.box(v.Endpoint), v.TransactionID)
	}
}

// attempts judges when and where a sidecar sent a try. An attempt counts from its last byte on.
func (j *judge) attempts(try int, visits []int32) {
	t := &j.log.ClientAttempts[try]
	count := 0
	for n, i := range visits {
		v := &j.log.EndpointRequests[i]
		j.place(t, v)
		if t.Ended != trace.Unset && v.FirstByte > t.Ended+j.slack {
			j.breach(of(AfterEnd, v.FirstByte, t, v.Endpoint), "it was sent to box %s %s after the try was over (%s)",
				j.box(v.Endpoint), (v.FirstByte - t.Ended).Round(time.Microsecond), t.Status)
		}
		if v.LastByte == trace.Unset {
			continue
		}
		if count++; count > j.p.Scenario.Rules.MaxAttempts {
			j.breach(of(TooManyAttempts, v.FirstByte, t, v.Endpoint), "attempt %d came to box %s; %d are allowed", count, j.box(v.Endpoint), j.p.Scenario.Rules.MaxAttempts)
		}
		if !j.p.Scenario.Rules.SecondCopies {
			j.copies(t, v, visits[:n])
		}
	}
}

// place judges the box that an attempt went to by what its sidecar had been told.
func (j *judge) place(t *trace.ClientAttempt, v *trace.EndpointRequest) {
	if t.Sidecar < 0 || t.Sidecar >= len(j.p.Sidecars) || v.Endpoint < 0 || v.Endpoint >= len(j.p.Boxes) {
		return
	}
	if v.FirstByte+j.slack < j.heard.named(t.Sidecar, v.Endpoint) {
		j.breach(of(Unknown, v.FirstByte, t, v.Endpoint), "it was sent to box %s, which no list had named to sidecar %s", j.box(v.Endpoint), j.sidecar(t.Sidecar))
	}
	grace := j.p.Scenario.Rules.DrainGrace.D() + drainSlack + 3*j.p.Scenario.Network.Delay.D() // a connection comes first
	if since, off := j.heard.offSince(t.Sidecar, v.Endpoint, v.FirstByte); off && v.FirstByte > since+grace {
		j.breach(of(AfterDrain, v.FirstByte, t, v.Endpoint), "it was sent to box %s %s after sidecar %s was told that this drains or is gone",
			j.box(v.Endpoint), (v.FirstByte - since).Round(time.Microsecond), j.sidecar(t.Sidecar))
	}
}

// copies judges whether an earlier attempt was still out, for longer than its end may take to be seen.
func (j *judge) copies(t *trace.ClientAttempt, v *trace.EndpointRequest, earlier []int32) {
	for _, i := range earlier {
		o := &j.log.EndpointRequests[i]
		ended := o.Ended
		if ended == trace.Unset {
			ended = model.Never
		}
		if o.LastByte != trace.Unset && ended-v.LastByte > j.slack {
			j.breach(of(SecondCopy, v.LastByte, t, v.Endpoint), "it came to box %s while it was out at box %s", j.box(v.Endpoint), j.box(o.Endpoint))
			return
		}
	}
}
