// Package stream holds one request's life, from its arrival to its final answer, and the
// protocol-neutral values that it passes between the two sides.
package stream

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/inflight"
)

// Request is one stream's request, decoded. The upstream host gets it as it came.
type Request struct {
	Txn       string // fresh for every request
	ClassName string
	Class     int
	Tenant    int    // whose it is: 1 is the settings' first; 0: none's that they know
	Org       string // the same, as its caller has it
	Operation string // how it is called: over HTTP, the method
	Target    string // what is called: over HTTP, the raw path and query
	Authority string
	Key       string // the effect's identity, where the class carries one
	Repeated  bool
	Labels    string
	MediaType string    // of the body; protocols that have several encodings tell them by it
	Body      []byte    // whole, or with Upload the beginning of it
	Upload    *Upload   // what still comes of the body; nil: nothing does
	Baggage   string    // what travels from tier to tier beside it (W3C Baggage): as it came, and of an attempt as it goes on
	Arrived   time.Time // when it began to come
	Deadline  time.Time // when the client gives up
	// Left tells whether the client has left, by a look at its connection: not every leave ends the stream's context in time.
	// Any goroutine may call it, also after the stream. Nil: it can't be seen, or says nothing.
	Left func() bool

	open *open // nil: it is no stream's
}

// open is what a stream and its attempts share while it lasts.
type open struct {
	over   chan struct{} // closed with the stream
	since  time.Time
	looked atomic.Int64 // ns after since: when its client was last seen to be there
}

// lookLasts is how long a client that was seen to be there is taken to be. An attempt begins so long after its client has left at
// most, and the time from one line to the next.
const lookLasts = 2 * time.Millisecond

// Wanted tells whether anybody still waits for the answer, by a look at the client.
func (r *Request) Wanted() bool {
	if r.open == nil {
		return r.Left == nil || !r.Left()
	}
	select {
	case <-r.open.over:
		return false
	default:
	}
	at := time.Since(r.open.since) // before the look: what it does not see has not happened by then
	if r.Left != nil && r.Left() {
		return false
	}
	r.open.looked.Store(int64(at))
	return true
}

// StillWanted is Wanted for what may have waited since the last look, which does where it is recent: the look before an
// attempt's first byte.
func (r *Request) StillWanted() bool {
	if r.open == nil || time.Since(r.open.since)-time.Duration(r.open.looked.Load()) > lookLasts {
		return r.Wanted()
	}
	select {
	case <-r.open.over:
		return false
	default:
		return true
	}
}

// Outcome says how a stream ended.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Refused            // a local reply: trying again is harmless
	Failed             // nothing is promised
	Expired            // failed, for its time is up
	Gone               // the client has left; nobody waits for an answer
	Rejected           // an upstream host finds fault with the request itself
	Duplicate          // a request of the same id is under way
	Unanswered         // sent whole, and by its kind it gets no answer; it may have run
	Looped             // it has come through this service before
	Broken             // its body never came whole: the client's doing
)

// Response is a stream's final answer.
type Response struct {
	Outcome    Outcome
	MediaType  string
	Body       []byte // Served: the answer; Rejected: the fault in the host's own words, where they are to be passed on
	Rest       Rest   // Served: what follows Body and still comes; nil: nothing does. Whoever has the response closes it
	Length     int64  // with Rest: bytes of both; below 0: not stated
	RetryAfter time.Duration
	Tried      budget.AttemptReport // what it took here and below, for the tier above
	Loop       string               // Looped: the services that it has come through
}

// Rest is the part of an answer that is passed on as it comes.
type Rest interface {
	// Read reads more of it. It ends with io.EOF where the answer is whole; any other error has cut it off.
	io.Reader
	// Interrupt makes Read return at once, and for good. Any goroutine may call it.
	Interrupt()
	// Close lets go of it, whole or not.
	Close()
}

// discard lets go of a response that nobody takes.
func (r *Response) discard() {
	if r.Rest != nil {
		r.Rest.Close()
	}
}

// Upstream carries out one upstream request. It returns by until or soon after ctx ends, and never
// sends the request twice. What is served, rejected or unanswered is the stream's final answer.
type Upstream interface {
	Do(ctx context.Context, host balance.EndpointID, until time.Time, req *Request) (balance.Status, Response)
}

