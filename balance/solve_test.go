package balance

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// checkRows fails the test unless every row sums to one and has no negative share.
func checkRows(t *testing.T, table [][]float64) {
	t.Helper()
	for k, row := range table {
		sum := 0.0
		for _, p := range row {
			if p < 0 {
				t.Errorf("row %d: share %g", k, p)
			}
			sum += p
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("row %d sums to %g", k, sum)
		}
	}
}

func TestProject(t *testing.T) {
	for _, c := range []struct{ in, want []float64 }{
		{[]float64{0.5, 0.5}, []float64{0.5, 0.5}},
		{[]float64{1.5, 0.5}, []float64{1, 0}},
		{[]float64{0.9, 0.5}, []float64{0.7, 0.3}},
		{[]float64{-1, 0.2, 0.2}, []float64{0, 0.5, 0.5}},
		{[]float64{3}, []float64{1}},
	} {
		got := append([]float64(nil), c.in...)
		projectToSimplex(got)
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 1e-12 {
				t.Errorf("project(%v) = %v, want %v", c.in, got, c.want)
				break
			}
		}
	}
}

func TestRowsEvenBeforeFirstSolve(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	for _, row := range w.b.rows {
		if !reflect.DeepEqual(row, []float64{0.25, 0.25, 0.25, 0.25}) {
			t.Fatalf("row %v before any solve", row)
		}
	}
}

func TestRowMovesTowardPayoff(t *testing.T) {
	for name, play := range map[string]func(*testInstance){
		"quick endpoint": func(w *testInstance) {
			w.serveCalls(150, idempotentClass, func(e EndpointID) time.Duration {
				if e == 1 {
					return 350 * ms
				}
				return 60 * ms
			})
		},
		"healthy endpoint": func(w *testInstance) {
			for i := range 150 {
				w.request(nonIdempotentClass)
				w.advance(40 * ms)
				status := OK
				if w.sends[len(w.sends)-1].Endpoint == 1 && i%2 == 0 {
					status = Error
				}
				w.endAttempt(len(w.sends)-1, status, 40*ms)
				w.advance(10 * ms)
			}
		},
	} {
		w := newTestInstance(t, testSettings(), 2)
		w.listReady(3)
		play(w)
		checkRows(t, w.b.rows)
		if s := w.b.totalShare; s[0] >= s[1] || s[0] >= s[2] {
			t.Errorf("%s: shares %v, want the first one least", name, s)
		}
	}
}

// TestRowsDifferByBin: calls with little time left are kept from the slow endpoint more than others.
func TestRowsDifferByBin(t *testing.T) {
	w := newTestInstance(t, testSettings(), 2)
	w.listReady(3)
	for i := range 200 {
		w.nextID++
		left := 1000 * ms
		if i%2 == 1 {
			left = 700 * ms
		}
		w.event(Event{Kind: EventRequest, Request: w.nextID, Class: idempotentClass, Remaining: left})
		d := 60 * ms
		if w.sends[len(w.sends)-1].Endpoint == 1 {
			d = 250 * ms
		}
		w.advance(d)
		w.endAttempt(len(w.sends)-1, OK, d)
	}
	fresh, spent := w.b.rows[idempotentClass*binsPerClass], w.b.rows[idempotentClass*binsPerClass+binsPerClass-1]
	checkRows(t, w.b.rows)
	if !(spent[0] < fresh[0]) {
		t.Errorf("slow endpoint's share is %g for calls short of time and %g for others", spent[0], fresh[0])
	}
}

func TestNoSolveWithoutShift(t *testing.T) {
	w := newTestInstance(t, testSettings(), 2)
	w.listReady(3)
	steady := func(EndpointID) time.Duration { return 50 * ms }
	w.serveCalls(400, idempotentClass, steady)
	at := w.b.solvedAt
	w.serveCalls(100, idempotentClass, steady)
	if w.b.solvedAt != at {
		t.Error("solved again though nothing had shifted")
	}
	w.serveCalls(100, idempotentClass, func(e EndpointID) time.Duration { return time.Duration(e) * 100 * ms })
	if w.b.solvedAt == at {
		t.Error("not solved though the curves had shifted")
	}
}

