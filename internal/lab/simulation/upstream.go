package simulation

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// upstreamAttempt is one upstream request of a sidecar, or of a client with the plain policy.
type upstreamAttempt struct {
	clientAttempt   int
	number          int // among the client attempt's upstream attempts
	previous        int // the client attempt's upstream attempt before this one; -1 is none
	endpoint        int // -1: it was not sent
	connectionPool  int // the sidecar; -1 with the plain policy
	deadline        time.Duration
	sentAt          time.Duration
	endpointRequest int // -1 until it arrives
	state           upstreamState
	newConnection   bool
	connectionID    uint64
	baggage         string // header of the budgets that it carries
	budgetNumber    int    // in its client attempt's account
	retriesBelow    budget.AttemptReport
	done            bool
	duration        time.Duration // until its outcome; 0 while there is none
	status          balance.Status
	canceled        bool
}

type upstreamState uint8

const (
	connecting       upstreamState = iota
	awaitingResponse               // written, on an open connection
	finished                       // its connection is idle or closed
)

// newUpstreamAttempt returns the index of a new attempt; endpoint -1 is one that is not sent.
func (s *simulator) newUpstreamAttempt(attemptIndex, endpointIndex int, deadline time.Duration) int {
	attempt := &s.clientAttempts[attemptIndex]
	upstreamIndex := len(s.upstreamAttempts)
	s.upstreamAttempts = append(s.upstreamAttempts, upstreamAttempt{
		clientAttempt:   attemptIndex,
		number:          attempt.upstreamCount,
		previous:        attempt.lastUpstream,
		endpoint:        endpointIndex,
		connectionPool:  attempt.sidecar,
		deadline:        deadline,
		sentAt:          s.now,
		endpointRequest: -1,
	})
	attempt.upstreamCount, attempt.lastUpstream = attempt.upstreamCount+1, upstreamIndex
	return upstreamIndex
}

// sendUpstream sends an attempt, on an idle connection or a new one.
func (s *simulator) sendUpstream(attemptIndex, endpointIndex int, deadline time.Duration, baggage string, budgetNumber int) {
	upstreamIndex := s.newUpstreamAttempt(attemptIndex, endpointIndex, deadline)
	s.upstreamAttempts[upstreamIndex].baggage, s.upstreamAttempts[upstreamIndex].budgetNumber = baggage, budgetNumber
	upstream, target := &s.upstreamAttempts[upstreamIndex], &s.endpoints[endpointIndex]
	if s.sidecars != nil { // a client of the plain policy has its own time-out
		s.schedule(deadline, event{kind: eventUpstreamTimeout, index: int32(upstreamIndex)})
	}
	s.closeExpired(endpointIndex, upstream.connectionPool)
	if idle := target.idle[upstream.connectionPool+1]; len(idle) > 0 {
		upstream.connectionID = idle[len(idle)-1].id
		target.idle[upstream.connectionPool+1] = idle[:len(idle)-1]
		upstream.state = awaitingResponse
		s.schedule(s.now+s.delay, event{kind: eventRequestAtEndpoint, index: int32(upstreamIndex)})
		return
	}
	s.lastConnectionID++
	upstream.newConnection, upstream.connectionID = true, s.lastConnectionID
	switch {
	case target.absent || target.model.Phase(s.now) == model.Down:
		s.scheduleOutcome(s.now+2*s.delay, upstreamIndex, balance.ConnectFailed)
	case target.model.Phase(s.now) == model.Unresponsive:
		s.scheduleOutcome(s.now+s.plan.Scenario.Rules.ConnectTimeout.D(), upstreamIndex, balance.ConnectFailed)
	default:
		s.schedule(s.now+2*s.delay, event{kind: eventConnected, index: int32(upstreamIndex)})
	}
}

// connectionOpened is the end of a connect, if the endpoint accepts it.
func (s *simulator) connectionOpened(upstreamIndex int) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.done {
		return
	}
	switch s.endpoints[upstream.endpoint].model.Connect(s.now) {
	case model.ConnectionAccepted:
		upstream.state = awaitingResponse
		s.schedule(s.now+s.delay, event{kind: eventRequestAtEndpoint, index: int32(upstreamIndex)})
	case model.ConnectionRefused:
		s.recordOutcome(upstreamIndex, balance.ConnectFailed)
	case model.ConnectionDropped:
		s.scheduleOutcome(upstream.sentAt+s.plan.Scenario.Rules.ConnectTimeout.D(), upstreamIndex, balance.ConnectFailed)
	}
	s.advanceEndpoint(upstream.endpoint)
}

