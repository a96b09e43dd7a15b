package register

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	retransmitInterval    = 60 * time.Millisecond // initial resend interval; doubles with each resend
	maxRetransmitInterval = 240 * time.Millisecond
	minBackoff            = 4 * time.Millisecond // base of the backoff limit, which doubles with each rejection of a ballot
	maxBackoff            = 250 * time.Millisecond
	maxBackoffDoublings   = 8
	maxQueue              = 512  // queued calls of one name
	maxWaiters            = 4096 // watches of one name that wait for events
)

// ProposerOptions configures a Proposer.
type ProposerOptions struct {
	State  coordination.Options
	Random *rand.Rand
}

// Proposer executes operations on registers. Its methods are not safe for concurrent use. A method that returns a
// ProposerOutput is a step; its output must be carried out before the next step.
type Proposer struct {
	options        ProposerOptions
	id             uint64 // identifies this process in ballots
	config         Config
	highestRound   uint64
	lastRoundTrip  uint64
	registers      map[coordination.Name]*proposedRegister
	active         map[*proposedRegister]bool // registers that wait for a message or a time
	nextCompaction time.Duration
	out            *ProposerOutput     // of the current step
	requests       map[string]*Request // of the current step, by the acceptor's address
}

// NewProposer returns a proposer without a Config. Calls are queued until SetConfig.
func NewProposer(options ProposerOptions) *Proposer {
	return &Proposer{
		options: options, id: options.Random.Uint64(),
		registers: map[coordination.Name]*proposedRegister{}, active: map[*proposedRegister]bool{},
	}
}

// Config returns the Config that the proposer uses.
func (p *Proposer) Config() Config { return p.config }

// RegisterCount returns the number of registers that the proposer has used.
func (p *Proposer) RegisterCount() int { return len(p.registers) }

// SetConfig switches to a newer Config, and ignores any other. Operations in progress are executed again there: if
// they took effect under the former Config, the registers that were carried over show it.
func (p *Proposer) SetConfig(now time.Duration, config Config) *ProposerOutput {
	p.step()
	if config.Epoch <= p.config.Epoch {
		return p.finish()
	}
	p.config = config
	p.highestRound = 0
	for _, r := range p.registers {
		p.abandon(now, r, 0)
	}
	for _, r := range p.activeInOrder() {
		p.advance(now, r)
	}
	return p.finish()
}

// Submit queues a call for execution. If too many calls of its name are waiting, it completes as NotExecuted at once.
func (p *Proposer) Submit(now time.Duration, call *Call) *ProposerOutput {
	p.step()
	r := p.register(call.Operation.Name)
	if len(r.queue) >= maxQueue || len(r.waiters) >= maxWaiters {
		p.complete(call, NotExecuted, coordination.Result{})
		return p.finish()
	}
	r.queue = append(r.queue, call)
	p.advance(now, r)
	return p.finish()
}

// Receive handles an acceptor's reply.
func (p *Proposer) Receive(now time.Duration, from replication.Replica, reply *Reply) *ProposerOutput {
	p.step()
	if reply.Epoch != p.config.Epoch || !p.config.Has(from) {
		return p.finish()
	}
	for i := range reply.Promises {
		p.onPromise(now, from, &reply.Promises[i])
	}
	for i := range reply.Acks {
		p.onAck(now, from, &reply.Acks[i])
	}
	return p.finish()
}

// Resume sends the unanswered requests again to an acceptor that has just become ready.
func (p *Proposer) Resume(now time.Duration, address string) *ProposerOutput {
	p.step()
	for _, acceptor := range p.config.Acceptors {
		if acceptor.Address != address {
			continue
		}
		for _, r := range p.activeInOrder() {
			p.resendTo(now, r, acceptor)
		}
	}
	return p.finish()
}

// Tick advances the time: unanswered requests are sent again, and calls past their deadline are completed as Unclear or
// NotExecuted.
func (p *Proposer) Tick(now time.Duration) *ProposerOutput {
	p.step()
	for _, r := range p.activeInOrder() {
		p.expire(now, r)
		p.resend(now, r)
		p.advance(now, r)
	}
	return p.finish()
}

// Compact drops the events that no register has to keep any longer. The acceptors do so as well.
func (p *Proposer) Compact(now time.Duration) {
	if now < p.nextCompaction {
		return
	}
	p.nextCompaction = now + compactionInterval
	for _, r := range p.registers {
		if r.state != nil {
			r.state.Compact(now)
		}
	}
}

