package judge

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// unknown judges visits of an id that no client and no box has sent.
func (j *judge) unknown(visits []int32) {
	for _, i := range visits {
		v := &j.log.Visits[i]
		j.breach(Breach{Kind: Unknown, At: v.Begun, Request: -1, Txn: v.Txn, Box: v.Box, Sidecar: -1},
			"box %s got a request with id %016x, which nobody sent", j.box(v.Box), v.Txn)
	}
}

// attempts judges when and where a sidecar sent a try. An attempt counts from its last byte on.
func (j *judge) attempts(try int, visits []int32) {
	t := &j.log.Tries[try]
	count := 0
	for n, i := range visits {
		v := &j.log.Visits[i]
		j.place(t, v)
		if t.Answered != trace.None && v.Begun > t.Answered+j.slack {
			j.breach(of(AfterEnd, v.Begun, t, v.Box), "it was sent to box %s %s after the try was over (%s)",
				j.box(v.Box), (v.Begun - t.Answered).Round(time.Microsecond), t.Status)
		}
		if v.Arrived == trace.None {
			continue
		}
		if count++; count > j.p.Scenario.Rules.MaxAttempts {
			j.breach(of(TooManyAttempts, v.Begun, t, v.Box), "attempt %d came to box %s; %d are allowed", count, j.box(v.Box), j.p.Scenario.Rules.MaxAttempts)
		}
		if !j.p.Scenario.Rules.SecondCopies {
			j.copies(t, v, visits[:n])
		}
	}
}

// place judges the box that an attempt went to by what its sidecar had been told.
func (j *judge) place(t *trace.Try, v *trace.Visit) {
	if t.Sidecar < 0 || t.Sidecar >= len(j.p.Sidecars) || v.Box < 0 || v.Box >= len(j.p.Boxes) {
		return
	}
	if v.Begun+j.slack < j.heard.named(t.Sidecar, v.Box) {
		j.breach(of(Unknown, v.Begun, t, v.Box), "it was sent to box %s, which no list had named to sidecar %s", j.box(v.Box), j.sidecar(t.Sidecar))
	}
	grace := j.p.Scenario.Rules.DrainGrace.D() + drainSlack + 3*j.p.Scenario.Network.Delay.D() // a connection comes first
	if since, off := j.heard.offSince(t.Sidecar, v.Box, v.Begun); off && v.Begun > since+grace {
		j.breach(of(AfterDrain, v.Begun, t, v.Box), "it was sent to box %s %s after sidecar %s was told that this drains or is gone",
			j.box(v.Box), (v.Begun - since).Round(time.Microsecond), j.sidecar(t.Sidecar))
	}
}

// copies judges whether an earlier attempt was still out, for longer than its end may take to be seen.
func (j *judge) copies(t *trace.Try, v *trace.Visit, earlier []int32) {
	for _, i := range earlier {
		o := &j.log.Visits[i]
		ended := o.Ended
		if ended == trace.None {
			ended = model.Never
		}
		if o.Arrived != trace.None && ended-v.Arrived > j.slack {
			j.breach(of(SecondCopy, v.Arrived, t, v.Box), "it came to box %s while it was out at box %s", j.box(v.Box), j.box(o.Box))
			return
		}
	}
}
