package judge

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// reportUnknown reports requests with an id that no client and no endpoint has sent.
func (e *evaluation) reportUnknown(requests []int32) {
	for _, i := range requests {
		request := &e.log.EndpointRequests[i]
		e.report(Violation{Kind: UnknownRequest, At: request.FirstByte, Request: -1, TransactionID: request.TransactionID, Endpoint: request.Endpoint, Sidecar: -1},
			"box %s got a request with id %016x, which nobody sent", e.endpointName(request.Endpoint), request.TransactionID)
	}
}

// checkAttempts checks when and where a sidecar sent the upstream requests of a client attempt. One counts from its last byte on.
func (e *evaluation) checkAttempts(attemptIndex int, requests []int32) {
	attempt := &e.log.ClientAttempts[attemptIndex]
	count := 0
	for earlier, i := range requests {
		request := &e.log.EndpointRequests[i]
		e.checkEndpoint(attempt, request)
		if attempt.Ended != trace.Unset && request.FirstByte > attempt.Ended+e.slack {
			e.report(violationOf(AttemptAfterEnd, request.FirstByte, attempt, request.Endpoint),
				"it was sent to box %s %s after the try was over (%s)",
				e.endpointName(request.Endpoint), (request.FirstByte - attempt.Ended).Round(time.Microsecond), attempt.Status)
		}
		if request.LastByte == trace.Unset {
			continue
		}
		if count++; count > e.plan.Scenario.Rules.MaxAttempts {
			e.report(violationOf(TooManyAttempts, request.FirstByte, attempt, request.Endpoint),
				"attempt %d came to box %s; %d are allowed",
				count, e.endpointName(request.Endpoint), e.plan.Scenario.Rules.MaxAttempts)
		}
		if !e.plan.Scenario.Rules.Hedging {
			e.checkHedges(attempt, request, requests[:earlier])
		}
	}
}

// checkEndpoint checks the endpoint of an upstream request against what its sidecar had been notified of.
func (e *evaluation) checkEndpoint(attempt *trace.ClientAttempt, request *trace.EndpointRequest) {
	if attempt.Sidecar < 0 || attempt.Sidecar >= len(e.plan.Sidecars) || request.Endpoint < 0 || request.Endpoint >= len(e.plan.Endpoints) {
		return
	}
	if request.FirstByte+e.slack < e.discovery.firstListedAt(attempt.Sidecar, request.Endpoint) {
		e.report(violationOf(UnknownRequest, request.FirstByte, attempt, request.Endpoint),
			"it was sent to box %s, which no list had named to sidecar %s",
			e.endpointName(request.Endpoint), e.sidecarName(attempt.Sidecar))
	}
	grace := e.plan.Scenario.Rules.DrainGrace.D() + drainSlack + 3*e.plan.Scenario.Network.Delay.D() // a handshake comes first
	if since, unavailable := e.discovery.unavailableSince(attempt.Sidecar, request.Endpoint, request.FirstByte); unavailable && request.FirstByte > since+grace {
		e.report(violationOf(AttemptAfterDrain, request.FirstByte, attempt, request.Endpoint),
			"it was sent to box %s %s after sidecar %s was told that this drains or is gone",
			e.endpointName(request.Endpoint), (request.FirstByte - since).Round(time.Microsecond), e.sidecarName(attempt.Sidecar))
	}
}

// checkHedges checks that no earlier upstream request of the attempt was in flight, but for as long as its end may take to be seen.
func (e *evaluation) checkHedges(attempt *trace.ClientAttempt, request *trace.EndpointRequest, earlier []int32) {
	for _, i := range earlier {
		earlierRequest := &e.log.EndpointRequests[i]
		ended := earlierRequest.Ended
		if ended == trace.Unset {
			ended = model.Never
		}
		if earlierRequest.LastByte != trace.Unset && ended-request.LastByte > e.slack {
			e.report(violationOf(ForbiddenHedge, request.LastByte, attempt, request.Endpoint),
				"it came to box %s while it was out at box %s",
				e.endpointName(request.Endpoint), e.endpointName(earlierRequest.Endpoint))
			return
		}
	}
}
