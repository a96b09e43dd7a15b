package model

import (
	"cmp"
	"slices"
	"time"
)

// Server is one server. It isn't safe for concurrent use.
//
// Every method first brings it up to the time passed in, then does its own part; a time before the last one
// counts as the last one. Effects wait for the next Advance. What it does depends on the spec, the seed and
// the calls that change it, in their order; calls that only look, Advance among them, change nothing, however
// many there are.
type Server struct {
	spec Spec
	now  time.Duration
	made []Effect // not yet fetched by Advance

	jobs    map[uint64]*job // all that are not over, by id
	spare   []*job
	arrived uint64 // numbers the arrivals
	running workHeap
	waiting line
	inWork  int // jobs that hold a slot: running, or waiting for a call
	conns   int

	virtual  virtual
	warmth   warmth
	pressure pressure
	pauses   pauses
	faults   faults
	draws    draws
	keys     *Keys
	fallen   bool

	could meter         // of what it can do, in standard cores
	sent  time.Duration // work that reached it
	did   time.Duration // work done on finished segments and on jobs that ended in the middle of one
}

// New returns a warm server that is up at time 0. The spec has at least one core and one slot, and a speed
// above 0: whoever reads it from a file checks that.
func New(spec Spec, seed uint64) *Server {
	s := &Server{spec: spec, jobs: map[uint64]*job{}, faults: noFaults(), draws: draws{seed: seed}}
	s.virtual.due = Never
	s.pauses = newPauses(spec, seed)
	s.boot(false)
	if spec.KeyWindow > 0 {
		s.keys = NewKeys(spec.KeyWindow)
	}
	s.settle()
	return s
}

// ShareKeys makes it use k, with k's window, in place of a set of its own: the servers of a tier keep their
// keys in one store. A restart leaves the store as it is.
func (s *Server) ShareKeys(k *Keys) { s.keys = k }

// Start starts its process, also if one runs already: connections are reset and jobs lost. A server that has
// fallen over stays down, and one that a fault keeps from running starts at the fault's end.
func (s *Server) Start(now time.Duration, cold bool) {
	s.to(now)
	if s.phase() == Up {
		s.reset()
		s.boot(cold)
		s.settle()
	}
}

// Connect asks for a connection. Accepted ones count until Disconnect or the next Reset, whichever is first.
func (s *Server) Connect(now time.Duration) Admission {
	s.to(now)
	switch {
	case s.phase() == Silent:
		return Unanswered
	case s.phase() == Down, s.faults.count(RefuseConns) > 0,
		s.spec.Connections > 0 && s.conns >= s.spec.Connections:
		return Refused
	}
	s.conns++
	s.settle()
	return Accepted
}

// Disconnect closes an accepted connection, one that no Reset has broken.
func (s *Server) Disconnect(now time.Duration) {
	s.to(now)
	if s.conns > 0 {
		s.conns--
		s.settle()
	}
}

// Arrive is a request whose last byte has come. While it isn't Up nothing comes of that, no effect either.
func (s *Server) Arrive(now time.Duration, r Job) {
	s.to(now)
	if s.phase() != Up {
		return
	}
	j := s.take(r)
	work := j.handshake
	for _, w := range r.Segments {
		work += w
	}
	before := s.sent
	s.sent += work
	// The pressure of what is turned away counts as well, so it comes before anything else.
	if s.pressure.mark(s.now, before, s.sent, &s.could) {
		s.fall()
		return
	}
	switch {
	case s.faults.count(Hang) > 0, s.strikes(j, Mute, drawMute):
		// Taken, and that is all.
	case s.strikes(j, Fail, drawFail):
		s.answer(j, Errored)
	case s.inWork < s.spec.Slots:
		s.start(j)
	case s.waiting.n < s.spec.Queue:
		j.state = waiting
		s.waiting.push(j)
	default:
		s.answer(j, TurnedAway)
	}
	s.settle()
}

// Withdraw is a caller that gives job id up. What the spec's rule stops ends with Lost, and so does, under
// every rule, a job that would never be answered.
func (s *Server) Withdraw(now time.Duration, id uint64) {
	s.to(now)
	j := s.jobs[id]
	if j == nil {
		return
	}
	switch j.state {
	case waiting:
		if s.spec.Cancel == CancelNothing {
			return
		}
	case running, calling:
		if s.spec.Cancel != CancelAll {
			return
		}
	}
	s.drop(j)
	s.serveNext()
	s.settle()
}

// Returned is a call of the next tier that is back. If it is not ok the job ends at once, as Errored.
func (s *Server) Returned(now time.Duration, id uint64, ok bool) {
	s.to(now)
	j := s.jobs[id]
	if j == nil || j.state != calling {
		return
	}
	if ok {
		s.run(j)
	} else {
		s.inWork--
		s.answer(j, Errored)
		s.serveNext()
	}
	s.settle()
}

// Phase is what a connection meets now.
func (s *Server) Phase(now time.Duration) Phase {
	s.to(now)
	return s.phase()
}

func (s *Server) phase() Phase {
	switch {
	case s.faults.count(Vanish) > 0:
		return Silent
	case s.fallen, s.faults.count(Dead) > 0:
		return Down
	}
	return Up
}

// Next is when it next has something to do by itself: an Advance at that time may bring effects, and one
// before it brings none.
func (s *Server) Next() time.Duration {
	if len(s.made) > 0 {
		return s.made[0].At
	}
	if len(s.running) == 0 && !s.pressure.on {
		return Never // pauses and warmth go on, but nobody sees it
	}
	return s.nextEvent()
}

