package balance

import (
	"testing"
	"time"
)

// Guards against a second effect of a request that an earlier process may have sent before it crashed or was replaced.
// Unless it is idempotent, such a request is only sent to endpoints that recognise it as a duplicate, within the
// deduplication window. If it can't be sent, it fails rather than being rejected, because a retry by the client is
// not safe.
func TestEarlierAttempt(t *testing.T) {
	all := testSettings()
	all.Classes[keyedClass].Scope = ScopeAll
	cases := []struct {
		name            string
		settings        Settings
		class           int
		earlierEndpoint EndpointID
		age             time.Duration
		sentTo          []EndpointID
		answer          ActionKind // if it is not sent
	}{
		{"idempotent", testSettings(), idempotentClass, 1, 10 * ms, []EndpointID{1, 2, 3, 4}, 0},
		{"non-idempotent", testSettings(), nonIdempotentClass, 1, 10 * ms, nil, ActFail},
		{"keyed, same cell", testSettings(), keyedClass, 1, 100 * ms, []EndpointID{1, 2}, 0},
		{"keyed, after the window", testSettings(), keyedClass, 1, 600 * ms, nil, ActFail},
		{"keyed, removed endpoint", testSettings(), keyedClass, 9, 100 * ms, nil, ActFail},
		{"keyed with scope all", all, keyedClass, 9, 100 * ms, []EndpointID{1, 2, 3, 4}, 0},
		{"keyed with scope all, after the window", all, keyedClass, 1, 600 * ms, nil, ActFail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := map[EndpointID]bool{}
			for seed := range uint64(40) {
				w := newTestInstance(t, c.settings, seed)
				w.listReady(4, 0, 0, 1, 1)
				w.advance(10 * ms)
				w.nextID++
				w.event(Event{Kind: EventRequest, Request: w.nextID, Class: c.class, Remaining: 900 * ms, Endpoint: c.earlierEndpoint, EarlierAttemptAt: w.now - c.age})
				for i := range w.sends {
					seen[w.sends[i].Endpoint] = true
				}
				if c.sentTo == nil && (len(w.sends) > 0 || w.answers[w.nextID].Kind != c.answer) {
					t.Fatalf("%d sends, answered on arrival with action %v, want no send and action %v", len(w.sends), w.answers[w.nextID].Kind, c.answer)
				}
			}
			if len(seen) != len(c.sentTo) {
				t.Errorf("sent to %v, want %v", seen, c.sentTo)
			}
		})
	}
}
