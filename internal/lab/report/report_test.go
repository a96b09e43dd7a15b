package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/lab/result"
)

// incident is a run of some endpoints and seconds with three faults that overlap.
func incident(endpoints, seconds int) *result.Result {
	measured, bound := 0.9, 0.4
	r := &result.Result{Scenario: "bad <morning>", Player: "sockets", Length: float64(seconds), Tiers: []string{"front"}, Sidecars: 1,
		Builds: []string{"one"}, TargetLatencies: []float64{100, 110, 2000},
		FaultImpacts: []result.FaultImpact{{Description: "hang front-1", From: 2, To: 6, Before: &measured}, {Description: "slow front-2, front-3", From: 4, To: 8},
			{Description: "discovery moves & more", From: 5, To: 5.001}},
		Expectations: []result.Expectation{{Measure: "p99", Max: &bound, Measured: &measured}, {Measure: "served", Min: &bound}},
		Violations:   []result.Violation{{Kind: "twice", Count: 2, Timelines: [][]string{{"1 s: asked", "2 s: <answered> twice"}}}},
		FleetLoad:    &result.FleetLoad{MaxPolls: 40, MaxEndpointConnections: 7, PollCounts: []int{40, 2}, EndpointConnectionCounts: []int{0, 7, 1}},
		Usage:        []result.Usage{{Sidecar: "n1", CPU: 1.5, PeakMemory: 20, MaxDescriptors: 9}}}
	r.All = result.Figures{Requested: 100 * seconds, EndpointRequests: []float64{1.1}, Latency: &result.Latency{P50: 12}}
	for i := range seconds {
		r.Seconds = append(r.Seconds, result.Second{At: i, Requested: 100, Served: 80, Late: 10, Rejected: 5, Failed: 3, Canceled: 2, Goodput: 0.8,
			ClientAttempts: 120, EndpointRequests: []int{110}, P50: 12, P99: 150})
	}
	for i := range endpoints {
		b := result.Endpoint{Name: fmt.Sprintf("front-%d", i+1), Samples: 10 * seconds, SentWork: make([]float64, seconds), PossibleWork: make([]float64, seconds),
			Running: make([]float64, seconds), Queued: make([]float64, seconds), WarmingUp: make([]bool, seconds)}
		for s := range seconds {
			b.PossibleWork[s], b.SentWork[s] = float64(s%4), float64((i+s)%9)/2
		}
		r.Endpoints = append(r.Endpoints, b)
	}
	r.Endpoints[0].Collapsed, r.Endpoints[0].MaxColdLoad, r.Endpoints[0].WarmingUp[0] = true, 2.6, true
	return r
}

func TestPageIsSelfContainedAndNamesFaults(t *testing.T) {
	for _, endpoints := range []int{1, 12, 60, 400} {
		path := filepath.Join(t.TempDir(), File)
		r := incident(endpoints, 20)
		if err := Write(path, r); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		page := string(text)
		for _, no := range []string{"http://", "https://", "src=", "href=", "<script", "url(", "@import", "NaN", "+Inf", "%!", "<morning>", "<answered>", "ZgotmplZ"} {
			if strings.Contains(page, no) {
				t.Errorf("%d endpoints: the page has %q", endpoints, no)
			}
		}
		plots := strings.Count(page, "<svg ")
		for i, label := range []string{"hang front-1", "slow front-2, front-3", "discovery moves &amp; more"} {
			if n := strings.Count(page, fmt.Sprintf(">%d %s</text>", i+1, label)); n != plots || plots != 7 {
				t.Errorf("%d endpoints: %q is in %d of %d plots", endpoints, label, n, plots)
			}
		}
		for _, want := range []string{"Rules were broken (2 times), and 2 of 2", "<details", "twice", "nothing to measure", ">front-1</text>", "fell over"} {
			if !strings.Contains(page, want) {
				t.Errorf("%d endpoints: no %q", endpoints, want)
			}
		}
	}
}

func TestPageOfEmptyResult(t *testing.T) {
	for name, r := range map[string]*result.Result{"no second": {}, "no box": {Seconds: make([]result.Second, 3)}} {
		page, err := Page(r)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"no request was asked", "nothing was answered", "All rules were kept."} {
			if !strings.Contains(string(page), want) {
				t.Errorf("%s: no %q", name, want)
			}
		}
		if strings.Contains(string(page), "NaN") || strings.Contains(string(page), "Load of each box") {
			t.Errorf("%s: it shows data that the result lacks", name)
		}
	}
}

func TestManyFaultsAreLabelledWithNumbers(t *testing.T) {
	f := &frame{seconds: 20}
	var marks []result.FaultImpact
	for i := range 3 * maxNamedLanes {
		marks = append(marks, result.FaultImpact{Description: "crash of a box with a long name", From: float64(i) / 4, To: 19})
	}
	bands, lanes := placeBands(marks, f.x)
	if bands[8].label != "9" || lanes != len(marks) {
		t.Errorf("%+v in %d lanes", bands, lanes)
	}
	for _, m := range []result.FaultImpact{{From: 0, To: 0.1}, {From: 10, To: 11}, {From: 19.9, To: 20}} {
		m.Description = "a label that is wider than its bar"
		bands, _ := placeBands([]result.FaultImpact{m}, f.x)
		if from, to := bands[0].extent(f.x); from < left || to > width-right+3 {
			t.Errorf("%+v goes from %v to %v", m, from, to)
		}
	}
}

func TestScales(t *testing.T) {
	for _, c := range []struct {
		s     scale
		ticks string
	}{
		{linearScale(0, 1), "[0 0.5 1]"}, {linearScale(870, 4), "[0 500 1000]"}, {linearScale(17, 4), "[0 5 10 15 20]"},
		{logScale(12, 900), "[10 100 1000]"}, {logScale(10, 10), "[10 100]"}, {logScale(0, 0), "[1 10 100 1000]"}, {scale{from: 0.6, to: 1}, "[0.6 0.7 0.8 0.9 1]"},
	} {
		if got := fmt.Sprintf("%.4g", c.s.ticks()); got != c.ticks {
			t.Errorf("%+v has ticks %s, want %s", c.s, got, c.ticks)
		}
		c.s.top, c.s.bottom = 10, 110
		if c.s.y(c.s.from) != 110 || c.s.y(c.s.to) != 10 || c.s.y(-1) != 110 {
			t.Errorf("%+v: heights are off", c.s)
		}
	}
}
