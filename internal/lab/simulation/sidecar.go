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
	index    int
	set      config.Settings
	budget   *config.Budget
	old      bool              // the list that it starts with may be
	b        *balance.Balancer // nil while it does not run
	life     int
	able     bool // the front sends to it
	stopping time.Duration
	paused   time.Duration // until then
	held     int           // tries taken and not answered
	accounts *budget.Accounts
	table    *cluster.Table
	hosts    map[balance.EndpointID]int // to boxes
	sim      *sim
	actions  []balance.Action

	judged     map[int]trace.HealthChange // the last of each box
	conditions []balance.Condition

	agent  map[int]plan.ListEntry // what discovery's agent has
	silent bool
	missed bool // a fetch waits for the agent to speak
}

// Set, Remove and Membership make a sidecar both sides of its table: they are called by it.
func (c *sidecar) Set(id balance.EndpointID, addr string) {
	c.hosts[id] = c.sim.byName[addr]
}

// Shut is for attempts that wait for their connections: here the decisions' sends go out at once.
func (c *sidecar) Shut(balance.EndpointID, bool) {}

// Remove forgets a host.
func (c *sidecar) Remove(id balance.EndpointID) {
	box, known := c.hosts[id]
	if !known {
		return
	}
	delete(c.hosts, id)
	c.sim.closeIdle(box, c.index)
}

// Membership passes on what discovery says.
func (c *sidecar) Membership(kind balance.ListKind, entries []balance.Entry, _ uint32) {
	c.sim.decide(c.index, &balance.Event{Kind: balance.EventMembership, List: kind, Entries: entries})
}

// Expect is for sidecars that spare a list service; here each has an agent of its own.
func (c *sidecar) Expect(time.Duration) {}

// Cordon passes on an operator's word.
func (c *sidecar) Cordon(id balance.EndpointID, out bool) {
	c.sim.decide(c.index, &balance.Event{Kind: balance.EventCordon, Endpoint: id, Out: out})
}

func (s *sim) startSidecar(i int) error {
	c := &s.sidecars[i]
	b, err := balance.New(c.set.Settings, s.p.Sidecars[i].Seed+uint64(c.life))
	if err != nil {
		return err
	}
	c.sim, c.b, c.life, c.able, c.stopping, c.paused, c.held = s, b, c.life+1, false, 0, 0, 0
	c.accounts = nil
	if c.budget != nil {
		c.accounts = budget.NewAccounts(c.budget.Accounts(&c.set), s.p.Sidecars[i].Seed+uint64(c.life))
	}
	c.hosts, c.judged = map[balance.EndpointID]int{}, map[int]trace.HealthChange{}
	c.table = cluster.NewTable(c.set.ZoneNames, c.set.KindNames, c, c)
	c.table.Old = c.old
	s.change(i, trace.SidecarStarted, "")
	if known := s.p.Sidecars[i].InitialList; len(known) > 0 {
		c.table.Apply(balance.ListCached, s.list(known))
	}
	return nil
}

// list is a list as discovery's words would be read.
func (s *sim) list(entries []plan.ListEntry) cluster.List {
	out := cluster.List{Complete: true}
	for _, l := range entries {
		b := &s.p.Endpoints[l.Endpoint]
		m := cluster.Member{ID: b.Name, Addr: b.Name, Zone: plan.Zone, Kind: b.Kind, Weight: float64(b.Spec.Cores)}
		m.State = [...]balance.Availability{trace.PhaseReady: balance.Ready, trace.PhaseTerminating: balance.Draining, trace.PhaseGone: balance.Gone}[l.Phase]
		if l.StartedAt > 0 {
			m.UpSince = (epoch + l.StartedAt).Truncate(time.Millisecond)
		}
		out.Members = append(out.Members, m)
	}
	return out
}

// fetched is the answer to a sidecar's asking for the whole list.
func (s *sim) fetched(i int) {
	c := &s.sidecars[i]
	if c.silent {
		c.missed = true
		return
	}
	c.missed = false
	var all []plan.ListEntry
	for _, box := range slices.Sorted(maps.Keys(c.agent)) {
		all = append(all, c.agent[box])
	}
	s.note(i, all)
	c.table.Apply(balance.ListFull, s.list(all))
}

func (s *sim) note(sidecar int, entries []plan.ListEntry) {
	for _, l := range entries {
		s.log.Notifications = append(s.log.Notifications, trace.Notification{At: s.now, Sidecar: sidecar, Endpoint: l.Endpoint, Phase: l.Phase, UpSince: l.StartedAt})
	}
}

