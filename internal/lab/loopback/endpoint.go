package loopback

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// endpoint is an emulated upstream host: the server model behind a listening socket. The effects of the model are applied under
// the lock as soon as they are known; what takes time, such as writing and calls to the next tier, runs in goroutines.
type endpoint struct {
	run         *run
	index       int
	plan        *plan.Endpoint
	tier        *tier
	codec       endpointCodec
	idleTimeout time.Duration // after which a connection is closed
	listener    *faultListener
	send        func(context.Context, clientRequest) trace.ClientAttempt // makes a call to the next tier
	onCollapse  func()                                                   // called once, when the model has collapsed

	ctx        context.Context // ends with close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	timer      *time.Timer // fires at the model's next event

	mu               sync.Locker // the tier's if its models share idempotency keys
	model            *model.Endpoint
	effects          []model.Event // buffer of advance
	timerAt          time.Duration // when the timer fires; model.Never if it is stopped
	random           *rand.Rand    // how responses go wrong
	connections      map[*serverConn]struct{}
	lastConnectionID uint64
	requests         map[uint64]*endpointRequest // that the model has, by job id
	requestCounts    map[uint64]int              // requests so far, by transaction id
	lastJobID        uint64
	absent           bool
	refuseFaults     int // RefuseConns faults in force
	collapsed        bool
	closed           bool
}

// newEndpoint makes the plan's endpoint of that index. It listens from now on, unless the plan has it absent at first.
func newEndpoint(r *run, index int) (*endpoint, error) {
	spec := &r.plan.Endpoints[index]
	e := &endpoint{
		run:           r,
		index:         index,
		plan:          spec,
		tier:          r.tierState(spec.Tier),
		codec:         newEndpointCodec(r.plan),
		idleTimeout:   r.plan.Scenario.Rules.ConnIdleTimeout.D(),
		mu:            new(sync.Mutex),
		model:         model.New(spec.Spec, spec.Seed),
		timerAt:       model.Never,
		random:        rand.New(rand.NewPCG(spec.Seed, 1)),
		connections:   map[*serverConn]struct{}{},
		requests:      map[uint64]*endpointRequest{},
		requestCounts: map[uint64]int{},
		absent:        spec.Start == "absent",
	}
	e.send = func(ctx context.Context, request clientRequest) trace.ClientAttempt {
		return r.transport.roundTrip(ctx, request)
	}
	e.onCollapse = func() { r.endpointCollapsed(index) }
	if spec.Spec.DedupWindow > 0 {
		e.shareKeys()
	}
	state := stateAccepting
	if e.absent {
		state = stateRefusing
	}
	var err error
	if e.listener, err = newFaultListener(r.addresses.endpoint(index), state, e.accept); err != nil {
		return nil, err
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.timer = time.NewTimer(time.Hour)
	e.timer.Stop()
	e.goroutines.Go(e.runTimer)
	return e, nil
}

// shareKeys has the model share its idempotency keys with the others of its tier, and so their lock.
func (e *endpoint) shareKeys() {
	if e.tier.keys == nil {
		e.tier.keys = model.NewDedupStore(e.plan.Spec.DedupWindow)
	}
	e.model.ShareDedup(e.tier.keys)
	e.mu = &e.tier.mu
}

// address is where it listens.
func (e *endpoint) address() string { return e.listener.address }

// start is called at the start of the run's clock, which stood at 0 until then. An endpoint that is to start cold starts now; its
// start time in discovery's list was a guess so far.
func (e *endpoint) start() {
	cold := e.plan.Start == "cold"
	e.mu.Lock()
	if cold {
		e.model.Start(e.run.elapsed(), true)
	}
	e.advance()
	e.mu.Unlock()
	if !cold {
		return
	}
	for _, listed := range e.run.plan.InitialMembers(e.plan.Tier) {
		for i, a := range e.run.agents {
			if listed.Endpoint == e.index && e.run.plan.Sidecars[i].Tier == e.plan.Tier {
				a.update(listed)
			}
		}
	}
}

// applyEvent applies an event of the script that concerns this endpoint.
func (e *endpoint) applyEvent(now time.Duration, event plan.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	switch event.Kind {
	case plan.StartFault:
		e.model.StartFault(now, event.Fault)
		switch event.Fault.Kind {
		case model.Vanish:
			e.freeze()
		case model.RefuseConnections:
			e.refuseFaults++
		}
	case plan.EndFault:
		e.model.EndFault(now, event.Fault.ID)
		if event.Fault.Kind == model.RefuseConnections {
			e.refuseFaults--
		}
	case plan.StartEndpoint:
		e.absent = false
		e.model.Start(now, true)
	}
	e.advance()
	e.updateListener()
}

// sample returns the present state.
func (e *endpoint) sample(now time.Duration) trace.Sample {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.model.Load(now)
	e.advance()
	return trace.Sample{
		At:           now,
		Endpoint:     e.index,
		Running:      load.Running,
		Queued:       load.Queued,
		Connections:  load.Connections,
		Capacity:     load.Capacity,
		SentWork:     load.SentWork,
		PossibleWork: load.PossibleWork,
		DoneWork:     load.DoneWork,
		WarmingUp:    load.WarmingUp,
		Collapsed:    load.Collapsed,
	}
}

// close shuts it down, records the requests in flight and waits for all its goroutines.
func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	e.timer.Stop()
	for _, request := range e.requests {
		e.run.recorder.addEndpointRequest(request.EndpointRequest)
	}
	clear(e.requests)
	e.resetConnections()
	e.cancel()
	e.mu.Unlock()
	e.listener.close()
	e.goroutines.Wait()
}

// runTimer advances the model when its next event is due.
func (e *endpoint) runTimer() {
	for {
		select {
		case <-e.timer.C:
			e.mu.Lock()
			e.timerAt = model.Never
			e.advance()
			e.mu.Unlock()
		case <-e.ctx.Done():
			return
		}
	}
}

// advance applies the effects that the model has had by now, and sets the timer. The lock is held.
func (e *endpoint) advance() {
	if e.closed {
		return
	}
	now := e.run.elapsed()
	e.effects = e.model.Advance(now, e.effects[:0])
	reset := false
	for i := range e.effects {
		effect := &e.effects[i]
		if effect.Kind == model.EventReset {
			e.resetConnections()
			reset = true
			continue
		}
		e.applyEffect(effect)
	}
	if reset {
		e.updateListener()
		if !e.collapsed && e.model.Load(now).Collapsed {
			e.collapsed = true
			e.goroutines.Go(e.onCollapse)
		}
	}
	e.setTimer(now)
}

// setTimer sets the timer to the model's next event. Before the run's start the clock stands, and no timer runs. The lock is held.
func (e *endpoint) setTimer(now time.Duration) {
	next := e.model.NextEvent()
	if next == e.timerAt || e.run.startTime.Load() == nil {
		return
	}
	e.timerAt = next
	if next == model.Never {
		e.timer.Stop()
	} else {
		e.timer.Reset(next - now)
	}
}

// updateListener has new connections met as the present state demands. The lock is held.
func (e *endpoint) updateListener() {
	phase := e.model.Phase(e.run.elapsed())
	switch {
	case e.absent:
		e.listener.requestState(stateRefusing)
	case phase == model.Unresponsive:
		e.listener.requestState(stateBlackholed)
	case phase == model.Down, e.refuseFaults > 0:
		e.listener.requestState(stateRefusing)
	default:
		e.listener.requestState(stateAccepting)
	}
}
