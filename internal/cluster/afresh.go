package cluster

import (
	"context"
	"sync"
	"time"
)

// afresh is that the whole list is wanted out of turn.
type afresh struct {
	mu      sync.Mutex
	wanted  uint64             // so often
	served  uint64             // of them that many have been
	waiting context.CancelFunc // breaks off a call that waits for news; nil: none does
}

// want says that it is wanted, as it is from now on: a call that is under way may have been answered before.
func (a *afresh) want() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wanted++
	if a.waiting != nil {
		a.waiting()
	}
}

// due tells whether it is wanted; not 0 is for done, once it has come.
func (a *afresh) due() (n uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wanted == a.served {
		return 0
	}
	return a.wanted
}

// done says that what was wanted as n has come; 0 is nothing.
func (a *afresh) done(n uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.served = max(a.served, n)
}

// begin is the context of a call that waits for news. It ends as soon as the whole list is wanted.
func (a *afresh) begin(ctx context.Context) context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, a.waiting = context.WithCancel(ctx)
	if a.wanted != a.served {
		a.waiting()
	}
	return ctx
}

func (a *afresh) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting()
	a.waiting = nil
}

// interruptible makes a call, and breaks off one that waits when the whole list is wanted.
func (w *watch) interruptible(ctx context.Context, waits bool, target string, within time.Duration) (list List, broken bool, err error) {
	if !waits {
		list, err = w.call(ctx, target, within)
		return list, false, err
	}
	waiting := w.whole.begin(ctx)
	list, err = w.call(waiting, target, within)
	broken = err != nil && waiting.Err() != nil && ctx.Err() == nil
	w.whole.end()
	return list, broken, err
}
