package simulation

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// sidecar is one instance: the decision module, its table of hosts and its part of the connections.
type sidecar struct {
	index              int
	settings           config.Settings
	budget             *config.Budget
	cachedListMayBeOld bool              // the list that it starts with may be
	balancer           *balance.Balancer // nil while it does not run
	incarnation        int
	admitted           bool // the front sends to it
	shutdownAt         time.Duration
	pausedUntil        time.Duration // until then
	pending            int           // tries taken and not answered
	accounts           *budget.Accounts
	table              *cluster.Table
	endpoints          map[balance.EndpointID]int // to boxes
	simulator          *simulator
	actions            []balance.Action

	lastHealth map[int]trace.HealthChange // the last of each box
	conditions []balance.Condition

	agentList      map[int]plan.ListEntry // what discovery's agent has
	agentSuspended bool
	fetchPending   bool // a fetch waits for the agent to speak
}

// Set, Remove and Membership make a sidecar both sides of its table: they are called by it.
func (c *sidecar) Set(id balance.EndpointID, addr string) {
	c.endpoints[id] = c.simulator.endpointsByName[addr]
}

// Shut is for attempts that wait for their connections: here the decisions' sends go out at once.
func (c *sidecar) Shut(balance.EndpointID, bool) {}

// Remove forgets a host.
func (c *sidecar) Remove(id balance.EndpointID) {
	box, known := c.endpoints[id]
	if !known {
		return
	}
	delete(c.endpoints, id)
	c.simulator.closeIdleConnections(box, c.index)
}

// Membership passes on what discovery says.
func (c *sidecar) Membership(kind balance.ListKind, entries []balance.Entry, _ uint32) {
	c.simulator.decide(c.index, &balance.Event{Kind: balance.EventMembership, List: kind, Entries: entries})
}

// Expect is for sidecars that spare a list service; here each has an agent of its own.
func (c *sidecar) Expect(time.Duration) {}

// Cordon passes on an operator's word.
func (c *sidecar) Cordon(id balance.EndpointID, out bool) {
	c.simulator.decide(c.index, &balance.Event{Kind: balance.EventCordon, Endpoint: id, Out: out})
}

func (s *simulator) startSidecar(i int) error {
	c := &s.sidecars[i]
	b, err := balance.New(c.settings.Settings, s.plan.Sidecars[i].Seed+uint64(c.incarnation))
	if err != nil {
		return err
	}
	c.simulator, c.balancer, c.incarnation, c.admitted, c.shutdownAt, c.pausedUntil, c.pending = s, b, c.incarnation+1, false, 0, 0, 0
	c.accounts = nil
	if c.budget != nil {
		c.accounts = budget.NewAccounts(c.budget.Accounts(&c.settings), s.plan.Sidecars[i].Seed+uint64(c.incarnation))
	}
	c.endpoints, c.lastHealth = map[balance.EndpointID]int{}, map[int]trace.HealthChange{}
	c.table = cluster.NewTable(c.settings.ZoneNames, c.settings.KindNames, c, c)
	c.table.Old = c.cachedListMayBeOld
	s.recordSidecarEvent(i, trace.SidecarStarted, "")
	if known := s.plan.Sidecars[i].InitialList; len(known) > 0 {
		c.table.Apply(balance.ListCached, s.clusterList(known))
	}
	return nil
}

// list is a list as discovery's words would be read.
func (s *simulator) clusterList(entries []plan.ListEntry) cluster.List {
	out := cluster.List{Complete: true}
	for _, l := range entries {
		b := &s.plan.Endpoints[l.Endpoint]
		m := cluster.Member{ID: b.Name, Addr: b.Name, Zone: plan.Zone, Kind: b.Kind, Weight: float64(b.Spec.Cores)}
		m.State = [...]balance.Availability{trace.PhaseReady: balance.Ready, trace.PhaseTerminating: balance.Draining, trace.PhaseGone: balance.Gone}[l.Phase]
		if l.StartedAt > 0 {
			m.UpSince = (startTime + l.StartedAt).Truncate(time.Millisecond)
		}
		out.Members = append(out.Members, m)
	}
	return out
}

// fetched is the answer to a sidecar's asking for the whole list.
func (s *simulator) deliverFullList(i int) {
	c := &s.sidecars[i]
	if c.agentSuspended {
		c.fetchPending = true
		return
	}
	c.fetchPending = false
	var all []plan.ListEntry
	for _, box := range slices.Sorted(maps.Keys(c.agentList)) {
		all = append(all, c.agentList[box])
	}
	s.recordNotifications(i, all)
	c.table.Apply(balance.ListFull, s.clusterList(all))
}

func (s *simulator) recordNotifications(sidecar int, entries []plan.ListEntry) {
	for _, l := range entries {
		s.log.Notifications = append(s.log.Notifications, trace.Notification{At: s.now, Sidecar: sidecar, Endpoint: l.Endpoint, Phase: l.Phase, UpSince: l.StartedAt})
	}
}

