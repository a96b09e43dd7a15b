package coordinator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	minTick       = 2 * time.Millisecond
	restTick      = 100 * time.Millisecond
	helloInterval = 500 * time.Millisecond
	replyTTL      = 5 * time.Second // for which a repeated call gets the first one's reply
	decideTimeout = 800 * time.Millisecond
	maxNames      = 50_000 // registers of an acceptor, beyond which no new one is made
)

// ProposerStatus is what other goroutines may know of the proposer.
type ProposerStatus struct {
	Config register.Config
	Names  int
}

// callKey identifies a call of another machine.
type callKey struct {
	from string
	id   uint64
}

// callState is a call that the proposer was asked to execute.
type callState struct {
	name  coordination.Name
	reply *CallReply // nil: it is under way
	until time.Duration
}

// proposerLoop runs the machine's proposer, and the choice of the next acceptors.
type proposerLoop struct {
	service   *Service
	inbox     chan received
	proposer  *register.Proposer
	planner   *register.Planner
	calls     map[callKey]*callState
	keys      map[uint64]callKey // of the calls under way, by the number that the proposer knows them by
	lastID    uint64
	process   uint64            // drawn at the start: a call that is meant for the process before is not executed
	ready     map[string]uint64 // the newest epoch in which each machine's acceptor is known to take part
	deciding  uint64            // the number of the call by which the next acceptors are decided; 0: none
	nextHello time.Duration
	nextRest  time.Duration
	published atomic.Pointer[ProposerStatus]
}

func newProposerLoop(s *Service) *proposerLoop {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l := &proposerLoop{
		service:  s,
		inbox:    make(chan received, inboxSize),
		process:  random.Uint64() | 1,
		proposer: register.NewProposer(register.ProposerOptions{State: s.options.State, Random: random}),
		planner:  register.NewPlanner(s.options.Tolerance),
		calls:    map[callKey]*callState{},
		keys:     map[uint64]callKey{},
		ready:    map[string]uint64{},
	}
	l.published.Store(&ProposerStatus{})
	return l
}

func (l *proposerLoop) deliver(from replication.Replica, message any) {
	l.service.enqueue(l.inbox, from, message)
}

func (l *proposerLoop) now() time.Duration { return l.service.options.Clock() }

func (l *proposerLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := l.now()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.receive(m)
		case <-timer.C:
			l.tick()
			due = l.now() + restTick
			timer.Reset(restTick)
		}
		if next, waits := l.proposer.NextTick(); waits && next < due {
			due = max(next, l.now()+minTick)
			timer.Reset(due - l.now())
		}
	}
}

// tick does what is due.
func (l *proposerLoop) tick() {
	now := l.now()
	l.execute(l.proposer.Tick(now))
	if now < l.nextRest {
		return
	}
	l.nextRest = now + restTick
	status := l.service.acceptor.status()
	l.setConfig(status.Config)
	l.planner.Observe(now, l.hello())
	l.forgetCalls(now)
	if now >= l.nextHello {
		l.nextHello = now + helloInterval
		l.sendHellos()
	}
	l.plan(now, status)
	l.published.Store(&ProposerStatus{Config: l.proposer.Config(), Names: l.proposer.RegisterCount()})
}

func (l *proposerLoop) receive(m received) {
	switch message := m.message.(type) {
	case *register.Reply:
		l.execute(l.proposer.Receive(l.now(), m.from, message))
	case *register.Hello:
		l.onHello(m.from.Address, message)
	case *CallRequest:
		l.onCall(m.from.Address, message)
	}
}

// execute carries out a step of the proposer.
func (l *proposerLoop) execute(out *register.ProposerOutput) {
	for _, outgoing := range out.Send {
		l.service.send(outgoing.To, 0, outgoing.Message)
	}
	for _, completion := range out.Completed {
		l.complete(completion)
	}
}

// onCall executes a call, once: where it comes again, it gets the first one's reply.
func (l *proposerLoop) onCall(from string, m *CallRequest) {
	key := callKey{from: from, id: m.ID}
	if state := l.calls[key]; state != nil {
		l.service.Counters.Duplicates.Add(1)
		reply := state.reply
		if reply == nil {
			reply = &CallReply{ID: m.ID}
		}
		l.reply(from, reply)
		return
	}
	if m.Process != 0 && m.Process != l.process {
		l.reply(from, &CallReply{ID: m.ID})
		return
	}
	if !m.Operation.MatchesNameKind() || l.proposer.Config().Epoch == 0 {
		return // another machine may know the acceptors
	}
	if l.service.IsResuming() {
		return // a call that waited through a pause of this process is its caller's no more
	}
	if !l.proposer.HasRegister(m.Operation.Name) && l.service.acceptor.status().Names >= maxNames {
		l.reply(from, &CallReply{ID: m.ID, Certainty: register.NotExecuted})
		return
	}
	now := l.now()
	l.calls[key] = &callState{name: m.Operation.Name, until: now + m.Timeout + m.Park + replyTTL}
	l.lastID++
	l.keys[l.lastID] = key
	l.execute(l.proposer.Submit(now, &register.Call{
		ID: l.lastID, Operation: m.Operation, Deadline: now + m.Timeout, ParkUntil: now + m.Park,
	}))
}

