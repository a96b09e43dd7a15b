// Package loopback plays a plan in real time on real sockets: the endpoints, discovery and the clients run in this process, the
// sidecars as processes of their own, all on loopback addresses (127.0.0.0/8). It returns the same trace as package simulation,
// which plays plans in virtual time.
//
// The package belongs to the test lab: only package experiment and tests call it, never the product. Its rig is as fast as the
// machine lets it be; trace.Log.Lateness shows by how much it was late. It is not pure: it needs a program to start, file
// descriptors, and Linux.
package loopback

import (
	"context"
	"sync"
	"sync/atomic"
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

// Options are what a run needs beside its plan.
type Options struct {
	Builds   [2]string              // paths of the sidecar's program and, for sidecars of build 1, of another; the second may be empty
	LogDir   string                 // for the log of each sidecar; a temporary directory if empty
	Progress func(at time.Duration) // called twice a second with the run's time; may be nil
}

// run is one play of a plan.
type run struct {
	plan      *plan.Plan
	options   Options
	startTime atomic.Pointer[time.Time] // of the plan's time 0; nil until the sidecars are ready
	addresses *addresses
	recorder  *recorder

	endpoints   []*endpoint
	tiers       []*tier  // grows as endpoints are made
	agents      []*agent // of discovery, one for each sidecar
	listService *agent   // the list service as auditors call it; nil without auditors
	capacity    serviceCapacity
	links       map[linkKey]*link
	fleet       *fleet
	transport   *transport

	auditors []*auditor // in the scenario's order
	replayer orderReplayer

	roundRobin *roundRobin     // of the plain policy; nil with sidecars
	ctx        context.Context // ends when the clients are done
	scheduled  sync.WaitGroup  // actions put off until a time of the plan
}

// Play plays a plan and returns its trace, each list sorted by time. If ctx ends it stops in order and returns what there is, with
// ctx's error. That a sidecar crashes is no error: the log has it. Errors are those of the rig: no free addresses, a program that
// can't be started.
func Play(ctx context.Context, p *plan.Plan, o Options) (*trace.Log, error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{plan: p, options: o, recorder: newRecorder(p), ctx: runCtx}
	if err := r.setUp(ctx); err != nil {
		cancel()
		return r.tearDown(), err
	}
	r.play(ctx)
	r.recorder.log.Start = r.startOrNow()
	r.collectAudits()
	r.recorder.log.End = r.elapsed()
	cancel()
	r.fleet.shutDown(ctx.Err() != nil)
	return r.tearDown(), ctx.Err()
}

// startOrNow is the wall-clock time of the plan's time 0. Sidecars are started, and learn of the endpoints, before that: until then
// it is the present.
func (r *run) startOrNow() time.Time {
	if start := r.startTime.Load(); start != nil {
		return *start
	}
	return time.Now()
}

// elapsed is the plan's time, 0 before the start.
func (r *run) elapsed() time.Duration {
	if start := r.startTime.Load(); start != nil {
		return time.Since(*start)
	}
	return 0
}

// setUp makes everything and starts what has to be there before the run.
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
	for i := range r.plan.Endpoints {
		e, err := newEndpoint(r, i)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
	}
	if err := r.setUpDiscovery(); err != nil {
		return err
	}
	for i := range r.plan.Scenario.Auditors {
		r.auditors = append(r.auditors, &auditor{run: r, plan: &r.plan.Scenario.Auditors[i]})
	}
	r.replayer.run = r
	if err := r.setUpLinks(); err != nil {
		return err
	}
	return r.fleet.startInitial(ctx)
}