// tell is a change that reaches a sidecar's agent.
func (s *sim) tell(i int, l plan.ListEntry) {
	c := &s.sidecars[i]
	if c.agent[l.Endpoint] = l; l.Phase == trace.PhaseGone {
		delete(c.agent, l.Endpoint)
	}
	if c.b == nil || c.missed {
		return
	}
	if s.p.Scenario.Discovery.FullLists {
		s.fetched(i)
		return
	}
	s.note(i, []plan.ListEntry{l})
	c.table.Apply(balance.ListDelta, s.list([]plan.ListEntry{l}))
}

// silence has discovery say nothing, or speak again. Changes are held back by the plan already.
func (s *sim) silence(on bool) {
	for i := range s.sidecars {
		c := &s.sidecars[i]
		if c.silent = on; !on && c.missed && c.b != nil {
			s.fetched(i)
		}
	}
}

// judge notes how the sidecars take their hosts to be, where that has changed.
func (s *sim) judge() {
	for i := range s.sidecars {
		c := &s.sidecars[i]
		if c.b == nil {
			continue
		}
		c.conditions = c.b.Conditions(c.conditions[:0])
		for _, k := range c.conditions {
			box, known := c.hosts[k.Endpoint]
			now := trace.HealthChange{At: s.now, Sidecar: i, Endpoint: box, Grey: k.Grey, Ejected: k.Ejected}
			last, seen := c.judged[box]
			if known && (!seen || last.Grey != now.Grey || last.Ejected != now.Ejected) {
				c.judged[box] = now
				s.log.HealthChanges = append(s.log.HealthChanges, now)
			}
		}
	}
}

func (s *sim) stopSidecar(i int) {
	c := &s.sidecars[i]
	if c.b == nil || c.stopping > 0 {
		return
	}
	c.stopping = s.now
	s.change(i, trace.SidecarStopping, "")
	s.at(s.now+healthEvery, event{kind: evOut, a: int32(i), b: int32(c.life)})
	s.at(s.now+openLeast, event{kind: evEnded, a: int32(i), b: int32(c.life)})
}

// plannedEnd ends a sidecar that has answered all it took.
func (s *sim) plannedEnd(i, life int) {
	c := &s.sidecars[i]
	switch {
	case c.b == nil || c.life != life:
	case c.held > 0:
		s.at(s.now+10*time.Millisecond, event{kind: evEnded, a: int32(i), b: int32(life)})
	default:
		s.change(i, trace.SidecarExited, "")
		s.down(i)
	}
}

func (s *sim) killSidecar(i int) {
	if s.sidecars[i].b == nil {
		return
	}
	s.change(i, trace.SidecarKilled, "")
	s.down(i)
}

// down is a process's end: what it held breaks, at its clients and at its hosts.
func (s *sim) down(i int) {
	c := &s.sidecars[i]
	c.b = nil
	s.at(s.now+s.p.Scenario.Clients.FailureDetection.D(), event{kind: evOut, a: int32(i), b: int32(c.life)}) // until then the front sends on
	for box := range s.boxes {
		s.closeIdle(box, i)
	}
	for t := len(s.tries) - 1; t >= 0 && s.log.ClientAttempts[t].Sent >= s.now-s.longest-time.Second; t-- {
		if s.tries[t].sidecar != i || s.tries[t].life != c.life || !s.tries[t].taken {
			continue
		}
		s.reply(t, trace.StatusDisconnected, 0, 0, -1)
		for a := s.tries[t].attempt; a >= 0; a = s.attempts[a].before {
			s.cutOff(a)
		}
	}
}

// decide gives a sidecar's module one event and carries out what it asks for. Nothing that they bring about comes back
// to the module before it has had its turn in the queue.
func (s *sim) decide(i int, ev *balance.Event) {
	c := &s.sidecars[i]
	if c.b == nil {
		return
	}
	c.actions = c.b.Handle(epoch+s.now, ev, c.actions[:0])
	for k := range c.actions {
		a := c.actions[k]
		switch a.Kind {
		case balance.ActSend:
			s.sendAction(c, &a)
		case balance.ActCancel:
			for k := s.tries[a.Request].attempt; k >= 0; k = s.attempts[k].before {
				if s.attempts[k].no == a.Attempt {
					s.cancel(k)
				}
			}
		case balance.ActRefuse, balance.ActFail:
			s.verdict(int(a.Request), a.Kind == balance.ActRefuse, a.After)
		case balance.ActTimer:
			s.at(s.now+a.After, event{kind: evTimer, a: int32(i), b: int32(c.life), token: uint32(a.Token)})
		case balance.ActProbe:
			s.probe(c, a.Endpoint)
		case balance.ActCloseUnused:
			if box, known := c.hosts[a.Endpoint]; known {
				s.closeIdle(box, i)
			}
		}
	}
}

