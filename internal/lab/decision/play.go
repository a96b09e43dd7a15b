package decision

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Scheduler is who decides.
type Scheduler string

// The schedulers.
const (
	Routers Scheduler = "routers" // the real placement, one a router, which tell each other as the fleet does
	Ideal   Scheduler = "ideal"   // one that knows every engine's queue, streams and kept parts at each moment
	Random    Scheduler = "even"    // a random endpoint
)

// Times between the parts, in seconds.
const (
	clientDelay   = 4e-3  // from a client to a router, with the router's own work, and the same back
	endpointDelay = 1e-3  // from a router to an endpoint, and the same back
	minAnnounceDelay   = 2e-3  // until another router hears of a call
	maxBatchDelay  = 30e-3 // more, where it is gathered meanwhile
	batchingRouters  = 24    // routers from which on announcements are gathered
)

// Config is one play.
type Config struct {
	Site      *Site
	Day       string
	Scheduler Scheduler
	Seed      uint64
}

// Outcome is what became of a class of calls.
type Outcome struct {
	Class      string
	Calls      int
	Impossible int     // late, and late alone with all shared parts kept
	LateFirst  int     // the first token came late for another reason
	Stalled  int     // a pause between events was too long
	MissedTokens     float64 // tokens of shared parts that had to be read, first readings included
}

// Late is the share of calls that are late.
func (k *Outcome) Late() float64 {
	return float64(k.Impossible+k.LateFirst+k.Stalled) / float64(max(1, k.Calls))
}