// setUpDiscovery starts discovery's agents, and the list service if there are auditors.
func (r *run) setUpDiscovery() error {
	for i := range r.plan.Sidecars {
		a, err := newAgent(r, i, r.addresses.agent(i, 0))
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	if len(r.plan.Scenario.Auditors) == 0 {
		return nil
	}
	var err error
	r.listService, err = newAgent(r, -1, r.addresses.listService())
	return err
}

// play is the run itself, from the plan's time 0 until all requests are over.
func (r *run) play(ctx context.Context) {
	now := time.Now()
	r.startTime.Store(&now)
	for _, e := range r.endpoints {
		e.start()
	}
	length := r.plan.Scenario.Length.D()
	last := length
	for i := range r.plan.Requests {
		request := &r.plan.Requests[i]
		last = max(last, request.Due+request.Timeout)
	}
	bounded, cancel := context.WithDeadline(ctx, now.Add(last+maxOverrun))
	defer cancel()
	tasksCtx, stopTasks := context.WithCancel(bounded)
	var tasks sync.WaitGroup
	tasks.Go(func() { r.runScript(tasksCtx) })
	tasks.Go(func() { r.atInterval(tasksCtx, sampleInterval, r.sampleEndpoints) })
	if r.options.Progress != nil {
		tasks.Go(func() { r.atInterval(tasksCtx, progressInterval, r.options.Progress) })
	}
	r.dispatchClients(bounded)
	r.waitUntil(bounded, length)
	stopTasks()
	tasks.Wait()
}

// atInterval calls f at every full interval of the plan's time until ctx ends. Missed ones are left out.
func (r *run) atInterval(ctx context.Context, interval time.Duration, f func(at time.Duration)) {
	for at := interval; r.waitUntil(ctx, at); at += interval {
		at = max(at, r.elapsed()/interval*interval)
		f(r.elapsed())
	}
}

func (r *run) sampleEndpoints(at time.Duration) {
	samples := make([]trace.Sample, len(r.endpoints))
	for i, e := range r.endpoints {
		samples[i] = e.sample(at)
	}
	r.recorder.addSamples(samples...)
}

// waitUntil waits for a time of the plan; false if ctx ends first.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := at - r.elapsed()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return sleep(wait, ctx.Done(), nil)
}

// sleep waits for d; false if one of the channels, which may be nil, is closed first.
func sleep(d time.Duration, done, otherDone <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
	case <-otherDone:
	}
	return false
}

// schedule has f called after d in a goroutine of its own, unless the run is over by then.
func (r *run) schedule(d time.Duration, f func()) {
	at := r.elapsed() + d
	r.scheduled.Go(func() {
		if r.waitUntil(r.ctx, at) {
			f()
		}
	})
}

// endpointCollapsed is called when an endpoint has collapsed for good: its sidecar ends with it, and after a while discovery tells
// those that send to it.
func (r *run) endpointCollapsed(endpoint int) {
	r.schedule(0, func() {
		for i := range r.plan.Sidecars {
			if r.plan.Sidecars[i].Endpoint == endpoint {
				r.fleet.sidecars[i].kill()
			}
		}
	})
	r.updateRoundRobin(plan.Event{Kind: plan.StartFault, Endpoint: endpoint, Fault: model.Fault{Kind: model.Crash}})
	r.schedule(r.plan.Scenario.Discovery.RemoveDelay.D(), func() {
		removal := plan.ListEntry{Endpoint: endpoint, Phase: trace.PhaseGone}
		if r.listService != nil && r.plan.Endpoints[endpoint].Tier == 0 {
			r.listService.update(removal)
		}
		for i := range r.plan.Sidecars {
			if r.plan.Sidecars[i].Tier == r.plan.Endpoints[endpoint].Tier {
				r.agents[i].update(removal)
			}
		}
	})
}

// tearDown ends what is left of the run, whatever of it was set up, and returns its log.
func (r *run) tearDown() *trace.Log {
	for _, a := range r.auditors { // some still run if the run was cut short
		a.signal(syscall.SIGKILL)
		a.wait()
	}
	var usage []trace.Usage
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
	for _, e := range r.endpoints {
		e.close()
	}
	r.scheduled.Wait()
	var duplicates []uint64
	if r.transport != nil {
		duplicates = r.transport.close()
	}
	if r.addresses != nil {
		r.addresses.close()
	}
	return r.recorder.finish(usage, duplicates)
}
