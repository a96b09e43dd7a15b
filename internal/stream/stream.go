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
	Txn         string // fresh for every request
	ClassName   string
	Class       int
	Tenant      int    // whose it is: 1 is the settings' first; 0: none's that they know
	TenantName  string // the same, as its caller has it
	Operation   string // how it is called: over HTTP, the method
	Target      string // what is called: over HTTP, the raw path and query
	Authority   string
	Key         string // the effect's identity, where the class carries one
	ClientRetry bool
	Labels      string
	MediaType   string    // of the body; protocols that have several encodings tell them by it
	Body        []byte    // whole, or with Upload the beginning of it
	Upload      *Upload   // what still comes of the body; nil: nothing does
	Baggage     string    // what travels from tier to tier beside it (W3C Baggage): as it came, and of an attempt as it goes on
	Arrived     time.Time // when it began to come
	Deadline    time.Time // when the client gives up
	// ClientTimeout tells whether the client has left, by a look at its connection: not every leave ends the stream's context in time.
	// Any goroutine may call it, also after the stream. Nil: it can't be seen, or says nothing.
	ClientGone func() bool

	state *liveState // nil: it is no stream's
}

// open is what a stream and its attempts share while it lasts.
type liveState struct {
	done      chan struct{} // closed with the stream
	since     time.Time
	checkedAt atomic.Int64 // ns after since: when its client was last seen to be there
}

// clientCheckValidity is how long a client that was seen to be there is taken to be. An attempt begins so long after its client has left at
// most, and the time from one line to the next.
const clientCheckValidity = 2 * time.Millisecond

// ClientWaiting tells whether anybody still waits for the answer, by a look at the client.
func (r *Request) ClientWaiting() bool {
	if r.state == nil {
		return r.ClientGone == nil || !r.ClientGone()
	}
	select {
	case <-r.state.done:
		return false
	default:
	}
	at := time.Since(r.state.since) // before the look: what it does not see has not happened by then
	if r.ClientGone != nil && r.ClientGone() {
		return false
	}
	r.state.checkedAt.Store(int64(at))
	return true
}

// ClientRecentlyWaiting is Wanted for what may have waited since the last look, which does where it is recent: the look before an
// attempt's first byte.
func (r *Request) ClientRecentlyWaiting() bool {
	if r.state == nil || time.Since(r.state.since)-time.Duration(r.state.checkedAt.Load()) > clientCheckValidity {
		return r.ClientWaiting()
	}
	select {
	case <-r.state.done:
		return false
	default:
		return true
	}
}

// Outcome says how a stream ended.
type Outcome uint8

// The outcomes.
const (
	Served           Outcome = iota
	RejectedLocally          // a local reply: trying again is harmless
	Failed                   // nothing is promised
	DeadlineExceeded         // failed, for its time is up
	ClientGone               // the client has left; nobody waits for an answer
	InvalidRequest           // an upstream host finds fault with the request itself
	Duplicate                // a request of the same id is under way
	Oneway                   // sent whole, and by its kind it gets no answer; it may have run
	LoopDetected             // it has come through this service before
	BodyIncomplete           // its body never came whole: the client's doing
)

