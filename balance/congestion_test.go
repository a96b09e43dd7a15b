package balance

import (
	"testing"
	"time"
)

// Guards against an unresponsive endpoint that is tried again at once after a trial that ran out of time: what was out when the time
// was up taught nothing during congestion, so that it had one request of each instance for as long as it hung.
func TestHalfOpenAttemptTimesOut(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(6)
	bad := w.b.endpoints[0]
	w.b.eject(bad)
	w.advance(bad.ejectionBackoff + 10*ms)
	for range 200 { // until the trial has one, which is never answered
		n := len(w.sends)
		w.request(nonIdempotentClass)
		if w.sends[n].Endpoint == bad.Endpoint {
			break
		}
		w.advance(10 * ms)
		w.endAttempt(n, OK, 10*ms)
	}
	if len(bad.pending) != 1 {
		t.Fatal("the trial was given nothing")
	}
	w.advance(w.b.settings.Classes[nonIdempotentClass].Deadline)
	if w.now-time.Hour > 10*time.Second || bad.ejectionBackoff != 2*baseEjectionTime || bad.ejectedUntil <= w.now-baseEjectionTime {
		t.Errorf("after a trial that ran out of time it is left out for %v", bad.ejectionBackoff)
	}
}

// Guards against a limit that can't fall when endpoints leave: the rate that it may not fall under has to leave with them,
// or what the rest can't do is in flight at them, answered late and discarded.
func TestMinimumRateFollowsCapacity(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(16)
	w.b.baseline, w.b.baselineKnown, w.b.limit, w.b.responses = 0.2, true, 40, decayedMean{500, 500 * 0.4}
	before := w.b.responses.sum
	w.listReady(8)
	if part := w.b.responses.sum / before; part < 0.49 || part > 0.51 {
		t.Errorf("of the rate, %.2f is left with half of the endpoints", part)
	}
	for range 20 { // congestion in which all is late
		for range 2 * int(minLimitResponses) {
			w.b.latencyWindow.add(1)
		}
		w.b.now += maintenanceInterval
		w.b.adaptLimit()
	}
	floor := rateSlack * earlyCongestionShare * before / decaySeconds // of all 16
	if w.b.limit > 0.55*floor && w.b.limit > w.b.instanceShare(minLimit)+0.01 {
		t.Errorf("the limit stays at %.1f, with a floor of %.1f for twice as many endpoints", w.b.limit, floor)
	}
}

// Guards against congestion that is not seen since answers took long from the start: with a quarter of their target latency uncongested,
// half of it on average means that every fifth is late.
func TestCongestionAtHalfOfTheTarget(t *testing.T) {
	for _, c := range []struct {
		taken float64
		cut   bool
	}{{0.25, false}, {0.3, false}, {0.4, true}} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(16)
		w.b.baseline, w.b.baselineKnown = 0.25, true
		before := w.b.limit
		for range 2 * int(minLimitResponses) {
			w.b.latencyWindow.add(c.taken)
		}
		w.b.now += maintenanceInterval
		w.b.adaptLimit()
		if cut := w.b.limit < before; cut != c.cut {
			t.Errorf("answers that take %.2f of their target latency, 0.25 uncongested: limit %.0f to %.0f", c.taken, before, w.b.limit)
		}
	}
}
