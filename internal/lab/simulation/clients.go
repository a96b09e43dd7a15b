package simulation

import (
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/trace"
)

// client is what is kept of one request's client.
type client struct {
	first time.Duration // when its first try was sent
	try   int           // under way; -1 is none
	over  bool
}

// try is what is kept of a try beside its trace.
type try struct {
	sidecar  int           // -1: straight to a box
	life     int           // of that sidecar when it took the try
	deadline time.Duration // the sidecar's
	parent   int           // visit that it is a call of; -1 is none
	sent     int           // attempts that the decisions asked for
	taken    bool
	decided  bool          // the sidecar has given its final answer
	at       time.Duration // when it had
	ended    bool          // for the client
	result   trace.Status
	code     int
	advice   time.Duration
	box      int
	attempts int // how many, and the last of them
	attempt  int
	baggage  string          // that its caller passed on
	account  *budget.Account // at its sidecar, while it keeps accounts
	tried    budget.Tried
}

// arrive is a client's sending of its next try. The first tries follow each other by the plan.
func (s *sim) arrive(request, no int) {
	r, c := &s.p.Requests[request], &s.requests[request]
	if no == 0 {
		if next := request + 1; next < len(s.p.Requests) {
			s.at(s.p.Requests[next].Due, event{kind: evArrive, a: int32(next)})
		}
		c.first, c.try = s.now, -1
		if r.CancelAfter > 0 {
			s.at(r.Due+r.CancelAfter, event{kind: evLeave, a: int32(request)})
		}
	}
	if c.over {
		return
	}
	t := trace.ClientAttempt{TransactionID: s.p.TransactionID(request, no), Request: request, Number: no, Class: r.Class, Due: r.Due, Sent: s.now,
		Timeout: s.p.AttemptTimeout(request, s.now), Ended: trace.Unset, Endpoint: -1, Sidecar: -1}
	if s.sidecars != nil {
		t.Sidecar = s.p.ChooseSidecar(request, no, func(i int) bool { return s.sidecars[i].able })
	}
	c.try = s.send(t, -1)
	if s.sidecars != nil && t.Sidecar < 0 {
		s.endTry(c.try, trace.StatusConnectFailed)
	}
}

// send starts a try, of a client or of a box.
func (s *sim) send(t trace.ClientAttempt, parent int) int {
	i := len(s.tries)
	s.log.ClientAttempts = append(s.log.ClientAttempts, t)
	s.tries = append(s.tries, try{sidecar: t.Sidecar, parent: parent, box: -1, attempt: -1, deadline: t.Sent + t.Timeout})
	if s.sidecars != nil && t.Sidecar < 0 {
		return i
	}
	// An answer is in time until the slack is over, as the judges count.
	s.later(t.Sent+t.Timeout+s.p.Scenario.Rules.ResponseSlack.D(), t.Class, event{kind: evTryEnd, a: int32(i)})
	if s.sidecars == nil {
		s.plainSend(i)
		return i
	}
	s.at(s.now+s.delay, event{kind: evTryAtSidecar, a: int32(i)})
	return i
}

// plainSend has a client go straight to the next listed box.
func (s *sim) plainSend(i int) {
	tier := s.log.ClientAttempts[i].Tier
	for range s.boxes {
		s.round = (s.round + 1) % len(s.boxes)
		if s.listed[s.round] && s.p.Endpoints[s.round].Tier == tier {
			s.startAttempt(i, s.round, s.tries[i].deadline, "", 0)
			return
		}
	}
	s.reply(i, trace.StatusConnectFailed, 0, 0, -1)
}

// tryRunsOut is the end of a client's patience with a try.
func (s *sim) tryRunsOut(i int) {
	if s.tries[i].ended {
		return
	}
	s.endTry(i, trace.StatusTimedOut)
	s.at(s.now+s.delay, event{kind: evGone, a: int32(i)})
}

// leave is a client's going before its time is up.
func (s *sim) leave(request int) {
	c := &s.requests[request]
	if c.over {
		return
	}
	if c.try < 0 || s.tries[c.try].ended { // between two tries
		c.over = true
		s.open--
		return
	}
	i := c.try
	s.endTry(i, trace.StatusCanceled)
	s.at(s.now+s.delay, event{kind: evGone, a: int32(i)})
}

// reply is a final answer on its way to the client.
func (s *sim) reply(i int, status trace.Status, code int, advice time.Duration, box int) {
	t := &s.tries[i]
	if t.decided {
		return
	}
	t.decided, t.at, t.result, t.code, t.advice, t.box = true, s.now, status, code, advice, box
	s.closeAccount(i, status == trace.StatusServed && s.now <= s.log.ClientAttempts[i].Sent+s.p.Scenario.Classes[s.log.ClientAttempts[i].Class].TargetLatency.D())
	s.at(s.now+s.delay, event{kind: evAnswer, a: int32(i)})
}

// answered is a final answer's arrival.
func (s *sim) answered(i int) {
	t, l := &s.tries[i], &s.log.ClientAttempts[i]
	if t.ended {
		return
	}
	l.Code, l.RetryAfter, l.Endpoint, l.ReportedAttempts = t.code, t.advice, t.box, t.tried
	if t.code > 0 {
		l.Responses = 1
	}
	s.endTry(i, t.result)
}

// endTry is the end of a try for its client, which may try again; or for the box that made the call.
func (s *sim) endTry(i int, status trace.Status) {
	t, l := &s.tries[i], &s.log.ClientAttempts[i]
	if t.ended {
		return
	}
	t.ended = true
	l.Status, l.Ended = status, s.now
	if t.parent >= 0 {
		s.returned(t.parent, status == trace.StatusServed, l.ReportedAttempts)
		return
	}
	c := &s.requests[l.Request]
	at, again := s.p.NextRetry(l, c.first)
	if r := &s.p.Requests[l.Request]; r.CancelAfter > 0 && at >= r.Due+r.CancelAfter && again {
		at, again = 0, false
	}
	if again {
		s.at(at, event{kind: evArrive, a: int32(l.Request), b: int32(l.Number + 1)})
		return
	}
	c.over = true
	s.open--
}

// codeFor is HTTP's status of an answer that the sidecar words itself.
func codeFor(refused bool, left time.Duration) (trace.Status, int) {
	switch {
	case refused:
		return trace.StatusRejected, http.StatusServiceUnavailable
	case left < 50*time.Millisecond:
		return trace.StatusFailed, http.StatusGatewayTimeout
	}
	return trace.StatusFailed, http.StatusBadGateway
}