// event is something that happens at a moment.
type event struct {
	at  float64
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one play under way.
type simulation struct {
	engineSpec    *EngineSpec
	engines []*engine
	routers []*router
	engineByID  map[string]int
	events  events
	now     float64
	random  *rand.Rand
	ideal   bool
	uniform    bool
}

// router is one router's decision.
type router struct {
	placer *placement.Placer
	observation   *placement.Observation
	stall  *placement.Stall
}

// Play plays one day without faults. The same configuration gives the same result.
func Play(c Config) ([]Outcome, error) {
	service, err := c.Site.service()
	if err != nil {
		return nil, err
	}
	classes, err := c.Site.played(service)
	if err != nil {
		return nil, err
	}
	calls, err := c.Site.calls(rand.New(rand.NewPCG(c.Seed, 1)), c.Day, classes, service.Engine.Stride)
	if err != nil {
		return nil, err
	}
	w := newWorld(&c, service)
	for _, each := range calls {
		w.schedule(each.sentAt+clientDelay, func() { w.arrive(each) })
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	return w.outcomes(classes, calls), nil
}

func newWorld(c *Config, service *Service) *simulation {
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

func (w *simulation) schedule(at float64, run func()) { heap.Push(&w.events, event{at, run}) }

func (w *simulation) clock() time.Duration { return time.Duration(w.now * float64(time.Second)) }

// arrive has a call's router, or the scheduler, choose its endpoint.
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

// maxOutputFactor is how many times what is written a request says that may be.
const maxOutputFactor = 2

func placementCall(c *call, stride int) *placement.Call {
	prompt := placement.Prompt{
		Units: c.prompt, Output: maxOutputFactor * c.class.Stream.Pieces.Mean * float64(stride), Priority: c.class.Priority,
		MaxEventGap: milliseconds(c.class.Stream.GapAimMs),
	}
	end := 0.0
	for _, p := range c.parts[:len(c.parts)-1] {
		end += p.tokens
		prompt.Prefixes = append([]placement.Prefix{{Hash: uint32(p.id), Units: end}}, prompt.Prefixes...)
	}
	return &placement.Call{
		Service: c.class.Service, Target: milliseconds(c.class.TargetMs), Spent: milliseconds(1000 * clientDelay), Prompt: prompt,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// tell has the other routers hear of a call.
func (w *simulation) announce(c *call, placed *placement.Placement) {
	from := w.routers[c.router]
	seen, pause := from.observation, from.stall
	from.observation, from.stall = nil, nil
	at := w.now + minAnnounceDelay
	if len(w.routers) > batchingRouters {
		at += maxBatchDelay * w.random.Float64()
	}
	prompt := &placementCall(c, w.engineSpec.Stride).Prompt
	w.schedule(at, func() {
		for _, r := range w.routers {
			if r == from {
				continue
			}
			r.placer.RecordRemoteCall(w.clock(), placed.Endpoint.Name(), prompt, placed.Units)
			if seen != nil {
				r.placer.RecordRemoteFirstToken(w.clock(), seen)
			}
			if pause != nil {
				r.placer.RecordRemoteStall(pause)
			}
		}
	})
}

// send has an endpoint take a call.
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

// step begins a step of an engine.
func (w *simulation) startStep(e *engine) {
	e.startStep(w.now)
	if e.stepEnd == 0 {
		return
	}
	w.schedule(e.stepEnd, func() {
		first, over := e.finishStep()
		for _, c := range first {
			c.onFirstToken()
		}
		for _, c := range over {
			c.onEnd()
		}
		w.startStep(e)
	})
}

// first has a call's router learn from its first token.
func (w *simulation) recordFirstToken(c *call, placed *placement.Placement, sentAt float64) {
	if placed == nil {
		return
	}
	r := w.routers[c.router]
	seen := r.placer.RecordFirstToken(w.clock(), placed, time.Duration((w.now+endpointDelay-sentAt)*float64(time.Second)))
	r.observation = &seen
}

func (w *simulation) recordEnd(c *call, placed *placement.Placement) {
	if placed == nil {
		return
	}
	r := w.routers[c.router]
	if pause, ok := r.placer.RecordStreamEnd(w.clock(), placed, seconds(c.endAt-c.firstAt), seconds(c.maxStall)); ok {
		r.stall = &pause
	}
	r.placer.Release(placed)
}

// What the ideal scheduler counts, in calls that are late.
const (
	missCost = 1e-5 // a token of a shared part that is read
	delayCost  = 0.05 // an aim's time of delay
)

// best is the engine at which a call and those that run there lose least, by what the engines really hold.
func (w *simulation) idealEngine(c *call) int {
	best, least := 0, 0.0
	for i, e := range w.engines {
		kept := e.cache.cachedTokens(c)
		reading := e.spec.minFirstTokenTime(c.prompt, kept)
		delay := e.queuedWork(c.class.Priority) + reading
		aim := c.class.TargetMs*millisecond - 2*clientDelay - 2*endpointDelay
		loss := delayCost*delay/aim + missCost*(c.prompt-kept)
		if delay > 0.9*aim {
			loss++
		}
		loss += e.stalledStreams(c.prompt, kept)
		if i == 0 || loss < least {
			best, least = i, loss
		}
	}
	return best
}

// stalledStreams is how many streams of an engine would pause too long while a prompt is read.
func (e *engine) stalledStreams(prompt, kept float64) float64 {
	stride := min(float64(e.spec.Stride)*float64(e.spec.Chunk), prompt-kept)
	pause := (float64(e.spec.Stride)*e.spec.StepMs + e.spec.prefillMs(prompt-stride, stride))
	count := 0.0
	for _, s := range e.decoding {
		if pause > 0.9*s.call.class.Stream.GapAimMs && s.call.output-s.produced > e.spec.Stride {
			count++
		}
	}
	return count
}

// judge counts what became of the calls.
func (w *simulation) outcomes(classes []*Class, calls []*call) []Outcome {
	var kinds []Outcome
	for _, class := range classes {
		k := Outcome{Class: class.Name}
		for _, c := range calls {
			if c.class != class {
				continue
			}
			k.Calls++
			k.MissedTokens += c.missedTokens
			shared := c.prompt - c.parts[len(c.parts)-1].tokens
			aim := class.TargetMs * millisecond
			ways := 2*clientDelay + 2*endpointDelay
			switch {
			case w.engineSpec.minFirstTokenTime(c.prompt, shared)+ways > aim:
				k.Impossible++
			case c.firstAt-c.sentAt+clientDelay+endpointDelay > aim:
				k.LateFirst++
			case c.maxStall > class.Stream.GapAimMs*millisecond:
				k.Stalled++
			}
		}
		kinds = append(kinds, k)
	}
	return kinds
}
