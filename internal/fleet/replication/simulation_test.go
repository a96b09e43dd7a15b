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

// simulation is a core of real machines of the protocol on a fake clock, a network that delays, loses, doubles and cuts, and
// disks that are lost. A seed decides all that happens; what happened is kept as a script.
type simulation struct {
	setup   setup
	random  *rand.Rand
	now     time.Duration
	nodes   []*node // also those that are gone for good
	queue   []delivery
	cuts    map[[2]string]time.Duration // from, to: until when nothing passes
	planned []planned
	script  []string
	fault   string

	acknowledged []byte // entries, in their order, of entrySize bytes each
	proposed     uint16
	nonces       uint64
	reads        int
	slowUntil    time.Duration // messages take up to slowMost until then
	diskLostBy   *node         // the machine whose disk was lost last, until it has caught up
	healthySince time.Duration
	trace        *traceRecorder // nil: none
}

// setup is the shape of a core.
type setup struct {
	machines  int // at the start
	founders  int // of them, the seeds
	tolerance Tolerance
	zones     int           // into which machines are divided
	transfer  time.Duration // that a state takes to be sent
	length    time.Duration // for which disruptions come
}

const (
	entrySize   = 2
	simTick     = 30 * time.Millisecond
	quickMost   = 25 * time.Millisecond // that a message takes
	slowMost    = 900 * time.Millisecond
	catchUp     = 4 * time.Second
	noticeTime  = 2500 * time.Millisecond // a process ends no sooner after it was told to
	graceTime   = 7750 * time.Millisecond
	recoverTime = 12 * time.Second
)

// node is one machine of a simulation.
type node struct {
	*host
	address     string
	zone        string
	up          bool
	gone        bool          // for good
	frozen      time.Duration // until when its process stands still
	resigned    time.Duration // when it was told to end; 0: it was not
	forGood     bool          // it does not come back after its planned end
	successor   *node         // that is to take its place
	isSuccessor bool          // it is to take the place of another one, which has not ended
	reads       []readCheck
}

// readCheck is a read that waits for a round of the witnesses.
type readCheck struct {
	since  time.Duration
	length int // of what was acknowledged when it came
}

type delivery struct {
	at time.Duration
	envelope
}

// planned is something that happens later.
type planned struct {
	at time.Duration
	do func()
}

func newSimulation(s setup, seed uint64) *simulation {
	sim := &simulation{setup: s, random: rand.New(rand.NewPCG(seed, 48)), cuts: map[[2]string]time.Duration{}}
	var founders []string
	for i := range s.machines {
		if i < s.founders {
			founders = append(founders, address(i))
		}
	}
	for i := range s.machines {
		n := sim.add(address(i))
		if i < s.founders {
			n.disk = InitialHardState(n.address, 0, founders)
		}
		sim.startNode(n)
	}
	return sim
}

// add makes a machine whose disk is empty.
func (s *simulation) add(at string) *node {
	n := &node{host: &host{}, address: at, zone: fmt.Sprint("zone-", len(s.nodes)%s.setup.zones)}
	n.disk = InitialHardState(at, s.nonce(), nil)
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) nonce() uint64 {
	s.nonces++
	return s.nonces
}

func (s *simulation) startNode(n *node) {
	n.up, n.frozen, n.resigned, n.reads = true, 0, 0, nil
	n.machine = New(s.now, n.disk, Options{
		Timing: DefaultTiming(), Tolerance: s.setup.tolerance, RequestsJoin: true,
		Random: rand.New(rand.NewPCG(s.random.Uint64(), 1)),
		LocalityOf: func(a string) Locality {
			if at := s.nodeAt(a); at != nil {
				return Locality{Zone: at.zone, Region: at.zone, Known: true, CountsForQuorum: true}
			}
			return Locality{}
		},
		JoinTargets: s.addresses,
	})
}

func (s *simulation) addresses() []string {
	var all []string
	for _, n := range s.nodes {
		if !n.gone {
			all = append(all, n.address)
		}
	}
	return all
}

func (s *simulation) nodeAt(a string) *node {
	for _, n := range s.nodes {
		if n.address == a {
			return n
		}
	}
	return nil
}

func (s *simulation) note(format string, values ...any) {
	s.script = append(s.script, fmt.Sprintf("%8.3f  ", s.now.Seconds())+fmt.Sprintf(format, values...))
}

