package balance

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSettingsChange walks an instance through changes of its settings, requests, outcomes and lists in any order. Whatever
// comes, each request ends once, keeps the effect that it came with, and never has more attempts than were allowed at its
// start or since; an unsafe one that may have run is not sent again.
func TestSettingsChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := testSettings()
		w := newTestInstance(t, set, rapid.Uint64().Draw(rt, "seed"))
		w.listReady(4)
		type expected struct {
			effect Idempotency
			most   int // sends that there may be yet
			sent   int
			mayRun bool
		}
		open, ended := map[RequestID]*expected{}, 0
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				set.Classes = slices.Clone(set.Classes)
				if len(set.Classes) < 6 && rapid.Bool().Draw(rt, "appears") {
					set.Classes = append(set.Classes, set.Classes[0])
				}
				i := rapid.IntRange(0, len(set.Classes)-1).Draw(rt, "changes")
				set.Classes[i].Idempotency = Idempotency(rapid.IntRange(0, 2).Draw(rt, "effect"))
				set.Classes[i].DedupWindow = 600 * ms
				set.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "attempts")
				set.Instances = rapid.IntRange(1, 3).Draw(rt, "instances")
				changed := set
				w.event(Event{Kind: EventSettings, Settings: &changed})
				for _, h := range open {
					h.most = min(h.most, max(0, set.MaxAttempts-h.sent))
				}
			case 1, 2:
				class := rapid.IntRange(0, len(set.Classes)-1).Draw(rt, "class")
				open[w.nextID+1] = &expected{effect: set.Classes[class].Idempotency, most: set.MaxAttempts}
				w.request(class)
			case 3, 4:
				if ended < len(w.sends) {
					status := rapid.SampledFrom([]Status{OK, Error, Rejected, ConnectFailed, Reset}).Draw(rt, "status")
					h := open[w.sends[ended].Request]
					h.mayRun = h.mayRun || status == Error || status == Reset
					w.endAttempt(ended, status, 20*ms)
					ended++
				}
			case 5:
				w.listReady(rapid.IntRange(1, 5).Draw(rt, "servers"))
			case 6:
				w.advance(ms * 100)
			}
			for _, h := range open {
				h.most, h.sent = h.most+h.sent, 0
			}
			n := map[RequestID]int{}
			for _, a := range w.sends {
				n[a.Request]++
			}
			for id, h := range open {
				if h.most -= n[id]; h.most < 0 {
					rt.Fatalf("request %d has had %d attempts, %d too many", id, n[id], -h.most)
				}
				h.sent = n[id]
				if request := w.b.requests[id]; request != nil && request.class.Idempotency != h.effect {
					rt.Fatalf("request %d has effect %d, came with %d", id, request.class.Idempotency, h.effect)
				}
				if h.effect == NonIdempotent && h.mayRun && n[id] > 0 && w.b.requests[id] != nil && !w.b.requests[id].done {
					rt.Fatalf("unsafe request %d goes on though it may have run", id)
				}
			}
		}
		w.advance(2 * set.Classes[0].Deadline)
		for id := range open {
			if got := w.answerCounts[id]; got != 1 && !w.served[id] || got > 1 {
				rt.Fatalf("request %d has %d answers", id, got)
			}
		}
	})
}

// Guards against a change of the settings that forgets what was learned of classes that stay.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	w := learnedInstance(t, 1)
	before := w.b.LearnedState()
	set := testSettings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.MaxAttempts = 2
	w.event(Event{Kind: EventSettings, Settings: &set})
	after := w.b.LearnedState()
	if after.Limit != before.Limit || len(after.Classes) != 4 || after.Classes[0].Latency != before.Classes[0].Latency ||
		after.Detector.Latencies[1] != before.Detector.Latencies[1] || after.Endpoints[0].Latency != before.Endpoints[0].Latency {
		t.Errorf("before\n%+v\nafter\n%+v", before, after)
	}
	id := w.request(3)
	if w.attemptCounts[id] != 1 {
		t.Errorf("a request of the class that appeared was sent %d times at once", w.attemptCounts[id])
	}
}

// Guards against an upgrade that doubles what a sidecar may send: two processes of it have half of the limit each, a
// warming endpoint's trickle is shared, and what is left alone has all of the limit again.
func TestProcessesShareLimit(t *testing.T) {
	w := learnedInstance(t, 1)
	limit, users := w.b.limit, w.b.instancesPerEndpoint
	set := testSettings()
	set.Processes = 2
	w.event(Event{Kind: EventSettings, Settings: &set})
	if w.b.limit != limit/2 || w.b.instancesPerEndpoint != 2*users {
		t.Errorf("beside another the limit is %v of %v, and %v use an endpoint of %v", w.b.limit, limit, w.b.instancesPerEndpoint, users)
	}
	next := newTestInstance(t, set, 2)
	next.now = w.now
	next.listReady(5)
	next.b.Restore(next.now, w.b.LearnedState())
	if both := w.b.limit + next.b.limit; both != limit {
		t.Errorf("both together have %v, want the %v of one", both, limit)
	}
	alone := testSettings()
	next.event(Event{Kind: EventSettings, Settings: &alone})
	if next.b.limit != limit {
		t.Errorf("alone the successor has %v, want %v", next.b.limit, limit)
	}
}
