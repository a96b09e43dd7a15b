package simulation

import (
	"net/http"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// decide gives a sidecar's balancer an event and carries out its actions. What they cause comes back to the balancer only
// by way of the queue of events.
func (s *simulator) decide(sidecarIndex int, e *balance.Event) {
	c := &s.sidecars[sidecarIndex]
	if c.balancer == nil {
		return
	}
	c.actions = c.balancer.Handle(startTime+s.now, e, c.actions[:0])
	for i := range c.actions {
		a := c.actions[i]
		switch a.Kind {
		case balance.ActSend:
			s.startUpstream(c, &a)
		case balance.ActCancel:
			s.cancelNumbered(int(a.Request), a.Attempt)
		case balance.ActReject, balance.ActFail:
			s.replyLocally(int(a.Request), a.Kind == balance.ActReject, a.After)
		case balance.ActTimer:
			s.schedule(s.now+a.After, event{
				kind:     eventBalancerTimer,
				index:    int32(sidecarIndex),
				argument: int32(c.incarnation),
				token:    uint32(a.Token),
			})
		case balance.ActHealthCheck:
			s.healthCheck(c, a.Endpoint)
		case balance.ActCloseIdle:
			if endpointIndex, known := c.endpoints[a.Endpoint]; known {
				s.closeIdleConnections(endpointIndex, sidecarIndex)
			}
		}
	}
}

// cancelNumbered cancels an upstream attempt by its number.
func (s *simulator) cancelNumbered(attemptIndex, number int) {
	for i := s.clientAttempts[attemptIndex].lastUpstream; i >= 0; i = s.upstreamAttempts[i].previous {
		if s.upstreamAttempts[i].number == number {
			s.cancelUpstream(i)
		}
	}
}

// attemptArrives is the arrival of an attempt at its sidecar.
func (s *simulator) attemptArrives(attemptIndex int) {
	attempt, logged := &s.clientAttempts[attemptIndex], &s.log.ClientAttempts[attemptIndex]
	c := &s.sidecars[logged.Sidecar]
	if c.balancer == nil {
		s.replyToClient(attemptIndex, trace.StatusConnectFailed, 0, 0, -1)
		return
	}
	attempt.accepted, attempt.incarnation = true, c.incarnation
	c.pending++
	s.schedule(attempt.deadline+s.delay-watchdogLead, event{kind: eventWatchdog, index: int32(attemptIndex)})
	r := &s.plan.Requests[logged.Request]
	e := balance.Event{
		Kind:        balance.EventRequest,
		Request:     balance.RequestID(attemptIndex),
		Class:       logged.Class,
		Remaining:   logged.Timeout,
		ClientRetry: logged.Number > 0 || r.IsRetry && attempt.callerRequest < 0,
	}
	if c.accounts != nil {
		attempt.budgetAccount = c.accounts.Open(s.now, attempt.deadline, attempt.baggage, e.ClientRetry)
		if attempt.budgetAccount.Loop != nil {
			c.pending--
			s.replyToClient(attemptIndex, trace.StatusFailed, http.StatusLoopDetected, 0, -1)
			return
		}
		e.MaxAttempts, e.ValueShare = attempt.budgetAccount.MaxAttempts(), attempt.budgetAccount.ValueShare()
	}
	s.decide(logged.Sidecar, &e)
}

// closeAccount closes an attempt's account of budgets.
func (s *simulator) closeAccount(attemptIndex int, inTime bool) {
	attempt := &s.clientAttempts[attemptIndex]
	if account := attempt.budgetAccount; account != nil {
		attempt.budgetAccount = nil
		if c := &s.sidecars[attempt.sidecar]; c.incarnation == attempt.incarnation && c.accounts != nil {
			attempt.retriesBelow = c.accounts.Close(account, inTime)
		}
	}
}

// replyLocally sends a response that the sidecar makes itself.
func (s *simulator) replyLocally(attemptIndex int, rejected bool, retryAfter time.Duration) {
	attempt := &s.clientAttempts[attemptIndex]
	if attempt.decided {
		return
	}
	s.sidecars[attempt.sidecar].pending--
	status, code := localStatus(rejected, attempt.deadline-s.now)
	s.replyToClient(attemptIndex, status, code, retryAfter, -1)
}

// answerLateAttempt is the watchdog: it responds where the balancer has not decided in time.
func (s *simulator) answerLateAttempt(attemptIndex int) {
	attempt := &s.clientAttempts[attemptIndex]
	if c := &s.sidecars[attempt.sidecar]; attempt.decided || c.balancer == nil || c.incarnation != attempt.incarnation {
		return
	}
	sent := attempt.balancerSends > 0
	s.replyLocally(attemptIndex, !sent, 0)
	s.decide(attempt.sidecar, &balance.Event{Kind: balance.EventClientDisconnected, Request: balance.RequestID(attemptIndex)})
}

// cancelAtSidecar is a sidecar's seeing that its client has closed the connection.
func (s *simulator) cancelAtSidecar(attemptIndex int) {
	attempt := &s.clientAttempts[attemptIndex]
	if attempt.decided {
		return
	}
	attempt.decided, attempt.decidedAt, attempt.status = true, s.now, trace.StatusCanceled
	s.closeAccount(attemptIndex, false)
	if s.sidecars == nil {
		for upstreamIndex := attempt.lastUpstream; upstreamIndex >= 0; upstreamIndex = s.upstreamAttempts[upstreamIndex].previous {
			s.cancelUpstream(upstreamIndex)
		}
		return
	}
	if c := &s.sidecars[attempt.sidecar]; attempt.accepted && c.incarnation == attempt.incarnation && c.balancer != nil {
		c.pending--
		s.decide(attempt.sidecar, &balance.Event{Kind: balance.EventClientDisconnected, Request: balance.RequestID(attemptIndex)})
	}
}

// startUpstream starts an upstream attempt that the balancer asks for.
func (s *simulator) startUpstream(c *sidecar, action *balance.Action) {
	attemptIndex := int(action.Request)
	attempt := &s.clientAttempts[attemptIndex]
	endpointIndex, known := c.endpoints[action.Endpoint]
	deadline := s.now + action.After
	if attempt.decided || attempt.upstreamCount >= c.settings.MaxAttempts || !known {
		upstreamIndex := s.newUpstreamAttempt(attemptIndex, -1, deadline)
		s.scheduleOutcome(s.now, upstreamIndex, balance.NotSent)
		return
	}
	attempt.balancerSends++
	baggage, budgetNumber := "", 0
	if attempt.budgetAccount != nil {
		baggage, budgetNumber = c.accounts.NextAttempt(attempt.budgetAccount, action.ValueShare)
	}
	s.sendUpstream(attemptIndex, endpointIndex, deadline, baggage, budgetNumber)
}

// healthCheck checks an endpoint on a connection of its own, which costs no work here.
func (s *simulator) healthCheck(c *sidecar, id balance.EndpointID) {
	status, after := balance.ConnectFailed, 2*s.delay
	if endpointIndex, known := c.endpoints[id]; known {
		target := &s.endpoints[endpointIndex]
		switch phase := target.model.Phase(s.now); {
		case target.absent || phase == model.Down:
		case phase == model.Unresponsive:
			after = min(healthCheckTimeout, s.plan.Scenario.Rules.ConnectTimeout.D())
		case target.hangFaults > 0:
			status, after = balance.Timeout, healthCheckTimeout
		default:
			status = balance.OK
		}
	}
	s.schedule(s.now+after, event{
		kind:     eventHealthChecked,
		index:    int32(c.index),
		argument: int32(c.incarnation),
		token:    uint32(id),
		status:   uint8(status),
	})
}