func (s *simulation) fail(format string, values ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, values...)
		s.note("FAULT: %s", s.fault)
	}
}

func (s *simulation) later(after time.Duration, do func()) {
	s.planned = append(s.planned, planned{at: s.now + after, do: do})
}

func (s *simulation) span(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// carryOut does what a step wants done. A machine may lose power between the write and the messages.
func (s *simulation) carryOut(n *node, out *Output) {
	s.trace.record(n.machine, out)
	if out.Write != nil {
		if out.Write.Snapshot != nil {
			n.state = slices.Clone(out.Write.Snapshot[1:])
		}
		n.state = append(slices.Clone(n.state), out.Write.Entry...)
		n.disk = out.Write.HardState
		if s.random.IntN(1500) == 0 {
			s.note("%s loses power between a write and its messages", n.address)
			s.powerOff(n, s.span(300*time.Millisecond, 4*time.Second))
			return
		}
	}
	for _, o := range out.Send {
		message, delay := o.Message, s.span(time.Millisecond, quickMost)
		if s.now < s.slowUntil {
			delay = s.span(time.Millisecond, slowMost)
		}
		if o.AttachSnapshot {
			message = WithSnapshot(message, append([]byte{0}, n.state...)) // never nil
			delay += s.setup.transfer
		}
		s.send(envelope{from: n.machine.Self(), to: o.To, message: message}, delay)
	}
	s.look(n)
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

// look checks what a machine says of itself after a step.
func (s *simulation) look(n *node) {
	committed, leading := n.machine.Committed()
	if !leading || n.machine.HasPendingProposal() || committed != n.machine.Position() {
		return
	}
	common := min(len(n.state), len(s.acknowledged))
	if !bytes.Equal(n.state[:common], s.acknowledged[:common]) {
		s.fail("%s leads view %d with other content than was acknowledged", n.address, n.machine.View().Number)
	}
	if len(n.state) > len(s.acknowledged) {
		s.acknowledged = slices.Clone(n.state)
	}
	s.checkReads(n)
}

// checkReads answers reads for which a round has been confirmed that began after them.
func (s *simulation) checkReads(n *node) {
	confirmed, ok := n.machine.LeadershipConfirmedAt()
	n.reads = slices.DeleteFunc(n.reads, func(r readCheck) bool {
		if !ok || confirmed < r.since {
			return false
		}
		s.reads++
		if len(n.state) < r.length {
			s.fail("%s answers a read with %d of the %d bytes that were acknowledged before it", n.address, len(n.state), r.length)
		}
		return true
	})
}

// step lets a tick pass.
func (s *simulation) step() {
	s.now += simTick
	due := s.planned
	s.planned = nil
	for _, p := range due {
		if p.at <= s.now {
			p.do()
		} else {
			s.planned = append(s.planned, p)
		}
	}
	for _, n := range s.nodes {
		if n.runs(s.now) {
			s.carryOut(n, n.machine.Tick(s.now))
		}
		s.endPlanned(n)
	}
	s.deliverDue()
	s.noteHealth()
}

func (n *node) runs(now time.Duration) bool { return n.up && now >= n.frozen }

func (s *simulation) deliverDue() {
	waiting := s.queue
	s.queue = nil
	slices.SortStableFunc(waiting, func(a, b delivery) int { return int(a.at - b.at) })
	for _, d := range waiting {
		n := s.nodeAt(d.to)
		switch {
		case d.at > s.now || n != nil && n.up && !n.runs(s.now):
			s.queue = append(s.queue, d)
		case n == nil || !n.up || s.cuts[[2]string{d.from.Address, d.to}] > s.now:
		default:
			s.carryOut(n, n.machine.Receive(s.now, d.from, d.message))
		}
	}
}

// endPlanned ends a machine that was told to end once it is released, or at the end of its grace.
func (s *simulation) endPlanned(n *node) {
	if !n.up || n.resigned == 0 || s.now-n.resigned < noticeTime {
		return
	}
	released := n.machine.CanStop()
	if !released && s.now-n.resigned < graceTime {
		return
	}
	s.note("%s ends, released %v", n.address, released)
	n.up = false
	if n.successor != nil {
		n.successor.isSuccessor = false
	}
	switch {
	case !n.forGood || released && n.successor.runs(s.now) && s.isWhole():
	case s.mayLoseDisk():
		s.loses(n) // it counts as lost
	default:
		n.forGood = false // that would be one loss too many
	}
	n.gone = n.forGood
	if !n.gone {
		s.powerOff(n, s.span(100*time.Millisecond, time.Second))
	}
}

// loses notes that a machine or its disk is lost, which has to be made up for before the next loss.
func (s *simulation) loses(n *node) { s.diskLostBy, s.healthySince = n, s.now }

// isWhole tells whether nothing is cut.
func (s *simulation) isWhole() bool {
	for _, until := range s.cuts {
		if until > s.now {
			return false
		}
	}
	return true
}

// noteHealth follows whether the whole core has been up and connected, so that a lost disk has been made up for.
func (s *simulation) noteHealth() {
	healthy := s.isWhole() && s.now >= s.slowUntil
	for _, n := range s.nodes {
		healthy = healthy && (n.gone || n.runs(s.now) && n.resigned == 0)
	}
	if !healthy {
		s.healthySince = s.now
	}
	if s.now-s.healthySince >= catchUp {
		s.diskLostBy = nil
	}
}

func (s *simulation) powerOff(n *node, span time.Duration) {
	n.up = false
	s.later(span, func() {
		if !n.up && !n.gone {
			s.startNode(n)
		}
	})
}

// live are the machines that are not gone.
func (s *simulation) live() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.gone })
}

