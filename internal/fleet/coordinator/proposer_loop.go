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
	minTickInterval     = 2 * time.Millisecond
	maintenanceInterval = 100 * time.Millisecond
	helloInterval       = 500 * time.Millisecond
	replyTTL            = 5 * time.Second // how long, after a call's time-out and Park, its copies still get the same reply
	decideTimeout       = 800 * time.Millisecond
	maxRegisters        = 50_000 // if its acceptor stores as many, a machine's proposer refuses calls for names that it hasn't used
)

// ProposerStatus is a copy of the proposer's state for other goroutines.
type ProposerStatus struct {
	Config        register.Config
	UsedRegisters int  // number of registers that the proposer has used since its start
	Full          bool // an acceptor has no room
}

// callKey identifies a call of another machine.
type callKey struct {
	from string
	id   uint64
}

// callState is the state of a call that was submitted to the proposer.
type callState struct {
	name      coordination.Name
	reply     *CallReply    // nil: the call is in progress
	expiresAt time.Duration // when the state is removed
}

// proposerLoop runs the machine's proposer and the planner that chooses the next acceptor set.
type proposerLoop struct {
	service           *Service
	inbox             chan receivedMessage
	proposer          *register.Proposer
	planner           *register.Planner
	calls             map[callKey]*callState
	keysByCallID      map[uint64]callKey // of the calls in progress, by register.Call.ID
	lastID            uint64             // the last register.Call.ID that was assigned
	process           uint64             // drawn at random at the start: a call that is bound to an earlier process is not executed
	room              acceptorRoom
	readyEpochs       map[string]uint64 // by address: the newest epoch in which the machine's acceptor has reported that it is ready
	configCallID      uint64            // register.Call.ID of the call that decides or queries the next acceptor set; 0: none
	nextHelloAt       time.Duration
	nextMaintenanceAt time.Duration
	published         atomic.Pointer[ProposerStatus]
}

func newProposerLoop(s *Service) *proposerLoop {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l := &proposerLoop{
		service:      s,
		inbox:        make(chan receivedMessage, inboxSize),
		process:      random.Uint64() | 1,
		proposer:     register.NewProposer(register.ProposerOptions{State: s.options.State, Random: random}),
		planner:      register.NewPlanner(s.options.Tolerance),
		calls:        map[callKey]*callState{},
		keysByCallID: map[uint64]callKey{},
		readyEpochs:  map[string]uint64{},
	}
	l.published.Store(&ProposerStatus{})
	return l
}

func (l *proposerLoop) deliver(m receivedMessage) { l.service.enqueue(l.inbox, m) }

func (l *proposerLoop) now() time.Duration { return l.service.options.Clock() }

func (l *proposerLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextTickAt := l.now()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.receive(m)
		case <-timer.C:
			l.tick()
			nextTickAt = l.now() + maintenanceInterval
			timer.Reset(maintenanceInterval)
		}
		if next, isScheduled := l.proposer.NextTick(); isScheduled && next < nextTickAt {
			nextTickAt = max(next, l.now()+minTickInterval)
			timer.Reset(nextTickAt - l.now())
		}
	}
}

// tick lets the proposer handle time-outs and, once per maintenanceInterval, does the periodic work of the loop.
func (l *proposerLoop) tick() {
	now := l.now()
	l.execute(l.proposer.Tick(now))
	if now < l.nextMaintenanceAt {
		return
	}
	l.nextMaintenanceAt = now + maintenanceInterval
	status := l.service.acceptor.status()
	l.setConfig(status.Config)
	l.planner.Observe(now, l.hello())
	l.removeExpiredCalls(now)
	l.proposer.Compact(now)
	l.observeRoom(now)
	if now >= l.nextHelloAt {
		l.nextHelloAt = now + helloInterval
		l.sendHellos()
	}
	l.planNextConfig(now, status)
	l.published.Store(&ProposerStatus{Config: l.proposer.Config(), UsedRegisters: l.proposer.RegisterCount(), Full: !l.hasRoom()})
}

func (l *proposerLoop) receive(m receivedMessage) {
	l.service.queued.Release(m.size)
	switch message := m.message.(type) {
	case *register.Reply:
		l.execute(l.proposer.Receive(l.now(), m.from, message))
	case *register.Hello:
		l.onHello(m.from.Address, message)
	case *CallRequest:
		l.onCall(m.from.Address, message)
	}
}

// execute carries out the output of a proposer's step.
func (l *proposerLoop) execute(out *register.ProposerOutput) {
	for _, outgoing := range out.Send {
		l.service.send(outgoing.To, 0, outgoing.Message)
	}
	for _, completion := range out.Completed {
		l.complete(completion)
	}
}

// onCall starts to execute a call. A copy of a known call is not executed: it gets the same reply, or one without a certainty
// while the call is in progress.
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
	// An operation that its name's kind doesn't allow gets no reply, nor does any operation while the acceptors are unknown.
	if !m.Operation.MatchesNameKind() || l.proposer.Config().Epoch == 0 {
		return // the forwarder then tries another machine, which may know the acceptors
	}
	if l.service.IsResuming() {
		return // the call may have been queued during the pause, so that its caller has already given up
	}
	if !l.proposer.HasRegister(m.Operation.Name) && l.service.acceptor.status().StoredRegisters >= maxRegisters {
		l.reply(from, &CallReply{ID: m.ID, Certainty: register.NotExecuted})
		return
	}
	now := l.now()
	l.calls[key] = &callState{name: m.Operation.Name, expiresAt: now + m.Timeout + m.Park + replyTTL}
	l.lastID++
	l.keysByCallID[l.lastID] = key
	l.execute(l.proposer.Submit(now, &register.Call{
		ID: l.lastID, Operation: m.Operation, Deadline: now + m.Timeout, ParkUntil: now + m.Park,
	}))
}

