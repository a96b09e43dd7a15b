package simulation

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// box is a server, its idle connections and what is at it.
type endpoint struct {
	model      *model.Endpoint
	nextWakeUp time.Duration // the earliest waking that is in the queue
	idle       []idleConns   // by sidecar, from 1 on; the first is that of the plain policy's clients
	absent     bool
	collapsed  bool
	hangFaults int // Hang faults that are on
	sidecar    int // beside it, for its calls; -1 is none
}

// attempt is one upstream request of a sidecar, or of a client of the plain policy.
type upstreamAttempt struct {
	clientAttempt   int
	number          int // of the try's
	previous        int // the try's attempt before this one; -1 is none
	endpoint        int
	connectionPool  int
	deadline        time.Duration
	sentAt          time.Duration
	endpointRequest int // -1 until it is there
	state           upstreamState
	newConnection   bool
	connectionID    uint64
	baggage         string // that it takes along
	budgetNumber    int    // in its try's account
	retriesBelow    budget.Tried
	done            bool
	duration        time.Duration // until its outcome; 0 while there is none
	status          balance.Status
	canceled        bool
}

type upstreamState uint8

const (
	connecting       upstreamState = iota
	awaitingResponse               // written, on an open connection
	finished                       // its connection is free or closed
)

// visit is what is kept of a visit beside its trace.
type endpointRequest struct {
	upstreamAttempt int
	visitNumber     int // of that id at that box
	deadline        time.Duration
	openCall        int // the try that is out for it; -1 is none
	finishedCalls   int // of it that have ended
	retriesBelow    budget.Tried
	done            bool
}

func (s *simulator) makeEndpoints() {
	s.endpointsByName = map[string]int{}
	keys := make([]*model.DedupStore, len(s.plan.Scenario.Tiers))
	for i := range s.plan.Endpoints {
		b := &s.plan.Endpoints[i]
		m := model.New(b.Spec, b.Seed)
		if keys[b.Tier] == nil {
			keys[b.Tier] = model.NewDedupStore(b.Spec.DedupWindow)
		}
		m.ShareDedup(keys[b.Tier])
		if b.Start == "cold" {
			m.Start(0, true)
		}
		s.endpoints = append(s.endpoints, endpoint{model: m, nextWakeUp: model.Never, idle: make([]idleConns, len(s.plan.Sidecars)+1),
			absent: b.Start == "absent", sidecar: -1})
		s.listed = append(s.listed, b.Start != "absent")
		s.endpointsByName[b.Name] = i
	}
	for i := range s.plan.Sidecars {
		if box := s.plan.Sidecars[i].Endpoint; box >= 0 {
			s.endpoints[box].sidecar = i
		}
	}
}

func (s *simulator) newUpstreamAttempt(i, box int, until time.Duration) int {
	t := &s.clientAttempts[i]
	k := len(s.upstreamAttempts)
	s.upstreamAttempts = append(s.upstreamAttempts, upstreamAttempt{clientAttempt: i, number: t.upstreamCount, previous: t.lastUpstream, endpoint: box, connectionPool: t.sidecar, deadline: until,
		sentAt: s.now, endpointRequest: -1})
	t.upstreamCount, t.lastUpstream = t.upstreamCount+1, k
	return k
}

// sendUpstream takes an idle connection or opens one, and sends.
func (s *simulator) sendUpstream(i, box int, until time.Duration, carried string, number int) {
	k := s.newUpstreamAttempt(i, box, until)
	s.upstreamAttempts[k].baggage, s.upstreamAttempts[k].budgetNumber = carried, number
	a, b := &s.upstreamAttempts[k], &s.endpoints[box]
	if s.sidecars != nil { // a client of the plain policy has its own time-out
		s.schedule(until, event{kind: eventUpstreamTimeout, index: int32(k)})
	}
	s.closeExpired(box, a.connectionPool)
	if idle := b.idle[a.connectionPool+1]; len(idle) > 0 {
		a.connectionID = idle[len(idle)-1].conn
		b.idle[a.connectionPool+1] = idle[:len(idle)-1]
		a.state = awaitingResponse
		s.schedule(s.now+s.delay, event{kind: eventRequestAtEndpoint, index: int32(k)})
		return
	}
	s.lastConnectionID++
	a.newConnection, a.connectionID = true, s.lastConnectionID
	switch {
	case b.absent || b.model.Phase(s.now) == model.Down:
		s.schedule(s.now+2*s.delay, event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(balance.ConnectFailed)})
	case b.model.Phase(s.now) == model.Unresponsive:
		s.schedule(s.now+s.plan.Scenario.Rules.ConnectTimeout.D(), event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(balance.ConnectFailed)})
	default:
		s.schedule(s.now+2*s.delay, event{kind: eventConnected, index: int32(k)})
	}
}