// activeInOrder returns the active registers sorted by name.
func (p *Proposer) activeInOrder() []*proposedRegister {
	active := slices.Collect(maps.Keys(p.active))
	slices.SortFunc(active, func(a, b *proposedRegister) int { return compareNames(a.name, b.name) })
	return active
}

// NextTick returns the time of the next Tick that is needed; ok is false if no register is active.
func (p *Proposer) NextTick() (at time.Duration, ok bool) {
	for r := range p.active {
		if next := r.nextTick(); !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}

// HasRegister reports whether the proposer has used the register of a name.
func (p *Proposer) HasRegister(name coordination.Name) bool { return p.registers[name] != nil }

func (p *Proposer) step() {
	p.out = &ProposerOutput{}
	p.requests = map[string]*Request{}
}

// finish returns the step's output, with at most one Request for each acceptor.
func (p *Proposer) finish() *ProposerOutput {
	for _, acceptor := range p.config.Acceptors {
		if request := p.requests[acceptor.Address]; request != nil {
			p.out.Send = append(p.out.Send, Outgoing{To: acceptor.Address, Message: request})
		}
	}
	return p.out
}

// request returns the step's Request to an acceptor and creates it if necessary.
func (p *Proposer) request(to replication.Replica) *Request {
	request := p.requests[to.Address]
	if request == nil {
		request = &Request{Epoch: p.config.Epoch}
		p.requests[to.Address] = request
	}
	return request
}

func (p *Proposer) complete(call *Call, certainty Certainty, result coordination.Result) {
	p.out.Completed = append(p.out.Completed, Completion{ID: call.ID, Certainty: certainty, Result: result})
}

func (p *Proposer) register(name coordination.Name) *proposedRegister {
	r := p.registers[name]
	if r == nil {
		r = &proposedRegister{name: name, state: coordination.NewState(name.Kind, p.options.State)}
		p.registers[name] = r
	}
	return r
}

// advance starts what the queued calls need and the backoff permits: a ballot if there is none, otherwise a round. It
// also updates the set of active registers.
func (p *Proposer) advance(now time.Duration, r *proposedRegister) {
	if len(r.queue) > 0 && p.config.Epoch > 0 && now >= r.backoffUntil {
		switch r.phase {
		case unprepared:
			p.prepare(now, r)
		case prepared:
			p.propose(now, r)
		}
	}
	if r.isWaiting() {
		p.active[r] = true
	} else {
		delete(p.active, r)
	}
}

// expire completes the calls whose deadline has passed, and the watches without events whose ParkUntil has passed.
func (p *Proposer) expire(now time.Duration, r *proposedRegister) {
	r.queue = slices.DeleteFunc(r.queue, func(c *Call) bool { return p.expireCall(now, c) })
	r.waiters = slices.DeleteFunc(r.waiters, func(w execution) bool {
		if now < w.call.ParkUntil {
			return false
		}
		p.complete(w.call, Decided, w.result)
		return true
	})
	if r.phase == preparing && len(r.queue) == 0 {
		p.abandon(now, r, 0) // no call needs the ballot any more
	}
	if r.phase != proposing {
		return
	}
	if !slices.ContainsFunc(r.batch, func(e execution) bool { return now < e.call.Deadline }) {
		p.abandon(now, r, 0) // moves the calls of the round back to the queue, where they expire
		r.queue = slices.DeleteFunc(r.queue, func(c *Call) bool { return p.expireCall(now, c) })
	}
}

// expireCall completes a call whose deadline has passed, and reports whether it did.
func (p *Proposer) expireCall(now time.Duration, call *Call) bool {
	if now < call.Deadline {
		return false
	}
	if call.proposed {
		p.complete(call, Unclear, coordination.Result{})
	} else {
		p.complete(call, NotExecuted, coordination.Result{})
	}
	return true
}

// abandon ends the current ballot. The calls of its round return to the queue and are executed again under another ballot.
func (p *Proposer) abandon(now time.Duration, r *proposedRegister, backoff time.Duration) {
	calls := make([]*Call, 0, len(r.batch)+len(r.queue))
	for _, e := range r.batch {
		calls = append(calls, e.call)
	}
	r.queue = append(calls, r.queue...)
	r.batch = nil
	r.phase = unprepared
	r.progress = nil
	r.backoffUntil = now + backoff
}
