// Package pollsim simulates in virtual time how a fleet of any size polls one list service: each instance by a policy, the service as a
// queue of bounded capacity that may be down, slow, unstable or partitioned from some instances. It is the command asking of
// pinelb-testlab, which alone calls it, and the evidence for the choice of package pacing: the daemon's own rule, at sizes for which no
// machine has the memory as processes.
//
// It is pure: the same case, with its seed, gives the same figures.
package pollsim

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/pacing"
)

// Poller decides when an instance polls. *pacing.Pacer is one. Calls may draw random numbers: their order counts.
type Poller interface {
	Next() time.Duration                     // of the next poll
	Sent(now time.Duration)                  // a poll starts
	Done(now time.Duration, e pacing.Result) // a poll ends
	WatchWait() time.Duration                // that a watch asks for
	Timeout() time.Duration                  // time-out of a call for the list; a watch may take half of it beyond its wait
}

// Policy makes the poller of an instance that starts now; number counts instances from 0.
type Policy func(f pacing.Fleet, number int, r *rand.Rand, now time.Duration) Poller

// Case configures a simulation.
type Case struct {
	Instances           int
	ConfiguredInstances int           // number of instances in their settings; 0: the true one
	StartSpread         time.Duration // over which the instances start
	Rate                float64       // calls a second, in their settings
	Burst               int
	ConcurrentCalls     int                  // that the service handles
	CallTime            time.Duration        // that it takes for each
	QueueLength         int                  // of waiting calls
	Overload            model.OverflowPolicy // what becomes of calls beyond the queue
	InitialOutage       time.Duration        // of the service, from the start on
	UpTime, DownTime    time.Duration        // of the service thereafter, in turn; DownTime 0: it stays up
	ExtraLatency        time.Duration        // of each answer, beyond the time in the service
	UpdateInterval      time.Duration        // of changes of the list, which end all watches; 0: none
	Partitioned         int                  // number of instances, from 0 on, that cannot reach the service
	PartitionAt         time.Duration        // when that begins
	PartitionTime       time.Duration        // how long it lasts
	Length              time.Duration        // of the simulation
	Seed                uint64
}

// Times of the simulation.
const (
	bucket      = 100 * time.Millisecond // of the count of calls
	dialTimeout = 2 * time.Second        // of a connect that nobody answers, as in package cluster
)

// instance is a simulated instance.
type instance struct {
	Poller
	startedAt  time.Duration
	listedAt   time.Duration // of its first list; -1: none yet
	answeredAt time.Duration // of the last answer
}

// simulation is a running simulation.
type simulation struct {
	Case
	service   model.ListService
	rand      *rand.Rand
	instances []instance
	queue     queue
	seq       int
	buckets   []int
	figures   Figures
}

// Play simulates a case with a policy. The same case gives the same figures.
func Play(c Case, p Policy) Figures {
	s := &simulation{Case: c, rand: rand.New(rand.NewPCG(c.Seed, 1)),
		service: model.ListService{Concurrency: c.ConcurrentCalls, ServiceTime: c.CallTime, MaxQueue: c.QueueLength, OnOverflow: c.Overload}}
	f := pacing.Fleet{Instances: cmp.Or(c.ConfiguredInstances, c.Instances), Rate: c.Rate, Burst: c.Burst, MinWatchWait: time.Second}
	s.instances = make([]instance, c.Instances)
	for i := range s.instances {
		startedAt := time.Duration(s.rand.Float64() * float64(c.StartSpread))
		s.instances[i] = instance{Poller: p(f, i, rand.New(rand.NewPCG(c.Seed, uint64(i)+2)), startedAt), startedAt: startedAt, listedAt: -1}
		s.push(event{at: s.instances[i].Next(), instance: i})
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at >= c.Length {
			break
		}
		if e.result == nil {
			s.poll(e.at, e.instance)
			continue
		}
		s.finish(e)
		s.push(event{at: max(e.at, s.instances[e.instance].Next()), instance: e.instance})
	}
	return s.summarize()
}

// finish passes the end of a call on to its instance.
func (s *simulation) finish(e event) {
	c := &s.instances[e.instance]
	before := c.answeredAt
	if e.result.Outcome == pacing.Answered || e.result.Outcome == pacing.NoChange {
		c.answeredAt = e.at
	}
	if healed := s.healedAt(); e.instance < s.Partitioned && before < healed && c.answeredAt >= healed {
		s.figures.HealTime = max(s.figures.HealTime, c.answeredAt-healed)
	}
	c.Done(e.at, *e.result)
}

