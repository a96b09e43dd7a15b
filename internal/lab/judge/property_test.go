package judge

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// CI has to come to the same verdict every time; -rapid.seed=0 looks further.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// correct draws a run in which every sidecar keeps the rules: one step after another, each allowed by what the
// sidecar knows. Its first request is an unsafe one, served by box 0, so that there is always one of these.
type correct struct {
	*rapid.T
	p   *plan.Plan
	log *trace.Log
	off [2][3]time.Duration // when a sidecar is told that a box drains; box 0 never does
	end [2]time.Duration    // when it is killed
}

const never = time.Hour

func (c *correct) span(most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(time.Microsecond), int64(most)).Draw(c.T, "span"))
}

func (c *correct) odds(percent int) bool { return rapid.IntRange(0, 99).Draw(c.T, "odds") < percent }

func (c *correct) run() {
	c.p.Scenario.Rules.SecondCopies = c.odds(50)
	for s := range 2 {
		c.log.Changes = append(c.log.Changes, trace.Change{At: -time.Minute, Sidecar: s, What: trace.Begun})
		c.end[s] = never
		for box := range 3 {
			c.off[s][box] = never
			if box > 0 && c.odds(30) {
				at := c.span(4 * time.Second)
				c.off[s][box] = at
				phase := trace.Phase(rapid.IntRange(1, 2).Draw(c.T, "phase"))
				c.log.Told = append(c.log.Told, trace.Told{At: at, Sidecar: s, Box: box, Phase: phase})
			}
		}
	}
	if c.odds(50) {
		c.end[1] = time.Second + c.span(3*time.Second)
		c.log.Changes = append(c.log.Changes, trace.Change{At: c.end[1], Sidecar: 1, What: trace.Killed})
	}
	c.request(2, 100*time.Millisecond, true)
	for range rapid.IntRange(0, 12).Draw(c.T, "requests") {
		c.request(rapid.IntRange(0, 2).Draw(c.T, "class"), c.span(4*time.Second), false)
	}
}

// request is a client's: it tries again only as it may.
func (c *correct) request(class int, due time.Duration, plainly bool) {
	n := len(c.p.Requests)
	c.p.Requests = append(c.p.Requests, plan.Request{Due: due, Class: class, Patience: 2 * time.Second, Work: time.Millisecond})
	for no, at := 0, due; no < 3; no++ {
		t := trace.Try{Txn: c.p.Txn(n, no), Request: n, No: no, Class: class, Due: due, Sent: at, Left: 500 * time.Millisecond, Box: -1}
		if t.Sidecar = rapid.IntRange(0, 1).Draw(c.T, "sidecar"); plainly || at >= c.end[t.Sidecar] {
			t.Sidecar = 0
		}
		c.try(&t, plainly)
		c.log.Tries = append(c.log.Tries, t)
		if t.Status != trace.Refused && (class == 2 || t.Status == trace.Served || t.Status == trace.Gone) ||
			class == 1 && t.Answered > due+300*time.Millisecond {
			return
		}
		at = t.Answered + 10*time.Millisecond
	}
}

// try is what a sidecar does with one: up to three attempts, and a final answer in time.
func (c *correct) try(t *trace.Try, plainly bool) {
	now, may, first := t.Sent, false, time.Duration(0)
	over := t.Sent + t.Left + 50*time.Millisecond // the last moment for an answer, and then some
	t.Answers = 1
	defer func() {
		if dies := c.end[t.Sidecar]; t.Answered > dies { // with all it holds
			t.Status, t.Answered, t.Answers = trace.Broken, dies, 0
			c.log.Visits = slices.DeleteFunc(c.log.Visits, func(v trace.Visit) bool { return v.Txn == t.Txn && v.Begun > dies })
		}
	}()
	for attempts := 0; attempts < 3 && now < over-300*time.Millisecond; attempts++ {
		if may && (t.Class == 2 || t.Class == 1 && now > first+300*time.Millisecond) {
			break
		}
		box := rapid.IntRange(0, 2).Draw(c.T, "box")
		now += c.span(5 * time.Millisecond)
		if plainly || now > c.off[t.Sidecar][box]+300*time.Millisecond {
			box = 0
		}
		v := trace.Visit{Txn: t.Txn, Box: box, Begun: now, Arrived: now, Started: trace.None, Ended: now, End: trace.TurnedAway}
		if plainly || c.odds(70) {
			v.Started, v.Ended = now+c.span(time.Millisecond), now+time.Millisecond+c.span(200*time.Millisecond)
			v.End = rapid.SampledFrom([]trace.End{trace.OK, trace.Errored, trace.Withdrawn}).Draw(c.T, "end")
			if plainly {
				v.End = trace.OK
			}
			if !may {
				may, first = true, now
			}
		}
		c.log.Visits = append(c.log.Visits, v)
		if now = v.Ended; v.End == trace.OK {
			t.Status, t.Answered, t.Box = trace.Served, now, box
			return
		}
	}
	t.Answered, t.Status = now+time.Millisecond, trace.Failed
	if t.Class != 2 || !may {
		t.Status = trace.Refused
	}
	if c.odds(10) {
		t.Status, t.Answers = trace.Gone, 0
	}
}

