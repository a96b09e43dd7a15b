package balance

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// checkRows fails the test unless every row sums to 1 and has no negative share.
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

func TestProjectToSimplex(t *testing.T) {
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
				t.Errorf("projectToSimplex(%v) = %v, want %v", c.in, got, c.want)
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
	for name, drive := range map[string]func(*testInstance){
		"fast endpoints": func(w *testInstance) {
			w.serveCalls(150, idempotentClass, func(e EndpointID) time.Duration {
				if e == 1 {
					return 350 * ms
				}
				return 60 * ms
			})
		},
		"healthy endpoints": func(w *testInstance) {
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
		drive(w)
		checkRows(t, w.b.rows)
		if s := w.b.totalShare; s[0] >= s[1] || s[0] >= s[2] {
			t.Errorf("%s: shares %v, want the first to be the smallest", name, s)
		}
	}
}

// TestRowsDifferByBin checks that calls with little remaining time are routed to a slow endpoint less often than others.
func TestRowsDifferByBin(t *testing.T) {
	w := newTestInstance(t, testSettings(), 2)
	w.listReady(3)
	for i := range 200 {
		w.nextID++
		remaining := 1000 * ms
		if i%2 == 1 {
			remaining = 700 * ms
		}
		w.event(Event{Kind: EventRequest, Request: w.nextID, Class: idempotentClass, Remaining: remaining})
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
		t.Errorf("the slow endpoint's share is %g for calls with little remaining time and %g for others", spent[0], fresh[0])
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
		t.Error("solved again although no input had shifted")
	}
	w.serveCalls(100, idempotentClass, func(e EndpointID) time.Duration { return time.Duration(e) * 100 * ms })
	if w.b.solvedAt == at {
		t.Error("not solved again although the latencies had shifted")
	}
}

// Guards against oscillating shares: near capacity the curves are steep, and steps of a fixed size overshoot the maximum.
// Equal endpoints must keep equal shares.
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
				t.Fatalf("shares %v of equal endpoints, unequal at index %d", w.b.totalShare, i)
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
		w.b.limit = 100 // the limit is not reached and nothing is pending: only the random draw decides
		id := w.request(idempotentClass)
		n[w.sends[len(w.sends)-1].Endpoint]++
		w.event(Event{Kind: EventOutcome, Request: id, Endpoint: w.sends[len(w.sends)-1].Endpoint, Status: OK,
			Closed: true, Latency: 50 * ms})
	}
	for i, p := range row {
		if got := n[EndpointID(i+1)] / 3000; math.Abs(got-p) > 0.04 {
			t.Errorf("endpoint %d was drawn with frequency %.3f, its share is %.1f", i+1, got, p)
		}
	}
}

// Guards against random draws that congest one of several equal endpoints.
func TestBoundedLoads(t *testing.T) {
	w := newTestInstance(t, testSettings(), 5)
	w.listReady(4)
	for range 12 {
		w.request(idempotentClass)
	}
	for _, endpoint := range w.b.endpoints {
		if len(endpoint.pending) != 3 {
			t.Errorf("endpoint %d has %d of 12 requests to four equal endpoints, want 3", endpoint.Endpoint, len(endpoint.pending))
		}
	}
}

func TestSameSeedSameActions(t *testing.T) {
	run := func(seed uint64, others int) []Action {
		w := newTestInstance(t, testSettings(), seed)
		w.listReady(5, 1, 1, 2, 2, 3)
		for i := range others { // other instances in the process must have no effect
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
	first := run(9, 0)
	if !reflect.DeepEqual(first, run(9, 3)) {
		t.Error("the same seed and events gave different actions")
	}
	if reflect.DeepEqual(first, run(10, 0)) {
		t.Error("another seed gave the same actions, so the comparison above has no value")
	}
}

// TestNoEndpointStarves checks that an endpoint that fails many of its requests still gets some, and gets its share
// back after its recovery. The rows must be valid shares all the time.
func TestNoEndpointStarves(t *testing.T) {
	for _, share := range []float64{0.3, 0.7, 1} {
		w := newTestInstance(t, testSettings(), 7)
		w.listReady(4)
		failing, sent, since := true, 0, 0
		for i := range 6000 { // 50 requests per second
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
				t.Fatalf("failure rate %.1f: no request for 20 s at %d s", share, i/50)
			}
			switch i {
			case 1500:
				if sent > 300 { // an equal share is 375
					t.Errorf("failure rate %.1f: the failing endpoint got %d of 1500 requests", share, sent)
				}
				failing = false
			case 3000:
				sent = 0
			}
			if i%250 == 0 {
				checkRows(t, w.b.rows)
			}
		}
		if sent < 600 { // an equal share is 750
			t.Errorf("failure rate %.1f: after its recovery the endpoint got %d of 3000 requests", share, sent)
		}
	}
}