// connected is a connection's coming up, if the box takes it.
func (s *simulator) connectionOpened(k int) {
	a := &s.upstreamAttempts[k]
	if a.done {
		return
	}
	switch s.endpoints[a.endpoint].model.Connect(s.now) {
	case model.ConnectionAccepted:
		a.state = awaitingResponse
		s.schedule(s.now+s.delay, event{kind: eventRequestAtEndpoint, index: int32(k)})
	case model.ConnectionRefused:
		s.recordOutcome(k, balance.ConnectFailed)
	case model.ConnectionDropped:
		s.schedule(a.sentAt+s.plan.Scenario.Rules.ConnectTimeout.D(), event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(balance.ConnectFailed)})
	}
	s.advanceEndpoint(a.endpoint)
}

// requestArrives is a request's last byte at its box.
func (s *simulator) requestArrives(k int) {
	a := &s.upstreamAttempts[k]
	if a.state != awaitingResponse {
		return
	}
	b, t := &s.endpoints[a.endpoint], &s.log.ClientAttempts[a.clientAttempt]
	switch b.model.Phase(s.now) {
	case model.Unresponsive: // it goes nowhere; the time-out ends it
		return
	case model.Down:
		s.resetConnection(k)
		return
	}
	v := len(s.endpointRequests)
	number := 0
	for k := s.clientAttempts[a.clientAttempt].lastUpstream; k >= 0; k = s.upstreamAttempts[k].previous {
		if s.upstreamAttempts[k].endpoint == a.endpoint && s.upstreamAttempts[k].endpointRequest >= 0 {
			number++
		}
	}
	key := s.plan.Requests[t.Request].IdempotencyKey
	s.log.EndpointRequests = append(s.log.EndpointRequests, trace.EndpointRequest{TransactionID: t.TransactionID, Endpoint: a.endpoint, ConnectionID: uint64(k), FirstByte: s.now, LastByte: s.now,
		Started: trace.Unset, Ended: trace.Unset, IdempotencyKey: key})
	s.endpointRequests = append(s.endpointRequests, endpointRequest{upstreamAttempt: k, visitNumber: number, deadline: s.now + s.remainingTime(a), openCall: -1})
	a.endpointRequest = v
	s.segments = s.plan.Segments(s.segments[:0], t.Request, t.TransactionID, a.endpoint, number)
	b.model.Arrive(s.now, model.Job{ID: uint64(v) + 1, IdempotencyKey: key, Segments: s.segments, NewConnection: a.newConnection,
		Class: t.Class + 1, ConnectionID: a.connectionID})
	s.advanceEndpoint(a.endpoint)
	if a.canceled { // its caller gave it up while it was on its way
		s.cancelAtEndpoint(v)
	}
}

// told is how long an attempt's sender waits from now on, as it says.
func (s *simulator) remainingTime(a *upstreamAttempt) time.Duration {
	if a.baggage == "" {
		return a.deadline - s.now
	}
	return budget.Time(a.deadline-a.sentAt, 2*s.delay)
}

// wakeEndpoint is a box's own time to do something.
func (s *simulator) wakeEndpoint(i int) {
	if s.endpoints[i].nextWakeUp <= s.now {
		s.endpoints[i].nextWakeUp = model.Never
	}
	s.advanceEndpoint(i)
}

