package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCordonIsRespected drives an instance with lists, cordons, requests and outcomes in random order. The model is two
// sets of endpoints, those listed as ready and those cordoned: every request must be sent to an endpoint in the first
// set and not in the second, and an uncordoned endpoint must warm up from the time of its uncordoning.
func TestCordonIsRespected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestInstance(t, testSettings(), rapid.Uint64().Draw(rt, "seed"))
		ready, cordoned, uncordonedAt := map[EndpointID]bool{}, map[EndpointID]bool{}, map[EndpointID]time.Duration{}
		seen, ended := 0, 0
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			id := EndpointID(rapid.IntRange(1, 4).Draw(rt, "endpoint"))
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0: // a full list
				clear(ready)
				var entries []Entry
				for id := EndpointID(1); id <= 4; id++ {
					if rapid.Bool().Draw(rt, "ready") {
						ready[id] = true
						entries = append(entries, Entry{Endpoint: id, State: Ready, Weight: 1})
					}
				}
				w.list(ListFull, entries...)
			case 1: // a delta list
				state := rapid.SampledFrom([]Availability{Removed, Ready, Draining}).Draw(rt, "state")
				ready[id] = state == Ready
				w.list(ListDelta, Entry{Endpoint: id, State: state, Weight: 1})
			case 2:
				cordoned[id] = true
				w.event(Event{Kind: EventCordon, Endpoint: id, Cordoned: true})
			case 3:
				if cordoned[id] && ready[id] {
					uncordonedAt[id] = w.now
				}
				delete(cordoned, id)
				w.event(Event{Kind: EventCordon, Endpoint: id})
			case 4:
				if ended < len(w.sends) {
					w.endAttempt(ended, rapid.SampledFrom([]Status{OK, Error, Rejected, ConnectFailed, Reset, Timeout}).Draw(rt, "status"), 20*ms)
					ended++
				}
			case 5, 6:
				w.request(rapid.IntRange(idempotentClass, nonIdempotentClass).Draw(rt, "class"))
			case 7:
				w.advance(time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms")) * ms)
			}
			for ; seen < len(w.sends); seen++ {
				if to := w.sends[seen].Endpoint; !ready[to] || cordoned[to] {
					rt.Fatalf("request sent to endpoint %d: ready %v, cordoned %v", to, ready[to], cordoned[to])
				}
			}
			for id, at := range uncordonedAt {
				if endpoint := w.b.endpointsByID[id]; endpoint != nil && ready[id] && endpoint.StartedAt < at && w.now < at+w.b.settings.WarmupDuration {
					rt.Fatalf("endpoint %d was uncordoned at %v and counts as started at %v", id, at, endpoint.StartedAt)
				}
				if !ready[id] { // after its removal, an endpoint that is listed again has the listed start
					delete(uncordonedAt, id)
				}
			}
		}
	})
}

// Guards against an endpoint that gets no requests after it was uncordoned: although it is warming up, it must get one
// within 5 s.
func TestUncordonedEndpointIsUsed(t *testing.T) {
	for seed := range uint64(20) {
		w := newTestInstance(t, testSettings(), seed)
		w.listReady(6)
		w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 30 * ms })
		w.event(Event{Kind: EventCordon, Endpoint: 3, Cordoned: true})
		w.serveCalls(50, idempotentClass, func(EndpointID) time.Duration { return 30 * ms })
		w.event(Event{Kind: EventCordon, Endpoint: 3, Cordoned: true}) // cordoning twice needs only one uncordoning
		w.event(Event{Kind: EventCordon, Endpoint: 3})
		from, n := w.now, 0
		for sent := len(w.sends); w.now < from+5*time.Second; sent = len(w.sends) {
			w.serveCalls(1, idempotentClass, func(EndpointID) time.Duration { return 30 * ms })
			for _, a := range w.sends[sent:] {
				if a.Endpoint == 3 {
					n++
				}
			}
		}
		if n == 0 {
			t.Errorf("seed %d: nothing was sent to the uncordoned endpoint", seed)
		}
	}
}
