package balance

import (
	"testing"
	"time"
)

// Guards against an unresponsive endpoint that stays half-open after its trial request has timed out. Attempts that
// were open at their deadline were not counted during congestion, so the endpoint kept getting one request of each
// instance while it hung.
func TestHalfOpenAttemptTimesOut(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(6)
	bad := w.b.endpoints[0]
	w.b.eject(bad)
	w.advance(bad.ejectionBackoff + 10*ms)
	for range 200 { // until the half-open endpoint gets a request, which is never answered
		n := len(w.sends)
		w.request(nonIdempotentClass)
		if w.sends[n].Endpoint == bad.Endpoint {
			break
		}
		w.advance(10 * ms)
		w.endAttempt(n, OK, 10*ms)
	}
	if len(bad.pending) != 1 {
		t.Fatal("the half-open endpoint got no request")
	}
	w.advance(w.b.settings.Classes[nonIdempotentClass].Deadline)
	if w.now-time.Hour > 10*time.Second || bad.ejectionBackoff != 2*baseEjectionTime || bad.ejectedUntil <= w.now-baseEjectionTime {
		t.Errorf("after its trial request timed out, the endpoint is ejected for %v", bad.ejectionBackoff)
	}
}

// Guards against a limit that can't fall when endpoints are removed. The rate that a cut preserves has to be scaled
// down with the capacity; otherwise the remaining endpoints get more than they can serve and their answers are late and
// discarded.
func TestMinimumRateFollowsCapacity(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(16)
	w.b.baseline, w.b.baselineKnown, w.b.limit, w.b.responses = 0.2, true, 40, decayedMean{500, 500 * 0.4}
	before := w.b.responses.sum
	w.listReady(8)
	if ratio := w.b.responses.sum / before; ratio < 0.49 || ratio > 0.51 {
		t.Errorf("the preserved rate is %.2f of the previous one with half of the endpoints", ratio)
	}
	for range 20 { // congestion: all answers are late
		for range 2 * int(minLimitResponses) {
			w.b.latencyWindow.add(1)
		}
		w.b.now += maintenanceInterval
		w.b.adaptLimit()
	}
	lowerBound := rateSlack * earlyCongestionShare * before / decaySeconds // for all 16 endpoints
	if w.b.limit > 0.55*lowerBound && w.b.limit > w.b.instanceShare(minLimit)+0.01 {
		t.Errorf("the limit stays at %.1f; the lower bound for twice as many endpoints is %.1f", w.b.limit, lowerBound)
	}
}

// Guards against congestion that is not detected because the uncongested latency is high already: if it is a quarter of
// the target latency, a mean of half the target latency means that every fifth answer is late.
func TestCongestionAtHalfOfTheTarget(t *testing.T) {
	for _, c := range []struct {
		latencyShare float64
		cut          bool
	}{{0.25, false}, {0.3, false}, {0.4, true}} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(16)
		w.b.baseline, w.b.baselineKnown = 0.25, true
		before := w.b.limit
		for range 2 * int(minLimitResponses) {
			w.b.latencyWindow.add(c.latencyShare)
		}
		w.b.now += maintenanceInterval
		w.b.adaptLimit()
		if cut := w.b.limit < before; cut != c.cut {
			t.Errorf("latency %.2f of the target, 0.25 uncongested: limit changed from %.0f to %.0f", c.latencyShare, before, w.b.limit)
		}
	}
}
