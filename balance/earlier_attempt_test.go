package balance

import (
	"testing"
	"time"
)

// Guards against a second run of what an earlier request may have done, as a process that died or is succeeded knew it:
// such a request goes nowhere, or only where and for as long as its repeats are dropped, and is never called harmless.
func TestEarlierAttempt(t *testing.T) {
	all := testSettings()
	all.Classes[keyedClass].Scope = ScopeAll
	cases := []struct {
		name   string
		set    Settings
		class  int
		at     EndpointID
		ago    time.Duration
		sentTo []EndpointID
		answer ActionKind // where it goes nowhere
	}{
		{"safe", testSettings(), idempotentClass, 1, 10 * ms, []EndpointID{1, 2, 3, 4}, 0},
		{"unsafe", testSettings(), nonIdempotentClass, 1, 10 * ms, nil, ActFail},
		{"keyed, its cell", testSettings(), keyedClass, 1, 100 * ms, []EndpointID{1, 2}, 0},
		{"keyed, too late", testSettings(), keyedClass, 1, 600 * ms, nil, ActFail},
		{"keyed, an endpoint that is gone", testSettings(), keyedClass, 9, 100 * ms, nil, ActFail},
		{"keyed by all", all, keyedClass, 9, 100 * ms, []EndpointID{1, 2, 3, 4}, 0},
		{"keyed by all, too late", all, keyedClass, 1, 600 * ms, nil, ActFail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := map[EndpointID]bool{}
			for seed := range uint64(40) {
				w := newTestInstance(t, c.set, seed)
				w.listReady(4, 0, 0, 1, 1)
				w.advance(10 * ms)
				w.nextID++
				w.event(Event{Kind: EventRequest, Request: w.nextID, Class: c.class, Remaining: 900 * ms, Endpoint: c.at, EarlierAttemptAt: w.now - c.ago})
				for i := range w.sends {
					seen[w.sends[i].Endpoint] = true
				}
				if c.sentTo == nil && (len(w.sends) > 0 || w.answers[w.nextID].Kind != c.answer) {
					t.Fatalf("%d sends, answered at once with %v, want %v", len(w.sends), w.answers[w.nextID].Kind, c.answer)
				}
			}
			if len(seen) != len(c.sentTo) {
				t.Errorf("sent to %v, want %v", seen, c.sentTo)
			}
		})
	}
}