// watchdogLead is how long before the client's deadline the watchdog answers. The decisions have ended
// a stream by then, if they work at all.
const watchdogLead = 2 * time.Millisecond

// lookEvery is how often a client that waits is looked for: what is held for one that has left, and its front doesn't notice,
// takes up room and a host's time. Whether an attempt begins does not rest on it: a look comes before each.
const lookEvery = 100 * time.Millisecond

// Proxy serves streams.
type Proxy struct {
	Driver   *driver.Driver
	Upstream Upstream
	Observer Observer        // nil: nobody
	Budget   *Budget         // nil: every tier tries again as it sees fit
	Effects  *inflight.Table // nil: none is remembered, and other processes' are not known
	// Promise is called before an attempt that must not be unknown to whoever comes after this process; it returns once
	// Effects is kept. Nil: it is not kept.
	Promise func()
	Gate    Gate  // nil: all is let through
	Trail   Trail // nil: nobody keeps one
	Log     zerolog.Logger

	mu   sync.Mutex
	uses map[string]use // by id
}

// decided is a stream as the decisions see it; engine.Stream is one.
type decided interface {
	Sends() <-chan driver.Send
	LocalReply() <-chan driver.LocalReply
	ReportOutcome(attempt int, o driver.Outcome) (won bool)
	UploadDone()
	Abandon() (ended, sent bool)
	Close()
}

// Serve tells the decisions of a stream and sees it through. An id that is under way is not taken again:
// upstream hosts would have the other request's copy.
func (p *Proxy) Serve(ctx context.Context, req *Request) (res Response) {
	if p.Gate != nil {
		if takes, again := p.Gate.Takes(); !takes {
			return p.unheard(req, Response{Outcome: Refused, RetryAfter: again})
		}
	}
	if !p.take(req) {
		return p.unheard(req, Response{Outcome: Duplicate})
	}
	res = Response{Outcome: Failed} // what a panic leaves
	defer func() { p.release(req.Txn, func(l *Life) { l.Response, l.Answered = res, time.Now() }) }()
	ran, free := p.Effects.Start(time.Now(), p.identity(req))
	if !free {
		res = Response{Outcome: Duplicate}
		return res
	}
	a := p.Budget.open(req)
	defer func() { p.Budget.close(a, req, &res) }()
	if a.Loop != nil {
		res = p.Budget.looped(a)
		return res
	}
	// Attempts must not end with the client by themselves: the decisions withdraw them.
	call := driver.Request{Class: req.Class, Tenant: req.Tenant, Remaining: time.Until(req.Deadline), ClientRetry: req.Repeated, MaxAttempts: a.MaxAttempts(), ValueShare: a.ValueShare(),
		EarlierAttemptAt: ran.SentAt, EarlierEndpoint: ran.Endpoint}
	if req.Upload != nil {
		call.Remaining, call.Uploading = req.Upload.Left, true
	}
	res = p.live(ctx, p.Driver.Open(context.WithoutCancel(ctx), call), req, a)
	return res
}

// identity is what a stream is known by to other processes, and to those that come after it. A repeat comes while its client
// still waits, which is after the effect's window at the latest.
func (p *Proxy) identity(req *Request) inflight.ID {
	id := inflight.ID{Txn: req.Txn, Class: req.ClassName, Key: req.Key}
	if p.Effects != nil {
		if c := p.Driver.Class(req.Class); c.Idempotency != balance.Idempotent {
			id.Retention = max(c.DedupWindow, c.Deadline) + c.Deadline
		}
	}
	return id
}

// Refuse turns a stream away of which the decisions are not told: the front has no room for it.
func (p *Proxy) Refuse(req *Request) Response { return p.unheard(req, Response{Outcome: Refused}) }

