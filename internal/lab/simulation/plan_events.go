package simulation

import (
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
)

// applyPlanEvent carries out an event of the plan.
func (s *simulator) applyPlanEvent(e *plan.Event) error {
	switch e.Kind {
	case plan.StartFault:
		s.startFault(e)
	case plan.EndFault:
		s.endFault(e)
	case plan.StartEndpoint:
		s.endpoints[e.Endpoint].model.Start(s.now, true)
		s.endpoints[e.Endpoint].absent = false
		s.listed[e.Endpoint] = true
		s.advanceEndpoint(e.Endpoint)
	case plan.NotifySidecar:
		s.notify(e.Sidecar, e.Entry)
	case plan.StartSidecar:
		return s.restartSidecar(e.Sidecar)
	case plan.StopSidecar:
		s.stopSidecar(e.Sidecar)
	case plan.KillSidecar:
		s.killSidecar(e.Sidecar)
	case plan.UpgradeSidecar: // the balancer's state is handed over, and nothing else is simulated
	case plan.PauseSidecar:
		s.sidecars[e.Sidecar].pausedUntil = s.now + e.Duration
	case plan.SuspendDiscovery, plan.ResumeDiscovery:
		s.setDiscoverySuspended(e.Kind == plan.SuspendDiscovery)
	case plan.MoveDiscovery: // the new agent has the list of the old one
	}
	return nil
}

func (s *simulator) startFault(e *plan.Event) {
	target := &s.endpoints[e.Endpoint]
	if e.Fault.Kind == model.Hang {
		target.hangFaults++
	}
	target.model.StartFault(s.now, e.Fault)
	s.advanceEndpoint(e.Endpoint)
	if s.sidecars == nil && (e.Fault.Kind == model.Crash || e.Fault.Kind == model.Vanish) {
		s.listed[e.Endpoint] = false
	}
}

func (s *simulator) endFault(e *plan.Event) {
	target := &s.endpoints[e.Endpoint]
	if e.Fault.Kind == model.Hang {
		target.hangFaults--
	}
	target.model.EndFault(s.now, e.Fault.ID)
	s.advanceEndpoint(e.Endpoint)
	s.listed[e.Endpoint] = !target.collapsed
}
