package model

import "time"

// Job is a request as it reaches an endpoint.
type Job struct {
	ID             uint64 // unique for each arrival at this endpoint
	IdempotencyKey uint64 // 0 is none
	// Segments is the work before, between and after the calls of the next tier: one more than there are calls. The
	// endpoint copies it.
	Segments      []time.Duration
	NewConnection bool   // it is the first on its connection, which adds HandshakeWork
	Class         int    // for faults of one class; from 1
	ConnectionID  uint64 // for faults of a share of the connections
}

// jobState is where a job is.
type jobState uint8

const (
	blackholed   jobState = iota // holds no slot and will get no response
	queued                       // waits for a slot
	running                      // in a slot, on the cores
	awaitingCall                 // in a slot, waiting for the next tier
)

// job is a request that is not done.
type job struct {
	id, key      uint64
	class        int
	connectionID uint64
	number       uint64 // of arrival, at this endpoint
	segments     []time.Duration
	handshake    time.Duration // work, before the first segment
	segment      int           // index of the present one
	state        jobState
	done         time.Duration // work on finished segments; once the job is detached, on all

	endsAt     float64 // running: virtual work at the end of the segment
	heapIndex  int     // running: index in the heap
	prev, next *job    // queued: neighbours in the queue
}

// work is the work of the present segment.
func (j *job) work() time.Duration {
	var w time.Duration
	if j.segment < len(j.segments) {
		w = j.segments[j.segment]
	}
	if j.segment == 0 {
		w += j.handshake
	}
	return w
}

// newJob takes a job from the free list: at a million a second they would be most of the garbage.
func (e *Endpoint) newJob(request Job) *job {
	var j *job
	if n := len(e.freeJobs); n > 0 {
		j, e.freeJobs = e.freeJobs[n-1], e.freeJobs[:n-1]
	} else {
		j = new(job)
	}
	e.arrivals++
	*j = job{
		id:           request.ID,
		key:          request.IdempotencyKey,
		class:        request.Class,
		connectionID: request.ConnectionID,
		number:       e.arrivals,
		segments:     append(j.segments[:0], request.Segments...),
	}
	if request.NewConnection {
		j.handshake = e.spec.HandshakeWork
	}
	e.jobs[request.ID] = j
	return j
}

// free puts a job that is done on the free list.
func (e *Endpoint) free(j *job) {
	delete(e.jobs, j.id)
	e.freeJobs = append(e.freeJobs, j)
}
