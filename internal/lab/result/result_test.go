package result

import (
	"bytes"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

const ms = time.Millisecond

// sixRequests is a run of 10 s at two tiers, whose figures were counted by hand: of class fast (target latency 100 ms,
// value 3) one request is served at its second attempt, one late, one rejected; of slow (1 s, value 1) one is served, one
// fails and one is canceled.
func sixRequests() (*plan.Plan, *trace.Log) {
	s := scenario.Default()
	s.Name, s.Length = "morning", scenario.Span(10*time.Second)
	s.Classes = []scenario.Class{{Name: "fast", TargetLatency: scenario.Span(100 * ms), Value: 3}, {Name: "slow", TargetLatency: scenario.Span(time.Second), Value: 1}}
	s.Tiers = []scenario.Tier{{Name: "front", Calls: 1}, {Name: "back"}}
	p := &plan.Plan{Scenario: &s, Seed: 7,
		Endpoints:   []plan.Endpoint{{Name: "front-1", Kind: "f", Spec: model.Spec{Cores: 2}}, {Name: "front-2", Kind: "f"}, {Name: "back-1", Tier: 1, Kind: "b"}},
		Sidecars:    []plan.Sidecar{{Name: "n1", Endpoint: -1}, {Name: "n-front-1", Tier: 1, Endpoint: 0}, {Name: "n-front-2", Tier: 1, Endpoint: 1}},
		Annotations: []plan.Annotation{{Name: "hang front-2", From: 2 * time.Second, To: 4 * time.Second}}}
	for i, due := range []time.Duration{500, 1500, 2500, 3500, 4500, 5500} {
		p.Requests = append(p.Requests, plan.Request{Due: due * ms, Class: i / 3, Work: time.Duration(i+1) * ms})
	}
	attempt := func(transaction uint64, request, number int, status trace.Status, endpoint int, answered time.Duration) trace.ClientAttempt {
		return trace.ClientAttempt{TransactionID: transaction, Request: request, Number: number, Class: request / 3, Due: p.Requests[request].Due, Status: status, Endpoint: endpoint, Ended: answered * ms}
	}
	log := &trace.Log{End: 11 * time.Second, ClientAttempts: []trace.ClientAttempt{
		attempt(2, 0, 1, trace.StatusServed, 0, 580), attempt(1, 0, 0, trace.StatusRejected, -1, 510), // out of order, as sockets may have them
		attempt(3, 1, 0, trace.StatusServed, 1, 1750),
		attempt(4, 2, 0, trace.StatusFailed, 0, 2600), attempt(5, 2, 1, trace.StatusRejected, -1, 2700),
		attempt(6, 3, 0, trace.StatusServed, 0, 3900),
		attempt(7, 4, 0, trace.StatusDisconnected, -1, 4600),
		attempt(8, 5, 0, trace.StatusCanceled, -1, 5600),
	}}
	call := attempt(20, 0, 0, trace.StatusServed, 2, 570)
	call.Tier, call.Sidecar = 1, 1
	other := attempt(21, 1, 0, trace.StatusServed, 2, 1600)
	other.Tier, other.Sidecar = 1, 1 // of the hedge at front-1 that did not serve its client
	log.ClientAttempts = append(log.ClientAttempts, call, other)
	endpointRequest := func(transaction uint64, endpoint int, started, ended time.Duration, outcome trace.Outcome, work time.Duration) trace.EndpointRequest {
		return trace.EndpointRequest{TransactionID: transaction, Endpoint: endpoint, FirstByte: started * ms, Ended: ended * ms, Outcome: outcome, Work: work * ms}
	}
	pending := endpointRequest(7, 1, 4510, 0, trace.OutcomePending, 5)
	pending.Ended = trace.Unset
	log.EndpointRequests = []trace.EndpointRequest{
		endpointRequest(2, 0, 520, 575, trace.OutcomeOK, 10), endpointRequest(20, 2, 530, 565, trace.OutcomeOK, 4),
		endpointRequest(3, 1, 1510, 1740, trace.OutcomeOK, 20), endpointRequest(3, 0, 1600, 1700, trace.OutcomeCanceled, 8), endpointRequest(21, 2, 1610, 1650, trace.OutcomeOK, 4),
		endpointRequest(4, 0, 2510, 2590, trace.OutcomeError, 7),
		endpointRequest(6, 0, 3510, 3600, trace.OutcomeError, 6), endpointRequest(6, 0, 3610, 3890, trace.OutcomeOK, 30), // one after another: no hedge
		pending, endpointRequest(7, 0, 4520, 4590, trace.OutcomeLost, 2), // a hedge of one that is still pending
		endpointRequest(99, 0, 6000, 6010, trace.OutcomeOK, 4), // of no attempt
	}
	return p, log
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-5 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func TestFiguresCountedByHand(t *testing.T) {
	p, log := sixRequests()
	r := New(p, log, []Violation{{Kind: "twice", Count: 2, Timelines: [][]string{{"a", "b"}}}, {Kind: "kept"}}, Meta{Player: "virtual"})
	if want := (AttemptPeak{Endpoint: "front-1", From: 1.6, Attempts: 2, Additional: 1, Hedges: 1}); r.Peak == nil || *r.Peak != want {
		t.Errorf("the worst second is %+v, want %+v", r.Peak, want)
	}
	a := r.All
	sixth := round(1.0 / 6)
	if a.Requested != 6 || a.Served.Count != 2 || a.Late != (Proportion{1, sixth}) || a.Rejected.Count != 1 || a.Failed.Count != 1 || a.Canceled.Count != 1 {
		t.Errorf("outcomes: %+v", a)
	}
	near(t, "service", a.Goodput, 4.0/12)
	near(t, "service's sample", a.EffectiveSampleSize, 144.0/30)
	near(t, "tries", a.ClientAttempts, 8.0/6)
	near(t, "refusals", a.Rejections, 2.0/6)
	near(t, "attempts at front", a.EndpointRequests[0], 8.0/6)
	near(t, "attempts at back", a.EndpointRequests[1], 2.0/6)
	near(t, "copies", a.Hedges, 2.0/6)
	near(t, "work", a.Work, 0.100)
	near(t, "wasted", a.WastedShare, 1-0.064/0.100) // 10 and 4, 20, 30 served somebody
	if a.Latency == nil || math.Abs(a.Latency.Max-400) > 0.5 || math.Abs(a.Latency.P50-250) > 0.5 {
		t.Errorf("latency: %+v", a.Latency)
	}
	if f := r.Classes[0]; f.Requested != 3 || f.Served.Count != 1 || f.Late.Count != 1 || f.Rejected.Count != 1 || f.TargetLatency != 100 {
		t.Errorf("fast: %+v", f)
	}
	if r.UnattributedRequests != 1 || r.Sidecars != 3 || len(r.Violations) != 1 || r.Passed() {
		t.Errorf("strays %d, sidecars %d, broken %v, held %v", r.UnattributedRequests, r.Sidecars, r.Violations, r.Passed())
	}
	if s := r.Seconds[1]; len(r.Seconds) != 10 || s.Late != 1 || s.EndpointRequests[0] != 2 || s.Hedges != 1 || math.Abs(s.P99-250) > 0.5 {
		t.Errorf("second 1: %+v", s)
	}
	// Goodput by hand: before 3 of 6; during (requests 2 and 3) 1 of 4; after none of 2.
	m := r.FaultImpacts[0]
	for i, want := range []float64{0.5, 0.25, 0} {
		if got := []*float64{m.Before, m.During, m.After}[i]; got == nil || math.Abs(*got-want) > 1e-9 {
			t.Errorf("mark: %v of %+v, want %v", i, m, want)
		}
	}
}

func TestValueByWork(t *testing.T) {
	p, log := sixRequests()
	p.Scenario.Rules.ValueByWork = true
	near(t, "service", New(p, log, nil, Meta{}).All.Goodput, (3*1+4.0)/(3*(1+2+3)+4+5+6))
}

func TestMeasures(t *testing.T) {
	p, log := sixRequests()
	third, half, one := 1.0/3, 0.5, 1.0
	var s scenario.Span
	for _, c := range []struct {
		what, class string
		from, to    scenario.Span
		want        float64
	}{
		{"service", "", s, s, third}, {"served", "fast", s, s, third}, {"late", "fast", s, s, third}, {"refused", "fast", s, s, third},
		{"failed", "slow", s, s, third}, {"gone", "slow", s, s, third}, {"attempts", "", s, s, 4 * third}, {"copies", "", s, s, third},
		{"wasted", "slow", s, s, 13.0 / 43}, {"refusals", "", s, s, third}, {"p50", "slow", s, s, 0.4}, {"p90", "fast", s, s, 0.25},
		{"p99", "", s, s, 0.4}, {"p999", "", s, s, 0.4}, {"fallen", "", s, s, 0}, {"worst", "", s, s, 0},
		{"served", "", scenario.Span(2 * time.Second), scenario.Span(4 * time.Second), half},
		{"served", "", scenario.Span(time.Second), scenario.Span(2 * time.Second), 0},
		{"gone", "", scenario.Span(5 * time.Second), s, one},
	} {
		lower, upper := c.want-1e-3, c.want+1e-3
		p.Scenario.Expectations = []scenario.Expectation{{Measure: c.what, Class: c.class, Min: &lower, Max: &upper, From: c.from, To: c.to}}
		if e := New(p, log, nil, Meta{}).Expectations[0]; !e.Met {
			t.Errorf("%s; wanted %v", e, c.want)
		}
	}
	zero := 0.0
	p.Scenario.Expectations = []scenario.Expectation{{Measure: "p99", Min: &zero, From: scenario.Span(8 * time.Second)}}
	if e := New(p, log, nil, Meta{}).Expectations[0]; e.Met || e.Measured != nil {
		t.Errorf("nothing to measure, but %v", e)
	}
}

func TestSettleTimeIsExcluded(t *testing.T) {
	p, log := sixRequests()
	p.Scenario.WarmUp = scenario.Span(time.Second)
	r := New(p, log, nil, Meta{})
	if r.All.Requested != 5 || r.Seconds[0].Requested != 0 || r.Seconds[1].Requested != 1 {
		t.Errorf("asked %d, by second %+v", r.All.Requested, r.Seconds)
	}
}

// An endpoint of one core starts at 2 s, warming up at half its capacity, and is sent 0.3 s of work in its first 200 ms,
// then nothing; the window is 1 s, of which it could do 0.5 s.
func TestEndpoints(t *testing.T) {
	p, log := sixRequests()
	for i := 0; i <= 40; i++ {
		at := time.Duration(i) * 100 * ms
		s := trace.Sample{At: at, Endpoint: 1, Running: 2, Queued: i / 10, Capacity: 1, PossibleWork: at, SentWork: at / 2}
		if i >= 10 {
			s.PossibleWork, s.SentWork, s.Capacity = time.Second, 500*ms, 0
		}
		if i >= 20 {
			s.PossibleWork, s.SentWork = time.Second+(at-2*time.Second)/2, 800*ms
			s.Capacity, s.WarmingUp = 0.5, true
		}
		if i == 20 {
			s.SentWork = 600 * ms
		}
		s.Collapsed = i == 30
		log.Samples = append(log.Samples, s)
	}
	r := New(p, log, nil, Meta{})
	b := r.Endpoints[1]
	near(t, "worst", b.MaxColdLoad, 0.6)
	near(t, "sent in the first second", b.SentWork[0], 0.5)
	near(t, "could in the third", b.PossibleWork[2], 0.5)
	near(t, "waiting in the fourth", b.Queued[3], 3)
	if !b.Collapsed || r.CollapsedEndpoints != 1 || b.WarmingUp[1] || !b.WarmingUp[2] || r.MaxColdLoad != b.MaxColdLoad {
		t.Errorf("box: %+v", b)
	}
	most := 0.0
	p.Scenario.Expectations = []scenario.Expectation{{Measure: "fallen", Max: &most}, {Measure: "fallen", Max: &most, From: scenario.Span(3500 * ms)}, {Measure: "worst", Max: &b.MaxColdLoad}}
	if e := New(p, log, nil, Meta{}).Expectations; e[0].Met || !e[1].Met || !e[2].Met {
		t.Errorf("expectations: %v", e)
	}
}

func TestHarnessThatRanLate(t *testing.T) {
	lateness := make([]time.Duration, 1000)
	for i := range lateness {
		lateness[i] = 19 * ms
	}
	if g := harnessOf(lateness); g.Void || g.Measured != 1000 {
		t.Errorf("%+v", g)
	}
	for i := range 9 {
		lateness[i] = 60 * ms
	}
	if g := harnessOf(lateness); g.Void || g.VeryLateShare != 0.009 {
		t.Errorf("%+v", g)
	}
	for i := range 11 {
		lateness[i] = 60 * ms
	}
	if g := harnessOf(lateness); !g.Void || !strings.Contains(g.Reason, "1.1%") {
		t.Errorf("%+v", g)
	}
	for i := range 11 {
		lateness[i] = 25 * ms
	}
	if g := harnessOf(lateness); !g.Void {
		t.Errorf("%+v", g)
	}
}

func TestEmptyTrace(t *testing.T) {
	p, log := sixRequests()
	for name, l := range map[string]*trace.Log{"empty": {}, "no try": {End: log.End}} {
		r := New(p, l, nil, Meta{Player: "sockets"})
		var out strings.Builder
		if err := WriteSummary(&out, r, SummaryOptions{}); err != nil || strings.Contains(out.String(), "NaN") {
			t.Errorf("%s: %v\n%s", name, err, &out)
		}
		if want := map[string]int{"empty": 0, "no try": 6}[name]; r.All.Requested != want || r.All.Failed.Count != want {
			t.Errorf("%s: %+v", name, r.All)
		}
	}
	for i := range log.ClientAttempts {
		log.ClientAttempts[i].Status = trace.StatusCanceled
	}
	r := New(p, log, nil, Meta{})
	if r.All.Canceled.Share != 1 || r.All.Goodput != 0 || r.All.WastedShare != 1 || r.All.Latency != nil {
		t.Errorf("all gone: %+v", r.All)
	}
}

func TestWriteAndRead(t *testing.T) {
	p, log := sixRequests()
	dir := filepath.Join(t.TempDir(), "new")
	r := New(p, log, []Violation{{"twice", 1, [][]string{{"a"}}}}, Meta{Builds: []string{"x"}, Player: "virtual"})
	again, _ := New(p, log, []Violation{{"twice", 1, [][]string{{"a"}}}}, Meta{Builds: []string{"x"}, Player: "virtual"}).Bytes()
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, File))
	if err != nil || !bytes.Equal(text, again) {
		t.Errorf("equal inputs, other bytes (%v)", err)
	}
	back, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(r, back); d != "" {
		t.Error(d)
	}
	if table := Diff(r, back); !table.Equal() || len(table.Notes) != 0 {
		t.Errorf("equal results differ: %+v", table)
	}
	if err := os.WriteFile(filepath.Join(dir, File), []byte(`{"schema":99}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var schema *SchemaError
	if _, err := Read(dir); !errors.As(err, &schema) || schema.Schema != 99 || !strings.Contains(err.Error(), "99") {
		t.Errorf("a later schema: %v", err)
	}
}

func TestDiffReportsSignificance(t *testing.T) {
	p, log := sixRequests()
	a, b := New(p, log, nil, Meta{}), New(p, log, []Violation{{Kind: "twice", Count: 3}}, Meta{})
	b.Seed, a.All.Requested, b.All.Requested = 8, 1000, 1000
	a.All.Late.Share, b.All.Late.Share = 0.10, 0.11 // z 0.73
	a.All.Failed.Share, b.All.Failed.Share = 0.10, 0.15
	var out strings.Builder
	if err := Diff(a, b).Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"seeds differ", "+1.00 pt", "within noise", "+5.00 pt", "beyond noise", "broken: twice"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, &out)
		}
	}
	if strings.Contains(out.String(), "Nothing differs") {
		t.Error("it says that nothing differs")
	}
}

func TestSummary(t *testing.T) {
	p, log := sixRequests()
	most := 0.1
	p.Scenario.Expectations = []scenario.Expectation{{Measure: "late", Max: &most}}
	log.Usage = []trace.Usage{{CPU: time.Second, PeakMemory: 9 << 20, MaxDescriptors: 40}}
	log.Lateness = []time.Duration{ms, 2 * ms}
	var out strings.Builder
	if err := WriteSummary(&out, New(p, log, nil, Meta{Player: "sockets"}), SummaryOptions{ReportPath: "out/report.html"}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"service before", "hang front-2", "0.500", "served in aim", "all kept", "did not hold", "late: 0.1667, at most 0.1",
		"at most 9 MB and 40 descriptors", "on time", "out/report.html"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, &out)
		}
	}
	if n := strings.Count(out.String(), "\n"); n > 25 || strings.Contains(out.String(), "\x1b") {
		t.Errorf("%d lines:\n%s", n, &out)
	}
}
