package loopback

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// minTimeout is the shortest time for which a client still asks: the protocol counts whole milliseconds.
const minTimeout = time.Millisecond

// timerGranularity is by how much Go's timers may be late in a process that has little to do, for the poller that then
// waits counts whole milliseconds. The dispatcher sleeps the last of them in the kernel.
const timerGranularity = time.Millisecond

// clients starts every request of the plan when it is due, whatever became of those before (an open loop), and
// returns when all are over or ctx has ended.
func (r *run) dispatchClients(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range r.plan.Requests {
		due := r.plan.Requests[i].Due
		if !r.waitUntil(ctx, due-timerGranularity) {
			return
		}
		for rest := due - r.elapsed(); rest > 0; rest = due - r.elapsed() { // the runtime's signals interrupt it
			left := unix.NsecToTimespec(int64(rest))
			unix.Nanosleep(&left, nil)
		}
		all.Go(func() { r.playClient(ctx, i) })
	}
}

// client plays one request over all its tries.
func (r *run) playClient(ctx context.Context, request int) {
	p := &r.plan.Requests[request]
	leaves := model.Never
	if p.Leaves > 0 {
		leaves = p.Due + p.Leaves
	}
	first := time.Duration(0)
	for no := 0; ; no++ {
		q := r.newClientRequest(request, no)
		q.cancelAt = leaves
		if q.timeout < minTimeout {
			if no == 0 { // the rig was so late that there was no point any more
				r.recorder.addLateness(r.elapsed() - p.Due)
			}
			return
		}
		t, begun := r.transport.timedRoundTrip(ctx, q)
		if no == 0 {
			first = begun
			r.recorder.addLateness(begun - p.Due)
		}
		r.recorder.addClientAttempt(t)
		at, again := r.plan.Retry(&t, first)
		if !again || at >= leaves || !r.waitUntil(ctx, at) {
			return
		}
	}
}

// ask is a client's try as the front passes it on; to nobody where the front knows of none.
func (r *run) newClientRequest(request, no int) clientRequest {
	p := &r.plan.Requests[request]
	q := clientRequest{
		attempt:        trace.ClientAttempt{TransactionID: r.plan.Txn(request, no), Request: request, Number: no, Sidecar: -1, Class: p.Class, Due: p.Due},
		idempotencyKey: p.Key, retried: p.Repeated || no > 0, newConnection: p.Fresh, directEndpoint: -1,
		timeout: r.plan.Left(request, r.elapsed()).Truncate(time.Millisecond),
	}
	if r.roundRobin != nil {
		q.directEndpoint = r.roundRobin.next(0)
	} else {
		q.attempt.Sidecar = r.plan.Choose(request, no, r.fleet.routable)
	}
	return q
}

// until waits for a time of the plan; false if ctx ends first.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := at - r.elapsed()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// late notes by how much a first try was begun too late.
func (c *recorder) addLateness(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Lateness = append(c.log.Lateness, by)
}
