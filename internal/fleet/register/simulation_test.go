package register

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// simulation is a core of machines and its clients on a simulated clock, with a network that delays, loses, duplicates
// and partitions, and with disks that may be lost. The seed determines all events, which are logged in script.
type simulation struct {
	setup              setup
	random             *rand.Rand
	now                time.Duration
	events             eventQueue
	lastEvent          uint64
	steps              int
	machines           []*machine
	clients            []*client
	partitions         map[[2]string]time.Duration // end of the partition, by sender and receiver
	slowUntil          time.Duration               // messages are delayed by up to maxSlowDelay until then
	lossyUntil         time.Duration               // a fifth of the messages is lost until then
	nonces             uint64
	lostIdentities     map[replication.Replica]bool // identities whose disk was lost
	lossBudget         int                          // disks that may be lost before the next call of updateLossBudget that resets it
	lastLoss           time.Duration
	proposed           []Config   // proposed by planners
	armedStep          changeStep // the next machine that performs it loses power
	interruptedChanges int        // changes of acceptors during which a machine lost power
	newestEpoch        uint64     // newest epoch on any disk
	healed             bool       // all disruptions have ended, and no message is lost any more
	healedAt           time.Duration
	auditing           bool              // the clients start no more calls
	callsByCertainty   map[Certainty]int // number of calls that ended
	history            history
	script             []string
	fault              string
}

// setup describes a core and the length of its simulation.
type setup struct {
	machineCount int
	founderCount int
	tolerance    replication.Tolerance
	zones        int
	duration     time.Duration // of the disruptions
}

// simulatedPieceBytes lets a former acceptor send its few registers in several pieces.
const simulatedPieceBytes = 150

const (
	machineTick          = 20 * time.Millisecond
	maxDelay             = 20 * time.Millisecond // of a message
	maxSlowDelay         = 400 * time.Millisecond
	staleProposalTimeout = candidateTimeout + decideTimeout + time.Second // time after a disk loss until it is in no new proposal
	maxDuplicateDelay    = 1500 * time.Millisecond                        // of a duplicate after the original message
	simulatedHistory     = 8 * time.Second                                // longer than any call is in progress, including freezes
	maxClockDrift        = 0.002                                          // of one clock; two are within package coordination's margin
)

func stateOptions() coordination.Options {
	return coordination.Options{History: simulatedHistory, MaxGroupBytes: 1 << 16}
}

