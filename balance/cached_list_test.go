package balance

import (
	"testing"
	"time"
)

// Without any endpoint, and with a list that can't come in time, a request is rejected at once with a retry hint;
// where the list may come in time it is queued, and where endpoints are listed nothing changes.
func TestNoEndpointsYet(t *testing.T) {
	for _, c := range []struct {
		name    string
		in      time.Duration // of the list
		servers int
		at      bool // rejected at once
		advice  time.Duration
	}{
		{"a list in 300 ms", 300 * ms, 0, true, 300 * ms},
		{"one in a minute", time.Minute, 0, true, 500 * ms}, // the site's most
		{"one in time", 5 * ms, 0, false, 0},
		{"endpoints are listed", time.Minute, 1, false, 0},
	} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(c.servers)
		w.event(Event{Kind: EventListExpected, ExpectedIn: c.in})
		id := w.request(idempotentClass)
		a, rejected := w.answers[id]
		if rejected != c.at {
			t.Errorf("%s: rejected at once: %v", c.name, rejected)
		}
		if c.at && (a.Kind != ActReject || a.After < c.advice || a.After > c.advice+100*ms || a.After > 500*ms) {
			t.Errorf("%s: %+v", c.name, a)
		}
		w.advance(2 * time.Second)
		if c.servers == 0 && w.answerCounts[id] != 1 {
			t.Errorf("%s: %d answers", c.name, w.answerCounts[id])
		}
	}
}

// Of a cached list: the endpoints count as warming up, one request goes out at once and the rest is earned; a fresh list that says
// the same start makes them as old as they are, one with a later start makes them warm up from that.
func TestCachedList(t *testing.T) {
	s := testSettings()
	s.Instances = 2
	guess := func() *testInstance {
		w := newTestInstance(t, s, 1)
		var entries []Entry
		for id := EndpointID(1); id <= 4; id++ {
			entries = append(entries, Entry{Endpoint: id, State: Ready, Weight: 1, Cached: true})
		}
		w.list(ListCached, entries...)
		return w
	}
	w := guess()
	for range 10 {
		w.request(idempotentClass)
	}
	if len(w.sends) != 1 {
		t.Errorf("%d of ten requests went out at once to endpoints of a cached list, want 1", len(w.sends))
	}
	w.endAttempt(0, OK, 20*ms)
	w.advance(100 * ms)
	if n := len(w.sends); n < 2 || n > 4 {
		t.Errorf("%d sends after one answer: the rest is to be earned", n)
	}
	for _, c := range []struct {
		name      string
		up        time.Duration
		warmingUp bool
	}{{"as was guessed", 0, false}, {"started since", time.Hour - time.Second, true}} {
		w := guess()
		w.list(ListFull, Entry{Endpoint: 1, State: Ready, Weight: 1, StartedAt: c.up})
		if got := w.b.isWarmingUp(w.b.endpointsByID[1]); got != c.warmingUp {
			t.Errorf("%s: warming up %v", c.name, got)
		}
		for range 10 {
			w.request(idempotentClass)
		}
		if sent := len(w.sends); !c.warmingUp && sent < 4 || c.warmingUp && sent > 1 {
			t.Errorf("%s: %d of ten requests went out", c.name, sent)
		}
	}
}