// act carries out what a box has done up to now, and has it woken when it next does something.
func (s *simulator) advanceEndpoint(i int) {
	b := &s.endpoints[i]
	from := len(s.modelEvents) // an effect may bring about others, of other boxes or of this one
	s.modelEvents = b.model.Advance(s.now, s.modelEvents)
	for k := from; k < len(s.modelEvents); k++ {
		e := s.modelEvents[k]
		s.applyModelEvent(i, &e)
	}
	s.modelEvents = s.modelEvents[:from]
	if next := b.model.NextEvent(); next < b.nextWakeUp {
		b.nextWakeUp = next
		s.schedule(next, event{kind: eventEndpointWakeUp, index: int32(i)})
	}
}

func (s *simulator) applyModelEvent(i int, e *model.Event) {
	b := &s.endpoints[i]
	if e.Kind == model.EventReset {
		s.resetEndpoint(i)
		return
	}
	v := int(e.Job) - 1
	l, state := &s.log.EndpointRequests[v], &s.endpointRequests[v]
	switch e.Kind {
	case model.EventStarted:
		l.Started, l.Deduplicated = e.At, e.Deduplicated
	case model.EventResponded:
		l.Work = e.Work
		s.finishRequest(v, e.At, responseOutcomes[e.Response])
		s.sendResponse(state.upstreamAttempt, e.Response)
	case model.EventLost:
		l.Work = e.Work
		end := trace.OutcomeCanceled
		if b.model.Phase(s.now) != model.Up || !s.upstreamAttempts[state.upstreamAttempt].canceled {
			end = trace.OutcomeLost
		}
		s.finishRequest(v, e.At, end)
	case model.EventCalling:
		s.callNextTier(i, v, e.Call)
	}
}

var responseOutcomes = [...]trace.Outcome{model.ResponseOK: trace.OutcomeOK, model.ResponseError: trace.OutcomeError, model.ResponseRejected: trace.OutcomeRejected,
	model.ResponseTruncated: trace.OutcomeCorrupted, model.ResponseCorrupted: trace.OutcomeCorrupted, model.ResponseTrickled: trace.OutcomeCorrupted}

func (s *simulator) finishRequest(v int, at time.Duration, end trace.Outcome) {
	if s.endpointRequests[v].done {
		return
	}
	s.endpointRequests[v].done = true
	s.log.EndpointRequests[v].Ended, s.log.EndpointRequests[v].Outcome = at, end
	s.cancelCall(v)
}

// cancelCall gives up the call that is out for a visit whose job is over.
func (s *simulator) cancelCall(v int) {
	if call := s.endpointRequests[v].openCall; call >= 0 && !s.clientAttempts[call].ended { // nobody needs it any more
		s.endpointRequests[v].openCall = -1
		s.clientAttempts[call].callerRequest = -1
		s.clientAttempts[call].ended = true
		s.log.ClientAttempts[call].Status, s.log.ClientAttempts[call].Ended = trace.StatusCanceled, s.now
		s.schedule(s.now+s.delay, event{kind: eventCancelAtSidecar, index: int32(call)})
	}
}

// respond is a box's answer on its way back.
func (s *simulator) sendResponse(k int, answer model.Response) {
	status, after, keep := balance.OK, s.delay, true
	switch answer {
	case model.ResponseError:
		status = balance.Error
	case model.ResponseRejected:
		status = balance.Full
	case model.ResponseTruncated:
		status, keep = balance.Reset, false
	case model.ResponseCorrupted:
		status, keep = balance.Error, false
	case model.ResponseTrickled:
		status, after, keep = balance.Error, s.delay+trickleTimeout, false
	}
	a := &s.upstreamAttempts[k]
	if a.state != awaitingResponse {
		return
	}
	a.retriesBelow = s.endpointRequests[a.endpointRequest].retriesBelow
	if !keep {
		s.releaseConnection(k, false)
	}
	s.schedule(s.now+after, event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(status)})
}

// release frees an attempt's connection for the next one, or closes it.
func (s *simulator) releaseConnection(k int, keep bool) {
	a := &s.upstreamAttempts[k]
	if a.state != awaitingResponse {
		return
	}
	a.state = finished
	b := &s.endpoints[a.endpoint]
	if keep && b.model.Phase(s.now) == model.Up && (a.connectionPool < 0 || s.sidecars[a.connectionPool].balancer != nil) {
		b.idle[a.connectionPool+1] = append(b.idle[a.connectionPool+1], idleConn{s.now, a.connectionID})
		return
	}
	b.model.Disconnect(s.now)
	s.advanceEndpoint(a.endpoint)
}

