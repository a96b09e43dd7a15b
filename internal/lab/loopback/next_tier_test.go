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

// stub is the next tier in a test's hands.
type stub struct {
	asked chan clientRequest
	reply chan trace.Status
	gone  chan struct{} // a call was called off
}

func (s *stand) stub(box int) *stub {
	u := &stub{make(chan clientRequest, 10), make(chan trace.Status, 10), make(chan struct{}, 10)}
	s.endpoints[box].send = func(ctx context.Context, q clientRequest) trace.ClientAttempt {
		u.asked <- q
		t := q.attempt
		select {
		case t.Status = <-u.reply:
		case <-ctx.Done():
			t.Status = trace.StatusCanceled
			u.gone <- struct{}{}
		}
		return t
	}
	return u
}

func TestBoxCallsTheNextTier(t *testing.T) {
	s := newStand(t, standClasses+twoTiers)
	u := s.stub(0)
	q := s.next("keyed")
	q.timeout = 10 * time.Second
	c := s.dial(0)
	s.ask(c, q)
	lefts := 10 * time.Second
	for call := range 2 {
		got := <-u.asked
		switch {
		case got.attempt.TransactionID != s.plan.CallTxn(q.attempt.TransactionID, 0, 0, call), got.attempt.Request != q.attempt.Request, got.attempt.Class != q.attempt.Class:
			t.Errorf("call %d is another's: %+v", call, got.attempt)
		case got.attempt.Tier != 1 || s.plan.Sidecars[got.attempt.Sidecar].Box != 0 || got.directEndpoint != -1:
			t.Errorf("call %d goes elsewhere: %+v", call, got)
		case got.idempotencyKey != q.idempotencyKey:
			t.Errorf("call %d has key %x, not %x", call, got.idempotencyKey, q.idempotencyKey)
		case got.timeout >= lefts || got.timeout <= 0:
			t.Errorf("call %d may take %v, after %v", call, got.timeout, lefts)
		}
		lefts = got.timeout

		// The next tier knows it now.
		inner := s.dial(1)
		s.ask(inner, got)
		inner.expect(http.StatusOK)
		u.reply <- trace.StatusServed
	}
	c.expect(http.StatusOK)
	s.visit(q.attempt.TransactionID)
	s.recorder.mu.Lock()
	if n := len(s.recorder.log.ClientAttempts); n != 2 {
		t.Errorf("%d calls are noted", n)
	}
	s.recorder.mu.Unlock()

	stranger := s.next("keyed")
	inner := s.dial(1)
	s.ask(inner, stranger) // nobody has called with this id
	inner.expect(http.StatusBadRequest)
}

func TestBoxFailsWithItsCall(t *testing.T) {
	s := newStand(t, standClasses+twoTiers)
	u := s.stub(0)
	u.reply <- trace.StatusRejected
	c, q := s.dial(0), s.next("quick")
	s.ask(c, q)
	c.expect(http.StatusInternalServerError)
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeError || v.Work <= 0 {
		t.Errorf("the visit is %+v", v)
	}
	if len(u.asked) != 1 {
		t.Errorf("%d calls were made", len(u.asked))
	}
}

// Where its caller leaves, a box calls its own call off; where the deadline isn't passed on, the whole of it
// is left for each call.
func TestBoxCallsOff(t *testing.T) {
	s := newStand(t, standClasses+twoTiers+"[rules]\npasses_deadline = false\n")
	u := s.stub(0)
	c, q := s.dial(0), s.next("quick")
	q.timeout = time.Second
	s.ask(c, q)
	if got := <-u.asked; got.timeout != 30*time.Second {
		t.Errorf("%v are left for the call", got.timeout)
	}
	c.Close()
	<-u.gone
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeCanceled {
		t.Errorf("the visit is %+v", v)
	}
}

// Without sidecars, with the callers as they are.
func TestBoxesInARow(t *testing.T) {
	s := newStand(t, standClasses+twoTiers+"[fleet]\npolicy = \"plain\"\n")
	q := s.next("quick")
	q.directEndpoint, q.attempt.Sidecar, q.cancelAt = 0, -1, 1<<62
	try := s.transport.roundTrip(t.Context(), q)
	if try.Status != trace.StatusServed || try.Endpoint != 0 || try.Forged {
		t.Errorf("the try is %+v", try)
	}
	s.visit(q.attempt.TransactionID)
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	boxes := map[int]bool{}
	for _, try := range s.recorder.log.ClientAttempts {
		if try.Status != trace.StatusServed || try.Tier != 1 {
			t.Errorf("a call is %+v", try)
		}
		boxes[try.Endpoint] = true
	}
	if len(boxes) != 2 {
		t.Errorf("calls went to %v, not to both in turn", boxes)
	}
}
