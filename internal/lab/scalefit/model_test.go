package scalefit

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/big"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// measurementsOf returns measurements with hosts, changes and a cost each.
func measurementsOf(hosts, changes, cost []float64) (out []Measurement) {
	for i := range cost {
		out = append(out, Measurement{position: fmt.Sprint("line ", i+1), strings: map[string]string{"what": "x", "command": "measure"},
			numbers: map[string]float64{"hosts": hosts[i], "changes": changes[i], "cost": cost[i]}})
	}
	return out
}

// solveExactly solves the normal equations in fractions: slow, simple and without rounding.
func solveExactly(t *rapid.T, columns [][]float64, target []float64) []float64 {
	n := len(columns)
	rat := func(v float64) *big.Rat { return new(big.Rat).SetFloat64(v) }
	m := make([][]*big.Rat, n)
	for i := range n {
		m[i] = make([]*big.Rat, n+1)
		for j := range n + 1 {
			m[i][j] = new(big.Rat)
			for row := range target {
				by := target[row]
				if j < n {
					by = columns[j][row]
				}
				m[i][j].Add(m[i][j], new(big.Rat).Mul(rat(columns[i][row]), rat(by)))
			}
		}
	}
	for i := range n {
		if m[i][i].Sign() == 0 {
			t.Fatal("the columns depend on each other") // a Gram matrix of independent ones has no such pivot
		}
		for k := range n {
			if k == i {
				continue
			}
			factor := new(big.Rat).Quo(m[k][i], m[i][i])
			for j := i; j <= n; j++ {
				m[k][j].Sub(m[k][j], new(big.Rat).Mul(factor, m[i][j]))
			}
		}
	}
	out := make([]float64, n)
	for i := range n {
		out[i], _ = new(big.Rat).Quo(m[i][n], m[i][i]).Float64()
	}
	return out
}

// TestFitIsExact compares a fit with the solution of the normal equations in fractions, and its residuals with their definition.
func TestFitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts, changes, cost, ones []float64
		first := float64(rapid.IntRange(1, 200).Draw(t, "first"))
		for i := range rapid.IntRange(minSizes, 6).Draw(t, "sizes") {
			for j := range rapid.IntRange(minSizes, 4).Draw(t, "rates") {
				hosts, changes, ones = append(hosts, first*math.Pow(2, float64(i))), append(changes, 0.5*math.Pow(2, float64(j))), append(ones, 1)
				cost = append(cost, rapid.Float64Range(0, 1e6).Draw(t, "cost"))
			}
		}
		for j, rate := range []float64{0.5, 1, 2} { // each of these rates is measured
			hosts, changes, ones, cost = append(hosts, first), append(changes, rate), append(ones, 1), append(cost, float64(j))
		}
		f, err := Model{Filter: map[string]string{"what": "x"}, Cost: "cost", Predictors: []string{"hosts", "changes"}}.Fit(measurementsOf(hosts, changes, cost))
		if err != nil {
			t.Fatal(err)
		}
		want := solveExactly(t, [][]float64{ones, hosts, changes}, cost)
		for i, got := range append([]float64{f.Intercept}, f.Slopes...) {
			if off := math.Abs(got - want[i]); off > 1e-6*(1+math.Abs(want[i])) {
				t.Fatalf("figure %d is %v, exactly %v", i, got, want[i])
			}
		}
		squares, largest := 0.0, 0.0
		for i := range cost {
			predicted, _ := f.Predict(map[string]float64{"hosts": hosts[i], "changes": changes[i]})
			squares += (cost[i] - predicted) * (cost[i] - predicted)
			largest = max(largest, math.Abs(cost[i]-predicted))
		}
		if rms := math.Sqrt(squares / float64(len(cost))); math.Abs(rms-f.RMSResidual) > 1e-6*(1+rms) || math.Abs(largest-f.MaxResidual) > 1e-6*(1+largest) {
			t.Fatalf("off by %v, %v at most; the fit says %v, %v", rms, largest, f.RMSResidual, f.MaxResidual)
		}
	})
}

