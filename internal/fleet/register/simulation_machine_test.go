package register

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// machine is a simulated machine: an acceptor with its disk, a proposer and a planner, run like in package coordinator.
type machine struct {
	sim     *simulation
	address string
	zone    string
	disk    disk
	boot    int // incremented by each start and stop of the process; cancels events scheduled before
	isUp    bool
	leaving bool

	frozenUntil        time.Duration // end of the process's freeze
	deferred           []func()      // actions to execute after the freeze
	nextFreezeDuration time.Duration // freeze between the proposer's next step and its messages; 0: none
	bootedAt           time.Duration
	clockOffset        time.Duration
	clockRate          float64

	acceptor        *Acceptor
	proposer        *Proposer
	planner         *Planner
	calls           map[callKey]*callState
	keys            map[uint64]callKey // of the calls in progress, by Call.ID
	lastID          uint64
	deciding        uint64 // Call.ID of the operation in progress on the next acceptors; 0: none
	nextHello       time.Duration
	nextMaintenance time.Duration
}

// The intervals and time-outs of package coordinator's loops.
const (
	maintenanceInterval = 100 * time.Millisecond
	helloInterval       = 500 * time.Millisecond
	replyTTL            = 5 * time.Second
	decideTimeout       = 800 * time.Millisecond
)

// disk is the state that survives a crash, encoded as in package coordinator.
type disk struct {
	hardState HardState
	records   [][]byte
}

func (d *disk) format(h HardState) { *d = disk{hardState: h} }

func (d *disk) write(w *Write) {
	var hardState HardState
	decode(encode(&w.HardState), &hardState)
	d.hardState = hardState
	if w.Replace {
		d.records = nil
	}
	if len(w.Changed) > 0 {
		d.records = append(d.records, encode(w.Changed))
	}
}

func (d *disk) read() (HardState, [][]Stored) {
	var hardState HardState
	decode(encode(&d.hardState), &hardState)
	records := make([][]Stored, len(d.records))
	for i := range d.records {
		decode(d.records[i], &records[i])
	}
	return hardState, records
}

// callRequest requests that a proposer execute an operation, like CallRequest of package coordinator.
type callRequest struct {
	ID        uint64                 `cbor:"1,keyasint"`
	Operation coordination.Operation `cbor:"2,keyasint"`
	Timeout   time.Duration          `cbor:"3,keyasint"`
	Park      time.Duration          `cbor:"4,keyasint,omitempty"`
}

// callReply is the reply to a callRequest.
type callReply struct {
	ID        uint64              `cbor:"1,keyasint"`
	Certainty Certainty           `cbor:"2,keyasint"`
	Result    coordination.Result `cbor:"3,keyasint"`
	Boot      int                 `cbor:"4,keyasint"` // identifies the process that replies
}

type callKey struct {
	from string
	id   uint64
}

type callState struct {
	reply *callReply // nil: the call is in progress
	until time.Duration
}

// start starts the machine's process with the contents of its disk, and its clock at a random time.
func (m *machine) start() {
	s := m.sim
	m.boot++
	m.isUp, m.leaving, m.frozenUntil, m.nextFreezeDuration, m.deferred = true, false, 0, 0, nil
	m.bootedAt, m.clockOffset = s.now, s.randomDuration(time.Hour, 2*time.Hour)
	m.clockRate = 1 + maxClockDrift*(2*s.random.Float64()-1)
	hardState, records := m.disk.read()
	m.acceptor = NewAcceptor(m.clock(), hardState, records, stateOptions())
	m.acceptor.maxPieceBytes = simulatedPieceBytes
	m.proposer = NewProposer(ProposerOptions{State: stateOptions(), Random: rand.New(rand.NewPCG(s.random.Uint64(), 1))})
	m.planner = NewPlanner(s.setup.tolerance)
	m.calls, m.keys, m.lastID, m.deciding = map[callKey]*callState{}, map[uint64]callKey{}, 0, 0
	m.nextHello, m.nextMaintenance = 0, 0
	m.scheduleTick(s.randomDuration(0, machineTick))
}

