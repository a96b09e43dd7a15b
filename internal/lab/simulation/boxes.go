package simulation

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// box is a server, its idle connections and what is at it.
type box struct {
	m       *model.Endpoint
	wakes   time.Duration // the earliest waking that is in the queue
	idle    []idleConns   // by sidecar, from 1 on; the first is that of the plain policy's clients
	absent  bool
	fallen  bool
	hung    int // Hang faults that are on
	sidecar int // beside it, for its calls; -1 is none
}

// attempt is one upstream request of a sidecar, or of a client of the plain policy.
type attempt struct {
	try      int
	no       int // of the try's
	before   int // the try's attempt before this one; -1 is none
	box      int
	pool     int
	until    time.Duration
	sentAt   time.Duration
	visit    int // -1 until it is there
	state    attemptState
	newConn  bool
	conn     uint64
	baggage  string // that it takes along
	number   int    // in its try's account
	tried    budget.Tried
	settled  bool
	took     time.Duration // until its outcome; 0 while there is none
	status   balance.Status
	withdraw bool
}

type attemptState uint8

const (
	connecting attemptState = iota
	underWay                // written, on an open connection
	finished                // its connection is free or closed
)

// visit is what is kept of a visit beside its trace.
type visit struct {
	attempt int
	number  int // of that id at that box
	until   time.Duration
	call    int // the try that is out for it; -1 is none
	calls   int // of it that have ended
	tried   budget.Tried
	over    bool
}

func (s *sim) makeBoxes() {
	s.byName = map[string]int{}
	keys := make([]*model.DedupStore, len(s.p.Scenario.Tiers))
	for i := range s.p.Endpoints {
		b := &s.p.Endpoints[i]
		m := model.New(b.Spec, b.Seed)
		if keys[b.Tier] == nil {
			keys[b.Tier] = model.NewDedupStore(b.Spec.DedupWindow)
		}
		m.ShareDedup(keys[b.Tier])
		if b.Start == "cold" {
			m.Start(0, true)
		}
		s.boxes = append(s.boxes, box{m: m, wakes: model.Never, idle: make([]idleConns, len(s.p.Sidecars)+1),
			absent: b.Start == "absent", sidecar: -1})
		s.listed = append(s.listed, b.Start != "absent")
		s.byName[b.Name] = i
	}
	for i := range s.p.Sidecars {
		if box := s.p.Sidecars[i].Endpoint; box >= 0 {
			s.boxes[box].sidecar = i
		}
	}
}

func (s *sim) newAttempt(i, box int, until time.Duration) int {
	t := &s.tries[i]
	k := len(s.attempts)
	s.attempts = append(s.attempts, attempt{try: i, no: t.attempts, before: t.attempt, box: box, pool: t.sidecar, until: until,
		sentAt: s.now, visit: -1})
	t.attempts, t.attempt = t.attempts+1, k
	return k
}

// startAttempt takes an idle connection or opens one, and sends.
func (s *sim) startAttempt(i, box int, until time.Duration, carried string, number int) {
	k := s.newAttempt(i, box, until)
	s.attempts[k].baggage, s.attempts[k].number = carried, number
	a, b := &s.attempts[k], &s.boxes[box]
	if s.sidecars != nil { // a client of the plain policy has its own time-out
		s.at(until, event{kind: evTimeout, a: int32(k)})
	}
	s.retire(box, a.pool)
	if idle := b.idle[a.pool+1]; len(idle) > 0 {
		a.conn = idle[len(idle)-1].conn
		b.idle[a.pool+1] = idle[:len(idle)-1]
		a.state = underWay
		s.at(s.now+s.delay, event{kind: evVisit, a: int32(k)})
		return
	}
	s.conns++
	a.newConn, a.conn = true, s.conns
	switch {
	case b.absent || b.m.Phase(s.now) == model.Down:
		s.at(s.now+2*s.delay, event{kind: evOutcome, a: int32(k), b: int32(balance.ConnectFailed)})
	case b.m.Phase(s.now) == model.Unresponsive:
		s.at(s.now+s.p.Scenario.Rules.ConnectTimeout.D(), event{kind: evOutcome, a: int32(k), b: int32(balance.ConnectFailed)})
	default:
		s.at(s.now+2*s.delay, event{kind: evConnected, a: int32(k)})
	}
}

