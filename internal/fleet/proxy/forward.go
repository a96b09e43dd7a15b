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
	passedOn    outcome = iota // the client has its answer
	neverSent                  // the endpoint was not reached: the request did not run there
	notExecuted                // the endpoint said that it did not run the request
	mayHaveRun                 // sent, and no usable answer came
	broken                     // the answer broke off, and another endpoint may begin it or go on with it
	cutOff                     // the answer broke off when a part had been passed on with which nothing can go on
	clientGone                 // nobody waits any more
)

// unreachedMost is how many endpoints in a row may turn out to be unreachable.
const unreachedMost = 4

// drainedMost is how much of an answer that is of no use is read, to keep its connection.
const drainedMost = 16 << 10

// forward sends a request to endpoints until one answers, as often as its route, its type and the budget allow.
func (s *Server) forward(w http.ResponseWriter, q *request) {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	a := &answer{server: s, writer: w, request: q}
	defer a.returnRepeat()
	for {
		if !a.mayGo(ctx) {
			s.giveUp(a, ctx)
			return
		}
		placed := s.dispatcher.place(a.call())
		if placed == nil {
			s.giveUp(a, ctx)
			return
		}
		a.tried = append(a.tried, placed.Endpoint.ID)
		result := s.attempt(ctx, a, placed)
		a.count(result)
		switch result {
		case passedOn:
			s.Served.Add(1)
			s.durations.observe(q.route.Name, time.Since(q.arrived))
			return
		case clientGone:
			s.leave(a)
			return
		case cutOff:
			s.giveUp(a, ctx)
			return
		}
		if a.exhausted() {
			s.giveUp(a, ctx)
			return
		}
	}
}

// call is what the draw of the next endpoint rests on.
func (a *answer) call() *placement.Call {
	q := a.request
	return &placement.Call{
		Service: q.service, Target: q.route.TargetLatency(), Spent: q.spent + time.Since(q.arrived), Prompt: q.prompt, Exclude: a.tried,
		Retry: a.arrived > 0, LastAttempt: a.isLast(),
	}
}

// mayGo tells whether the request may be sent to one more endpoint, and takes what that costs out of the budget of repeats.
func (a *answer) mayGo(ctx context.Context) bool {
	if ctx.Err() != nil || !a.server.keysUsable(a.request) {
		return false
	}
	if a.arrived == 0 {
		return true
	}
	a.repeatTaken = a.repeatTaken || a.server.dispatcher.mayRepeat(a.request.service)
	return a.repeatTaken
}

// count takes over what became of an attempt.
func (a *answer) count(result outcome) {
	if result == neverSent {
		a.unreached++
		if a.moveTaken {
			a.server.dispatcher.unspent(a.request.service) // no repeat is needed yet
		}
		a.moveTaken = false
		return
	}
	a.arrived++
	a.repeatTaken, a.moveTaken = a.moveTaken, false
}

// returnRepeat gives a repeat back that reached no endpoint.
func (a *answer) returnRepeat() {
	if a.repeatTaken {
		a.server.dispatcher.unspent(a.request.service)
	}
}

// exhausted tells whether the request may go to no further endpoint.
func (a *answer) exhausted() bool {
	route := a.request.route
	return a.unreached > unreachedMost || a.arrived >= route.AttemptLimit() || a.ran && !route.Idempotent()
}

// leave ends a request whose client has closed its connection, or its sending. It may still read: what it gets is no success
// and does not look whole.
func (s *Server) leave(a *answer) {
	if a.begun {
		panic(http.ErrAbortHandler)
	}
	s.fail(a.writer, http.StatusBadGateway)
}