// Response is a stream's final answer.
type Response struct {
	Outcome    Outcome
	MediaType  string
	Body       []byte // Served: the answer; Rejected: the fault in the host's own words, where they are to be passed on
	Rest       Rest   // Served: what follows Body and still comes; nil: nothing does. Whoever has the response closes it
	Length     int64  // with Rest: bytes of both; below 0: not stated
	RetryAfter time.Duration
	Report     budget.AttemptReport // what it took here and below, for the tier above
	Loop       string               // LoopDetected: the services that it has come through
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

// clientCheckInterval is how often a client that waits is looked for: what is held for one that has left, and its front doesn't notice,
// takes up room and a host's time. Whether an attempt begins does not rest on it: a look comes before each.
const clientCheckInterval = 100 * time.Millisecond

// Proxy serves streams.
type Proxy struct {
	Driver   *driver.Driver
	Upstream Upstream
	Observer Observer        // nil: nobody
	Budget   *Budget         // nil: every tier tries again as it sees fit
	InFlight *inflight.Table // nil: none is remembered, and other processes' are not known
	// FlushJournal is called before an attempt that must not be unknown to whoever comes after this process; it returns once
	// InFlight is kept. Nil: it is not kept.
	FlushJournal func()
	Gate         Gate     // nil: all is let through
	AuditLog     AuditLog // nil: nobody keeps one
	Log          zerolog.Logger

	mu     sync.Mutex
	active map[string]activeStream // by id
}

// decided is a stream as the decisions see it; engine.Stream is one.
type decidedStream interface {
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
			return p.endUnopened(req, Response{Outcome: RejectedLocally, RetryAfter: again})
		}
	}
	if !p.register(req) {
		return p.endUnopened(req, Response{Outcome: Duplicate})
	}
	res = Response{Outcome: Failed} // what a panic leaves
	defer func() { p.release(req.Txn, func(l *Record) { l.Response, l.AnsweredAt = res, time.Now() }) }()
	ran, free := p.InFlight.Start(time.Now(), p.identity(req))
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
	call := driver.Request{Class: req.Class, Tenant: req.Tenant, Remaining: time.Until(req.Deadline), ClientRetry: req.ClientRetry, MaxAttempts: a.MaxAttempts(), ValueShare: a.ValueShare(),
		EarlierAttemptAt: ran.SentAt, EarlierEndpoint: ran.Endpoint}
	if req.Upload != nil {
		call.Remaining, call.Uploading = req.Upload.ClientTimeout, true
	}
	res = p.run(ctx, p.Driver.Open(context.WithoutCancel(ctx), call), req, a)
	return res
}

// identity is what a stream is known by to other processes, and to those that come after it. A repeat comes while its client
// still waits, which is after the effect's window at the latest.
func (p *Proxy) identity(req *Request) inflight.ID {
	id := inflight.ID{Txn: req.Txn, Class: req.ClassName, Key: req.Key}
	if p.InFlight != nil {
		if c := p.Driver.Class(req.Class); c.Idempotency != balance.Idempotent {
			id.Retention = max(c.DedupWindow, c.Deadline) + c.Deadline
		}
	}
	return id
}

// Refuse turns a stream away of which the decisions are not told: the front has no room for it.
func (p *Proxy) Refuse(req *Request) Response {
	return p.endUnopened(req, Response{Outcome: RejectedLocally})
}

// live is one stream's life. The decisions choose every send and may end the stream; the first answer
// of an upstream host ends it too, and so do the client's leaving and its deadline.
func (p *Proxy) run(ctx context.Context, s decidedStream, req *Request, a *budget.RequestBudget) Response {
	defer s.Close()
	answer := make(chan Response, 1) // one answer at most: only one attempt can win
	req.state = &liveState{done: make(chan struct{}), since: time.Now()}
	defer func() {
		close(req.state.done)
		discardPending(answer)
	}()
	ends := req.Deadline.Add(-watchdogLead)
	next := func() time.Duration { return min(clientCheckInterval, time.Until(ends)) }
	alarm := time.NewTimer(next()) // to look for the client, and at last the watchdog
	defer alarm.Stop()
	left := ctx.Done()
	first := uint32(0) // the number of the version under which the first attempt was decided
	whole := req.Upload.doneChannel()
	if whole != nil {
		req.Upload.onDone = s.UploadDone
	}
	for {
		select {
		case send := <-s.Sends():
			if !req.ClientWaiting() {
				ended, _ := s.Abandon() // before the outcome, or the decisions would send it elsewhere
				if s.ReportOutcome(send.Attempt, driver.Outcome{Status: balance.NotSent}); ended {
					return Response{Outcome: ClientGone}
				}
				continue
			}
			if first == 0 {
				first = send.Version
			}
			go p.attempt(s, send, send.Version != first, p.Budget.send(a, req, send.ValueShare), p.beginAttempt(req.Txn, send.Endpoint), answer)
		case v := <-s.LocalReply():
			return localResponse(v, req)
		case res := <-answer:
			return res
		case <-whole: // its time begins
			whole, req.Deadline = nil, time.Now().Add(req.Upload.ClientTimeout)
			ends = req.Deadline.Add(-watchdogLead)
			alarm.Reset(next())
		case <-left:
			if ended, _ := s.Abandon(); ended {
				return Response{Outcome: ClientGone}
			}
			left = nil // its answer was first, and comes: the client may be there where all is to end
		case <-alarm.C:
			early := time.Until(ends) > 0
			if early && req.ClientWaiting() {
				alarm.Reset(next())
				continue
			}
			switch ended, sent := s.Abandon(); {
			case !ended: // its answer was first, and comes
			case early:
				return Response{Outcome: ClientGone}
			case sent: // the decisions should have ended it by now
				return Response{Outcome: DeadlineExceeded}
			default:
				return Response{Outcome: RejectedLocally}
			}
		}
	}
}