// settle is an attempt's outcome at its sidecar.
func (s *simulator) recordOutcome(k int, status balance.Status) {
	a := &s.upstreamAttempts[k]
	if a.done {
		return
	}
	a.done, a.duration, a.status = true, s.now-a.sentAt, status
	s.releaseConnection(k, true)
	i := a.clientAttempt
	t := &s.clientAttempts[i]
	won := status == balance.OK && !t.decided
	if t.budgetAccount != nil {
		s.sidecars[t.sidecar].accounts.Ended(t.budgetAccount, a.budgetNumber, a.retriesBelow)
	}
	if s.sidecars == nil {
		s.roundRobinOutcome(i, a.endpoint, status)
		return
	}
	c := &s.sidecars[t.sidecar]
	if c.balancer == nil || c.incarnation != t.incarnation {
		return
	}
	if won {
		c.pending--
		s.replyToClient(i, trace.StatusServed, 200, 0, a.endpoint)
	}
	s.decide(t.sidecar, &balance.Event{Kind: balance.EventOutcome, Request: balance.RequestID(i), Attempt: a.number,
		Closed: t.decided, Status: status, Final: a.retriesBelow.Told && status == balance.Error, Latency: s.now - a.sentAt})
}

// roundRobinOutcome is the answer that a client has straight from a box.
func (s *simulator) roundRobinOutcome(i, box int, status balance.Status) {
	switch status {
	case balance.OK:
		s.replyToClient(i, trace.StatusServed, 200, 0, box)
	case balance.Full:
		s.replyToClient(i, trace.StatusRejected, 503, 0, box)
	case balance.ConnectFailed:
		s.replyToClient(i, trace.StatusConnectFailed, 0, 0, -1)
	case balance.Error:
		s.replyToClient(i, trace.StatusFailed, 500, 0, box)
	case balance.Reset:
		s.replyToClient(i, trace.StatusDisconnected, 0, 0, -1)
	}
}

// upstreamTimesOut is the end of a sidecar's waiting for an attempt.
func (s *simulator) upstreamTimesOut(k int) {
	a := &s.upstreamAttempts[k]
	if a.done {
		return
	}
	status := balance.Timeout
	if a.state == connecting {
		status = balance.ConnectFailed
	}
	s.abortUpstream(k)
	s.recordOutcome(k, status)
}

// cancel withdraws an attempt.
func (s *simulator) cancelUpstream(k int) {
	a := &s.upstreamAttempts[k]
	if a.done || a.endpoint < 0 {
		return
	}
	s.abortUpstream(k)
	s.schedule(s.now, event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(balance.Cancelled)})
}

// abortUpstream closes an attempt's connection, which its box notices a little later.
func (s *simulator) abortUpstream(k int) {
	a := &s.upstreamAttempts[k]
	if a.state != awaitingResponse {
		return
	}
	a.canceled = true
	if a.endpointRequest >= 0 {
		s.schedule(s.now+s.delay, event{kind: eventCancelAtEndpoint, index: int32(a.endpointRequest)})
	}
	s.releaseConnection(k, false)
}

// abandonUpstream is an attempt whose sidecar has died.
func (s *simulator) abandonUpstream(k int) {
	if a := &s.upstreamAttempts[k]; !a.done && a.endpoint >= 0 {
		a.done = true
		s.abortUpstream(k)
	}
}

// withdrawn is a box's noticing that a caller has closed its connection.
func (s *simulator) cancelAtEndpoint(v int) {
	if s.endpointRequests[v].done {
		return
	}
	box := s.log.EndpointRequests[v].Endpoint
	s.endpoints[box].model.Cancel(s.now, uint64(v)+1)
	s.advanceEndpoint(box)
	if !s.endpointRequests[v].done { // the box works on, and so does its call
		s.endpointRequests[v].done = true
		s.log.EndpointRequests[v].Ended, s.log.EndpointRequests[v].Outcome = s.now, trace.OutcomeCanceled
	}
}

