package auditcheck

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// CountAfterDrain counts, by sidecar, the requests at endpoints of the first tier that came later than late after discovery first
// notified anybody that the endpoint drains or is gone, and before it announced that the endpoint is back.
func CountAfterDrain(p *plan.Plan, log *trace.Log, late time.Duration) map[int]int {
	drains := map[int]*span{}        // by endpoint
	for _, event := range p.Events { // by time
		if event.Kind != plan.NotifySidecar || p.Endpoints[event.Entry.Endpoint].Tier != 0 {
			continue
		}
		ready := event.Entry.Phase == trace.PhaseReady
		drain := drains[event.Entry.Endpoint]
		switch {
		case !ready && drain == nil:
			drains[event.Entry.Endpoint] = &span{event.At, model.Never}
		case ready && drain != nil:
			drain.to = min(drain.to, event.At)
		}
	}
	attempts := map[uint64]*trace.ClientAttempt{}
	for i := range log.ClientAttempts {
		attempts[log.ClientAttempts[i].TransactionID] = &log.ClientAttempts[i]
	}
	counts := map[int]int{}
	for i := range log.EndpointRequests {
		request := &log.EndpointRequests[i]
		drain, attempt := drains[request.Endpoint], attempts[request.TransactionID]
		if drain == nil || attempt == nil || attempt.Tier != 0 {
			continue
		}
		if request.FirstByte > drain.from+late && request.FirstByte < drain.to {
			counts[attempt.Sidecar]++
		}
	}
	return counts
}