// isPartitioned reports whether an instance cannot reach the service.
func (s *simulation) isPartitioned(index int, at time.Duration) bool {
	return index < s.Partitioned && at >= s.PartitionAt && at < s.healedAt()
}

// healedAt returns the end of the partition.
func (s *simulation) healedAt() time.Duration { return s.PartitionAt + s.PartitionTime }

// push schedules an event; those of the same moment are in the order of push.
func (s *simulation) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// isUp reports whether the service is up.
func (s *simulation) isUp(at time.Duration) bool {
	return at >= s.InitialOutage && (s.DownTime == 0 || (at-s.InitialOutage)%(s.UpTime+s.DownTime) < s.UpTime)
}

// poll starts a call of an instance, and schedules its end.
func (s *simulation) poll(now time.Duration, index int) {
	s.instances[index].Sent(now)
	at, result := s.call(now, index)
	s.push(event{at: at, instance: index, result: &result})
}

// call returns when a call that starts now ends, and how.
func (s *simulation) call(now time.Duration, index int) (end time.Duration, result pacing.Result) {
	if !s.isUp(now) {
		s.figures.Refused++
		return now, pacing.Result{Outcome: pacing.Unreachable}
	}
	if s.isPartitioned(index, now) {
		s.figures.Refused++
		return min(now+dialTimeout, max(now, s.healedAt())), pacing.Result{Outcome: pacing.Unreachable}
	}
	s.figures.Calls++
	s.countCall(now)
	c := &s.instances[index]
	wait := time.Duration(0)
	if c.listedAt >= 0 {
		wait = c.WatchWait()
	}
	answeredAt, accepted := s.service.Call(now, 1)
	s.figures.MaxQueue = max(s.figures.MaxQueue, s.service.Queued(now))
	if !accepted {
		s.figures.Rejected++
		if s.Overload == model.OverflowDrop {
			return now + wait + c.Timeout(), pacing.Result{Outcome: pacing.TimedOut, Latency: c.Timeout()}
		}
		return now, pacing.Result{Outcome: pacing.Overloaded}
	}
	return s.response(now, index, wait, answeredAt)
}

// response returns when an accepted call ends, and how: wait is that of its watch, answeredAt when the service has done its work.
func (s *simulation) response(now time.Duration, index int, wait, answeredAt time.Duration) (end time.Duration, result pacing.Result) {
	c := &s.instances[index]
	took, timeout := answeredAt-now+s.ExtraLatency, c.Timeout()
	if wait > 0 {
		timeout /= 2
	}
	switch {
	case !s.isUp(answeredAt) || s.isPartitioned(index, answeredAt):
		return answeredAt, pacing.Result{Outcome: pacing.Unreachable}
	case took > timeout:
		return now + wait + timeout, pacing.Result{Outcome: pacing.TimedOut, Latency: timeout}
	case index < s.Partitioned && now >= s.healedAt() && c.answeredAt < s.healedAt(): // it has missed updates, and gets them at once
		return now + took, pacing.Result{Outcome: pacing.Answered}
	case s.isPartitioned(index, now+max(wait, took)): // the partition began during its wait
		return now + wait + timeout, pacing.Result{Outcome: pacing.TimedOut, Latency: timeout}
	case c.listedAt < 0:
		c.listedAt = now + took
		return c.listedAt, pacing.Result{Outcome: pacing.Answered, Latency: took}
	case s.UpdateInterval > 0 && (now/s.UpdateInterval+1)*s.UpdateInterval < now+wait: // the next update comes during its wait
		return (now/s.UpdateInterval + 1) * s.UpdateInterval, pacing.Result{Outcome: pacing.Answered}
	default:
		return now + max(wait, took), pacing.Result{Outcome: pacing.NoChange, Latency: took}
	}
}

// countCall counts a call in its bucket.
func (s *simulation) countCall(now time.Duration) {
	for len(s.buckets) <= int(now/bucket) {
		s.buckets = append(s.buckets, 0)
	}
	s.buckets[now/bucket]++
}