// connected is a connection's coming up, if the box takes it.
func (s *sim) connected(k int) {
	a := &s.attempts[k]
	if a.settled {
		return
	}
	switch s.boxes[a.box].m.Connect(s.now) {
	case model.ConnectionAccepted:
		a.state = underWay
		s.at(s.now+s.delay, event{kind: evVisit, a: int32(k)})
	case model.ConnectionRefused:
		s.settle(k, balance.ConnectFailed)
	case model.ConnectionDropped:
		s.at(a.sentAt+s.p.Scenario.Rules.ConnectTimeout.D(), event{kind: evOutcome, a: int32(k), b: int32(balance.ConnectFailed)})
	}
	s.act(a.box)
}

// visitArrives is a request's last byte at its box.
func (s *sim) visitArrives(k int) {
	a := &s.attempts[k]
	if a.state != underWay {
		return
	}
	b, t := &s.boxes[a.box], &s.log.ClientAttempts[a.try]
	switch b.m.Phase(s.now) {
	case model.Unresponsive: // it goes nowhere; the time-out ends it
		return
	case model.Down:
		s.breakOff(k)
		return
	}
	v := len(s.visits)
	number := 0
	for k := s.tries[a.try].attempt; k >= 0; k = s.attempts[k].before {
		if s.attempts[k].box == a.box && s.attempts[k].visit >= 0 {
			number++
		}
	}
	key := s.p.Requests[t.Request].IdempotencyKey
	s.log.EndpointRequests = append(s.log.EndpointRequests, trace.EndpointRequest{TransactionID: t.TransactionID, Endpoint: a.box, ConnectionID: uint64(k), FirstByte: s.now, LastByte: s.now,
		Started: trace.Unset, Ended: trace.Unset, IdempotencyKey: key})
	s.visits = append(s.visits, visit{attempt: k, number: number, until: s.now + s.told(a), call: -1})
	a.visit = v
	s.segments = s.p.Segments(s.segments[:0], t.Request, t.TransactionID, a.box, number)
	b.m.Arrive(s.now, model.Job{ID: uint64(v) + 1, IdempotencyKey: key, Segments: s.segments, NewConnection: a.newConn,
		Class: t.Class + 1, ConnectionID: a.conn})
	s.act(a.box)
	if a.withdraw { // its caller gave it up while it was on its way
		s.withdrawn(v)
	}
}

// told is how long an attempt's sender waits from now on, as it says.
func (s *sim) told(a *attempt) time.Duration {
	if a.baggage == "" {
		return a.until - s.now
	}
	return budget.Time(a.until-a.sentAt, 2*s.delay)
}

// boxWakes is a box's own time to do something.
func (s *sim) boxWakes(i int) {
	if s.boxes[i].wakes <= s.now {
		s.boxes[i].wakes = model.Never
	}
	s.act(i)
}

// act carries out what a box has done up to now, and has it woken when it next does something.
func (s *sim) act(i int) {
	b := &s.boxes[i]
	from := len(s.effects) // an effect may bring about others, of other boxes or of this one
	s.effects = b.m.Advance(s.now, s.effects)
	for k := from; k < len(s.effects); k++ {
		e := s.effects[k]
		s.effect(i, &e)
	}
	s.effects = s.effects[:from]
	if next := b.m.NextEvent(); next < b.wakes {
		b.wakes = next
		s.at(next, event{kind: evBox, a: int32(i)})
	}
}

func (s *sim) effect(i int, e *model.Event) {
	b := &s.boxes[i]
	if e.Kind == model.EventReset {
		s.reset(i)
		return
	}
	v := int(e.Job) - 1
	l, state := &s.log.EndpointRequests[v], &s.visits[v]
	switch e.Kind {
	case model.EventStarted:
		l.Started, l.Deduplicated = e.At, e.Deduplicated
	case model.EventResponded:
		l.Work = e.Work
		s.endVisit(v, e.At, answerEnds[e.Response])
		s.respond(state.attempt, e.Response)
	case model.EventLost:
		l.Work = e.Work
		end := trace.OutcomeCanceled
		if b.m.Phase(s.now) != model.Up || !s.attempts[state.attempt].withdraw {
			end = trace.OutcomeLost
		}
		s.endVisit(v, e.At, end)
	case model.EventCalling:
		s.callNext(i, v, e.Call)
	}
}

var answerEnds = [...]trace.Outcome{model.ResponseOK: trace.OutcomeOK, model.ResponseError: trace.OutcomeError, model.ResponseRejected: trace.OutcomeRejected,
	model.ResponseTruncated: trace.OutcomeCorrupted, model.ResponseCorrupted: trace.OutcomeCorrupted, model.ResponseTrickled: trace.OutcomeCorrupted}

