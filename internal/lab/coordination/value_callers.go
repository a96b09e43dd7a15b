package coordination

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination/history"
	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	putPatience = 4 * time.Second // for which a put without a clear answer is repeated
	maxWatch    = 1500 * time.Millisecond
)

// counter asks for numbers.
type counter struct {
	*caller
	counters []string
}

func (c *counter) run(ctx context.Context) {
	for c.rest(ctx, 10*time.Millisecond, 100*time.Millisecond) {
		c.do(&history.Call{Kind: history.Increment, Name: c.counters[c.random.IntN(len(c.counters))]}, 0)
	}
}

// reader reads keys.
type reader struct {
	*caller
	keys []string
}

func (r *reader) run(ctx context.Context) {
	for r.rest(ctx, 10*time.Millisecond, 100*time.Millisecond) {
		r.do(&history.Call{Kind: history.Get, Name: r.keys[r.random.IntN(len(r.keys))]}, 0)
	}
}

// writer puts values, each once, and repeats a put without a clear answer.
type writer struct {
	*caller
	keys    []string
	padding string            // of each value
	known   map[string]uint64 // the revisions of keys, as it knows them
	puts    int
}

func (w *writer) run(ctx context.Context) {
	w.known = map[string]uint64{}
	for w.rest(ctx, 20*time.Millisecond, 120*time.Millisecond) {
		key := w.keys[w.random.IntN(len(w.keys))]
		if w.random.IntN(3) == 0 {
			w.read(key)
		}
		w.put(ctx, key)
	}
}

func (w *writer) read(key string) {
	if call := w.do(&history.Call{Kind: history.Get, Name: key}, 0); call.Status == http.StatusOK {
		w.known[key] = call.Revision
	}
}

func (w *writer) put(ctx context.Context, key string) {
	w.puts++
	value := fmt.Sprint(w.name, "-", w.puts, w.padding)
	var condition *uint64
	if w.random.IntN(4) > 0 {
		revision := w.known[key]
		condition = &revision
	}
	for deadline := w.recorder.clock() + putPatience; w.recorder.clock() < deadline; {
		call := w.do(&history.Call{Kind: history.Put, Name: key, Value: value, IfRevision: condition}, 0)
		if call.Status == http.StatusOK || call.Status == http.StatusPreconditionFailed {
			w.known[key] = call.Revision
			return
		}
		if !w.rest(ctx, 10*time.Millisecond, 150*time.Millisecond) {
			return
		}
	}
}

// watcher watches a group and goes on at another machine now and then.
type watcher struct {
	*caller
	group string
	saved []uint64 // revisions that it was given
}

func (w *watcher) run(ctx context.Context) {
	since := uint64(0)
	for w.rest(ctx, 0, 50*time.Millisecond) {
		if w.random.IntN(3) == 0 {
			w.turn()
		}
		if w.random.IntN(20) == 0 {
			w.rest(ctx, 0, 2*time.Second)
		}
		call := w.watch(since, machines.Between(w.random, 0, maxWatch))
		switch call.Status {
		case http.StatusOK:
			since = call.Revision
			w.saved = append(w.saved, since)
			if w.random.IntN(10) == 0 {
				since = w.saved[w.random.IntN(len(w.saved))]
			}
		case http.StatusGone:
			since = 0
		}
	}
}

func (w *watcher) watch(since uint64, patience time.Duration) *history.Call {
	return w.do(&history.Call{Kind: history.Watch, Name: w.group, Since: since}, patience)
}
