package dissemination

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/fleet/registry"
)

var (
	soakSeeds     = flag.Int("forgetful.seeds", 6, "seeds of TestForgetfulRoutersKeepPromises")
	soakFirstSeed = flag.Uint64("forgetful.first", 1, "first of these seeds")
)

const (
	soakRouters     = 12
	soakAddresses   = 8
	soakDuration    = 60 * time.Second
	soakStep        = 50 * time.Millisecond
	soakContact     = 3 * time.Second // after its last restart or partition, a router is in touch
	soakMaxLateness = 6 * time.Second // of a heartbeat
	soakSettling    = 2 * time.Second // after its first heartbeat, an endpoint is listed by all routers in touch

	// After soakForgetting no router lists an endpoint that has ended: the lateness of its heartbeats, and twice the orphan's time-out of
	// eight intervals, since a router may have let it expire just before it gets a late one.
	soakForgetting = soakMaxLateness + 2*8*testHeartbeatInterval
)

// soakEndpoint is an endpoint in the life that the soak plays.
type soakEndpoint struct {
	emulatedEndpoint
	startedAt time.Duration
	leavesAt  time.Duration
	endsAt    time.Duration
	leave     registry.State // Draining or Deregistered: how it leaves; 0: it crashes at leavesAt
	leftAt    time.Duration  // when its leave was acknowledged; 0: not yet
}

// lateReport is a heartbeat on its way.
type lateReport struct {
	at     time.Duration
	report registry.Endpoint
	to     string
}

// forgetfulSoak plays endpoints that start, drain, deregister, crash and share addresses, with late and doubled heartbeats, beside routers
// that restart and are partitioned.
type forgetfulSoak struct {
	*fleet
	random          *rand.Rand
	endpoints       []*soakEndpoint // those that have not ended
	left            []*soakEndpoint // those whose leave was acknowledged, ended or not
	ended           []*soakEndpoint
	freeAt          map[string]time.Duration
	late            []lateReport
	disturbed       map[string]time.Duration // time of the last restart, or of the end of the last partition
	cutOff          string                   // the router that is partitioned; empty: none
	cutUntil        time.Duration
	nextDisturbance time.Duration
	nextNumber      int
	violations      []string
}

func newForgetfulSoak(seed uint64) *forgetfulSoak {
	s := &forgetfulSoak{
		fleet: newFleet(soakRouters, 3), random: rand.New(rand.NewPCG(seed, 3)), freeAt: map[string]time.Duration{},
		disturbed: map[string]time.Duration{},
	}
	s.lossPercent = 3
	s.partitioned = func(from, to string) bool { return s.cutOff != "" && (from == s.cutOff || to == s.cutOff) }
	s.run(4 * time.Second)
	return s
}

func (s *forgetfulSoak) violatef(format string, values ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: %s", s.now, fmt.Sprintf(format, values...)))
}

// between returns a random duration.
func (s *forgetfulSoak) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

func (s *forgetfulSoak) randomRouter() string { return s.order[s.random.IntN(len(s.order))] }

// reachable returns a router that is not partitioned.
func (s *forgetfulSoak) reachable() string {
	for {
		if to := s.randomRouter(); to != s.cutOff {
			return to
		}
	}
}

// isInTouch reports whether a router has neither been restarted nor partitioned for soakContact.
func (s *forgetfulSoak) isInTouch(router string) bool {
	return router != s.cutOff && s.now-s.disturbed[router] >= soakContact
}

func (s *forgetfulSoak) play() {
	for end := s.now + soakDuration; s.now < end && len(s.violations) == 0; {
		s.disturb()
		s.startEndpoints()
		s.stepEndpoints()
		s.deliverLate()
		s.run(soakStep)
		s.check()
	}
}

// disturb restarts a router, or begins or ends the partition of one.
func (s *forgetfulSoak) disturb() {
	if s.cutOff != "" && s.now >= s.cutUntil {
		s.disturbed[s.cutOff], s.cutOff = s.now, ""
	}
	if s.now < s.nextDisturbance {
		return
	}
	s.nextDisturbance = s.now + s.between(300*time.Millisecond, 4*time.Second)
	router := s.order[1+s.random.IntN(soakRouters-1)] // the first one acknowledges leaves as the primary
	switch {
	case s.random.IntN(3) > 0:
		s.restart(router)
		s.disturbed[router] = s.now
	case s.cutOff == "":
		s.cutOff, s.cutUntil = router, s.now+s.between(500*time.Millisecond, 8*time.Second)
	}
}

