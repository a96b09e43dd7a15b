package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Bounds of the time after which a first token that was expected earlier is overdue.
const (
	overdueLeast = 600 * time.Millisecond
	overdueTimes = 3                      // what was expected
	moveLeft     = 300 * time.Millisecond // until the deadline, without which another endpoint is of no use
)

// awaitState is what became of the waiting for a first token.
type awaitState = int32

// The states: a first token is waited for until it comes or the attempt is given up, whichever is first.
const (
	waiting awaitState = iota
	arrived
	givenUp
)

// firstToken is what is waited for at an endpoint. Where it is overdue, the endpoint counts as failing, and a request that
// may run again goes elsewhere: most of the time nothing comes any more from an endpoint that is mute.
type firstToken struct {
	placed  *placement.Placement
	began   time.Time
	state   atomic.Int32
	overdue *time.Timer
}

// await begins to wait for an attempt's first token. give ends the attempt.
func (s *Server) await(a *answer, placed *placement.Placement, give context.CancelFunc) *firstToken {
	f := &firstToken{placed: placed, began: time.Now()}
	movable := a.isMovable()
	service := a.request.service
	f.overdue = time.AfterFunc(overdueAfter(placed), func() {
		s.dispatcher.overdue(placed.Endpoint)
		if !movable || !s.dispatcher.mayRepeat(service) {
			return
		}
		if !f.state.CompareAndSwap(waiting, givenUp) {
			s.dispatcher.unspent(service)
			return
		}
		s.Rerouted.Add(1)
		give()
	})
	return f
}

// isMovable tells whether the request may go to another endpoint if this one's first token is overdue.
func (a *answer) isMovable() bool {
	q := a.request
	return q.route.Idempotent() && !a.begun && !a.isLast() && a.server.dispatcher.ReadyCount(q.service) > len(a.tried) &&
		time.Until(q.deadline) > overdueLeast+moveLeft
}

// came notes that the first token is here; false: the attempt was given up before.
func (f *firstToken) came() bool {
	f.overdue.Stop()
	return f.state.CompareAndSwap(waiting, arrived)
}

// moved tells whether the attempt was given up, with a repeat taken out of the budget for the next.
func (f *firstToken) moved() bool { return f.state.Load() == givenUp }

// stop ends the waiting. It tells what moved does.
func (f *firstToken) stop() bool {
	f.overdue.Stop()
	f.state.CompareAndSwap(waiting, arrived)
	return f.moved()
}

func overdueAfter(placed *placement.Placement) time.Duration {
	return max(overdueLeast, overdueTimes*placed.Expected)
}
