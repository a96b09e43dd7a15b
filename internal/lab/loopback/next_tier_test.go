package loopback

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

const twoTiers = `
[[tier]]
name = "t"
calls = 2
[[tier.kind]]
[[tier]]
name = "u"
[[tier.kind]]
boxes = 2
`

// nextTierStub is the next tier under the control of a test.
type nextTierStub struct {
	requests chan clientRequest
	reply    chan trace.Status
	canceled chan struct{} // a call was canceled
}

func (s *fixture) stubNextTier(endpoint int) *nextTierStub {
	u := &nextTierStub{make(chan clientRequest, 10), make(chan trace.Status, 10), make(chan struct{}, 10)}
	s.endpoints[endpoint].send = func(ctx context.Context, q clientRequest) trace.ClientAttempt {
		u.requests <- q
		t := q.attempt
		select {
		case t.Status = <-u.reply:
		case <-ctx.Done():
			t.Status = trace.StatusCanceled
			u.canceled <- struct{}{}
		}
		return t
	}
	return u
}

func TestEndpointCallsNextTier(t *testing.T) {
	s := newFixture(t, fixtureClasses+twoTiers)
	u := s.stubNextTier(0)
	q := s.nextRequest("keyed")
	q.timeout = 10 * time.Second
	c := s.dial(0)
	s.send(c, q)
	remaining := 10 * time.Second
	for call := range 2 {
		got := <-u.requests
		switch {
		case got.attempt.TransactionID != s.plan.CallTransactionID(q.attempt.TransactionID, 0, 0, call), got.attempt.Request != q.attempt.Request, got.attempt.Class != q.attempt.Class:
			t.Errorf("call %d is another's: %+v", call, got.attempt)
		case got.attempt.Tier != 1 || s.plan.Sidecars[got.attempt.Sidecar].Endpoint != 0 || got.directEndpoint != -1:
			t.Errorf("call %d goes elsewhere: %+v", call, got)
		case got.idempotencyKey != q.idempotencyKey:
			t.Errorf("call %d has key %x, not %x", call, got.idempotencyKey, q.idempotencyKey)
		case got.timeout >= remaining || got.timeout <= 0:
			t.Errorf("call %d may take %v, after %v", call, got.timeout, remaining)
		}
		remaining = got.timeout

		// The next tier knows it now.
		inner := s.dial(1)
		s.send(inner, got)
		inner.expectStatus(http.StatusOK)
		u.reply <- trace.StatusServed
	}
	c.expectStatus(http.StatusOK)
	s.endpointRequest(q.attempt.TransactionID)
	s.recorder.mu.Lock()
	if n := len(s.recorder.log.ClientAttempts); n != 2 {
		t.Errorf("%d calls are noted", n)
	}
	s.recorder.mu.Unlock()

	stranger := s.nextRequest("keyed")
	inner := s.dial(1)
	s.send(inner, stranger) // no call has this id
	inner.expectStatus(http.StatusBadRequest)
}

func TestEndpointFailsWithItsCall(t *testing.T) {
	s := newFixture(t, fixtureClasses+twoTiers)
	u := s.stubNextTier(0)
	u.reply <- trace.StatusRejected
	c, q := s.dial(0), s.nextRequest("quick")
	s.send(c, q)
	c.expectStatus(http.StatusInternalServerError)
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeError || v.Work <= 0 {
		t.Errorf("the request is %+v", v)
	}
	if len(u.requests) != 1 {
		t.Errorf("%d calls were made", len(u.requests))
	}
}

// TestEndpointCancelsItsCall checks that an endpoint cancels its own call when its client disconnects, and that each call has the whole
// deadline where endpoints do not propagate it.
func TestEndpointCancelsItsCall(t *testing.T) {
	s := newFixture(t, fixtureClasses+twoTiers+"[rules]\npasses_deadline = false\n")
	u := s.stubNextTier(0)
	c, q := s.dial(0), s.nextRequest("quick")
	q.timeout = time.Second
	s.send(c, q)
	if got := <-u.requests; got.timeout != 30*time.Second {
		t.Errorf("%v are left for the call", got.timeout)
	}
	c.Close()
	<-u.canceled
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeCanceled {
		t.Errorf("the request is %+v", v)
	}
}

// TestTiersWithoutSidecars plays two tiers of endpoints without sidecars, with the real transport.
func TestTiersWithoutSidecars(t *testing.T) {
	s := newFixture(t, fixtureClasses+twoTiers+"[fleet]\npolicy = \"plain\"\n")
	q := s.nextRequest("quick")
	q.directEndpoint, q.attempt.Sidecar, q.cancelAt = 0, -1, 1<<62
	attempt := s.transport.roundTrip(t.Context(), q)
	if attempt.Status != trace.StatusServed || attempt.Endpoint != 0 || attempt.Forged {
		t.Errorf("the attempt is %+v", attempt)
	}
	s.endpointRequest(q.attempt.TransactionID)
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	boxes := map[int]bool{}
	for _, attempt := range s.recorder.log.ClientAttempts {
		if attempt.Status != trace.StatusServed || attempt.Tier != 1 {
			t.Errorf("a call is %+v", attempt)
		}
		boxes[attempt.Endpoint] = true
	}
	if len(boxes) != 2 {
		t.Errorf("calls went to %v, not to both in turn", boxes)
	}
}
