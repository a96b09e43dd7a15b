package driver

import (
	"context"
	"time"

	"pinelb.example/pinelb/balance"
)

// Send asks for an upstream request. Whoever takes it owes Settle one outcome.
type Send struct {
	Attempt int
	Under   uint32 // the number of the version by which it was decided; 0: versions have none
	Host    balance.EndpointID
	Until   time.Time       // when to stop waiting
	Worth   float64         // share of its class's worth that the stream is worth
	Ctx     context.Context // ends when the decisions withdraw the attempt
}

// Outcome is how an upstream request ended.
type Outcome struct {
	Status  balance.Status
	Answers bool // it brought a final answer
	Spent   bool // of a failure: the tier below has tried again itself
}

// Verdict is a final answer that is not an upstream host's: a local reply.
type Verdict struct {
	Refused    bool          // trying again is harmless; otherwise nothing is promised
	RetryAfter time.Duration // when the client should come back; 0 is no advice
}

// Stream is one request as the decisions see it. It gets one final answer: either one Settle returns
// true, or one Verdict comes, or Abandon returns true. The engine's lock decides which.
type Stream struct {
	e       *Engine
	ctx     context.Context // outlives the client: attempts end when the decisions say so
	id      balance.RequestID
	life    int
	sends   chan Send // has room for every attempt there may be, so that the lock's holder never waits
	verdict chan Verdict

	// Under the engine's lock.
	ended bool
	out   int
	sent  int // attempts that somebody has begun, or may have
	tries []try
}

type try struct {
	cancel context.CancelFunc
	sentAt time.Duration
	open   bool
}

// Sends gives the upstream requests to start.
func (s *Stream) Sends() <-chan Send { return s.sends }

// Verdict gives the local reply, if that is how the stream ends.
func (s *Stream) Verdict() <-chan Verdict { return s.verdict }

// carryOut does one action for this stream, with the lock held.
func (s *Stream) carryOut(a *balance.Action) {
	switch a.Kind {
	case balance.ActSend:
		ctx, cancel := context.WithCancel(s.ctx)
		now := s.e.now()
		s.tries = append(s.tries, try{cancel: cancel, sentAt: now, open: true})
		s.out++
		attempt := len(s.tries) - 1
		if s.ended || attempt >= cap(s.sends) {
			// Nobody would take it, and the decisions must not wait for its outcome for ever.
			go s.Settle(attempt, Outcome{Status: balance.NotSent})
			return
		}
		s.sent++
		s.sends <- Send{Attempt: attempt, Under: s.e.under, Host: a.Endpoint, Until: s.e.start.Add(now - s.e.unix + a.After), Worth: a.ValueShare, Ctx: ctx}
	case balance.ActCancel:
		if a.Attempt < len(s.tries) {
			s.tries[a.Attempt].cancel()
		}
	case balance.ActReject:
		s.end(Verdict{Refused: true, RetryAfter: a.After})
	case balance.ActFail:
		s.end(Verdict{})
	}
}

// end gives the final local reply unless there has been a final answer.
func (s *Stream) end(v Verdict) {
	if !s.ended {
		s.ended = true
		s.verdict <- v
		s.forget()
	}
}

// abandon ends the stream when the decisions no longer know it.
func (s *Stream) abandon() {
	s.end(Verdict{Refused: s.sent == 0})
	for i := range s.tries {
		s.tries[i].cancel()
	}
}

// forget lets go of a stream that is over and has nothing out.
func (s *Stream) forget() {
	if s.ended && s.out == 0 && s.life == s.e.life {
		delete(s.e.streams, s.id)
	}
}

// Settle reports how an attempt ended, once for each. It returns whether its answer is the stream's: the first
// that comes before any other end.
func (s *Stream) Settle(attempt int, o Outcome) bool {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.settle(attempt, o)
}

func (s *Stream) settle(attempt int, o Outcome) bool {
	t := &s.tries[attempt]
	if !t.open {
		return false
	}
	t.open = false
	t.cancel()
	s.out--
	won := o.Answers && !s.ended
	s.ended = s.ended || won
	if s.life == s.e.life {
		s.e.handle(&balance.Event{Kind: balance.EventOutcome, Request: s.id, Attempt: attempt,
			Closed: s.ended, Status: o.Status, RetriedBelow: o.Spent, Latency: s.e.now() - t.sentAt})
	}
	s.forget()
	return won
}

// Whole says that the last byte of a stream that was still coming has been passed on: its time begins.
func (s *Stream) Whole() {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	for i := range s.tries {
		if s.tries[i].open {
			s.tries[i].sentAt = s.e.now()
		}
	}
	if s.life == s.e.life {
		s.e.handle(&balance.Event{Kind: balance.EventUploadDone, Request: s.id})
	}
}

// Abandon ends the stream from the outside: the client has left, or its time is up. It returns false if
// there has been a final answer already. Sent is whether any attempt was ever asked for.
func (s *Stream) Abandon() (ended, sent bool) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	if s.ended {
		return false, s.sent > 0
	}
	s.ended = true
	if s.life == s.e.life {
		s.e.handle(&balance.Event{Kind: balance.EventClientGone, Request: s.id})
	}
	s.forget()
	return true, s.sent > 0
}

// Close ends the stream if nothing has, and settles what was asked for and never begun, so that every
// send has its outcome.
func (s *Stream) Close() {
	s.Abandon()
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	for {
		select {
		case send := <-s.sends:
			s.settle(send.Attempt, Outcome{Status: balance.NotSent})
		default:
			return
		}
	}
}
