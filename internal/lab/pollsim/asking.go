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

// Instance is one that asks. pace.Pacer is one.
type Instance interface {
	At() time.Duration
	Ask(now time.Duration)
	Ended(now time.Duration, e pacing.Result)
	Wait() time.Duration   // of a watch
	Within() time.Duration // for a list; a watch may take half of it beyond its wait
}

// Policy makes an instance that starts now; number is its own, from 0.
type Policy func(f pacing.Fleet, number int, r *rand.Rand, now time.Duration) Instance

// Case is what to play.
type Case struct {
	Instances int
	Told      int           // instances, as each is told; 0 is right
	Spread    time.Duration // over which they start
	Rate      float64       // calls a second, as each is told
	Burst     int
	Calls     int // that the service does at a time
	Call      time.Duration
	Line      int
	Beyond    model.OverflowPolicy
	Down      time.Duration // at the start
	Up, Off   time.Duration // thereafter it is up for so long, and off; 0: up for good
	Late      time.Duration // of each answer, beyond the service's work
	News      time.Duration // all watches are answered so often; 0 is never
	Cut       int           // the first so many instances are cut off from the service,
	CutAt     time.Duration // from then on
	CutFor    time.Duration // and for so long
	Length    time.Duration
	Seed      uint64
}

// Figures is what came of it.
type Figures struct {
	Calls, Turned int
	Refused       int           // connections, while the service was down
	Peak          int           // calls in the worst 100 ms
	Line          int           // that waited at once, at most
	P50, P99, Max time.Duration // from an instance's start until it had a list
	Back          time.Duration // from the service's first being there until the last had one
	Never         int           // that had no list, or were cut off and not answered since
	Rest          float64       // calls a second in the last quarter
	Healed        time.Duration // from the end of the cut until the last that was cut off has been answered
}

const (
	step    = 100 * time.Millisecond
	dialOut = 2 * time.Second // after which a connect that nobody answers is given up, as by cluster
)

type instance struct {
	Instance
	begun, listed time.Duration
	answered      time.Duration // for the last time
}

