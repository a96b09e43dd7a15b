package loopback

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// minTimeout is the shortest time-out with which a request is sent: the protocol counts whole milliseconds.
const minTimeout = time.Millisecond

// timerGranularity is by how much Go's timers may be late in a process that has little to do, as the poller that waits then counts
// whole milliseconds. The dispatcher sleeps the last of them in the kernel.
const timerGranularity = time.Millisecond

// clientRequest is one request as its sender has it: a client's attempt, or an endpoint's call through its own sidecar.
type clientRequest struct {
	attempt        trace.ClientAttempt // TransactionID, Request, Parent, Number, Tier, Sidecar, Class and Due are set
	directEndpoint int                 // of the plain policy: the endpoint that gets it instead of a sidecar; -1 is none
	timeout        time.Duration       // from its sending on, as X-Remaining-Ms announces it
	cancelAt       time.Duration       // the plan's time at which its sender disconnects; model.Never if it doesn't
	idempotencyKey uint64
	retried        bool
	baggage        string // that is propagated
	newConnection  bool   // to be sent on a connection of its own, which is closed afterwards
}

// remaining is the time left for the request: its time-out, or what is left until its sender disconnects.
func (r *clientRequest) remaining(now time.Duration) time.Duration {
	return min(r.timeout, r.cancelAt-now)
}

// dispatchClients starts every request of the plan when it is due, whatever became of those before (an open loop), and returns when
// all are over or ctx has ended.
func (r *run) dispatchClients(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range r.plan.Requests {
		due := r.plan.Requests[i].Due
		if !r.waitUntil(ctx, due-timerGranularity) {
			return
		}
		r.nanosleepUntil(due)
		clients.Go(func() { r.playClient(ctx, i) })
	}
}

// nanosleepUntil blocks the thread until a time of the plan.
func (r *run) nanosleepUntil(due time.Duration) {
	for remaining := due - r.elapsed(); remaining > 0; remaining = due - r.elapsed() {
		timespec := unix.NsecToTimespec(int64(remaining))
		_ = unix.Nanosleep(&timespec, nil) // the runtime's signals interrupt it: what is left is slept in the next round
	}
}

// playClient sends one request of the plan, with its retries.
func (r *run) playClient(ctx context.Context, index int) {
	planned := &r.plan.Requests[index]
	cancelAt := model.Never
	if planned.CancelAfter > 0 {
		cancelAt = planned.Due + planned.CancelAfter
	}
	firstStart := time.Duration(0)
	for number := 0; ; number++ {
		request := r.newClientRequest(index, number)
		request.cancelAt = cancelAt
		if request.timeout < minTimeout {
			if number == 0 { // the rig was so late that no time is left
				r.recorder.addLateness(r.elapsed() - planned.Due)
			}
			return
		}
		attempt, startedAt := r.transport.timedRoundTrip(ctx, request)
		if number == 0 {
			firstStart = startedAt
			r.recorder.addLateness(startedAt - planned.Due)
		}
		r.recorder.addClientAttempt(attempt)
		at, again := r.plan.NextRetry(&attempt, firstStart)
		if !again || at >= cancelAt || !r.waitUntil(ctx, at) {
			return
		}
	}
}

// newClientRequest is a client's attempt as its load balancer routes it; to nobody if that knows of no sidecar.
func (r *run) newClientRequest(index, number int) clientRequest {
	planned := &r.plan.Requests[index]
	request := clientRequest{
		attempt: trace.ClientAttempt{
			TransactionID: r.plan.TransactionID(index, number),
			Request:       index,
			Number:        number,
			Sidecar:       -1,
			Class:         planned.Class,
			Due:           planned.Due,
		},
		idempotencyKey: planned.IdempotencyKey,
		retried:        planned.IsRetry || number > 0,
		newConnection:  planned.NewConnection,
		directEndpoint: -1,
		timeout:        r.plan.AttemptTimeout(index, r.elapsed()).Truncate(time.Millisecond),
	}
	if r.roundRobin != nil {
		request.directEndpoint = r.roundRobin.next(0)
	} else {
		request.attempt.Sidecar = r.plan.ChooseSidecar(index, number, r.fleet.routable)
	}
	return request
}
