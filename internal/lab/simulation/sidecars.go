package simulation

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// sidecar is one instance: the balancer, its table of endpoints and its configuration. Its connections are with the
// endpoints.
type sidecar struct {
	index              int
	settings           config.Settings
	budget             *config.Budget
	cachedListMayBeOld bool
	balancer           *balance.Balancer // nil while the process does not run
	incarnation        int
	admitted           bool          // the front sends to it
	shutdownAt         time.Duration // when its shutdown started; 0 is not yet
	pausedUntil        time.Duration
	pending            int // attempts that were accepted and have no response
	accounts           *budget.Tracker
	table              *cluster.Table
	endpoints          map[balance.EndpointID]int // index of each
	simulator          *simulator
	actions            []balance.Action

	lastHealth map[int]trace.HealthChange // of each endpoint
	conditions []balance.EndpointHealth

	agentList      map[int]plan.ListEntry // what its agent of discovery has
	agentSuspended bool
	fetchPending   bool // a fetch of the full list waits for the agent to resume
}

// Set adds an endpoint. With Remove, Membership, Shut, Expect and Cordon it makes a sidecar both sides of its table, which
// calls them.
func (c *sidecar) Set(id balance.EndpointID, addr string) {
	c.endpoints[id] = c.simulator.endpointsByName[addr]
}

// Shut is for attempts that wait for a connection: here the balancer's sends go out at once.
func (c *sidecar) SetDraining(balance.EndpointID, bool) {}

// Remove removes an endpoint.
func (c *sidecar) Remove(id balance.EndpointID) {
	endpointIndex, known := c.endpoints[id]
	if !known {
		return
	}
	delete(c.endpoints, id)
	c.simulator.closeIdleConnections(endpointIndex, c.index)
}

// Membership passes an update of discovery's list on to the balancer.
func (c *sidecar) Membership(kind balance.ListKind, entries []balance.Entry, _ uint32) {
	c.simulator.decide(c.index, &balance.Event{Kind: balance.EventMembership, List: kind, Entries: entries})
}

// Expect is for sidecars that poll a list service less often; here each has an agent of its own.
func (c *sidecar) Expect(time.Duration) {}

// Cordon passes an operator's cordon on to the balancer.
func (c *sidecar) Cordon(id balance.EndpointID, out bool) {
	c.simulator.decide(c.index, &balance.Event{Kind: balance.EventCordon, Endpoint: id, Cordoned: out})
}

// startSidecar starts a sidecar's process, with the list that it starts with.
func (s *simulator) startSidecar(sidecarIndex int) error {
	c := &s.sidecars[sidecarIndex]
	balancer, err := balance.New(c.settings.Settings, s.plan.Sidecars[sidecarIndex].Seed+uint64(c.incarnation))
	if err != nil {
		return err
	}
	c.simulator, c.balancer = s, balancer
	c.incarnation++
	c.admitted, c.shutdownAt, c.pausedUntil, c.pending = false, 0, 0, 0
	c.accounts = nil
	if c.budget != nil {
		c.accounts = budget.NewTracker(c.budget.AccountSettings(&c.settings), s.plan.Sidecars[sidecarIndex].Seed+uint64(c.incarnation))
	}
	c.endpoints, c.lastHealth = map[balance.EndpointID]int{}, map[int]trace.HealthChange{}
	c.table = cluster.NewTable(c.settings.ZoneNames, c.settings.KindNames, c, c)
	c.table.StaleCache = c.cachedListMayBeOld
	s.recordSidecarEvent(sidecarIndex, trace.SidecarStarted, "")
	if cached := s.plan.Sidecars[sidecarIndex].InitialList; len(cached) > 0 {
		c.table.Apply(balance.ListCached, s.clusterList(cached))
	}
	return nil
}

// restartSidecar starts a sidecar that does not run. It is ready and has the full list a little later.
func (s *simulator) restartSidecar(sidecarIndex int) error {
	c := &s.sidecars[sidecarIndex]
	if c.balancer != nil {
		return nil
	}
	if err := s.startSidecar(sidecarIndex); err != nil {
		return err
	}
	s.scheduleForSidecar(s.now+startDuration, eventSidecarReady, c)
	s.scheduleForSidecar(s.now+startDuration, eventFullList, c)
	return nil
}

// stopSidecar starts a sidecar's graceful shutdown.
func (s *simulator) stopSidecar(sidecarIndex int) {
	c := &s.sidecars[sidecarIndex]
	if c.balancer == nil || c.shutdownAt > 0 {
		return
	}
	c.shutdownAt = s.now
	s.recordSidecarEvent(sidecarIndex, trace.SidecarStopping, "")
	s.scheduleForSidecar(s.now+frontHealthInterval, eventFrontNotices, c)
	s.scheduleForSidecar(s.now+minShutdownDuration, eventShutdownCheck, c)
}

// finishShutdown ends a sidecar that has no pending requests, or checks again later.
func (s *simulator) finishShutdown(sidecarIndex int) {
	c := &s.sidecars[sidecarIndex]
	if c.pending > 0 {
		s.scheduleForSidecar(s.now+shutdownInterval, eventShutdownCheck, c)
		return
	}
	s.recordSidecarEvent(sidecarIndex, trace.SidecarExited, "")
	s.endProcess(sidecarIndex)
}

func (s *simulator) killSidecar(sidecarIndex int) {
	if s.sidecars[sidecarIndex].balancer == nil {
		return
	}
	s.recordSidecarEvent(sidecarIndex, trace.SidecarKilled, "")
	s.endProcess(sidecarIndex)
}

// endProcess is the end of a sidecar's process: its connections break, to its clients and to its endpoints.
func (s *simulator) endProcess(sidecarIndex int) {
	c := &s.sidecars[sidecarIndex]
	c.balancer = nil
	// Until the front notices, it goes on sending.
	s.scheduleForSidecar(s.now+s.plan.Scenario.Clients.FailureDetection.D(), eventFrontNotices, c)
	for endpointIndex := range s.endpoints {
		s.closeIdleConnections(endpointIndex, sidecarIndex)
	}
	oldest := s.now - s.maxDeadline - time.Second // nothing sent earlier is pending
	for attemptIndex := len(s.clientAttempts) - 1; attemptIndex >= 0 && s.log.ClientAttempts[attemptIndex].Sent >= oldest; attemptIndex-- {
		attempt := &s.clientAttempts[attemptIndex]
		if attempt.sidecar != sidecarIndex || attempt.incarnation != c.incarnation || !attempt.accepted {
			continue
		}
		s.replyToClient(attemptIndex, trace.StatusDisconnected, 0, 0, -1)
		for upstreamIndex := attempt.lastUpstream; upstreamIndex >= 0; upstreamIndex = s.upstreamAttempts[upstreamIndex].previous {
			s.abandonUpstream(upstreamIndex)
		}
	}
}
