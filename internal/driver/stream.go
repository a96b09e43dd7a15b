package driver

import (
	"context"
	"time"

	"pinelb.example/pinelb/balance"
)

// Send asks for an upstream request. Whoever takes it owes ReportOutcome one outcome.
type Send struct {
	Attempt    int
	Version    uint32 // of the configuration by which it was decided; 0: versions have no number
	Endpoint   balance.EndpointID
	Deadline   time.Time       // when to stop waiting
	ValueShare float64         // share of its class's value that the stream has
	Ctx        context.Context // ends when the decisions cancel the attempt
}

// Outcome is how an upstream request ended.
type Outcome struct {
	Status       balance.Status
	Final        bool // it brought a final answer
	RetriedBelow bool // of a failure: the tier below has retried already
}

// LocalReply is a final answer that is not an endpoint's.
type LocalReply struct {
	Rejected   bool          // a retry is harmless; otherwise the request may have taken effect
	RetryAfter time.Duration // when the client should retry; 0 is no hint
}

// Stream is one request as the decisions see it. It gets one final answer: either one ReportOutcome returns true, or one
// LocalReply comes, or Abandon reports that it ended the stream. The driver's lock decides which.
type Stream struct {
	driver     *Driver
	ctx        context.Context // outlives the client: attempts end when the decisions say so
	id         balance.RequestID
	generation int       // of the Balancer that knows it
	sends      chan Send // has capacity for every attempt there may be, so that the lock's holder never waits
	localReply chan LocalReply

	// Under the driver's lock.
	ended        bool
	openAttempts int
	sentAttempts int // that somebody has started, or may have
	attempts     []attempt
}

type attempt struct {
	cancel context.CancelFunc
	sentAt time.Duration
	open   bool
}

// Sends delivers the upstream requests to start.
func (s *Stream) Sends() <-chan Send { return s.sends }

// LocalReply delivers the local reply, if that is how the stream ends.
func (s *Stream) LocalReply() <-chan LocalReply { return s.localReply }

// carryOut carries out one action for this stream; the caller holds the lock.
func (s *Stream) carryOut(a *balance.Action) {
	switch a.Kind {
	case balance.ActSend:
		s.send(a)
	case balance.ActCancel:
		if a.Attempt < len(s.attempts) {
			s.attempts[a.Attempt].cancel()
		}
	case balance.ActReject:
		s.end(LocalReply{Rejected: true, RetryAfter: a.After})
	case balance.ActFail:
		s.end(LocalReply{})
	}
}

// send offers a new attempt to whoever receives from Sends; the caller holds the lock.
func (s *Stream) send(a *balance.Action) {
	ctx, cancel := context.WithCancel(s.ctx)
	now := s.driver.now()
	s.attempts = append(s.attempts, attempt{cancel: cancel, sentAt: now, open: true})
	s.openAttempts++
	i := len(s.attempts) - 1
	if s.ended || i >= cap(s.sends) {
		// Nobody would take it, and the decisions must not wait for its outcome for ever.
		go s.ReportOutcome(i, Outcome{Status: balance.NotSent})
		return
	}
	s.sentAttempts++
	s.sends <- Send{
		Attempt:    i,
		Version:    s.driver.version,
		Endpoint:   a.Endpoint,
		Deadline:   s.driver.start.Add(now - s.driver.startUnix + a.After),
		ValueShare: a.ValueShare,
		Ctx:        ctx,
	}
}

// end gives the final local reply unless there has been a final answer; the caller holds the lock.
func (s *Stream) end(reply LocalReply) {
	if !s.ended {
		s.ended = true
		s.localReply <- reply
		s.release()
	}
}

// abort ends the stream when no Balancer knows it any more; the caller holds the lock.
func (s *Stream) abort() {
	s.end(LocalReply{Rejected: s.sentAttempts == 0})
	for i := range s.attempts {
		s.attempts[i].cancel()
	}
}

// current reports whether the Balancer that decides now knows the stream; the caller holds the lock.
func (s *Stream) current() bool { return s.generation == s.driver.generation }

// release forgets a stream that has ended and has no open attempts; the caller holds the lock.
func (s *Stream) release() {
	if s.ended && s.openAttempts == 0 && s.current() {
		delete(s.driver.streams, s.id)
	}
}

// ReportOutcome reports how an attempt ended, once for each. It returns whether its answer is the stream's: the first final
// one that comes before any other end.
func (s *Stream) ReportOutcome(attempt int, o Outcome) bool {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	return s.reportOutcome(attempt, o)
}

func (s *Stream) reportOutcome(i int, o Outcome) bool {
	ended := &s.attempts[i]
	if !ended.open {
		return false
	}
	ended.open = false
	ended.cancel()
	s.openAttempts--
	won := o.Final && !s.ended
	s.ended = s.ended || won
	if s.current() {
		s.driver.handleEvent(&balance.Event{
			Kind:         balance.EventOutcome,
			Request:      s.id,
			Attempt:      i,
			Closed:       s.ended,
			Status:       o.Status,
			RetriedBelow: o.RetriedBelow,
			Latency:      s.driver.now() - ended.sentAt,
		})
	}
	s.release()
	return won
}

// UploadDone reports that the last byte of an uploading stream has been forwarded: its time begins.
func (s *Stream) UploadDone() {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	for i := range s.attempts {
		if s.attempts[i].open {
			s.attempts[i].sentAt = s.driver.now()
		}
	}
	if s.current() {
		s.driver.handleEvent(&balance.Event{Kind: balance.EventUploadDone, Request: s.id})
	}
}

// Abandon ends the stream from the outside: the client has disconnected, or its time is up. It returns false if there has been
// a final answer already, and whether any attempt was ever asked for.
func (s *Stream) Abandon() (ended, sent bool) {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	if s.ended {
		return false, s.sentAttempts > 0
	}
	s.ended = true
	if s.current() {
		s.driver.handleEvent(&balance.Event{Kind: balance.EventClientDisconnected, Request: s.id})
	}
	s.release()
	return true, s.sentAttempts > 0
}

// Close ends the stream if nothing has, and reports an outcome for what was asked for and never started, so that every Send
// has one.
func (s *Stream) Close() {
	s.Abandon()
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	for {
		select {
		case send := <-s.sends:
			s.reportOutcome(send.Attempt, Outcome{Status: balance.NotSent})
		default:
			return
		}
	}
}
