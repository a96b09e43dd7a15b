package simulation

import (
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/trace"
)

// client is what is kept of one request's client.
type client struct {
	firstSent   time.Duration // when its first try was sent
	openAttempt int           // under way; -1 is none
	done        bool
}

// try is what is kept of a try beside its trace.
type clientAttempt struct {
	sidecar       int           // -1: straight to a box
	incarnation   int           // of that sidecar when it took the try
	deadline      time.Duration // the sidecar's
	callerRequest int           // visit that it is a call of; -1 is none
	balancerSends int           // attempts that the decisions asked for
	accepted      bool
	decided       bool          // the sidecar has given its final answer
	decidedAt     time.Duration // when it had
	ended         bool          // for the client
	status        trace.Status
	code          int
	retryAfter    time.Duration
	endpoint      int
	upstreamCount int // how many, and the last of them
	lastUpstream  int
	baggage       string          // that its caller passed on
	budgetAccount *budget.Account // at its sidecar, while it keeps accounts
	retriesBelow  budget.Tried
}

// arrive is a client's sending of its next try. The first tries follow each other by the plan.
func (s *simulator) sendNextAttempt(request, no int) {
	r, c := &s.plan.Requests[request], &s.clients[request]
	if no == 0 {
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
	t := trace.ClientAttempt{TransactionID: s.plan.TransactionID(request, no), Request: request, Number: no, Class: r.Class, Due: r.Due, Sent: s.now,
		Timeout: s.plan.AttemptTimeout(request, s.now), Ended: trace.Unset, Endpoint: -1, Sidecar: -1}
	if s.sidecars != nil {
		t.Sidecar = s.plan.ChooseSidecar(request, no, func(i int) bool { return s.sidecars[i].admitted })
	}
	c.openAttempt = s.startAttempt(t, -1)
	if s.sidecars != nil && t.Sidecar < 0 {
		s.finishAttempt(c.openAttempt, trace.StatusConnectFailed)
	}
}

// send starts a try, of a client or of a box.
func (s *simulator) startAttempt(t trace.ClientAttempt, parent int) int {
	i := len(s.clientAttempts)
	s.log.ClientAttempts = append(s.log.ClientAttempts, t)
	s.clientAttempts = append(s.clientAttempts, clientAttempt{sidecar: t.Sidecar, callerRequest: parent, endpoint: -1, lastUpstream: -1, deadline: t.Sent + t.Timeout})
	if s.sidecars != nil && t.Sidecar < 0 {
		return i
	}
	// An answer is in time until the slack is over, as the judges count.
	s.scheduleTimeout(t.Sent+t.Timeout+s.plan.Scenario.Rules.ResponseSlack.D(), t.Class, event{kind: eventAttemptTimeout, index: int32(i)})
	if s.sidecars == nil {
		s.sendRoundRobin(i)
		return i
	}
	s.schedule(s.now+s.delay, event{kind: eventAttemptAtSidecar, index: int32(i)})
	return i
}

// sendRoundRobin has a client go straight to the next listed box.
func (s *simulator) sendRoundRobin(i int) {
	tier := s.log.ClientAttempts[i].Tier
	for range s.endpoints {
		s.roundRobin = (s.roundRobin + 1) % len(s.endpoints)
		if s.listed[s.roundRobin] && s.plan.Endpoints[s.roundRobin].Tier == tier {
			s.sendUpstream(i, s.roundRobin, s.clientAttempts[i].deadline, "", 0)
			return
		}
	}
	s.replyToClient(i, trace.StatusConnectFailed, 0, 0, -1)
}

// attemptTimesOut is the end of a client's patience with a try.
func (s *simulator) attemptTimesOut(i int) {
	if s.clientAttempts[i].ended {
		return
	}
	s.finishAttempt(i, trace.StatusTimedOut)
	s.schedule(s.now+s.delay, event{kind: eventCancelAtSidecar, index: int32(i)})
}

// leave is a client's going before its time is up.
func (s *simulator) clientCancels(request int) {
	c := &s.clients[request]
	if c.done {
		return
	}
	if c.openAttempt < 0 || s.clientAttempts[c.openAttempt].ended { // between two tries
		c.done = true
		s.unfinishedRequests--
		return
	}
	i := c.openAttempt
	s.finishAttempt(i, trace.StatusCanceled)
	s.schedule(s.now+s.delay, event{kind: eventCancelAtSidecar, index: int32(i)})
}

// reply is a final answer on its way to the client.
func (s *simulator) replyToClient(i int, status trace.Status, code int, advice time.Duration, box int) {
	t := &s.clientAttempts[i]
	if t.decided {
		return
	}
	t.decided, t.decidedAt, t.status, t.code, t.retryAfter, t.endpoint = true, s.now, status, code, advice, box
	s.closeAccount(i, status == trace.StatusServed && s.now <= s.log.ClientAttempts[i].Sent+s.plan.Scenario.Classes[s.log.ClientAttempts[i].Class].TargetLatency.D())
	s.schedule(s.now+s.delay, event{kind: eventResponseAtClient, index: int32(i)})
}

// answered is a final answer's arrival.
func (s *simulator) deliverResponse(i int) {
	t, l := &s.clientAttempts[i], &s.log.ClientAttempts[i]
	if t.ended {
		return
	}
	l.Code, l.RetryAfter, l.Endpoint, l.ReportedAttempts = t.code, t.retryAfter, t.endpoint, t.retriesBelow
	if t.code > 0 {
		l.Responses = 1
	}
	s.finishAttempt(i, t.status)
}

// finishAttempt is the end of a try for its client, which may try again; or for the box that made the call.
func (s *simulator) finishAttempt(i int, status trace.Status) {
	t, l := &s.clientAttempts[i], &s.log.ClientAttempts[i]
	if t.ended {
		return
	}
	t.ended = true
	l.Status, l.Ended = status, s.now
	if t.callerRequest >= 0 {
		s.finishCall(t.callerRequest, status == trace.StatusServed, l.ReportedAttempts)
		return
	}
	c := &s.clients[l.Request]
	at, again := s.plan.NextRetry(l, c.firstSent)
	if r := &s.plan.Requests[l.Request]; r.CancelAfter > 0 && at >= r.Due+r.CancelAfter && again {
		at, again = 0, false
	}
	if again {
		s.schedule(at, event{kind: eventClientSends, index: int32(l.Request), argument: int32(l.Number + 1)})
		return
	}
	c.done = true
	s.unfinishedRequests--
}

// localStatus is HTTP's status of an answer that the sidecar words itself.
func localStatus(refused bool, left time.Duration) (trace.Status, int) {
	switch {
	case refused:
		return trace.StatusRejected, http.StatusServiceUnavailable
	case left < 50*time.Millisecond:
		return trace.StatusFailed, http.StatusGatewayTimeout
	}
	return trace.StatusFailed, http.StatusBadGateway
}
