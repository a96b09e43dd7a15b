package model

import (
	"cmp"
	"slices"
	"time"
)

// Endpoint is one server. It isn't safe for concurrent use.
//
// Every method first brings it up to the time passed in, then does its own part; a time before the last one
// counts as the last one. Effects wait for the next Advance. What it does depends on the spec, the seed and
// the calls that change it, in their order; calls that only look, Advance among them, change nothing, however
// many there are.
type Endpoint struct {
	spec   Spec
	now    time.Duration
	events []Event // not yet fetched by Advance

	jobs        map[uint64]*job // all that are not over, by id
	freeJobs    []*job
	arrivals    uint64 // numbers the arrivals
	running     workHeap
	queue       waitQueue
	usedSlots   int // jobs that hold a slot: running, or waiting for a call
	connections int

	virtualWork virtualClock
	warmup      warmup
	pressure    pressure
	pauses      pauses
	faults      faults
	random      randomDraws
	dedup       *DedupStore
	collapsed   bool

	possibleWork rateIntegral  // of what it can do, in standard cores
	sentWork     time.Duration // work that reached it
	doneWork     time.Duration // work done on finished segments and on jobs that ended in the middle of one
}

// New returns a warm server that is up at time 0. The spec has at least one core and one slot, and a speed
// above 0: whoever reads it from a file checks that.
func New(spec Spec, seed uint64) *Endpoint {
	s := &Endpoint{spec: spec, jobs: map[uint64]*job{}, faults: newFaults(), random: randomDraws{seed: seed}}
	s.virtualWork.nextEnd = Never
	s.pauses = newPauses(spec, seed)
	s.startProcess(false)
	if spec.DedupWindow > 0 {
		s.dedup = NewDedupStore(spec.DedupWindow)
	}
	s.updateRates()
	return s
}

// ShareDedup makes it use k, with k's window, in place of a set of its own: the servers of a tier keep their
// keys in one store. A restart leaves the store as it is.
func (s *Endpoint) ShareDedup(k *DedupStore) { s.dedup = k }

// Start starts its process, also if one runs already: connections are reset and jobs lost. A server that has
// fallen over stays down, and one that a fault keeps from running starts at the fault's end.
func (s *Endpoint) Start(now time.Duration, cold bool) {
	s.advanceTo(now)
	if s.currentPhase() == Up {
		s.reset()
		s.startProcess(cold)
		s.updateRates()
	}
}

// Connect asks for a connection. Accepted ones count until Disconnect or the next Reset, whichever is first.
func (s *Endpoint) Connect(now time.Duration) Admission {
	s.advanceTo(now)
	switch {
	case s.currentPhase() == Unresponsive:
		return ConnectionDropped
	case s.currentPhase() == Down, s.faults.count(RefuseConnections) > 0,
		s.spec.MaxConnections > 0 && s.connections >= s.spec.MaxConnections:
		return ConnectionRefused
	}
	s.connections++
	s.updateRates()
	return ConnectionAccepted
}

// Disconnect closes an accepted connection, one that no Reset has broken.
func (s *Endpoint) Disconnect(now time.Duration) {
	s.advanceTo(now)
	if s.connections > 0 {
		s.connections--
		s.updateRates()
	}
}

// Arrive is a request whose last byte has come. While it isn't Up nothing comes of that, no effect either.
func (s *Endpoint) Arrive(now time.Duration, r Job) {
	s.advanceTo(now)
	if s.currentPhase() != Up {
		return
	}
	j := s.newJob(r)
	work := j.handshake
	for _, w := range r.Segments {
		work += w
	}
	before := s.sentWork
	s.sentWork += work
	// The pressure of what is turned away counts as well, so it comes before anything else.
	if s.pressure.record(s.now, before, s.sentWork, &s.possibleWork) {
		s.collapse()
		return
	}
	switch {
	case s.faults.count(Hang) > 0, s.isAffected(j, Drop, drawDrop):
		// Taken, and that is all.
	case s.isAffected(j, Fail, drawFail):
		s.respond(j, ResponseError)
	case s.usedSlots < s.spec.Slots:
		s.start(j)
	case s.queue.n < s.spec.Queue:
		j.state = queued
		s.queue.push(j)
	default:
		s.respond(j, ResponseRejected)
	}
	s.updateRates()
}

