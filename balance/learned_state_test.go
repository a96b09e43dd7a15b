package balance

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance/grey"
)

// learnedInstance returns an instance that has sent calls to five endpoints, one of them slow, some of them with errors.
func learnedInstance(t *testing.T, seed uint64) *testInstance {
	w := newTestInstance(t, testSettings(), seed)
	w.listReady(5)
	for i := range 150 {
		w.serveCalls(1, i%3, func(id EndpointID) time.Duration { return time.Duration(20+60*(id/5)) * ms })
		if i%10 == 0 {
			w.request(idempotentClass)
			w.advance(300 * ms)
			w.endAttempt(len(w.sends)-1, Error, 10*ms)
		}
	}
	return w
}

// Guards against learned state that is lost or changed on the way to the successor process.
func TestLearnedStateRoundTrip(t *testing.T) {
	old := learnedInstance(t, 1)
	text, err := json.Marshal(old.b.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	w := newTestInstance(t, testSettings(), 2)
	w.now = old.now
	w.listReady(5)
	w.b.Restore(w.now, &l)
	if got, want := w.b.LearnedState(), old.b.LearnedState(); !reflect.DeepEqual(got.Endpoints, want.Endpoints) || !reflect.DeepEqual(got.Detector, want.Detector) ||
		got.Limit != want.Limit || got.Baseline != want.Baseline {
		t.Errorf("saved state\n%+v\nrestored state\n%+v", want, got)
	}
}

// Guards against state that is assigned to the wrong class if the successor has other classes or another order of them.
func TestReorderClasses(t *testing.T) {
	l := learnedInstance(t, 1).b.LearnedState()
	idempotentState, nonIdempotentLatency := l.Classes[idempotentClass], l.Detector.Latencies[nonIdempotentClass]
	l.ReorderClasses([]int{1, -1, 0}, 2)
	if len(l.Classes) != 2 || !reflect.DeepEqual(l.Classes[1], idempotentState) || l.Detector.Latencies[0] != nonIdempotentLatency || len(l.Endpoints[0].Evidence.Classes) != 2 {
		t.Errorf("reordered: %+v", l)
	}
}

// Guards against invalid values in a restored state: after any input, every request must still get exactly one answer.
func TestRestoreIgnoresInvalidValues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		num := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, -1, 1e300, 1e-300, 5}))
		sample := func() MeanState { return MeanState{num.Draw(rt, "n"), num.Draw(rt, "sum")} }
		count := func() grey.CountState {
			return grey.CountState{Attempts: num.Draw(rt, "n"), Failures: num.Draw(rt, "failures")}
		}
		duration := func() time.Duration { return time.Duration(rapid.Int64().Draw(rt, "duration")) }
		l := &LearnedState{Limit: num.Draw(rt, "limit"), Capacity: num.Draw(rt, "capacity"), Baseline: num.Draw(rt, "baseline"),
			RetryTokens: num.Draw(rt, "retry tokens"), Responses: sample(), Rejections: sample(),
			Detector: grey.DetectorState{Hangs: count(), Timeouts: count()}}
		for range rapid.IntRange(0, 4).Draw(rt, "classes") {
			l.Classes = append(l.Classes, ClassState{Latency: sample(), BinShares: []float64{num.Draw(rt, "bin"), num.Draw(rt, "bin")},
				RecentRemaining: []time.Duration{duration()}})
			l.Detector.Classes = append(l.Detector.Classes, count())
			l.Detector.Latencies = append(l.Detector.Latencies, grey.LatencyState{N: num.Draw(rt, "n"), Sum: num.Draw(rt, "sum"), Squares: num.Draw(rt, "squares")})
		}
		for id := range EndpointID(4) {
			l.Endpoints = append(l.Endpoints, EndpointState{Endpoint: id, StartedAt: duration(), ListedStart: duration(), Latency: sample(), EjectedFor: duration(), EjectionBackoff: duration(),
				ConsecutiveFailures: rapid.Int().Draw(rt, "consecutive failures"), Evidence: grey.HostState{Classes: []grey.CountState{count()}, Hangs: count(), Recent: count(),
					Suspicion: num.Draw(rt, "suspicion")}})
		}
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(4)
		w.b.Restore(w.now, l)
		for range 20 {
			id := w.request(idempotentClass)
			w.advance(1200 * ms)
			if w.answerCounts[id] != 1 {
				rt.Fatalf("request %d has %d answers", id, w.answerCounts[id])
			}
		}
	})
}

// Guards against a snapshot that is used for longer than its values are valid: the weight of latencies, ejections, the
// limit and the baseline must expire with its age.
func TestLearnedStateDecays(t *testing.T) {
	old := learnedInstance(t, 1)
	l := old.b.LearnedState()
	l.Congested, l.Limit, l.BaselineKnown, l.Baseline = true, 77, true, 0.2
	for i := range l.Endpoints {
		l.Endpoints[i].EjectedFor, l.Endpoints[i].ConsecutiveFailures = 8*time.Second, 2
	}
	for _, c := range []struct {
		age                  time.Duration
		weight               float64
		ejected              time.Duration
		failures             int
		limit, baselineKnown bool
	}{
		{0, 1, 8 * time.Second, 2, true, true},
		{5 * time.Second, 0.3679, 3 * time.Second, 2, true, true},
		{MaxLimitAge + 1, 0.1353, 0, 0, false, true},
		{MaxBaselineAge + 1, 6e-6, 0, 0, false, false},
		{-time.Hour, 1, 8 * time.Second, 2, true, true},
	} {
		w := newTestInstance(t, testSettings(), 2)
		w.now = old.now
		w.listReady(5)
		fresh := w.b.LearnedState()
		l.Age = c.age
		w.b.Restore(w.now, l)
		got := w.b.LearnedState()
		for i, h := range got.Endpoints {
			if weight := h.Latency.N / l.Endpoints[i].Latency.N; weight < c.weight*0.9 || weight > c.weight*1.1 || h.EjectedFor != c.ejected || h.ConsecutiveFailures != c.failures {
				t.Errorf("after %v endpoint %d: weight %.2g, ejected for %v, %d failures", c.age, h.Endpoint, weight, h.EjectedFor, h.ConsecutiveFailures)
			}
		}
		if limit := got.Limit != fresh.Limit; limit != c.limit || got.Congested != c.limit || got.BaselineKnown != c.baselineKnown {
			t.Errorf("after %v: limit %v, congested %v, baseline known %v", c.age, got.Limit, got.Congested, got.BaselineKnown)
		}
	}
}
