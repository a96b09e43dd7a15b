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
	retransmitInterval    = 60 * time.Millisecond // before acceptors that have not answered are asked again; doubles each time
	maxRetransmitInterval = 240 * time.Millisecond
	minBackoff            = 4 * time.Millisecond // after a rejection by another proposer's ballot; grows with each
	maxBackoff            = 250 * time.Millisecond
	maxBackoffDoublings   = 8
	maxQueue              = 512 // calls that wait for one name
	maxWaiters            = 4096
)

// ProposerOptions are a proposer's surroundings.
type ProposerOptions struct {
	State  coordination.Options
	Random *rand.Rand
}

// Proposer executes operations on registers. Its methods are not safe for concurrent use; each that returns a ProposerOutput is a step,
// whose output has to be carried out before the next one.
type Proposer struct {
	options      ProposerOptions
	id           uint64 // of this process, in its ballots
	config       Config
	highestRound uint64
	lastTrip     uint64
	names        map[coordination.Name]*proposedRegister
	active       map[*proposedRegister]bool // those that have something to wait for
	out          *ProposerOutput            // of the present step
	requests     map[string]*Request        // of the present step, by acceptor
}

// NewProposer returns a proposer that knows no acceptors yet.
func NewProposer(options ProposerOptions) *Proposer {
	return &Proposer{
		options: options, id: options.Random.Uint64(),
		names: map[coordination.Name]*proposedRegister{}, active: map[*proposedRegister]bool{},
	}
}

// Config returns the acceptors that the proposer asks.
func (p *Proposer) Config() Config { return p.config }

// RegisterCount returns how many registers the proposer has used.
func (p *Proposer) RegisterCount() int { return len(p.names) }

// SetConfig has the proposer ask newer acceptors. What was under way is executed again there: its outcome under the former ones is found
// with the registers that were carried over.
func (p *Proposer) SetConfig(now time.Duration, config Config) *ProposerOutput {
	p.step()
	if config.Epoch <= p.config.Epoch {
		return p.finish()
	}
	p.config = config
	p.highestRound = 0
	for _, r := range p.names {
		p.abandon(now, r, 0)
	}
	for _, r := range p.activeInOrder() {
		p.advance(now, r)
	}
	return p.finish()
}

// Submit has an operation executed.
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

// Resume asks an acceptor again that has just become ready.
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

// Tick lets time pass: what was not answered is sent again, and calls past their deadline are given up.
func (p *Proposer) Tick(now time.Duration) *ProposerOutput {
	p.step()
	for _, r := range p.activeInOrder() {
		p.expire(now, r)
		p.resend(now, r)
		p.advance(now, r)
	}
	return p.finish()
}

// activeInOrder returns the registers that have something to wait for, always in the same order.
func (p *Proposer) activeInOrder() []*proposedRegister {
	active := slices.Collect(maps.Keys(p.active))
	slices.SortFunc(active, func(a, b *proposedRegister) int { return compareNames(a.name, b.name) })
	return active
}

// NextTick returns when Tick has something to do; ok is false where nothing waits.
func (p *Proposer) NextTick() (at time.Duration, ok bool) {
	for r := range p.active {
		if due := r.nextDue(); !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// HasRegister reports whether the proposer has used a name.
func (p *Proposer) HasRegister(name coordination.Name) bool { return p.names[name] != nil }

func (p *Proposer) step() {
	p.out = &ProposerOutput{}
	p.requests = map[string]*Request{}
}

// finish returns the step's output, with one message for each acceptor.
func (p *Proposer) finish() *ProposerOutput {
	for _, acceptor := range p.config.Acceptors {
		if request := p.requests[acceptor.Address]; request != nil {
			p.out.Send = append(p.out.Send, Outgoing{To: acceptor.Address, Message: request})
		}
	}
	return p.out
}

// request returns the step's message to an acceptor.
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
	r := p.names[name]
	if r == nil {
		r = &proposedRegister{name: name, state: coordination.NewState(name.Kind, p.options.State)}
		p.names[name] = r
	}
	return r
}

// advance begins what can begin: a ballot where there is none, or a round with the calls that wait.
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

// expire gives up the calls whose deadline has passed, and answers watches that have waited long enough.
func (p *Proposer) expire(now time.Duration, r *proposedRegister) {
	r.queue = slices.DeleteFunc(r.queue, func(c *Call) bool { return p.giveUp(now, c) })
	r.waiters = slices.DeleteFunc(r.waiters, func(w execution) bool {
		if now < w.call.ParkUntil {
			return false
		}
		p.complete(w.call, Decided, w.result)
		return true
	})
	if r.phase == preparing && len(r.queue) == 0 {
		p.abandon(now, r, 0) // nobody waits for the ballot
	}
	if r.phase != proposing {
		return
	}
	if !slices.ContainsFunc(r.batch, func(e execution) bool { return now < e.call.Deadline }) {
		p.abandon(now, r, 0) // its calls are given up with the queue
		r.queue = slices.DeleteFunc(r.queue, func(c *Call) bool { return p.giveUp(now, c) })
	}
}

func (p *Proposer) giveUp(now time.Duration, call *Call) bool {
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

// abandon ends the present ballot: the calls of its round wait again, and are executed anew under another ballot.
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
