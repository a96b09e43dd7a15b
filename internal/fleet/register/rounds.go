package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// This file implements the protocol for one name: it prepares a ballot and then proposes rounds under it.

// prepare sends a new ballot to the acceptors.
func (p *Proposer) prepare(now time.Duration, r *proposedRegister) {
	p.highestRound++
	r.ballot = Ballot{Epoch: p.config.Epoch, Round: p.highestRound, Proposer: p.id}
	r.phase = preparing
	r.progress = map[replication.Replica]*acceptorProgress{}
	r.restartResends(now)
	for _, acceptor := range p.config.Acceptors {
		p.sendPrepare(r, acceptor)
	}
}

func (p *Proposer) sendPrepare(r *proposedRegister, to replication.Replica) {
	request := p.request(to)
	request.Prepares = append(request.Prepares, Prepare{Name: r.name, Ballot: r.ballot, Known: r.version})
}

func (p *Proposer) onPromise(now time.Duration, from replication.Replica, m *Promise) {
	p.observe(m.Promised)
	r := p.registers[m.Name]
	if r == nil || r.phase != preparing || m.Ballot != r.ballot {
		return
	}
	progress := r.progressOf(from)
	if r.ballot.less(m.Promised) {
		p.backOff(now, r)
		p.advance(now, r)
		return
	}
	progress.promise = m
	if r.count(func(a *acceptorProgress) bool { return a.promise != nil }) >= majority(p.config.Acceptors) {
		p.adoptNewest(now, r)
		p.advance(now, r)
	}
}

// observe records the highest round of the current epoch, so that the next ballot is higher.
func (p *Proposer) observe(b Ballot) {
	if b.Epoch == p.config.Epoch {
		p.highestRound = max(p.highestRound, b.Round)
	}
}

// checkRejections abandons the ballot if so many acceptors have rejected it that no majority can accept the round.
func (p *Proposer) checkRejections(now time.Duration, r *proposedRegister) {
	if len(p.config.Acceptors)-r.rejected() >= majority(p.config.Acceptors) {
		return
	}
	p.backOff(now, r)
	p.advance(now, r)
}

// backOff abandons the ballot in favour of the competing proposer. The next ballot starts after a random time, whose
// limit doubles with each rejection, up to maxBackoff.
func (p *Proposer) backOff(now time.Duration, r *proposedRegister) {
	r.rejections++
	limit := min(maxBackoff, minBackoff<<min(r.rejections, maxBackoffDoublings))
	p.abandon(now, r, time.Duration(p.options.Random.Int64N(int64(limit))))
}

// adoptNewest adopts the newest version in the promises of a majority: any version that was chosen is among them.
func (p *Proposer) adoptNewest(now time.Duration, r *proposedRegister) {
	var newest Version
	for _, progress := range r.progress {
		if progress.promise != nil && newest.less(progress.promise.Accepted) {
			newest = progress.promise.Accepted
		}
	}
	var value *coordination.Change
	for _, acceptor := range p.config.Acceptors { // fixed order for reproducible simulations: copies of a version differ in ages
		progress := r.progressOf(acceptor)
		if progress.promise == nil {
			continue
		}
		progress.sent = progress.promise.Accepted
		if progress.promise.Accepted == newest {
			value = coordination.OlderGrant(value, progress.promise.Value)
		}
	}
	switch {
	case newest == Version{}:
		r.state = coordination.NewState(r.name.Kind, p.options.State)
	case value != nil:
		r.state = coordination.NewState(r.name.Kind, p.options.State)
		r.state.Apply(now, value)
	}
	r.version = newest
	r.phase = prepared
}

// propose executes the queued calls and sends the resulting state to the acceptors. The first round of a ballot proposes
// the state even if it has not changed, so that a majority is known to hold it. Later rounds without a change only
// request a confirmation of the version.
func (p *Proposer) propose(now time.Duration, r *proposedRegister) {
	change := &coordination.Change{}
	for _, call := range r.queue {
		call.proposed = true
		r.batch = append(r.batch, execution{call: call, result: r.state.Execute(now, &call.Operation, change)})
	}
	r.queue = nil
	p.lastRoundTrip++
	r.roundTrip, r.base, r.change = p.lastRoundTrip, r.version, nil
	switch {
	case r.version.Ballot != r.ballot:
		r.version, r.change = Version{Ballot: r.ballot, Sequence: 1}, change
	case !change.IsEmpty():
		r.version.Sequence++
		r.change = change
	}
	r.phase = proposing
	r.restartResends(now)
	for _, acceptor := range p.config.Acceptors {
		progress := r.progressOf(acceptor)
		progress.acked = false
		if !progress.rejected {
			p.sendAccept(now, r, acceptor, progress)
		}
	}
}

