package model

// waitQueue has the queued jobs in the order of their arrival. It is linked, so that a cancelled job leaves at once.
type waitQueue struct {
	first, last *job
	n           int
}

func (q *waitQueue) push(j *job) {
	j.prev, j.next = q.last, nil
	if q.last != nil {
		q.last.next = j
	} else {
		q.first = j
	}
	q.last = j
	q.n++
}

func (q *waitQueue) pop() *job {
	j := q.first
	q.remove(j)
	return j
}

func (q *waitQueue) remove(j *job) {
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		q.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		q.last = j.prev
	}
	j.prev, j.next = nil, nil
	q.n--
}

// workHeap is a binary heap of the running jobs by their ends, then by their arrivals.
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

// up puts e at index i or at an ancestor.
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

// down moves entries up from below index i and returns the index that is free for e.
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