// tell is a change that reaches a sidecar's agent.
func (s *simulator) notify(i int, l plan.ListEntry) {
	c := &s.sidecars[i]
	if c.agentList[l.Endpoint] = l; l.Phase == trace.PhaseGone {
		delete(c.agentList, l.Endpoint)
	}
	if c.balancer == nil || c.fetchPending {
		return
	}
	if s.plan.Scenario.Discovery.FullLists {
		s.deliverFullList(i)
		return
	}
	s.recordNotifications(i, []plan.ListEntry{l})
	c.table.Apply(balance.ListDelta, s.clusterList([]plan.ListEntry{l}))
}

// silence has discovery say nothing, or speak again. Changes are held back by the plan already.
func (s *simulator) setDiscoverySuspended(on bool) {
	for i := range s.sidecars {
		c := &s.sidecars[i]
		if c.agentSuspended = on; !on && c.fetchPending && c.balancer != nil {
			s.deliverFullList(i)
		}
	}
}

// judge notes how the sidecars take their hosts to be, where that has changed.
func (s *simulator) recordHealthChanges() {
	for i := range s.sidecars {
		c := &s.sidecars[i]
		if c.balancer == nil {
			continue
		}
		c.conditions = c.balancer.Conditions(c.conditions[:0])
		for _, k := range c.conditions {
			box, known := c.endpoints[k.Endpoint]
			now := trace.HealthChange{At: s.now, Sidecar: i, Endpoint: box, Grey: k.Grey, Ejected: k.Ejected}
			last, seen := c.lastHealth[box]
			if known && (!seen || last.Grey != now.Grey || last.Ejected != now.Ejected) {
				c.lastHealth[box] = now
				s.log.HealthChanges = append(s.log.HealthChanges, now)
			}
		}
	}
}

func (s *simulator) stopSidecar(i int) {
	c := &s.sidecars[i]
	if c.balancer == nil || c.shutdownAt > 0 {
		return
	}
	c.shutdownAt = s.now
	s.recordSidecarEvent(i, trace.SidecarStopping, "")
	s.schedule(s.now+frontHealthInterval, event{kind: eventFrontNotices, index: int32(i), argument: int32(c.incarnation)})
	s.schedule(s.now+minShutdownDuration, event{kind: eventShutdownCheck, index: int32(i), argument: int32(c.incarnation)})
}

// finishShutdown ends a sidecar that has answered all it took.
func (s *simulator) finishShutdown(i, life int) {
	c := &s.sidecars[i]
	switch {
	case c.balancer == nil || c.incarnation != life:
	case c.pending > 0:
		s.schedule(s.now+10*time.Millisecond, event{kind: eventShutdownCheck, index: int32(i), argument: int32(life)})
	default:
		s.recordSidecarEvent(i, trace.SidecarExited, "")
		s.endProcess(i)
	}
}

func (s *simulator) killSidecar(i int) {
	if s.sidecars[i].balancer == nil {
		return
	}
	s.recordSidecarEvent(i, trace.SidecarKilled, "")
	s.endProcess(i)
}

// down is a process's end: what it held breaks, at its clients and at its hosts.
func (s *simulator) endProcess(i int) {
	c := &s.sidecars[i]
	c.balancer = nil
	s.schedule(s.now+s.plan.Scenario.Clients.FailureDetection.D(), event{kind: eventFrontNotices, index: int32(i), argument: int32(c.incarnation)}) // until then the front sends on
	for box := range s.endpoints {
		s.closeIdleConnections(box, i)
	}
	for t := len(s.clientAttempts) - 1; t >= 0 && s.log.ClientAttempts[t].Sent >= s.now-s.maxDeadline-time.Second; t-- {
		if s.clientAttempts[t].sidecar != i || s.clientAttempts[t].incarnation != c.incarnation || !s.clientAttempts[t].accepted {
			continue
		}
		s.replyToClient(t, trace.StatusDisconnected, 0, 0, -1)
		for a := s.clientAttempts[t].lastUpstream; a >= 0; a = s.upstreamAttempts[a].previous {
			s.abandonUpstream(a)
		}
	}
}

// decide gives a sidecar's module one event and carries out what it asks for. Nothing that they bring about comes back
// to the module before it has had its turn in the queue.
func (s *simulator) decide(i int, ev *balance.Event) {
	c := &s.sidecars[i]
	if c.balancer == nil {
		return
	}
	c.actions = c.balancer.Handle(startTime+s.now, ev, c.actions[:0])
	for k := range c.actions {
		a := c.actions[k]
		switch a.Kind {
		case balance.ActSend:
			s.startUpstream(c, &a)
		case balance.ActCancel:
			for k := s.clientAttempts[a.Request].lastUpstream; k >= 0; k = s.upstreamAttempts[k].previous {
				if s.upstreamAttempts[k].number == a.Attempt {
					s.cancelUpstream(k)
				}
			}
		case balance.ActRefuse, balance.ActFail:
			s.replyLocally(int(a.Request), a.Kind == balance.ActRefuse, a.After)
		case balance.ActTimer:
			s.schedule(s.now+a.After, event{kind: eventBalancerTimer, index: int32(i), argument: int32(c.incarnation), token: uint32(a.Token)})
		case balance.ActProbe:
			s.healthCheck(c, a.Endpoint)
		case balance.ActCloseUnused:
			if box, known := c.endpoints[a.Endpoint]; known {
				s.closeIdleConnections(box, i)
			}
		}
	}
}

