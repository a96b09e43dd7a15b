// Package virtual plays a plan in virtual time: clients, network, discovery and boxes are models, and each
// sidecar is the decision module itself, driven as the engine drives it. One goroutine, one queue of events:
// the same plan gives the same trace, byte for byte.
//
// What it leaves out of a sidecar on sockets: the cost of its own work, its bounds on descriptors and bodies,
// and bytes that can't be read as such. Its connections, time-outs and watchdog are those of the program.
package simulation

import (
	"errors"
	"fmt"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	sampleEvery  = 100 * time.Millisecond
	startTakes   = 30 * time.Millisecond // from a sidecar's start to its being ready
	healthEvery  = 200 * time.Millisecond
	probeTimeout = 100 * time.Millisecond
	watchdogLead = 2 * time.Millisecond // as in the program
	idleShare    = 0.8                  // of conn_idle, as in the program
	tail         = time.Second
	dripCut      = 300 * time.Millisecond
	openLeast    = 900 * time.Millisecond // a planned end goes on listening for this long
	epoch        = 1_000_000 * time.Hour  // the Unix time at which a run starts
)

// kind is what an event is.
type kind uint8

const (
	evScript       kind = iota // a: index of the plan's event
	evArrive                   // a: request whose client sends its try number b
	evTryAtSidecar             // a: try
	evTryEnd                   // a: try: the client waits no longer
	evLeave                    // a: request: the client leaves
	evAnswer                   // a: try: the final answer is with its client
	evWatchdog                 // a: try
	evTimer                    // a: sidecar, b: its life; token
	evConnected                // a: attempt
	evVisit                    // a: attempt: its last byte is with the box
	evOutcome                  // a: attempt, b: status
	evTimeout                  // a: attempt
	evWithdraw                 // a: visit: the box sees that its caller has gone
	evBox                      // a: box: it has something to do by itself
	evGone                     // a: try: the sidecar sees that its client has gone
	evProbe                    // a: sidecar, b: its life; token: the host, x: status
	evAble                     // a: sidecar, b: life
	evFetch                    // a: sidecar, b: life
	evSample
	evEnded // a: sidecar, b: life: look whether a planned end is over
	evOut   // a: sidecar, b: life: the front sees that it is ending
	evFell  // a: box: discovery has noticed
)

type event struct {
	at    time.Duration
	seq   uint64
	token uint32
	a, b  int32
	x     uint8
	kind  kind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a heap of events, of four children a node: it is shallow, and most of its events are far off.
type queue []event

func (q *queue) push(e event) {
	h := append(*q, e)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
	*q = h
}

func (q *queue) pop() event {
	h := *q
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	*q = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		next := 4*i + 1
		if next >= len(h) {
			break
		}
		for k := next + 1; k < min(4*i+5, len(h)); k++ {
			if h[k].before(&h[next]) {
				next = k
			}
		}
		if !h[next].before(&last) {
			break
		}
		h[i] = h[next]
		i = next
	}
	h[i] = last
	return top
}

// lane is events of one kind that come in the order of their times, so that they need no heap. Most of them are
// ends of patience with tries that have ended long before.
type lane struct {
	events []event
	head   int
}

// sim is one play.
type sim struct {
	p       *plan.Plan
	log     trace.Log
	delay   time.Duration
	longest time.Duration // deadline of any class: nothing older is under way
	now     time.Duration
	seq     uint64
	queue   queue
	ends    []lane // of tries, by class

	boxes    []box
	byName   map[string]int
	sidecars []sidecar
	requests []client
	tries    []try // beside log.Tries
	attempts []attempt
	visits   []visit // beside log.Visits
	conns    uint64  // opened so far
	open     int     // tries of clients that have not ended, and requests that are still to come
	listed   []bool  // plain policy: whether clients send to a box
	round    int     // plain policy: whose turn it is
	effects  []model.Event
	segments []time.Duration
}

