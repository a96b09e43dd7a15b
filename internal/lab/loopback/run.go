package loopback

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	sampleInterval   = 100 * time.Millisecond
	progressInterval = 500 * time.Millisecond
	maxOverrun       = 2 * time.Second // beyond the longest deadline, for a client that should have ended by itself
)

// Play plays a plan in real time and returns what both ends saw, each list sorted by time. If ctx ends it
// breaks off in order and returns what there is with ctx's error. That a sidecar ends by itself is no error:
// the log tells it. Errors are those of the rig: no free addresses, a program that can't be started.
func Play(ctx context.Context, p *plan.Plan, o Options) (*trace.Log, error) {
	r := &run{plan: p, options: o, recorder: newRecorder(p)}
	life, end := context.WithCancel(ctx)
	defer end()
	r.ctx = life
	if err := r.setUp(ctx); err != nil {
		end()
		return r.tearDown(), err
	}
	r.play(ctx)
	r.recorder.log.Start = r.startOrNow()
	r.collectAudits()
	r.recorder.log.End = r.elapsed()
	end()
	r.fleet.shutDown(ctx.Err() != nil)
	return r.tearDown(), ctx.Err()
}

// open makes everything and starts what has to be there before the run.
func (r *run) setUp(ctx context.Context) (err error) {
	if r.addresses, err = newAddresses(); err != nil {
		return err
	}
	if r.transport, err = newTransport(r.plan, r.elapsed, r.addresses); err != nil {
		return err
	}
	if r.plan.Scenario.Fleet.Policy == "plain" {
		r.roundRobin = newRoundRobin(r.plan)
	}
	if r.fleet, err = newFleet(r); err != nil {
		return err
	}
	r.capacity.configure(r.plan)
	for i := range r.plan.Boxes {
		b, err := newEndpoint(r, i)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, b)
	}
	for i := range r.plan.Sidecars {
		a, err := newAgent(r, i, r.addresses.agent(i, 0))
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	if len(r.plan.Scenario.Audit) > 0 {
		if r.listService, err = newAgent(r, -1, r.addresses.listService()); err != nil {
			return err
		}
	}
	for i := range r.plan.Scenario.Audit {
		r.auditors = append(r.auditors, &auditor{run: r, plan: &r.plan.Scenario.Audit[i]})
	}
	r.replayer.run = r
	if err := r.setUpLinks(); err != nil {
		return err
	}
	return r.fleet.startInitial(ctx)
}

// play is the run itself, from the plan's time 0 until all that was asked is over.
func (r *run) play(ctx context.Context) {
	now := time.Now()
	r.startTime.Store(&now)
	for _, b := range r.endpoints {
		b.start()
	}
	length := r.plan.Scenario.Length.D()
	last := length
	for i := range r.plan.Requests {
		q := &r.plan.Requests[i]
		last = max(last, q.Due+q.Patience)
	}
	bounded, cancel := context.WithDeadline(ctx, now.Add(last+maxOverrun))
	defer cancel()
	beside, over := context.WithCancel(bounded)
	var tasks sync.WaitGroup
	tasks.Go(func() { r.runScript(beside) })
	tasks.Go(func() { r.atInterval(beside, sampleInterval, r.sampleEndpoints) })
	if r.options.Progress != nil {
		tasks.Go(func() { r.atInterval(beside, progressInterval, r.options.Progress) })
	}
	r.dispatchClients(bounded)
	r.waitUntil(bounded, length)
	over()
	tasks.Wait()
}

// each calls f at every full interval of the plan's time until ctx ends.
func (r *run) atInterval(ctx context.Context, interval time.Duration, f func(at time.Duration)) {
	for at := interval; r.waitUntil(ctx, at); at += interval {
		at = max(at, r.elapsed()/interval*interval) // those that were missed are left out
		f(r.elapsed())
	}
}

func (r *run) sampleEndpoints(at time.Duration) {
	all := make([]trace.Sample, len(r.endpoints))
	for i, b := range r.endpoints {
		all[i] = b.sample(at)
	}
	r.recorder.addSamples(all...)
}

// script carries out the plan's events, each in its time.
func (r *run) runScript(ctx context.Context) {
	moves := 0
	for _, e := range r.plan.Events {
		if !r.waitUntil(ctx, e.At) {
			return
		}
		switch e.Kind {
		case plan.BeginFault, plan.EndFault, plan.StartBox:
			r.endpoints[e.Box].applyEvent(r.elapsed(), e)
			r.updateRoundRobin(e)
		case plan.Tell:
			r.agentOf(e.Sidecar).update(e.Entry)
		case plan.StartSidecar:
			if err := r.fleet.start(e.Sidecar); err != nil {
				r.recordRigFailure(e.Sidecar, err)
			}
		case plan.StopSidecar:
			r.fleet.stop(e.Sidecar)
		case plan.UpgradeSidecar:
			if err := r.fleet.upgrade(e.Sidecar); err != nil {
				r.recordRigFailure(e.Sidecar, err)
			}
		case plan.KillSidecar:
			r.fleet.kill(e.Sidecar)
		case plan.PauseSidecar:
			r.fleet.signal(e.Sidecar, syscall.SIGSTOP)
			r.schedule(e.For, func() { r.fleet.signal(e.Sidecar, syscall.SIGCONT) })
		case plan.SilenceDiscovery, plan.ResumeDiscovery:
			for _, a := range r.agents {
				a.setUnresponsive(e.Kind == plan.SilenceDiscovery)
			}
		case plan.BeginList, plan.EndList:
			if err := r.agentOf(e.Sidecar).applyFault(e); err != nil {
				r.recordRigFailure(e.Sidecar, err)
			}
		case plan.BeginLink, plan.EndLink:
			r.applyLinkEvent(e)
		case plan.StartAuditor:
			if err := r.auditors[e.ID].start(); err != nil {
				r.recordRigFailure(-1, err)
			}
		case plan.KillAuditor:
			r.auditors[e.ID].signal(syscall.SIGKILL)
		case plan.PauseAuditor:
			r.auditors[e.ID].signal(syscall.SIGSTOP)
			r.schedule(e.For, func() { r.auditors[e.ID].signal(syscall.SIGCONT) })
		case plan.KeepOrder:
			r.replayer.save(e)
		case plan.PlayOrder:
			r.replayer.replay(e)
		case plan.MoveDiscovery:
			moves++
			r.moveDiscovery(moves)
		}
	}
}

