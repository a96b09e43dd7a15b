package simulation

import (
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/trace"
)

// client is the state of one request's client.
type client struct {
	firstSent   time.Duration
	openAttempt int // the last one; -1 before the first
	done        bool
}

// clientAttempt is the state of an attempt of a client, or of an endpoint's call, beside its trace.
type clientAttempt struct {
	sidecar       int           // -1: straight to an endpoint
	incarnation   int           // of that sidecar when it accepted the attempt
	deadline      time.Duration // at the sidecar
	callerRequest int           // the endpoint request that it is a call of; -1 is none
	balancerSends int           // upstream attempts that the balancer asked for
	accepted      bool
	decided       bool          // the final response is sent, or the client has gone
	decidedAt     time.Duration // when
	ended         bool          // for the client
	status        trace.Status
	code          int
	retryAfter    time.Duration
	endpoint      int
	upstreamCount int
	lastUpstream  int                   // -1 is none
	baggage       string                // header of the budgets that its caller sent
	budgetAccount *budget.RequestBudget // at its sidecar, while that has it open
	retriesBelow  budget.AttemptReport
}

// sendNextAttempt sends a client's next attempt. The first ones schedule each other, in the order of the plan.
func (s *simulator) sendNextAttempt(request, number int) {
	r, c := &s.plan.Requests[request], &s.clients[request]
	if number == 0 {
		if next := request + 1; next < len(s.plan.Requests) {
			s.schedule(s.plan.Requests[next].Due, event{kind: eventClientSends, index: int32(next)})
		}
		c.firstSent, c.openAttempt = s.now, -1
		if r.CancelAfter > 0 {
			s.schedule(r.Due+r.CancelAfter, event{kind: eventClientCancels, index: int32(request)})
		}
	}
	if c.done {
		return
	}
	attempt := trace.ClientAttempt{
		TransactionID: s.plan.TransactionID(request, number),
		Request:       request,
		Number:        number,
		Class:         r.Class,
		Due:           r.Due,
		Sent:          s.now,
		Timeout:       s.plan.AttemptTimeout(request, s.now),
		Ended:         trace.Unset,
		Endpoint:      -1,
		Sidecar:       -1,
	}
	if s.sidecars != nil {
		attempt.Sidecar = s.plan.ChooseSidecar(request, number, func(i int) bool { return s.sidecars[i].admitted })
	}
	c.openAttempt = s.startAttempt(attempt, -1)
	if s.sidecars != nil && attempt.Sidecar < 0 {
		s.finishAttempt(c.openAttempt, trace.StatusConnectFailed)
	}
}

// startAttempt starts an attempt, of a client or of an endpoint's request.
func (s *simulator) startAttempt(attempt trace.ClientAttempt, callerRequest int) int {
	attemptIndex := len(s.clientAttempts)
	s.log.ClientAttempts = append(s.log.ClientAttempts, attempt)
	s.clientAttempts = append(s.clientAttempts, clientAttempt{
		sidecar:       attempt.Sidecar,
		callerRequest: callerRequest,
		endpoint:      -1,
		lastUpstream:  -1,
		deadline:      attempt.Sent + attempt.Timeout,
	})
	if s.sidecars != nil && attempt.Sidecar < 0 {
		return attemptIndex
	}
	// A response is in time until the slack has passed, as the judges count.
	abortAt := attempt.Sent + attempt.Timeout + s.plan.Scenario.Rules.ResponseSlack.D()
	s.scheduleTimeout(abortAt, attempt.Class, event{kind: eventAttemptTimeout, index: int32(attemptIndex)})
	if s.sidecars == nil {
		s.sendRoundRobin(attemptIndex)
		return attemptIndex
	}
	s.schedule(s.now+s.delay, event{kind: eventAttemptAtSidecar, index: int32(attemptIndex)})
	return attemptIndex
}

// sendRoundRobin has a client send to the next listed endpoint, with the plain policy.
func (s *simulator) sendRoundRobin(attemptIndex int) {
	tier := s.log.ClientAttempts[attemptIndex].Tier
	for range s.endpoints {
		s.roundRobin = (s.roundRobin + 1) % len(s.endpoints)
		if s.listed[s.roundRobin] && s.plan.Endpoints[s.roundRobin].Tier == tier {
			s.sendUpstream(attemptIndex, s.roundRobin, s.clientAttempts[attemptIndex].deadline, "", 0)
			return
		}
	}
	s.replyToClient(attemptIndex, trace.StatusConnectFailed, 0, 0, -1)
}

