package coordination

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination/history"
	"pinelb.example/pinelb/internal/lab/machines"
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
	for i, key := range slices.Concat(r.play.names.keys, r.play.names.bulk) {
		c := r.caller(fmt.Sprint("readback-key-", i))
		r.repeat(ctx, func() *history.Call { return c.do(&history.Call{Kind: history.Get, Name: key}, 0) })
	}
	for _, w := range r.play.watchers {
		w.final = true
		if len(w.saved) > 0 {
			r.repeat(ctx, func() *history.Call { return w.watch(w.saved[len(w.saved)-1], 0) })
		}
	}
	for _, v := range r.play.visitors {
		v.final = true
		r.tasks.Go(func() { r.revisit(ctx, v) })
	}
	r.tasks.Wait()
}

// revisit asks for all that a visitor called, one after the other.
func (r *readback) revisit(ctx context.Context, v *visitor) {
	for visit := 1; visit <= v.visits; visit++ {
		if !r.await(ctx, func() *history.Call { return v.do(v.again(visit), 0) }) {
			return
		}
	}
}

func (r *readback) caller(name string) *caller {
	c := r.play.newCaller(name)
	c.final = true
	return c
}

// repeat makes a call until it is answered, beside the others.
func (r *readback) repeat(ctx context.Context, do func() *history.Call) {
	r.tasks.Go(func() { r.await(ctx, do) })
}

// await makes a call until it is answered. It returns false where no answer comes.
func (r *readback) await(ctx context.Context, do func() *history.Call) bool {
	begin := r.play.recorder.clock()
	for {
		call := do()
		since := call.Received - begin
		if isAnswer(call) || since > readbackTimeout {
			r.record(call, since, isAnswer(call))
			return isAnswer(call)
		}
		if !machines.Pause(ctx, readbackInterval) {
			return false
		}
	}
}

func (r *readback) record(call *history.Call, since time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.worst = max(r.worst, since)
	if !answered {
		r.unanswered = append(r.unanswered, call.String())
	}
}