func (s *sim) endVisit(v int, at time.Duration, end trace.Outcome) {
	if s.visits[v].over {
		return
	}
	s.visits[v].over = true
	s.log.EndpointRequests[v].Ended, s.log.EndpointRequests[v].Outcome = at, end
	s.dropCall(v)
}

// dropCall gives up the call that is out for a visit whose job is over.
func (s *sim) dropCall(v int) {
	if call := s.visits[v].call; call >= 0 && !s.tries[call].ended { // nobody needs it any more
		s.visits[v].call = -1
		s.tries[call].parent = -1
		s.tries[call].ended = true
		s.log.ClientAttempts[call].Status, s.log.ClientAttempts[call].Ended = trace.StatusCanceled, s.now
		s.at(s.now+s.delay, event{kind: evGone, a: int32(call)})
	}
}

// respond is a box's answer on its way back.
func (s *sim) respond(k int, answer model.Response) {
	status, after, keep := balance.OK, s.delay, true
	switch answer {
	case model.ResponseError:
		status = balance.Error
	case model.ResponseRejected:
		status = balance.Full
	case model.ResponseTruncated:
		status, keep = balance.Reset, false
	case model.ResponseCorrupted:
		status, keep = balance.Error, false
	case model.ResponseTrickled:
		status, after, keep = balance.Error, s.delay+dripCut, false
	}
	a := &s.attempts[k]
	if a.state != underWay {
		return
	}
	a.tried = s.visits[a.visit].tried
	if !keep {
		s.release(k, false)
	}
	s.at(s.now+after, event{kind: evOutcome, a: int32(k), b: int32(status)})
}

// release frees an attempt's connection for the next one, or closes it.
func (s *sim) release(k int, keep bool) {
	a := &s.attempts[k]
	if a.state != underWay {
		return
	}
	a.state = finished
	b := &s.boxes[a.box]
	if keep && b.m.Phase(s.now) == model.Up && (a.pool < 0 || s.sidecars[a.pool].b != nil) {
		b.idle[a.pool+1] = append(b.idle[a.pool+1], idleConn{s.now, a.conn})
		return
	}
	b.m.Disconnect(s.now)
	s.act(a.box)
}

// settle is an attempt's outcome at its sidecar.
func (s *sim) settle(k int, status balance.Status) {
	a := &s.attempts[k]
	if a.settled {
		return
	}
	a.settled, a.took, a.status = true, s.now-a.sentAt, status
	s.release(k, true)
	i := a.try
	t := &s.tries[i]
	won := status == balance.OK && !t.decided
	if t.account != nil {
		s.sidecars[t.sidecar].accounts.Ended(t.account, a.number, a.tried)
	}
	if s.sidecars == nil {
		s.plainOutcome(i, a.box, status)
		return
	}
	c := &s.sidecars[t.sidecar]
	if c.b == nil || c.life != t.life {
		return
	}
	if won {
		c.held--
		s.reply(i, trace.StatusServed, 200, 0, a.box)
	}
	s.decide(t.sidecar, &balance.Event{Kind: balance.EventOutcome, Request: balance.RequestID(i), Attempt: a.no,
		Closed: t.decided, Status: status, Final: a.tried.Told && status == balance.Error, Latency: s.now - a.sentAt})
}

// plainOutcome is the answer that a client has straight from a box.
func (s *sim) plainOutcome(i, box int, status balance.Status) {
	switch status {
	case balance.OK:
		s.reply(i, trace.StatusServed, 200, 0, box)
	case balance.Full:
		s.reply(i, trace.StatusRejected, 503, 0, box)
	case balance.ConnectFailed:
		s.reply(i, trace.StatusConnectFailed, 0, 0, -1)
	case balance.Error:
		s.reply(i, trace.StatusFailed, 500, 0, box)
	case balance.Reset:
		s.reply(i, trace.StatusDisconnected, 0, 0, -1)
	}
}

// timeOut is the end of a sidecar's waiting for an attempt.
func (s *sim) timeOut(k int) {
	a := &s.attempts[k]
	if a.settled {
		return
	}
	status := balance.Timeout
	if a.state == connecting {
		status = balance.ConnectFailed
	}
	s.giveUp(k)
	s.settle(k, status)
}

// cancel withdraws an attempt.
func (s *sim) cancel(k int) {
	a := &s.attempts[k]
	if a.settled || a.box < 0 {
		return
	}
	s.giveUp(k)
	s.at(s.now, event{kind: evOutcome, a: int32(k), b: int32(balance.Cancelled)})
}