func (l *proposerLoop) complete(c register.Completion) {
	if c.ID == l.configCallID {
		l.onConfigDecided(c)
		return
	}
	key, known := l.keysByCallID[c.ID]
	if !known {
		return
	}
	delete(l.keysByCallID, c.ID)
	reply := &CallReply{ID: key.id, Certainty: c.Certainty, Result: c.Result}
	if state := l.calls[key]; state != nil {
		state.reply = reply
		l.recordLockExpiry(state.name, &c)
	}
	l.reply(key.from, reply)
}

func (l *proposerLoop) reply(to string, reply *CallReply) {
	reply.Process = l.process
	l.service.send(to, 0, reply)
}

// recordLockExpiry counts and logs a lock that was granted to another holder because the former holder's lease had expired.
func (l *proposerLoop) recordLockExpiry(name coordination.Name, c *register.Completion) {
	if c.Certainty != register.Decided || c.Result.Expired == "" {
		return
	}
	l.service.Counters.ExpiredLocks.Add(1)
	l.service.options.Log.Debug("lock expired: another holder has it", zap.String("lock", name.ID), zap.String("former", c.Result.Expired),
		zap.Uint64("fence", c.Result.Fence))
}

func (l *proposerLoop) removeExpiredCalls(now time.Duration) {
	if l.service.IsResuming() {
		return // copies of the calls may still be queued in the sockets
	}
	for key, state := range l.calls {
		if now > state.expiresAt {
			delete(l.calls, key)
		}
	}
}

// onHello adopts a newer acceptor set, or sends the current one to a machine that has an older one.
func (l *proposerLoop) onHello(from string, m *register.Hello) {
	l.planner.Observe(l.now(), m)
	l.room.observe(l.now(), from, m.Full)
	l.setConfig(m.Config)
	switch epoch := l.proposer.Config().Epoch; {
	case m.Config.Epoch < epoch:
		l.service.send(from, 0, l.hello())
	case m.ReadyEpoch == epoch:
		l.resume(from)
	}
}

// resume resends, once per epoch, the requests that an acceptor could not answer before it was ready.
func (l *proposerLoop) resume(address string) {
	if l.readyEpochs[address] == l.proposer.Config().Epoch {
		return
	}
	l.readyEpochs[address] = l.proposer.Config().Epoch
	l.execute(l.proposer.Resume(l.now(), address))
}

func (l *proposerLoop) setConfig(config register.Config) {
	if config.Epoch > l.proposer.Config().Epoch {
		l.execute(l.proposer.SetConfig(l.now(), config))
	}
}

// hello returns this machine's Hello. It contains the acceptor's identity only if that is durable.
func (l *proposerLoop) hello() *register.Hello {
	options := &l.service.options
	status := l.service.acceptor.status()
	hello := &register.Hello{
		Config: l.proposer.Config(), Zone: options.Zone, Region: options.Region, Votes: options.Votes, Leaving: options.Leaving(),
	}
	if status.Durable {
		hello.Self, hello.ReadyEpoch = status.Self, status.ReadyEpoch
	}
	hello.Full = l.service.isFull(&status)
	return hello
}

func (l *proposerLoop) sendHellos() {
	hello := l.hello()
	sentTo := map[string]bool{l.service.options.Address: true}
	sendOnce := func(address string) {
		if !sentTo[address] {
			sentTo[address] = true
			l.service.options.Send(address, 0, hello)
		}
	}
	for _, peer := range l.service.options.Peers() {
		sendOnce(peer)
	}
	for _, acceptor := range hello.Config.Acceptors {
		sendOnce(acceptor.Address)
	}
}

// planNextConfig proposes the next acceptor set to the current acceptors, or queries whether they have decided one, if the
// planner selects this machine for that. Only one such call is in progress at a time.
func (l *proposerLoop) planNextConfig(now time.Duration, status AcceptorStatus) {
	config := l.proposer.Config()
	next, ok := l.planner.Next(now, config, status.Self)
	if l.configCallID != 0 {
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
	l.configCallID = l.lastID
	l.execute(l.proposer.Submit(now, &register.Call{ID: l.configCallID, Operation: operation, Deadline: now + decideTimeout}))
}

// onConfigDecided adopts the acceptor set that was decided, if any, and sends it to the other machines.
func (l *proposerLoop) onConfigDecided(c register.Completion) {
	l.configCallID = 0
	if c.Certainty != register.Decided || c.Result.Value == "" {
		return
	}
	next, err := register.DecodeConfig(c.Result.Value)
	if err != nil {
		l.service.options.Log.Error("can't decode the next acceptors", zap.Error(err))
		return
	}
	l.service.acceptor.deliver(receivedMessage{from: replication.Replica{Address: l.service.options.Address}, message: &register.Hello{Config: next}})
	l.setConfig(next)
	l.sendHellos()
}
