package balance

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSettingsChange drives an instance with changes of its settings, requests, outcomes and lists in random order.
// Each request must end exactly once, keep the idempotency that its class had at its arrival, and never make more
// attempts than the settings have allowed since then. A non-idempotent request that may have run must not be sent
// again.
func TestSettingsChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		w := newTestInstance(t, settings, rapid.Uint64().Draw(rt, "seed"))
		w.listReady(4)
		type expected struct {
			idempotency    Idempotency
			remainingSends int // remaining number of allowed sends
			sent           int
			mayHaveRun     bool
		}
		open, ended := map[RequestID]*expected{}, 0
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				settings.Classes = slices.Clone(settings.Classes)
				if len(settings.Classes) < 6 && rapid.Bool().Draw(rt, "add class") {
					settings.Classes = append(settings.Classes, settings.Classes[0])
				}
				i := rapid.IntRange(0, len(settings.Classes)-1).Draw(rt, "changed class")
				settings.Classes[i].Idempotency = Idempotency(rapid.IntRange(0, 2).Draw(rt, "idempotency"))
				settings.Classes[i].DedupWindow = 600 * ms
				settings.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "max attempts")
				settings.Instances = rapid.IntRange(1, 3).Draw(rt, "instances")
				changed := settings
				w.event(Event{Kind: EventSettings, Settings: &changed})
				for _, h := range open {
					h.remainingSends = min(h.remainingSends, max(0, settings.MaxAttempts-h.sent))
				}
			case 1, 2:
				class := rapid.IntRange(0, len(settings.Classes)-1).Draw(rt, "class")
				open[w.nextID+1] = &expected{idempotency: settings.Classes[class].Idempotency, remainingSends: settings.MaxAttempts}
				w.request(class)
			case 3, 4:
				if ended < len(w.sends) {
					status := rapid.SampledFrom([]Status{OK, Error, Rejected, ConnectFailed, Reset}).Draw(rt, "status")
					h := open[w.sends[ended].Request]
					h.mayHaveRun = h.mayHaveRun || status == Error || status == Reset
					w.endAttempt(ended, status, 20*ms)
					ended++
				}
			case 5:
				w.listReady(rapid.IntRange(1, 5).Draw(rt, "endpoints"))
			case 6:
				w.advance(ms * 100)
			}
			for _, h := range open {
				h.remainingSends, h.sent = h.remainingSends+h.sent, 0
			}
			n := map[RequestID]int{}
			for _, a := range w.sends {
				n[a.Request]++
			}
			for id, h := range open {
				if h.remainingSends -= n[id]; h.remainingSends < 0 {
					rt.Fatalf("request %d has made %d attempts, %d too many", id, n[id], -h.remainingSends)
				}
				h.sent = n[id]
				if request := w.b.requests[id]; request != nil && request.class.Idempotency != h.idempotency {
					rt.Fatalf("request %d has idempotency %d, had %d at its arrival", id, request.class.Idempotency, h.idempotency)
				}
				if h.idempotency == NonIdempotent && h.mayHaveRun && n[id] > 0 && w.b.requests[id] != nil && !w.b.requests[id].done {
					rt.Fatalf("non-idempotent request %d is not done although it may have run", id)
				}
			}
		}
		w.advance(2 * settings.Classes[0].Deadline)
		for id := range open {
			if got := w.answerCounts[id]; got != 1 && !w.served[id] || got > 1 {
				rt.Fatalf("request %d has %d answers", id, got)
			}
		}
	})
}

// Guards against a change of the settings that discards the learned state of existing classes.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	w := learnedInstance(t, 1)
	before := w.b.LearnedState()
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.MaxAttempts = 2
	w.event(Event{Kind: EventSettings, Settings: &settings})
	after := w.b.LearnedState()
	if after.Limit != before.Limit || len(after.Classes) != 4 || after.Classes[0].Latency != before.Classes[0].Latency ||
		after.Detector.Latencies[1] != before.Detector.Latencies[1] || after.Endpoints[0].Latency != before.Endpoints[0].Latency {
		t.Errorf("before\n%+v\nafter\n%+v", before, after)
	}
	id := w.request(3)
	if w.attemptCounts[id] != 1 {
		t.Errorf("a request of the new class was sent %d times on arrival, want 1", w.attemptCounts[id])
	}
}

// Guards against an upgrade that doubles the load of a sidecar: its two processes must have half of the limit each and
// share the trickle to warming endpoints, and the remaining process must have the whole limit again.
func TestProcessesShareLimit(t *testing.T) {
	w := learnedInstance(t, 1)
	limit, previousInstances := w.b.limit, w.b.instancesPerEndpoint
	settings := testSettings()
	settings.Processes = 2
	w.event(Event{Kind: EventSettings, Settings: &settings})
	if w.b.limit != limit/2 || w.b.instancesPerEndpoint != 2*previousInstances {
		t.Errorf("with two processes the limit is %v, was %v, and processes per endpoint are %v, were %v", w.b.limit, limit, w.b.instancesPerEndpoint, previousInstances)
	}
	successor := newTestInstance(t, settings, 2)
	successor.now = w.now
	successor.listReady(5)
	successor.b.Restore(successor.now, w.b.LearnedState())
	if total := w.b.limit + successor.b.limit; total != limit {
		t.Errorf("the limits of both processes add up to %v, want %v", total, limit)
	}
	singleProcess := testSettings()
	successor.event(Event{Kind: EventSettings, Settings: &singleProcess})
	if successor.b.limit != limit {
		t.Errorf("alone, the successor has a limit of %v, want %v", successor.b.limit, limit)
	}
}
