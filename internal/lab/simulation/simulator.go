// Package simulation plays a plan in virtual time: clients, network, discovery and endpoints are models, and each sidecar
// is the balancing decisions of package balance, driven as the program drives them. There is one goroutine and one queue
// of events, and no clock or random number but the plan's: the same plan gives the same trace, byte for byte.
//
// It leaves out what a sidecar on sockets has besides: the cost of its own work, its limits on descriptors and bodies, and
// bytes that can't be parsed. Its connections, time-outs and watchdog are those of the program.
package simulation

import (
	"errors"
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	sampleInterval      = 100 * time.Millisecond
	startDuration       = 30 * time.Millisecond // from a sidecar's start until it is ready
	frontHealthInterval = 200 * time.Millisecond
	healthCheckTimeout  = 100 * time.Millisecond
	watchdogLead        = 2 * time.Millisecond // as in the program
	idleTimeoutShare    = 0.8                  // of conn_idle, as in the program
	drainDuration       = time.Second          // after the last client's end: hedged requests may still be in flight
	trickleTimeout      = 300 * time.Millisecond
	minShutdownDuration = 900 * time.Millisecond // a sidecar that shuts down goes on listening for this long
	shutdownInterval    = 10 * time.Millisecond  // between checks whether it still has pending requests
	minGatewayTimeLeft  = 50 * time.Millisecond  // below it a failure counts as a gateway time-out
	startTime           = 1_000_000 * time.Hour  // the Unix time at which a run starts
)

// ErrNeedsProcesses is returned for a scenario that only the player on sockets can play.
var ErrNeedsProcesses = errors.New("virtual: the scenario has a list service of bounded capacity, " +
	"or faults of it or of links: they need processes, on sockets")

// simulator is the state of one run. Its slices grow with the run; an index into them is an object's identity.
type simulator struct {
	plan            *plan.Plan
	log             trace.Log
	delay           time.Duration // of the network, one way
	maxDeadline     time.Duration // of the classes: no request in flight is older
	now             time.Duration
	seq             uint64 // of the last event that was scheduled
	queue           eventQueue
	attemptTimeouts []orderedEvents // by class

	endpoints          []endpoint
	endpointsByName    map[string]int
	sidecars           []sidecar // nil with the plain policy
	clients            []client
	clientAttempts     []clientAttempt // beside log.ClientAttempts
	upstreamAttempts   []upstreamAttempt
	endpointRequests   []endpointRequest // beside log.EndpointRequests
	lastConnectionID   uint64
	unfinishedRequests int    // of clients: not done, or still to come
	listed             []bool // plain policy: whether clients send to an endpoint
	roundRobin         int    // plain policy: the last endpoint that a client sent to
	modelEvents        []model.Event
	segments           []time.Duration
}

// Play plays a plan to its end. It returns ErrNeedsProcesses for a scenario with faults between processes, and an error
// for an operator's text or settings that the program would reject.
func Play(p *plan.Plan) (*trace.Log, error) {
	if p.Scenario.NeedsProcesses() {
		return nil, ErrNeedsProcesses
	}
	s := newSimulator(p)
	s.makeEndpoints()
	if err := s.makeSidecars(); err != nil {
		return nil, err
	}
	for i := range p.Events {
		s.schedule(p.Events[i].At, event{kind: eventFromPlan, index: int32(i)})
	}
	if len(p.Requests) > 0 {
		s.schedule(p.Requests[0].Due, event{kind: eventClientSends})
	}
	s.schedule(0, event{kind: eventSample})
	if err := s.run(); err != nil {
		return nil, err
	}
	s.log.End = s.now
	s.recordObservations()
	return &s.log, nil
}

func newSimulator(p *plan.Plan) *simulator {
	attempts := len(p.Requests) * 5 / 4 // a guess, with some retries
	s := &simulator{
		plan:               p,
		delay:              p.Scenario.Network.Delay.D(),
		attemptTimeouts:    make([]orderedEvents, len(p.Scenario.Classes)),
		clients:            make([]client, len(p.Requests)),
		clientAttempts:     make([]clientAttempt, 0, attempts),
		upstreamAttempts:   make([]upstreamAttempt, 0, attempts),
		endpointRequests:   make([]endpointRequest, 0, attempts),
		unfinishedRequests: len(p.Requests),
	}
	s.log.ClientAttempts = make([]trace.ClientAttempt, 0, attempts)
	s.log.EndpointRequests = make([]trace.EndpointRequest, 0, attempts)
	for i := range p.Scenario.Classes {
		s.maxDeadline = max(s.maxDeadline, p.Scenario.Classes[i].Deadline.D())
	}
	return s
}

// run handles events until some time after the last client is done.
func (s *simulator) run() error {
	end := model.Never
	for s.now < end {
		e := s.next()
		s.now = e.at
		if err := s.handle(&e); err != nil {
			return err
		}
		if s.unfinishedRequests == 0 && s.now >= s.plan.Scenario.Length.D() && end == model.Never {
			end = s.now + drainDuration
		}
	}
	return nil
}

// makeSidecars configures all sidecars and starts those that run from the beginning.
func (s *simulator) makeSidecars() error {
	operator, err := config.ParseOperator("fleet.operator", []byte(s.plan.Scenario.Fleet.OperatorConfig))
	if err != nil {
		return fmt.Errorf("virtual: %w", err)
	}
	numbered := operator.Fleet != nil && operator.Fleet.Numbered
	for i := range s.plan.Sidecars {
		planned := &s.plan.Sidecars[i]
		settings, err := config.ParseSettings(s.plan.Settings(i))
		if err != nil {
			return fmt.Errorf("virtual: %w", err)
		}
		if !numbered {
			settings.Name = planned.Name
		}
		own, err := config.ParseOperator("fleet.operator", []byte(s.plan.Scenario.OperatorFile("127.0.0.1:1",
			s.plan.Scenario.Tiers[planned.Tier].Name, planned.HasBudget)))
		if err != nil {
			return fmt.Errorf("virtual: %w", err)
		}
		s.sidecars = append(s.sidecars, sidecar{
			index:              i,
			settings:           settings,
			budget:             own.Budget,
			cachedListMayBeOld: own.Discovery != nil && settings.Instances > 1,
			agentList:          map[int]plan.ListEntry{},
		})
		for _, entry := range s.plan.InitialMembers(planned.Tier) {
			s.sidecars[i].agentList[entry.Endpoint] = entry
		}
		if planned.StartAt < 0 && (planned.Endpoint < 0 || s.plan.Endpoints[planned.Endpoint].Start != "absent") {
			if err := s.startSidecar(i); err != nil {
				return err
			}
			s.sidecars[i].admitted = true
			s.recordSidecarEvent(i, trace.SidecarReady, "")
			s.deliverFullList(i)
		}
	}
	return nil
}