// live is one stream's life. The decisions choose every send and may end the stream; the first answer
// of an upstream host ends it too, and so do the client's leaving and its deadline.
func (p *Proxy) live(ctx context.Context, s decided, req *Request, a *budget.RequestBudget) Response {
	defer s.Close()
	answer := make(chan Response, 1) // one answer at most: only one attempt can win
	req.open = &open{over: make(chan struct{}), since: time.Now()}
	defer func() {
		close(req.open.over)
		unread(answer)
	}()
	ends := req.Deadline.Add(-watchdogLead)
	next := func() time.Duration { return min(lookEvery, time.Until(ends)) }
	alarm := time.NewTimer(next()) // to look for the client, and at last the watchdog
	defer alarm.Stop()
	left := ctx.Done()
	first := uint32(0) // the number of the version under which the first attempt was decided
	whole := req.Upload.passed()
	if whole != nil {
		req.Upload.told = s.UploadDone
	}
	for {
		select {
		case send := <-s.Sends():
			if !req.Wanted() {
				ended, _ := s.Abandon() // before the outcome, or the decisions would send it elsewhere
				if s.ReportOutcome(send.Attempt, driver.Outcome{Status: balance.NotSent}); ended {
					return Response{Outcome: Gone}
				}
				continue
			}
			if first == 0 {
				first = send.Version
			}
			go p.attempt(s, send, send.Version != first, p.Budget.send(a, req, send.ValueShare), p.begin(req.Txn, send.Endpoint), answer)
		case v := <-s.LocalReply():
			return localReply(v, req)
		case res := <-answer:
			return res
		case <-whole: // its time begins
			whole, req.Deadline = nil, time.Now().Add(req.Upload.Left)
			ends = req.Deadline.Add(-watchdogLead)
			alarm.Reset(next())
		case <-left:
			if ended, _ := s.Abandon(); ended {
				return Response{Outcome: Gone}
			}
			left = nil // its answer was first, and comes: the client may be there where all is to end
		case <-alarm.C:
			early := time.Until(ends) > 0
			if early && req.Wanted() {
				alarm.Reset(next())
				continue
			}
			switch ended, sent := s.Abandon(); {
			case !ended: // its answer was first, and comes
			case early:
				return Response{Outcome: Gone}
			case sent: // the decisions should have ended it by now
				return Response{Outcome: Expired}
			default:
				return Response{Outcome: Refused}
			}
		}
	}
}

// unread lets go of an answer that came too late for its stream.
func unread(answer <-chan Response) {
	select {
	case res := <-answer:
		res.discard()
	default:
	}
}

// attempt is one upstream request, the n-th of its stream. However it ends, its outcome is told once. It has crossed if the
// version that is acted on has changed since the stream's first.
func (p *Proxy) attempt(s decided, send driver.Send, crossed bool, req sent, n int, answer chan Response) {
	status, res := balance.Reset, Response{Outcome: Failed} // what a panic leaves: it may have run
	effect, kept := p.Effects.AttemptStarted(time.Now(), req.Txn, send.Endpoint)
	if p.Trail != nil {
		p.Trail.Sent(send.Version, req.Class, send.Endpoint, crossed)
	}
	defer func() {
		if p.Trail != nil {
			p.Trail.Ended(send.Version, req.Class, send.Endpoint, status == balance.ConnectFailed || status == balance.NotSent, status == balance.Cancelled)
		}
		p.Effects.AttemptEnded(req.Txn, effect, status != balance.Rejected && status != balance.ConnectFailed && status != balance.NotSent)
		p.release(req.Txn, func(l *Life) { l.Attempts[n].Status, l.Attempts[n].Ended = status, time.Now() })
		if fault := recover(); fault != nil {
			p.Log.Error().Interface("panic", fault).Msg("upstream request failed")
		}
		if s.ReportOutcome(send.Attempt, driver.Outcome{Status: status, RetriedBelow: res.Tried.Known || req.Upload.spent(),
			Final: status == balance.OK || res.Outcome == Rejected || res.Outcome == Unanswered || res.Outcome == Broken}) {
			answer <- res
			select {
			case <-req.open.over:
				unread(answer)
			default:
			}
		} else {
			res.discard()
		}
	}()
	if kept && p.Promise != nil {
		p.Promise()
	}
	if p.Gate != nil && !p.Gate.Sends() {
		status = balance.NotSent
		return
	}
	status, res = p.Upstream.Do(send.Ctx, send.Endpoint, send.Deadline, req.Request)
	req.ended(res.Tried)
}

// localReply words what the decisions said. A failure near the deadline is one of time.
func localReply(v driver.LocalReply, req *Request) Response {
	switch {
	case v.Rejected:
		return Response{Outcome: Refused, RetryAfter: v.RetryAfter}
	case time.Until(req.Deadline) < 50*time.Millisecond:
		return Response{Outcome: Expired}
	}
	return Response{Outcome: Failed}
}
