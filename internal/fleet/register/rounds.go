package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// This file is the protocol of one name: a ballot is prepared, and then rounds are proposed under it.

// prepare asks the acceptors for a new ballot.
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
	r := p.names[m.Name]
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

// observe remembers the highest round of the present epoch, so that the next ballot is above it.
func (p *Proposer) observe(b Ballot) {
	if b.Epoch == p.config.Epoch {
		p.highestRound = max(p.highestRound, b.Round)
	}
}

// checkRejections gives a ballot up whose round no majority is left for.
func (p *Proposer) checkRejections(now time.Duration, r *proposedRegister) {
	if len(p.config.Acceptors)-r.rejected() >= majority(p.config.Acceptors) {
		return
	}
	p.backOff(now, r)
	p.advance(now, r)
}

// backOff leaves the name to the other proposer for a random time, the longer the more often this has happened.
func (p *Proposer) backOff(now time.Duration, r *proposedRegister) {
	r.rejections++
	limit := min(maxBackoff, minBackoff<<min(r.rejections, maxBackoffDoublings))
	p.abandon(now, r, time.Duration(p.options.Random.Int64N(int64(limit))))
}

// adoptNewest takes over the newest version that a majority has told of: whatever was chosen is among them.
func (p *Proposer) adoptNewest(now time.Duration, r *proposedRegister) {
	var newest Version
	for _, progress := range r.progress {
		if progress.promise != nil && newest.less(progress.promise.Accepted) {
			newest = progress.promise.Accepted
		}
	}
	var value *coordination.Change
	for _, acceptor := range p.config.Acceptors { // in their order, so that a simulation replays: ages in copies of one version differ
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

// propose executes the calls that wait and has the acceptors accept the state that they lead to. The first round of a ballot proposes even
// a state that has not changed, so that what a majority holds is known; later ones only have it confirmed.
func (p *Proposer) propose(now time.Duration, r *proposedRegister) {
	change := &coordination.Change{}
	for _, call := range r.queue {
		call.proposed = true
		r.batch = append(r.batch, execution{call: call, result: r.state.Execute(now, &call.Operation, change)})
	}
	r.queue = nil
	p.lastTrip++
	r.trip, r.base, r.change = p.lastTrip, r.version, nil
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

// sendAccept sends the round to an acceptor: the change alone where the acceptor has what it is based on, as far as is known.
func (p *Proposer) sendAccept(now time.Duration, r *proposedRegister, to replication.Replica, progress *acceptorProgress) {
	accept := Accept{Name: r.name, Version: r.version, RoundTrip: r.trip}
	switch {
	case progress.sent == r.version:
		// It confirms the version, or has been sent it before.
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
	r := p.names[m.Name]
	if r == nil || r.phase != proposing || m.RoundTrip != r.trip || m.Version != r.version {
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

// choose completes the calls of a round that a majority has accepted, and the watches that its puts are for. A ballot that some acceptor
// has rejected is given up: another proposer has taken the name over.
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

// answerWaiters answers the watches that have events in the present state, which is chosen.
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

// resend asks the acceptors again that have not answered. Where one has rejected the ballot and the others have not made a majority in that
// time, another ballot is tried.
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
