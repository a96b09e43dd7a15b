package balance

import (
	"testing"
	"time"
)

// requestGranted makes a request with the inputs of a retry budget and returns its sends.
func (w *testInstance) requestGranted(most int, valueShare float64, left time.Duration) []Action {
	from := len(w.sends)
	w.nextID++
	w.event(Event{Kind: EventRequest, Request: w.nextID, Class: idempotentClass, Remaining: left, MaxAttempts: most, ValueShare: valueShare})
	return w.sends[from:]
}

// TestGrantedAttempts: a request makes as many attempts as it was granted, also where no retries are left here; none
// where it was granted none; and after a failure that was tried again below it makes no more.
func TestGrantedAttempts(t *testing.T) {
	for _, c := range []struct {
		most  int
		final bool
		want  int
	}{{0, false, 1}, {1, false, 1}, {2, false, 2}, {3, false, 3}, {9, false, 4}, {3, true, 1}, {-1, false, 0}} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(8)
		w.b.retryTokens = 0
		w.requestGranted(c.most, 0, time.Second)
		for i := 0; i < len(w.sends); i++ {
			w.b.retryTokens = 0
			w.event(Event{Kind: EventOutcome, Request: w.sends[i].Request, Attempt: i, Status: Error, RetriedBelow: c.final, Latency: 5 * ms})
		}
		if len(w.sends) != c.want || w.answerCounts[w.nextID] != 1 {
			t.Errorf("granted %d, final %v: %d attempts and %d answers, want %d", c.most, c.final, len(w.sends), w.answerCounts[w.nextID], c.want)
		}
	}
}

// TestValueSharePropagates: what a tier above makes of a request's value decides here too, and is passed down.
func TestValueSharePropagates(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(1)
	if s := w.requestGranted(0, 0.3, time.Second); len(s) != 1 || s[0].ValueShare != 0.3 {
		t.Errorf("%+v", s)
	}
	if s := w.requestGranted(0, 0, time.Second); len(s) != 1 || s[0].ValueShare != 1 {
		t.Errorf("%+v", s)
	}
	w.b.limit = 1 // no capacity: what is more valuable goes first
	for len(w.b.queue) < 2 {
		w.requestGranted(0, 0.2, time.Second)
		w.requestGranted(0, 1, time.Second)
	}
	if first := w.b.queue[0]; first.valueShare() != 1 {
		t.Errorf("the first in the queue has a value share of %v", first.valueShare())
	}
}

// TestNoAttemptThatCannotFinishInTime: with less time than the quickest tenth of its class takes, a request is rejected unsent; with
// more it goes.
func TestNoAttemptThatCannotFinishInTime(t *testing.T) {
	set := testSettings()
	set.MarksRetries = true // less time is then no sign of an attempt that has spent some
	w := newTestInstance(t, set, 1)
	w.listReady(4)
	w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 60 * ms })
	quick := w.b.detector.FastLatency(idempotentClass)
	if quick < 20*ms || quick > 60*ms {
		t.Fatalf("the quickest tenth takes %v", quick)
	}
	for _, c := range []struct {
		left  time.Duration
		sends int
	}{{w.b.responseMargin() + quick, 0}, {w.b.responseMargin() + quick + ms, 1}, {20 * ms, 0}, {0, 0}} {
		if s := w.requestGranted(0, 0, c.left); len(s) != c.sends || c.sends == 0 && w.answers[w.nextID].Kind != ActReject {
			t.Errorf("with %v left: %d sends, answered by %v", c.left, len(s), w.answers[w.nextID].Kind)
		}
	}
}
