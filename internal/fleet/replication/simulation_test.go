package replication

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// simulation is a replica group with a fake clock, a network that delays, loses and duplicates messages and is
// partitioned, and disks that are lost. A seed determines all events; they are logged in script.
type simulation struct {
	setup      setup
	random     *rand.Rand
	now        time.Duration
	machines   []*machine // including retired ones
	queue      []delivery
	partitions map[[2]string]time.Duration // from, to: time until which messages are lost
	scheduled  []scheduledAction
	script     []string
	fault      string

	acknowledged []byte // entries in order, of entrySize bytes each
	proposed     uint16
	lastNonce    uint64
	reads        int
	slowUntil    time.Duration  // until then, messages are delayed by up to maxSlowDelay
	diskLost     *machine       // the machine whose disk was lost last; nil once the group has recovered from that
	healthySince time.Duration  // since when the whole group has been up and connected
	trace        *traceRecorder // nil: none
}

// setup is the configuration of a replica group and of its simulation.
type setup struct {
	machineCount int // at the start
	founderCount int // how many of them are founders, i.e. initial witnesses
	tolerance    Tolerance
	zones        int           // number of zones that machines are distributed over
	transferTime time.Duration // additional delay of messages with a snapshot
	duration     time.Duration // of the phase with disruptions
}

const (
	entrySize         = 2
	simulationTick    = 30 * time.Millisecond
	maxDelay          = 25 * time.Millisecond // of a message
	maxSlowDelay      = 900 * time.Millisecond
	catchUpTime       = 4 * time.Second         // in which a connected group recovers from a loss
	minShutdownNotice = 2500 * time.Millisecond // between the signal for a planned shutdown and the end of the process
	maxShutdownGrace  = 7750 * time.Millisecond // after which the process ends without a release
	recoveryTimeout   = 12 * time.Second        // from the end of all disruptions to the next committed change
)

// machine is one machine of a simulation.
type machine struct {
	*host
	address          string
	zone             string
	isUp             bool
	isRetired        bool          // stopped or lost permanently
	frozenUntil      time.Duration // its process is suspended until then
	resignedAt       time.Duration // when its planned shutdown began; 0: it has not begun
	stopsPermanently bool          // does not restart after its planned shutdown
	successor        *machine      // is to replace this machine
	isSuccessor      bool          // is to replace another machine, which has not stopped yet
	reads            []readCheck
}

// readCheck is a read that waits for a confirmed heartbeat round.
type readCheck struct {
	since  time.Duration
	length int // of simulation.acknowledged at the time of the request
}

type delivery struct {
	at time.Duration
	envelope
}

// scheduledAction is an action to be performed at a later time.
type scheduledAction struct {
	at time.Duration
	do func()
}

func newSimulation(s setup, seed uint64) *simulation {
	sim := &simulation{setup: s, random: rand.New(rand.NewPCG(seed, 48)), partitions: map[[2]string]time.Duration{}}
	var founders []string
	for i := range s.machineCount {
		if i < s.founderCount {
			founders = append(founders, address(i))
		}
	}
	for i := range s.machineCount {
		m := sim.add(address(i))
		if i < s.founderCount {
			m.disk = InitialHardState(m.address, 0, founders)
		}
		sim.startMachine(m)
	}
	return sim
}

// add creates a machine with an empty disk.
func (s *simulation) add(at string) *machine {
	m := &machine{host: &host{}, address: at, zone: fmt.Sprint("zone-", len(s.machines)%s.setup.zones)}
	m.disk = InitialHardState(at, s.nonce(), nil)
	s.machines = append(s.machines, m)
	return m
}

func (s *simulation) nonce() uint64 {
	s.lastNonce++
	return s.lastNonce
}

func (s *simulation) startMachine(m *machine) {
	m.isUp, m.frozenUntil, m.resignedAt, m.reads = true, 0, 0, nil
	m.node = New(s.now, m.disk, Options{
		Timing: DefaultTiming(), Tolerance: s.setup.tolerance, RequestsJoin: true,
		Random: rand.New(rand.NewPCG(s.random.Uint64(), 1)),
		LocalityOf: func(a string) Locality {
			if at := s.machineAt(a); at != nil {
				return Locality{Zone: at.zone, Region: at.zone, Known: true, CountsForQuorum: true}
			}
			return Locality{}
		},
		JoinTargets: s.addresses,
	})
}

func (s *simulation) addresses() []string {
	var all []string
	for _, m := range s.machines {
		if !m.isRetired {
			all = append(all, m.address)
		}
	}
	return all
}

func (s *simulation) machineAt(a string) *machine {
	for _, m := range s.machines {
		if m.address == a {
			return m
		}
	}
	return nil
}

func (s *simulation) logEvent(format string, values ...any) {
	s.script = append(s.script, fmt.Sprintf("%8.3f  ", s.now.Seconds())+fmt.Sprintf(format, values...))
}

func (s *simulation) fail(format string, values ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, values...)
		s.logEvent("FAULT: %s", s.fault)
	}
}