// powerOff ends the machine's process and restarts it after a time.
func (m *machine) powerOff(span time.Duration) {
	m.isUp = false
	m.boot++
	boot := m.boot
	m.sim.after(span, func() {
		if !m.isUp && m.boot == boot {
			m.start()
		}
	})
}

// wipe erases the machine's disk and ends its process, which restarts after a time with a new identity.
func (m *machine) wipe(span time.Duration) {
	s := m.sim
	s.lossBudget--
	s.lastLoss = s.now
	s.lostIdentities[m.disk.hardState.Self] = true
	s.logEvent("%s loses its disk, %v, ready in epoch %d", m.address, m.disk.hardState.Self, m.disk.hardState.ReadyEpoch)
	m.disk.format(InitialHardState(m.address, s.nonce(), nil))
	m.powerOff(span)
}

// clock returns the time of the machine's monotonic clock, which drifts by up to maxClockDrift.
func (m *machine) clock() time.Duration {
	return m.clockOffset + time.Duration(float64(m.sim.now-m.bootedAt)*m.clockRate)
}

// freeze suspends the machine's process for a time.
func (m *machine) freeze(span time.Duration) {
	m.frozenUntil = max(m.frozenUntil, m.sim.now+span)
	boot := m.boot
	m.sim.after(span, func() {
		if m.boot == boot && m.sim.now >= m.frozenUntil {
			m.thaw()
		}
	})
}

// thaw resumes the process with the actions that were deferred.
func (m *machine) thaw() {
	m.frozenUntil = 0
	deferred, boot := m.deferred, m.boot
	m.deferred = nil
	for _, do := range deferred {
		if m.boot == boot {
			m.whenRunning(do)
		}
	}
}

// whenRunning executes an action now, or after the freeze if the process is frozen. It drops it if the process is down.
func (m *machine) whenRunning(do func()) {
	switch {
	case !m.isUp:
	case m.sim.now < m.frozenUntil:
		m.deferred = append(m.deferred, do)
	default:
		do()
	}
}

func (m *machine) scheduleTick(span time.Duration) {
	boot := m.boot
	m.sim.after(span, func() {
		if m.boot != boot {
			return
		}
		m.whenRunning(func() {
			m.tick()
			if m.boot == boot {
				m.scheduleTick(machineTick)
			}
		})
	})
}

func (m *machine) deliver(p *packet) {
	m.whenRunning(func() { m.receive(p.from, p.message()) })
}

func (m *machine) receive(from replication.Replica, message any) {
	switch message := message.(type) {
	case *Reply:
		m.execute(m.proposer.Receive(m.clock(), from, message))
	case *callRequest:
		m.onCall(from.Address, message)
	case *Hello:
		if message.Config.Epoch > m.acceptor.HardState().Config.Epoch {
			m.apply(m.acceptor.Receive(m.clock(), from, message))
		}
		if m.isUp {
			m.onHello(from.Address, message)
		}
	default:
		m.apply(m.acceptor.Receive(m.clock(), from, message))
	}
}

// apply carries out a step of the acceptor: first the write, then the messages. The machine may lose power before or
// after the write.
func (m *machine) apply(out *Output) {
	s := m.sim
	step := m.changeStepOf(out)
	losesPower := s.isArmed(step) || out.Write != nil && !s.healed && s.oneIn(4000)
	if losesPower && s.oneIn(2) {
		m.losePower(step, "before a write")
		return
	}
	if out.Write != nil {
		m.disk.write(out.Write)
	}
	self := m.acceptor.HardState().Self
	if losesPower {
		m.losePower(step, "after a write")
		out.Send = slices.DeleteFunc(out.Send, func(Outgoing) bool { return s.oneIn(2) }) // the remaining ones were sent before the power loss
	}
	if s.lostIdentities[self] && len(out.Send) > 0 {
		s.fail("%s sends messages as %v, whose disk is lost", m.address, self)
	}
	for _, outgoing := range out.Send {
		s.send(self, outgoing.To, outgoing.Message)
	}
}

