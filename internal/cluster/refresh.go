package cluster

import (
	"context"
	"sync"
	"time"
)

// refreshRequests counts requests for the complete list out of turn.
type refreshRequests struct {
	mu         sync.Mutex
	requested  uint64             // number of the last request
	completed  uint64             // number of the last request that was fulfilled
	cancelWait context.CancelFunc // interrupts a call that waits for changes; nil: none does
}

// request requests the complete list as it is from now on: a call that is in flight may have been answered before.
func (r *refreshRequests) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requested++
	if r.cancelWait != nil {
		r.cancelWait()
	}
}

// pending returns the number of the last request, for complete once the list has come; 0 if none is pending.
func (r *refreshRequests) pending() (n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requested == r.completed {
		return 0
	}
	return r.requested
}

// complete records that requests up to number n are fulfilled; 0 is none.
func (r *refreshRequests) complete(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed = max(r.completed, n)
}

// startWait returns the context of a call that waits for changes. It ends when a request comes.
func (r *refreshRequests) startWait(ctx context.Context) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, r.cancelWait = context.WithCancel(ctx)
	if r.requested != r.completed {
		r.cancelWait()
	}
	return ctx
}

// endWait releases the context of startWait.
func (r *refreshRequests) endWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWait()
	r.cancelWait = nil
}

// fetchInterruptible is fetch, where a call that waits for changes is interrupted when the complete list is requested.
func (w *watch) fetchInterruptible(ctx context.Context, waits bool, target string, timeout time.Duration) (list List, interrupted bool, err error) {
	if !waits {
		list, err = w.fetch(ctx, target, timeout)
		return list, false, err
	}
	waitCtx := w.refresh.startWait(ctx)
	list, err = w.fetch(waitCtx, target, timeout)
	interrupted = err != nil && waitCtx.Err() != nil && ctx.Err() == nil
	w.refresh.endWait()
	return list, interrupted, err
}