func (s *simulation) leader() *node {
	var newest *node
	for _, n := range s.nodes {
		if n.runs(s.now) && n.machine.Status() == Leading {
			if newest == nil || newest.machine.View().Number < n.machine.View().Number {
				newest = n
			}
		}
	}
	return newest
}

// order has some primary take a change, also one that only believes to be it.
func (s *simulation) order() {
	for _, n := range s.nodes {
		if !n.runs(s.now) || n.machine.Status() != Leading {
			continue
		}
		entry := binary.BigEndian.AppendUint16(nil, s.proposed+1)
		out, begun := n.machine.Propose(s.now, entry)
		if begun {
			s.proposed++
			s.carryOut(n, out)
			return
		}
	}
}

// read asks every machine that believes to be the primary.
func (s *simulation) read() {
	for _, n := range s.nodes {
		if n.runs(s.now) && n.machine.Status() == Leading {
			n.reads = append(n.reads, readCheck{since: s.now, length: len(s.acknowledged)})
			s.carryOut(n, n.machine.ConfirmLeadership(s.now))
		}
	}
}

// text is the script so far.
func (s *simulation) text() string { return strings.Join(s.script, "\n") }

// run plays disruptions, then lets all that may return return, and expects service.
func (s *simulation) run() string {
	s.runFor(2 * time.Second)
	next := s.now
	for s.now < s.setup.length && s.fault == "" {
		if s.now >= next {
			s.disrupt()
			next = s.now + s.span(0, 3*time.Second)
		}
		s.work()
		s.step()
	}
	s.recover()
	return s.fault
}

func (s *simulation) runFor(span time.Duration) {
	for end := s.now + span; s.now < end && s.fault == ""; {
		s.work()
		s.step()
	}
}

// work is the operators' part: orders and reads.
func (s *simulation) work() {
	if s.random.IntN(8) == 0 {
		s.order()
	}
	if s.random.IntN(12) == 0 {
		s.read()
	}
}

// recover ends all disruptions and expects a primary, that takes orders and holds all, within the time allowed.
func (s *simulation) recover() {
	clear(s.cuts)
	s.slowUntil = 0
	s.planned = nil
	for _, n := range s.nodes {
		n.frozen = 0
		if !n.gone && (!n.up || n.resigned != 0) {
			s.startNode(n)
		}
	}
	s.note("all is back")
	before := len(s.acknowledged)
	for end := s.now + recoverTime; s.now < end && s.fault == ""; {
		s.work()
		s.step()
		if leader := s.leader(); leader != nil && len(s.acknowledged) > before && len(leader.state) >= len(s.acknowledged) {
			return
		}
	}
	s.fail("no change was taken within %v after all were back", recoverTime)
	for _, n := range s.live() {
		d := &n.disk
		s.note("%s/%d %s, released %v: view %d, primary %v, members %v, witnesses %v, promised %v, accepted %v, position %v, %d bytes",
			n.address, d.Self.Nonce, n.machine.Status(), n.machine.CanStop(), d.View.Number, d.View.Primary, d.View.Members,
			d.View.Witnesses, d.Promised, d.Accepted, d.Position, len(n.state))
	}
}
