package cluster

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

const (
	maxConfirmDelay = 2500 * time.Millisecond // that a suspicious list waits for confirmation: hosts that it drops get nothing new after 3 s
	minKeptShare    = 0.5                     // of the ready hosts: a complete list that has fewer of them is suspicious
)

// Pacing is how a list service that a fleet shares is called.
type Pacing struct {
	Fleet          pacing.Fleet
	ResyncInterval time.Duration // at which the complete list is fetched again; 0: never
	Revision       int64         // of a cached list that the table has already; 0: none, and the complete list is fetched
}

// withoutRevision is the pacing at another service, whose revisions may not compare.
func (p *Pacing) withoutRevision() *Pacing {
	return &Pacing{Fleet: p.Fleet, ResyncInterval: p.ResyncInterval}
}

// errInterrupted is a call that was interrupted because the complete list is requested.
var errInterrupted = errors.New("cluster: broken off")

// pacedWatch is a watch that makes its calls in the turns of a pacing.Pacer. It confirms a suspicious list by a second call
// before it takes it over.
type pacedWatch struct {
	*watch
	Pacing
	pacer           *pacing.Pacer
	startTime       time.Time
	lastFullList    time.Duration // when it came, since startTime
	unconfirmed     *List         // a suspicious list; nil: there is none
	confirmDeadline time.Duration // since startTime, at which unconfirmed is taken over
	received        bool          // a list, from the service, since the process has started
}

func (w *watch) newPacedWatch(how Pacing) *pacedWatch {
	p := &pacedWatch{watch: w, Pacing: how, startTime: time.Now()}
	p.pacer = pacing.New(how.Fleet, w.rand, 0)
	w.revision, w.synced, w.detectStops = how.Revision, how.Revision > 0, true
	p.lastFullList = -time.Duration(w.rand.Float64() * float64(how.ResyncInterval))
	return p
}

// now is the time since startTime, which is the pacer's clock.
func (p *pacedWatch) now() time.Duration { return time.Since(p.startTime) }

// run fetches the list and then watches its changes until ctx ends.
func (p *pacedWatch) run(ctx context.Context, synced func()) {
	defer p.disconnect()
	failing := false
	for p.waitForTurn(ctx) {
		if late := p.now() - p.pacer.Next(); late > minStop { // the process was stopped, and others with it
			p.log.Info().Dur("late", late).Msg("was stopped; discovery is asked a little later")
			p.pacer.Resumed(p.now())
			continue
		}
		request := p.nextRequest()
		p.pacer.Sent(p.now())
		list, end, stopped, err := p.poll(ctx, request)
		if ctx.Err() != nil {
			return
		}
		p.pacer.Done(p.now(), end)
		if errors.Is(err, errInterrupted) {
			continue
		}
		if stopped > 0 {
			p.log.Info().Dur("stopped", stopped).Msg("was stopped while discovery was asked")
			p.pacer.Resumed(p.now())
		}
		if err != nil {
			if !failing {
				p.log.Warn().Err(err).Msg("discovery did not answer")
			}
			failing = true
			continue
		}
		if failing {
			failing = false
			p.log.Info().Msg("discovery answers again")
		}
		if p.handle(list, request) {
			synced()
		}
	}
}

// waitForTurn waits for the next turn; false if ctx ends before. While there is no list the decisions get the time of that turn.
func (p *pacedWatch) waitForTurn(ctx context.Context) bool {
	at := p.pacer.Next()
	if !p.received {
		p.table.decisions.Expect(at - p.now())
	}
	return p.waitUntil(ctx, at)
}

// nextRequest returns the call to make now.
func (p *pacedWatch) nextRequest() pollRequest {
	resync := p.ResyncInterval > 0 && p.now()-p.lastFullList > p.ResyncInterval
	r := pollRequest{sentAt: time.Now(), refreshID: p.refresh.pending()}
	switch {
	case !p.synced || p.unconfirmed != nil || resync && p.received || r.refreshID > 0:
		r.target = membersPath
	case !p.received: // the cached list may be far behind, and the service may not know its revision
		r.target, r.incremental = changesTarget(p.revision, 0), true
	default:
		r.wait, r.incremental = p.pacer.WatchWait(), true
		r.target = changesTarget(p.revision, r.wait)
	}
	return r
}

