package control

import (
	"container/list"
	"context"
	"sync"
)

// defaultMaxWatches is the number of watches that wait at once where the limits state none.
const defaultMaxWatches = 256

// watchLimit bounds the watches that wait at once, so that they leave connections for other calls. One more ends the one that has waited for longest, which is
// then answered as if its time had elapsed. It is safe for concurrent use.
type watchLimit struct {
	max int

	mu      sync.Mutex
	waiting *list.List // of context.CancelFunc, the longest waiting one first
}

func newWatchLimit(maxWatches int) *watchLimit {
	if maxWatches <= 0 {
		maxWatches = defaultMaxWatches
	}
	return &watchLimit{max: maxWatches, waiting: list.New()}
}

// begin returns a context that ends with the given one, or when the watch has to end for another. The caller calls end when the watch is over.
func (l *watchLimit) begin(ctx context.Context) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting.Len() >= l.max {
		l.waiting.Remove(l.waiting.Front()).(context.CancelFunc)()
	}
	place := l.waiting.PushBack(cancel)
	return ctx, func() {
		cancel()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.waiting.Remove(place)
	}
}
