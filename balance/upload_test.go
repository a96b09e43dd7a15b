package balance

import (
	"testing"
	"time"
)

// Guards against a body that takes its time being taken for a slow or unresponsive endpoint, for work, or for a late request: until
// its last byte has gone no time runs, and from then on all of it does.
func TestUploadingRequest(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(3)
	w.serveCalls(60, idempotentClass, func(EndpointID) time.Duration { return 20 * ms })
	n := len(w.sends)
	w.nextID++
	id := w.nextID
	w.event(Event{Kind: EventRequest, Request: id, Class: keyedClass, Remaining: time.Second, Uploading: true})
	w.advance(20 * time.Second)
	endpoint := w.b.endpointsByID[w.sends[n].Endpoint]
	if len(w.sends) != n+1 || w.answerCounts[id] != 0 || w.b.inFlight != 0 || !w.b.healthy(endpoint) || endpoint.ejectedUntil > 0 {
		t.Fatalf("after 20 s: %d sends, %d answers, %d in work, healthy %v", len(w.sends)-n, w.answerCounts[id], w.b.inFlight, w.b.healthy(endpoint))
	}
	w.event(Event{Kind: EventUploadDone, Request: id})
	if w.b.inFlight != 1 {
		t.Errorf("%d in flight once it is complete, want 1", w.b.inFlight)
	}
	from := w.now
	for w.answerCounts[id] == 0 && w.now < from+2*time.Second {
		w.advance(ms)
	}
	if at := w.now - from; w.answerCounts[id] != 1 || at < 300*ms || at > 400*ms || len(w.sends) != n+1 {
		t.Errorf("without an answer it ends %v after its last byte with %d sends; want just before its target latency, without a hedge", at, len(w.sends)-n)
	}
	if w.b.requests[id] != nil || w.b.inFlight != 0 {
		t.Errorf("%d are in work after it", w.b.inFlight)
	}
}

// Guards against an attempt that ends while its body still comes being counted as work, and one that never ran going
// nowhere else.
func TestUploadingRequestIsRetried(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(3)
	w.nextID++
	id := w.nextID
	w.event(Event{Kind: EventRequest, Request: id, Class: nonIdempotentClass, Remaining: time.Second, Uploading: true})
	w.advance(time.Second)
	w.endAttempt(0, Rejected, time.Second)
	if len(w.sends) != 2 || w.sends[1].Endpoint == w.sends[0].Endpoint || w.b.inFlight != 0 {
		t.Fatalf("after it was rejected: sends %+v, %d in work", w.sends, w.b.inFlight)
	}
	w.event(Event{Kind: EventOutcome, Request: id, Attempt: 1, Status: ConnectFailed, RetriedBelow: true})
	if w.answers[id].Kind != ActReject || w.b.inFlight != 0 || len(w.b.requests) != 0 {
		t.Errorf("with its body gone it ends with %+v", w.answers[id])
	}
}