// Cancel is a caller that gives job id up. What the spec's rule stops ends with Lost, and so does, under
// every rule, a job that would never be answered.
func (s *Endpoint) Cancel(now time.Duration, id uint64) {
	s.advanceTo(now)
	j := s.jobs[id]
	if j == nil {
		return
	}
	switch j.state {
	case queued:
		if s.spec.Cancel == CancelNothing {
			return
		}
	case running, awaitingCall:
		if s.spec.Cancel != CancelAll {
			return
		}
	}
	s.lose(j)
	s.startQueued()
	s.updateRates()
}

// CallReturned is a call of the next tier that is back. If it is not ok the job ends at once, as Errored.
func (s *Endpoint) CallReturned(now time.Duration, id uint64, ok bool) {
	s.advanceTo(now)
	j := s.jobs[id]
	if j == nil || j.state != awaitingCall {
		return
	}
	if ok {
		s.runSegment(j)
	} else {
		s.usedSlots--
		s.respond(j, ResponseError)
		s.startQueued()
	}
	s.updateRates()
}

// Phase is what a connection meets now.
func (s *Endpoint) Phase(now time.Duration) Phase {
	s.advanceTo(now)
	return s.currentPhase()
}

func (s *Endpoint) currentPhase() Phase {
	switch {
	case s.faults.count(Vanish) > 0:
		return Unresponsive
	case s.collapsed, s.faults.count(Crash) > 0:
		return Down
	}
	return Up
}

// NextEvent is when it next has something to do by itself: an Advance at that time may bring effects, and one
// before it brings none.
func (s *Endpoint) NextEvent() time.Duration {
	if len(s.events) > 0 {
		return s.events[0].At
	}
	if len(s.running) == 0 && !s.pressure.active {
		return Never // pauses and warmth go on, but nobody sees it
	}
	return s.nextInternalEvent()
}

// Advance appends to out what it did up to now, in order of time, and forgets it.
func (s *Endpoint) Advance(now time.Duration, out []Event) []Event {
	s.advanceTo(now)
	out = append(out, s.events...)
	s.events = s.events[:0]
	return out
}

// Capacity is what it can do now, in standard cores, losses and faults counted, pauses not. It is 0 while it
// is not Up or hangs.
func (s *Endpoint) Capacity(now time.Duration) float64 {
	s.advanceTo(now)
	if s.faults.count(Hang) > 0 {
		return 0
	}
	return s.nominalCapacity() * s.efficiency()
}

// Load is its state now.
func (s *Endpoint) Load(now time.Duration) Load {
	capacity := s.Capacity(now)
	did := s.doneWork
	for _, e := range s.running {
		did += s.attainedWork(e.job)
	}
	return Load{
		Running: s.usedSlots, Queued: s.queue.n, Connections: s.connections,
		Blackholed: len(s.jobs) - s.usedSlots - s.queue.n,
		Capacity:   capacity, WarmingUp: s.warmup.inProgress(), Collapsed: s.collapsed,
		SentWork: s.sentWork, PossibleWork: time.Duration(s.possibleWork.at(s.now)), DoneWork: did,
		PeakPressure: s.pressure.peak,
	}
}

// nextInternalEvent is the time of the next change that comes without a call.
func (s *Endpoint) nextInternalEvent() time.Duration {
	return min(s.virtualWork.nextEnd, s.pauses.next, s.warmup.next, s.pressure.next())
}

// to brings it up to now, event by event: rates change at events alone, so that their times are exact. Which
// of two events at the same time comes first matters little, but it has to be the same always.
func (s *Endpoint) advanceTo(now time.Duration) {
	for {
		at := s.nextInternalEvent()
		if at > now {
			break
		}
		s.now = max(s.now, at)
		switch at {
		case s.virtualWork.nextEnd:
			s.finishSegment()
		case s.pauses.next:
			s.pauses.toggle(s.now)
		case s.warmup.next:
			s.finishWarmupStep()
		default:
			if s.pressure.expire(s.sentWork, &s.possibleWork) {
				s.collapse()
			}
		}
		s.updateRates()
	}
	s.now = max(s.now, now)
}

