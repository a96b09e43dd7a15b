package loopback

import (
	"context"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// endpointRequest is one request at an endpoint, from its last byte on.
type endpointRequest struct {
	trace.EndpointRequest
	jobID            uint64        // in the model
	planIndex        int           // of the plan's request
	number           int           // how many requests with the same transaction id this endpoint had before
	timeout          time.Duration // that its sender announced, from LastByte on
	closeAfter       bool          // its connection ends with the response
	correlation      correlation
	segments         []time.Duration // work before, between and after its calls to the next tier
	connection       *serverConn     // nil once the sender has canceled the request
	canceled         bool
	baggage          string
	reportedAttempts budget.AttemptReport // sum of what its calls have reported
	cancelCall       context.CancelFunc   // of the call in flight; nil if there is none
}

// cancel cancels the call in flight, whose result nobody needs any more.
func (r *endpointRequest) cancel() {
	if r.cancelCall != nil {
		r.cancelCall()
	}
}

// handleRequest takes a request that has arrived completely, the first byte at firstByte. It returns false if nothing is to be
// read from its connection any more.
func (e *endpoint) handleRequest(conn *serverConn, request *incomingRequest, firstByte time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	now := e.run.elapsed()
	if conn.frozen || conn.isClosed || e.model.Phase(now) != model.Up {
		return false
	}
	conn.busy = true
	switch {
	case request.healthCheck:
		e.answerHealthCheck(conn, request, now)
	case !request.identified:
		conn.responses <- request.response(responseNotFound)
	case !e.isGenuine(request):
		e.run.recorder.addEndpointRequest(trace.EndpointRequest{
			Endpoint:       e.index,
			ConnectionID:   conn.id,
			FirstByte:      firstByte,
			LastByte:       now,
			Started:        trace.Unset,
			Ended:          now,
			Outcome:        trace.OutcomeError,
			IdempotencyKey: request.idempotencyKey,
		})
		conn.responses <- request.response(responseBadRequest)
	default:
		e.submit(conn, request, firstByte, now)
	}
	return true
}

// answerHealthCheck answers a health check; an endpoint that hangs does not answer.
func (e *endpoint) answerHealthCheck(conn *serverConn, request *incomingRequest, now time.Duration) {
	if !e.run.plan.Scenario.Rules.HealthChecks {
		conn.responses <- request.response(responseNotFound)
		return
	}
	if e.model.Load(now).Capacity > 0 {
		conn.responses <- request.response(responseOK)
	}
}

// isGenuine reports whether a client or a lower tier's endpoint sent a request in exactly this form.
func (e *endpoint) isGenuine(incoming *incomingRequest) bool {
	if incoming.planIndex < 0 {
		return false
	}
	planned := &e.run.plan.Requests[incoming.planIndex]
	if incoming.idempotencyKey != planned.IdempotencyKey {
		return false
	}
	if e.plan.Tier > 0 {
		planIndex, known := e.tier.requestOf(incoming.transactionID)
		return known && planIndex == incoming.planIndex
	}
	for attempt := range planned.MaxRetries + 1 {
		if incoming.transactionID == e.run.plan.TransactionID(incoming.planIndex, attempt) {
			return true
		}
	}
	return false
}

// submit hands a request to the model. The lock is held.
func (e *endpoint) submit(conn *serverConn, incoming *incomingRequest, firstByte, now time.Duration) {
	e.lastJobID++
	request := &endpointRequest{
		EndpointRequest: trace.EndpointRequest{
			TransactionID:  incoming.transactionID,
			Endpoint:       e.index,
			ConnectionID:   conn.id,
			FirstByte:      firstByte,
			LastByte:       now,
			Started:        trace.Unset,
			Ended:          trace.Unset,
			IdempotencyKey: incoming.idempotencyKey,
		},
		jobID:       e.lastJobID,
		planIndex:   incoming.planIndex,
		number:      e.requestCounts[incoming.transactionID],
		timeout:     incoming.timeout,
		closeAfter:  incoming.closeAfter,
		correlation: incoming.correlation,
		connection:  conn,
		baggage:     incoming.baggage,
	}
	e.requestCounts[incoming.transactionID]++
	request.segments = e.run.plan.Segments(nil, request.planIndex, request.TransactionID, e.index, request.number)
	e.requests[request.jobID] = request
	conn.pending = request
	e.model.Arrive(now, model.Job{
		ID:             request.jobID,
		IdempotencyKey: request.IdempotencyKey,
		Segments:       request.segments,
		NewConnection:  conn.unused,
		Class:          e.run.plan.Requests[request.planIndex].Class + 1,
		ConnectionID:   conn.id,
	})
	conn.unused = false
	e.advance()
}

// cancelRequest cancels a connection's pending request, as its sender has closed the connection. The lock is held.
func (e *endpoint) cancelRequest(conn *serverConn, now time.Duration) {
	request := conn.pending
	request.canceled, request.Ended, request.Outcome = true, now, trace.OutcomeCanceled
	request.connection, conn.pending = nil, nil
	e.model.Cancel(now, request.jobID)
}

// recordIncomplete records a request that never arrived completely. Without an id nobody can tell whose it was.
func (e *endpoint) recordIncomplete(conn *serverConn, request *incomingRequest, firstByte time.Duration) {
	if !request.identified {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	outcome := trace.OutcomeCanceled
	if conn.frozen || conn.isClosed {
		outcome = trace.OutcomeLost
	}
	e.run.recorder.addEndpointRequest(trace.EndpointRequest{
		TransactionID:  request.transactionID,
		Endpoint:       e.index,
		ConnectionID:   conn.id,
		FirstByte:      firstByte,
		LastByte:       trace.Unset,
		Started:        trace.Unset,
		Ended:          e.run.elapsed(),
		Outcome:        outcome,
		IdempotencyKey: request.idempotencyKey,
	})
}

// answerOutcomes are the trace's outcomes by the model's answers.
var answerOutcomes = [...]trace.Outcome{
	model.ResponseOK:        trace.OutcomeOK,
	model.ResponseError:     trace.OutcomeError,
	model.ResponseRejected:  trace.OutcomeRejected,
	model.ResponseTruncated: trace.OutcomeCorrupted,
	model.ResponseCorrupted: trace.OutcomeCorrupted,
	model.ResponseTrickled:  trace.OutcomeCorrupted,
}

// applyEffect applies an effect of the model on one request. The lock is held.
func (e *endpoint) applyEffect(effect *model.Event) {
	request := e.requests[effect.Job]
	switch effect.Kind {
	case model.EventStarted:
		request.Started, request.Deduplicated = effect.At, effect.Deduplicated
	case model.EventCalling:
		e.callNextTier(request, effect.Call)
	case model.EventLost:
		if !request.canceled {
			request.Ended, request.Outcome = effect.At, trace.OutcomeLost
		}
		e.finishRequest(request, effect.Work)
	case model.EventResponded:
		conn := request.connection
		if !request.canceled {
			request.Ended, request.Outcome = effect.At, answerOutcomes[effect.Response]
		}
		if conn != nil && effect.Response == model.ResponseTrickled {
			conn.dripping = request // in flight for as long as its connection is up
		}
		e.finishRequest(request, effect.Work)
		if conn != nil {
			e.respond(conn, request, effect.Response)
		}
	}
}

// finishRequest ends a request that the model has done with, and records it unless its response drips. The lock is held.
func (e *endpoint) finishRequest(request *endpointRequest, work time.Duration) {
	delete(e.requests, request.jobID)
	request.cancel()
	request.Work = work
	if request.connection != nil {
		request.connection.pending = nil
	}
	if request.connection == nil || request.connection.dripping != request {
		e.run.recorder.addEndpointRequest(request.EndpointRequest)
	}
}

// finishDrip records the end of a response that dripped. The lock is held.
func (e *endpoint) finishDrip(conn *serverConn, now time.Duration) {
	conn.dripping.Ended = now
	e.run.recorder.addEndpointRequest(conn.dripping.EndpointRequest)
	conn.dripping = nil
}

// respond has a response written. The lock is held.
func (e *endpoint) respond(conn *serverConn, request *endpointRequest, answer model.Response) {
	response := endpointResponse{
		kind:        responseOK,
		correlation: request.correlation,
		answer:      answer,
		closeAfter:  request.closeAfter,
	}
	response.correlation.reportedAttempts = request.reportedAttempts
	switch answer {
	case model.ResponseError:
		response.kind = responseError
	case model.ResponseRejected:
		response.kind = responseRejected
	default:
		class := e.run.plan.Requests[request.planIndex].Class
		response.transactionID, response.requestNumber = request.TransactionID, request.number
		response.size = max(1, e.run.plan.Scenario.Classes[class].ResponseBytes)
		response.seed = [2]uint64{e.random.Uint64(), e.random.Uint64()}
	}
	conn.responses <- response
}
