package balance

import (
	"testing"
	"time"
)

// budgeted is a request with the inputs of a budget; it returns its sends.
func (w *world) budgeted(most int, worth float64, left time.Duration) []Action {
	from := len(w.sends)
	w.nextID++
	w.event(Event{Kind: EventRequest, Request: w.nextID, Class: safeClass, Remaining: left, MaxAttempts: most, ValueShare: worth})
	return w.sends[from:]
}

// TestAttemptsAreGranted: a request makes as many attempts as it was granted, also where no retries are left here; none
// where it was granted none; and after a failure that was tried again below it makes no more.
func TestAttemptsAreGranted(t *testing.T) {
	for _, c := range []struct {
		most  int
		final bool
		want  int
	}{{0, false, 1}, {1, false, 1}, {2, false, 2}, {3, false, 3}, {9, false, 4}, {3, true, 1}, {-1, false, 0}} {
		w := newWorld(t, testSettings(), 1)
		w.servers(8)
		w.b.retryTokens = 0
		w.budgeted(c.most, 0, time.Second)
		for i := 0; i < len(w.sends); i++ {
			w.b.retryTokens = 0
			w.event(Event{Kind: EventOutcome, Request: w.sends[i].Request, Attempt: i, Status: Error, RetriedBelow: c.final, Latency: 5 * ms})
		}
		if len(w.sends) != c.want || w.answers[w.nextID] != 1 {
			t.Errorf("granted %d, final %v: %d attempts and %d answers, want %d", c.most, c.final, len(w.sends), w.answers[w.nextID], c.want)
		}
	}
}

// TestWorthTravels: what a tier above makes of a request's worth decides here too, and goes on.
func TestWorthTravels(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(1)
	if s := w.budgeted(0, 0.3, time.Second); len(s) != 1 || s[0].ValueShare != 0.3 {
		t.Errorf("%+v", s)
	}
	if s := w.budgeted(0, 0, time.Second); len(s) != 1 || s[0].ValueShare != 1 {
		t.Errorf("%+v", s)
	}
	w.b.limit = 1 // no room: what is worth more goes first
	for len(w.b.queue) < 2 {
		w.budgeted(0, 0.2, time.Second)
		w.budgeted(0, 1, time.Second)
	}
	if first := w.b.queue[0]; first.valueShare() != 1 {
		t.Errorf("the first in line is worth %v", first.valueShare())
	}
}

// TestNoAttemptThatMustBeLate: with less time than the quickest tenth of its class takes, a request is refused unsent; with
// more it goes.
func TestNoAttemptThatMustBeLate(t *testing.T) {
	set := testSettings()
	set.MarksRetries = true // less time is then no sign of a try that has spent some
	w := newWorld(t, set, 1)
	w.servers(4)
	w.serve(100, safeClass, func(EndpointID) time.Duration { return 60 * ms })
	quick := w.b.detector.Quick(safeClass)
	if quick < 20*ms || quick > 60*ms {
		t.Fatalf("the quickest tenth takes %v", quick)
	}
	for _, c := range []struct {
		left  time.Duration
		sends int
	}{{w.b.responseMargin() + quick, 0}, {w.b.responseMargin() + quick + ms, 1}, {20 * ms, 0}, {0, 0}} {
		if s := w.budgeted(0, 0, c.left); len(s) != c.sends || c.sends == 0 && w.answer[w.nextID].Kind != ActReject {
			t.Errorf("with %v left: %d sends, answered by %v", c.left, len(s), w.answer[w.nextID].Kind)
		}
	}
}
