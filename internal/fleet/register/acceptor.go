package register

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// compactionInterval is the time between two searches for events that need not be kept any longer.
const compactionInterval = 2 * time.Second

// Acceptor stores registers. Its methods are not safe for concurrent use. A returned Output must be carried out before
// the next call.
type Acceptor struct {
	options          coordination.Options
	hardState        HardState
	registers        map[coordination.Name]*storedRegister
	size             int // of all registers, in bytes
	nextCompaction   time.Duration
	collections      map[replication.Replica]*collection // from the former acceptors, until this one is ready in the current epoch
	maxPieceBytes    int                                 // of a Collected
	waitingProposers map[string]bool                     // addresses of proposers to notify once the acceptor is ready
	out              *Output                             // of the current step
}

// storedRegister is an acceptor's copy of one register.
type storedRegister struct {
	promised Ballot
	accepted Version
	state    *coordination.State
}

// NewAcceptor returns an acceptor with the hard state and the registers that were read from its disk.
func NewAcceptor(now time.Duration, hardState HardState, records [][]Stored, options coordination.Options) *Acceptor {
	a := &Acceptor{
		options: options, hardState: hardState, registers: map[coordination.Name]*storedRegister{},
		collections: map[replication.Replica]*collection{}, maxPieceBytes: maxPieceBytes, waitingProposers: map[string]bool{},
	}
	for _, changed := range records {
		for i := range changed {
			a.restore(now, &changed[i])
		}
	}
	return a
}

// InitialHardState returns the hard state of an acceptor whose disk is empty. At the first start of the whole system,
// founders lists the addresses of the first acceptors, the same on all machines, and nonce is 0. Otherwise founders is
// empty and nonce is random.
func InitialHardState(address string, nonce uint64, founders []string) HardState {
	h := HardState{Self: replication.Replica{Address: address, Nonce: nonce}}
	if len(founders) == 0 {
		return h
	}
	h.Config = FirstConfig(founders)
	if h.Config.Has(h.Self) {
		h.ReadyEpoch = h.Config.Epoch
	}
	return h
}

// HardState returns the state that must be durable beside the registers.
func (a *Acceptor) HardState() HardState { return a.hardState }

// RegisterCount returns the number of stored registers.
func (a *Acceptor) RegisterCount() int { return len(a.registers) }

// Size returns the size of all stored registers, in bytes. Their encoded form is about as large.
func (a *Acceptor) Size() int { return a.size }

// Snapshot returns all registers with their complete values, sorted by name.
func (a *Acceptor) Snapshot(now time.Duration) []Stored {
	all := make([]Stored, 0, len(a.registers))
	for name, r := range a.registers {
		all = append(all, Stored{Name: name, Promised: r.promised, Accepted: r.accepted, Change: r.snapshot(now)})
	}
	slices.SortFunc(all, func(x, y Stored) int { return compareNames(x.Name, y.Name) })
	return all
}

// Receive handles a message. It ignores messages for proposers.
func (a *Acceptor) Receive(now time.Duration, from replication.Replica, message any) *Output {
	out := a.step()
	switch m := message.(type) {
	case *Request:
		a.onRequest(now, from, m)
	case *Hello:
		a.adopt(m.Config)
	case *Collect:
		a.onCollect(now, from, m)
	case *Collected:
		a.onCollected(now, from, m)
	}
	a.collect(now)
	return out
}

// Tick advances the time: an acceptor that is collecting requests missing registers again, and groups drop events that are no longer kept.
func (a *Acceptor) Tick(now time.Duration) *Output {
	out := a.step()
	a.compact(now)
	a.collect(now)
	return out
}

func (a *Acceptor) step() *Output {
	a.out = &Output{}
	return a.out
}

func (a *Acceptor) send(to string, message any) {
	a.out.Send = append(a.out.Send, Outgoing{To: to, Message: message})
}

// persist adds the hard state to the step's write, which it returns.
func (a *Acceptor) persist() *Write {
	if a.out.Write == nil {
		a.out.Write = &Write{}
	}
	a.out.Write.HardState = a.hardState
	return a.out.Write
}

// isReady reports whether the acceptor takes part in the current epoch.
func (a *Acceptor) isReady() bool {
	return a.hardState.Config.Epoch > 0 && a.hardState.ReadyEpoch == a.hardState.Config.Epoch && a.hardState.Config.Has(a.hardState.Self)
}

