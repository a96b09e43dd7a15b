package cluster

import (
	"context"
	"sync"
	"time"
)

// afresh is that the whole list is wanted out of turn.
type refreshRequests struct {
	mu         sync.Mutex
	requested  uint64             // so often
	completed  uint64             // of them that many have been
	cancelWait context.CancelFunc // breaks off a call that waits for news; nil: none does
}

// want says that it is wanted, as it is from now on: a call that is under way may have been answered before.
func (a *refreshRequests) request() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requested++
	if a.cancelWait != nil {
		a.cancelWait()
	}
}

// due tells whether it is wanted; not 0 is for done, once it has come.
func (a *refreshRequests) pending() (n uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requested == a.completed {
		return 0
	}
	return a.requested
}

// done says that what was wanted as n has come; 0 is nothing.
func (a *refreshRequests) complete(n uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.completed = max(a.completed, n)
}

// begin is the context of a call that waits for news. It ends as soon as the whole list is wanted.
func (a *refreshRequests) startWait(ctx context.Context) context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, a.cancelWait = context.WithCancel(ctx)
	if a.requested != a.completed {
		a.cancelWait()
	}
	return ctx
}

func (a *refreshRequests) endWait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelWait()
	a.cancelWait = nil
}

// interruptible makes a call, and breaks off one that waits when the whole list is wanted.
func (w *watch) fetchInterruptible(ctx context.Context, waits bool, target string, within time.Duration) (list List, broken bool, err error) {
	if !waits {
		list, err = w.fetch(ctx, target, within)
		return list, false, err
	}
	waiting := w.refresh.startWait(ctx)
	list, err = w.fetch(waiting, target, within)
	broken = err != nil && waiting.Err() != nil && ctx.Err() == nil
	w.refresh.endWait()
	return list, broken, err
}
