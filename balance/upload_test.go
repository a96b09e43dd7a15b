package balance

import (
	"testing"
	"time"
)

// Guards against a slow upload that counts as a slow or unresponsive endpoint, as a request in flight, or as a late
// request: the time of the request and of its attempt starts when its last byte has been forwarded.
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
		t.Fatalf("after 20 s: %d sends, %d answers, %d in flight, healthy %v", len(w.sends)-n, w.answerCounts[id], w.b.inFlight, w.b.healthy(endpoint))
	}
	w.event(Event{Kind: EventUploadDone, Request: id})
	if w.b.inFlight != 1 {
		t.Errorf("%d in flight after the upload, want 1", w.b.inFlight)
	}
	from := w.now
	for w.answerCounts[id] == 0 && w.now < from+2*time.Second {
		w.advance(ms)
	}
	if at := w.now - from; w.answerCounts[id] != 1 || at < 300*ms || at > 400*ms || len(w.sends) != n+1 {
		t.Errorf("unanswered request ended %v after its last byte with %d sends; want just before its target latency, without a hedge", at, len(w.sends)-n)
	}
	if w.b.requests[id] != nil || w.b.inFlight != 0 {
		t.Errorf("%d in flight after the end of the request", w.b.inFlight)
	}
}

// Guards against an attempt that ends during its upload and counts as in flight, and against an upload that is not
// retried although its first attempt cannot have run.
func TestUploadingRequestIsRetried(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(3)
	w.nextID++
	id := w.nextID
	w.event(Event{Kind: EventRequest, Request: id, Class: nonIdempotentClass, Remaining: time.Second, Uploading: true})
	w.advance(time.Second)
	w.endAttempt(0, Rejected, time.Second)
	if len(w.sends) != 2 || w.sends[1].Endpoint == w.sends[0].Endpoint || w.b.inFlight != 0 {
		t.Fatalf("after a rejection: sends %+v, %d in flight", w.sends, w.b.inFlight)
	}
	w.event(Event{Kind: EventOutcome, Request: id, Attempt: 1, Status: ConnectFailed, RetriedBelow: true})
	if w.answers[id].Kind != ActReject || w.b.inFlight != 0 || len(w.b.requests) != 0 {
		t.Errorf("after the next tier's retries the request ended with %+v", w.answers[id])
	}
}
