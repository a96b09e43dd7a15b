package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Bounds on when a first token is overdue, and on when its request is sent to another endpoint.
const (
	minOverdueTimeout = 600 * time.Millisecond // minimum time from the start of an attempt until its first token is overdue
	overdueFactor     = 3                      // overdue time, as a multiple of the expected time to first token
	minRerouteTime    = 300 * time.Millisecond // if less time remains until the deadline, another endpoint could not respond in time
)

// The states of a firstTokenWait. It changes once from tokenPending to one of the other two, and then stays there.
const (
	tokenPending int32 = iota
	tokenArrived
	attemptAbandoned
)

// firstTokenWait waits for the first token of one attempt. If the token is overdue, that is recorded as a failure of the endpoint,
// and an idempotent request is sent to another endpoint, because an unresponsive endpoint rarely responds later.
type firstTokenWait struct {
	placement *placement.Placement
	sentAt    time.Time
	state     atomic.Int32
	timer     *time.Timer
}

// awaitFirstToken starts to wait for the first token of an attempt. cancel must end the attempt. The caller must call stop when
// the attempt has ended.
func (f *forwarding) awaitFirstToken(placed *placement.Placement, cancel context.CancelFunc) *firstTokenWait {
	w := &firstTokenWait{placement: placed, sentAt: time.Now()}
	// The timer's goroutine must not read f, which the request's goroutine modifies.
	server, service, reroutable := f.server, f.request.service, f.canReroute()
	w.timer = time.AfterFunc(overdueTimeout(placed), func() {
		server.dispatcher.recordOverdue(placed.Endpoint)
		if reroutable && w.abandon(server.dispatcher, service) {
			server.Rerouted.Add(1)
			cancel()
		}
	})
	return w
}

// overdueTimeout returns the time from the start of an attempt until its first token is overdue.
func overdueTimeout(placed *placement.Placement) time.Duration {
	return max(minOverdueTimeout, overdueFactor*placed.Expected)
}

// canReroute reports whether the request may be sent to another endpoint if the first token of this attempt is overdue.
func (f *forwarding) canReroute() bool {
	q := f.request
	return q.route.Idempotent() && !f.response.headSent && !f.isLastAttempt() &&
		f.server.dispatcher.EndpointCount(q.service) > len(f.tried) && time.Until(q.deadline) > minOverdueTimeout+minRerouteTime
}

// abandon changes the state to attemptAbandoned and withdraws a retry from the budget for the next attempt. It returns false, and
// changes nothing, if the budget has no retry or the state is no longer tokenPending.
func (w *firstTokenWait) abandon(dispatcher *Dispatcher, service string) bool {
	if !dispatcher.withdrawRetry(service) {
		return false
	}
	if !w.state.CompareAndSwap(tokenPending, attemptAbandoned) {
		dispatcher.refundRetry(service)
		return false
	}
	return true
}

// markArrived records the arrival of the first token. It returns false if the attempt was already abandoned.
func (w *firstTokenWait) markArrived() bool {
	w.timer.Stop()
	return w.state.CompareAndSwap(tokenPending, tokenArrived)
}

// isAbandoned reports whether the attempt was abandoned. In that case a retry was withdrawn for the next attempt.
func (w *firstTokenWait) isAbandoned() bool { return w.state.Load() == attemptAbandoned }

// stop ends the wait: the attempt can no longer be abandoned. It returns the final value of isAbandoned.
func (w *firstTokenWait) stop() bool {
	w.timer.Stop()
	w.state.CompareAndSwap(tokenPending, tokenArrived)
	return w.isAbandoned()
}