// Advance appends to out what it did up to now, in order of time, and forgets it.
func (s *Server) Advance(now time.Duration, out []Effect) []Effect {
	s.to(now)
	out = append(out, s.made...)
	s.made = s.made[:0]
	return out
}

// Capacity is what it can do now, in standard cores, losses and faults counted, pauses not. It is 0 while it
// is not Up or hangs.
func (s *Server) Capacity(now time.Duration) float64 {
	s.to(now)
	if s.faults.count(Hang) > 0 {
		return 0
	}
	return s.able() * s.efficiency()
}

// Load is its state now.
func (s *Server) Load(now time.Duration) Load {
	capacity := s.Capacity(now)
	did := s.did
	for _, e := range s.running {
		did += s.attained(e.job)
	}
	return Load{
		InWork: s.inWork, Waiting: s.waiting.n, Connections: s.conns,
		Swallowed: len(s.jobs) - s.inWork - s.waiting.n,
		Capacity:  capacity, Cold: s.warmth.cold(), Fallen: s.fallen,
		SentWork: s.sent, Could: time.Duration(s.could.read(s.now)), Did: did,
		Worst: s.pressure.worst,
	}
}

// nextEvent is the time of the next change that comes without a call.
func (s *Server) nextEvent() time.Duration {
	return min(s.virtual.due, s.pauses.next, s.warmth.next, s.pressure.next())
}

// to brings it up to now, event by event: rates change at events alone, so that their times are exact. Which
// of two events at the same time comes first matters little, but it has to be the same always.
func (s *Server) to(now time.Duration) {
	for {
		at := s.nextEvent()
		if at > now {
			break
		}
		s.now = max(s.now, at)
		switch at {
		case s.virtual.due:
			s.finish()
		case s.pauses.next:
			s.pauses.turn(s.now)
		case s.warmth.next:
			s.warmer()
		default:
			if s.pressure.leave(s.sent, &s.could) {
				s.fall()
			}
		}
		s.settle()
	}
	s.now = max(s.now, now)
}

// boot is a process that begins to run.
func (s *Server) boot(cold bool) {
	s.halt()
	s.pauses.begin(s.now)
	if cold && s.spec.ColdFor > 0 {
		s.warmth.chill(s.spec, s.now)
		s.could.set(s.now, s.able())
		s.pressure.begin(s.spec, s.now, s.sent, &s.could)
	}
}

// halt is a process that no longer runs.
func (s *Server) halt() {
	s.pauses.end()
	s.warmth.warm()
	s.pressure.end()
}

// fall is a cold server that was sent too much.
func (s *Server) fall() {
	s.fallen = true
	s.reset()
	s.halt()
	s.settle()
}

// reset breaks the connections and loses all jobs, the oldest first.
func (s *Server) reset() {
	s.emit(Effect{Kind: Reset})
	s.conns = 0
	lost := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	for _, j := range lost {
		s.drop(j)
	}
}

// swallow takes all jobs out of their slots and out of line: nothing will come of them, though nobody learns.
func (s *Server) swallow() {
	for _, j := range s.jobs {
		s.pull(j)
	}
}

// pull takes a job out of its slot or out of line.
func (s *Server) pull(j *job) {
	switch j.state {
	case waiting:
		s.waiting.remove(j)
	case running:
		part := s.attained(j)
		j.done += part
		s.did += part
		s.running.remove(j.place)
		s.inWork--
	case calling:
		s.inWork--
	}
	j.state = swallowed
}

// drop ends a job with nothing to show.
func (s *Server) drop(j *job) {
	s.pull(j)
	s.emit(Effect{Kind: Lost, Job: j.id, Done: j.done})
	s.forget(j)
}

// answer ends a job that holds no slot.
func (s *Server) answer(j *job, a Answer) {
	s.emit(Effect{Kind: Answered, Job: j.id, Answer: a, Done: j.done})
	s.forget(j)
}

// start gives a job a slot.
func (s *Server) start(j *job) {
	s.inWork++
	repeat := s.keys != nil && j.key != 0 && s.keys.Seen(s.now, j.key)
	s.emit(Effect{Kind: Started, Job: j.id, Repeat: repeat})
	s.run(j)
}

// run sets a job in a slot to its next segment.
func (s *Server) run(j *job) {
	j.state = running
	j.end = s.virtual.read(s.now) + float64(j.work())
	s.running.push(j)
}

// finish is the end of a segment.
func (s *Server) finish() {
	j := s.running[0].job
	s.running.remove(0)
	s.virtual.reach(s.now, j.end)
	work := j.work()
	j.done += work
	s.did += work
	if j.segment++; j.segment < len(j.segments) {
		j.state = calling
		s.emit(Effect{Kind: Calling, Job: j.id, Call: j.segment - 1})
		return
	}
	s.inWork--
	s.answer(j, s.verdict(j))
	s.serveNext()
}

// serveNext fills free slots from the line.
func (s *Server) serveNext() {
	for s.waiting.n > 0 && s.inWork < s.spec.Slots {
		s.start(s.waiting.pop())
	}
}

// verdict is how a job whose work is done is answered. An error has no body to break, so it comes first.
func (s *Server) verdict(j *job) Answer {
	switch {
	case s.draws.hit(j.number, drawError, s.spec.ErrorRate):
		return Errored
	case s.strikes(j, Cut, drawCut):
		return CutOff
	case s.strikes(j, Spoil, drawSpoil):
		return Spoilt
	case s.strikes(j, Drip, drawDrip):
		return Dripped
	}
	return OK
}

func (s *Server) emit(e Effect) {
	e.At = s.now
	s.made = append(s.made, e)
}