// Play plays a plan to its end.
func Play(p *plan.Plan) (*trace.Log, error) {
	if p.Scenario.NeedsProcesses() {
		return nil, errors.New("virtual: the scenario has a list service of bounded capacity, or faults of it or of links: they need processes, on sockets")
	}
	s := &sim{p: p, delay: p.Scenario.Network.Delay.D(), requests: make([]client, len(p.Requests))}
	s.log.ClientAttempts = make([]trace.ClientAttempt, 0, len(p.Requests)*5/4)
	s.log.EndpointRequests = make([]trace.EndpointRequest, 0, len(p.Requests)*5/4)
	s.tries = make([]try, 0, cap(s.log.ClientAttempts))
	s.attempts = make([]attempt, 0, cap(s.log.ClientAttempts))
	s.visits = make([]visit, 0, cap(s.log.ClientAttempts))
	for i := range p.Scenario.Classes {
		s.longest = max(s.longest, p.Scenario.Classes[i].Deadline.D())
	}
	s.ends = make([]lane, len(p.Scenario.Classes))
	s.makeBoxes()
	op, err := config.ParseOperator("fleet.operator", []byte(p.Scenario.Fleet.OperatorConfig))
	if err != nil {
		return nil, fmt.Errorf("virtual: %w", err)
	}
	for i := range p.Sidecars {
		set, err := config.ParseSettings(p.Settings(i))
		if err != nil {
			return nil, fmt.Errorf("virtual: %w", err)
		}
		if op.Fleet == nil || !op.Fleet.Numbered {
			set.Name = p.Sidecars[i].Name
		}
		op, err := config.ParseOperator("fleet.operator", []byte(p.Scenario.OperatorFile("127.0.0.1:1",
			p.Scenario.Tiers[p.Sidecars[i].Tier].Name, p.Sidecars[i].HasBudget)))
		if err != nil {
			return nil, fmt.Errorf("virtual: %w", err)
		}
		s.sidecars = append(s.sidecars, sidecar{index: i, set: set, budget: op.Budget, old: op.Discovery != nil && set.Instances > 1, agent: map[int]plan.ListEntry{}})
		for _, l := range p.InitialMembers(p.Sidecars[i].Tier) {
			s.sidecars[i].agent[l.Endpoint] = l
		}
		if p.Sidecars[i].StartAt < 0 && (p.Sidecars[i].Endpoint < 0 || p.Endpoints[p.Sidecars[i].Endpoint].Start != "absent") {
			if err := s.startSidecar(i); err != nil {
				return nil, err
			}
			s.sidecars[i].able = true
			s.change(i, trace.SidecarReady, "")
			s.fetched(i)
		}
	}
	for i := range p.Events {
		s.at(p.Events[i].At, event{kind: evScript, a: int32(i)})
	}
	if len(p.Requests) > 0 {
		s.at(p.Requests[0].Due, event{kind: evArrive})
	}
	s.open = len(p.Requests)
	s.at(0, event{kind: evSample})
	stop := model.Never // some time after the last client has its answer: copies may still be out
	for s.now < stop {
		e := s.next()
		s.now = e.at
		if err := s.handle(&e); err != nil {
			return nil, err
		}
		if s.open == 0 && s.now >= p.Scenario.Length.D() && stop == model.Never {
			stop = s.now + tail
		}
	}
	s.log.End = s.now
	s.seen()
	return &s.log, nil
}

// at has something happen then; never before now.
func (s *sim) at(at time.Duration, e event) {
	s.seq++
	e.at, e.seq = max(at, s.now), s.seq
	s.queue.push(e)
}

// later is at for the end of a class's try: it goes to the lane where that keeps its order.
func (s *sim) later(at time.Duration, class int, e event) {
	l := &s.ends[class]
	if n := len(l.events); n > l.head && l.events[n-1].at > at {
		s.at(at, e)
		return
	}
	s.seq++
	e.at, e.seq = at, s.seq
	l.events = append(l.events, e)
}

// next is the earliest event of the queue and the lanes.
func (s *sim) next() event {
	from := -1
	best := &s.queue[0] // never empty: samples are taken as long as the play lasts
	for i := range s.ends {
		l := &s.ends[i]
		for l.head < len(l.events) && s.tries[l.events[l.head].a].ended {
			l.head++
		}
		if l.head < len(l.events) && l.events[l.head].before(best) {
			best, from = &l.events[l.head], i
		}
	}
	if from < 0 {
		return s.queue.pop()
	}
	s.ends[from].head++
	return *best
}

func (s *sim) handle(e *event) error {
	i := int(e.a)
	if until := s.pausedFor(e); until > s.now {
		s.at(until, *e)
		return nil
	}
	switch e.kind {
	case evScript:
		return s.script(&s.p.Events[i])
	case evArrive:
		s.arrive(i, int(e.b))
	case evTryAtSidecar:
		s.tryArrives(i)
	case evTryEnd:
		s.tryRunsOut(i)
	case evLeave:
		s.leave(i)
	case evAnswer:
		s.answered(i)
	case evWatchdog:
		s.watchdog(i)
	case evTimer:
		if c := &s.sidecars[i]; c.life == int(e.b) && c.b != nil {
			s.decide(i, &balance.Event{Kind: balance.EventTimer, Token: balance.Token(e.token)})
		}
	case evConnected:
		s.connected(i)
	case evVisit:
		s.visitArrives(i)
	case evOutcome:
		s.settle(i, balance.Status(e.b))
	case evTimeout:
		s.timeOut(i)
	case evWithdraw:
		s.withdrawn(i)
	case evBox:
		s.boxWakes(i)
	case evGone:
		s.clientGone(i)
	case evProbe:
		if c := &s.sidecars[i]; c.life == int(e.b) && c.b != nil {
			s.decide(i, &balance.Event{Kind: balance.EventProbed, Endpoint: balance.EndpointID(e.token),
				Status: balance.Status(e.x), Latency: 2 * s.delay})
		}
	case evAble:
		if c := &s.sidecars[i]; c.life == int(e.b) && c.b != nil {
			c.able = true
			s.change(i, trace.SidecarReady, "")
		}
	case evFetch:
		if c := &s.sidecars[i]; c.life == int(e.b) && c.b != nil {
			s.fetched(i)
		}
	case evSample:
		s.sample()
	case evEnded:
		s.plannedEnd(i, int(e.b))
	case evOut:
		if c := &s.sidecars[i]; c.life == int(e.b) {
			c.able = false
		}
	case evFell:
		s.fell(i)
	}
	return nil
}

