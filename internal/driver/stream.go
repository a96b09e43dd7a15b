package driver

import (
	"context"
	"time"

	"pinelb.example/pinelb/balance"
)

// Send asks for an upstream request. Whoever takes it owes Settle one outcome.
type Send struct {
	Attempt    int
	Version    uint32 // the number of the version by which it was decided; 0: versions have none
	Endpoint   balance.EndpointID
	Deadline   time.Time       // when to stop waiting
	ValueShare float64         // share of its class's worth that the stream is worth
	Ctx        context.Context // ends when the decisions withdraw the attempt
}

// Outcome is how an upstream request ended.
type Outcome struct {
	Status       balance.Status
	Final        bool // it brought a final answer
	RetriedBelow bool // of a failure: the tier below has tried again itself
}

// LocalReply is a final answer that is not an upstream host's: a local reply.
type LocalReply struct {
	Rejected   bool          // trying again is harmless; otherwise nothing is promised
	RetryAfter time.Duration // when the client should come back; 0 is no advice
}

// Stream is one request as the decisions see it. It gets one final answer: either one Settle returns
// true, or one Verdict comes, or Abandon returns true. The engine's lock decides which.
type Stream struct {
	driver     *Driver
	ctx        context.Context // outlives the client: attempts end when the decisions say so
	id         balance.RequestID
	generation int
	sends      chan Send // has room for every attempt there may be, so that the lock's holder never waits
	localReply chan LocalReply

	// Version the engine's lock.
	ended        bool
	openAttempts int
	sentAttempts int // attempts that somebody has begun, or may have
	attempts     []attempt
}

type attempt struct {
	cancel context.CancelFunc
	sentAt time.Duration
	open   bool
}

// Sends gives the upstream requests to start.
func (s *Stream) Sends() <-chan Send { return s.sends }

// LocalReply gives the local reply, if that is how the stream ends.
func (s *Stream) LocalReply() <-chan LocalReply { return s.localReply }

// carryOut does one action for this stream, with the lock held.
func (s *Stream) carryOut(a *balance.Action) {
	switch a.Kind {
	case balance.ActSend:
		ctx, cancel := context.WithCancel(s.ctx)
		now := s.driver.now()
		s.attempts = append(s.attempts, attempt{cancel: cancel, sentAt: now, open: true})
		s.openAttempts++
		attempt := len(s.attempts) - 1
		if s.ended || attempt >= cap(s.sends) {
			// Nobody would take it, and the decisions must not wait for its outcome for ever.
			go s.ReportOutcome(attempt, Outcome{Status: balance.NotSent})
			return
		}
		s.sentAttempts++
		s.sends <- Send{Attempt: attempt, Version: s.driver.version, Endpoint: a.Endpoint, Deadline: s.driver.start.Add(now - s.driver.startUnix + a.After), ValueShare: a.ValueShare, Ctx: ctx}
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

// end gives the final local reply unless there has been a final answer.
func (s *Stream) end(v LocalReply) {
	if !s.ended {
		s.ended = true
		s.localReply <- v
		s.release()
	}
}

// abandon ends the stream when the decisions no longer know it.
func (s *Stream) abandon() {
	s.end(LocalReply{Rejected: s.sentAttempts == 0})
	for i := range s.attempts {
		s.attempts[i].cancel()
	}
}

// forget lets go of a stream that is over and has nothing out.
func (s *Stream) release() {
	if s.ended && s.openAttempts == 0 && s.generation == s.driver.generation {
		delete(s.driver.streams, s.id)
	}
}

// ReportOutcome reports how an attempt ended, once for each. It returns whether its answer is the stream's: the first
// that comes before any other end.
func (s *Stream) ReportOutcome(attempt int, o Outcome) bool {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	return s.reportOutcome(attempt, o)
}

func (s *Stream) reportOutcome(attempt int, o Outcome) bool {
	t := &s.attempts[attempt]
	if !t.open {
		return false
	}
	t.open = false
	t.cancel()
	s.openAttempts--
	won := o.Final && !s.ended
	s.ended = s.ended || won
	if s.generation == s.driver.generation {
		s.driver.handleEvent(&balance.Event{Kind: balance.EventOutcome, Request: s.id, Attempt: attempt,
			Closed: s.ended, Status: o.Status, RetriedBelow: o.RetriedBelow, Latency: s.driver.now() - t.sentAt})
	}
	s.release()
	return won
}

// UploadDone says that the last byte of a stream that was still coming has been passed on: its time begins.
func (s *Stream) UploadDone() {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	for i := range s.attempts {
		if s.attempts[i].open {
			s.attempts[i].sentAt = s.driver.now()
		}
	}
	if s.generation == s.driver.generation {
		s.driver.handleEvent(&balance.Event{Kind: balance.EventUploadDone, Request: s.id})
	}
}

// Abandon ends the stream from the outside: the client has left, or its time is up. It returns false if
// there has been a final answer already. Sent is whether any attempt was ever asked for.
func (s *Stream) Abandon() (ended, sent bool) {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	if s.ended {
		return false, s.sentAttempts > 0
	}
	s.ended = true
	if s.generation == s.driver.generation {
		s.driver.handleEvent(&balance.Event{Kind: balance.EventClientGone, Request: s.id})
	}
	s.release()
	return true, s.sentAttempts > 0
}

// Close ends the stream if nothing has, and settles what was asked for and never begun, so that every
// send has its outcome.
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
