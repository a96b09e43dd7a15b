package model

import "time"

// state is where a job is.
type state uint8

const (
	swallowed state = iota // holds no slot and will not be answered
	waiting                // in line for a slot
	running                // in a slot, on the cores
	calling                // in a slot, waiting for the next tier
)

// job is a request that is not over.
type job struct {
	id, key   uint64
	class     int
	conn      uint64
	number    uint64 // of arrival, at this server
	segments  []time.Duration
	handshake time.Duration // on top of the first segment
	segment   int           // the present one
	state     state
	done      time.Duration // work on finished segments, or on all that will be

	end        float64 // running: virtual work at which the segment is done
	place      int     // running: index in the heap
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
func (s *Server) take(r Job) *job {
	var j *job
	if n := len(s.spare); n > 0 {
		j, s.spare = s.spare[n-1], s.spare[:n-1]
	} else {
		j = new(job)
	}
	s.arrived++
	*j = job{id: r.ID, key: r.Key, class: r.Class, conn: r.Conn, number: s.arrived, segments: append(j.segments[:0], r.Segments...)}
	if r.FirstOn {
		j.handshake = s.spec.Handshake
	}
	s.jobs[r.ID] = j
	return j
}

func (s *Server) forget(j *job) {
	delete(s.jobs, j.id)
	s.spare = append(s.spare, j)
}

// line is the waiting room, in order of arrival. Being linked, it lets go of a withdrawn job at once.
type line struct {
	first, last *job
	n           int
}

func (l *line) push(j *job) {
	j.prev, j.next = l.last, nil
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
	l.n++
}

func (l *line) pop() *job {
	j := l.first
	l.remove(j)
	return j
}

func (l *line) remove(j *job) {
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
type workHeap []entry

type entry struct {
	end    float64
	number uint64
	job    *job
}

func (a entry) before(b entry) bool {
	return a.end < b.end || a.end == b.end && a.number < b.number
}

func (h *workHeap) push(j *job) {
	*h = append(*h, entry{})
	h.up(len(*h)-1, entry{j.end, j.number, j})
}

func (h *workHeap) remove(i int) {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = entry{}
	*h = (*h)[:n]
	if i < n {
		h.up(h.down(i, e), e)
	}
}

// up puts e at place i or above it.
func (h workHeap) up(i int, e entry) {
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
func (h workHeap) down(i int, e entry) int {
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

func (h workHeap) put(i int, e entry) {
	h[i] = e
	e.job.place = i
}