// agent is a sidecar's, or with -1 the list service itself.
func (r *run) agentOf(sidecar int) *agent {
	if sidecar < 0 {
		return r.listService
	}
	return r.agents[sidecar]
}

// move has discovery's agents listen elsewhere and tells the sidecars where.
func (r *run) moveDiscovery(moves int) {
	for i, a := range r.agents {
		to := r.addresses.agent(i, moves)
		err := a.moveTo(to)
		if l := r.links[linkKey{"list", i, 0}]; l != nil {
			l.setTarget(to)
			continue
		}
		if err == nil {
			err = r.fleet.reload(i, to)
		}
		if err != nil {
			r.recordRigFailure(i, err)
		}
	}
}

// broken notes that the rig could not do to a sidecar what the script asks, which spoils the run as a crash does.
func (r *run) recordRigFailure(sidecar int, err error) {
	r.recorder.addSidecarEvent(trace.SidecarEvent{At: r.elapsed(), Sidecar: sidecar, Kind: trace.SidecarCrashed, Detail: err.Error()})
}

// rotate passes a box's coming and going on to the plain policy's list.
func (r *run) updateRoundRobin(e plan.Event) {
	if r.roundRobin == nil {
		return
	}
	if n, changes := r.roundRobin.applyEvent(e); changes {
		r.schedule(n.delay, func() { r.roundRobin.applyListChange(n) })
	}
}

// fell is a box that has fallen over for good: its sidecar ends with it, and after a while discovery tells
// those that send to it.
func (r *run) endpointCollapsed(box int) {
	r.schedule(0, func() {
		for i := range r.plan.Sidecars {
			if r.plan.Sidecars[i].Box == box {
				r.fleet.kill(i)
			}
		}
	})
	r.updateRoundRobin(plan.Event{Kind: plan.BeginFault, Box: box, Fault: model.Fault{Kind: model.Dead}})
	r.schedule(r.plan.Scenario.Discovery.Notice.D(), func() {
		if r.listService != nil && r.plan.Boxes[box].Tier == 0 {
			r.listService.update(plan.Listed{Box: box, Phase: trace.PhaseGone})
		}
		for i := range r.plan.Sidecars {
			if r.plan.Sidecars[i].Tier == r.plan.Boxes[box].Tier {
				r.agents[i].update(plan.Listed{Box: box, Phase: trace.PhaseGone})
			}
		}
	})
}

// after has f called in a while, unless the run is over by then.
func (r *run) schedule(d time.Duration, f func()) {
	at := r.elapsed() + d
	r.scheduled.Go(func() {
		if r.waitUntil(r.ctx, at) {
			f()
		}
	})
}

// close ends what is left of the run, whatever of it was opened, and returns its log.
func (r *run) tearDown() *trace.Log {
	var usage []trace.Usage
	for _, a := range r.auditors { // where the run was broken off, some still run
		a.signal(syscall.SIGKILL)
		a.wait()
	}
	if r.fleet != nil {
		usage = r.fleet.close()
	}
	for _, l := range r.links {
		l.close()
	}
	for _, a := range r.agents {
		a.close()
	}
	if r.listService != nil {
		r.listService.close()
	}
	for _, b := range r.endpoints {
		b.close()
	}
	r.scheduled.Wait()
	twice := map[uint64]bool{}
	if r.transport != nil {
		for _, txn := range r.transport.close() {
			twice[txn] = true
		}
	}
	if r.addresses != nil {
		r.addresses.close()
	}
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	log := &r.recorder.log
	log.Usage = usage
	for i := range log.ClientAttempts {
		if twice[log.ClientAttempts[i].TransactionID] {
			log.ClientAttempts[i].Responses++
		}
	}
	sortLog(log)
	return log
}

func sortLog(l *trace.Log) {
	slices.SortStableFunc(l.ClientAttempts, func(a, b trace.ClientAttempt) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Number, b.Number))
	})
	slices.SortStableFunc(l.EndpointRequests, func(a, b trace.EndpointRequest) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	slices.SortStableFunc(l.Notifications, func(a, b trace.Notification) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(l.Polls, func(a, b trace.DiscoveryPoll) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(l.Connections, func(a, b trace.Connection) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(l.SidecarEvents, func(a, b trace.SidecarEvent) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(l.Samples, func(a, b trace.Sample) int { return cmp.Compare(a.At, b.At) })
}