type event struct {
	at  time.Duration
	seq int
	who int
	end *pacing.Result // nil: it asks
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
type sim struct {
	Case
	service model.ListService
	rand    *rand.Rand
	all     []instance
	queue   queue
	seq     int
	steps   []int
	out     Figures
}

// Play plays a case by a policy. The same case gives the same figures.
func Play(c Case, p Policy) Figures {
	s := &sim{Case: c, service: model.ListService{Concurrency: c.Calls, ServiceTime: c.Call, MaxQueue: c.Line, OnOverflow: c.Beyond}, rand: rand.New(rand.NewPCG(c.Seed, 1))}
	f := pacing.Fleet{Instances: cmp.Or(c.Told, c.Instances), Rate: c.Rate, Burst: c.Burst, MinWatchWait: time.Second}
	s.all = make([]instance, c.Instances)
	for i := range s.all {
		begun := time.Duration(s.rand.Float64() * float64(c.Spread))
		s.all[i] = instance{Instance: p(f, i, rand.New(rand.NewPCG(c.Seed, uint64(i)+2)), begun), begun: begun, listed: -1}
		s.push(event{at: s.all[i].At(), who: i})
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at >= c.Length {
			break
		}
		if e.end == nil {
			s.ask(e.at, e.who)
			continue
		}
		s.ended(e)
		s.push(event{at: max(e.at, s.all[e.who].At()), who: e.who})
	}
	return s.figures()
}

// ended passes the end of a call on to its instance.
func (s *sim) ended(e event) {
	c := &s.all[e.who]
	before := c.answered
	if e.end.Outcome == pacing.Answered || e.end.Outcome == pacing.NoChange {
		c.answered = e.at
	}
	if healed := s.CutAt + s.CutFor; e.who < s.Cut && before < healed && c.answered >= healed {
		s.out.Healed = max(s.out.Healed, c.answered-healed)
	}
	c.Ended(e.at, *e.end)
}

// cut tells whether an instance is cut off from the service.
func (s *sim) cut(who int, at time.Duration) bool {
	return who < s.Cut && at >= s.CutAt && at < s.CutAt+s.CutFor
}

func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// up tells whether the service is there.
func (s *sim) up(at time.Duration) bool {
	return at >= s.Down && (s.Off == 0 || (at-s.Down)%(s.Up+s.Off) < s.Up)
}

// ask is one call, to its end.
func (s *sim) ask(now time.Duration, who int) {
	c := &s.all[who]
	c.Ask(now)
	end := func(at time.Duration, e pacing.Result) { s.push(event{at: at, who: who, end: &e}) }
	if !s.up(now) {
		s.out.Refused++
		end(now, pacing.Result{Outcome: pacing.Unreachable})
		return
	}
	if s.cut(who, now) {
		s.out.Refused++
		end(min(now+dialOut, max(now, s.CutAt+s.CutFor)), pacing.Result{Outcome: pacing.Unreachable})
		return
	}
	s.out.Calls++
	for len(s.steps) <= int(now/step) {
		s.steps = append(s.steps, 0)
	}
	s.steps[now/step]++
	wait := time.Duration(0)
	if c.listed >= 0 {
		wait = c.Wait()
	}
	answered, room := s.service.Call(now, 1)
	s.out.Line = max(s.out.Line, s.service.Queued(now))
	if !room {
		s.out.Turned++
		if s.Beyond == model.OverflowDrop {
			end(now+wait+c.Within(), pacing.Result{Outcome: pacing.TimedOut, Latency: c.Within()})
			return
		}
		end(now, pacing.Result{Outcome: pacing.Overloaded})
		return
	}
	took, within := answered-now+s.Late, c.Within()
	if wait > 0 {
		within /= 2
	}
	switch {
	case !s.up(answered) || s.cut(who, answered):
		end(answered, pacing.Result{Outcome: pacing.Unreachable})
	case took > within:
		end(now+wait+within, pacing.Result{Outcome: pacing.TimedOut, Latency: within})
	case who < s.Cut && now >= s.CutAt+s.CutFor && c.answered < s.CutAt+s.CutFor: // it has missed news, and has them at once
		end(now+took, pacing.Result{Outcome: pacing.Answered})
	case s.cut(who, now+max(wait, took)): // it was cut off while it waited
		end(now+wait+within, pacing.Result{Outcome: pacing.TimedOut, Latency: within})
	case c.listed < 0:
		c.listed = now + took
		end(c.listed, pacing.Result{Outcome: pacing.Answered, Latency: took})
	case s.News > 0 && (now/s.News+1)*s.News < now+wait: // the next news come while it waits
		end((now/s.News+1)*s.News, pacing.Result{Outcome: pacing.Answered})
	default:
		end(now+max(wait, took), pacing.Result{Outcome: pacing.NoChange, Latency: took})
	}
}

func (s *sim) figures() Figures {
	out := s.out
	var took []time.Duration
	last := time.Duration(0)
	for who, c := range s.all {
		if c.listed < 0 || who < s.Cut && c.answered < s.CutAt+s.CutFor {
			out.Never++
		}
		if c.listed < 0 {
			continue
		}
		took = append(took, c.listed-c.begun)
		last = max(last, c.listed)
	}
	slices.Sort(took)
	if len(took) > 0 {
		out.P50, out.P99, out.Max = took[(len(took)-1)/2], took[(len(took)-1)*99/100], took[len(took)-1]
		out.Back = last - s.Down
	}
	rest := 0
	for i, n := range s.steps {
		out.Peak = max(out.Peak, n)
		if time.Duration(i)*step >= 3*s.Length/4 {
			rest += n
		}
	}
	out.Rest = float64(rest) / (s.Length / 4).Seconds()
	return out
}

// Heading names what String prints.
const Heading = "calls  turned  no door  peak  line    half     99%    last  since up  never  at rest/s  healed"

func (f Figures) String() string {
	sec := func(d time.Duration) string { return fmt.Sprintf("%6.2f", d.Seconds()) }
	return fmt.Sprintf("%5d  %6d  %7d  %4d  %4d  %s  %s  %s    %s  %5d  %9.0f  %s", f.Calls, f.Turned, f.Refused, f.Peak, f.Line,
		sec(f.P50), sec(f.P99), sec(f.Max), sec(f.Back), f.Never, f.Rest, sec(f.Healed))
}

// Worse takes the worse of each figure.
func (f Figures) Worse(o Figures) Figures {
	return Figures{max(f.Calls, o.Calls), max(f.Turned, o.Turned), max(f.Refused, o.Refused), max(f.Peak, o.Peak), max(f.Line, o.Line),
		max(f.P50, o.P50), max(f.P99, o.P99), max(f.Max, o.Max), max(f.Back, o.Back), max(f.Never, o.Never), max(f.Rest, o.Rest),
		max(f.Healed, o.Healed)}
}
