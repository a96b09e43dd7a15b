package balance

import (
	"testing"
	"time"
)

// Guards against a body that takes its time being taken for a slow or silent host, for work, or for a late request: until
// its last byte has gone no time runs, and from then on the whole of it does.
func TestComingRequest(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(3)
	w.serve(60, safeClass, func(EndpointID) time.Duration { return 20 * ms })
	n := len(w.sends)
	w.nextID++
	id := w.nextID
	w.event(Event{Kind: EventRequest, Request: id, Class: keyedClass, Remaining: time.Second, Uploading: true})
	w.run(20 * time.Second)
	endpoint := w.b.endpointsByID[w.sends[n].Endpoint]
	if len(w.sends) != n+1 || w.answers[id] != 0 || w.b.inFlight != 0 || !w.b.healthy(endpoint) || endpoint.ejectedUntil > 0 {
		t.Fatalf("after 20 s: %d sends, %d answers, %d in work, healthy %v", len(w.sends)-n, w.answers[id], w.b.inFlight, w.b.healthy(endpoint))
	}
	w.event(Event{Kind: EventUploadDone, Request: id})
	if w.b.inFlight != 1 {
		t.Errorf("%d in work once it is whole, want 1", w.b.inFlight)
	}
	from := w.now
	for w.answers[id] == 0 && w.now < from+2*time.Second {
		w.run(ms)
	}
	if at := w.now - from; w.answers[id] != 1 || at < 300*ms || at > 400*ms || len(w.sends) != n+1 {
		t.Errorf("without an answer it ends %v after its last byte with %d sends; want just before its aim, without a copy", at, len(w.sends)-n)
	}
	if w.b.requests[id] != nil || w.b.inFlight != 0 {
		t.Errorf("%d are in work after it", w.b.inFlight)
	}
}

// Guards against an attempt that ends while its body still comes being counted as work, and one that never ran going
// nowhere else.
func TestComingRequestGoesElsewhere(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(3)
	w.nextID++
	id := w.nextID
	w.event(Event{Kind: EventRequest, Request: id, Class: unsafeClass, Remaining: time.Second, Uploading: true})
	w.run(time.Second)
	w.end(0, Rejected, time.Second)
	if len(w.sends) != 2 || w.sends[1].Endpoint == w.sends[0].Endpoint || w.b.inFlight != 0 {
		t.Fatalf("after it was turned away: sends %+v, %d in work", w.sends, w.b.inFlight)
	}
	w.event(Event{Kind: EventOutcome, Request: id, Attempt: 1, Status: ConnectFailed, RetriedBelow: true})
	if w.answer[id].Kind != ActReject || w.b.inFlight != 0 || len(w.b.requests) != 0 {
		t.Errorf("with its body gone it ends with %+v", w.answer[id])
	}
}