// giveUp answers a request for which nothing more can be done.
func (s *Server) giveUp(a *answer, ctx context.Context) {
	q := a.request
	if a.begun {
		s.Truncated.Add(1)
		panic(http.ErrAbortHandler) // the client sees that the answer is not whole
	}
	if !a.ran {
		if q.tenant != nil && q.charged > 0 {
			s.core.Refund(q.tenant, q.charged)
		}
		s.refuse(a.writer, http.StatusServiceUnavailable, comeBackSoon)
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(q.deadline) { // a connection's may be told first
		s.fail(a.writer, http.StatusGatewayTimeout)
		return
	}
	s.fail(a.writer, http.StatusBadGateway)
}

// answer is what the client gets, over all attempts.
type answer struct {
	server  *Server
	writer  http.ResponseWriter
	request *request
	ran     bool   // an endpoint may have run the request
	begun   bool   // the head has been passed on
	lastID  string // of the last event that was passed on whole
	events  eventReader

	tried       []string // endpoints
	arrived     int      // attempts that reached an endpoint
	unreached   int      // attempts that did not
	repeatTaken bool     // out of the budget, for an attempt that has not reached an endpoint yet
	moveTaken   bool     // the same for the attempt after one that was given up because its first token was overdue
}

// attempt sends the request to one endpoint.
func (s *Server) attempt(ctx context.Context, a *answer, placed *placement.Placement) outcome {
	q, endpoint := a.request, placed.Endpoint
	defer s.dispatcher.end(placed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	awaited := s.await(a, placed, cancel)
	defer func() { a.moveTaken = awaited.stop() }()
	message := q.encode(make([]byte, 0, 1024+len(q.body)), endpoint.ID, a.lastID, time.Until(q.deadline))
	reply, proof, err := s.dispatcher.Pool.RoundTrip(ctx, &upstream.Exchange{
		Host: balance.EndpointID(endpoint.Number), ID: q.id, Method: q.http.Method, Deadline: q.deadline, Message: message,
	})
	if err != nil {
		return s.judgeError(a, awaited, proof)
	}
	defer reply.Body.Close()
	if reply.Header.Get(headerNotExecuted) != "" || reply.Status == http.StatusMisdirectedRequest {
		_, _ = io.CopyN(io.Discard, reply.Body, drainedMost) // only to keep the connection
		s.dispatcher.failed(endpoint)
		return notExecuted
	}
	a.ran = true
	if success(reply.Status) && reply.Header.Get(headerStamp) == "" {
		s.dispatcher.failed(endpoint)
		return mayHaveRun
	}
	if reply.Status >= http.StatusInternalServerError {
		s.dispatcher.failed(endpoint)
		if q.route.Idempotent() && !a.begun && q.route.AttemptLimit() > 1 {
			return mayHaveRun
		}
	}
	if a.begun && !(success(reply.Status) && isEventStream(reply.Header)) {
		return mayHaveRun // the rest of the events was asked for
	}
	return a.pass(ctx, reply, awaited)
}

// isLast tells whether a failure of the attempt that is about to be made is the request's.
func (a *answer) isLast() bool {
	route := a.request.route
	return !route.Idempotent() || a.arrived+1 >= route.AttemptLimit()
}

func success(status int) bool { return status >= 200 && status < 300 }

// judgeError tells what a failed exchange means for the request and its endpoint.
func (s *Server) judgeError(a *answer, awaited *firstToken, proof upstream.Proof) outcome {
	a.ran = a.ran || proof != upstream.NeverSent
	if a.request.http.Context().Err() != nil {
		return clientGone
	}
	endpoint := awaited.placed.Endpoint
	if proof == upstream.NeverSent {
		if !awaited.moved() {
			s.dispatcher.refused(endpoint)
		}
		return neverSent
	}
	if !awaited.moved() {
		s.dispatcher.failed(endpoint)
	}
	return mayHaveRun
}

// pass passes an answer on as it comes. Its head goes with the first piece of its body: an answer that breaks off before
// has shown the client nothing, and another endpoint's may take its place.
func (a *answer) pass(ctx context.Context, reply *upstream.Reply, awaited *firstToken) outcome {
	streams := a.request.route.Type == config.Streaming && success(reply.Status)
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
			if !awaited.came() {
				return broken
			}
			if success(reply.Status) {
				firstAt = now
				a.server.dispatcher.firstToken(awaited.placed, firstAt.Sub(awaited.began))
			}
		}
		piece := buffer[:n]
		if resumable {
			piece = a.events.whole(piece, &a.lastID)
		}
		whole := err == io.EOF && (!resumable || a.events.empty())
		if !a.begun && (len(piece) > 0 || whole) {
			a.head(reply, resumable)
		}
		if !a.write(piece, streams) {
			return clientGone
		}
		switch {
		case err == nil:
		case whole:
			if streams && !first {
				a.server.dispatcher.written(awaited.placed, now.Sub(firstAt), longest)
			}
			return passedOn
		default:
			return a.brokeOff(ctx, awaited, resumable)
		}
	}
}

// brokeOff judges an answer that ended early.
func (a *answer) brokeOff(ctx context.Context, awaited *firstToken, resumable bool) outcome {
	if ctx.Err() == nil {
		a.server.dispatcher.failed(awaited.placed.Endpoint)
	}
	if a.request.http.Context().Err() != nil {
		return clientGone
	}
	if a.begun && !(resumable && a.lastID != "") {
		return cutOff
	}
	return broken
}

// isEventStream tells whether an answer's body is events, which can be told apart.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

func (a *answer) write(piece []byte, flush bool) bool {
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
func (a *answer) head(reply *upstream.Reply, resumable bool) {
	named := connectionTokens(reply.Header)
	header := a.writer.Header()
	for name, values := range reply.Header {
		if hopHeaders[name] || named[name] {
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
	a.begun = true
	a.writer.WriteHeader(reply.Status)
}
