package stream

import (
	"io"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/driver"
)

// Outcome is how a stream ended.
type Outcome uint8

// The outcomes.
const (
	Served           Outcome = iota
	RejectedLocally          // a local reply: a retry is harmless
	Failed                   // the request may have taken effect
	DeadlineExceeded         // failed, for its time is up
	ClientGone               // the client has disconnected; nobody waits for an answer
	InvalidRequest           // an endpoint rejects the request itself as invalid
	Duplicate                // a request of the same id is in flight
	Oneway                   // sent completely, and by its kind it gets no answer; it may have run
	LoopDetected             // it has come through this service before
	BodyIncomplete           // the client did not send all of its body
)

// Response is a stream's final answer.
type Response struct {
	Outcome    Outcome
	MediaType  string
	Body       []byte // Served: the answer; InvalidRequest: the endpoint's own error text, where it is to be passed on
	Rest       Rest   // Served: what follows Body and still comes; nil: nothing does. Whoever has the response closes it
	Length     int64  // with Rest: bytes of both; below 0: not stated
	RetryAfter time.Duration
	Report     budget.AttemptReport // extra attempts that it took here and below, for the tier above
	Loop       string               // LoopDetected: the services that it has come through
}

// Rest is the part of an answer that is passed on as it comes.
type Rest interface {
	// Read reads more of it. It ends with io.EOF where the answer is complete; any other error has cut it off.
	io.Reader
	// Interrupt makes Read return at once, and for good. Any goroutine may call it.
	Interrupt()
	// Close releases it, complete or not.
	Close()
}

// discard closes a response that nobody takes.
func (r *Response) discard() {
	if r.Rest != nil {
		r.Rest.Close()
	}
}

// discardPending discards an answer that came too late for its stream.
func discardPending(answers <-chan Response) {
	select {
	case res := <-answers:
		res.discard()
	default:
	}
}

// nearDeadline is how close to its deadline a stream that fails is taken to fail for want of time.
const nearDeadline = 50 * time.Millisecond

// localResponse is the response of a local reply.
func localResponse(reply driver.LocalReply, req *Request) Response {
	switch {
	case reply.Rejected:
		return Response{Outcome: RejectedLocally, RetryAfter: reply.RetryAfter}
	case time.Until(req.Deadline) < nearDeadline:
		return Response{Outcome: DeadlineExceeded}
	}
	return Response{Outcome: Failed}
}
