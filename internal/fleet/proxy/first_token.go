package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// When a first token is overdue, and when that is of use.
const (
	minOverdue       = 600 * time.Millisecond // after the request was sent
	overdueFactor    = 3                      // times the expected time to first token
	minTimeToReroute = 300 * time.Millisecond // until the deadline, below which another endpoint is of no use
)

// The states of a firstTokenWait: a first token is awaited until it arrives or the attempt is abandoned, whichever is first.
const (
	tokenPending int32 = iota
	tokenArrived
	attemptAbandoned
)

// firstTokenWait watches for the first token of one attempt. Where it is overdue, that counts against the endpoint, and a request
// that may run again is sent elsewhere: most of the time nothing comes any more from an unresponsive endpoint.
type firstTokenWait struct {
	placement *placement.Placement
	sentAt    time.Time
	state     atomic.Int32
	timer     *time.Timer
}

// awaitFirstToken starts to watch for an attempt's first token. cancel ends the attempt; stop has to follow.
func (f *forwarding) awaitFirstToken(placed *placement.Placement, cancel context.CancelFunc) *firstTokenWait {
	w := &firstTokenWait{placement: placed, sentAt: time.Now()}
	// The timer's goroutine must not read the forwarding, which goes on.
	server, service, reroutable := f.server, f.request.service, f.canReroute()
	w.timer = time.AfterFunc(overdueAfter(placed), func() {
		server.dispatcher.recordOverdue(placed.Endpoint)
		if reroutable && w.abandon(server.dispatcher, service) {
			server.Rerouted.Add(1)
			cancel()
		}
	})
	return w
}

// overdueAfter returns how long after an attempt's start its first token is overdue.
func overdueAfter(placed *placement.Placement) time.Duration {
	return max(minOverdue, overdueFactor*placed.Expected)
}

// canReroute reports whether the request may be sent to another endpoint if this one's first token is overdue.
func (f *forwarding) canReroute() bool {
	q := f.request
	return q.route.Idempotent() && !f.response.headSent && !f.isLastAttempt() &&
		f.server.dispatcher.EndpointCount(q.service) > len(f.tried) && time.Until(q.deadline) > minOverdue+minTimeToReroute
}

// abandon gives the attempt up, with a retry taken out of the budget for the next one. It reports whether it could.
func (w *firstTokenWait) abandon(dispatcher *Dispatcher, service string) bool {
	if !dispatcher.takeRetry(service) {
		return false
	}
	if !w.state.CompareAndSwap(tokenPending, attemptAbandoned) {
		dispatcher.returnRetry(service)
		return false
	}
	return true
}

// arrive records that the first token is here. It returns false where the attempt was abandoned before.
func (w *firstTokenWait) arrive() bool {
	w.timer.Stop()
	return w.state.CompareAndSwap(tokenPending, tokenArrived)
}

// isAbandoned reports whether the attempt was abandoned, with a retry taken out of the budget for the next one.
func (w *firstTokenWait) isAbandoned() bool { return w.state.Load() == attemptAbandoned }

// stop ends the watch. It returns what isAbandoned does from now on.
func (w *firstTokenWait) stop() bool {
	w.timer.Stop()
	w.state.CompareAndSwap(tokenPending, tokenArrived)
	return w.isAbandoned()
}