func (l *proposerLoop) complete(c register.Completion) {
	if c.ID == l.deciding {
		l.onDecided(c)
		return
	}
	key, known := l.keys[c.ID]
	if !known {
		return
	}
	delete(l.keys, c.ID)
	reply := &CallReply{ID: key.id, Certainty: c.Certainty, Result: c.Result}
	if state := l.calls[key]; state != nil {
		state.reply = reply
		l.noteExpiry(state.name, &c)
	}
	l.reply(key.from, reply)
}

func (l *proposerLoop) reply(to string, reply *CallReply) {
	reply.Process = l.process
	l.service.send(to, 0, reply)
}

// noteExpiry counts and logs a lock that has passed on because its holder's time had run out.
func (l *proposerLoop) noteExpiry(name coordination.Name, c *register.Completion) {
	if c.Certainty != register.Decided || c.Result.Expired == "" {
		return
	}
	l.service.Counters.ExpiredLocks.Add(1)
	l.service.options.Log.Debug("lock expired: another holder has it", zap.String("lock", name.ID), zap.String("former", c.Result.Expired),
		zap.Uint64("fence", c.Result.Fence))
}

func (l *proposerLoop) forgetCalls(now time.Duration) {
	if l.service.IsResuming() {
		return // copies of the calls may wait to be read
	}
	for key, state := range l.calls {
		if now > state.until {
			delete(l.calls, key)
		}
	}
}

// onHello learns of acceptors, and tells a machine that knows older ones.
func (l *proposerLoop) onHello(from string, m *register.Hello) {
	l.planner.Observe(l.now(), m)
	l.setConfig(m.Config)
	switch epoch := l.proposer.Config().Epoch; {
	case m.Config.Epoch < epoch:
		l.service.send(from, 0, l.hello())
	case m.ReadyEpoch == epoch:
		l.resume(from)
	}
}

// resume asks an acceptor for what it could not answer before it was ready.
func (l *proposerLoop) resume(address string) {
	if l.ready[address] == l.proposer.Config().Epoch {
		return
	}
	l.ready[address] = l.proposer.Config().Epoch
	l.execute(l.proposer.Resume(l.now(), address))
}

func (l *proposerLoop) setConfig(config register.Config) {
	if config.Epoch > l.proposer.Config().Epoch {
		l.execute(l.proposer.SetConfig(l.now(), config))
	}
}

// hello returns what this machine says of itself. An acceptor whose identity is not durable is not named.
func (l *proposerLoop) hello() *register.Hello {
	options := &l.service.options
	status := l.service.acceptor.status()
	hello := &register.Hello{
		Config: l.proposer.Config(), Zone: options.Zone, Region: options.Region, Votes: options.Votes, Leaving: options.Leaving(),
	}
	if status.Durable {
		hello.Self, hello.ReadyEpoch = status.Self, status.ReadyEpoch
	}
	return hello
}

func (l *proposerLoop) sendHellos() {
	hello := l.hello()
	told := map[string]bool{l.service.options.Address: true}
	tell := func(address string) {
		if !told[address] {
			told[address] = true
			l.service.options.Send(address, 0, hello)
		}
	}
	for _, peer := range l.service.options.Peers() {
		tell(peer)
	}
	for _, acceptor := range hello.Config.Acceptors {
		tell(acceptor.Address)
	}
}

// plan has the present acceptors decide the next ones, where this machine is to propose them, or asks whether they have.
func (l *proposerLoop) plan(now time.Duration, status AcceptorStatus) {
	config := l.proposer.Config()
	next, ok := l.planner.Next(now, config, status.Self)
	if l.deciding != 0 {
		return
	}
	var operation coordination.Operation
	switch {
	case ok:
		var err error
		if operation, err = register.DecideNext(next); err != nil {
			l.service.options.Log.Error("can't encode the next acceptors", zap.Error(err))
			return
		}
		l.service.options.Log.Info("changing the acceptors", zap.Uint64("epoch", next.Epoch), zap.Any("acceptors", next.Acceptors),
			zap.Any("former", next.Previous))
	case l.planner.ShouldQueryNext(now, config, status.Self):
		operation = register.QueryNext(config.Epoch)
	default:
		return
	}
	l.lastID++
	l.deciding = l.lastID
	l.execute(l.proposer.Submit(now, &register.Call{ID: l.deciding, Operation: operation, Deadline: now + decideTimeout}))
}

// onDecided takes over the acceptors that were decided, and tells the others.
func (l *proposerLoop) onDecided(c register.Completion) {
	l.deciding = 0
	if c.Certainty != register.Decided || c.Result.Value == "" {
		return
	}
	next, err := register.DecodeConfig(c.Result.Value)
	if err != nil {
		l.service.options.Log.Error("can't decode the next acceptors", zap.Error(err))
		return
	}
	l.service.acceptor.deliver(replication.Replica{Address: l.service.options.Address}, &register.Hello{Config: next})
	l.setConfig(next)
	l.sendHellos()
}