// attemptArrives is a try's arrival at its sidecar.
func (s *simulator) attemptArrives(i int) {
	t, l := &s.clientAttempts[i], &s.log.ClientAttempts[i]
	c := &s.sidecars[l.Sidecar]
	if c.balancer == nil {
		s.replyToClient(i, trace.StatusConnectFailed, 0, 0, -1)
		return
	}
	t.accepted, t.incarnation = true, c.incarnation
	c.pending++
	s.schedule(t.deadline+s.delay-watchdogLead, event{kind: eventWatchdog, index: int32(i)})
	r := &s.plan.Requests[l.Request]
	ev := balance.Event{Kind: balance.EventRequest, Request: balance.RequestID(i), Class: l.Class,
		Left: l.Timeout, Repeated: l.Number > 0 || r.IsRetry && t.callerRequest < 0}
	if c.accounts != nil {
		t.budgetAccount = c.accounts.Open(s.now, t.deadline, t.baggage, ev.Repeated)
		if t.budgetAccount.Loop != nil {
			c.pending--
			s.replyToClient(i, trace.StatusFailed, http.StatusLoopDetected, 0, -1)
			return
		}
		ev.Most, ev.Worth = t.budgetAccount.Most(), t.budgetAccount.Worth()
	}
	s.decide(l.Sidecar, &ev)
}

// closeAccount ends a try's account.
func (s *simulator) closeAccount(i int, good bool) {
	t := &s.clientAttempts[i]
	if a := t.budgetAccount; a != nil {
		t.budgetAccount = nil
		if c := &s.sidecars[t.sidecar]; c.incarnation == t.incarnation && c.accounts != nil {
			t.retriesBelow = c.accounts.Close(a, good)
		}
	}
}

// verdict is a local reply.
func (s *simulator) replyLocally(i int, refused bool, advice time.Duration) {
	t := &s.clientAttempts[i]
	if t.decided {
		return
	}
	s.sidecars[t.sidecar].pending--
	status, code := localStatus(refused, t.deadline-s.now)
	s.replyToClient(i, status, code, advice, -1)
}

// watchdog answers what the decisions have not.
func (s *simulator) answerLateAttempt(i int) {
	t := &s.clientAttempts[i]
	if c := &s.sidecars[t.sidecar]; t.decided || c.balancer == nil || c.incarnation != t.incarnation {
		return
	}
	sent := t.balancerSends > 0
	s.replyLocally(i, !sent, 0)
	s.decide(t.sidecar, &balance.Event{Kind: balance.EventGone, Request: balance.RequestID(i)})
}

// eventCancelAtSidecar is a sidecar's seeing that nobody waits any more.
func (s *simulator) cancelAtSidecar(i int) {
	t := &s.clientAttempts[i]
	if t.decided {
		return
	}
	t.decided, t.decidedAt, t.status = true, s.now, trace.StatusCanceled
	s.closeAccount(i, false)
	if s.sidecars == nil {
		for a := t.lastUpstream; a >= 0; a = s.upstreamAttempts[a].previous {
			s.cancelUpstream(a)
		}
		return
	}
	if c := &s.sidecars[t.sidecar]; t.accepted && c.incarnation == t.incarnation && c.balancer != nil {
		c.pending--
		s.decide(t.sidecar, &balance.Event{Kind: balance.EventGone, Request: balance.RequestID(i)})
	}
}

// startUpstream starts an attempt that the decisions ask for.
func (s *simulator) startUpstream(c *sidecar, a *balance.Action) {
	i := int(a.Request)
	t := &s.clientAttempts[i]
	box, known := c.endpoints[a.Endpoint]
	until := s.now + a.After
	if t.decided || t.upstreamCount >= c.settings.MaxAttempts || !known {
		k := s.newUpstreamAttempt(i, -1, until)
		s.schedule(s.now, event{kind: eventUpstreamOutcome, index: int32(k), argument: int32(balance.Moot)})
		return
	}
	t.balancerSends++
	carried, number := "", 0
	if t.budgetAccount != nil {
		carried, number = c.accounts.Send(t.budgetAccount, a.Worth)
	}
	s.sendUpstream(i, box, until, carried, number)
}

// probe examines a host on a connection of its own kind: it costs no work here.
func (s *simulator) healthCheck(c *sidecar, id balance.EndpointID) {
	status, after := balance.ConnectFailed, 2*s.delay
	if box, known := c.endpoints[id]; known {
		b := &s.endpoints[box]
		switch phase := b.model.Phase(s.now); {
		case b.absent || phase == model.Down:
		case phase == model.Unresponsive:
			after = min(healthCheckTimeout, s.plan.Scenario.Rules.ConnectTimeout.D())
		case b.hangFaults > 0:
			status, after = balance.Timeout, healthCheckTimeout
		default:
			status = balance.OK
		}
	}
	s.schedule(s.now+after, event{kind: eventHealthChecked, index: int32(c.index), argument: int32(c.incarnation), token: uint32(id), status: uint8(status)})
}