// tryArrives is a try's arrival at its sidecar.
func (s *sim) tryArrives(i int) {
	t, l := &s.tries[i], &s.log.ClientAttempts[i]
	c := &s.sidecars[l.Sidecar]
	if c.b == nil {
		s.reply(i, trace.StatusConnectFailed, 0, 0, -1)
		return
	}
	t.taken, t.life = true, c.life
	c.held++
	s.at(t.deadline+s.delay-watchdogLead, event{kind: evWatchdog, a: int32(i)})
	r := &s.p.Requests[l.Request]
	ev := balance.Event{Kind: balance.EventRequest, Request: balance.RequestID(i), Class: l.Class,
		Left: l.Timeout, Repeated: l.Number > 0 || r.IsRetry && t.parent < 0}
	if c.accounts != nil {
		t.account = c.accounts.Open(s.now, t.deadline, t.baggage, ev.Repeated)
		if t.account.Loop != nil {
			c.held--
			s.reply(i, trace.StatusFailed, http.StatusLoopDetected, 0, -1)
			return
		}
		ev.Most, ev.Worth = t.account.Most(), t.account.Worth()
	}
	s.decide(l.Sidecar, &ev)
}

// closeAccount ends a try's account.
func (s *sim) closeAccount(i int, good bool) {
	t := &s.tries[i]
	if a := t.account; a != nil {
		t.account = nil
		if c := &s.sidecars[t.sidecar]; c.life == t.life && c.accounts != nil {
			t.tried = c.accounts.Close(a, good)
		}
	}
}

// verdict is a local reply.
func (s *sim) verdict(i int, refused bool, advice time.Duration) {
	t := &s.tries[i]
	if t.decided {
		return
	}
	s.sidecars[t.sidecar].held--
	status, code := codeFor(refused, t.deadline-s.now)
	s.reply(i, status, code, advice, -1)
}

// watchdog answers what the decisions have not.
func (s *sim) watchdog(i int) {
	t := &s.tries[i]
	if c := &s.sidecars[t.sidecar]; t.decided || c.b == nil || c.life != t.life {
		return
	}
	sent := t.sent > 0
	s.verdict(i, !sent, 0)
	s.decide(t.sidecar, &balance.Event{Kind: balance.EventGone, Request: balance.RequestID(i)})
}

// clientGone is a sidecar's seeing that nobody waits any more.
func (s *sim) clientGone(i int) {
	t := &s.tries[i]
	if t.decided {
		return
	}
	t.decided, t.at, t.result = true, s.now, trace.StatusCanceled
	s.closeAccount(i, false)
	if s.sidecars == nil {
		for a := t.attempt; a >= 0; a = s.attempts[a].before {
			s.cancel(a)
		}
		return
	}
	if c := &s.sidecars[t.sidecar]; t.taken && c.life == t.life && c.b != nil {
		c.held--
		s.decide(t.sidecar, &balance.Event{Kind: balance.EventGone, Request: balance.RequestID(i)})
	}
}

// sendAction starts an attempt that the decisions ask for.
func (s *sim) sendAction(c *sidecar, a *balance.Action) {
	i := int(a.Request)
	t := &s.tries[i]
	box, known := c.hosts[a.Endpoint]
	until := s.now + a.After
	if t.decided || t.attempts >= c.set.MaxAttempts || !known {
		k := s.newAttempt(i, -1, until)
		s.at(s.now, event{kind: evOutcome, a: int32(k), b: int32(balance.Moot)})
		return
	}
	t.sent++
	carried, number := "", 0
	if t.account != nil {
		carried, number = c.accounts.Send(t.account, a.Worth)
	}
	s.startAttempt(i, box, until, carried, number)
}

// probe examines a host on a connection of its own kind: it costs no work here.
func (s *sim) probe(c *sidecar, id balance.EndpointID) {
	status, after := balance.ConnectFailed, 2*s.delay
	if box, known := c.hosts[id]; known {
		b := &s.boxes[box]
		switch phase := b.m.Phase(s.now); {
		case b.absent || phase == model.Down:
		case phase == model.Unresponsive:
			after = min(probeTimeout, s.p.Scenario.Rules.ConnectTimeout.D())
		case b.hung > 0:
			status, after = balance.Timeout, probeTimeout
		default:
			status = balance.OK
		}
	}
	s.at(s.now+after, event{kind: evProbe, a: int32(c.index), b: int32(c.life), token: uint32(id), x: uint8(status)})
}
