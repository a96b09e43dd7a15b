// Package asking plays in virtual time how a fleet of any size asks one list service: each instance by a policy, the service
// a queue of bounded capacity that may be down, slow or up and down. It is what pinelab asking prints, and what the choice of
// internal/pacing rests on: the same rule as in the daemon, at sizes that no machine holds as processes.
package pollsim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/pacing"
)

// Poller is one that asks. pace.Pacer is one.
type Poller interface {
	At() time.Duration
	Ask(now time.Duration)
	Ended(now time.Duration, e pacing.End)
	Wait() time.Duration   // of a watch
	Within() time.Duration // for a list; a watch may take half of it beyond its wait
}

// Policy makes an instance that starts now; number is its own, from 0.
type Policy func(f pacing.Fleet, number int, r *rand.Rand, now time.Duration) Poller

// Case is what to play.
type Case struct {
	Instances int
	ConfiguredInstances      int           // instances, as each is told; 0 is right
	StartSpread    time.Duration // over which they start
	Rate      float64       // calls a second, as each is told
	Burst     int
	ConcurrentCalls     int // that the service does at a time
	CallTime      time.Duration
	QueueLength      int
	Overload    model.Beyond
	InitialOutage      time.Duration // at the start
	UpTime, DownTime   time.Duration // thereafter it is up for so long, and off; 0: up for good
	ExtraLatency      time.Duration // of each answer, beyond the service's work
	UpdateInterval      time.Duration // all watches are answered so often; 0 is never
	Partitioned       int           // the first so many instances are cut off from the service,
	PartitionAt     time.Duration // from then on
	PartitionTime    time.Duration // and for so long
	Length    time.Duration
	Seed      uint64
}

// Figures is what came of it.
type Figures struct {
	Calls, Rejected int
	Refused       int           // connections, while the service was down
	PeakCalls          int           // calls in the worst 100 ms
	MaxQueue          int           // that waited at once, at most
	P50, P99, Max time.Duration // from an instance's start until it had a list
	SinceBack          time.Duration // from the service's first being there until the last had one
	Unanswered         int           // that had no list, or were cut off and not answered since
	RestRate          float64       // calls a second in the last quarter
	HealTime        time.Duration // from the end of the cut until the last that was cut off has been answered
}

const (
	bucket    = 100 * time.Millisecond
	dialTimeout = 2 * time.Second // after which a connect that nobody answers is given up, as by cluster
)

type instance struct {
	Poller
	startedAt, listedAt time.Duration
	answeredAt      time.Duration // for the last time
}