// event is an action scheduled for a time.
type event struct {
	at     time.Duration
	number uint64 // order of scheduling, which orders events of the same time
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(s setup, seed uint64) *simulation {
	sim := &simulation{
		setup: s, random: rand.New(rand.NewPCG(seed, 51)), partitions: map[[2]string]time.Duration{},
		lostIdentities: map[replication.Replica]bool{}, callsByCertainty: map[Certainty]int{},
	}
	var founders []string
	for i := range s.founderCount {
		founders = append(founders, address(i))
	}
	for i := range s.machineCount {
		m := &machine{sim: sim, address: address(i), zone: fmt.Sprint("zone-", i%s.zones)}
		m.disk.format(InitialHardState(m.address, sim.nonce(), nil))
		if i < s.founderCount {
			m.disk.format(InitialHardState(m.address, 0, founders))
		}
		sim.machines = append(sim.machines, m)
		m.start()
	}
	sim.addClients()
	sim.after(0, sim.updateLossBudget)
	return sim
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (s *simulation) nonce() uint64 {
	s.nonces++
	return s.nonces
}

// after schedules an action after a time span.
func (s *simulation) after(span time.Duration, do func()) {
	s.lastEvent++
	heap.Push(&s.events, event{at: s.now + span, number: s.lastEvent, do: do})
}

// runUntil executes the events up to a time, or to the first fault.
func (s *simulation) runUntil(end time.Duration) {
	for s.fault == "" && len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.steps++
		e.do()
	}
	s.now = max(s.now, end)
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

func (s *simulation) scriptText() string { return strings.Join(s.script, "\n") }

func (s *simulation) randomDuration(minDuration, maxDuration time.Duration) time.Duration {
	return minDuration + time.Duration(s.random.Int64N(int64(maxDuration-minDuration)+1))
}

// oneIn returns true with probability 1/n.
func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

func (s *simulation) machineAt(address string) *machine {
	for _, m := range s.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// packet is a message in transit. It is encoded, so that sender and receiver share no memory.
type packet struct {
	from replication.Replica
	to   string
	kind messageKind
	body []byte
}

type messageKind uint8

const (
	kindRequest messageKind = iota + 1
	kindReply
	kindHello
	kindCollect
	kindCollected
	kindCall
	kindCallReply
)

func encode(message any) []byte {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

func decode(body []byte, into any) {
	if err := cbor.Unmarshal(body, into); err != nil {
		panic(err)
	}
}

func kindOf(message any) messageKind {
	switch message.(type) {
	case *Request:
		return kindRequest
	case *Reply:
		return kindReply
	case *Hello:
		return kindHello
	case *Collect:
		return kindCollect
	case *Collected:
		return kindCollected
	case *callRequest:
		return kindCall
	case *callReply:
		return kindCallReply
	}
	panic(fmt.Sprintf("unknown message type: %T", message))
}

func newMessage(kind messageKind) any {
	switch kind {
	case kindRequest:
		return &Request{}
	case kindReply:
		return &Reply{}
	case kindHello:
		return &Hello{}
	case kindCollect:
		return &Collect{}
	case kindCollected:
		return &Collected{}
	case kindCall:
		return &callRequest{}
	case kindCallReply:
		return &callReply{}
	}
	panic(fmt.Sprintf("unknown message kind: %d", kind))
}

func (p *packet) message() any {
	message := newMessage(p.kind)
	decode(p.body, message)
	return message
}

// send schedules the delivery of a message. A message to the sender's own machine is never lost.
func (s *simulation) send(from replication.Replica, to string, message any) {
	p := &packet{from: from, to: to, kind: kindOf(message), body: encode(message)}
	if from.Address == to {
		s.after(time.Microsecond, func() { s.deliver(p) })
		return
	}
	delay := s.randomDuration(200*time.Microsecond, maxDelay)
	if s.now < s.slowUntil {
		delay = s.randomDuration(time.Millisecond, maxSlowDelay)
	}
	chance := s.random.IntN(1000)
	switch {
	case s.healed:
	case chance >= 900 && chance < 940:
		delay += s.randomDuration(0, maxSlowDelay) // reordered
	case chance < 5 || s.now < s.lossyUntil && chance < 200:
		return // lost
	case chance > 985:
		s.after(delay+s.randomDuration(0, maxDuplicateDelay), func() { s.deliver(p) }) // a late duplicate
	}
	s.after(delay, func() { s.deliver(p) })
}

func (s *simulation) deliver(p *packet) {
	if s.partitions[[2]string{p.from.Address, p.to}] > s.now {
		return
	}
	if m := s.machineAt(p.to); m != nil {
		m.deliver(p)
		return
	}
	for _, c := range s.clients {
		if reply, isReply := p.message().(*callReply); isReply && c.address == p.to {
			c.onReply(reply)
			return
		}
	}
}

// updateLossBudget periodically resets the number of disks that may be lost to the tolerance of the setup, or to fewer if
// that would leave no majority of the acceptors. It does so only if the newest acceptors are all ready, none of them has
// accepted a proposal of the next ones, and no planner can still propose the identity that was lost last.
func (s *simulation) updateLossBudget() {
	newest := s.newestConfig()
	s.newestEpoch = max(s.newestEpoch, newest.Epoch)
	if s.hasCarriedOver(newest) && !s.hasAcceptedNext(newest) && s.now-s.lastLoss >= staleProposalTimeout {
		s.lossBudget = min(s.setup.tolerance.Machines, len(newest.Acceptors)-majority(newest.Acceptors))
	}
	s.after(100*time.Millisecond, s.updateLossBudget)
}

// newestConfig returns the newest Config on any disk.
func (s *simulation) newestConfig() Config {
	var newest Config
	for _, m := range s.machines {
		if c := m.disk.hardState.Config; c.Epoch > newest.Epoch {
			newest = c
		}
	}
	return newest
}

// hasCarriedOver reports whether all acceptors of a Config still have their disks and are ready.
func (s *simulation) hasCarriedOver(c Config) bool {
	return !slices.ContainsFunc(c.Acceptors, func(r replication.Replica) bool {
		h := &s.machineAt(r.Address).disk.hardState
		return h.Self != r || h.ReadyEpoch != c.Epoch
	})
}

// mayLoseDisk reports whether a machine's disk may be lost: lossBudget permits it, and each set of acceptors that is in
// use, is being collected from or may still be decided keeps a majority.
func (s *simulation) mayLoseDisk(m *machine) bool {
	newest := s.newestConfig()
	sets := [][]replication.Replica{newest.Acceptors}
	if !s.hasCarriedOver(newest) {
		sets = append(sets, newest.Previous)
	}
	for _, next := range s.proposed {
		if next.Epoch > newest.Epoch {
			sets = append(sets, next.Acceptors)
		}
	}
	for _, set := range sets {
		lost := 1
		for _, r := range set {
			if s.lostIdentities[r] {
				lost++
			}
		}
		if slices.Contains(set, m.disk.hardState.Self) && lost > len(set)-majority(set) {
			return false
		}
	}
	return s.lossBudget > 0
}

// hasAcceptedNext reports whether any live acceptor identity has accepted a proposal for the next Config.
func (s *simulation) hasAcceptedNext(c Config) bool {
	return slices.ContainsFunc(s.machines, func(m *machine) bool {
		r := m.acceptor.registers[nextConfigName(c.Epoch)]
		return r != nil && r.state.Snapshot(0).Decision.Value != "" && !s.lostIdentities[m.acceptor.HardState().Self]
	})
}
