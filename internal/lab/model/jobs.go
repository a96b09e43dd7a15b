package model

import "time"

// state is where a job is.
type jobState uint8

const (
	blackholed   jobState = iota // holds no slot and will not be answered
	queued                       // in line for a slot
	running                      // in a slot, on the cores
	awaitingCall                 // in a slot, waiting for the next tier
)

// job is a request that is not over.
type job struct {
	id, key      uint64
	class        int
	connectionID uint64
	number       uint64 // of arrival, at this server
	segments     []time.Duration
	handshake    time.Duration // on top of the first segment
	segment      int           // the present one
	state        jobState
	done         time.Duration // work on finished segments, or on all that will be

	endsAt     float64 // running: virtual work at which the segment is done
	heapIndex  int     // running: index in the heap
	prev, next *job    // waiting: neighbours in line
}

// work is that of the present segment.
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

// take makes a job of a request. Jobs are used again: at a million a second they would be most of the garbage.
func (s *Endpoint) newJob(r Job) *job {
	var j *job
	if n := len(s.freeJobs); n > 0 {
		j, s.freeJobs = s.freeJobs[n-1], s.freeJobs[:n-1]
	} else {
		j = new(job)
	}
	s.arrivals++
	*j = job{id: r.ID, key: r.IdempotencyKey, class: r.Class, connectionID: r.ConnectionID, number: s.arrivals, segments: append(j.segments[:0], r.Segments...)}
	if r.NewConnection {
		j.handshake = s.spec.HandshakeWork
	}
	s.jobs[r.ID] = j
	return j
}

func (s *Endpoint) free(j *job) {
	delete(s.jobs, j.id)
	s.freeJobs = append(s.freeJobs, j)
}

// line is the waiting room, in order of arrival. Being linked, it lets go of a withdrawn job at once.
type waitQueue struct {
	first, last *job
	n           int
}

func (l *waitQueue) push(j *job) {
	j.prev, j.next = l.last, nil
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
	l.n++
}

func (l *waitQueue) pop() *job {
	j := l.first
	l.remove(j)
	return j
}

func (l *waitQueue) remove(j *job) {
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		l.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		l.last = j.prev
	}
	j.prev, j.next = nil, nil
	l.n--
}

// workHeap holds the running jobs, the one that ends first on top; of equals the one that came first.
type workHeap []heapEntry

type heapEntry struct {
	end    float64
	number uint64
	job    *job
}

func (a heapEntry) before(b heapEntry) bool {
	return a.end < b.end || a.end == b.end && a.number < b.number
}

func (h *workHeap) push(j *job) {
	*h = append(*h, heapEntry{})
	h.up(len(*h)-1, heapEntry{j.endsAt, j.number, j})
}

func (h *workHeap) remove(i int) {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = heapEntry{}
	*h = (*h)[:n]
	if i < n {
		h.up(h.down(i, e), e)
	}
}

// up puts e at place i or above it.
func (h workHeap) up(i int, e heapEntry) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(h[parent]) {
			break
		}
		h.put(i, h[parent])
		i = parent
	}
	h.put(i, e)
}

// down makes room for e at place i or below it, and returns the place.
func (h workHeap) down(i int, e heapEntry) int {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return i
		}
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(e) {
			return i
		}
		h.put(i, h[child])
		i = child
	}
}

func (h workHeap) put(i int, e heapEntry) {
	h[i] = e
	e.job.heapIndex = i
}