// attemptTimesOut is a client's time-out of an attempt.
func (s *simulator) attemptTimesOut(attemptIndex int) {
	if s.clientAttempts[attemptIndex].ended {
		return
	}
	s.finishAttempt(attemptIndex, trace.StatusTimedOut)
	s.schedule(s.now+s.delay, event{kind: eventCancelAtSidecar, index: int32(attemptIndex)})
}

// clientCancels is a client's cancellation before its deadline.
func (s *simulator) clientCancels(request int) {
	c := &s.clients[request]
	if c.done {
		return
	}
	if c.openAttempt < 0 || s.clientAttempts[c.openAttempt].ended { // between two attempts
		c.done = true
		s.unfinishedRequests--
		return
	}
	attemptIndex := c.openAttempt
	s.finishAttempt(attemptIndex, trace.StatusCanceled)
	s.schedule(s.now+s.delay, event{kind: eventCancelAtSidecar, index: int32(attemptIndex)})
}

// replyToClient sends the final response of an attempt.
func (s *simulator) replyToClient(attemptIndex int, status trace.Status, code int, retryAfter time.Duration, endpointIndex int) {
	attempt := &s.clientAttempts[attemptIndex]
	if attempt.decided {
		return
	}
	attempt.decided, attempt.decidedAt = true, s.now
	attempt.status, attempt.code, attempt.retryAfter, attempt.endpoint = status, code, retryAfter, endpointIndex
	logged := &s.log.ClientAttempts[attemptIndex]
	inTarget := s.now <= logged.Sent+s.plan.Scenario.Classes[logged.Class].TargetLatency.D()
	s.closeAccount(attemptIndex, status == trace.StatusServed && inTarget)
	s.schedule(s.now+s.delay, event{kind: eventResponseAtClient, index: int32(attemptIndex)})
}

// deliverResponse is the arrival of the final response at its client.
func (s *simulator) deliverResponse(attemptIndex int) {
	attempt, logged := &s.clientAttempts[attemptIndex], &s.log.ClientAttempts[attemptIndex]
	if attempt.ended {
		return
	}
	logged.Code, logged.RetryAfter = attempt.code, attempt.retryAfter
	logged.Endpoint, logged.ReportedAttempts = attempt.endpoint, attempt.retriesBelow
	if attempt.code > 0 {
		logged.Responses = 1
	}
	s.finishAttempt(attemptIndex, attempt.status)
}

// finishAttempt ends an attempt for its client, which may retry, or for the endpoint that made the call.
func (s *simulator) finishAttempt(attemptIndex int, status trace.Status) {
	attempt, logged := &s.clientAttempts[attemptIndex], &s.log.ClientAttempts[attemptIndex]
	if attempt.ended {
		return
	}
	attempt.ended = true
	logged.Status, logged.Ended = status, s.now
	if attempt.callerRequest >= 0 {
		s.finishCall(attempt.callerRequest, status == trace.StatusServed, logged.ReportedAttempts)
		return
	}
	c := &s.clients[logged.Request]
	at, retries := s.plan.NextRetry(logged, c.firstSent)
	if r := &s.plan.Requests[logged.Request]; r.CancelAfter > 0 && at >= r.Due+r.CancelAfter && retries {
		at, retries = 0, false
	}
	if retries {
		s.schedule(at, event{kind: eventClientSends, index: int32(logged.Request), argument: int32(logged.Number + 1)})
		return
	}
	c.done = true
	s.unfinishedRequests--
}

// localStatus returns the status of a response that the sidecar makes itself.
func localStatus(rejected bool, remaining time.Duration) (trace.Status, int) {
	switch {
	case rejected:
		return trace.StatusRejected, http.StatusServiceUnavailable
	case remaining < minGatewayTimeLeft:
		return trace.StatusFailed, http.StatusGatewayTimeout
	}
	return trace.StatusFailed, http.StatusBadGateway
}
