package balance

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance/grey"
)

// learnedInstance returns an instance that has served on endpoints of which one is slow and one hangs.
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

// Guards against a successor that knows less, or other things, than the process before it.
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
		t.Errorf("handed over\n%+v\nwas taken over as\n%+v", want, got)
	}
}

// Guards against classes that stand elsewhere at the successor, or not at all.
func TestReorderClasses(t *testing.T) {
	l := learnedInstance(t, 1).b.LearnedState()
	safe, unsafe := l.Classes[idempotentClass], l.Detector.Latencies[nonIdempotentClass]
	l.ReorderClasses([]int{1, -1, 0}, 2)
	if len(l.Classes) != 2 || !reflect.DeepEqual(l.Classes[1], safe) || l.Detector.Latencies[0] != unsafe || len(l.Endpoints[0].Evidence.Classes) != 2 {
		t.Errorf("reordered: %+v", l)
	}
}

// Guards against values that no process can have learned: whatever comes, the decisions go on and keep to the rules.
func TestRestoreIgnoresInvalidValues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		num := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, -1, 1e300, 1e-300, 5}))
		sample := func() MeanState { return MeanState{num.Draw(rt, "n"), num.Draw(rt, "sum")} }
		count := func() grey.CountState {
			return grey.CountState{Attempts: num.Draw(rt, "n"), Failures: num.Draw(rt, "bad")}
		}
		span := func() time.Duration { return time.Duration(rapid.Int64().Draw(rt, "span")) }
		l := &LearnedState{Limit: num.Draw(rt, "limit"), Capacity: num.Draw(rt, "able"), Baseline: num.Draw(rt, "uncrowded"),
			RetryTokens: num.Draw(rt, "retries"), Responses: sample(), Rejections: sample(),
			Detector: grey.DetectorState{Hangs: count(), Timeouts: count()}}
		for range rapid.IntRange(0, 4).Draw(rt, "classes") {
			l.Classes = append(l.Classes, ClassState{Latency: sample(), BinShares: []float64{num.Draw(rt, "bin"), num.Draw(rt, "bin")},
				RecentRemaining: []time.Duration{span()}})
			l.Detector.Classes = append(l.Detector.Classes, count())
			l.Detector.Latencies = append(l.Detector.Latencies, grey.LatencyState{N: num.Draw(rt, "n"), Sum: num.Draw(rt, "sum"), Squares: num.Draw(rt, "squares")})
		}
		for id := range EndpointID(4) {
			l.Endpoints = append(l.Endpoints, EndpointState{Endpoint: id, StartedAt: span(), ListedStart: span(), Latency: sample(), EjectedFor: span(), EjectionBackoff: span(),
				ConsecutiveFailures: rapid.Int().Draw(rt, "fails"), Evidence: grey.HostState{Classes: []grey.CountState{count()}, Hangs: count(), Recent: count(),
					Suspicion: num.Draw(rt, "suspect")}})
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

// Guards against a snapshot that is believed for longer than what it says can hold: by its age, what is left of the weight of
// a curve, of an ejection and of the limit.
func TestLearnedStateDecays(t *testing.T) {
	old := learnedInstance(t, 1)
	l := old.b.LearnedState()
	l.Congested, l.Limit, l.BaselineKnown, l.Baseline = true, 77, true, 0.2
	for i := range l.Endpoints {
		l.Endpoints[i].EjectedFor, l.Endpoints[i].ConsecutiveFailures = 8*time.Second, 2
	}
	for _, c := range []struct {
		past           time.Duration
		weight         float64
		ejected        time.Duration
		fails          int
		limit, measure bool
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
		l.Age = c.past
		w.b.Restore(w.now, l)
		got := w.b.LearnedState()
		for i, h := range got.Endpoints {
			if weight := h.Latency.N / l.Endpoints[i].Latency.N; weight < c.weight*0.9 || weight > c.weight*1.1 || h.EjectedFor != c.ejected || h.ConsecutiveFailures != c.fails {
				t.Errorf("after %v endpoint %d: weight %.2g, ejected for %v, %d failures", c.past, h.Endpoint, weight, h.EjectedFor, h.ConsecutiveFailures)
			}
		}
		if limit := got.Limit != fresh.Limit; limit != c.limit || got.Congested != c.limit || got.BaselineKnown != c.measure {
			t.Errorf("after %v: limit %v, congested %v, measure %v", c.past, got.Limit, got.Congested, got.BaselineKnown)
		}
	}
}
