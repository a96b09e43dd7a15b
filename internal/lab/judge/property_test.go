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

// correctRun draws a run in which every sidecar keeps the rules: one step after another, each allowed by what the sidecar knows. Its
// first request is an unsafe one, served by endpoint 0, so that there is always one of these.
type correctRun struct {
	*rapid.T
	p             *plan.Plan
	log           *trace.Log
	unavailableAt [2][3]time.Duration // when a sidecar is notified that an endpoint drains; endpoint 0 never does
	killedAt      [2]time.Duration    // when it is killed
}

const never = time.Hour

func (c *correctRun) span(most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(time.Microsecond), int64(most)).Draw(c.T, "span"))
}

func (c *correctRun) odds(percent int) bool { return rapid.IntRange(0, 99).Draw(c.T, "odds") < percent }

func (c *correctRun) run() {
	c.p.Scenario.Rules.Hedging = c.odds(50)
	for s := range 2 {
		c.log.SidecarEvents = append(c.log.SidecarEvents, trace.SidecarEvent{At: -time.Minute, Sidecar: s, Kind: trace.SidecarStarted})
		c.killedAt[s] = never
		for endpoint := range 3 {
			c.unavailableAt[s][endpoint] = never
			if endpoint > 0 && c.odds(30) {
				at := c.span(4 * time.Second)
				c.unavailableAt[s][endpoint] = at
				phase := trace.Phase(rapid.IntRange(1, 2).Draw(c.T, "phase"))
				c.log.Notifications = append(c.log.Notifications, trace.Notification{At: at, Sidecar: s, Endpoint: endpoint, Phase: phase})
			}
		}
	}
	if c.odds(50) {
		c.killedAt[1] = time.Second + c.span(3*time.Second)
		c.log.SidecarEvents = append(c.log.SidecarEvents, trace.SidecarEvent{At: c.killedAt[1], Sidecar: 1, Kind: trace.SidecarKilled})
	}
	c.request(2, 100*time.Millisecond, true)
	for range rapid.IntRange(0, 12).Draw(c.T, "requests") {
		c.request(rapid.IntRange(0, 2).Draw(c.T, "class"), c.span(4*time.Second), false)
	}
}

// request is a client's: it retries only if it may.
func (c *correctRun) request(class int, due time.Duration, plainly bool) {
	n := len(c.p.Requests)
	c.p.Requests = append(c.p.Requests, plan.Request{Due: due, Class: class, Timeout: 2 * time.Second, Work: time.Millisecond})
	for no, at := 0, due; no < 3; no++ {
		t := trace.ClientAttempt{TransactionID: c.p.TransactionID(n, no), Request: n, Number: no, Class: class, Due: due, Sent: at, Timeout: 500 * time.Millisecond, Endpoint: -1}
		if t.Sidecar = rapid.IntRange(0, 1).Draw(c.T, "sidecar"); plainly || at >= c.killedAt[t.Sidecar] {
			t.Sidecar = 0
		}
		c.attempt(&t, plainly)
		c.log.ClientAttempts = append(c.log.ClientAttempts, t)
		if t.Status != trace.StatusRejected && (class == 2 || t.Status == trace.StatusServed || t.Status == trace.StatusCanceled) ||
			class == 1 && t.Ended > due+300*time.Millisecond {
			return
		}
		at = t.Ended + 10*time.Millisecond
	}
}

