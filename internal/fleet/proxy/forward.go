package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// maxUnreachableEndpoints is the maximum number of unreachable endpoints after which a request is still sent to another one.
const maxUnreachableEndpoints = 4

// forwarding is the state of forwarding one request, over all its attempts.
type forwarding struct {
	server   *Server
	request  *request
	response response

	tried       []string // ids of the endpoints of all attempts
	attempts    int      // number of attempts that reached an endpoint
	unreachable int      // number of attempts that did not reach an endpoint
	unproven    int      // number of attempts that are not proved not to have run the request

	retryWithdrawn        bool // a retry was withdrawn from the budget, for an attempt that has not yet reached an endpoint
	rerouteRetryWithdrawn bool // the current attempt was abandoned for an overdue first token, and a retry withdrawn for the next one
}

// forward sends a request to one endpoint after another until one responds, and sends the client a response.
func (s *Server) forward(w http.ResponseWriter, q *request) {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	f := &forwarding{server: s, request: q, response: response{writer: w}}
	defer f.refundUnusedRetry()
	for f.canSend(ctx) {
		placed := s.dispatcher.place(f.call())
		if placed == nil {
			break
		}
		f.beginAttempt(placed)
		result := f.attempt(ctx, placed)
		f.endAttempt(result)
		switch result {
		case completed:
			s.Served.Add(1)
			s.durations.observe(q.route.Name, time.Since(q.receivedAt))
			return
		case clientClosed:
			f.abort()
			return
		}
		if result == truncated || f.exhausted() {
			break
		}
	}
	f.finishUnanswered(ctx)
}

// canSend reports whether the request may be sent to one more endpoint. If that is a retry, canSend withdraws
// it from the budget, unless it was withdrawn before.
func (f *forwarding) canSend(ctx context.Context) bool {
	if ctx.Err() != nil || !f.server.mayBeSent(f.request) {
		return false
	}
	if f.attempts == 0 {
		return true
	}
	f.retryWithdrawn = f.retryWithdrawn || f.server.dispatcher.withdrawRetry(f.request.service)
	return f.retryWithdrawn
}

// call returns the properties of the request that the choice of its next endpoint depends on.
func (f *forwarding) call() *placement.Call {
	q := f.request
	return &placement.Call{
		Service: q.service, Target: q.route.TargetLatency(), Spent: q.clientSpent + time.Since(q.receivedAt), Prompt: q.prompt,
		Exclude: f.tried, Retry: f.attempts > 0, LastAttempt: f.isLastAttempt(),
	}
}

// isLastAttempt reports whether no further attempt may follow the next one if that fails.
func (f *forwarding) isLastAttempt() bool {
	route := f.request.route
	return !route.Idempotent() || f.attempts+1 >= route.AttemptLimit()
}

// beginAttempt records an attempt, which may run the request from now on.
func (f *forwarding) beginAttempt(placed *placement.Placement) {
	f.tried = append(f.tried, placed.Endpoint.ID)
	f.unproven++
}

// mayHaveRun reports whether an endpoint may have run the request. It is false only if each attempt is proved not to have run it.
func (f *forwarding) mayHaveRun() bool { return f.unproven > 0 }

// endAttempt updates the counts of attempts, and the withdrawn retries, after an attempt.
func (f *forwarding) endAttempt(result outcome) {
	if result.provesNotExecuted() {
		f.unproven--
	}
	if result == notSent {
		f.unreachable++
		if f.rerouteRetryWithdrawn {
			f.server.dispatcher.refundRetry(f.request.service) // the endpoint was not reached: the next attempt needs no additional retry
		}
		f.rerouteRetryWithdrawn = false
		return
	}
	f.attempts++
	f.retryWithdrawn, f.rerouteRetryWithdrawn = f.rerouteRetryWithdrawn, false
}

// exhausted reports whether the request must not be sent to a further endpoint.
func (f *forwarding) exhausted() bool {
	route := f.request.route
	return f.unreachable > maxUnreachableEndpoints || f.attempts >= route.AttemptLimit() || f.mayHaveRun() && !route.Idempotent()
}

// refundUnusedRetry returns a withdrawn retry to the budget if its attempt has reached no endpoint.
func (f *forwarding) refundUnusedRetry() {
	if f.retryWithdrawn {
		f.server.dispatcher.refundRetry(f.request.service)
	}
}

// abort ends a request whose client has closed its connection, or only the sending side of it. In the latter case the client may
// still read: its response must neither be a success nor look complete.
func (f *forwarding) abort() {
	if f.response.headSent {
		panic(http.ErrAbortHandler)
	}
	f.server.fail(f.response.writer, http.StatusBadGateway)
}

// finishUnanswered ends a request for which no endpoint has sent a complete response.
func (f *forwarding) finishUnanswered(ctx context.Context) {
	s, q := f.server, f.request
	if f.response.headSent {
		s.Truncated.Add(1)
		panic(http.ErrAbortHandler) // closes the connection, so that the client detects the truncation
	}
	if !f.mayHaveRun() {
		s.refund(q)
		s.reject(f.response.writer, http.StatusServiceUnavailable, shortRetryAfter)
		return
	}
	// The connection to the endpoint has the same deadline as the context, and may reach it before the context does.
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(q.deadline) {
		s.fail(f.response.writer, http.StatusGatewayTimeout)
		return
	}
	s.fail(f.response.writer, http.StatusBadGateway)
}
