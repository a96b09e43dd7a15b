package stream

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
)

// recordingUpstream is an upstream side that records what each attempt took along.
type recordingUpstream struct {
	mu      sync.Mutex
	carried []string
	answer  func(n int) (balance.Status, Response)
}

func (c *recordingUpstream) Do(_ context.Context, _ balance.EndpointID, _ time.Time, req *Request) (balance.Status, Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carried = append(c.carried, req.Baggage)
	return c.answer(len(c.carried))
}

// newBudgetedProxy returns a proxy that tracks budgets in front of a service.
func newBudgetedProxy(t *testing.T, s budget.Settings, log *bytes.Buffer, answer func(n int) (balance.Status, Response)) (*Proxy, *recordingUpstream) {
	p := newProxy(t, 8, nil)
	c := &recordingUpstream{answer: answer}
	p.Upstream = c
	if s.Service != "" {
		p.Budget = NewBudget(s, 1, []time.Duration{time.Minute, time.Minute}, zerolog.New(log))
	}
	return p, c
}

var fails = func(int) (balance.Status, Response) { return balance.Error, Response{Outcome: Failed} }

// Guards against a caller's grant being passed on where nobody reads it, or trusted at the edge; and against attempts
// beyond what was granted.
func TestBudgetPropagates(t *testing.T) {
	forged := (&budget.Grant{PoolID: 1, ExtraAttempts: budget.MaxExtraAttempts, ValueShare: 1}).Join("user=7")
	for _, c := range []struct {
		name     string
		settings budget.Settings
		attempts int
		carried  string // by the first attempt
	}{
		{"off", budget.Settings{}, 4, ""},
		{"edge", budget.Settings{Service: "front", Edge: true, Instances: 1, MaxExtraAttempts: 1}, 2, "user=7,pinelb=1."},
		{"behind, granted", budget.Settings{Service: "back", Leaf: true, Instances: 1, MaxExtraAttempts: 1}, 4, "user=7,pinelb=1."},
	} {
		p, up := newBudgetedProxy(t, c.settings, nil, fails)
		req := request(0, time.Minute)
		req.Txn, req.Baggage = "a", forged
		res := p.Serve(context.Background(), req)
		if len(up.carried) != c.attempts || !strings.HasPrefix(up.carried[0], c.carried) || c.carried == "" && up.carried[0] != "" {
			t.Errorf("%s: %d attempts that carry %q", c.name, len(up.carried), up.carried)
		}
		if res.Report.Known != (c.carried != "") {
			t.Errorf("%s: the answer says %+v", c.name, res.Report)
		}
	}
}

// Guards against a fault being retried at every tier, and against unused attempts being lost.
func TestRetriedBelowIsNotRetried(t *testing.T) {
	set := budget.Settings{Service: "front", Edge: true, Instances: 1, MaxExtraAttempts: 4}
	p, up := newBudgetedProxy(t, set, nil, func(int) (balance.Status, Response) {
		return balance.Error, Response{Outcome: Failed, Report: budget.AttemptReport{Known: true, ExtraAttempts: 1}}
	})
	res := p.Serve(context.Background(), request(0, time.Minute))
	if len(up.carried) != 1 || res.Outcome == Served || res.Report != (budget.AttemptReport{Known: true, ExtraAttempts: 1}) {
		t.Errorf("%d attempts, %+v", len(up.carried), res)
	}
	p, up = newBudgetedProxy(t, set, nil, func(n int) (balance.Status, Response) {
		if n == 1 {
			return fails(n)
		}
		return balance.OK, Response{Outcome: Served, Report: budget.AttemptReport{Known: true}}
	})
	res = p.Serve(context.Background(), request(0, time.Minute))
	if res.Outcome != Served || len(up.carried) != 2 || res.Report.ExtraAttempts != 4 { // the first took three along and said nothing
		t.Errorf("%d attempts, %+v", len(up.carried), res)
	}
}

// Guards against a request going round, and a log line for each.
func TestLoopDetected(t *testing.T) {
	var log bytes.Buffer
	p, up := newBudgetedProxy(t, budget.Settings{Service: "b", Instances: 1, MaxExtraAttempts: 2}, &log, fails)
	for range 3 {
		req := request(0, time.Minute)
		req.Baggage = (&budget.Grant{PoolID: 1, ExtraAttempts: 2, ValueShare: 1, Path: []string{"a", "b", "c"}}).Join("")
		if res := p.Serve(context.Background(), req); res.Outcome != LoopDetected || res.Loop != "a > b > c > b" || !res.Report.Known {
			t.Errorf("%+v", res)
		}
	}
	if len(up.carried) != 0 || strings.Count(log.String(), "a > b > c > b") != 1 {
		t.Errorf("%d attempts, logged:\n%s", len(up.carried), log.String())
	}
}
