package stream

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/inflight"
)

// Upstream carries out one upstream request. It returns by until or soon after ctx ends, and never sends the request twice. What
// is served, invalid or one-way is the stream's final answer.
type Upstream interface {
	Do(ctx context.Context, endpoint balance.EndpointID, until time.Time, req *Request) (balance.Status, Response)
}

// watchdogLead is how long before the client's deadline the watchdog answers. The decisions have ended a stream by then, if they
// work at all.
const watchdogLead = 2 * time.Millisecond

// clientCheckInterval is how often a waiting client is checked: what is kept for one that has disconnected without its front
// noticing takes up capacity and an endpoint's time. Whether an attempt starts does not depend on it: a check comes before each.
const clientCheckInterval = 100 * time.Millisecond

// Proxy serves streams. Its exported fields are set before the first.
type Proxy struct {
	Driver   *driver.Driver
	Upstream Upstream
	Observer Observer        // nil: none
	Budget   *Budget         // nil: every tier retries as the settings say
	InFlight *inflight.Table // nil: no effect is remembered, and other processes' requests are not known
	// FlushJournal is called before an attempt that the process after this one must not miss; it returns once InFlight is
	// stored. Nil: it is not stored.
	FlushJournal func()
	Gate         Gate     // nil: all is let through
	AuditLog     AuditLog // nil: none
	Log          zerolog.Logger

	mu     sync.Mutex
	active map[string]activeStream // by Txn
}

// decidedStream is a stream as the decisions see it: a *driver.Stream.
type decidedStream interface {
	Sends() <-chan driver.Send
	LocalReply() <-chan driver.LocalReply
	ReportOutcome(attempt int, o driver.Outcome) (won bool)
	UploadDone()
	Abandon() (ended, sent bool)
	Close()
}

// Serve serves one stream and returns its final answer. An id that is in flight is not served again: endpoints would have the
// other request's copy.
func (p *Proxy) Serve(ctx context.Context, req *Request) (res Response) {
	if p.Gate != nil {
		if accepts, retryAfter := p.Gate.AcceptsStreams(); !accepts {
			return p.endUnopened(req, Response{Outcome: RejectedLocally, RetryAfter: retryAfter})
		}
	}
	if !p.register(req) {
		return p.endUnopened(req, Response{Outcome: Duplicate})
	}
	res = Response{Outcome: Failed} // the answer after a panic
	defer func() {
		p.release(req.Txn, func(r *Record) { r.Response, r.AnsweredAt = res, time.Now() })
	}()
	earlier, free := p.InFlight.Start(time.Now(), p.identity(req))
	if !free {
		res = Response{Outcome: Duplicate}
		return res
	}
	b := p.Budget.open(req)
	defer func() { p.Budget.close(b, req, &res) }()
	if b.Loop != nil {
		res = p.Budget.looped(b)
		return res
	}
	request := driver.Request{
		Class:            req.Class,
		Tenant:           req.Tenant,
		Remaining:        time.Until(req.Deadline),
		ClientRetry:      req.ClientRetry,
		MaxAttempts:      b.MaxAttempts(),
		ValueShare:       b.ValueShare(),
		EarlierAttemptAt: earlier.SentAt,
		EarlierEndpoint:  earlier.Endpoint,
	}
	if req.Upload != nil {
		request.Remaining = req.Upload.ClientTimeout
		request.Uploading = true
	}
	// Attempts must not end with the client by themselves: the decisions cancel them.
	res = p.run(ctx, p.Driver.Open(context.WithoutCancel(ctx), request), req, b)
	return res
}

// identity is what a stream is known by to other processes, and to the ones after this. A retry comes while its client still
// waits, which is after the effect's window at the latest.
func (p *Proxy) identity(req *Request) inflight.ID {
	id := inflight.ID{Txn: req.Txn, Class: req.ClassName, Key: req.Key}
	if p.InFlight != nil {
		if c := p.Driver.Class(req.Class); c.Idempotency != balance.Idempotent {
			id.Retention = max(c.DedupWindow, c.Deadline) + c.Deadline
		}
	}
	return id
}

// Refuse rejects a stream that is not passed to the decisions: the front has no capacity for it.
func (p *Proxy) Refuse(req *Request) Response {
	return p.endUnopened(req, Response{Outcome: RejectedLocally})
}

// run runs one stream. The decisions choose every send and may end the stream; the first final answer of an endpoint ends it
// too, and so do the client's disconnect and its deadline.
func (p *Proxy) run(ctx context.Context, s decidedStream, req *Request, b *budget.RequestBudget) Response {
	defer s.Close()
	answers := make(chan Response, 1) // one answer at most: only one attempt can win
	req.state = &liveState{done: make(chan struct{}), since: time.Now()}
	defer func() {
		close(req.state.done)
		discardPending(answers)
	}()
	watchdog := req.Deadline.Add(-watchdogLead)
	timer := time.NewTimer(untilNextCheck(watchdog)) // for checks of the client, and at last the watchdog
	defer timer.Stop()
	disconnected := ctx.Done()
	firstVersion := uint32(0) // under which the first attempt was decided
	uploaded := req.Upload.doneChannel()
	if uploaded != nil {
		req.Upload.onDone = s.UploadDone
	}
	for {
		select {
		case send := <-s.Sends():
			if !req.ClientWaiting() {
				if refuseSend(s, send) {
					return Response{Outcome: ClientGone}
				}
				continue
			}
			if firstVersion == 0 {
				firstVersion = send.Version
			}
			go p.attempt(s, send, send.Version != firstVersion, p.Budget.send(b, req, send.ValueShare), p.beginAttempt(req.Txn, send.Endpoint), answers)
		case reply := <-s.LocalReply():
			return localResponse(reply, req)
		case res := <-answers:
			return res
		case <-uploaded: // its time begins
			uploaded = nil
			req.Deadline = time.Now().Add(req.Upload.ClientTimeout)
			watchdog = req.Deadline.Add(-watchdogLead)
			timer.Reset(untilNextCheck(watchdog))
		case <-disconnected:
			if ended, _ := s.Abandon(); ended {
				return Response{Outcome: ClientGone}
			}
			disconnected = nil // its answer was first, and comes: the client may still be there where all ends at once
		case <-timer.C:
			early := time.Until(watchdog) > 0
			if early && req.ClientWaiting() {
				timer.Reset(untilNextCheck(watchdog))
				continue
			}
			if res, ended := abandon(s, early); ended {
				return res
			}
		}
	}
}

// untilNextCheck is how long to wait for the next check of the client, or for the watchdog.
func untilNextCheck(watchdog time.Time) time.Duration {
	return min(clientCheckInterval, time.Until(watchdog))
}

// refuseSend does not start an attempt, for its client has disconnected, and reports whether that ends the stream. It is
// abandoned before the outcome is reported, or the decisions would send it elsewhere.
func refuseSend(s decidedStream, send driver.Send) (ended bool) {
	ended, _ = s.Abandon()
	s.ReportOutcome(send.Attempt, driver.Outcome{Status: balance.NotSent})
	return ended
}

// abandon ends a stream whose client has disconnected, or whose time is up. Ended is false where its answer was first, and
// comes.
func abandon(s decidedStream, clientGone bool) (res Response, ended bool) {
	ended, sent := s.Abandon()
	switch {
	case !ended:
		return Response{}, false
	case clientGone:
		return Response{Outcome: ClientGone}, true
	case sent: // the decisions should have ended it by now
		return Response{Outcome: DeadlineExceeded}, true
	default:
		return Response{Outcome: RejectedLocally}, true
	}
}
