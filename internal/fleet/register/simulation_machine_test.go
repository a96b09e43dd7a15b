package register

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// machine is one machine of a simulation: an acceptor with its disk, a proposer and a planner, run as package coordinator runs them.
type machine struct {
	sim     *simulation
	address string
	zone    string
	disk    disk
	boot    int // counts starts: what was scheduled before the last one no longer happens
	isUp    bool
	leaving bool

	frozenUntil        time.Duration // until when its process stands still
	deferred           []func()      // what it does then
	nextFreezeDuration time.Duration // the next step of the proposer is cut off for so long before its messages leave
	bootedAt           time.Duration
	clockOffset        time.Duration
	clockRate          float64

	acceptor        *Acceptor
	proposer        *Proposer
	planner         *Planner
	calls           map[callKey]*callState
	keys            map[uint64]callKey // of the calls under way, by the number that the proposer knows them by
	lastID          uint64
	deciding        uint64 // the number of the call by which the next acceptors are decided; 0: none
	nextHello       time.Duration
	nextMaintenance time.Duration
}

// The times of package coordinator's loops.
const (
	maintenanceInterval = 100 * time.Millisecond
	helloInterval       = 500 * time.Millisecond
	replyTTL            = 5 * time.Second
	decideTimeout       = 800 * time.Millisecond
)

// disk is what survives a crash: encoded, as package coordinator stores it.
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

// callRequest asks a proposer to execute an operation, as package coordinator's does.
type callRequest struct {
	ID        uint64                 `cbor:"1,keyasint"`
	Operation coordination.Operation `cbor:"2,keyasint"`
	Timeout   time.Duration          `cbor:"3,keyasint"`
	Park      time.Duration          `cbor:"4,keyasint,omitempty"`
}

// callReply answers a callRequest.
type callReply struct {
	ID        uint64              `cbor:"1,keyasint"`
	Certainty Certainty           `cbor:"2,keyasint"`
	Result    coordination.Result `cbor:"3,keyasint"`
	Boot      int                 `cbor:"4,keyasint"` // which process answers
}

type callKey struct {
	from string
	id   uint64
}

type callState struct {
	reply *callReply // nil: it is under way
	until time.Duration
}

// start starts the machine's process with what its disk holds. Its clock begins anywhere.
func (m *machine) start() {
	s := m.sim
	m.boot++
	m.isUp, m.leaving, m.frozenUntil, m.nextFreezeDuration, m.deferred = true, false, 0, 0, nil
	m.bootedAt, m.clockOffset = s.now, s.randomDuration(time.Hour, 2*time.Hour)
	m.clockRate = 1 + maxClockDrift*(2*s.random.Float64()-1)
	hardState, records := m.disk.read()
	m.acceptor = NewAcceptor(m.clock(), hardState, records, stateOptions())
	m.proposer = NewProposer(ProposerOptions{State: stateOptions(), Random: rand.New(rand.NewPCG(s.random.Uint64(), 1))})
	m.planner = NewPlanner(s.setup.tolerance)
	m.calls, m.keys, m.lastID, m.deciding = map[callKey]*callState{}, map[uint64]callKey{}, 0, 0
	m.nextHello, m.nextMaintenance = 0, 0
	m.scheduleTick(s.randomDuration(0, machineTick))
}

// powerOff ends the machine's process, for some time.
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

// wipe takes the machine's disk away; the process ends with it.
func (m *machine) wipe(span time.Duration) {
	s := m.sim
	s.lossBudget--
	s.lastLoss = s.now
	s.lostIdentities[m.disk.hardState.Self] = true
	s.logEvent("%s loses its disk, %v, ready in epoch %d", m.address, m.disk.hardState.Self, m.disk.hardState.ReadyEpoch)
	m.disk.format(InitialHardState(m.address, s.nonce(), nil))
	m.powerOff(span)
}

// clock is the machine's own: steady, and a little too fast or too slow.
func (m *machine) clock() time.Duration {
	return m.clockOffset + time.Duration(float64(m.sim.now-m.bootedAt)*m.clockRate)
}

// freeze has the machine's process stand still for some time.
func (m *machine) freeze(span time.Duration) {
	m.frozenUntil = max(m.frozenUntil, m.sim.now+span)
	boot := m.boot
	m.sim.after(span, func() {
		if m.boot == boot && m.sim.now >= m.frozenUntil {
			m.thaw()
		}
	})
}

// thaw has the process go on with what waited meanwhile.
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

// whenRunning does something in the present process, once that no longer stands still.
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

// apply does what a step of the acceptor wants done: first the write, then the messages. The machine may lose power before either.
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
		out.Send = slices.DeleteFunc(out.Send, func(Outgoing) bool { return s.oneIn(2) }) // some of them had left
	}
	if s.lostIdentities[self] && len(out.Send) > 0 {
		s.fail("%s sends as %v, whose disk is lost", m.address, self)
	}
	for _, outgoing := range out.Send {
		s.send(self, outgoing.To, outgoing.Message)
	}
}

// execute carries out a step of the proposer. The process may stand still between the step and its messages.
func (m *machine) execute(out *ProposerOutput) {
	if m.nextFreezeDuration > 0 && len(out.Send)+len(out.Completed) > 0 {
		m.sim.logEvent("%s stands still for %v between a step and its messages", m.address, m.nextFreezeDuration)
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

// tick does what is due.
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

// onCall executes a call, once: where it comes again, it gets the first one's reply.
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

// onHello learns of acceptors, and tells a machine that knows older ones.
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
