package proxy

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/upstream"
)

// outcome is what became of one attempt. It is judged in one place, attempt.
type outcome uint8

const (
	completed    outcome = iota // the client has its answer
	notSent                     // the endpoint was not reached: the request did not run there
	notExecuted                 // the endpoint said that it did not run the request
	unanswered                  // sent, and no usable answer came
	interrupted                 // the answer broke off, and another endpoint may begin it or go on with it
	truncated                   // the answer broke off when a part had been passed on with which nothing can go on
	clientClosed                // nobody waits any more
)

// maxUnreachable is how many endpoints in a row may turn out to be unreachable.
const maxUnreachable = 4

// maxDrain is how much of an answer that is of no use is read, to keep its connection.
const maxDrain = 16 << 10

// forward sends a request to endpoints until one answers, as often as its route, its type and the budget allow.
func (s *Server) forward(w http.ResponseWriter, q *request) {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	a := &forwarding{server: s, writer: w, request: q}
	defer a.returnRetry()
	for {
		if !a.canSend(ctx) {
			s.finishUnanswered(a, ctx)
			return
		}
		placed := s.dispatcher.place(a.call())
		if placed == nil {
			s.finishUnanswered(a, ctx)
			return
		}
		a.tried = append(a.tried, placed.Endpoint.ID)
		result := s.attempt(ctx, a, placed)
		a.recordOutcome(result)
		switch result {
		case completed:
			s.Served.Add(1)
			s.durations.observe(q.route.Name, time.Since(q.receivedAt))
			return
		case clientClosed:
			s.abort(a)
			return
		case truncated:
			s.finishUnanswered(a, ctx)
			return
		}
		if a.exhausted() {
			s.finishUnanswered(a, ctx)
			return
		}
	}
}

// call is what the draw of the next endpoint rests on.
func (a *forwarding) call() *placement.Call {
	q := a.request
	return &placement.Call{
		Service: q.service, Target: q.route.TargetLatency(), Spent: q.clientSpent + time.Since(q.receivedAt), Prompt: q.prompt, Exclude: a.tried,
		Retry: a.attempts > 0, LastAttempt: a.isLastAttempt(),
	}
}

// canSend tells whether the request may be sent to one more endpoint, and takes what that costs out of the budget of repeats.
func (a *forwarding) canSend(ctx context.Context) bool {
	if ctx.Err() != nil || !a.server.apiKeysValid(a.request) {
		return false
	}
	if a.attempts == 0 {
		return true
	}
	a.retryTaken = a.retryTaken || a.server.dispatcher.takeRetry(a.request.service)
	return a.retryTaken
}

// count takes over what became of an attempt.
func (a *forwarding) recordOutcome(result outcome) {
	if result == notSent {
		a.unreachable++
		if a.rerouteTaken {
			a.server.dispatcher.returnRetry(a.request.service) // no repeat is needed yet
		}
		a.rerouteTaken = false
		return
	}
	a.attempts++
	a.retryTaken, a.rerouteTaken = a.rerouteTaken, false
}

// returnRetry gives a repeat back that reached no endpoint.
func (a *forwarding) returnRetry() {
	if a.retryTaken {
		a.server.dispatcher.returnRetry(a.request.service)
	}
}

// exhausted tells whether the request may go to no further endpoint.
func (a *forwarding) exhausted() bool {
	route := a.request.route
	return a.unreachable > maxUnreachable || a.attempts >= route.AttemptLimit() || a.mayHaveRun && !route.Idempotent()
}

// leave ends a request whose client has closed its connection, or its sending. It may still read: what it gets is no success
// and does not look whole.
func (s *Server) abort(a *forwarding) {
	if a.headSent {
		panic(http.ErrAbortHandler)
	}
	s.fail(a.writer, http.StatusBadGateway)
}

