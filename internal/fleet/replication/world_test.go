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

// world is a set of replicas with a fake clock and a scripted network. All sent messages are kept: each may be
// delivered at any time, any number of times or never.
type world struct {
	now              time.Duration
	tolerance        Tolerance
	replicas         []*host
	sent             []envelope
	nextUndelivered  int             // index in sent of the next message to deliver in order
	sentFingerprints map[uint64]bool // fingerprints of the messages in sent, each of which is kept once
	acknowledged     []byte          // entries in order
	mistake          mistake
	lastNonce        uint64
	proposed         byte
	intercept        func(envelope) bool // called for each message; true: it is not added to sent; may be nil
	deliveryDelay    time.Duration       // by which a delivery advances the clock
	timing           Timing
	partitions       map[[2]string]bool // from, to: messages are lost
	trace            *traceRecorder     // nil: none
}

// mistake is a fault that is planted to show that the search finds it.
type mistake int

const (
	noMistake      mistake = iota
	reusesIdentity         // a replica whose disk was lost keeps its former identity and votes
	singleCopyAcks         // a change counts as acknowledged once the primary has stored it
)

type envelope struct {
	from    Replica
	to      string
	message Message
}

// host is one machine: its replica and its disk.
type host struct {
	node      *Node
	disk      HardState
	state     []byte // on the disk: the stored entries
	isRemoved bool   // permanently stopped
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// searchTiming returns a timing that leaves elections and delays to the search: time-outs and intervals are 0 or an
// hour.
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

// apply carries out the Output of a replica's step, as package replica does.
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
	if print := e.fingerprint(); !w.sentFingerprints[print] {
		w.sentFingerprints[print] = true
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

// propose proposes a change to a replica, and reports whether the replica has started to replicate it.
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

// recordAcknowledged records the changes that a primary has committed, and so acknowledged to the operator.
func (w *world) recordAcknowledged(h *host) {
	_, leading := h.node.Committed()
	if leading && (!h.node.HasPendingProposal() || w.mistake == singleCopyAcks) && len(h.state) > len(w.acknowledged) {
		w.acknowledged = slices.Clone(h.state)
	}
}

// restart replaces a replica's Node by a new one from its disk.
func (w *world) restart(h *host) { w.start(h, w.timing) }

// wipe replaces a machine's disk by an empty one and starts a new replica there.
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

// fault returns a description of the first primary whose state contradicts the acknowledged changes, or an empty
// string.
func (w *world) fault() string {
	for _, h := range w.replicas {
		if _, leading := h.node.Committed(); !leading || h.node.HasPendingProposal() || h.isRemoved {
			continue
		}
		if len(h.state) < len(w.acknowledged) && w.isNewest(h) {
			return fmt.Sprintf("the primary of view %d has stored only %v, but %v was acknowledged", h.node.View().Number, h.state, w.acknowledged)
		}
		if common := min(len(h.state), len(w.acknowledged)); !slices.Equal(h.state[:common], w.acknowledged[:common]) {
			return fmt.Sprintf("the primary of view %d has stored %v, but %v was acknowledged", h.node.View().Number, h.state, w.acknowledged)
		}
	}
	return ""
}

// isNewest reports whether no replica has a newer view. A partitioned primary of an older view may still be leading,
// but can't acknowledge a change or confirm its leadership.
func (w *world) isNewest(h *host) bool {
	for _, other := range w.replicas {
		if other.node.View().Number > h.node.View().Number {
			return false
		}
	}
	return true
}

// fingerprint returns a hash of the state of all replicas, without the clock.
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