// attempt is what a sidecar does with one: up to three upstream requests, and a final response in time.
func (c *correctRun) attempt(t *trace.ClientAttempt, plainly bool) {
	now, may, first := t.Sent, false, time.Duration(0)
	over := t.Sent + t.Timeout + 50*time.Millisecond // the last moment for a response, and then some
	t.Responses = 1
	defer func() {
		if dies := c.killedAt[t.Sidecar]; t.Ended > dies { // with all its requests in flight
			t.Status, t.Ended, t.Responses = trace.StatusDisconnected, dies, 0
			c.log.EndpointRequests = slices.DeleteFunc(c.log.EndpointRequests, func(v trace.EndpointRequest) bool { return v.TransactionID == t.TransactionID && v.FirstByte > dies })
		}
	}()
	for attempts := 0; attempts < 3 && now < over-300*time.Millisecond; attempts++ {
		if may && (t.Class == 2 || t.Class == 1 && now > first+300*time.Millisecond) {
			break
		}
		endpoint := rapid.IntRange(0, 2).Draw(c.T, "box")
		now += c.span(5 * time.Millisecond)
		if plainly || now > c.unavailableAt[t.Sidecar][endpoint]+300*time.Millisecond {
			endpoint = 0
		}
		v := trace.EndpointRequest{TransactionID: t.TransactionID, Endpoint: endpoint, FirstByte: now, LastByte: now, Started: trace.Unset, Ended: now, Outcome: trace.OutcomeRejected}
		if plainly || c.odds(70) {
			v.Started, v.Ended = now+c.span(time.Millisecond), now+time.Millisecond+c.span(200*time.Millisecond)
			v.Outcome = rapid.SampledFrom([]trace.Outcome{trace.OutcomeOK, trace.OutcomeError, trace.OutcomeCanceled}).Draw(c.T, "end")
			if plainly {
				v.Outcome = trace.OutcomeOK
			}
			if !may {
				may, first = true, now
			}
		}
		c.log.EndpointRequests = append(c.log.EndpointRequests, v)
		if now = v.Ended; v.Outcome == trace.OutcomeOK {
			t.Status, t.Ended, t.Endpoint = trace.StatusServed, now, endpoint
			return
		}
	}
	t.Ended, t.Status = now+time.Millisecond, trace.StatusFailed
	if t.Class != 2 || !may {
		t.Status = trace.StatusRejected
	}
	if c.odds(10) {
		t.Status, t.Responses = trace.StatusCanceled, 0
	}
}

// drawCorrectRun is a correct run and, of it, one unsafe attempt that was served, with its endpoint request last.
func drawCorrectRun(t *rapid.T, p *plan.Plan) (*correctRun, *trace.ClientAttempt, *trace.EndpointRequest) {
	c := &correctRun{T: t, p: p, log: &trace.Log{}}
	p.Requests = nil
	c.run()
	var at []int
	for i, attempt := range c.log.ClientAttempts {
		if attempt.Class == 2 && attempt.Status == trace.StatusServed {
			at = append(at, i)
		}
	}
	attempt := &c.log.ClientAttempts[rapid.SampledFrom(at).Draw(t, "try")]
	i := slices.IndexFunc(c.log.EndpointRequests, func(v trace.EndpointRequest) bool {
		return v.TransactionID == attempt.TransactionID && v.Outcome == trace.OutcomeOK
	})
	v := c.log.EndpointRequests[i]
	c.log.EndpointRequests = append(slices.Delete(c.log.EndpointRequests, i, i+1), v)
	return c, attempt, &c.log.EndpointRequests[len(c.log.EndpointRequests)-1]
}

