package loopback

import (
	"context"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// visit is one attempt at a box, from its last byte on.
type endpointRequest struct {
	trace.EndpointRequest
	jobID            uint64
	request          int
	number           int           // of that id at that box
	timeout          time.Duration // how long its sender waits, from Arrived
	closeAfter       bool          // its connection ends with the answer
	correlation      correlation
	segments         []time.Duration
	connection       *serverConn
	canceled         bool
	baggage          string
	reportedAttempts budget.Tried       // what its calls have said of attempts that they took
	cancelCall       context.CancelFunc // of the call that is out; nil if none is
}

// drop ends a call that nobody needs any more.
func (v *endpointRequest) cancel() {
	if v.cancelCall != nil {
		v.cancelCall()
	}
}

// arrive is a request's last byte. It returns false if nothing is to be read from its connection any more.
func (b *endpoint) handleRequest(p *serverConn, a *incomingRequest, begun time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	now := b.run.elapsed()
	if p.frozen || p.isClosed || b.model.Phase(now) != model.Up {
		return false
	}
	p.busy = true
	switch {
	case a.healthCheck:
		b.answerHealthCheck(p, a, now)
	case !a.identified:
		p.responses <- endpointResponse{kind: responseNotFound, correlation: a.correlation, closeAfter: a.closeAfter}
	case !b.isGenuine(a):
		b.run.recorder.addEndpointRequest(trace.EndpointRequest{Endpoint: b.index, ConnectionID: p.id, FirstByte: begun, LastByte: now, Started: trace.Unset,
			Ended: now, Outcome: trace.OutcomeError, IdempotencyKey: a.idempotencyKey})
		p.responses <- endpointResponse{kind: responseBadRequest, correlation: a.correlation, closeAfter: a.closeAfter}
	default:
		b.submit(p, a, begun, now)
	}
	return true
}

// probed answers whether the box is well; one that hangs does not.
func (b *endpoint) answerHealthCheck(p *serverConn, a *incomingRequest, now time.Duration) {
	what := responseOK
	if !b.run.plan.Scenario.Rules.Probes {
		what = responseNotFound
	} else if b.model.Load(now).Capacity == 0 {
		return
	}
	p.responses <- endpointResponse{kind: what, correlation: a.correlation, closeAfter: a.closeAfter}
}

// made says whether a caller made a request in just this form.
func (b *endpoint) isGenuine(a *incomingRequest) bool {
	if a.planIndex < 0 {
		return false
	}
	r := &b.run.plan.Requests[a.planIndex]
	if a.idempotencyKey != r.Key {
		return false
	}
	if b.plan.Tier > 0 {
		request, made := b.tier.requestOf(a.transactionID)
		return made && request == a.planIndex
	}
	for try := range r.Retries + 1 {
		if a.transactionID == b.run.plan.Txn(a.planIndex, try) {
			return true
		}
	}
	return false
}

// take gives a request to the model.
func (b *endpoint) submit(p *serverConn, a *incomingRequest, begun, now time.Duration) {
	b.lastJobID++
	v := &endpointRequest{jobID: b.lastJobID, request: a.planIndex, number: b.requestCounts[a.transactionID], timeout: a.timeout, closeAfter: a.closeAfter, correlation: a.correlation, connection: p, baggage: a.baggage,
		EndpointRequest: trace.EndpointRequest{TransactionID: a.transactionID, Endpoint: b.index, ConnectionID: p.id, FirstByte: begun, LastByte: now, Started: trace.Unset,
			Ended: trace.Unset, IdempotencyKey: a.idempotencyKey}}
	b.requestCounts[a.transactionID]++
	v.segments = b.run.plan.Segments(nil, a.planIndex, a.transactionID, b.index, v.number)
	b.requests[v.jobID] = v
	p.pending = v
	b.model.Arrive(now, model.Job{ID: v.jobID, Key: a.idempotencyKey, Segments: v.segments, FirstOn: p.unused,
		Class: b.run.plan.Requests[a.planIndex].Class + 1, Conn: p.id})
	p.unused = false
	b.advance()
}

// withdraw is a caller's giving up what it has here.
func (b *endpoint) cancelRequest(p *serverConn, now time.Duration) {
	v := p.pending
	v.canceled, v.Ended, v.Outcome = true, now, trace.OutcomeCanceled
	v.connection, p.pending = nil, nil
	b.model.Withdraw(now, v.jobID)
}

// recordIncomplete is a request that never came whole. Without an id nobody can tell whose it was.
func (b *endpoint) recordIncomplete(p *serverConn, a *incomingRequest, begun time.Duration) {
	if !a.identified {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	end := trace.OutcomeCanceled
	if p.frozen || p.isClosed {
		end = trace.OutcomeLost
	}
	b.run.recorder.addEndpointRequest(trace.EndpointRequest{TransactionID: a.transactionID, Endpoint: b.index, ConnectionID: p.id, FirstByte: begun, LastByte: trace.Unset,
		Started: trace.Unset, Ended: b.run.elapsed(), Outcome: end, IdempotencyKey: a.idempotencyKey})
}

var answerOutcomes = [...]trace.Outcome{model.OK: trace.OutcomeOK, model.Errored: trace.OutcomeError, model.TurnedAway: trace.OutcomeRejected,
	model.CutOff: trace.OutcomeCorrupted, model.Spoilt: trace.OutcomeCorrupted, model.Dripped: trace.OutcomeCorrupted}

// effect carries out what the model did with one visit.
func (b *endpoint) applyEffect(e *model.Effect) {
	v := b.requests[e.Job]
	switch e.Kind {
	case model.Started:
		v.Started, v.Deduplicated = e.At, e.Repeat
	case model.Calling:
		b.callNextTier(v, e.Call)
	case model.Lost:
		if !v.canceled {
			v.Ended, v.Outcome = e.At, trace.OutcomeLost
		}
		b.finishRequest(v, e.Done)
	case model.Answered:
		p := v.connection
		if !v.canceled {
			v.Ended, v.Outcome = e.At, answerOutcomes[e.Answer]
		}
		if p != nil && e.Answer == model.Dripped {
			p.dripping = v // it is out for as long as its connection
		}
		b.finishRequest(v, e.Done)
		if p != nil {
			b.respond(p, v, e.Answer)
		}
	}
}

// over is the end of a visit for the model.
func (b *endpoint) finishRequest(v *endpointRequest, done time.Duration) {
	delete(b.requests, v.jobID)
	v.cancel()
	v.Work = done
	if v.connection != nil {
		v.connection.pending = nil
	}
	if v.connection == nil || v.connection.dripping != v {
		b.run.recorder.addEndpointRequest(v.EndpointRequest)
	}
}

// dripped is the end of an answer that dripped.
func (b *endpoint) finishDrip(p *serverConn, now time.Duration) {
	p.dripping.Ended = now
	b.run.recorder.addEndpointRequest(p.dripping.EndpointRequest)
	p.dripping = nil
}

// respond has an answer written.
func (b *endpoint) respond(p *serverConn, v *endpointRequest, answer model.Answer) {
	o := endpointResponse{kind: responseOK, correlation: v.correlation, answer: answer, closeAfter: v.closeAfter}
	o.correlation.reportedAttempts = v.reportedAttempts
	switch answer {
	case model.Errored:
		o.kind = responseError
	case model.TurnedAway:
		o.kind = responseRejected
	default:
		o.transactionID, o.requestNumber = v.TransactionID, v.number
		o.size = max(1, b.run.plan.Scenario.Class[b.run.plan.Requests[v.request].Class].Answer)
		o.seed = [2]uint64{b.random.Uint64(), b.random.Uint64()}
	}
	p.responses <- o
}
