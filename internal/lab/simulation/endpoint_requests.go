package simulation

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// endpointRequest is the state of a request at an endpoint, beside its trace.
type endpointRequest struct {
	upstreamAttempt int
	visitNumber     int // how many requests of the same transaction were at the endpoint before
	deadline        time.Duration
	openCall        int // the client attempt of its call of the next tier that is in flight; -1 is none
	finishedCalls   int
	retriesBelow    budget.AttemptReport // reported by its calls
	done            bool
}

// requestArrives is the arrival of a request's last byte at its endpoint.
func (s *simulator) requestArrives(upstreamIndex int) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.state != awaitingResponse {
		return
	}
	target, attempt := &s.endpoints[upstream.endpoint], &s.log.ClientAttempts[upstream.clientAttempt]
	switch target.model.Phase(s.now) {
	case model.Unresponsive: // the time-out ends it
		return
	case model.Down:
		s.resetConnection(upstreamIndex)
		return
	}
	requestIndex := len(s.endpointRequests)
	number := s.visitNumber(upstream)
	key := s.plan.Requests[attempt.Request].IdempotencyKey
	s.log.EndpointRequests = append(s.log.EndpointRequests, trace.EndpointRequest{
		TransactionID:  attempt.TransactionID,
		Endpoint:       upstream.endpoint,
		ConnectionID:   uint64(upstreamIndex),
		FirstByte:      s.now,
		LastByte:       s.now,
		Started:        trace.Unset,
		Ended:          trace.Unset,
		IdempotencyKey: key,
	})
	s.endpointRequests = append(s.endpointRequests, endpointRequest{
		upstreamAttempt: upstreamIndex,
		visitNumber:     number,
		deadline:        s.now + s.remainingTime(upstream),
		openCall:        -1,
	})
	upstream.endpointRequest = requestIndex
	s.segments = s.plan.Segments(s.segments[:0], attempt.Request, attempt.TransactionID, upstream.endpoint, number)
	target.model.Arrive(s.now, model.Job{
		ID:             uint64(requestIndex) + 1,
		IdempotencyKey: key,
		Segments:       s.segments,
		NewConnection:  upstream.newConnection,
		Class:          attempt.Class + 1,
		ConnectionID:   upstream.connectionID,
	})
	s.advanceEndpoint(upstream.endpoint)
	if upstream.canceled { // while it was in flight
		s.cancelAtEndpoint(requestIndex)
	}
}

// visitNumber counts the requests of an attempt's transaction that have reached its endpoint before.
func (s *simulator) visitNumber(upstream *upstreamAttempt) (number int) {
	for i := s.clientAttempts[upstream.clientAttempt].lastUpstream; i >= 0; i = s.upstreamAttempts[i].previous {
		if other := &s.upstreamAttempts[i]; other.endpoint == upstream.endpoint && other.endpointRequest >= 0 {
			number++
		}
	}
	return number
}

// remainingTime is how long an attempt's sender goes on waiting, as the endpoint reads it from the request.
func (s *simulator) remainingTime(upstream *upstreamAttempt) time.Duration {
	if upstream.baggage == "" {
		return upstream.deadline - s.now
	}
	return budget.PropagatedTimeout(upstream.deadline-upstream.sentAt, 2*s.delay)
}

// finishRequest ends a request, unless it has ended.
func (s *simulator) finishRequest(requestIndex int, at time.Duration, outcome trace.Outcome) {
	if s.endpointRequests[requestIndex].done {
		return
	}
	s.endpointRequests[requestIndex].done = true
	s.log.EndpointRequests[requestIndex].Ended, s.log.EndpointRequests[requestIndex].Outcome = at, outcome
	s.cancelCall(requestIndex)
}

// sendResponse sends an endpoint's response.
func (s *simulator) sendResponse(upstreamIndex int, response model.Response) {
	status, delay, keep := balance.OK, s.delay, true
	switch response {
	case model.ResponseError:
		status = balance.Error
	case model.ResponseRejected:
		status = balance.Rejected
	case model.ResponseTruncated:
		status, keep = balance.Reset, false
	case model.ResponseCorrupted:
		status, keep = balance.Error, false
	case model.ResponseTrickled:
		status, delay, keep = balance.Error, s.delay+trickleTimeout, false
	}
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.state != awaitingResponse {
		return
	}
	upstream.retriesBelow = s.endpointRequests[upstream.endpointRequest].retriesBelow
	if !keep {
		s.releaseConnection(upstreamIndex, false)
	}
	s.scheduleOutcome(s.now+delay, upstreamIndex, status)
}