// recordOutcome is the end of an attempt at its sender.
func (s *simulator) recordOutcome(upstreamIndex int, status balance.Status) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.done {
		return
	}
	upstream.done, upstream.duration, upstream.status = true, s.now-upstream.sentAt, status
	s.releaseConnection(upstreamIndex, true)
	attemptIndex := upstream.clientAttempt
	attempt := &s.clientAttempts[attemptIndex]
	won := status == balance.OK && !attempt.decided
	if attempt.budgetAccount != nil {
		s.sidecars[attempt.sidecar].accounts.ReportAttempt(attempt.budgetAccount, upstream.budgetNumber, upstream.retriesBelow)
	}
	if s.sidecars == nil {
		s.roundRobinOutcome(attemptIndex, upstream.endpoint, status)
		return
	}
	c := &s.sidecars[attempt.sidecar]
	if c.balancer == nil || c.incarnation != attempt.incarnation {
		return
	}
	if won {
		c.pending--
		s.replyToClient(attemptIndex, trace.StatusServed, 200, 0, upstream.endpoint)
	}
	s.decide(attempt.sidecar, &balance.Event{
		Kind:         balance.EventOutcome,
		Request:      balance.RequestID(attemptIndex),
		Attempt:      upstream.number,
		Closed:       attempt.decided,
		Status:       status,
		RetriedBelow: upstream.retriesBelow.Known && status == balance.Error,
		Latency:      s.now - upstream.sentAt,
	})
}

// roundRobinOutcome gives a client the endpoint's response, with the plain policy.
func (s *simulator) roundRobinOutcome(attemptIndex, endpointIndex int, status balance.Status) {
	switch status {
	case balance.OK:
		s.replyToClient(attemptIndex, trace.StatusServed, 200, 0, endpointIndex)
	case balance.Rejected:
		s.replyToClient(attemptIndex, trace.StatusRejected, 503, 0, endpointIndex)
	case balance.ConnectFailed:
		s.replyToClient(attemptIndex, trace.StatusConnectFailed, 0, 0, -1)
	case balance.Error:
		s.replyToClient(attemptIndex, trace.StatusFailed, 500, 0, endpointIndex)
	case balance.Reset:
		s.replyToClient(attemptIndex, trace.StatusDisconnected, 0, 0, -1)
	}
}

// upstreamTimesOut is the time-out of an attempt at its sidecar.
func (s *simulator) upstreamTimesOut(upstreamIndex int) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.done {
		return
	}
	status := balance.Timeout
	if upstream.state == connecting {
		status = balance.ConnectFailed
	}
	s.abortUpstream(upstreamIndex)
	s.recordOutcome(upstreamIndex, status)
}

// cancelUpstream cancels an attempt.
func (s *simulator) cancelUpstream(upstreamIndex int) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.done || upstream.endpoint < 0 {
		return
	}
	s.abortUpstream(upstreamIndex)
	s.scheduleOutcome(s.now, upstreamIndex, balance.Cancelled)
}

// abortUpstream closes an attempt's connection, which its endpoint sees a little later.
func (s *simulator) abortUpstream(upstreamIndex int) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.state != awaitingResponse {
		return
	}
	upstream.canceled = true
	if upstream.endpointRequest >= 0 {
		s.schedule(s.now+s.delay, event{kind: eventCancelAtEndpoint, index: int32(upstream.endpointRequest)})
	}
	s.releaseConnection(upstreamIndex, false)
}

// abandonUpstream ends an attempt whose sidecar's process has ended.
func (s *simulator) abandonUpstream(upstreamIndex int) {
	if upstream := &s.upstreamAttempts[upstreamIndex]; !upstream.done && upstream.endpoint >= 0 {
		upstream.done = true
		s.abortUpstream(upstreamIndex)
	}
}

// resetConnection breaks the connection of an attempt that was written.
func (s *simulator) resetConnection(upstreamIndex int) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.state != awaitingResponse {
		return
	}
	upstream.state = finished
	s.scheduleOutcome(s.now+s.delay, upstreamIndex, balance.Reset)
}