// finishUnanswered answers a request for which nothing more can be done.
func (s *Server) finishUnanswered(a *forwarding, ctx context.Context) {
	q := a.request
	if a.headSent {
		s.Truncated.Add(1)
		panic(http.ErrAbortHandler) // the client sees that the answer is not whole
	}
	if !a.mayHaveRun {
		if q.tenant != nil && q.chargedUnits > 0 {
			s.delegate.Refund(q.tenant, q.chargedUnits)
		}
		s.rejectWithRetry(a.writer, http.StatusServiceUnavailable, retrySoon)
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(q.deadline) { // a connection's may be told first
		s.fail(a.writer, http.StatusGatewayTimeout)
		return
	}
	s.fail(a.writer, http.StatusBadGateway)
}

// answer is what the client gets, over all attempts.
type forwarding struct {
	server      *Server
	writer      http.ResponseWriter
	request     *request
	mayHaveRun  bool   // an endpoint may have run the request
	headSent    bool   // the head has been passed on
	lastEventID string // of the last event that was passed on whole
	events      eventSplitter

	tried        []string // endpoints
	attempts     int      // attempts that reached an endpoint
	unreachable  int      // attempts that did not
	retryTaken   bool     // out of the budget, for an attempt that has not reached an endpoint yet
	rerouteTaken bool     // the same for the attempt after one that was given up because its first token was overdue
}

// attempt sends the request to one endpoint.
func (s *Server) attempt(ctx context.Context, a *forwarding, placed *placement.Placement) outcome {
	q, endpoint := a.request, placed.Endpoint
	defer s.dispatcher.release(placed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	awaited := s.awaitFirstToken(a, placed, cancel)
	defer func() { a.rerouteTaken = awaited.stop() }()
	message := q.encode(make([]byte, 0, 1024+len(q.body)), endpoint.ID, a.lastEventID, time.Until(q.deadline))
	reply, proof, err := s.dispatcher.Pool.Start(ctx, &upstream.Exchange{
		Host: balance.EndpointID(endpoint.Number), ID: q.id, Method: q.http.Method, Until: q.deadline, Message: message,
	})
	if err != nil {
		return s.judgeError(a, awaited, proof)
	}
	defer reply.Body.Close()
	if reply.Header.Get(headerNotExecuted) != "" || reply.Status == http.StatusMisdirectedRequest {
		_, _ = io.CopyN(io.Discard, reply.Body, maxDrain) // only to keep the connection
		s.dispatcher.recordFailure(endpoint)
		return notExecuted
	}
	a.mayHaveRun = true
	if isSuccess(reply.Status) && reply.Header.Get(headerSignature) == "" {
		s.dispatcher.recordFailure(endpoint)
		return unanswered
	}
	if reply.Status >= http.StatusInternalServerError {
		s.dispatcher.recordFailure(endpoint)
		if q.route.Idempotent() && !a.headSent && q.route.AttemptLimit() > 1 {
			return unanswered
		}
	}
	if a.headSent && !(isSuccess(reply.Status) && isEventStream(reply.Header)) {
		return unanswered // the rest of the events was asked for
	}
	return a.relay(ctx, reply, awaited)
}

// isLastAttempt tells whether a failure of the attempt that is about to be made is the request's.
func (a *forwarding) isLastAttempt() bool {
	route := a.request.route
	return !route.Idempotent() || a.attempts+1 >= route.AttemptLimit()
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// judgeError tells what a failed exchange means for the request and its endpoint.
func (s *Server) judgeError(a *forwarding, awaited *firstTokenWait, proof upstream.Proof) outcome {
	a.mayHaveRun = a.mayHaveRun || proof != upstream.NeverSent
	if a.request.http.Context().Err() != nil {
		return clientClosed
	}
	endpoint := awaited.placement.Endpoint
	if proof == upstream.NeverSent {
		if !awaited.isAbandoned() {
			s.dispatcher.recordConnectFailure(endpoint)
		}
		return notSent
	}
	if !awaited.isAbandoned() {
		s.dispatcher.recordFailure(endpoint)
	}
	return unanswered
}

// pass passes an answer on as it comes. Its head goes with the first piece of its body: an answer that breaks off before
// has shown the client nothing, and another endpoint's may take its place.
func (a *forwarding) relay(ctx context.Context, reply *upstream.Reply, awaited *firstTokenWait) outcome {
	streams := a.request.route.Type == config.Streaming && isSuccess(reply.Status)
	resumable := streams && a.request.route.StreamResume && isEventStream(reply.Header)
	a.events.reset()
	buffer := make([]byte, 4<<10)
	first := true
	var firstAt, lastAt time.Time
	longest := time.Duration(0) // pause
	for {
		n, err := reply.Body.Read(buffer)
		now := time.Now()
		if n > 0 && !first {
			longest = max(longest, now.Sub(lastAt))
		}
		lastAt = now
		if n > 0 && first {
			first = false
			if !awaited.arrive() {
				return interrupted
			}
			if isSuccess(reply.Status) {
				firstAt = now
				a.server.dispatcher.recordFirstToken(awaited.placement, firstAt.Sub(awaited.sentAt))
			}
		}
		piece := buffer[:n]
		if resumable {
			piece = a.events.complete(piece, &a.lastEventID)
		}
		whole := err == io.EOF && (!resumable || a.events.empty())
		if !a.headSent && (len(piece) > 0 || whole) {
			a.writeHead(reply, resumable)
		}
		if !a.write(piece, streams) {
			return clientClosed
		}
		switch {
		case err == nil:
		case whole:
			if streams && !first {
				a.server.dispatcher.recordStreamEnd(awaited.placement, now.Sub(firstAt), longest)
			}
			return completed
		default:
			return a.judgeTruncation(ctx, awaited, resumable)
		}
	}
}

// judgeTruncation judges an answer that ended early.
func (a *forwarding) judgeTruncation(ctx context.Context, awaited *firstTokenWait, resumable bool) outcome {
	if ctx.Err() == nil {
		a.server.dispatcher.recordFailure(awaited.placement.Endpoint)
	}
	if a.request.http.Context().Err() != nil {
		return clientClosed
	}
	if a.headSent && !(resumable && a.lastEventID != "") {
		return truncated
	}
	return interrupted
}

// isEventStream tells whether an answer's body is events, which can be told apart.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

func (a *forwarding) write(piece []byte, flush bool) bool {
	if len(piece) == 0 {
		return true
	}
	if _, err := a.writer.Write(piece); err != nil {
		return false
	}
	if flush {
		return http.NewResponseController(a.writer).Flush() == nil
	}
	return true
}

// head passes an answer's head on.
func (a *forwarding) writeHead(reply *upstream.Reply, resumable bool) {
	named := connectionTokens(reply.Header)
	header := a.writer.Header()
	for name, values := range reply.Header {
		if hopByHopHeaders[name] || named[name] {
			continue
		}
		header[name] = values
	}
	delete(header, "Content-Length")
	if reply.Length >= 0 && !resumable {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	if _, dated := reply.Header["Date"]; !dated {
		header["Date"] = nil // the answer's own heads are passed on unchanged
	}
	if _, typed := reply.Header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	a.headSent = true
	a.writer.WriteHeader(reply.Status)
}
