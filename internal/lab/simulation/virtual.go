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
	sampleInterval      = 100 * time.Millisecond
	startDuration       = 30 * time.Millisecond // from a sidecar's start to its being ready
	frontHealthInterval = 200 * time.Millisecond
	healthCheckTimeout  = 100 * time.Millisecond
	watchdogLead        = 2 * time.Millisecond // as in the program
	idleTimeoutShare    = 0.8                  // of conn_idle, as in the program
	drainDuration       = time.Second
	trickleTimeout      = 300 * time.Millisecond
	minShutdownDuration = 900 * time.Millisecond // a planned end goes on listening for this long
	startTime           = 1_000_000 * time.Hour  // the Unix time at which a run starts
)

// kind is what an event is.
type eventKind uint8

const (
	eventFromPlan          eventKind = iota // a: index of the plan's event
	eventClientSends                        // a: request whose client sends its try number b
	eventAttemptAtSidecar                   // a: try
	eventAttemptTimeout                     // a: try: the client waits no longer
	eventClientCancels                      // a: request: the client leaves
	eventResponseAtClient                   // a: try: the final answer is with its client
	eventWatchdog                           // a: try
	eventBalancerTimer                      // a: sidecar, b: its life; token
	eventConnected                          // a: attempt
	eventRequestAtEndpoint                  // a: attempt: its last byte is with the box
	eventUpstreamOutcome                    // a: attempt, b: status
	eventUpstreamTimeout                    // a: attempt
	eventCancelAtEndpoint                   // a: visit: the box sees that its caller has gone
	eventEndpointWakeUp                     // a: box: it has something to do by itself
	eventCancelAtSidecar                    // a: try: the sidecar sees that its client has gone
	eventHealthChecked                      // a: sidecar, b: its life; token: the host, x: status
	eventSidecarReady                       // a: sidecar, b: life
	eventFullList                           // a: sidecar, b: life
	eventSample
	eventShutdownCheck    // a: sidecar, b: life: look whether a planned end is over
	eventFrontNotices     // a: sidecar, b: life: the front sees that it is ending
	eventDiscoveryNotices // a: box: discovery has noticed
)