// pausedFor is until when the sidecar that an event is for does not run, so that it hears of nothing.
func (s *sim) pausedFor(e *event) time.Duration {
	i := -1
	switch e.kind {
	case evTryAtSidecar, evWatchdog, evGone:
		i = s.log.ClientAttempts[e.a].Sidecar
	case evOutcome, evTimeout:
		i = s.tries[s.attempts[e.a].try].sidecar
	case evTimer, evProbe, evFetch:
		i = int(e.a)
	case evScript:
		if p := &s.p.Events[e.a]; p.Kind == plan.NotifySidecar {
			i = p.Sidecar
		}
	}
	if i < 0 || s.sidecars == nil || s.sidecars[i].b == nil {
		return 0
	}
	return s.sidecars[i].paused
}

func (s *sim) change(sidecar int, what trace.SidecarEventKind, text string) {
	s.log.SidecarEvents = append(s.log.SidecarEvents, trace.SidecarEvent{At: s.now, Sidecar: sidecar, Kind: what, Detail: text})
}

// sample notes every box, closes connections that stood idle for too long, and comes again.
func (s *sim) sample() {
	for i := range s.boxes {
		b := &s.boxes[i]
		s.act(i)
		l := b.m.Load(s.now)
		s.log.Samples = append(s.log.Samples, trace.Sample{At: s.now, Endpoint: i, Running: l.Running, Queued: l.Queued,
			Connections: l.Connections, Capacity: l.Capacity, SentWork: l.SentWork, PossibleWork: l.PossibleWork, DoneWork: l.DoneWork, WarmingUp: l.WarmingUp, Collapsed: l.Collapsed})
		for pool := range b.idle {
			s.retire(i, pool-1)
		}
	}
	s.judge()
	s.at(s.now+sampleEvery, event{kind: evSample})
}

// script carries out one step of the plan's.
func (s *sim) script(e *plan.Event) error {
	switch e.Kind {
	case plan.StartFault:
		if e.Fault.Kind == model.Hang {
			s.boxes[e.Endpoint].hung++
		}
		s.boxes[e.Endpoint].m.StartFault(s.now, e.Fault)
		s.act(e.Endpoint)
		if s.sidecars == nil && (e.Fault.Kind == model.Crash || e.Fault.Kind == model.Vanish) {
			s.listed[e.Endpoint] = false
		}
	case plan.EndFault:
		if e.Fault.Kind == model.Hang {
			s.boxes[e.Endpoint].hung--
		}
		s.boxes[e.Endpoint].m.EndFault(s.now, e.Fault.ID)
		s.act(e.Endpoint)
		s.listed[e.Endpoint] = !s.boxes[e.Endpoint].fallen
	case plan.StartEndpoint:
		s.boxes[e.Endpoint].m.Start(s.now, true)
		s.boxes[e.Endpoint].absent = false
		s.listed[e.Endpoint] = true
		s.act(e.Endpoint)
	case plan.NotifySidecar:
		s.tell(e.Sidecar, e.Entry)
	case plan.StartSidecar:
		if s.sidecars[e.Sidecar].b == nil {
			if err := s.startSidecar(e.Sidecar); err != nil {
				return err
			}
			c := &s.sidecars[e.Sidecar]
			s.at(s.now+startTakes, event{kind: evAble, a: int32(e.Sidecar), b: int32(c.life)})
			s.at(s.now+startTakes, event{kind: evFetch, a: int32(e.Sidecar), b: int32(c.life)})
		}
	case plan.StopSidecar:
		s.stopSidecar(e.Sidecar)
	case plan.KillSidecar:
		s.killSidecar(e.Sidecar)
	case plan.UpgradeSidecar: // what the decisions know goes over, and nothing else is played
	case plan.PauseSidecar:
		s.sidecars[e.Sidecar].paused = s.now + e.Duration
	case plan.SuspendDiscovery, plan.ResumeDiscovery:
		s.silence(e.Kind == plan.SuspendDiscovery)
	case plan.MoveDiscovery: // the new agent tells what the old one told
	}
	return nil
}

// idleConns are connections and the times at which they came free, the last one last.
type idleConns []idleConn

type idleConn struct {
	since time.Duration
	conn  uint64
}

// retire closes the connections of a pool that have been idle for too long.
func (s *sim) retire(box, pool int) {
	b := &s.boxes[box]
	idle := b.idle[pool+1]
	most := time.Duration(idleShare * float64(s.p.Scenario.Rules.ConnIdleTimeout))
	old := 0
	for old < len(idle) && s.now-idle[old].since > most {
		b.m.Disconnect(s.now)
		old++
	}
	if old > 0 {
		b.idle[pool+1] = append(idle[:0], idle[old:]...)
	}
}
