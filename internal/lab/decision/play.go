package decision

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Scheduler names what decides on the engine of a call.
type Scheduler string

// The schedulers.
const (
	Routers Scheduler = "routers" // the real placement module, one for each router, which announce to each other as the fleet does
	Ideal   Scheduler = "ideal"   // knows every engine's queue, streams and cache at each moment
	Random  Scheduler = "even"    // a uniformly random endpoint
)

// Network delays, in seconds.
const (
	clientDelay      = 4e-3  // from a client to a router and back, each way, with the router's own work
	endpointDelay    = 1e-3  // from a router to an endpoint and back, each way
	minAnnounceDelay = 2e-3  // until another router learns of a call
	maxBatchDelay    = 30e-3 // more, where announcements are batched
	batchingRouters  = 24    // number of routers above which announcements are batched
)

// Config configures one play.
type Config struct {
	Site      *Site
	Day       string
	Scheduler Scheduler
	Seed      uint64
}

// simulation is a play in virtual time. It runs on one goroutine.
type simulation struct {
	engineSpec *EngineSpec
	engines    []*engine
	routers    []*router
	engineByID map[string]int
	events     events
	now        float64
	random     *rand.Rand
	ideal      bool
	uniform    bool
}

// Play plays one day without faults. The same configuration gives the same result. An error names what the site lacks.
func Play(config Config) ([]Outcome, error) {
	service, err := config.Site.service()
	if err != nil {
		return nil, err
	}
	classes, _ := config.Site.classesOf(service)
	if len(classes) == 0 {
		return nil, fmt.Errorf("%s: no class is of %s, the service that has engines", config.Site.Name, service.Name)
	}
	calls, err := config.Site.calls(rand.New(rand.NewPCG(config.Seed, 1)), config.Day, service)
	if err != nil {
		return nil, err
	}
	w := newSimulation(&config, service)
	for _, c := range calls {
		w.schedule(c.sentAt+clientDelay, func() { w.arrive(c) })
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	return w.outcomes(classes, calls), nil
}

// newSimulation makes the engines and the routers of a site.
func newSimulation(c *Config, service *Service) *simulation {
	w := &simulation{
		engineSpec: service.Engine, engineByID: map[string]int{}, random: rand.New(rand.NewPCG(c.Seed, 2)),
		ideal: c.Scheduler == Ideal, uniform: c.Scheduler == Random,
	}
	var ready []registry.Endpoint
	for _, servers := range service.Servers {
		for range servers.Count {
			id := fmt.Sprintf("i-%08x", w.random.Uint32())
			w.engineByID[id] = len(w.engines)
			w.engines = append(w.engines, &engine{spec: service.Engine})
			ready = append(ready, registry.Endpoint{ID: id, Service: service.Name, Address: id, State: registry.Ready})
		}
	}
	for i := range c.Site.routers() {
		r := &router{placer: placement.New(rand.New(rand.NewPCG(c.Seed, uint64(i+3))))}
		r.placer.SetRouters(c.Site.routers())
		r.placer.SetEndpoints(ready)
		w.routers = append(w.routers, r)
	}
	return w
}

// schedule adds an event at a moment of virtual time, in seconds.
func (w *simulation) schedule(at float64, run func()) { heap.Push(&w.events, event{at, run}) }

// clock returns the virtual time as the placement module has it.
func (w *simulation) clock() time.Duration { return time.Duration(w.now * float64(time.Second)) }

// arrive has a call's router, or the scheduler, choose its engine.
func (w *simulation) arrive(c *call) {
	switch {
	case w.uniform:
		c.engine = w.random.IntN(len(w.engines))
		w.send(c, nil)
	case w.ideal:
		c.engine = w.idealEngine(c)
		w.send(c, nil)
	default:
		placed := w.routers[c.router].placer.Place(w.clock(), placementCall(c, w.engineSpec.Stride))
		c.engine = w.engineByID[placed.Endpoint.ID]
		w.announce(c, placed)
		w.send(c, placed)
	}
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// milliseconds converts a number of milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// send submits a call to its engine.
func (w *simulation) send(c *call, placed *placement.Placement) {
	w.schedule(w.now+endpointDelay, func() {
		e := w.engines[c.engine]
		sentAt := w.now - endpointDelay
		c.onFirstToken = func() { w.recordFirstToken(c, placed, sentAt) }
		c.onEnd = func() { w.recordEnd(c, placed) }
		e.submit(c)
		if e.stepEnd == 0 {
			w.startStep(e)
		}
	})
}

// startStep starts a step of an engine, and the next ones as long as it has work.
func (w *simulation) startStep(e *engine) {
	e.startStep(w.now)
	if e.stepEnd == 0 {
		return
	}
	w.schedule(e.stepEnd, func() {
		first, done := e.finishStep()
		for _, c := range first {
			c.onFirstToken()
		}
		for _, c := range done {
			c.onEnd()
		}
		w.startStep(e)
	})
}
