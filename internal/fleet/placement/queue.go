package placement

import (
	"slices"
	"time"
)

// job is a prompt that an endpoint has not prefilled yet.
type job struct {
	serial    uint64
	priority  int
	remaining float64 // seconds
}

// queue models the prefills that an endpoint has to finish before it can start that of a new prompt. Calls of this router
// are added at once, those of other routers when they are reported. Reports by the endpoint itself are not used: they would
// be outdated on arrival, and all routers would act on the same report. A prefill that has started is not preempted; after
// it the most urgent job runs, the oldest one among equals. The first job of the list is the one that is running.
type queue struct {
	jobs       []job
	lastSerial uint64
	updatedAt  time.Duration
}

// advance removes the work that the endpoint has done until now.
func (q *queue) advance(now time.Duration) {
	if now <= q.updatedAt {
		return
	}
	elapsed := (now - q.updatedAt).Seconds()
	q.updatedAt = now
	for len(q.jobs) > 0 {
		if q.jobs[0].remaining > elapsed {
			q.jobs[0].remaining -= elapsed
			return
		}
		elapsed -= q.jobs[0].remaining
		q.remove(0)
	}
}

// remove removes job i. If it was the running one, the job that runs next is moved to the front.
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

// waitFor returns the expected seconds until the endpoint can start to prefill a new prompt of a priority. A less urgent job
// in the queue may start before the new prompt arrives at the endpoint; this is the more likely the less work is ahead of
// it. The longest one is assumed to do so.
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

// total returns the remaining seconds of all jobs.
func (q *queue) total() float64 {
	sum := 0.0
	for i := range q.jobs {
		sum += q.jobs[i].remaining
	}
	return sum
}

// push adds a job that takes the given seconds, and returns its serial number. The total is limited to maxQueueSeconds. If
// there are maxQueueJobs already, the time is added to the last job.
func (q *queue) push(now time.Duration, priority int, seconds float64) uint64 {
	q.advance(now)
	seconds = min(seconds, max(0, maxQueueSeconds-q.total()))
	if len(q.jobs) >= maxQueueJobs {
		q.jobs[len(q.jobs)-1].remaining += seconds
		return q.jobs[len(q.jobs)-1].serial
	}
	q.lastSerial++
	q.jobs = append(q.jobs, job{serial: q.lastSerial, priority: priorityClass(priority), remaining: seconds})
	return q.lastSerial
}

// complete records that the first token of a job has arrived: the job, and those that were pushed before it and are at least
// as urgent, are removed.
func (q *queue) complete(serial uint64, priority int) {
	for i := len(q.jobs) - 1; i >= 0; i-- {
		if q.jobs[i].serial <= serial && q.jobs[i].priority <= priority {
			q.remove(i)
		}
	}
}