// onRequest handles prepares and accepts. If the proposer is in another epoch, either it or this acceptor is outdated,
// and the proposer gets this acceptor's Config.
func (a *Acceptor) onRequest(now time.Duration, from replication.Replica, m *Request) {
	if m.Epoch != a.hardState.Config.Epoch {
		a.send(from.Address, &Hello{Config: a.hardState.Config})
		return
	}
	if !a.isReady() {
		a.waitingProposers[from.Address] = true
		return
	}
	reply := &Reply{Epoch: m.Epoch}
	for i := range m.Prepares {
		reply.Promises = append(reply.Promises, a.onPrepare(now, &m.Prepares[i]))
	}
	for i := range m.Accepts {
		reply.Acks = append(reply.Acks, a.onAccept(now, &m.Accepts[i]))
	}
	a.send(from.Address, reply)
}

func (a *Acceptor) onPrepare(now time.Duration, m *Prepare) Promise {
	r := a.register(m.Name)
	promise := Promise{Name: m.Name, Ballot: m.Ballot, Accepted: r.accepted}
	if m.Ballot.less(r.promised) {
		promise.Promised = r.promised
		return promise
	}
	if r.promised.less(m.Ballot) {
		r.promised = m.Ballot
		a.recordChange(Stored{Name: m.Name, Promised: r.promised, Accepted: r.accepted})
	}
	if r.accepted != (Version{}) && (r.accepted != m.Known || m.Name.Kind == coordination.KindLock) {
		promise.Value = r.state.Snapshot(now)
	}
	return promise
}

func (a *Acceptor) onAccept(now time.Duration, m *Accept) AcceptAck {
	r := a.register(m.Name)
	ack := AcceptAck{Name: m.Name, Version: m.Version, RoundTrip: m.RoundTrip, Outcome: Accepted}
	switch {
	case m.Version.Ballot.less(r.promised):
		ack.Outcome, ack.Promised = Rejected, r.promised
	case !r.accepted.less(m.Version):
		// This version, or a later one of the same ballot, has been accepted already.
	case !m.Change.IsComplete() && r.accepted != m.Base:
		ack.Outcome = BaseMissing
	default:
		a.accept(now, r, m)
	}
	return ack
}

// accept stores a version. Accepting under a ballot also promises that ballot.
func (a *Acceptor) accept(now time.Duration, r *storedRegister, m *Accept) {
	r.promised = m.Version.Ballot
	r.accepted = m.Version
	a.applyChange(now, r, m.Change)
	a.recordChange(Stored{Name: m.Name, Promised: r.promised, Accepted: r.accepted, Change: m.Change})
}

func (a *Acceptor) recordChange(s Stored) {
	w := a.persist()
	w.Changed = append(w.Changed, s)
}

// register returns the register of a name and creates it if necessary.
func (a *Acceptor) register(name coordination.Name) *storedRegister {
	r, exists := a.registers[name]
	if !exists {
		r = &storedRegister{state: coordination.NewState(name.Kind, a.options)}
		a.registers[name] = r
		a.size += len(name.ID) + storedOverhead
	}
	return r
}

// applyChange applies a change to a register's state.
func (a *Acceptor) applyChange(now time.Duration, r *storedRegister, change *coordination.Change) {
	before := r.state.Size()
	r.state.Apply(now, change)
	a.size += r.state.Size() - before
}

// remove removes a register.
func (a *Acceptor) remove(name coordination.Name) {
	a.size -= len(name.ID) + storedOverhead + a.registers[name].state.Size()
	delete(a.registers, name)
}

// compact drops, once per compactionInterval, the events that no register has to keep any longer.
func (a *Acceptor) compact(now time.Duration) {
	if now < a.nextCompaction {
		return
	}
	a.nextCompaction = now + compactionInterval
	for _, r := range a.registers {
		before := r.state.Size()
		r.state.Compact(now)
		a.size += r.state.Size() - before
	}
}

// restore applies a stored register, or a change of one.
func (a *Acceptor) restore(now time.Duration, s *Stored) {
	r := a.register(s.Name)
	r.promised = s.Promised
	r.accepted = s.Accepted
	a.applyChange(now, r, s.Change)
}

// snapshot returns the register's complete value, or nil if nothing was accepted.
func (r *storedRegister) snapshot(now time.Duration) *coordination.Change {
	if r.accepted == (Version{}) {
		return nil
	}
	return r.state.Snapshot(now)
}
