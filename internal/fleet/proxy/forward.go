package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// maxUnreachable is how many endpoints of a request may turn out to be unreachable.
const maxUnreachable = 4

// forwarding is one request on its way to endpoints, over all attempts.
type forwarding struct {
	server   *Server
	request  *request
	response response

	tried       []string // ids of endpoints
	attempts    int      // that reached an endpoint
	unreachable int      // attempts that did not
	mayHaveRun  bool     // an endpoint may have run the request

	retryTaken   bool // a retry was taken out of the budget, for an attempt that has not reached an endpoint yet
	rerouteTaken bool // the same for the attempt after one that was abandoned because its first token was overdue
}

// forward sends a request to one endpoint after another until one answers, and answers the client.
func (s *Server) forward(w http.ResponseWriter, q *request) {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	f := &forwarding{server: s, request: q, response: response{writer: w}}
	defer f.returnUnusedRetry()
	for f.canSend(ctx) {
		placed := s.dispatcher.place(f.call())
		if placed == nil {
			break
		}
		f.tried = append(f.tried, placed.Endpoint.ID)
		result := f.attempt(ctx, placed)
		f.recordOutcome(result)
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

// canSend reports whether the request may be sent to one more endpoint. It takes a retry out of the budget where that is needed.
func (f *forwarding) canSend(ctx context.Context) bool {
	if ctx.Err() != nil || !f.server.apiKeyValid(f.request) {
		return false
	}
	if f.attempts == 0 {
		return true
	}
	f.retryTaken = f.retryTaken || f.server.dispatcher.takeRetry(f.request.service)
	return f.retryTaken
}

// call returns what the choice of the next endpoint depends on.
func (f *forwarding) call() *placement.Call {
	q := f.request
	return &placement.Call{
		Service: q.service, Target: q.route.TargetLatency(), Spent: q.clientSpent + time.Since(q.receivedAt), Prompt: q.prompt,
		Exclude: f.tried, Retry: f.attempts > 0, LastAttempt: f.isLastAttempt(),
	}
}

// isLastAttempt reports whether a failure of the next attempt would be the request's.
func (f *forwarding) isLastAttempt() bool {
	route := f.request.route
	return !route.Idempotent() || f.attempts+1 >= route.AttemptLimit()
}

// recordOutcome counts an attempt by its outcome.
func (f *forwarding) recordOutcome(result outcome) {
	if result == notSent {
		f.unreachable++
		if f.rerouteTaken {
			f.server.dispatcher.returnRetry(f.request.service) // the next attempt is not a retry yet
		}
		f.rerouteTaken = false
		return
	}
	f.attempts++
	f.retryTaken, f.rerouteTaken = f.rerouteTaken, false
}

// exhausted reports whether the request may be sent to no further endpoint.
func (f *forwarding) exhausted() bool {
	route := f.request.route
	return f.unreachable > maxUnreachable || f.attempts >= route.AttemptLimit() || f.mayHaveRun && !route.Idempotent()
}

// returnUnusedRetry gives a retry back that reached no endpoint.
func (f *forwarding) returnUnusedRetry() {
	if f.retryTaken {
		f.server.dispatcher.returnRetry(f.request.service)
	}
}

// abort ends a request whose client has closed its connection, or its sending side only: in that case it still reads, and what
// it gets must neither be a success nor look complete.
func (f *forwarding) abort() {
	if f.response.headSent {
		panic(http.ErrAbortHandler)
	}
	f.server.fail(f.response.writer, http.StatusBadGateway)
}

// finishUnanswered answers a request that no endpoint has answered completely.
func (f *forwarding) finishUnanswered(ctx context.Context) {
	s, q := f.server, f.request
	if f.response.headSent {
		s.Truncated.Add(1)
		panic(http.ErrAbortHandler) // the client sees that the answer is not complete
	}
	if !f.mayHaveRun {
		s.refund(q)
		s.reject(f.response.writer, http.StatusServiceUnavailable, retrySoon)
		return
	}
	// A connection's deadline, which is the same, may expire before the context's.
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(q.deadline) {
		s.fail(f.response.writer, http.StatusGatewayTimeout)
		return
	}
	s.fail(f.response.writer, http.StatusBadGateway)
}
