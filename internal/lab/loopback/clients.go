package loopback

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// leastLeft is the shortest time for which a client still asks: the protocol counts whole milliseconds.
const leastLeft = time.Millisecond

// timerLate is by how much Go's timers may be late in a process that has little to do, for the poller that then
// waits counts whole milliseconds. The dispatcher sleeps the last of them in the kernel.
const timerLate = time.Millisecond

// clients starts every request of the plan when it is due, whatever became of those before (an open loop), and
// returns when all are over or ctx has ended.
func (r *run) clients(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range r.plan.Requests {
		due := r.plan.Requests[i].Due
		if !r.until(ctx, due-timerLate) {
			return
		}
		for rest := due - r.now(); rest > 0; rest = due - r.now() { // the runtime's signals interrupt it
			left := unix.NsecToTimespec(int64(rest))
			unix.Nanosleep(&left, nil)
		}
		all.Go(func() { r.client(ctx, i) })
	}
}

// client plays one request over all its tries.
func (r *run) client(ctx context.Context, request int) {
	p := &r.plan.Requests[request]
	leaves := model.Never
	if p.Leaves > 0 {
		leaves = p.Due + p.Leaves
	}
	first := time.Duration(0)
	for no := 0; ; no++ {
		q := r.ask(request, no)
		q.leaves = leaves
		if q.left < leastLeft {
			if no == 0 { // the rig was so late that there was no point any more
				r.trace.late(r.now() - p.Due)
			}
			return
		}
		t, begun := r.callers.send(ctx, q)
		if no == 0 {
			first = begun
			r.trace.late(begun - p.Due)
		}
		r.trace.try(t)
		at, again := r.plan.Retry(&t, first)
		if !again || at >= leaves || !r.until(ctx, at) {
			return
		}
	}
}

// ask is a client's try as the front passes it on; to nobody where the front knows of none.
func (r *run) ask(request, no int) query {
	p := &r.plan.Requests[request]
	q := query{
		try: trace.ClientAttempt{TransactionID: r.plan.Txn(request, no), Request: request, Number: no, Sidecar: -1, Class: p.Class, Due: p.Due},
		key: p.Key, repeated: p.Repeated || no > 0, fresh: p.Fresh, direct: -1,
		left: r.plan.Left(request, r.now()).Truncate(time.Millisecond),
	}
	if r.rotation != nil {
		q.direct = r.rotation.next(0)
	} else {
		q.try.Sidecar = r.plan.Choose(request, no, r.fleet.admitted)
	}
	return q
}

// until waits for a time of the plan; false if ctx ends first.
func (r *run) until(ctx context.Context, at time.Duration) bool {
	wait := at - r.now()
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
func (c *collector) late(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Lateness = append(c.log.Lateness, by)
}
