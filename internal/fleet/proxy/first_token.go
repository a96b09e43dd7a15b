package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Bounds of the time after which a first token that was expected earlier is overdue.
const (
	minOverdue       = 600 * time.Millisecond
	overdueFactor    = 3                      // what was expected
	minTimeToReroute = 300 * time.Millisecond // until the deadline, without which another endpoint is of no use
)

// tokenState is what became of the waiting for a first token.
type tokenState = int32

// The states: a first token is waited for until it comes or the attempt is given up, whichever is first.
const (
	tokenPending tokenState = iota
	tokenArrived
	attemptAbandoned
)

// recordFirstToken is what is waited for at an endpoint. Where it is overdue, the endpoint counts as failing, and a request that
// may run again goes elsewhere: most of the time nothing comes any more from an endpoint that is mute.
type firstTokenWait struct {
	placement *placement.Placement
	sentAt    time.Time
	state     atomic.Int32
	timer     *time.Timer
}

// await begins to wait for an attempt's first token. give ends the attempt.
func (s *Server) awaitFirstToken(a *forwarding, placed *placement.Placement, give context.CancelFunc) *firstTokenWait {
	f := &firstTokenWait{placement: placed, sentAt: time.Now()}
	movable := a.canReroute()
	service := a.request.service
	f.timer = time.AfterFunc(overdueAfter(placed), func() {
		s.dispatcher.recordOverdue(placed.Endpoint)
		if !movable || !s.dispatcher.takeRetry(service) {
			return
		}
		if !f.state.CompareAndSwap(tokenPending, attemptAbandoned) {
			s.dispatcher.returnRetry(service)
			return
		}
		s.Rerouted.Add(1)
		give()
	})
	return f
}

// canReroute tells whether the request may go to another endpoint if this one's first token is overdue.
func (a *forwarding) canReroute() bool {
	q := a.request
	return q.route.Idempotent() && !a.headSent && !a.isLastAttempt() && a.server.dispatcher.ReadyCount(q.service) > len(a.tried) &&
		time.Until(q.deadline) > minOverdue+minTimeToReroute
}

// came notes that the first token is here; false: the attempt was given up before.
func (f *firstTokenWait) arrive() bool {
	f.timer.Stop()
	return f.state.CompareAndSwap(tokenPending, tokenArrived)
}

// moved tells whether the attempt was given up, with a repeat taken out of the budget for the next.
func (f *firstTokenWait) isAbandoned() bool { return f.state.Load() == attemptAbandoned }

// stop ends the waiting. It tells what moved does.
func (f *firstTokenWait) stop() bool {
	f.timer.Stop()
	f.state.CompareAndSwap(tokenPending, tokenArrived)
	return f.isAbandoned()
}

func overdueAfter(placed *placement.Placement) time.Duration {
	return max(minOverdue, overdueFactor*placed.Expected)
}
