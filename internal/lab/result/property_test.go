package result

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// CI has to come to the same verdict every time; -rapid.seed=0 looks further.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// In every window, each request asked has one outcome, and the seconds sum up to the whole.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenario.Default()
		s.Length, s.Settle = scenario.Span(5*time.Second), scenario.Span(rapid.IntRange(0, 3000).Draw(t, "settle"))*scenario.Span(ms)
		s.Class = []scenario.Class{{Name: "a", Aim: scenario.Span(50 * ms), Worth: 1}, {Name: "b", Aim: scenario.Span(90 * ms), Worth: 2}}
		s.Tier = []scenario.Tier{{Name: "t"}}
		p := &plan.Plan{Scenario: &s, Boxes: make([]plan.Box, 2)}
		log := &trace.Log{End: 6 * time.Second}
		txn, due := uint64(0), 0
		for i := range rapid.IntRange(0, 60).Draw(t, "requests") {
			due += rapid.IntRange(0, 200).Draw(t, "gap")
			p.Requests = append(p.Requests, plan.Request{Due: time.Duration(due) * ms, Class: i % 2})
			for no := range rapid.IntRange(0, 3).Draw(t, "tries") {
				txn++
				at := time.Duration(due+rapid.IntRange(0, 300).Draw(t, "after")) * ms
				status := trace.Status(rapid.IntRange(0, int(trace.StatusConnectFailed)).Draw(t, "status"))
				log.ClientAttempts = append(log.ClientAttempts, trace.ClientAttempt{TransactionID: txn, Request: i, Number: no, Ended: at, Status: status, Endpoint: -1, Forged: rapid.Bool().Draw(t, "forged")})
				for range rapid.IntRange(0, 2).Draw(t, "visits") {
					log.EndpointRequests = append(log.EndpointRequests, trace.EndpointRequest{TransactionID: txn, FirstByte: at - ms, Ended: at, Outcome: trace.Outcome(rapid.IntRange(0, int(trace.OutcomeLost)).Draw(t, "end")), Work: ms})
				}
			}
		}
		r := New(p, log, nil, Meta{})
		whole := func(asked int, parts ...int) {
			for _, n := range parts {
				asked -= n
			}
			if asked != 0 {
				t.Fatalf("%d requests with no outcome or two", asked)
			}
		}
		sum, visits, refusals := [6]int{}, 0, 0
		for _, c := range r.Seconds {
			whole(c.Requested, c.Served, c.Late, c.Rejected, c.Failed, c.Canceled)
			for i, n := range []int{c.Requested, c.Served, c.Late, c.Rejected, c.Failed, c.Canceled} {
				sum[i] += n
			}
			visits, refusals = visits+c.EndpointRequests[0], refusals+c.Rejections
		}
		a := r.All
		whole(a.Requested, a.Served.Count, a.Late.Count, a.Rejected.Count, a.Failed.Count, a.Canceled.Count)
		if want := [6]int{a.Requested, a.Served.Count, a.Late.Count, a.Rejected.Count, a.Failed.Count, a.Canceled.Count}; sum != want {
			t.Fatalf("seconds sum up to %v, the whole is %v", sum, want)
		}
		whole(a.Requested, r.Classes[0].Requested, r.Classes[1].Requested)
		near := func(x, y float64) bool { return x-y < 1e-5 && y-x < 1e-5 }
		if n := float64(max(a.Requested, 1)); !near(a.EndpointRequests[0], float64(visits)/n) || !near(a.Rejections, float64(refusals)/n) || a.WastedShare < 0 || a.WastedShare > 1 {
			t.Fatalf("%d visits and %d refusals, but %+v", visits, refusals, a)
		}
		f := &analysis{plan: p, log: log}
		f.requests, f.unattributed = requestResults(p, log)
		from := time.Duration(rapid.IntRange(0, 6000).Draw(t, "from")) * ms
		cut := f.tally(-1, 0, from).requested + f.tally(-1, from, maxDuration).requested
		whole(cut, len(f.requests))
	})
}
