package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCordonIsRespected walks an instance through lists, cordons, requests and outcomes in any order. The oracle is two sets of
// endpoints, those that the lists have as ready and those that are cordoned: whatever is sent goes to one that is in the
// first and not in the second, and one that was uncordoned is warming up from then on.
func TestCordonIsRespected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestInstance(t, testSettings(), rapid.Uint64().Draw(rt, "seed"))
		ready, cordoned, back := map[EndpointID]bool{}, map[EndpointID]bool{}, map[EndpointID]time.Duration{}
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
			case 1: // a change
				state := rapid.SampledFrom([]Availability{Removed, Ready, Draining}).Draw(rt, "state")
				ready[id] = state == Ready
				w.list(ListDelta, Entry{Endpoint: id, State: state, Weight: 1})
			case 2:
				cordoned[id] = true
				w.event(Event{Kind: EventCordon, Endpoint: id, Cordoned: true})
			case 3:
				if cordoned[id] && ready[id] {
					back[id] = w.now
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
					rt.Fatalf("sent to %d: ready %v, cordoned %v", to, ready[to], cordoned[to])
				}
			}
			for id, at := range back {
				if endpoint := w.b.endpointsByID[id]; endpoint != nil && ready[id] && endpoint.StartedAt < at && w.now < at+w.b.settings.WarmupDuration {
					rt.Fatalf("%d was uncordoned at %v and counts as up since %v", id, at, endpoint.StartedAt)
				}
				if !ready[id] { // what is gone and listed anew is what the list says
					delete(back, id)
				}
			}
		}
	})
}

// TestUncordonedEndpointIsUsed: an endpoint that was in use before it was cordoned is sent something within 5 s of its return, warming
// up as it is, and no more than one that is warming up may get.
func TestUncordonedEndpointIsUsed(t *testing.T) {
	for seed := range uint64(20) {
		w := newTestInstance(t, testSettings(), seed)
		w.listReady(6)
		w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 30 * ms })
		w.event(Event{Kind: EventCordon, Endpoint: 3, Cordoned: true})
		w.serveCalls(50, idempotentClass, func(EndpointID) time.Duration { return 30 * ms })
		w.event(Event{Kind: EventCordon, Endpoint: 3, Cordoned: true}) // two calls out need one call back
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
			t.Errorf("seed %d: nothing was sent to the endpoint that was uncordoned", seed)
		}
	}
}