// drawn is a correct run and, of it, one unsafe try that was served, with its visit last.
func drawn(t *rapid.T, p *plan.Plan) (*correct, *trace.Try, *trace.Visit) {
	c := &correct{T: t, p: p, log: &trace.Log{}}
	p.Requests = nil
	c.run()
	var at []int
	for i, try := range c.log.Tries {
		if try.Class == 2 && try.Status == trace.Served {
			at = append(at, i)
		}
	}
	try := &c.log.Tries[rapid.SampledFrom(at).Draw(t, "try")]
	i := slices.IndexFunc(c.log.Visits, func(v trace.Visit) bool { return v.Txn == try.Txn && v.End == trace.OK })
	v := c.log.Visits[i]
	c.log.Visits = append(slices.Delete(c.log.Visits, i, i+1), v)
	return c, try, &c.log.Visits[len(c.log.Visits)-1]
}

// What keeps the rules is never blamed, and each way to break them is found, whatever goes on beside it.
func TestFaultsAreFound(t *testing.T) {
	base := newPlan(t)
	mutations := map[Kind]func(*correct, *trace.Try, *trace.Visit){
		"":            func(*correct, *trace.Try, *trace.Visit) {},
		AnsweredTwice: func(_ *correct, t *trace.Try, _ *trace.Visit) { t.Answers++ },
		Forged:        func(_ *correct, t *trace.Try, _ *trace.Visit) { t.Forged = true },
		Lost: func(c *correct, t *trace.Try, _ *trace.Visit) {
			t.Sidecar, t.Status, t.Answers, t.Answered = 0, trace.Silent, 0, t.Sent+t.Left
		},
		UnsafeRefused: func(_ *correct, t *trace.Try, _ *trace.Visit) { t.Status, t.Code = trace.Refused, 503 },
		RanTwice: func(c *correct, _ *trace.Try, v *trace.Visit) {
			again := *v
			again.Begun += c.span(time.Second)
			again.Arrived, again.Started = again.Begun, trace.None
			c.log.Visits = append(c.log.Visits, again)
		},
		TooManyAttempts: func(c *correct, _ *trace.Try, v *trace.Visit) { c.log.Visits = append(c.log.Visits, *v, *v, *v) },
		SecondCopy: func(c *correct, _ *trace.Try, v *trace.Visit) {
			c.p.Scenario.Rules.SecondCopies = false
			v.Ended = v.Begun + 200*time.Millisecond
			again := *v
			again.Begun, again.Arrived = v.Begun+time.Millisecond, v.Begun+time.Millisecond
			c.log.Visits = append(c.log.Visits, again)
		},
		AfterEnd: func(c *correct, t *trace.Try, v *trace.Visit) {
			again := *v
			again.Begun = t.Answered + 59*time.Millisecond + c.span(time.Second)
			c.log.Visits = append(c.log.Visits, again)
		},
		AfterDrain: func(c *correct, t *trace.Try, v *trace.Visit) {
			at := v.Begun - 351*time.Millisecond - c.span(time.Second)
			c.log.Told = append(c.log.Told, trace.Told{At: at, Sidecar: t.Sidecar, Box: v.Box, Phase: trace.Terminating})
		},
		Unknown: func(_ *correct, _ *trace.Try, v *trace.Visit) { v.Txn ^= 1 },
		Crashed: func(c *correct, t *trace.Try, _ *trace.Visit) {
			c.log.Changes = append(c.log.Changes, trace.Change{At: 5 * time.Second, Sidecar: t.Sidecar, What: trace.Crashed})
		},
	}
	for kind, mutate := range mutations {
		t.Run(string(kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c, try, visit := drawn(t, base)
				mutate(c, try, visit)
				v := Judge(c.p, c.log)
				if kind == "" && !v.Held() {
					t.Fatalf("blamed: %s: %+v", found(v), v.Breaches)
				}
				if kind != "" && v.Counts[kind] == 0 {
					t.Fatalf("not found, but %q", found(v))
				}
			})
		})
	}
}

// A million tries, each with a visit or two.
func BenchmarkJudge(b *testing.B) {
	p, log := newPlan(b), &trace.Log{}
	for i := range 1_000_000 {
		at := time.Duration(i) * 10 * time.Microsecond
		p.Requests = append(p.Requests, plan.Request{Due: at, Class: i % 3})
		try := trace.Try{Txn: p.Txn(i, 0), Request: i, Class: i % 3, Sent: at, Left: 500 * time.Millisecond, Answered: at + 10*time.Millisecond, Answers: 1}
		log.Tries = append(log.Tries, try)
		away := trace.Visit{Txn: try.Txn, Box: 1, Begun: at + 1, Arrived: at + 1, Started: trace.None, Ended: at + 2, End: trace.TurnedAway}
		log.Visits = append(log.Visits, away, trace.Visit{Txn: try.Txn, Begun: at + 5, Arrived: at + 5, Started: at + 5, Ended: at + 9, End: trace.OK})
	}
	for b.Loop() {
		if v := Judge(p, log); !v.Held() {
			b.Fatal(found(v))
		}
	}
	b.ReportMetric(float64(len(log.Tries))*float64(b.N)/b.Elapsed().Seconds(), "tries/s")
}
