package replication

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// world is a set of replicas with scripted links and a fake clock. Messages that were sent stay on their way: each may be
// delivered at any time, often or never.
type world struct {
	now              time.Duration
	tolerance        Tolerance
	replicas         []*host
	sent             []envelope
	nextUndelivered  int             // the first of them that has not had its turn
	sentFingerprints map[uint64]bool // fingerprints of messages that were sent
	acknowledged     []byte          // entries, in their order
	mistake          mistake
	lastNonce        uint64
	proposed         byte
	intercept        func(envelope) bool // takes a message that is sent; nil: all are sent
	deliveryDelay    time.Duration       // that a delivery takes
	timing           Timing
	partitions       map[[2]string]bool // from, to: nothing passes
	trace            *traceRecorder     // nil: none
}

// mistake is one that is planted, to show that the search finds it.
type mistake int

const (
	noMistake      mistake = iota
	reusesIdentity         // a replica whose disk was lost votes under its former identity
	singleCopyAcks         // a change counts as acknowledged once the primary itself has it
)

type envelope struct {
	from    Replica
	to      string
	message Message
}

// host is one machine: its replica, and the disk.
type host struct {
	node      *Node
	disk      HardState
	state     []byte // on the disk: the entries held
	isRemoved bool   // for good
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// searchTiming has no waits that depend on a real clock: the search itself decides what comes late.
func searchTiming() Timing {
	return Timing{
		HeartbeatInterval: time.Hour, ElectionTimeout: 0, MemberTimeout: time.Hour, AppendTimeout: time.Hour, PhaseTimeout: time.Hour,
		JoinInterval: time.Hour, MinViewChangeInterval: 0, SlowMemberBackoff: time.Hour, WitnessTimeout: time.Hour,
	}
}

func newWorld(replicas int, tolerance int, m mistake) *world {
	w := &world{
		tolerance: Tolerance{Machines: tolerance}, sentFingerprints: map[uint64]bool{}, mistake: m, deliveryDelay: 100 * time.Millisecond, timing: searchTiming(),
		partitions: map[[2]string]bool{},
	}
	var founders []string
	for i := range replicas {
		founders = append(founders, address(i))
	}
	for i := range replicas {
		h := &host{disk: InitialHardState(address(i), 0, founders)}
		w.replicas = append(w.replicas, h)
		w.start(h, searchTiming())
	}
	return w
}

func (w *world) start(h *host, timing Timing) {
	h.node = New(w.now, h.disk, Options{
		Timing: timing, Tolerance: w.tolerance, Random: rand.New(rand.NewPCG(1, 2)), RequestsJoin: true,
		LocalityOf:  func(address string) Locality { return Locality{Zone: address, Known: true, CountsForQuorum: true} },
		JoinTargets: func() []string { return nil },
	})
}

// apply does what a step wants done, as package replica does it.
func (w *world) apply(h *host, out *Output) {
	w.trace.record(h.node, out)
	if out.Write != nil {
		if out.Write.Snapshot != nil {
			h.state = slices.Clone(out.Write.Snapshot[1:])
		}
		h.state = append(slices.Clone(h.state), out.Write.Entry...)
		h.disk = out.Write.HardState
	}
	for _, o := range out.Send {
		message := o.Message
		if o.AttachSnapshot {
			message = WithSnapshot(message, append([]byte{0}, h.state...)) // never nil
		}
		w.send(envelope{from: h.node.Self(), to: o.To, message: message})
	}
}

func (w *world) send(e envelope) {
	if w.intercept != nil && w.intercept(e) {
		return
	}
	if key := e.fingerprint(); !w.sentFingerprints[key] {
		w.sentFingerprints[key] = true
		w.sent = append(w.sent, e)
	}
}

func (e *envelope) fingerprint() uint64 {
	text, err := cbor.Marshal([]any{e.from, e.to, e.message.kind(), e.message})
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(text)
}

func (w *world) hostAt(address string) *host {
	for _, h := range w.replicas {
		if h.node.Self().Address == address {
			return h
		}
	}
	return nil
}

func (w *world) deliver(e envelope) {
	h := w.hostAt(e.to)
	if h == nil || h.isRemoved || w.partitions[[2]string{e.from.Address, e.to}] {
		return
	}
	w.now += w.deliveryDelay
	w.apply(h, h.node.Receive(w.now, e.from, e.message))
	w.recordAcknowledged(h)
}

// propose has a primary begin a change, if it can.
func (w *world) propose(h *host) bool {
	out, ok := h.node.Propose(w.now, []byte{w.proposed + 1})
	if !ok {
		return false
	}
	w.proposed++
	w.apply(h, out)
	w.recordAcknowledged(h)
	return true
}

// recordAcknowledged takes note of what a primary acknowledges: the operator has been told of it.
func (w *world) recordAcknowledged(h *host) {
	_, leading := h.node.Committed()
	if leading && (!h.node.HasPendingProposal() || w.mistake == singleCopyAcks) && len(h.state) > len(w.acknowledged) {
		w.acknowledged = slices.Clone(h.state)
	}
}

// restart ends a replica and starts it with what its disk holds.
func (w *world) restart(h *host) { w.start(h, w.timing) }

// wipe takes a replica's disk away.
func (w *world) wipe(h *host) {
	w.lastNonce++
	former := h.disk
	h.state = nil
	h.disk = InitialHardState(former.Self.Address, w.lastNonce, nil)
	if w.mistake == reusesIdentity {
		h.disk = InitialHardState(former.Self.Address, former.Self.Nonce, nil)
		h.disk.View = former.View
	}
	w.start(h, w.timing)
}

// fault says what is wrong; empty: nothing.
func (w *world) fault() string {
	for _, h := range w.replicas {
		if _, leading := h.node.Committed(); !leading || h.node.HasPendingProposal() || h.isRemoved {
			continue
		}
		if len(h.state) < len(w.acknowledged) && w.isNewest(h) {
			return fmt.Sprintf("view %d leads with %v, acknowledged was %v", h.node.View().Number, h.state, w.acknowledged)
		}
		if common := min(len(h.state), len(w.acknowledged)); !slices.Equal(h.state[:common], w.acknowledged[:common]) {
			return fmt.Sprintf("view %d holds %v, acknowledged was %v", h.node.View().Number, h.state, w.acknowledged)
		}
	}
	return ""
}

// isNewest: a primary that was cut off may go on believing in its view, but can't acknowledge or confirm anything.
func (w *world) isNewest(h *host) bool {
	for _, other := range w.replicas {
		if other.node.View().Number > h.node.View().Number {
			return false
		}
	}
	return true
}

// fingerprint identifies the state of all replicas, the clock apart.
func (w *world) fingerprint() uint64 {
	hash := xxhash.New()
	for _, h := range w.replicas {
		text, err := cbor.Marshal([]any{h.disk, h.node.status, h.state})
		if err != nil {
			panic(err)
		}
		_, _ = hash.Write(text)
	}
	_ = binary.Write(hash, binary.BigEndian, uint64(len(w.sent)))
	_, _ = hash.Write(w.acknowledged)
	return hash.Sum64()
}