// TestMutationsAreDetected checks that what keeps the rules is never blamed, and that each way to break them is detected, whatever goes
// on beside it.
func TestMutationsAreDetected(t *testing.T) {
	base := newPlan(t)
	mutations := map[Kind]func(*correctRun, *trace.ClientAttempt, *trace.EndpointRequest){
		"":                func(*correctRun, *trace.ClientAttempt, *trace.EndpointRequest) {},
		DuplicateResponse: func(_ *correctRun, t *trace.ClientAttempt, _ *trace.EndpointRequest) { t.Responses++ },
		ForgedResponse:    func(_ *correctRun, t *trace.ClientAttempt, _ *trace.EndpointRequest) { t.Forged = true },
		LostRequest: func(c *correctRun, t *trace.ClientAttempt, _ *trace.EndpointRequest) {
			t.Sidecar, t.Status, t.Responses, t.Ended = 0, trace.StatusTimedOut, 0, t.Sent+t.Timeout
		},
		UnsafeRejected: func(_ *correctRun, t *trace.ClientAttempt, _ *trace.EndpointRequest) {
			t.Status, t.Code = trace.StatusRejected, 503
		},
		DuplicateExecution: func(c *correctRun, _ *trace.ClientAttempt, v *trace.EndpointRequest) {
			again := *v
			again.FirstByte += c.span(time.Second)
			again.LastByte, again.Started = again.FirstByte, trace.Unset
			c.log.EndpointRequests = append(c.log.EndpointRequests, again)
		},
		TooManyAttempts: func(c *correctRun, _ *trace.ClientAttempt, v *trace.EndpointRequest) {
			c.log.EndpointRequests = append(c.log.EndpointRequests, *v, *v, *v)
		},
		ForbiddenHedge: func(c *correctRun, _ *trace.ClientAttempt, v *trace.EndpointRequest) {
			c.p.Scenario.Rules.Hedging = false
			v.Ended = v.FirstByte + 200*time.Millisecond
			again := *v
			again.FirstByte, again.LastByte = v.FirstByte+time.Millisecond, v.FirstByte+time.Millisecond
			c.log.EndpointRequests = append(c.log.EndpointRequests, again)
		},
		AttemptAfterEnd: func(c *correctRun, t *trace.ClientAttempt, v *trace.EndpointRequest) {
			again := *v
			again.FirstByte = t.Ended + 59*time.Millisecond + c.span(time.Second)
			c.log.EndpointRequests = append(c.log.EndpointRequests, again)
		},
		AttemptAfterDrain: func(c *correctRun, t *trace.ClientAttempt, v *trace.EndpointRequest) {
			at := v.FirstByte - 351*time.Millisecond - c.span(time.Second)
			c.log.Notifications = append(c.log.Notifications, trace.Notification{At: at, Sidecar: t.Sidecar, Endpoint: v.Endpoint, Phase: trace.PhaseTerminating})
		},
		UnknownRequest: func(_ *correctRun, _ *trace.ClientAttempt, v *trace.EndpointRequest) { v.TransactionID ^= 1 },
		SidecarCrash: func(c *correctRun, t *trace.ClientAttempt, _ *trace.EndpointRequest) {
			c.log.SidecarEvents = append(c.log.SidecarEvents, trace.SidecarEvent{At: 5 * time.Second, Sidecar: t.Sidecar, Kind: trace.SidecarCrashed})
		},
	}
	for kind, mutate := range mutations {
		t.Run(string(kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c, attempt, request := drawCorrectRun(t, base)
				mutate(c, attempt, request)
				v := Judge(c.p, c.log)
				if kind == "" && !v.Passed() {
					t.Fatalf("blamed: %s: %+v", countsText(v), v.Violations)
				}
				if kind != "" && v.Counts[kind] == 0 {
					t.Fatalf("not found, but %q", countsText(v))
				}
			})
		})
	}
}

// BenchmarkJudge judges a million client attempts, each with two endpoint requests.
func BenchmarkJudge(b *testing.B) {
	p, log := newPlan(b), &trace.Log{}
	for i := range 1_000_000 {
		at := time.Duration(i) * 10 * time.Microsecond
		p.Requests = append(p.Requests, plan.Request{Due: at, Class: i % 3})
		attempt := trace.ClientAttempt{TransactionID: p.TransactionID(i, 0), Request: i, Class: i % 3, Sent: at, Timeout: 500 * time.Millisecond, Ended: at + 10*time.Millisecond, Responses: 1}
		log.ClientAttempts = append(log.ClientAttempts, attempt)
		away := trace.EndpointRequest{TransactionID: attempt.TransactionID, Endpoint: 1, FirstByte: at + 1, LastByte: at + 1, Started: trace.Unset, Ended: at + 2, Outcome: trace.OutcomeRejected}
		log.EndpointRequests = append(log.EndpointRequests, away, trace.EndpointRequest{TransactionID: attempt.TransactionID, FirstByte: at + 5, LastByte: at + 5, Started: at + 5, Ended: at + 9, Outcome: trace.OutcomeOK})
	}
	for b.Loop() {
		if v := Judge(p, log); !v.Passed() {
			b.Fatal(countsText(v))
		}
	}
	b.ReportMetric(float64(len(log.ClientAttempts))*float64(b.N)/b.Elapsed().Seconds(), "tries/s")
}