// TestFitRecoversTheLine guards against a slope that differs from the one that the costs were made with, and against wrong
// extrapolations.
func TestFitRecoversTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixed, slope := rapid.Float64Range(0, 1e4).Draw(t, "fixed"), rapid.Float64Range(0, 1e3).Draw(t, "slope")
		first := float64(rapid.IntRange(1, 100).Draw(t, "first"))
		var hosts, changes, cost []float64
		for i := range 4 {
			hosts, changes = append(hosts, first*math.Pow(2, float64(i))), append(changes, 0)
			cost = append(cost, fixed+slope*hosts[i])
		}
		f, err := Model{Cost: "cost", Predictors: []string{"hosts"}}.Fit(measurementsOf(hosts, changes, cost))
		if err != nil {
			t.Fatal(err)
		}
		beyond := rapid.Float64Range(1, 50).Draw(t, "beyond")
		predicted, extrapolation := f.Predict(map[string]float64{"hosts": 8 * first * beyond})
		want := fixed + slope*8*first*beyond
		if math.Abs(predicted-want) > 1e-6*(1+want) || math.Abs(extrapolation-beyond) > 1e-9*beyond {
			t.Fatalf("%v, extrapolated by %v, want %v by %v", predicted, extrapolation, want, beyond)
		}
	})
}

// TestFitOfAProduct guards against a cost that grows with a product being fitted as if it grew with each factor.
func TestFitOfAProduct(t *testing.T) {
	var hosts, changes, cost []float64
	for _, h := range []float64{10, 20, 40} {
		for _, c := range []float64{0, 1, 2, 4} {
			hosts, changes, cost = append(hosts, h), append(changes, c), append(cost, 7+2*h+3*c+0.5*h*c)
		}
	}
	f, err := Model{Cost: "cost", Predictors: []string{"hosts", "changes", "hosts*changes"}}.Fit(measurementsOf(hosts, changes, cost))
	if err != nil {
		t.Fatal(err)
	}
	if predicted, extrapolation := f.Predict(map[string]float64{"hosts": 80, "changes": 8}); math.Abs(predicted-(7+160+24+320)) > 1e-6 || extrapolation != 2 {
		t.Errorf("%v, extrapolated by %v: %+v", predicted, extrapolation, f)
	}
}

// TestFitEndsAtAKnee guards against a line that is fitted through a knee.
func TestFitEndsAtAKnee(t *testing.T) {
	hosts := []float64{10, 20, 40, 80}
	q := Model{UpperBounds: map[string]float64{"hosts": 40}, Cost: "cost", Predictors: []string{"hosts"}}
	f, err := q.Fit(measurementsOf(hosts, make([]float64, 4), []float64{11, 21, 41, 1000}))
	if err != nil {
		t.Fatal(err)
	}
	if predicted, extrapolation := f.Predict(map[string]float64{"hosts": 80}); math.Abs(predicted-81) > 1e-6 || extrapolation != 2 || f.Measurements != 3 {
		t.Errorf("%v, extrapolated by %v: %+v", predicted, extrapolation, f)
	}
}

