package model

import "time"

// Endpoint is one emulated upstream host. It isn't safe for concurrent use.
//
// Every method first advances it to the time passed in, then does its own part; a time before the last one counts as the
// last one. Events wait for the next Advance. What it does depends on the spec, the seed and the calls that change it, in
// their order; calls that only look, Advance among them, change nothing, however many there are.
type Endpoint struct {
	spec   Spec
	now    time.Duration
	events []Event // not yet fetched by Advance

	jobs        map[uint64]*job // all that are not done, by id
	freeJobs    []*job
	arrivals    uint64 // the last job's number
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

	possibleWork rateIntegral  // of the nominal capacity, in standard cores
	sentWork     time.Duration // that reached it
	doneWork     time.Duration // on finished segments, and on jobs that ended in the middle of one
}

// New returns an endpoint with its full capacity that is up at time 0. The spec has at least one core and one slot, and a
// speed above 0: whoever reads it from a file checks that.
func New(spec Spec, seed uint64) *Endpoint {
	e := &Endpoint{spec: spec, jobs: map[uint64]*job{}, faults: newFaults(), random: randomDraws{seed: seed}}
	e.virtualWork.nextEnd = Never
	e.pauses = newPauses(spec, seed)
	e.startProcess(false)
	if spec.DedupWindow > 0 {
		e.dedup = NewDedupStore(spec.DedupWindow)
	}
	e.updateRates()
	return e
}

// ShareDedup makes it use a store, with the store's window, in place of one of its own: the endpoints of a tier share one.
// A restart leaves the store as it is.
func (e *Endpoint) ShareDedup(store *DedupStore) { e.dedup = store }

// Start starts its process, also if one runs already: connections are reset and jobs lost. An endpoint that has collapsed
// stays down, and one that a fault keeps down starts at the fault's end.
func (e *Endpoint) Start(now time.Duration, cold bool) {
	e.advanceTo(now)
	if e.currentPhase() == Up {
		e.reset()
		e.startProcess(cold)
		e.updateRates()
	}
}

// Connect opens a connection. An accepted one counts until Disconnect or the next EventReset, whichever is first.
func (e *Endpoint) Connect(now time.Duration) Admission {
	e.advanceTo(now)
	switch {
	case e.currentPhase() == Unresponsive:
		return ConnectionDropped
	case e.currentPhase() == Down, e.faults.count(RefuseConnections) > 0,
		e.spec.MaxConnections > 0 && e.connections >= e.spec.MaxConnections:
		return ConnectionRefused
	}
	e.connections++
	e.updateRates()
	return ConnectionAccepted
}

// Disconnect closes an accepted connection that no EventReset has broken.
func (e *Endpoint) Disconnect(now time.Duration) {
	e.advanceTo(now)
	if e.connections > 0 {
		e.connections--
		e.updateRates()
	}
}

// Arrive takes a request whose last byte has arrived. While the endpoint isn't Up the request is lost, without an event.
func (e *Endpoint) Arrive(now time.Duration, request Job) {
	e.advanceTo(now)
	if e.currentPhase() != Up {
		return
	}
	j := e.newJob(request)
	work := j.handshake
	for _, segment := range request.Segments {
		work += segment
	}
	before := e.sentWork
	e.sentWork += work
	// What is rejected counts for the pressure as well, so that comes before anything else.
	if e.pressure.record(e.now, before, e.sentWork, &e.possibleWork) {
		e.collapse()
		return
	}
	switch {
	case e.faults.count(Hang) > 0, e.isAffected(j, Drop, drawDrop):
		// Accepted, and that is all.
	case e.isAffected(j, Fail, drawFail):
		e.respond(j, ResponseError)
	case e.usedSlots < e.spec.Slots:
		e.start(j)
	case e.queue.n < e.spec.Queue:
		j.state = queued
		e.queue.push(j)
	default:
		e.respond(j, ResponseRejected)
	}
	e.updateRates()
}

// Cancel is the caller's cancellation of a job. What the spec's rule stops ends with EventLost, and so does, under every
// rule, a job that would get no response.
func (e *Endpoint) Cancel(now time.Duration, id uint64) {
	e.advanceTo(now)
	j := e.jobs[id]
	if j == nil {
		return
	}
	switch j.state {
	case queued:
		if e.spec.Cancel == CancelNothing {
			return
		}
	case running, awaitingCall:
		if e.spec.Cancel != CancelAll {
			return
		}
	}
	e.lose(j)
	e.startQueued()
	e.updateRates()
}

// CallReturned resumes a job whose call of the next tier has returned. If that is not ok the job ends with
// ResponseError.
func (e *Endpoint) CallReturned(now time.Duration, id uint64, ok bool) {
	e.advanceTo(now)
	j := e.jobs[id]
	if j == nil || j.state != awaitingCall {
		return
	}
	if ok {
		e.runSegment(j)
	} else {
		e.usedSlots--
		e.respond(j, ResponseError)
		e.startQueued()
	}
	e.updateRates()
}

// Phase returns what a connection meets now.
func (e *Endpoint) Phase(now time.Duration) Phase {
	e.advanceTo(now)
	return e.currentPhase()
}

func (e *Endpoint) currentPhase() Phase {
	switch {
	case e.faults.count(Vanish) > 0:
		return Unresponsive
	case e.collapsed, e.faults.count(Crash) > 0:
		return Down
	}
	return Up
}

// NextEvent returns when it next does something by itself: an Advance at that time may return events, and one before it
// returns none.
func (e *Endpoint) NextEvent() time.Duration {
	if len(e.events) > 0 {
		return e.events[0].At
	}
	if len(e.running) == 0 && !e.pressure.active {
		return Never // pauses and the warm-up go on, but nobody sees it
	}
	return e.nextInternalEvent()
}

// Advance appends to out the events up to now, in order of time, and forgets them.
func (e *Endpoint) Advance(now time.Duration, out []Event) []Event {
	e.advanceTo(now)
	out = append(out, e.events...)
	e.events = e.events[:0]
	return out
}

// Capacity returns the present capacity, in standard cores, with losses and faults, without pauses. It is 0 while the
// endpoint is not Up or hangs.
func (e *Endpoint) Capacity(now time.Duration) float64 {
	e.advanceTo(now)
	if e.faults.count(Hang) > 0 {
		return 0
	}
	return e.nominalCapacity() * e.efficiency()
}

// Load returns its state now.
func (e *Endpoint) Load(now time.Duration) Load {
	capacity := e.Capacity(now)
	doneWork := e.doneWork
	for _, entry := range e.running {
		doneWork += e.attainedWork(entry.job)
	}
	return Load{
		Running:      e.usedSlots,
		Queued:       e.queue.n,
		Connections:  e.connections,
		Blackholed:   len(e.jobs) - e.usedSlots - e.queue.n,
		Capacity:     capacity,
		WarmingUp:    e.warmup.inProgress(),
		Collapsed:    e.collapsed,
		SentWork:     e.sentWork,
		PossibleWork: time.Duration(e.possibleWork.at(e.now)),
		DoneWork:     doneWork,
		PeakPressure: e.pressure.peak,
	}
}
