package placement

import (
	"slices"
	"time"
)

// What an endpoint still has to read before a new prompt's first token: a model of its queue, fed with this router's own
// sends at once and with other routers' as they tell of them. Reports of the endpoint itself would be old on arrival, and
// the same for all readers. A prompt that is being read is read to its end; of those that wait the most urgent is next.

const (
	priorityLevels         = 10   // of the Priority header
	maxQueueSeconds        = 20.0 // seconds of work: beyond, the model is surely wrong
	certainOvertakeSeconds = 0.3  // seconds that are read first with which a more urgent prompt surely passes one that waits
	maxQueueJobs           = 64   // prompts that are told apart; beyond, they are counted with the last one
)

// job is a prompt that an endpoint has still to read.
type job struct {
	serial    uint64
	priority  int
	remaining float64 // seconds
}

// queue is the model of one endpoint. The first job is being read.
type queue struct {
	jobs      []job
	serial    uint64 // of the last job
	updatedAt time.Duration
}

// drain lets the endpoint read for the time that has passed.
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

// remove ends a job. Where it was being read, the most urgent of the others, the oldest among equals, is next.
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

// before is how many seconds are expected to be read before a new prompt of a rank. A less urgent prompt that waits may
// be begun before the new one is there, the sooner the less is read before it; the longest is expected to be.
func (q *queue) waitFor(rank int) float64 {
	ahead, longest := 0.0, 0.0
	for i := range q.jobs {
		if i == 0 || q.jobs[i].priority <= rank {
			ahead += q.jobs[i].remaining
		} else {
			longest = max(longest, q.jobs[i].remaining)
		}
	}
	return ahead + longest*max(0, 1-ahead/certainOvertakeSeconds)
}

// left is how many seconds all prompts take.
func (q *queue) total() float64 {
	sum := 0.0
	for i := range q.jobs {
		sum += q.jobs[i].remaining
	}
	return sum
}

// push adds a prompt that takes so many seconds to read. It returns the job's number.
func (q *queue) push(now time.Duration, rank int, seconds float64) uint64 {
	q.drain(now)
	rank = min(max(rank, 0), priorityLevels-1)
	seconds = min(seconds, max(0, maxQueueSeconds-q.total()))
	if len(q.jobs) >= maxQueueJobs {
		q.jobs[len(q.jobs)-1].remaining += seconds
		return q.jobs[len(q.jobs)-1].serial
	}
	q.serial++
	q.jobs = append(q.jobs, job{serial: q.serial, priority: rank, remaining: seconds})
	return q.serial
}

// reached notes that the first token of a prompt came: what was as urgent and had been pushed by then has been read.
func (q *queue) complete(serial uint64, rank int) {
	for i := len(q.jobs) - 1; i >= 0; i-- {
		if q.jobs[i].serial <= serial && q.jobs[i].priority <= rank {
			q.remove(i)
		}
	}
}
