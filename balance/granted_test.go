package balance

import (
	"testing"
	"time"
)

// requestGranted makes a request with granted attempts and a value share from the calling tier, and returns its sends.
func (w *testInstance) requestGranted(maxAttempts int, valueShare float64, remaining time.Duration) []Action {
	from := len(w.sends)
	w.nextID++
	w.event(Event{Kind: EventRequest, Request: w.nextID, Class: idempotentClass, Remaining: remaining, MaxAttempts: maxAttempts, ValueShare: valueShare})
	return w.sends[from:]
}

// TestGrantedAttempts checks that a request makes as many attempts as the calling tier granted, even if this instance's
// retry budget is used up, and that it makes no further attempt after a failure that the next tier has retried already.
func TestGrantedAttempts(t *testing.T) {
	for _, c := range []struct {
		granted      int
		retriedBelow bool
		want         int
	}{{0, false, 1}, {1, false, 1}, {2, false, 2}, {3, false, 3}, {9, false, 4}, {3, true, 1}, {-1, false, 0}} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(8)
		w.b.retryTokens = 0
		w.requestGranted(c.granted, 0, time.Second)
		for i := 0; i < len(w.sends); i++ {
			w.b.retryTokens = 0
			w.event(Event{Kind: EventOutcome, Request: w.sends[i].Request, Attempt: i, Status: Error, RetriedBelow: c.retriedBelow, Latency: 5 * ms})
		}
		if len(w.sends) != c.want || w.answerCounts[w.nextID] != 1 {
			t.Errorf("granted %d, retried below %v: %d attempts and %d answers, want %d attempts", c.granted, c.retriedBelow, len(w.sends), w.answerCounts[w.nextID], c.want)
		}
	}
}

// TestValueSharePropagates checks that the value share from the calling tier determines the order of the queue and is
// passed to the next tier.
func TestValueSharePropagates(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(1)
	if s := w.requestGranted(0, 0.3, time.Second); len(s) != 1 || s[0].ValueShare != 0.3 {
		t.Errorf("%+v", s)
	}
	if s := w.requestGranted(0, 0, time.Second); len(s) != 1 || s[0].ValueShare != 1 {
		t.Errorf("%+v", s)
	}
	w.b.limit = 1 // no capacity: requests are queued by priority
	for len(w.b.queue) < 2 {
		w.requestGranted(0, 0.2, time.Second)
		w.requestGranted(0, 1, time.Second)
	}
	if first := w.b.queue[0]; first.valueShare() != 1 {
		t.Errorf("the first in the queue has a value share of %v", first.valueShare())
	}
}

// Guards against attempts that can't finish in time: a request with less remaining time than the latency of the fastest
// tenth of its class is rejected without an attempt.
func TestNoAttemptThatCannotFinishInTime(t *testing.T) {
	settings := testSettings()
	settings.MarksRetries = true // otherwise a short remaining time would count as time spent on an earlier attempt
	w := newTestInstance(t, settings, 1)
	w.listReady(4)
	w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 60 * ms })
	fastLatency := w.b.detector.FastLatency(idempotentClass)
	if fastLatency < 20*ms || fastLatency > 60*ms {
		t.Fatalf("latency of the fastest tenth is %v", fastLatency)
	}
	for _, c := range []struct {
		remaining time.Duration
		sends     int
	}{{w.b.responseMargin() + fastLatency, 0}, {w.b.responseMargin() + fastLatency + ms, 1}, {20 * ms, 0}, {0, 0}} {
		if s := w.requestGranted(0, 0, c.remaining); len(s) != c.sends || c.sends == 0 && w.answers[w.nextID].Kind != ActReject {
			t.Errorf("with %v remaining: %d sends, answered with action %v", c.remaining, len(s), w.answers[w.nextID].Kind)
		}
	}
}