// sendAccept sends the round to an acceptor: only the change if the acceptor presumably has the base version, otherwise
// the complete value.
func (p *Proposer) sendAccept(now time.Duration, r *proposedRegister, to replication.Replica, progress *acceptorProgress) {
	accept := Accept{Name: r.name, Version: r.version, RoundTrip: r.roundTrip}
	switch {
	case progress.sent == r.version:
		// A confirmation, or a resend of the same version.
		accept.Base, accept.Change = r.base, r.change
	case progress.sent == r.base && r.base != r.version:
		accept.Base, accept.Change = r.base, r.change
	default:
		accept.Change = r.state.Snapshot(now)
	}
	progress.sent = r.version
	request := p.request(to)
	request.Accepts = append(request.Accepts, accept)
}

func (p *Proposer) onAck(now time.Duration, from replication.Replica, m *AcceptAck) {
	p.observe(m.Promised)
	r := p.registers[m.Name]
	if r == nil || r.phase != proposing || m.RoundTrip != r.roundTrip || m.Version != r.version {
		return
	}
	progress := r.progressOf(from)
	switch m.Outcome {
	case BaseMissing:
		progress.sent = Version{}
		p.sendAccept(now, r, from, progress)
	case Rejected:
		progress.rejected = true
		p.checkRejections(now, r)
	case Accepted:
		progress.acked = true
		if r.count(func(a *acceptorProgress) bool { return a.acked }) >= majority(p.config.Acceptors) {
			p.choose(now, r)
			p.advance(now, r)
		}
	}
}

// choose completes the calls of a round that a majority has accepted, and the watches for which it has events. If any
// acceptor has rejected the ballot, the ballot is abandoned, as another proposer has started a higher one.
func (p *Proposer) choose(now time.Duration, r *proposedRegister) {
	batch := r.batch
	r.batch, r.phase, r.rejections = nil, prepared, 0
	for _, e := range batch {
		if e.result.Outcome == coordination.Pending && now < e.call.ParkUntil {
			r.waiters = append(r.waiters, e)
			continue
		}
		p.complete(e.call, Decided, e.result)
	}
	if r.change != nil {
		p.answerWaiters(now, r)
	}
	if r.rejected() > 0 {
		p.abandon(now, r, 0)
	}
}

// answerWaiters completes the watches that have events in the current state, which must be a chosen one.
func (p *Proposer) answerWaiters(now time.Duration, r *proposedRegister) {
	waiting := r.waiters[:0]
	for _, w := range r.waiters {
		result := r.state.Execute(now, &w.call.Operation, &coordination.Change{})
		if result.Outcome == coordination.Pending {
			w.result = result
			waiting = append(waiting, w)
			continue
		}
		p.complete(w.call, Decided, result)
	}
	r.waiters = waiting
}

// resend sends the requests again to acceptors that have not answered within the resend interval. If an acceptor has
// rejected the ballot and the others have not formed a majority by then, the proposer backs off instead.
func (p *Proposer) resend(now time.Duration, r *proposedRegister) {
	if now < r.nextResend || r.phase != preparing && r.phase != proposing {
		return
	}
	if r.rejected() > 0 {
		p.backOff(now, r)
		return
	}
	r.resendInterval = min(2*r.resendInterval, maxRetransmitInterval)
	r.nextResend = now + r.resendInterval
	for _, acceptor := range p.config.Acceptors {
		p.resendTo(now, r, acceptor)
	}
}

func (p *Proposer) resendTo(now time.Duration, r *proposedRegister, acceptor replication.Replica) {
	if r.phase != preparing && r.phase != proposing {
		return
	}
	progress := r.progressOf(acceptor)
	switch {
	case progress.rejected:
	case r.phase == preparing && progress.promise == nil:
		p.sendPrepare(r, acceptor)
	case r.phase == proposing && !progress.acked:
		p.sendAccept(now, r, acceptor, progress)
	}
}
