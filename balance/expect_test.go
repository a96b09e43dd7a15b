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
		w.event(Event{Kind: EventExpect, In: c.in})
		id := w.request(safeClass)
		a, refused := w.answer[id]
		if refused != c.at {
			t.Errorf("%s: refused at once: %v", c.name, refused)
		}
		if c.at && (a.Kind != ActRefuse || a.After < c.advice || a.After > c.advice+100*ms || a.After > 500*ms) {
			t.Errorf("%s: %+v", c.name, a)
		}
		w.run(2 * time.Second)
		if c.servers == 0 && w.answers[id] != 1 {
			t.Errorf("%s: %d answers", c.name, w.answers[id])
		}
	}
}