// poll makes one call and returns how it ended. stopped is for how long the process was stopped meanwhile: the time-out is
// extended by it, and it does not count against the service.
func (p *pacedWatch) poll(ctx context.Context, r pollRequest) (list List, end pacing.Result, stopped time.Duration, err error) {
	start := p.now()
	connected := p.conn != nil
	timeout := p.pacer.Timeout()
	if r.wait > 0 { // a shared service may be that slow, and no faster detection is worth more calls to it
		timeout = r.wait + timeout/2
	}
	if p.unconfirmed != nil {
		timeout = min(timeout, p.confirmDeadline-start)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout) // connecting must not outlast the deadline, either
		defer cancel()
	}
	list, interrupted, err := p.fetchInterruptible(ctx, r.wait > 0, r.target, timeout)
	if p.stops != nil {
		stopped = p.stops.stopped
	}
	took := max(0, p.now()-start-stopped)
	if interrupted { // the service had no changes, and is called again in the next turn
		p.disconnect()
		return list, pacing.Result{Outcome: pacing.NoChange}, stopped, errInterrupted
	}
	if err == nil {
		return list, responseEnd(list, r, took), stopped, nil
	}
	end = failureEnd(err, r, took, connected)
	var overload *overloadError
	if !errors.As(err, &overload) {
		p.disconnect()
	}
	return list, end, stopped, err
}

// responseEnd is how a call with a list ended.
func responseEnd(list List, r pollRequest, took time.Duration) pacing.Result {
	switch {
	case r.wait > 0 && len(list.Members) == 0 && !list.Complete:
		return pacing.Result{Outcome: pacing.NoChange, Latency: max(0, took-r.wait)}
	case r.wait > 0:
		return pacing.Result{Outcome: pacing.Answered} // how long a change took to come can't be known
	}
	return pacing.Result{Outcome: pacing.Answered, Latency: took}
}

// failureEnd is how a call without a list ended. connected says whether the connection was opened by an earlier call.
func failureEnd(err error, r pollRequest, took time.Duration, connected bool) pacing.Result {
	end := pacing.Result{Latency: took}
	var overload *overloadError
	var op *net.OpError
	switch {
	case errors.As(err, &overload):
		end.Outcome, end.RetryAfter = pacing.Overloaded, overload.retryAfter
	case errors.As(err, &op) && op.Op == "dial":
		end.Outcome = pacing.Unreachable
	case errors.Is(err, os.ErrDeadlineExceeded):
		end.Outcome = pacing.TimedOut
	case r.wait > 0 || connected: // it had no changes, or it had closed the connection
		end.Outcome = pacing.Unreachable
	default:
		end.Outcome = pacing.Overloaded
	}
	return end
}

// handle takes over a list, unless it is suspicious. It reports whether a list from the service is in force now.
func (p *pacedWatch) handle(list List, r pollRequest) bool {
	if r.incremental && !list.Complete && list.Revision < p.revision {
		p.log.Warn().Int64("held", p.revision).Int64("told", list.Revision).Msg("discovery has forgotten the revision; the whole list is asked for")
		p.synced, p.revision = false, 0 // the next list is not older for its revision
		return p.received
	}
	if reason := p.suspicion(list); reason != "" && p.unconfirmed == nil {
		p.log.Warn().Str("why", reason).Int64("held", p.revision).Int64("told", list.Revision).Int("members", len(list.Members)).
			Msg("a list is doubted until discovery says the same again")
		p.unconfirmed, p.confirmDeadline = &list, p.now()+maxConfirmDelay
		return p.received
	}
	p.unconfirmed = nil
	if list.Complete {
		p.lastFullList = p.now()
		p.refresh.complete(r.refreshID)
	}
	p.accept(list)
	p.notifyUpdate(r.sentAt)
	return true
}

// accept takes over a list.
func (p *pacedWatch) accept(list List) {
	p.applyList(list)
	if !p.received && !list.Complete { // hosts that are not among the changes are as in the cached list, which is confirmed now
		p.table.Apply(balance.ListCached, p.table.Snapshot().List)
	}
	p.received = true
}

// suspicion returns why a complete list is suspicious; empty if it is not.
func (p *pacedWatch) suspicion(list List) string {
	if !list.Complete {
		return ""
	}
	ready, retained := p.table.countReady(list)
	switch {
	case ready > 0 && retained == 0:
		return "none of the hosts that are held is in it"
	case p.received && list.Revision < p.revision:
		return "it is older than the one that is held"
	case p.received && float64(retained) < minKeptShare*float64(ready):
		return "most of the hosts that are held are not in it"
	}
	return ""
}

// waitUntil waits for a time; false if ctx ends before. A list that is not confirmed in time is taken over meanwhile.
func (p *pacedWatch) waitUntil(ctx context.Context, at time.Duration) bool {
	if p.unconfirmed != nil && p.confirmDeadline < at {
		sleep(ctx, p.confirmDeadline-p.now())
		if ctx.Err() == nil {
			list := *p.unconfirmed
			p.unconfirmed = nil
			p.accept(list)
		}
	}
	sleep(ctx, at-p.now())
	return ctx.Err() == nil
}
