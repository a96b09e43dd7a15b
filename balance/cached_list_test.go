package balance

import (
	"testing"
	"time"
)

// Guards against queueing a request that no endpoint can get in time. Without any endpoint, a request is rejected on
// arrival with a retry hint if the next list arrives too late for it, and queued otherwise.
func TestRequestsBeforeFirstList(t *testing.T) {
	for _, c := range []struct {
		name          string
		expectedIn    time.Duration // time until the next list
		endpointCount int
		rejected      bool // rejected on arrival
		minHint       time.Duration
	}{
		{"a list in 300 ms", 300 * ms, 0, true, 300 * ms},
		{"a list in a minute", time.Minute, 0, true, 500 * ms}, // MaxRetryAfter
		{"a list in time", 5 * ms, 0, false, 0},
		{"endpoints are listed", time.Minute, 1, false, 0},
	} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(c.endpointCount)
		w.event(Event{Kind: EventListExpected, ExpectedIn: c.expectedIn})
		id := w.request(idempotentClass)
		a, isRejected := w.answers[id]
		if isRejected != c.rejected {
			t.Errorf("%s: rejected on arrival: %v", c.name, isRejected)
		}
		if c.rejected && (a.Kind != ActReject || a.After < c.minHint || a.After > c.minHint+100*ms || a.After > 500*ms) {
			t.Errorf("%s: unexpected answer %+v", c.name, a)
		}
		w.advance(2 * time.Second)
		if c.endpointCount == 0 && w.answerCounts[id] != 1 {
			t.Errorf("%s: %d answers", c.name, w.answerCounts[id])
		}
	}
}

// Guards against overloading endpoints of a cached list, which may have restarted: they count as warming up, one
// request is sent immediately, and further sends are earned by answers. A fresh list with the same start makes them
// warm again, and one with a later start makes them warm up from that start.
func TestCachedList(t *testing.T) {
	s := testSettings()
	s.Instances = 2
	cachedListInstance := func() *testInstance {
		w := newTestInstance(t, s, 1)
		var entries []Entry
		for id := EndpointID(1); id <= 4; id++ {
			entries = append(entries, Entry{Endpoint: id, State: Ready, Weight: 1, Cached: true})
		}
		w.list(ListCached, entries...)
		return w
	}
	w := cachedListInstance()
	for range 10 {
		w.request(idempotentClass)
	}
	if len(w.sends) != 1 {
		t.Errorf("%d of ten requests were sent immediately to endpoints of a cached list, want 1", len(w.sends))
	}
	w.endAttempt(0, OK, 20*ms)
	w.advance(100 * ms)
	if n := len(w.sends); n < 2 || n > 4 {
		t.Errorf("%d sends after one answer, want 2 to 4", n)
	}
	for _, c := range []struct {
		name      string
		startedAt time.Duration
		warmingUp bool
	}{{"same start as in the cached list", 0, false}, {"restarted", time.Hour - time.Second, true}} {
		w := cachedListInstance()
		w.list(ListFull, Entry{Endpoint: 1, State: Ready, Weight: 1, StartedAt: c.startedAt})
		if got := w.b.isWarmingUp(w.b.endpointsByID[1]); got != c.warmingUp {
			t.Errorf("%s: warming up %v", c.name, got)
		}
		for range 10 {
			w.request(idempotentClass)
		}
		if sent := len(w.sends); !c.warmingUp && sent < 4 || c.warmingUp && sent > 1 {
			t.Errorf("%s: %d of ten requests were sent", c.name, sent)
		}
	}
}