func (s *simulation) schedule(after time.Duration, do func()) {
	s.scheduled = append(s.scheduled, scheduledAction{at: s.now + after, do: do})
}

func (s *simulation) randomDuration(minDuration, maxDuration time.Duration) time.Duration {
	return minDuration + time.Duration(s.random.Int64N(int64(maxDuration-minDuration)+1))
}

// apply carries out the Output of a machine's step. The machine may lose power between the write and the messages.
func (s *simulation) apply(m *machine, out *Output) {
	s.trace.record(m.node, out)
	if out.Write != nil {
		if out.Write.Snapshot != nil {
			m.state = slices.Clone(out.Write.Snapshot[1:])
		}
		m.state = append(slices.Clone(m.state), out.Write.Entry...)
		m.disk = out.Write.HardState
		if s.random.IntN(1500) == 0 {
			s.logEvent("%s loses power between a write and its messages", m.address)
			s.powerOff(m, s.randomDuration(300*time.Millisecond, 4*time.Second))
			return
		}
	}
	for _, o := range out.Send {
		message, delay := o.Message, s.randomDuration(time.Millisecond, maxDelay)
		if s.now < s.slowUntil {
			delay = s.randomDuration(time.Millisecond, maxSlowDelay)
		}
		if o.AttachSnapshot {
			message = WithSnapshot(message, append([]byte{0}, m.state...)) // never nil
			delay += s.setup.transferTime
		}
		s.send(envelope{from: m.node.Self(), to: o.To, message: message}, delay)
	}
	s.checkPrimary(m)
}

func (s *simulation) send(e envelope, delay time.Duration) {
	switch s.random.IntN(100) {
	case 0: // lost
	case 1:
		s.queue = append(s.queue, delivery{at: s.now + delay, envelope: e}, delivery{at: s.now + 40*delay, envelope: e})
	default:
		s.queue = append(s.queue, delivery{at: s.now + delay, envelope: e})
	}
}

// checkPrimary compares the state of a primary that has no pending change with the acknowledged changes, and records
// the changes that it acknowledges.
func (s *simulation) checkPrimary(m *machine) {
	committed, leading := m.node.Committed()
	if !leading || m.node.HasPendingProposal() || committed != m.node.Position() {
		return
	}
	common := min(len(m.state), len(s.acknowledged))
	if !bytes.Equal(m.state[:common], s.acknowledged[:common]) {
		s.fail("%s is primary of view %d, and its state differs from the acknowledged changes", m.address, m.node.View().Number)
	}
	if len(m.state) > len(s.acknowledged) {
		s.acknowledged = slices.Clone(m.state)
	}
	s.checkReads(m)
}

// checkReads completes the reads for which a heartbeat round was confirmed that did not start before them. It fails the
// simulation if a read lacks a change that was acknowledged before it.
func (s *simulation) checkReads(m *machine) {
	confirmed, ok := m.node.LeadershipConfirmedAt()
	m.reads = slices.DeleteFunc(m.reads, func(r readCheck) bool {
		if !ok || confirmed < r.since {
			return false
		}
		s.reads++
		if len(m.state) < r.length {
			s.fail("%s answers a read with %d of the %d bytes that were acknowledged before it", m.address, len(m.state), r.length)
		}
		return true
	})
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now += simulationTick
	due := s.scheduled
	s.scheduled = nil
	for _, p := range due {
		if p.at <= s.now {
			p.do()
		} else {
			s.scheduled = append(s.scheduled, p)
		}
	}
	for _, m := range s.machines {
		if m.isRunning(s.now) {
			s.apply(m, m.node.Tick(s.now))
		}
		s.stopResigned(m)
	}
	s.deliverDue()
	s.updateHealth()
}

func (m *machine) isRunning(now time.Duration) bool { return m.isUp && now >= m.frozenUntil }

func (s *simulation) deliverDue() {
	waiting := s.queue
	s.queue = nil
	slices.SortStableFunc(waiting, func(a, b delivery) int { return int(a.at - b.at) })
	for _, d := range waiting {
		m := s.machineAt(d.to)
		switch {
		case d.at > s.now || m != nil && m.isUp && !m.isRunning(s.now):
			s.queue = append(s.queue, d)
		case m == nil || !m.isUp || s.partitions[[2]string{d.from.Address, d.to}] > s.now:
		default:
			s.apply(m, m.node.Receive(s.now, d.from, d.message))
		}
	}
}

// stopResigned stops a resigning machine once it is released, but not before minShutdownNotice has passed. After
// maxShutdownGrace it stops the machine without a release.
func (s *simulation) stopResigned(m *machine) {
	if !m.isUp || m.resignedAt == 0 || s.now-m.resignedAt < minShutdownNotice {
		return
	}
	released := m.node.CanStop()
	if !released && s.now-m.resignedAt < maxShutdownGrace {
		return
	}
	s.logEvent("%s stops, released: %v", m.address, released)
	m.isUp = false
	if m.successor != nil {
		m.successor.isSuccessor = false
	}
	switch {
	case !m.stopsPermanently || released && m.successor.isRunning(s.now) && s.isConnected():
	case s.canLoseDisk():
		s.recordLoss(m) // without a release in a connected group it counts as a loss
	default:
		m.stopsPermanently = false // one more loss would exceed the tolerance
	}
	m.isRetired = m.stopsPermanently
	if !m.isRetired {
		s.powerOff(m, s.randomDuration(100*time.Millisecond, time.Second))
	}
}

