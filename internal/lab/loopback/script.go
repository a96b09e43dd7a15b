package loopback

import (
	"context"
	"syscall"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// runScript applies the plan's events, each at its time, until ctx ends.
func (r *run) runScript(ctx context.Context) {
	moves := 0
	for _, event := range r.plan.Events {
		if !r.waitUntil(ctx, event.At) {
			return
		}
		switch event.Kind {
		case plan.StartFault, plan.EndFault, plan.StartEndpoint:
			r.endpoints[event.Endpoint].applyEvent(r.elapsed(), event)
			r.updateRoundRobin(event)
		case plan.StartSidecar, plan.StopSidecar, plan.UpgradeSidecar, plan.KillSidecar, plan.PauseSidecar:
			r.applySidecarEvent(event)
		case plan.MoveDiscovery:
			moves++
			r.moveDiscovery(moves)
		case plan.NotifySidecar, plan.SuspendDiscovery, plan.ResumeDiscovery, plan.StartListFault, plan.EndListFault:
			r.applyDiscoveryEvent(event)
		case plan.StartLinkFault, plan.EndLinkFault:
			r.applyLinkEvent(event)
		case plan.StartAuditor, plan.KillAuditor, plan.PauseAuditor:
			r.applyAuditorEvent(event)
		case plan.SaveOrder:
			r.replayer.save(event)
		case plan.ReplayOrder:
			r.replayer.replay(event)
		}
	}
}

// applySidecarEvent applies an event of the script that concerns a sidecar's process.
func (r *run) applySidecarEvent(event plan.Event) {
	s := r.fleet.sidecars[event.Sidecar]
	var err error
	switch event.Kind {
	case plan.StartSidecar:
		err = s.start()
	case plan.StopSidecar:
		s.stop()
	case plan.UpgradeSidecar:
		err = s.upgrade()
	case plan.KillSidecar:
		s.kill()
	case plan.PauseSidecar:
		s.signal(syscall.SIGSTOP)
		r.schedule(event.Duration, func() { s.signal(syscall.SIGCONT) })
	}
	if err != nil {
		r.recordRigFailure(event.Sidecar, err)
	}
}

// applyDiscoveryEvent applies an event of the script that concerns discovery, but for its moves.
func (r *run) applyDiscoveryEvent(event plan.Event) {
	switch event.Kind {
	case plan.NotifySidecar:
		r.agentOf(event.Sidecar).update(event.Entry)
	case plan.SuspendDiscovery, plan.ResumeDiscovery:
		for _, a := range r.agents {
			a.setUnresponsive(event.Kind == plan.SuspendDiscovery)
		}
	case plan.StartListFault, plan.EndListFault:
		if err := r.agentOf(event.Sidecar).applyFault(event); err != nil {
			r.recordRigFailure(event.Sidecar, err)
		}
	}
}

// applyAuditorEvent applies an event of the script that concerns an auditor's process.
func (r *run) applyAuditorEvent(event plan.Event) {
	a := r.auditors[event.ID]
	switch event.Kind {
	case plan.StartAuditor:
		if err := a.start(); err != nil {
			r.recordRigFailure(-1, err)
		}
	case plan.KillAuditor:
		a.signal(syscall.SIGKILL)
	case plan.PauseAuditor:
		a.signal(syscall.SIGSTOP)
		r.schedule(event.Duration, func() { a.signal(syscall.SIGCONT) })
	}
}

// agentOf is a sidecar's agent, or with -1 the list service itself.
func (r *run) agentOf(sidecar int) *agent {
	if sidecar < 0 {
		return r.listService
	}
	return r.agents[sidecar]
}

// moveDiscovery has discovery's agents listen at other addresses and tells the sidecars, by links or by a reload.
func (r *run) moveDiscovery(moves int) {
	for i, a := range r.agents {
		to := r.addresses.agent(i, moves)
		err := a.moveTo(to)
		if l := r.links[linkKey{"list", i, 0}]; l != nil {
			l.setTarget(to)
			continue
		}
		if err == nil {
			err = r.fleet.sidecars[i].reload(to)
		}
		if err != nil {
			r.recordRigFailure(i, err)
		}
	}
}

// recordRigFailure records that the rig could not do to a sidecar what the script asks, which spoils the run as a crash does.
func (r *run) recordRigFailure(sidecar int, err error) {
	r.recorder.addSidecarEvent(trace.SidecarEvent{At: r.elapsed(), Sidecar: sidecar, Kind: trace.SidecarCrashed, Detail: err.Error()})
}

// updateRoundRobin applies an endpoint's start or end to the plain policy's list, after the delay with which it is noticed.
func (r *run) updateRoundRobin(event plan.Event) {
	if r.roundRobin == nil {
		return
	}
	if change, changes := r.roundRobin.applyEvent(event); changes {
		r.schedule(change.delay, func() { r.roundRobin.applyListChange(change) })
	}
}
