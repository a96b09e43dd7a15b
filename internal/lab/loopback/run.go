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
	sampleEach   = 100 * time.Millisecond
	progressEach = 500 * time.Millisecond
	openAtMost   = 2 * time.Second // beyond the longest deadline, for a client that should have ended by itself
)

// Play plays a plan in real time and returns what both ends saw, each list sorted by time. If ctx ends it
// breaks off in order and returns what there is with ctx's error. That a sidecar ends by itself is no error:
// the log tells it. Errors are those of the rig: no free addresses, a program that can't be started.
func Play(ctx context.Context, p *plan.Plan, o Options) (*trace.Log, error) {
	r := &run{plan: p, opts: o, trace: newCollector(p)}
	life, end := context.WithCancel(ctx)
	defer end()
	r.life = life
	if err := r.open(ctx); err != nil {
		end()
		return r.close(), err
	}
	r.play(ctx)
	r.trace.log.Start = r.start()
	r.endAudits()
	r.trace.log.End = r.now()
	end()
	r.fleet.finish(ctx.Err() != nil)
	return r.close(), ctx.Err()
}

// open makes everything and starts what has to be there before the run.
func (r *run) open(ctx context.Context) (err error) {
	if r.net, err = newAddresses(); err != nil {
		return err
	}
	if r.callers, err = newCallers(r.plan, r.now, r.net); err != nil {
		return err
	}
	if r.plan.Scenario.Fleet.Policy == "plain" {
		r.rotation = newRotation(r.plan)
	}
	if r.fleet, err = newFleet(r); err != nil {
		return err
	}
	r.service.bound(r.plan)
	for i := range r.plan.Boxes {
		b, err := newBox(r, i)
		if err != nil {
			return err
		}
		r.boxes = append(r.boxes, b)
	}
	for i := range r.plan.Sidecars {
		a, err := newAgent(r, i, r.net.agent(i, 0))
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	if len(r.plan.Scenario.Audit) > 0 {
		if r.whole, err = newAgent(r, -1, r.net.list()); err != nil {
			return err
		}
	}
	for i := range r.plan.Scenario.Audit {
		r.auditors = append(r.auditors, &auditor{run: r, plan: &r.plan.Scenario.Audit[i]})
	}
	r.orders.run = r
	if err := r.openLinks(); err != nil {
		return err
	}
	return r.fleet.begin(ctx)
}

// play is the run itself, from the plan's time 0 until all that was asked is over.
func (r *run) play(ctx context.Context) {
	now := time.Now()
	r.began.Store(&now)
	for _, b := range r.boxes {
		b.begin()
	}
	length := r.plan.Scenario.Length.D()
	last := length
	for i := range r.plan.Requests {
		q := &r.plan.Requests[i]
		last = max(last, q.Due+q.Patience)
	}
	bounded, cancel := context.WithDeadline(ctx, now.Add(last+openAtMost))
	defer cancel()
	beside, over := context.WithCancel(bounded)
	var tasks sync.WaitGroup
	tasks.Go(func() { r.script(beside) })
	tasks.Go(func() { r.each(beside, sampleEach, r.sample) })
	if r.opts.Progress != nil {
		tasks.Go(func() { r.each(beside, progressEach, r.opts.Progress) })
	}
	r.clients(bounded)
	r.until(bounded, length)
	over()
	tasks.Wait()
}

// each calls f at every full interval of the plan's time until ctx ends.
func (r *run) each(ctx context.Context, interval time.Duration, f func(at time.Duration)) {
	for at := interval; r.until(ctx, at); at += interval {
		at = max(at, r.now()/interval*interval) // those that were missed are left out
		f(r.now())
	}
}

func (r *run) sample(at time.Duration) {
	all := make([]trace.Sample, len(r.boxes))
	for i, b := range r.boxes {
		all[i] = b.sample(at)
	}
	r.trace.sample(all...)
}

// script carries out the plan's events, each in its time.
func (r *run) script(ctx context.Context) {
	moves := 0
	for _, e := range r.plan.Events {
		if !r.until(ctx, e.At) {
			return
		}
		switch e.Kind {
		case plan.BeginFault, plan.EndFault, plan.StartBox:
			r.boxes[e.Box].event(r.now(), e)
			r.rotate(e)
		case plan.Tell:
			r.agent(e.Sidecar).tell(e.Entry)
		case plan.StartSidecar:
			if err := r.fleet.start(e.Sidecar); err != nil {
				r.broken(e.Sidecar, err)
			}
		case plan.StopSidecar:
			r.fleet.stop(e.Sidecar)
		case plan.UpgradeSidecar:
			if err := r.fleet.upgrade(e.Sidecar); err != nil {
				r.broken(e.Sidecar, err)
			}
		case plan.KillSidecar:
			r.fleet.kill(e.Sidecar)
		case plan.PauseSidecar:
			r.fleet.signal(e.Sidecar, syscall.SIGSTOP)
			r.after(e.For, func() { r.fleet.signal(e.Sidecar, syscall.SIGCONT) })
		case plan.SilenceDiscovery, plan.ResumeDiscovery:
			for _, a := range r.agents {
				a.silence(e.Kind == plan.SilenceDiscovery)
			}
		case plan.BeginList, plan.EndList:
			if err := r.agent(e.Sidecar).fault(e); err != nil {
				r.broken(e.Sidecar, err)
			}
		case plan.BeginLink, plan.EndLink:
			r.turnLinks(e)
		case plan.StartAuditor:
			if err := r.auditors[e.ID].start(); err != nil {
				r.broken(-1, err)
			}
		case plan.KillAuditor:
			r.auditors[e.ID].signal(syscall.SIGKILL)
		case plan.PauseAuditor:
			r.auditors[e.ID].signal(syscall.SIGSTOP)
			r.after(e.For, func() { r.auditors[e.ID].signal(syscall.SIGCONT) })
		case plan.KeepOrder:
			r.orders.keep(e)
		case plan.PlayOrder:
			r.orders.play(e)
		case plan.MoveDiscovery:
			moves++
			r.move(moves)
		}
	}
}

// agent is a sidecar's, or with -1 the list service itself.
func (r *run) agent(sidecar int) *agent {
	if sidecar < 0 {
		return r.whole
	}
	return r.agents[sidecar]
}

// move has discovery's agents listen elsewhere and tells the sidecars where.
func (r *run) move(moves int) {
	for i, a := range r.agents {
		to := r.net.agent(i, moves)
		err := a.move(to)
		if l := r.links[linkKey{"list", i, 0}]; l != nil {
			l.leads(to)
			continue
		}
		if err == nil {
			err = r.fleet.hup(i, to)
		}
		if err != nil {
			r.broken(i, err)
		}
	}
}

// broken notes that the rig could not do to a sidecar what the script asks, which spoils the run as a crash does.
func (r *run) broken(sidecar int, err error) {
	r.trace.change(trace.SidecarEvent{At: r.now(), Sidecar: sidecar, Kind: trace.SidecarCrashed, Detail: err.Error()})
}

// rotate passes a box's coming and going on to the plain policy's list.
func (r *run) rotate(e plan.Event) {
	if r.rotation == nil {
		return
	}
	if n, changes := r.rotation.event(e); changes {
		r.after(n.after, func() { r.rotation.notice(n) })
	}
}

// fell is a box that has fallen over for good: its sidecar ends with it, and after a while discovery tells
// those that send to it.
func (r *run) fell(box int) {
	r.after(0, func() {
		for i := range r.plan.Sidecars {
			if r.plan.Sidecars[i].Box == box {
				r.fleet.kill(i)
			}
		}
	})
	r.rotate(plan.Event{Kind: plan.BeginFault, Box: box, Fault: model.Fault{Kind: model.Dead}})
	r.after(r.plan.Scenario.Discovery.Notice.D(), func() {
		if r.whole != nil && r.plan.Boxes[box].Tier == 0 {
			r.whole.tell(plan.Listed{Box: box, Phase: trace.PhaseGone})
		}
		for i := range r.plan.Sidecars {
			if r.plan.Sidecars[i].Tier == r.plan.Boxes[box].Tier {
				r.agents[i].tell(plan.Listed{Box: box, Phase: trace.PhaseGone})
			}
		}
	})
}

// after has f called in a while, unless the run is over by then.
func (r *run) after(d time.Duration, f func()) {
	at := r.now() + d
	r.later.Go(func() {
		if r.until(r.life, at) {
			f()
		}
	})
}

// close ends what is left of the run, whatever of it was opened, and returns its log.
func (r *run) close() *trace.Log {
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
	if r.whole != nil {
		r.whole.close()
	}
	for _, b := range r.boxes {
		b.close()
	}
	r.later.Wait()
	twice := map[uint64]bool{}
	if r.callers != nil {
		for _, txn := range r.callers.close() {
			twice[txn] = true
		}
	}
	if r.net != nil {
		r.net.close()
	}
	r.trace.mu.Lock()
	defer r.trace.mu.Unlock()
	log := &r.trace.log
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
