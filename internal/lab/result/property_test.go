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

// A fixed seed gives CI the same verdict every time; -rapid.seed=0 tests other inputs.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// In every window each request has one outcome, and the figures of the seconds sum up to the total.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenario.Default()
		s.Length, s.WarmUp = scenario.Span(5*time.Second), scenario.Span(rapid.IntRange(0, 3000).Draw(t, "settle"))*scenario.Span(ms)
		s.Classes = []scenario.Class{{Name: "a", TargetLatency: scenario.Span(50 * ms), Value: 1}, {Name: "b", TargetLatency: scenario.Span(90 * ms), Value: 2}}
		s.Tiers = []scenario.Tier{{Name: "t"}}
		p := &plan.Plan{Scenario: &s, Endpoints: make([]plan.Endpoint, 2)}
		log := &trace.Log{End: 6 * time.Second}
		transaction, due := uint64(0), 0
		for i := range rapid.IntRange(0, 60).Draw(t, "requests") {
			due += rapid.IntRange(0, 200).Draw(t, "gap")
			p.Requests = append(p.Requests, plan.Request{Due: time.Duration(due) * ms, Class: i % 2})
			for number := range rapid.IntRange(0, 3).Draw(t, "tries") {
				transaction++
				at := time.Duration(due+rapid.IntRange(0, 300).Draw(t, "after")) * ms
				status := trace.Status(rapid.IntRange(0, int(trace.StatusConnectFailed)).Draw(t, "status"))
				log.ClientAttempts = append(log.ClientAttempts, trace.ClientAttempt{TransactionID: transaction, Request: i, Number: number, Ended: at, Status: status, Endpoint: -1, Forged: rapid.Bool().Draw(t, "forged")})
				for range rapid.IntRange(0, 2).Draw(t, "visits") {
					log.EndpointRequests = append(log.EndpointRequests, trace.EndpointRequest{TransactionID: transaction, FirstByte: at - ms, Ended: at, Outcome: trace.Outcome(rapid.IntRange(0, int(trace.OutcomeLost)).Draw(t, "end")), Work: ms})
				}
			}
		}
		r := New(p, log, nil, Meta{})
		checkSum := func(requested int, parts ...int) {
			for _, n := range parts {
				requested -= n
			}
			if requested != 0 {
				t.Fatalf("%d requests with no outcome or two", requested)
			}
		}
		sum, endpointRequests, rejections := [6]int{}, 0, 0
		for _, c := range r.Seconds {
			checkSum(c.Requested, c.Served, c.Late, c.Rejected, c.Failed, c.Canceled)
			for i, n := range []int{c.Requested, c.Served, c.Late, c.Rejected, c.Failed, c.Canceled} {
				sum[i] += n
			}
			endpointRequests += c.EndpointRequests[0]
			rejections += c.Rejections
		}
		a := r.All
		checkSum(a.Requested, a.Served.Count, a.Late.Count, a.Rejected.Count, a.Failed.Count, a.Canceled.Count)
		if want := [6]int{a.Requested, a.Served.Count, a.Late.Count, a.Rejected.Count, a.Failed.Count, a.Canceled.Count}; sum != want {
			t.Fatalf("seconds sum up to %v, the total is %v", sum, want)
		}
		checkSum(a.Requested, r.Classes[0].Requested, r.Classes[1].Requested)
		near := func(x, y float64) bool { return x-y < 1e-5 && y-x < 1e-5 }
		if n := float64(max(a.Requested, 1)); !near(a.EndpointRequests[0], float64(endpointRequests)/n) || !near(a.Rejections, float64(rejections)/n) || a.WastedShare < 0 || a.WastedShare > 1 {
			t.Fatalf("%d endpoint requests and %d rejections, but %+v", endpointRequests, rejections, a)
		}
		f := newAnalysis(p, log)
		from := time.Duration(rapid.IntRange(0, 6000).Draw(t, "from")) * ms
		requested := f.tally(-1, 0, from).requested + f.tally(-1, from, maxDuration).requested
		checkSum(requested, len(f.requests))
	})
}