type event struct {
	at  time.Duration
	seq int
	instance int
	result *pacing.End // nil: it asks
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// sim is a play.
type simulation struct {
	Case
	service model.Listing
	rand    *rand.Rand
	instances     []instance
	queue   queue
	seq     int
	buckets   []int
	figures     Figures
}

// Play plays a case by a policy. The same case gives the same figures.
func Play(c Case, p Policy) Figures {
	s := &simulation{Case: c, service: model.Listing{Calls: c.ConcurrentCalls, Call: c.CallTime, Line: c.QueueLength, Beyond: c.Overload}, rand: rand.New(rand.NewPCG(c.Seed, 1))}
	f := pacing.Fleet{Instances: cmp.Or(c.ConfiguredInstances, c.Instances), Rate: c.Rate, Burst: c.Burst, Watch: time.Second}
	s.instances = make([]instance, c.Instances)
	for i := range s.instances {
		begun := time.Duration(s.rand.Float64() * float64(c.StartSpread))
		s.instances[i] = instance{Poller: p(f, i, rand.New(rand.NewPCG(c.Seed, uint64(i)+2)), begun), startedAt: begun, listedAt: -1}
		s.push(event{at: s.instances[i].At(), instance: i})
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
		s.push(event{at: max(e.at, s.instances[e.instance].At()), instance: e.instance})
	}
	return s.summarize()
}

// ended passes the end of a call on to its instance.
func (s *simulation) finish(e event) {
	c := &s.instances[e.instance]
	before := c.answeredAt
	if e.result.How == pacing.Told || e.result.How == pacing.Quiet {
		c.answeredAt = e.at
	}
	if healed := s.PartitionAt + s.PartitionTime; e.instance < s.Partitioned && before < healed && c.answeredAt >= healed {
		s.figures.HealTime = max(s.figures.HealTime, c.answeredAt-healed)
	}
	c.Ended(e.at, *e.result)
}

// cut tells whether an instance is cut off from the service.
func (s *simulation) isPartitioned(who int, at time.Duration) bool {
	return who < s.Partitioned && at >= s.PartitionAt && at < s.PartitionAt+s.PartitionTime
}

func (s *simulation) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// up tells whether the service is there.
func (s *simulation) isUp(at time.Duration) bool {
	return at >= s.InitialOutage && (s.DownTime == 0 || (at-s.InitialOutage)%(s.UpTime+s.DownTime) < s.UpTime)
}

// ask is one call, to its end.
func (s *simulation) poll(now time.Duration, who int) {
	c := &s.instances[who]
	c.Ask(now)
	end := func(at time.Duration, e pacing.End) { s.push(event{at: at, instance: who, result: &e}) }
	if !s.isUp(now) {
		s.figures.Refused++
		end(now, pacing.End{How: pacing.Down})
		return
	}
	if s.isPartitioned(who, now) {
		s.figures.Refused++
		end(min(now+dialTimeout, max(now, s.PartitionAt+s.PartitionTime)), pacing.End{How: pacing.Down})
		return
	}
	s.figures.Calls++
	for len(s.buckets) <= int(now/bucket) {
		s.buckets = append(s.buckets, 0)
	}
	s.buckets[now/bucket]++
	wait := time.Duration(0)
	if c.listedAt >= 0 {
		wait = c.Wait()
	}
	answered, room := s.service.Ask(now, 1)
	s.figures.MaxQueue = max(s.figures.MaxQueue, s.service.Waiting(now))
	if !room {
		s.figures.Rejected++
		if s.Overload == model.Silences {
			end(now+wait+c.Within(), pacing.End{How: pacing.Silent, Took: c.Within()})
			return
		}
		end(now, pacing.End{How: pacing.Turned})
		return
	}
	took, within := answered-now+s.ExtraLatency, c.Within()
	if wait > 0 {
		within /= 2
	}
	switch {
	case !s.isUp(answered) || s.isPartitioned(who, answered):
		end(answered, pacing.End{How: pacing.Down})
	case took > within:
		end(now+wait+within, pacing.End{How: pacing.Silent, Took: within})
	case who < s.Partitioned && now >= s.PartitionAt+s.PartitionTime && c.answeredAt < s.PartitionAt+s.PartitionTime: // it has missed news, and has them at once
		end(now+took, pacing.End{How: pacing.Told})
	case s.isPartitioned(who, now+max(wait, took)): // it was cut off while it waited
		end(now+wait+within, pacing.End{How: pacing.Silent, Took: within})
	case c.listedAt < 0:
		c.listedAt = now + took
		end(c.listedAt, pacing.End{How: pacing.Told, Took: took})
	case s.UpdateInterval > 0 && (now/s.UpdateInterval+1)*s.UpdateInterval < now+wait: // the next news come while it waits
		end((now/s.UpdateInterval+1)*s.UpdateInterval, pacing.End{How: pacing.Told})
	default:
		end(now+max(wait, took), pacing.End{How: pacing.Quiet, Took: took})
	}
}

func (s *simulation) summarize() Figures {
	out := s.figures
	var took []time.Duration
	last := time.Duration(0)
	for who, c := range s.instances {
		if c.listedAt < 0 || who < s.Partitioned && c.answeredAt < s.PartitionAt+s.PartitionTime {
			out.Unanswered++
		}
		if c.listedAt < 0 {
			continue
		}
		took = append(took, c.listedAt-c.startedAt)
		last = max(last, c.listedAt)
	}
	slices.Sort(took)
	if len(took) > 0 {
		out.P50, out.P99, out.Max = took[(len(took)-1)/2], took[(len(took)-1)*99/100], took[len(took)-1]
		out.SinceBack = last - s.InitialOutage
	}
	rest := 0
	for i, n := range s.buckets {
		out.PeakCalls = max(out.PeakCalls, n)
		if time.Duration(i)*bucket >= 3*s.Length/4 {
			rest += n
		}
	}
	out.RestRate = float64(rest) / (s.Length / 4).Seconds()
	return out
}

// Heading names what String prints.
const Heading = "calls  turned  no door  peak  line    half     99%    last  since up  never  at rest/s  healed"

func (f Figures) String() string {
	sec := func(d time.Duration) string { return fmt.Sprintf("%6.2f", d.Seconds()) }
	return fmt.Sprintf("%5d  %6d  %7d  %4d  %4d  %s  %s  %s    %s  %5d  %9.0f  %s", f.Calls, f.Rejected, f.Refused, f.PeakCalls, f.MaxQueue,
		sec(f.P50), sec(f.P99), sec(f.Max), sec(f.SinceBack), f.Unanswered, f.RestRate, sec(f.HealTime))
}

// Worse takes the worse of each figure.
func (f Figures) Worse(o Figures) Figures {
	return Figures{max(f.Calls, o.Calls), max(f.Rejected, o.Rejected), max(f.Refused, o.Refused), max(f.PeakCalls, o.PeakCalls), max(f.MaxQueue, o.MaxQueue),
		max(f.P50, o.P50), max(f.P99, o.P99), max(f.Max, o.Max), max(f.SinceBack, o.SinceBack), max(f.Unanswered, o.Unanswered), max(f.RestRate, o.RestRate),
		max(f.HealTime, o.HealTime)}
}