// execute carries out a step of the proposer. The process may freeze between the step and its messages.
func (m *machine) execute(out *ProposerOutput) {
	if m.nextFreezeDuration > 0 && len(out.Send)+len(out.Completed) > 0 {
		m.sim.logEvent("%s freezes for %v between a step and its messages", m.address, m.nextFreezeDuration)
		m.freeze(m.nextFreezeDuration)
		m.nextFreezeDuration = 0
	}
	m.whenRunning(func() {
		for _, outgoing := range out.Send {
			m.sim.send(replication.Replica{Address: m.address}, outgoing.To, outgoing.Message)
		}
		boot := m.boot
		for _, completion := range out.Completed {
			if m.boot == boot {
				m.complete(completion)
			}
		}
	})
}

// tick advances the proposer, and every maintenanceInterval also the acceptor and the planner.
func (m *machine) tick() {
	now := m.clock()
	m.execute(m.proposer.Tick(now))
	if !m.isUp || now < m.nextMaintenance || m.sim.now < m.frozenUntil {
		return
	}
	m.nextMaintenance = now + maintenanceInterval
	m.apply(m.acceptor.Tick(now))
	if !m.isUp {
		return
	}
	m.setConfig(m.acceptor.HardState().Config)
	m.planner.Observe(now, m.hello())
	for key, state := range m.calls {
		if now > state.until {
			delete(m.calls, key)
		}
	}
	if now >= m.nextHello {
		m.nextHello = now + helloInterval
		m.sendHellos()
	}
	m.plan(now)
}

// onCall executes a call once. A duplicate gets the reply of the first request, if there is one already.
func (m *machine) onCall(from string, request *callRequest) {
	key, now := callKey{from: from, id: request.ID}, m.clock()
	if state := m.calls[key]; state != nil {
		if state.reply != nil {
			m.sim.send(replication.Replica{Address: m.address}, from, state.reply)
		}
		return
	}
	m.calls[key] = &callState{until: now + request.Timeout + request.Park + replyTTL}
	m.lastID++
	m.keys[m.lastID] = key
	m.execute(m.proposer.Submit(now, &Call{
		ID: m.lastID, Operation: request.Operation, Deadline: now + request.Timeout, ParkUntil: now + request.Park,
	}))
}

func (m *machine) complete(c Completion) {
	if c.ID == m.deciding {
		m.onDecided(c)
		return
	}
	key, known := m.keys[c.ID]
	if !known {
		m.sim.fail("%s completes call %d twice", m.address, c.ID)
		return
	}
	delete(m.keys, c.ID)
	reply := &callReply{ID: key.id, Certainty: c.Certainty, Result: c.Result, Boot: m.boot}
	if state := m.calls[key]; state != nil {
		state.reply = reply
	}
	m.sim.send(replication.Replica{Address: m.address}, key.from, reply)
}

// onHello records a Hello and adopts its Config if that is newer. A sender with an older Config gets a Hello in return.
func (m *machine) onHello(from string, hello *Hello) {
	m.planner.Observe(m.clock(), hello)
	m.setConfig(hello.Config)
	if hello.Config.Epoch < m.proposer.Config().Epoch {
		m.sim.send(replication.Replica{Address: m.address}, from, m.hello())
	}
}

func (m *machine) setConfig(config Config) {
	if config.Epoch > m.proposer.Config().Epoch {
		m.execute(m.proposer.SetConfig(m.clock(), config))
	}
}

func (m *machine) hello() *Hello {
	h := m.acceptor.HardState()
	return &Hello{Config: m.proposer.Config(), Self: h.Self, ReadyEpoch: h.ReadyEpoch, Zone: m.zone, Region: m.zone, Leaving: m.leaving, Votes: true}
}

func (m *machine) sendHellos() {
	for _, other := range m.sim.machines {
		if other != m {
			m.sim.send(replication.Replica{Address: m.address}, other.address, m.hello())
		}
	}
}
