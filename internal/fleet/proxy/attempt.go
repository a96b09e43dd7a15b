package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/upstream"
)

const (
	maxDiscardedBytes = 16 << 10 // maximum bytes of an unusable response that are read, to reuse its connection
	expectedHeadBytes = 1024     // expected size of a request's head
)

// attempt sends the request to one endpoint and relays its response.
func (f *forwarding) attempt(ctx context.Context, placed *placement.Placement) outcome {
	q, dispatcher := f.request, f.server.dispatcher
	defer dispatcher.release(placed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := f.awaitFirstToken(placed, cancel)
	defer func() { f.rerouteRetryWithdrawn = wait.stop() }()
	head := q.encodeHead(make([]byte, 0, expectedHeadBytes+min(len(q.body), expectedHeadBytes)), placed.Endpoint.ID, f.response.lastEventID, time.Until(q.deadline))
	reply, proof, err := dispatcher.Pool.RoundTrip(ctx, &upstream.Exchange{
		Host: balance.EndpointID(placed.Endpoint.Number), ID: q.id, Method: q.http.Method, Deadline: q.deadline, Head: head, Body: q.body,
	})
	if err != nil {
		return f.classifyError(wait, proof)
	}
	defer reply.Body.Close()
	if result, usable := f.classifyHead(placed.Endpoint, reply); !usable {
		return result
	}
	return f.relay(ctx, reply, wait)
}

// classifyError returns the outcome of an exchange that failed before the head of its response was read.
func (f *forwarding) classifyError(wait *firstTokenWait, proof upstream.Proof) outcome {
	if f.request.http.Context().Err() != nil {
		return clientClosed
	}
	dispatcher, endpoint := f.server.dispatcher, wait.placement.Endpoint
	abandoned := wait.isAbandoned() // this router cancelled the attempt, and has reported it as overdue
	if proof == upstream.NeverSent {
		if !abandoned {
			dispatcher.recordConnectFailure(endpoint)
		}
		return notSent
	}
	if !abandoned {
		dispatcher.recordFailure(endpoint)
	}
	return unanswered
}

// classifyHead decides by the head of a response whether it may be relayed. If usable is false, result is the attempt's outcome.
func (f *forwarding) classifyHead(endpoint *placement.Endpoint, reply *upstream.Reply) (result outcome, usable bool) {
	dispatcher, route := f.server.dispatcher, f.request.route
	if reply.Header.Get(headerNotExecuted) != "" || reply.Status == http.StatusMisdirectedRequest {
		_, _ = io.CopyN(io.Discard, reply.Body, maxDiscardedBytes) // allows reuse of the connection
		dispatcher.recordFailure(endpoint)
		return notExecuted, false
	}
	if isSuccess(reply.Status) && reply.Header.Get(headerSignature) == "" {
		dispatcher.recordFailure(endpoint)
		return unanswered, false
	}
	if reply.Status >= http.StatusInternalServerError {
		dispatcher.recordFailure(endpoint)
		if route.Idempotent() && !f.response.headSent && route.AttemptLimit() > 1 {
			return unanswered, false
		}
	}
	if isRefusal(reply.Status) && !route.Idempotent() {
		return unanswered, false // the endpoint doesn't state that it did not run the request, and the client would take it so
	}
	if f.response.headSent && !(isSuccess(reply.Status) && isEventStream(reply.Header)) {
		return unanswered, false // a response that was relayed in part can only be continued by further events
	}
	return completed, true
}

// isRefusal reports whether clients take a status for the promise that the request has not run and will not.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
