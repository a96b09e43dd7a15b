package balance

import (
	"testing"
	"time"
)

// Without any host, and with a list that can't come in time, a request is refused at once and told when to come again;
// where the list may come in time it is held, and where hosts are listed nothing changes.
func TestNobodyYet(t *testing.T) {
	for _, c := range []struct {
		name    string
		in      time.Duration // of the list
		servers int
		at      bool // refused at once
		advice  time.Duration
	}{
		{"a list in 300 ms", 300 * ms, 0, true, 300 * ms},
		{"one in a minute", time.Minute, 0, true, 500 * ms}, // the site's most
		{"one in time", 5 * ms, 0, false, 0},
		{"hosts are listed", time.Minute, 1, false, 0},
	} {
		w := newWorld(t, testSettings(), 1)
		w.servers(c.servers)
		w.event(Event{Kind: EventListExpected, ExpectedIn: c.in})
		id := w.request(safeClass)
		a, refused := w.answer[id]
		if refused != c.at {
			t.Errorf("%s: refused at once: %v", c.name, refused)
		}
		if c.at && (a.Kind != ActReject || a.After < c.advice || a.After > c.advice+100*ms || a.After > 500*ms) {
			t.Errorf("%s: %+v", c.name, a)
		}
		w.run(2 * time.Second)
		if c.servers == 0 && w.answers[id] != 1 {
			t.Errorf("%s: %d answers", c.name, w.answers[id])
		}
	}
}

// Of an old list: the hosts count as cold, one send goes out at once and the rest is earned; a list of the present that tells
// the same start makes them as old as they are, one that tells a later start makes them cold by that.
func TestOldList(t *testing.T) {
	s := testSettings()
	s.Instances = 2
	guess := func() *world {
		w := newWorld(t, s, 1)
		var es []Entry
		for id := EndpointID(1); id <= 4; id++ {
			es = append(es, Entry{Endpoint: id, State: Ready, Weight: 1, Cached: true})
		}
		w.list(ListCached, es...)
		return w
	}
	w := guess()
	for range 10 {
		w.request(safeClass)
	}
	if len(w.sends) != 1 {
		t.Errorf("%d of ten requests went out at once to hosts of an old list, want 1", len(w.sends))
	}
	w.end(0, OK, 20*ms)
	w.run(100 * ms)
	if n := len(w.sends); n < 2 || n > 4 {
		t.Errorf("%d sends after one answer: the rest is to be earned", n)
	}
	for _, c := range []struct {
		name string
		up   time.Duration
		cold bool
	}{{"as was guessed", 0, false}, {"started since", time.Hour - time.Second, true}} {
		w := guess()
		w.list(ListFull, Entry{Endpoint: 1, State: Ready, Weight: 1, StartedAt: c.up})
		if got := w.b.isWarmingUp(w.b.endpointsByID[1]); got != c.cold {
			t.Errorf("%s: cold %v", c.name, got)
		}
		for range 10 {
			w.request(safeClass)
		}
		if sent := len(w.sends); !c.cold && sent < 4 || c.cold && sent > 1 {
			t.Errorf("%s: %d of ten requests went out", c.name, sent)
		}
	}
}
