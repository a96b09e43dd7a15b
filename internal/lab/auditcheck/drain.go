package auditcheck

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// CountAfterDrain counts, by sidecar, the attempts at boxes of the first tier that came later than late after discovery first told anybody that
// the box leaves or is gone, and before it told that it is back.
func CountAfterDrain(p *plan.Plan, log *trace.Log, late time.Duration) map[int]int {
	type off struct{ from, to time.Duration }
	boxes := map[int]*off{}
	for _, e := range p.Events { // by time
		if e.Kind != plan.Tell || p.Boxes[e.Entry.Box].Tier != 0 {
			continue
		}
		o := boxes[e.Entry.Box]
		switch {
		case e.Entry.Phase != trace.PhaseReady && o == nil:
			boxes[e.Entry.Box] = &off{e.At, model.Never}
		case e.Entry.Phase == trace.PhaseReady && o != nil:
			o.to = min(o.to, e.At)
		}
	}
	tries := map[uint64]*trace.ClientAttempt{}
	for i := range log.ClientAttempts {
		tries[log.ClientAttempts[i].TransactionID] = &log.ClientAttempts[i]
	}
	out := map[int]int{}
	for i := range log.EndpointRequests {
		v := &log.EndpointRequests[i]
		if o, t := boxes[v.Endpoint], tries[v.TransactionID]; o != nil && t != nil && t.Tier == 0 && v.FirstByte > o.from+late && v.FirstByte < o.to {
			out[t.Sidecar]++
		}
	}
	return out
}
