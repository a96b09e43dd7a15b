package loopback

import (
	"context"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// callNextTier makes a request's call to the next tier, through the sidecar beside the endpoint. The lock is held.
func (e *endpoint) callNextTier(request *endpointRequest, callIndex int) {
	call, sendable := e.nextTierRequest(request, callIndex)
	ctx, cancel := context.WithCancel(e.ctx)
	request.cancelCall = cancel
	e.goroutines.Go(func() {
		defer cancel()
		served, reported := false, budget.AttemptReport{}
		if sendable {
			e.run.tiers[call.attempt.Tier].addCall(call.attempt.TransactionID, request.planIndex)
			attempt := e.send(ctx, call)
			e.run.recorder.addClientAttempt(attempt)
			served, reported = attempt.Status == trace.StatusServed, attempt.ReportedAttempts
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.closed {
			e.addReported(request, callIndex, reported)
			e.model.CallReturned(e.run.elapsed(), request.jobID, served)
			e.advance()
		}
	})
}

// nextTierRequest is a call as it is sent; false if there is no time left for it, or nowhere to send it.
func (e *endpoint) nextTierRequest(request *endpointRequest, callIndex int) (clientRequest, bool) {
	p, now := e.run.plan, e.run.elapsed()
	planned := &p.Requests[request.planIndex]
	nextTier := p.Scenario.NextTierIndex(e.plan.Tier)
	timeout := e.callTimeout(request, now)
	directEndpoint := -1
	if e.run.roundRobin != nil {
		if directEndpoint = e.run.roundRobin.next(nextTier); directEndpoint < 0 {
			return clientRequest{}, false
		}
	}
	baggage := ""
	if e.propagatesContext() {
		baggage = request.baggage
	}
	call := clientRequest{
		attempt: trace.ClientAttempt{
			TransactionID: p.CallTransactionID(request.TransactionID, e.index, request.number, callIndex),
			Parent:        request.TransactionID,
			Request:       request.planIndex,
			Tier:          nextTier,
			Sidecar:       slices.IndexFunc(p.Sidecars, func(s plan.Sidecar) bool { return s.Endpoint == e.index }),
			Class:         planned.Class,
			Due:           now,
			Ended:         trace.Unset,
			Endpoint:      -1,
		},
		directEndpoint: directEndpoint,
		timeout:        timeout,
		baggage:        baggage,
		cancelAt:       model.Never,
		idempotencyKey: planned.IdempotencyKey,
	}
	return call, timeout >= minTimeout
}

// callTimeout is the class's deadline, or what is left of the request's if the scenario has endpoints propagate deadlines.
func (e *endpoint) callTimeout(request *endpointRequest, now time.Duration) time.Duration {
	p := e.run.plan
	timeout := p.Scenario.Classes[p.Requests[request.planIndex].Class].Deadline.D()
	if !p.Scenario.Rules.PropagatesDeadline {
		return timeout
	}
	if request.timeout > 0 {
		timeout = request.timeout
	}
	return timeout - (now - request.LastByte)
}

// addReported adds what a call has reported to the request's sum, if the endpoint propagates headers that it doesn't know.
func (e *endpoint) addReported(request *endpointRequest, callIndex int, reported budget.AttemptReport) {
	if callIndex > 0 {
		reported = request.reportedAttempts.Add(reported)
	}
	if e.propagatesContext() {
		request.reportedAttempts = reported
	}
}

// propagatesContext reports whether the endpoint propagates headers that it doesn't know, in both directions.
func (e *endpoint) propagatesContext() bool {
	return e.run.plan.Scenario.Tiers[e.plan.Tier].Propagates == "all"
}