// cancelAtEndpoint is an endpoint's seeing that a caller has closed its connection.
func (s *simulator) cancelAtEndpoint(requestIndex int) {
	if s.endpointRequests[requestIndex].done {
		return
	}
	endpointIndex := s.log.EndpointRequests[requestIndex].Endpoint
	s.endpoints[endpointIndex].model.Cancel(s.now, uint64(requestIndex)+1)
	s.advanceEndpoint(endpointIndex)
	if !s.endpointRequests[requestIndex].done { // the endpoint works on, and so does its call
		s.endpointRequests[requestIndex].done = true
		s.log.EndpointRequests[requestIndex].Ended, s.log.EndpointRequests[requestIndex].Outcome = s.now, trace.OutcomeCanceled
	}
}

// callNextTier makes an endpoint's call of the next tier, through its own sidecar.
func (s *simulator) callNextTier(endpointIndex, requestIndex, call int) {
	logged, request := &s.log.EndpointRequests[requestIndex], &s.endpointRequests[requestIndex]
	parent := &s.log.ClientAttempts[s.upstreamAttempts[request.upstreamAttempt].clientAttempt]
	timeout := request.deadline - s.now
	if !s.plan.Scenario.Rules.PropagatesDeadline {
		timeout = s.plan.Scenario.Classes[parent.Class].Deadline.D()
	}
	if timeout <= 0 || s.sidecars != nil && s.endpoints[endpointIndex].sidecar < 0 {
		s.finishCall(requestIndex, false, budget.AttemptReport{})
		return
	}
	attempt := trace.ClientAttempt{
		TransactionID: s.plan.CallTransactionID(logged.TransactionID, endpointIndex, request.visitNumber, call),
		Parent:        logged.TransactionID,
		Request:       parent.Request,
		Tier:          s.plan.Scenario.NextTierIndex(s.plan.Endpoints[endpointIndex].Tier),
		Class:         parent.Class,
		Due:           s.now,
		Sent:          s.now,
		Timeout:       timeout,
		Ended:         trace.Unset,
		Endpoint:      -1,
		Sidecar:       s.endpoints[endpointIndex].sidecar,
	}
	request.openCall = s.startAttempt(attempt, requestIndex)
	if s.plan.Scenario.Tiers[s.plan.Endpoints[endpointIndex].Tier].Propagates == "all" {
		s.clientAttempts[request.openCall].baggage = s.upstreamAttempts[request.upstreamAttempt].baggage
	}
}

// finishCall is the return of an endpoint's call.
func (s *simulator) finishCall(requestIndex int, ok bool, report budget.AttemptReport) {
	endpointIndex := s.log.EndpointRequests[requestIndex].Endpoint
	request := &s.endpointRequests[requestIndex]
	request.openCall = -1
	if request.finishedCalls++; request.finishedCalls > 1 {
		report = request.retriesBelow.Add(report)
	}
	if s.plan.Scenario.Tiers[s.plan.Endpoints[endpointIndex].Tier].Propagates == "all" {
		request.retriesBelow = report
	}
	s.endpoints[endpointIndex].model.CallReturned(s.now, uint64(requestIndex)+1, ok)
	s.advanceEndpoint(endpointIndex)
}

// cancelCall cancels the call that is in flight for a request that is done.
func (s *simulator) cancelCall(requestIndex int) {
	if call := s.endpointRequests[requestIndex].openCall; call >= 0 && !s.clientAttempts[call].ended {
		s.endpointRequests[requestIndex].openCall = -1
		s.clientAttempts[call].callerRequest = -1
		s.clientAttempts[call].ended = true
		s.log.ClientAttempts[call].Status, s.log.ClientAttempts[call].Ended = trace.StatusCanceled, s.now
		s.schedule(s.now+s.delay, event{kind: eventCancelAtSidecar, index: int32(call)})
	}
}
