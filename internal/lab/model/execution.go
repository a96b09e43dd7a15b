package model

import (
	"cmp"
	"slices"
	"time"
)

// nextInternalEvent is the time of the next change that comes without a call.
func (e *Endpoint) nextInternalEvent() time.Duration {
	return min(e.virtualWork.nextEnd, e.pauses.next, e.warmup.next, e.pressure.next())
}

// advanceTo advances it to now, event by event: rates change at events alone, so that their times are exact. Which of two
// events at the same time comes first matters little, but it has to be the same always.
func (e *Endpoint) advanceTo(now time.Duration) {
	for {
		at := e.nextInternalEvent()
		if at > now {
			break
		}
		e.now = max(e.now, at)
		switch at {
		case e.virtualWork.nextEnd:
			e.finishSegment()
		case e.pauses.next:
			e.pauses.toggle(e.now)
		case e.warmup.next:
			e.finishWarmupStep()
		default:
			if e.pressure.expire(e.sentWork, &e.possibleWork) {
				e.collapse()
			}
		}
		e.updateRates()
	}
	e.now = max(e.now, now)
}

// startProcess starts a process, with a warm-up if it is cold.
func (e *Endpoint) startProcess(cold bool) {
	e.stopProcess()
	e.pauses.begin(e.now)
	if cold && e.spec.WarmupDuration > 0 {
		e.warmup.begin(e.spec, e.now)
		e.possibleWork.setRate(e.now, e.nominalCapacity())
		e.pressure.begin(e.spec, e.now, e.sentWork, &e.possibleWork)
	}
}

// stopProcess ends what only a running process does.
func (e *Endpoint) stopProcess() {
	e.pauses.end()
	e.warmup.complete()
	e.pressure.end()
}

// collapse takes an endpoint down for good that was sent too much while it was warming up.
func (e *Endpoint) collapse() {
	e.collapsed = true
	e.reset()
	e.stopProcess()
	e.updateRates()
}

// reset breaks the connections and loses all jobs, the oldest first.
func (e *Endpoint) reset() {
	e.emit(Event{Kind: EventReset})
	e.connections = 0
	lost := make([]*job, 0, len(e.jobs))
	for _, j := range e.jobs {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	for _, j := range lost {
		e.lose(j)
	}
}

// blackholeAll takes all jobs out of their slots and the queue. They get no response, and callers don't learn of it.
func (e *Endpoint) blackholeAll() {
	for _, j := range e.jobs {
		e.detach(j)
	}
}

// detach takes a job out of its slot or the queue.
func (e *Endpoint) detach(j *job) {
	switch j.state {
	case queued:
		e.queue.remove(j)
	case running:
		part := e.attainedWork(j)
		j.done += part
		e.doneWork += part
		e.running.remove(j.heapIndex)
		e.usedSlots--
	case awaitingCall:
		e.usedSlots--
	}
	j.state = blackholed
}

// lose ends a job without a response.
func (e *Endpoint) lose(j *job) {
	e.detach(j)
	e.emit(Event{Kind: EventLost, Job: j.id, Work: j.done})
	e.free(j)
}

// respond ends a job that holds no slot.
func (e *Endpoint) respond(j *job, response Response) {
	e.emit(Event{Kind: EventResponded, Job: j.id, Response: response, Work: j.done})
	e.free(j)
}

// start gives a job a slot.
func (e *Endpoint) start(j *job) {
	e.usedSlots++
	repeat := e.dedup != nil && j.key != 0 && e.dedup.SeenBefore(e.now, j.key)
	e.emit(Event{Kind: EventStarted, Job: j.id, Deduplicated: repeat})
	e.runSegment(j)
}

// runSegment starts the next segment of a job that has a slot.
func (e *Endpoint) runSegment(j *job) {
	j.state = running
	j.endsAt = e.virtualWork.at(e.now) + float64(j.work())
	e.running.push(j)
}

// finishSegment ends the segment that ends first.
func (e *Endpoint) finishSegment() {
	j := e.running[0].job
	e.running.remove(0)
	e.virtualWork.reach(e.now, j.endsAt)
	work := j.work()
	j.done += work
	e.doneWork += work
	if j.segment++; j.segment < len(j.segments) {
		j.state = awaitingCall
		e.emit(Event{Kind: EventCalling, Job: j.id, Call: j.segment - 1})
		return
	}
	e.usedSlots--
	e.respond(j, e.drawResponse(j))
	e.startQueued()
}

// startQueued fills free slots from the queue.
func (e *Endpoint) startQueued() {
	for e.queue.n > 0 && e.usedSlots < e.spec.Slots {
		e.start(e.queue.pop())
	}
}

// drawResponse draws the response of a job whose work is done. An error has no body to break, so it comes first.
func (e *Endpoint) drawResponse(j *job) Response {
	switch {
	case e.random.happens(j.number, drawError, e.spec.ErrorRate):
		return ResponseError
	case e.isAffected(j, Truncate, drawTruncate):
		return ResponseTruncated
	case e.isAffected(j, Corrupt, drawCorrupt):
		return ResponseCorrupted
	case e.isAffected(j, Trickle, drawTrickle):
		return ResponseTrickled
	}
	return ResponseOK
}

func (e *Endpoint) emit(event Event) {
	event.At = e.now
	e.events = append(e.events, event)
}