// unread lets go of an answer that came too late for its stream.
func discardPending(answer <-chan Response) {
	select {
	case res := <-answer:
		res.discard()
	default:
	}
}

// attempt is one upstream request, the n-th of its stream. However it ends, its outcome is told once. It has crossed if the
// version that is acted on has changed since the stream's first.
func (p *Proxy) attempt(s decidedStream, send driver.Send, crossed bool, req attemptRequest, n int, answer chan Response) {
	status, res := balance.Reset, Response{Outcome: Failed} // what a panic leaves: it may have run
	effect, kept := p.InFlight.AttemptStarted(time.Now(), req.Txn, send.Endpoint)
	if p.AuditLog != nil {
		p.AuditLog.Sent(send.Version, req.Class, send.Endpoint, crossed)
	}
	defer func() {
		if p.AuditLog != nil {
			p.AuditLog.Ended(send.Version, req.Class, send.Endpoint, status == balance.ConnectFailed || status == balance.NotSent, status == balance.Cancelled)
		}
		p.InFlight.AttemptEnded(req.Txn, effect, status != balance.Rejected && status != balance.ConnectFailed && status != balance.NotSent)
		p.release(req.Txn, func(l *Record) { l.Attempts[n].Status, l.Attempts[n].EndedAt = status, time.Now() })
		if fault := recover(); fault != nil {
			p.Log.Error().Interface("panic", fault).Msg("upstream request failed")
		}
		if s.ReportOutcome(send.Attempt, driver.Outcome{Status: status, RetriedBelow: res.Report.Known || req.Upload.partlyRead(),
			Final: status == balance.OK || res.Outcome == InvalidRequest || res.Outcome == Oneway || res.Outcome == BodyIncomplete}) {
			answer <- res
			select {
			case <-req.state.done:
				discardPending(answer)
			default:
			}
		} else {
			res.discard()
		}
	}()
	if kept && p.FlushJournal != nil {
		p.FlushJournal()
	}
	if p.Gate != nil && !p.Gate.Sends() {
		status = balance.NotSent
		return
	}
	status, res = p.Upstream.Do(send.Ctx, send.Endpoint, send.Deadline, req.Request)
	req.reportAttempt(res.Report)
}

// localResponse words what the decisions said. A failure near the deadline is one of time.
func localResponse(v driver.LocalReply, req *Request) Response {
	switch {
	case v.Rejected:
		return Response{Outcome: RejectedLocally, RetryAfter: v.RetryAfter}
	case time.Until(req.Deadline) < 50*time.Millisecond:
		return Response{Outcome: DeadlineExceeded}
	}
	return Response{Outcome: Failed}
}