type event struct {
	at              time.Duration
	seq             uint64
	token           uint32
	index, argument int32
	status          uint8
	kind            eventKind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a heap of events, of four children a node: it is shallow, and most of its events are far off.
type eventQueue []event

func (q *eventQueue) push(e event) {
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

func (q *eventQueue) pop() event {
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
type orderedEvents struct {
	events []event
	head   int
}

// sim is one play.
type simulator struct {
	plan            *plan.Plan
	log             trace.Log
	delay           time.Duration
	maxDeadline     time.Duration // deadline of any class: nothing older is under way
	now             time.Duration
	seq             uint64
	queue           eventQueue
	attemptTimeouts []orderedEvents // of tries, by class

	endpoints          []endpoint
	endpointsByName    map[string]int
	sidecars           []sidecar
	clients            []client
	clientAttempts     []clientAttempt // beside log.Tries
	upstreamAttempts   []upstreamAttempt
	endpointRequests   []endpointRequest // beside log.Visits
	lastConnectionID   uint64            // opened so far
	unfinishedRequests int               // tries of clients that have not ended, and requests that are still to come
	listed             []bool            // plain policy: whether clients send to a box
	roundRobin         int               // plain policy: whose turn it is
	modelEvents        []model.Event
	segments           []time.Duration
}

// Play plays a plan to its end.
func Play(p *plan.Plan) (*trace.Log, error) {
	if p.Scenario.NeedsProcesses() {
		return nil, errors.New("virtual: the scenario has a list service of bounded capacity, or faults of it or of links: they need processes, on sockets")
	}
	s := &simulator{plan: p, delay: p.Scenario.Network.Delay.D(), clients: make([]client, len(p.Requests))}
	s.log.ClientAttempts = make([]trace.ClientAttempt, 0, len(p.Requests)*5/4)
	s.log.EndpointRequests = make([]trace.EndpointRequest, 0, len(p.Requests)*5/4)
	s.clientAttempts = make([]clientAttempt, 0, cap(s.log.ClientAttempts))
	s.upstreamAttempts = make([]upstreamAttempt, 0, cap(s.log.ClientAttempts))
	s.endpointRequests = make([]endpointRequest, 0, cap(s.log.ClientAttempts))
	for i := range p.Scenario.Classes {
		s.maxDeadline = max(s.maxDeadline, p.Scenario.Classes[i].Deadline.D())
	}
	s.attemptTimeouts = make([]orderedEvents, len(p.Scenario.Classes))
	s.makeEndpoints()
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
		s.sidecars = append(s.sidecars, sidecar{index: i, settings: set, budget: op.Budget, cachedListMayBeOld: op.Discovery != nil && set.Instances > 1, agentList: map[int]plan.ListEntry{}})
		for _, l := range p.InitialMembers(p.Sidecars[i].Tier) {
			s.sidecars[i].agentList[l.Endpoint] = l
		}
		if p.Sidecars[i].StartAt < 0 && (p.Sidecars[i].Endpoint < 0 || p.Endpoints[p.Sidecars[i].Endpoint].Start != "absent") {
			if err := s.startSidecar(i); err != nil {
				return nil, err
			}
			s.sidecars[i].admitted = true
			s.recordSidecarEvent(i, trace.SidecarReady, "")
			s.deliverFullList(i)
		}
	}
	for i := range p.Events {
		s.schedule(p.Events[i].At, event{kind: eventFromPlan, index: int32(i)})
	}
	if len(p.Requests) > 0 {
		s.schedule(p.Requests[0].Due, event{kind: eventClientSends})
	}
	s.unfinishedRequests = len(p.Requests)
	s.schedule(0, event{kind: eventSample})
	stop := model.Never // some time after the last client has its answer: copies may still be out
	for s.now < stop {
		e := s.next()
		s.now = e.at
		if err := s.handle(&e); err != nil {
			return nil, err
		}
		if s.unfinishedRequests == 0 && s.now >= p.Scenario.Length.D() && stop == model.Never {
			stop = s.now + drainDuration
		}
	}
	s.log.End = s.now
	s.recordObservations()
	return &s.log, nil
}

// at has something happen then; never before now.
func (s *simulator) schedule(at time.Duration, e event) {
	s.seq++
	e.at, e.seq = max(at, s.now), s.seq
	s.queue.push(e)
}

// later is at for the end of a class's try: it goes to the lane where that keeps its order.
func (s *simulator) scheduleTimeout(at time.Duration, class int, e event) {
	l := &s.attemptTimeouts[class]
	if n := len(l.events); n > l.head && l.events[n-1].at > at {
		s.schedule(at, e)
		return
	}
	s.seq++
	e.at, e.seq = at, s.seq
	l.events = append(l.events, e)
}

// next is the earliest event of the queue and the lanes.
func (s *simulator) next() event {
	from := -1
	best := &s.queue[0] // never empty: samples are taken as long as the play lasts
	for i := range s.attemptTimeouts {
		l := &s.attemptTimeouts[i]
		for l.head < len(l.events) && s.clientAttempts[l.events[l.head].index].ended {
			l.head++
		}
		if l.head < len(l.events) && l.events[l.head].before(best) {
			best, from = &l.events[l.head], i
		}
	}
	if from < 0 {
		return s.queue.pop()
	}
	s.attemptTimeouts[from].head++
	return *best
}

func (s *simulator) handle(e *event) error {
	i := int(e.index)
	if until := s.pausedUntil(e); until > s.now {
		s.schedule(until, *e)
		return nil
	}
	switch e.kind {
	case eventFromPlan:
		return s.applyPlanEvent(&s.plan.Events[i])
	case eventClientSends:
		s.sendNextAttempt(i, int(e.argument))
	case eventAttemptAtSidecar:
		s.attemptArrives(i)
	case eventAttemptTimeout:
		s.attemptTimesOut(i)
	case eventClientCancels:
		s.clientCancels(i)
	case eventResponseAtClient:
		s.deliverResponse(i)
	case eventWatchdog:
		s.answerLateAttempt(i)
	case eventBalancerTimer:
		if c := &s.sidecars[i]; c.incarnation == int(e.argument) && c.balancer != nil {
			s.decide(i, &balance.Event{Kind: balance.EventTimer, Token: balance.Token(e.token)})
		}
	case eventConnected:
		s.connectionOpened(i)
	case eventRequestAtEndpoint:
		s.requestArrives(i)
	case eventUpstreamOutcome:
		s.recordOutcome(i, balance.Status(e.argument))
	case eventUpstreamTimeout:
		s.upstreamTimesOut(i)
	case eventCancelAtEndpoint:
		s.cancelAtEndpoint(i)
	case eventEndpointWakeUp:
		s.wakeEndpoint(i)
	case eventCancelAtSidecar:
		s.cancelAtSidecar(i)
	case eventHealthChecked:
		if c := &s.sidecars[i]; c.incarnation == int(e.argument) && c.balancer != nil {
			s.decide(i, &balance.Event{Kind: balance.EventProbed, Endpoint: balance.EndpointID(e.token),
				Status: balance.Status(e.status), Latency: 2 * s.delay})
		}
	case eventSidecarReady:
		if c := &s.sidecars[i]; c.incarnation == int(e.argument) && c.balancer != nil {
			c.admitted = true
			s.recordSidecarEvent(i, trace.SidecarReady, "")
		}
	case eventFullList:
		if c := &s.sidecars[i]; c.incarnation == int(e.argument) && c.balancer != nil {
			s.deliverFullList(i)
		}
	case eventSample:
		s.takeSample()
	case eventShutdownCheck:
		s.finishShutdown(i, int(e.argument))
	case eventFrontNotices:
		if c := &s.sidecars[i]; c.incarnation == int(e.argument) {
			c.admitted = false
		}
	case eventDiscoveryNotices:
		s.removeCollapsed(i)
	}
	return nil
}

// pausedUntil is until when the sidecar that an event is for does not run, so that it hears of nothing.
func (s *simulator) pausedUntil(e *event) time.Duration {
	i := -1
	switch e.kind {
	case eventAttemptAtSidecar, eventWatchdog, eventCancelAtSidecar:
		i = s.log.ClientAttempts[e.index].Sidecar
	case eventUpstreamOutcome, eventUpstreamTimeout:
		i = s.clientAttempts[s.upstreamAttempts[e.index].clientAttempt].sidecar
	case eventBalancerTimer, eventHealthChecked, eventFullList:
		i = int(e.index)
	case eventFromPlan:
		if p := &s.plan.Events[e.index]; p.Kind == plan.NotifySidecar {
			i = p.Sidecar
		}
	}
	if i < 0 || s.sidecars == nil || s.sidecars[i].balancer == nil {
		return 0
	}
	return s.sidecars[i].pausedUntil
}

func (s *simulator) recordSidecarEvent(sidecar int, what trace.SidecarEventKind, text string) {
	s.log.SidecarEvents = append(s.log.SidecarEvents, trace.SidecarEvent{At: s.now, Sidecar: sidecar, Kind: what, Detail: text})
}

// sample notes every box, closes connections that stood idle for too long, and comes again.
func (s *simulator) takeSample() {
	for i := range s.endpoints {
		b := &s.endpoints[i]
		s.advanceEndpoint(i)
		l := b.model.Load(s.now)
		s.log.Samples = append(s.log.Samples, trace.Sample{At: s.now, Endpoint: i, Running: l.Running, Queued: l.Queued,
			Connections: l.Connections, Capacity: l.Capacity, SentWork: l.SentWork, PossibleWork: l.PossibleWork, DoneWork: l.DoneWork, WarmingUp: l.WarmingUp, Collapsed: l.Collapsed})
		for pool := range b.idle {
			s.closeExpired(i, pool-1)
		}
	}
	s.recordHealthChanges()
	s.schedule(s.now+sampleInterval, event{kind: eventSample})
}

// script carries out one step of the plan's.
func (s *simulator) applyPlanEvent(e *plan.Event) error {
	switch e.Kind {
	case plan.StartFault:
		if e.Fault.Kind == model.Hang {
			s.endpoints[e.Endpoint].hangFaults++
		}
		s.endpoints[e.Endpoint].model.StartFault(s.now, e.Fault)
		s.advanceEndpoint(e.Endpoint)
		if s.sidecars == nil && (e.Fault.Kind == model.Crash || e.Fault.Kind == model.Vanish) {
			s.listed[e.Endpoint] = false
		}
	case plan.EndFault:
		if e.Fault.Kind == model.Hang {
			s.endpoints[e.Endpoint].hangFaults--
		}
		s.endpoints[e.Endpoint].model.EndFault(s.now, e.Fault.ID)
		s.advanceEndpoint(e.Endpoint)
		s.listed[e.Endpoint] = !s.endpoints[e.Endpoint].collapsed
	case plan.StartEndpoint:
		s.endpoints[e.Endpoint].model.Start(s.now, true)
		s.endpoints[e.Endpoint].absent = false
		s.listed[e.Endpoint] = true
		s.advanceEndpoint(e.Endpoint)
	case plan.NotifySidecar:
		s.notify(e.Sidecar, e.Entry)
	case plan.StartSidecar:
		if s.sidecars[e.Sidecar].balancer == nil {
			if err := s.startSidecar(e.Sidecar); err != nil {
				return err
			}
			c := &s.sidecars[e.Sidecar]
			s.schedule(s.now+startDuration, event{kind: eventSidecarReady, index: int32(e.Sidecar), argument: int32(c.incarnation)})
			s.schedule(s.now+startDuration, event{kind: eventFullList, index: int32(e.Sidecar), argument: int32(c.incarnation)})
		}
	case plan.StopSidecar:
		s.stopSidecar(e.Sidecar)
	case plan.KillSidecar:
		s.killSidecar(e.Sidecar)
	case plan.UpgradeSidecar: // what the decisions know goes over, and nothing else is played
	case plan.PauseSidecar:
		s.sidecars[e.Sidecar].pausedUntil = s.now + e.Duration
	case plan.SuspendDiscovery, plan.ResumeDiscovery:
		s.setDiscoverySuspended(e.Kind == plan.SuspendDiscovery)
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
func (s *simulator) closeExpired(box, pool int) {
	b := &s.endpoints[box]
	idle := b.idle[pool+1]
	most := time.Duration(idleTimeoutShare * float64(s.plan.Scenario.Rules.ConnIdleTimeout))
	old := 0
	for old < len(idle) && s.now-idle[old].since > most {
		b.model.Disconnect(s.now)
		old++
	}
	if old > 0 {
		b.idle[pool+1] = append(idle[:0], idle[old:]...)
	}
}