// giveUp closes an attempt's connection, which its box notices a little later.
func (s *sim) giveUp(k int) {
	a := &s.attempts[k]
	if a.state != underWay {
		return
	}
	a.withdraw = true
	if a.visit >= 0 {
		s.at(s.now+s.delay, event{kind: evWithdraw, a: int32(a.visit)})
	}
	s.release(k, false)
}

// cutOff is an attempt whose sidecar has died.
func (s *sim) cutOff(k int) {
	if a := &s.attempts[k]; !a.settled && a.box >= 0 {
		a.settled = true
		s.giveUp(k)
	}
}

// withdrawn is a box's noticing that a caller has closed its connection.
func (s *sim) withdrawn(v int) {
	if s.visits[v].over {
		return
	}
	box := s.log.EndpointRequests[v].Endpoint
	s.boxes[box].m.Cancel(s.now, uint64(v)+1)
	s.act(box)
	if !s.visits[v].over { // the box works on, and so does its call
		s.visits[v].over = true
		s.log.EndpointRequests[v].Ended, s.log.EndpointRequests[v].Outcome = s.now, trace.OutcomeCanceled
	}
}

// breakOff is an attempt whose connection breaks after the request was written.
func (s *sim) breakOff(k int) {
	a := &s.attempts[k]
	if a.state != underWay {
		return
	}
	a.state = finished
	s.at(s.now+s.delay, event{kind: evOutcome, a: int32(k), b: int32(balance.Reset)})
}

// reset is the breaking of all of a box's connections.
func (s *sim) reset(i int) {
	b := &s.boxes[i]
	for pool := range b.idle {
		b.idle[pool] = b.idle[pool][:0]
	}
	for k := len(s.attempts) - 1; k >= 0 && s.attempts[k].sentAt >= s.now-s.longest; k-- {
		if a := &s.attempts[k]; a.box == i && a.state == underWay && !a.settled {
			s.breakOff(k)
		}
	}
	if b.m.Load(s.now).Collapsed && !b.fallen {
		b.fallen = true
		s.listed[i] = false
		s.at(s.now+s.p.Scenario.Discovery.RemoveDelay.D(), event{kind: evFell, a: int32(i)})
	}
}

// fell is discovery's noticing that a box has fallen over.
func (s *sim) fell(i int) {
	for c := range s.sidecars {
		if s.p.Sidecars[c].Tier == s.p.Endpoints[i].Tier {
			s.tell(c, plan.ListEntry{Endpoint: i, Phase: trace.PhaseGone})
		}
	}
}

// closeIdle closes a sidecar's idle connections to a box.
func (s *sim) closeIdle(box, pool int) {
	b := &s.boxes[box]
	for range b.idle[pool+1] {
		b.m.Disconnect(s.now)
	}
	b.idle[pool+1] = b.idle[pool+1][:0]
}

// callNext makes a box's call to the next tier, through its own sidecar.
func (s *sim) callNext(i, v, call int) {
	l, state := &s.log.EndpointRequests[v], &s.visits[v]
	parent := &s.log.ClientAttempts[s.attempts[state.attempt].try]
	left := state.until - s.now
	if !s.p.Scenario.Rules.PropagatesDeadline {
		left = s.p.Scenario.Classes[parent.Class].Deadline.D()
	}
	if left <= 0 || s.sidecars != nil && s.boxes[i].sidecar < 0 {
		s.returned(v, false, budget.Tried{})
		return
	}
	t := trace.ClientAttempt{TransactionID: s.p.CallTransactionID(l.TransactionID, i, state.number, call), Parent: l.TransactionID, Request: parent.Request, Tier: s.p.Scenario.NextTierIndex(s.p.Endpoints[i].Tier),
		Class: parent.Class, Due: s.now, Sent: s.now, Timeout: left, Ended: trace.Unset, Endpoint: -1, Sidecar: s.boxes[i].sidecar}
	state.call = s.send(t, v)
	if s.p.Scenario.Tiers[s.p.Endpoints[i].Tier].Propagates == "all" {
		s.tries[state.call].baggage = s.attempts[state.attempt].baggage
	}
}

// returned is the end of a box's call.
func (s *sim) returned(v int, ok bool, t budget.Tried) {
	box := s.log.EndpointRequests[v].Endpoint
	s.visits[v].call = -1
	if s.visits[v].calls++; s.visits[v].calls > 1 {
		t = s.visits[v].tried.And(t)
	}
	if s.p.Scenario.Tiers[s.p.Endpoints[box].Tier].Propagates == "all" {
		s.visits[v].tried = t
	}
	s.boxes[box].m.CallReturned(s.now, uint64(v)+1, ok)
	s.act(box)
}