// boot is a process that begins to run.
func (s *Endpoint) startProcess(cold bool) {
	s.stopProcess()
	s.pauses.begin(s.now)
	if cold && s.spec.WarmupDuration > 0 {
		s.warmup.begin(s.spec, s.now)
		s.possibleWork.setRate(s.now, s.nominalCapacity())
		s.pressure.begin(s.spec, s.now, s.sentWork, &s.possibleWork)
	}
}

// halt is a process that no longer runs.
func (s *Endpoint) stopProcess() {
	s.pauses.end()
	s.warmup.complete()
	s.pressure.end()
}

// fall is a cold server that was sent too much.
func (s *Endpoint) collapse() {
	s.collapsed = true
	s.reset()
	s.stopProcess()
	s.updateRates()
}

// reset breaks the connections and loses all jobs, the oldest first.
func (s *Endpoint) reset() {
	s.emit(Event{Kind: EventReset})
	s.connections = 0
	lost := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	for _, j := range lost {
		s.lose(j)
	}
}

// swallow takes all jobs out of their slots and out of line: nothing will come of them, though nobody learns.
func (s *Endpoint) blackholeAll() {
	for _, j := range s.jobs {
		s.detach(j)
	}
}

// pull takes a job out of its slot or out of line.
func (s *Endpoint) detach(j *job) {
	switch j.state {
	case queued:
		s.queue.remove(j)
	case running:
		part := s.attainedWork(j)
		j.done += part
		s.doneWork += part
		s.running.remove(j.heapIndex)
		s.usedSlots--
	case awaitingCall:
		s.usedSlots--
	}
	j.state = blackholed
}

// drop ends a job with nothing to show.
func (s *Endpoint) lose(j *job) {
	s.detach(j)
	s.emit(Event{Kind: EventLost, Job: j.id, Work: j.done})
	s.free(j)
}

// answer ends a job that holds no slot.
func (s *Endpoint) respond(j *job, a Response) {
	s.emit(Event{Kind: EventResponded, Job: j.id, Response: a, Work: j.done})
	s.free(j)
}

// start gives a job a slot.
func (s *Endpoint) start(j *job) {
	s.usedSlots++
	repeat := s.dedup != nil && j.key != 0 && s.dedup.SeenBefore(s.now, j.key)
	s.emit(Event{Kind: EventStarted, Job: j.id, Deduplicated: repeat})
	s.runSegment(j)
}

// run sets a job in a slot to its next segment.
func (s *Endpoint) runSegment(j *job) {
	j.state = running
	j.endsAt = s.virtualWork.at(s.now) + float64(j.work())
	s.running.push(j)
}

// finish is the end of a segment.
func (s *Endpoint) finishSegment() {
	j := s.running[0].job
	s.running.remove(0)
	s.virtualWork.reach(s.now, j.endsAt)
	work := j.work()
	j.done += work
	s.doneWork += work
	if j.segment++; j.segment < len(j.segments) {
		j.state = awaitingCall
		s.emit(Event{Kind: EventCalling, Job: j.id, Call: j.segment - 1})
		return
	}
	s.usedSlots--
	s.respond(j, s.drawResponse(j))
	s.startQueued()
}

// startQueued fills free slots from the line.
func (s *Endpoint) startQueued() {
	for s.queue.n > 0 && s.usedSlots < s.spec.Slots {
		s.start(s.queue.pop())
	}
}

// verdict is how a job whose work is done is answered. An error has no body to break, so it comes first.
func (s *Endpoint) drawResponse(j *job) Response {
	switch {
	case s.random.happens(j.number, drawError, s.spec.ErrorRate):
		return ResponseError
	case s.isAffected(j, Truncate, drawTruncate):
		return ResponseTruncated
	case s.isAffected(j, Corrupt, drawCorrupt):
		return ResponseCorrupted
	case s.isAffected(j, Trickle, drawTrickle):
		return ResponseTrickled
	}
	return ResponseOK
}

func (s *Endpoint) emit(e Event) {
	e.At = s.now
	s.events = append(s.events, e)
}