// TestFitRejects guards against slopes from too few sizes, from sizes that do not double and from values that are no
// numbers. Each error is typed and names its key.
func TestFitRejects(t *testing.T) {
	three, none := []float64{1, 2, 4, 4}, []float64{0, 0, 0, 0}
	for what, c := range map[string]struct {
		measurements []Measurement
		per          []string
		want         string
	}{
		"two sizes":       {measurementsOf([]float64{1, 2, 2, 1}, none, three), []string{"hosts"}, "hosts: 2 sizes measured ([1 2]), 3"},
		"0 is no size":    {measurementsOf([]float64{0, 1, 2, 2}, none, three), []string{"hosts"}, "hosts: 2 sizes"},
		"not doubling":    {measurementsOf([]float64{1, 2, 3, 3}, none, three), []string{"hosts"}, "hosts: 3 is not twice"},
		"nothing":         {nil, []string{"hosts"}, "hosts: 0 sizes"},
		"negative":        {measurementsOf([]float64{1, -2, 4, 4}, none, three), []string{"hosts"}, "line 2: hosts: -2 must be 0 or more"},
		"a negative cost": {measurementsOf(three, none, []float64{1, -1, 2, 3}), []string{"hosts"}, "line 2: cost: -1"},
		"missing":         {measurementsOf(three, none, three), []string{"beds"}, "beds: is missing"},
		"a word":          {measurementsOf(three, none, three), []string{"what"}, `what: "x" is no number`},
		"nobody":          {measurementsOf(three, none, three), nil, "per: names nothing"},
		"no error left":   {measurementsOf(three, none, three)[:3], []string{"hosts", "changes"}, "changes: 0 sizes"},
		"in step":         {measurementsOf([]float64{1, 2, 4, 4}, []float64{2, 4, 8, 8}, three), []string{"hosts", "changes"}, "changes: grows in step"},
		"as many points":  {measurementsOf(three[:3], []float64{4, 1, 2}, three[:3]), []string{"hosts", "changes"}, "leave nothing over"},
	} {
		_, err := Model{Filter: map[string]string{"what": "x"}, Cost: "cost", Predictors: c.per}.Fit(c.measurements)
		var measurement *MeasurementError
		var fit *FitError
		if !errors.As(err, &measurement) && !errors.As(err, &fit) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", what, err, c.want)
		}
	}
}

// TestParseMeasurements guards against a truncated line, or a number beyond the range of floats, that is ignored.
func TestParseMeasurements(t *testing.T) {
	got, err := ParseMeasurements("a.jsonl", []byte("{\"hosts\":12,\"what\":\"x\",\"trial\":true,\"list\":[1]}\n\n{\"hosts\":\"12\"}\n"))
	if err != nil || len(got) != 2 || got[0].numbers["hosts"] != 12 || got[0].strings["trial"] != "true" || got[1].strings["hosts"] != "12" {
		t.Errorf("%+v, %v", got, err)
	}
	for _, text := range []string{"{}\n{\"hosts\":1", "{}\n[1]", "{}\n{\"hosts\":1e999}", "{}\n{\"hosts\":NaN}"} {
		if _, err := ParseMeasurements("a.jsonl", []byte(text)); err == nil || !strings.Contains(err.Error(), "a.jsonl:2") {
			t.Errorf("%q: %v", text, err)
		}
	}
	if !got[0].matches(map[string]string{"hosts": "12", "trial": "true"}) || got[0].matches(map[string]string{"hosts": "1"}) || got[0].matches(map[string]string{"no": ""}) {
		t.Error("lines are not distinguished by their words and numbers")
	}
}

// TestParseNestedMeasurements guards against numbers of an object within a line that are ignored, or taken for those of the line itself.
func TestParseNestedMeasurements(t *testing.T) {
	const text = `{"n":1,"hollow":{"n":2,"p50_ms":61.5,"why":"x","late":true,"of":{"n":3}},"sidecars":{"n":4,"p50_ms":7},"list":[{"n":5}],"none":null}`
	got, err := ParseMeasurements("a.jsonl", []byte(text))
	if err != nil || len(got) != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	numbers := map[string]float64{"n": 1, "hollow.n": 2, "hollow.p50_ms": 61.5, "hollow.of.n": 3, "sidecars.n": 4, "sidecars.p50_ms": 7}
	words := map[string]string{"hollow.why": "x", "hollow.late": "true"}
	if !maps.Equal(got[0].numbers, numbers) || !maps.Equal(got[0].strings, words) {
		t.Errorf("%+v", got[0])
	}
	if v, err := got[0].number("hollow.p50_ms"); err != nil || v != 61.5 {
		t.Errorf("%v, %v", v, err)
	}
	if _, err := got[0].number("hollow.p99_ms"); err == nil || !strings.Contains(err.Error(), "a.jsonl:1: hollow.p99_ms: is missing") {
		t.Errorf("of a number that is missing: %v", err)
	}
	if !got[0].matches(map[string]string{"hollow.n": "2"}) || got[0].matches(map[string]string{"hollow.n": "1"}) {
		t.Error("lines are not distinguished by what is in their objects")
	}
}
