package coordination

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination/history"
)

const (
	// readbackTimeout is when an answer at the end counts as not coming, on a machine however busy.
	readbackTimeout  = 30 * time.Second
	readbackInterval = 50 * time.Millisecond
	readbackHold     = 100 * time.Millisecond
)

// readback asks for everything once more after all machines are back.
type readback struct {
	play  *play
	tasks sync.WaitGroup

	mu         sync.Mutex
	worst      time.Duration // until an answer
	unanswered []string
}

// run asks for each lock, counter and key, and has each watcher resume from the last revisions that it was given.
func (r *readback) run(ctx context.Context) {
	for i, lock := range r.play.names.locks {
		c := r.caller(fmt.Sprint("readback-lock-", i))
		r.repeat(ctx, func() *history.Call {
			return c.do(&history.Call{Kind: history.Acquire, Name: lock, Holder: c.name, HoldMs: readbackHold.Milliseconds()}, 0)
		})
	}
	for i, counter := range r.play.names.counters {
		c := r.caller(fmt.Sprint("readback-counter-", i))
		r.repeat(ctx, func() *history.Call { return c.do(&history.Call{Kind: history.Increment, Name: counter}, 0) })
	}
	for i, key := range r.play.names.keys {
		c := r.caller(fmt.Sprint("readback-key-", i))
		r.repeat(ctx, func() *history.Call { return c.do(&history.Call{Kind: history.Get, Name: key}, 0) })
	}
	for _, w := range r.play.watchers {
		w.final = true
		if len(w.saved) > 0 {
			r.repeat(ctx, func() *history.Call { return w.watch(w.saved[len(w.saved)-1], 0) })
		}
	}
	r.tasks.Wait()
}

func (r *readback) caller(name string) *caller {
	c := r.play.newCaller(name)
	c.final = true
	return c
}

// repeat makes a call until it is answered. A lock that another still holds is no answer yet.
func (r *readback) repeat(ctx context.Context, do func() *history.Call) {
	r.tasks.Go(func() {
		begin := r.play.recorder.clock()
		for {
			call := do()
			since := call.Received - begin
			isAnswer := call.Status == http.StatusOK || call.Status == http.StatusNotFound || call.Status == http.StatusGone
			if isAnswer || since > readbackTimeout {
				r.record(call, since, isAnswer)
				return
			}
			if !pause(ctx, readbackInterval) {
				return
			}
		}
	})
}

func (r *readback) record(call *history.Call, since time.Duration, isAnswer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.worst = max(r.worst, since)
	if !isAnswer {
		r.unanswered = append(r.unanswered, call.String())
	}
}