// TestSolveDoesNotOscillate: near capacity curves are steep and fixed steps pass the top; like endpoints must
// keep like shares all the same.
func TestSolveDoesNotOscillate(t *testing.T) {
	w := newTestInstance(t, testSettings(), 2)
	w.listReady(4)
	for _, endpoint := range w.b.endpoints {
		endpoint.latency = decayedMean{50, 50 * 0.18}
		endpoint.utilisation = loadValue{0.95, true}
	}
	for range 10 {
		w.b.solve()
		checkRows(t, w.b.rows)
		for i, p := range w.b.totalShare {
			if math.Abs(p-0.25) > 0.05 {
				t.Fatalf("like endpoints' shares %v, endpoint %d", w.b.totalShare, i)
			}
		}
	}
}

func TestDrawsFollowTheRow(t *testing.T) {
	w := newTestInstance(t, testSettings(), 4)
	w.listReady(3)
	row := []float64{0.6, 0.3, 0.1}
	for k := range w.b.rows {
		w.b.rows[k] = row
	}
	w.b.totalShare = row
	w.b.accumulateRows()
	n := map[EndpointID]float64{}
	for range 3000 {
		w.b.limit = 100 // limits nothing, and nothing is pending: the draw alone decides
		id := w.request(idempotentClass)
		n[w.sends[len(w.sends)-1].Endpoint]++
		w.event(Event{Kind: EventOutcome, Request: id, Endpoint: w.sends[len(w.sends)-1].Endpoint, Status: OK,
			Closed: true, Latency: 50 * ms})
	}
	for i, p := range row {
		if got := n[EndpointID(i+1)] / 3000; math.Abs(got-p) > 0.04 {
			t.Errorf("endpoint %d was drawn %.3f of the time, its share is %.1f", i+1, got, p)
		}
	}
}

// TestBoundedLoads: chance must not congest one of several like endpoints.
func TestBoundedLoads(t *testing.T) {
	w := newTestInstance(t, testSettings(), 5)
	w.listReady(4)
	for range 12 {
		w.request(idempotentClass)
	}
	for _, endpoint := range w.b.endpoints {
		if len(endpoint.pending) != 3 {
			t.Errorf("endpoint %d has %d of 12 requests on four like endpoints", endpoint.Endpoint, len(endpoint.pending))
		}
	}
}

func TestSameSeedSameActions(t *testing.T) {
	play := func(seed uint64, others int) []Action {
		w := newTestInstance(t, testSettings(), seed)
		w.listReady(5, 1, 1, 2, 2, 3)
		for i := range others { // instances share nothing: more of them change nothing
			newTestInstance(t, testSettings(), uint64(100+i)).listReady(3)
		}
		for i := range 300 {
			w.request(i % 3)
			w.advance(15 * ms)
			if i%4 != 0 {
				w.endAttempt(len(w.sends)-1, []Status{OK, OK, Error, Rejected}[i%4], 15*ms)
			}
		}
		return append(w.sends, w.otherActions...)
	}
	first := play(9, 0)
	if !reflect.DeepEqual(first, play(9, 3)) {
		t.Error("same seed and events, other actions")
	}
	if reflect.DeepEqual(first, play(10, 0)) {
		t.Error("the seed has no effect: the test proves nothing")
	}
}

// TestNoEndpointStarves: an endpoint that failed much of what it got and is healthy again gets its part back, and at no time
// nothing; the rows stay shares that sum to one throughout.
func TestNoEndpointStarves(t *testing.T) {
	for _, share := range []float64{0.3, 0.7, 1} {
		w := newTestInstance(t, testSettings(), 7)
		w.listReady(4)
		failing, sent, since := true, 0, 0
		for i := range 6000 { // 50 a second
			n := len(w.sends)
			w.request(nonIdempotentClass)
			w.advance(20 * ms)
			for j := n; j < len(w.sends); j++ {
				status := OK
				if w.sends[j].Endpoint == 1 {
					sent, since = sent+1, i
					if failing && float64(sent%10) < 10*share {
						status = Error
					}
				}
				w.endAttempt(j, status, 20*ms)
			}
			if i-since > 20*50 {
				t.Fatalf("failing %.1f: nothing for 20 s at %d s", share, i/50)
			}
			switch i {
			case 1500:
				if sent > 300 { // of 375 that would be even
					t.Errorf("failing %.1f: it got %d of 1500", share, sent)
				}
				failing = false
			case 3000:
				sent = 0
			}
			if i%250 == 0 {
				checkRows(t, w.b.rows)
			}
		}
		if sent < 600 { // of 750
			t.Errorf("failed %.1f: healthy again, and it gets %d of 3000", share, sent)
		}
	}
}