// startEndpoints starts an endpoint at each address that is free.
func (s *forgetfulSoak) startEndpoints() {
	for i := range soakAddresses {
		at := fmt.Sprintf("10.1.0.%d:1", i)
		if s.now < s.freeAt[at] || s.random.IntN(10) > 0 {
			continue
		}
		s.nextNumber++
		e := &soakEndpoint{emulatedEndpoint: *newEmulatedEndpoint(fmt.Sprint("e", s.nextNumber), at, ""), startedAt: s.now}
		e.report.Sequence = uint64(s.random.IntN(3)) // the first heartbeats may get lost
		e.leavesAt = s.now + s.between(2*time.Second, 20*time.Second)
		e.leave = []registry.State{0, registry.Draining, registry.Deregistered}[s.random.IntN(3)]
		e.endsAt = e.leavesAt
		if e.leave != 0 {
			e.endsAt += s.between(2500*time.Millisecond, 10*time.Second)
		}
		s.freeAt[at] = e.endsAt + testReuseDelay
		s.endpoints = append(s.endpoints, e)
	}
}

func (s *forgetfulSoak) stepEndpoints() {
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *soakEndpoint) bool {
		if s.now < e.endsAt {
			return false
		}
		s.ended = append(s.ended, e)
		return true
	})
	for _, e := range s.endpoints {
		switch {
		case s.now >= e.leavesAt && e.leftAt == 0:
			s.leaveWith(e)
		case s.now >= e.next && e.report.State == registry.Ready:
			e.next = s.now + testHeartbeatInterval
			s.sendHeartbeat(e)
		}
	}
}

// sendHeartbeat sends a heartbeat to the owner, or to another router if that is not reachable. A copy may arrive late at any router.
func (s *forgetfulSoak) sendHeartbeat(e *soakEndpoint) {
	if e.report.Owner == "" || e.report.Owner == s.cutOff || s.random.IntN(20) == 0 {
		e.report.Owner = s.reachable()
	}
	s.heartbeat(&e.emulatedEndpoint, e.report.Owner)
	if s.random.IntN(3) == 0 {
		s.late = append(s.late, lateReport{s.now + s.between(0, soakMaxLateness), e.report, s.randomRouter()})
	}
}

// leaveWith has an endpoint say that it leaves, to a router that reports it to the primary.
func (s *forgetfulSoak) leaveWith(e *soakEndpoint) {
	to, report := s.reachable(), e.report
	report.State = e.leave
	if e.leave == registry.Draining {
		report.Sequence++
	} else {
		report = registry.Endpoint{ID: e.report.ID, State: registry.Deregistered}
	}
	e.report.State, e.report.Sequence = e.leave, max(e.report.Sequence, report.Sequence)
	s.deliver(report, to)
	if known, ok := s.nodes[to].Registry.Lookup(e.report.ID); ok {
		s.perform(s.order[0], s.nodes[s.order[0]].HandleEndpointLeave(s.now, known))
	}
	e.leftAt = s.now
	s.left = append(s.left, e)
}

func (s *forgetfulSoak) deliverLate() {
	s.late = slices.DeleteFunc(s.late, func(l lateReport) bool {
		if s.now < l.at {
			return false
		}
		s.deliver(l.report, l.to)
		return true
	})
}

// check looks for broken promises at the routers in touch.
func (s *forgetfulSoak) check() {
	for _, router := range s.order {
		if !s.isInTouch(router) {
			continue
		}
		endpoints := s.nodes[router].Registry
		for _, e := range s.left {
			if known, _ := endpoints.Lookup(e.report.ID); known.State == registry.Ready && s.now > e.leftAt+testDrainTimeout {
				s.violatef("%s lists %s as ready, whose leave was acknowledged at %v", router, e.report.ID, e.leftAt)
			}
		}
		for _, e := range s.ended {
			if known, _ := endpoints.Lookup(e.report.ID); known.State == registry.Ready && s.now > e.endsAt+soakForgetting {
				s.violatef("%s lists %s as ready, which ended at %v", router, e.report.ID, e.endsAt)
			}
		}
		for _, e := range s.endpoints {
			known, _ := endpoints.Lookup(e.report.ID)
			if e.report.State == registry.Ready && s.now > e.startedAt+soakSettling && known.State != registry.Ready {
				s.violatef("%s doesn't list the sound endpoint %s, started at %v: state %d", router, e.report.ID, e.startedAt, known.State)
			}
		}
	}
}

// Guards against routers that have forgotten endpoints and take late or doubled reports for new ones: leaves that are undone, sound endpoints that are ended.
func TestForgetfulRoutersKeepPromises(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newForgetfulSoak(seed)
			s.play()
			for _, violation := range s.violations {
				t.Error(violation)
			}
		})
	}
}