// resetConnection is an attempt whose connection breaks after the request was written.
func (s *simulator) resetConnection(k int) {
	a := &s.upstreamAttempts[k]
	if a.state != awaitingResponse {
		return
	}
	a.state = finished
	s.schedule(s.now+s.delay, event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(balance.Reset)})
}

// reset is the breaking of all of a box's connections.
func (s *simulator) resetEndpoint(i int) {
	b := &s.endpoints[i]
	for pool := range b.idle {
		b.idle[pool] = b.idle[pool][:0]
	}
	for k := len(s.upstreamAttempts) - 1; k >= 0 && s.upstreamAttempts[k].sentAt >= s.now-s.maxDeadline; k-- {
		if a := &s.upstreamAttempts[k]; a.endpoint == i && a.state == awaitingResponse && !a.done {
			s.resetConnection(k)
		}
	}
	if b.model.Load(s.now).Collapsed && !b.collapsed {
		b.collapsed = true
		s.listed[i] = false
		s.schedule(s.now+s.plan.Scenario.Discovery.RemoveDelay.D(), event{kind: eventDiscoveryNotices, index: int32(i)})
	}
}

// fell is discovery's noticing that a box has fallen over.
func (s *simulator) removeCollapsed(i int) {
	for c := range s.sidecars {
		if s.plan.Sidecars[c].Tier == s.plan.Endpoints[i].Tier {
			s.notify(c, plan.ListEntry{Endpoint: i, Phase: trace.PhaseGone})
		}
	}
}

// closeIdleConnections closes a sidecar's idle connections to a box.
func (s *simulator) closeIdleConnections(box, pool int) {
	b := &s.endpoints[box]
	for range b.idle[pool+1] {
		b.model.Disconnect(s.now)
	}
	b.idle[pool+1] = b.idle[pool+1][:0]
}

// callNextTier makes a box's call to the next tier, through its own sidecar.
func (s *simulator) callNextTier(i, v, call int) {
	l, state := &s.log.EndpointRequests[v], &s.endpointRequests[v]
	parent := &s.log.ClientAttempts[s.upstreamAttempts[state.upstreamAttempt].clientAttempt]
	left := state.deadline - s.now
	if !s.plan.Scenario.Rules.PropagatesDeadline {
		left = s.plan.Scenario.Classes[parent.Class].Deadline.D()
	}
	if left <= 0 || s.sidecars != nil && s.endpoints[i].sidecar < 0 {
		s.finishCall(v, false, budget.Tried{})
		return
	}
	t := trace.ClientAttempt{TransactionID: s.plan.CallTransactionID(l.TransactionID, i, state.visitNumber, call), Parent: l.TransactionID, Request: parent.Request, Tier: s.plan.Scenario.NextTierIndex(s.plan.Endpoints[i].Tier),
		Class: parent.Class, Due: s.now, Sent: s.now, Timeout: left, Ended: trace.Unset, Endpoint: -1, Sidecar: s.endpoints[i].sidecar}
	state.openCall = s.startAttempt(t, v)
	if s.plan.Scenario.Tiers[s.plan.Endpoints[i].Tier].Propagates == "all" {
		s.clientAttempts[state.openCall].baggage = s.upstreamAttempts[state.upstreamAttempt].baggage
	}
}

// returned is the end of a box's call.
func (s *simulator) finishCall(v int, ok bool, t budget.Tried) {
	box := s.log.EndpointRequests[v].Endpoint
	s.endpointRequests[v].openCall = -1
	if s.endpointRequests[v].finishedCalls++; s.endpointRequests[v].finishedCalls > 1 {
		t = s.endpointRequests[v].retriesBelow.And(t)
	}
	if s.plan.Scenario.Tiers[s.plan.Endpoints[box].Tier].Propagates == "all" {
		s.endpointRequests[v].retriesBelow = t
	}
	s.endpoints[box].model.CallReturned(s.now, uint64(v)+1, ok)
	s.advanceEndpoint(box)
}
