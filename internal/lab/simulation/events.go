package simulation

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// eventKind is what happens at an event.
type eventKind uint8

// The kinds. Index is that of the object that is named first, in the simulator's slice of its kind; an argument that is
// an incarnation has the event ignored once the sidecar's process is another one.
const (
	eventFromPlan          eventKind = iota // the plan's event
	eventClientSends                        // client; argument: the number of the attempt that it sends
	eventAttemptAtSidecar                   // client attempt: it arrives
	eventAttemptTimeout                     // client attempt: its client aborts it
	eventClientCancels                      // client
	eventResponseAtClient                   // client attempt: the final response arrives
	eventWatchdog                           // client attempt
	eventBalancerTimer                      // sidecar; argument: incarnation; token: the balancer's
	eventConnected                          // upstream attempt
	eventRequestAtEndpoint                  // upstream attempt: its last byte arrives
	eventUpstreamOutcome                    // upstream attempt; argument: balance.Status
	eventUpstreamTimeout                    // upstream attempt
	eventCancelAtEndpoint                   // endpoint request: the endpoint sees that its caller has closed the connection
	eventEndpointWakeUp                     // endpoint: its model has an event
	eventCancelAtSidecar                    // client attempt: the sidecar sees that its client has closed the connection
	eventHealthChecked                      // sidecar; argument: incarnation; token: the endpoint's id; status: the result
	eventSidecarReady                       // sidecar; argument: incarnation
	eventFullList                           // sidecar; argument: incarnation: its fetch of the full list returns
	eventSample                             // of all endpoints and sidecars
	eventShutdownCheck                      // sidecar; argument: incarnation: whether its shutdown is done
	eventFrontNotices                       // sidecar; argument: incarnation: the front stops sending to it
	eventDiscoveryNotices                   // endpoint: discovery removes it as it has collapsed
)

// schedule adds an event, at the present time at the earliest.
func (s *simulator) schedule(at time.Duration, e event) {
	s.seq++
	e.at, e.seq = max(at, s.now), s.seq
	s.queue.push(e)
}

// scheduleOutcome schedules the outcome of an upstream attempt at its sender.
func (s *simulator) scheduleOutcome(at time.Duration, upstreamIndex int, status balance.Status) {
	s.schedule(at, event{kind: eventUpstreamOutcome, index: int32(upstreamIndex), argument: int32(status)})
}

// scheduleForSidecar schedules an event of a sidecar's present process.
func (s *simulator) scheduleForSidecar(at time.Duration, kind eventKind, c *sidecar) {
	s.schedule(at, event{kind: kind, index: int32(c.index), argument: int32(c.incarnation)})
}

// scheduleTimeout schedules the time-out of a class's attempt: among the ordered events where that keeps their order.
func (s *simulator) scheduleTimeout(at time.Duration, class int, e event) {
	timeouts := &s.attemptTimeouts[class]
	if n := len(timeouts.events); n > timeouts.head && timeouts.events[n-1].at > at {
		s.schedule(at, e)
		return
	}
	s.seq++
	e.at, e.seq = at, s.seq
	timeouts.events = append(timeouts.events, e)
}

// next removes the earliest event.
func (s *simulator) next() event {
	from := -1
	best := &s.queue[0] // never empty: the next sample is always scheduled
	for i := range s.attemptTimeouts {
		timeouts := &s.attemptTimeouts[i]
		for timeouts.head < len(timeouts.events) && s.clientAttempts[timeouts.events[timeouts.head].index].ended {
			timeouts.head++
		}
		if timeouts.head < len(timeouts.events) && timeouts.events[timeouts.head].before(best) {
			best, from = &timeouts.events[timeouts.head], i
		}
	}
	if from < 0 {
		return s.queue.pop()
	}
	s.attemptTimeouts[from].head++
	return *best
}

// handle carries out an event. What is for a paused sidecar waits until it continues.
func (s *simulator) handle(e *event) error {
	if until := s.pausedUntil(e); until > s.now {
		s.schedule(until, *e)
		return nil
	}
	index := int(e.index)
	switch e.kind {
	case eventFromPlan:
		return s.applyPlanEvent(&s.plan.Events[index])
	case eventClientSends:
		s.sendNextAttempt(index, int(e.argument))
	case eventAttemptAtSidecar:
		s.attemptArrives(index)
	case eventAttemptTimeout:
		s.attemptTimesOut(index)
	case eventClientCancels:
		s.clientCancels(index)
	case eventResponseAtClient:
		s.deliverResponse(index)
	case eventWatchdog:
		s.answerLateAttempt(index)
	case eventConnected:
		s.connectionOpened(index)
	case eventRequestAtEndpoint:
		s.requestArrives(index)
	case eventUpstreamOutcome:
		s.recordOutcome(index, balance.Status(e.argument))
	case eventUpstreamTimeout:
		s.upstreamTimesOut(index)
	case eventCancelAtEndpoint:
		s.cancelAtEndpoint(index)
	case eventEndpointWakeUp:
		s.wakeEndpoint(index)
	case eventCancelAtSidecar:
		s.cancelAtSidecar(index)
	case eventSample:
		s.takeSample()
	case eventDiscoveryNotices:
		s.removeCollapsed(index)
	default:
		s.handleSidecarEvent(e)
	}
	return nil
}

// handleSidecarEvent carries out an event of a sidecar's process, if that still runs.
func (s *simulator) handleSidecarEvent(e *event) {
	index := int(e.index)
	c := &s.sidecars[index]
	if c.incarnation != int(e.argument) {
		return
	}
	if e.kind == eventFrontNotices { // also after the process has exited
		c.admitted = false
		return
	}
	if c.balancer == nil {
		return
	}
	switch e.kind {
	case eventBalancerTimer:
		s.decide(index, &balance.Event{Kind: balance.EventTimer, Token: balance.Token(e.token)})
	case eventHealthChecked:
		s.decide(index, &balance.Event{Kind: balance.EventHealthChecked, Endpoint: balance.EndpointID(e.token),
			Status: balance.Status(e.status), Latency: 2 * s.delay})
	case eventSidecarReady:
		c.admitted = true
		s.recordSidecarEvent(index, trace.SidecarReady, "")
	case eventFullList:
		s.deliverFullList(index)
	case eventShutdownCheck:
		s.finishShutdown(index)
	}
}

// pausedUntil is until when the sidecar that an event is for is paused; 0 is not paused.
func (s *simulator) pausedUntil(e *event) time.Duration {
	sidecarIndex := -1
	switch e.kind {
	case eventAttemptAtSidecar, eventWatchdog, eventCancelAtSidecar:
		sidecarIndex = s.log.ClientAttempts[e.index].Sidecar
	case eventUpstreamOutcome, eventUpstreamTimeout:
		sidecarIndex = s.clientAttempts[s.upstreamAttempts[e.index].clientAttempt].sidecar
	case eventBalancerTimer, eventHealthChecked, eventFullList:
		sidecarIndex = int(e.index)
	case eventFromPlan:
		if planned := &s.plan.Events[e.index]; planned.Kind == plan.NotifySidecar {
			sidecarIndex = planned.Sidecar
		}
	}
	if sidecarIndex < 0 || s.sidecars == nil || s.sidecars[sidecarIndex].balancer == nil {
		return 0
	}
	return s.sidecars[sidecarIndex].pausedUntil
}