// recordLoss records that a machine or its disk is lost. No other loss follows until the group has recovered from it.
func (s *simulation) recordLoss(m *machine) { s.diskLost, s.healthySince = m, s.now }

// isConnected reports whether there is no partition.
func (s *simulation) isConnected() bool {
	for _, until := range s.partitions {
		if until > s.now {
			return false
		}
	}
	return true
}

// updateHealth records since when the whole group has been up and connected. After catchUpTime in that state it has
// recovered from the last loss.
func (s *simulation) updateHealth() {
	healthy := s.isConnected() && s.now >= s.slowUntil
	for _, m := range s.machines {
		healthy = healthy && (m.isRetired || m.isRunning(s.now) && m.resignedAt == 0)
	}
	if !healthy {
		s.healthySince = s.now
	}
	if s.now-s.healthySince >= catchUpTime {
		s.diskLost = nil
	}
}

func (s *simulation) powerOff(m *machine, span time.Duration) {
	m.isUp = false
	s.schedule(span, func() {
		if !m.isUp && !m.isRetired {
			s.startMachine(m)
		}
	})
}

// live returns the machines that are not retired.
func (s *simulation) live() []*machine {
	return slices.DeleteFunc(slices.Clone(s.machines), func(m *machine) bool { return m.isRetired })
}

func (s *simulation) leader() *machine {
	var newest *machine
	for _, m := range s.machines {
		if m.isRunning(s.now) && m.node.Status() == Leading {
			if newest == nil || newest.node.View().Number < m.node.View().Number {
				newest = m
			}
		}
	}
	return newest
}

// proposeChange proposes a change to the first machine that accepts it as a primary, which may be of an outdated view.
func (s *simulation) proposeChange() {
	for _, m := range s.machines {
		if !m.isRunning(s.now) || m.node.Status() != Leading {
			continue
		}
		entry := binary.BigEndian.AppendUint16(nil, s.proposed+1)
		out, ok := m.node.Propose(s.now, entry)
		if ok {
			s.proposed++
			s.apply(m, out)
			return
		}
	}
}

// read starts a read at every machine that is leading, including primaries of outdated views.
func (s *simulation) read() {
	for _, m := range s.machines {
		if m.isRunning(s.now) && m.node.Status() == Leading {
			m.reads = append(m.reads, readCheck{since: s.now, length: len(s.acknowledged)})
			s.apply(m, m.node.ConfirmLeadership(s.now))
		}
	}
}

// scriptText returns the events logged so far.
func (s *simulation) scriptText() string { return strings.Join(s.script, "\n") }

// run plays the disruptions and then the recovery. It returns the first fault, or an empty string.
func (s *simulation) run() string {
	s.runFor(2 * time.Second)
	next := s.now
	for s.now < s.setup.duration && s.fault == "" {
		if s.now >= next {
			s.disrupt()
			next = s.now + s.randomDuration(0, 3*time.Second)
		}
		s.issueRequests()
		s.step()
	}
	s.recover()
	return s.fault
}

func (s *simulation) runFor(span time.Duration) {
	for end := s.now + span; s.now < end && s.fault == ""; {
		s.issueRequests()
		s.step()
	}
}

// issueRequests proposes changes and starts reads at random, as operators would.
func (s *simulation) issueRequests() {
	if s.random.IntN(8) == 0 {
		s.proposeChange()
	}
	if s.random.IntN(12) == 0 {
		s.read()
	}
}

// recover ends all disruptions, and fails the simulation unless within recoveryTimeout a primary has all acknowledged
// changes and commits another one.
func (s *simulation) recover() {
	clear(s.partitions)
	s.slowUntil = 0
	s.scheduled = nil
	for _, m := range s.machines {
		m.frozenUntil = 0
		if !m.isRetired && (!m.isUp || m.resignedAt != 0) {
			s.startMachine(m)
		}
	}
	s.logEvent("all disruptions end")
	before := len(s.acknowledged)
	for end := s.now + recoveryTimeout; s.now < end && s.fault == ""; {
		s.issueRequests()
		s.step()
		if leader := s.leader(); leader != nil && len(s.acknowledged) > before && len(leader.state) >= len(s.acknowledged) {
			return
		}
	}
	s.fail("no change was committed within %v after the end of all disruptions", recoveryTimeout)
	for _, m := range s.live() {
		d := &m.disk
		s.logEvent("%s/%d %s, released %v: view %d, primary %v, members %v, witnesses %v, promised %v, accepted %v, position %v, %d bytes",
			m.address, d.Self.Nonce, m.node.Status(), m.node.CanStop(), d.View.Number, d.View.Primary, d.View.Members,
			d.View.Witnesses, d.Promised, d.Accepted, d.Position, len(m.state))
	}
}
