package placement

import (
	"slices"
	"time"
)

// job is a prompt that an endpoint has still to prefill.
type job struct {
	serial    uint64
	priority  int
	remaining float64 // seconds
}

// queue models what an endpoint has still to prefill before a new prompt's first token. It is fed with this router's own sends
// at once and with other routers' as they report them: reports of the endpoint itself would be old on arrival, and the same
// for all readers. A prefill that has started runs to its end; then the most urgent job is next, the oldest among equals. The
// first job is the one that runs.
type queue struct {
	jobs       []job
	lastSerial uint64
	updatedAt  time.Duration
}

// drain lets the endpoint work until now.
func (q *queue) drain(now time.Duration) {
	if now <= q.updatedAt {
		return
	}
	passed := (now - q.updatedAt).Seconds()
	q.updatedAt = now
	for len(q.jobs) > 0 {
		if q.jobs[0].remaining > passed {
			q.jobs[0].remaining -= passed
			return
		}
		passed -= q.jobs[0].remaining
		q.remove(0)
	}
}

// remove ends a job. Where it was the running one, the next is moved to the front.
func (q *queue) remove(i int) {
	q.jobs = slices.Delete(q.jobs, i, i+1)
	if i > 0 || len(q.jobs) < 2 {
		return
	}
	next := 0
	for k := range q.jobs {
		if q.jobs[k].priority < q.jobs[next].priority {
			next = k
		}
	}
	chosen := q.jobs[next]
	copy(q.jobs[1:next+1], q.jobs[:next])
	q.jobs[0] = chosen
}

// waitFor returns how many seconds of prefill are expected in front of a new prompt of a priority. A less urgent job that waits
// may start before the new prompt arrives, the likelier the less is in front of it; the longest one is taken to.
func (q *queue) waitFor(priority int) float64 {
	ahead, longest := 0.0, 0.0
	for i := range q.jobs {
		if i == 0 || q.jobs[i].priority <= priority {
			ahead += q.jobs[i].remaining
		} else {
			longest = max(longest, q.jobs[i].remaining)
		}
	}
	return ahead + longest*max(0, 1-ahead/certainOvertakeSeconds)
}

// total returns how many seconds all jobs take.
func (q *queue) total() float64 {
	sum := 0.0
	for i := range q.jobs {
		sum += q.jobs[i].remaining
	}
	return sum
}

// push adds a job that takes so many seconds. It returns the job's serial number.
func (q *queue) push(now time.Duration, priority int, seconds float64) uint64 {
	q.drain(now)
	seconds = min(seconds, max(0, maxQueueSeconds-q.total()))
	if len(q.jobs) >= maxQueueJobs {
		q.jobs[len(q.jobs)-1].remaining += seconds
		return q.jobs[len(q.jobs)-1].serial
	}
	q.lastSerial++
	q.jobs = append(q.jobs, job{serial: q.lastSerial, priority: priorityClass(priority), remaining: seconds})
	return q.lastSerial
}

// complete records that the first token of a job came: it and the jobs pushed before it that are as urgent have ended.
func (q *queue) complete(serial uint64, priority int) {
	for i := len(q.jobs) - 1; i >= 0; i-- {
		if q.jobs[i].serial <= serial && q.jobs[i].priority <= priority {
			q.remove(i)
		}
	}
}
