package simulation

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// endpoint is an emulated upstream host and its idle connections.
type endpoint struct {
	model      *model.Endpoint
	nextWakeUp time.Duration // the earliest one that is scheduled
	idle       []idleConns   // of each sidecar, from index 1 on; the first is that of the plain policy's clients
	absent     bool
	collapsed  bool
	hangFaults int // active ones
	sidecar    int // beside it, for its calls; -1 is none
}

// responseOutcomes is the outcome of a request by the endpoint's response.
var responseOutcomes = [...]trace.Outcome{
	model.ResponseOK:        trace.OutcomeOK,
	model.ResponseError:     trace.OutcomeError,
	model.ResponseRejected:  trace.OutcomeRejected,
	model.ResponseTruncated: trace.OutcomeCorrupted,
	model.ResponseCorrupted: trace.OutcomeCorrupted,
	model.ResponseTrickled:  trace.OutcomeCorrupted,
}

func (s *simulator) makeEndpoints() {
	s.endpointsByName = map[string]int{}
	stores := make([]*model.DedupStore, len(s.plan.Scenario.Tiers))
	for i := range s.plan.Endpoints {
		planned := &s.plan.Endpoints[i]
		host := model.New(planned.Spec, planned.Seed)
		if stores[planned.Tier] == nil {
			stores[planned.Tier] = model.NewDedupStore(planned.Spec.DedupWindow)
		}
		host.ShareDedup(stores[planned.Tier])
		if planned.Start == "cold" {
			host.Start(0, true)
		}
		s.endpoints = append(s.endpoints, endpoint{
			model:      host,
			nextWakeUp: model.Never,
			idle:       make([]idleConns, len(s.plan.Sidecars)+1),
			absent:     planned.Start == "absent",
			sidecar:    -1,
		})
		s.listed = append(s.listed, planned.Start != "absent")
		s.endpointsByName[planned.Name] = i
	}
	for i := range s.plan.Sidecars {
		if endpointIndex := s.plan.Sidecars[i].Endpoint; endpointIndex >= 0 {
			s.endpoints[endpointIndex].sidecar = i
		}
	}
}

// wakeEndpoint advances an endpoint at a time of its own.
func (s *simulator) wakeEndpoint(endpointIndex int) {
	if s.endpoints[endpointIndex].nextWakeUp <= s.now {
		s.endpoints[endpointIndex].nextWakeUp = model.Never
	}
	s.advanceEndpoint(endpointIndex)
}

// advanceEndpoint carries out what an endpoint has done up to now, and schedules its next event.
func (s *simulator) advanceEndpoint(endpointIndex int) {
	target := &s.endpoints[endpointIndex]
	from := len(s.modelEvents) // an event may cause others, of this endpoint or another
	s.modelEvents = target.model.Advance(s.now, s.modelEvents)
	for k := from; k < len(s.modelEvents); k++ {
		e := s.modelEvents[k]
		s.applyModelEvent(endpointIndex, &e)
	}
	s.modelEvents = s.modelEvents[:from]
	if next := target.model.NextEvent(); next < target.nextWakeUp {
		target.nextWakeUp = next
		s.schedule(next, event{kind: eventEndpointWakeUp, index: int32(endpointIndex)})
	}
}

// applyModelEvent carries out an event of an endpoint's model.
func (s *simulator) applyModelEvent(endpointIndex int, e *model.Event) {
	target := &s.endpoints[endpointIndex]
	if e.Kind == model.EventReset {
		s.resetEndpoint(endpointIndex)
		return
	}
	requestIndex := int(e.Job) - 1
	logged, request := &s.log.EndpointRequests[requestIndex], &s.endpointRequests[requestIndex]
	switch e.Kind {
	case model.EventStarted:
		logged.Started, logged.Deduplicated = e.At, e.Deduplicated
	case model.EventResponded:
		logged.Work = e.Work
		s.finishRequest(requestIndex, e.At, responseOutcomes[e.Response])
		s.sendResponse(request.upstreamAttempt, e.Response)
	case model.EventLost:
		logged.Work = e.Work
		outcome := trace.OutcomeCanceled
		if target.model.Phase(s.now) != model.Up || !s.upstreamAttempts[request.upstreamAttempt].canceled {
			outcome = trace.OutcomeLost
		}
		s.finishRequest(requestIndex, e.At, outcome)
	case model.EventCalling:
		s.callNextTier(endpointIndex, requestIndex, e.Call)
	}
}

// resetEndpoint resets all connections of an endpoint.
func (s *simulator) resetEndpoint(endpointIndex int) {
	target := &s.endpoints[endpointIndex]
	for pool := range target.idle {
		target.idle[pool] = target.idle[pool][:0]
	}
	for i := len(s.upstreamAttempts) - 1; i >= 0 && s.upstreamAttempts[i].sentAt >= s.now-s.maxDeadline; i-- {
		if upstream := &s.upstreamAttempts[i]; upstream.endpoint == endpointIndex && upstream.state == awaitingResponse && !upstream.done {
			s.resetConnection(i)
		}
	}
	if target.model.Load(s.now).Collapsed && !target.collapsed {
		target.collapsed = true
		s.listed[endpointIndex] = false
		s.schedule(s.now+s.plan.Scenario.Discovery.RemoveDelay.D(), event{kind: eventDiscoveryNotices, index: int32(endpointIndex)})
	}
}

// removeCollapsed has discovery remove an endpoint that has collapsed.
func (s *simulator) removeCollapsed(endpointIndex int) {
	for sidecarIndex := range s.sidecars {
		if s.plan.Sidecars[sidecarIndex].Tier == s.plan.Endpoints[endpointIndex].Tier {
			s.notify(sidecarIndex, plan.ListEntry{Endpoint: endpointIndex, Phase: trace.PhaseGone})
		}
	}
}
