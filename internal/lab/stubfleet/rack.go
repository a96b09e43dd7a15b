package stubfleet

import (
	"context"
	"sync"
	"time"
)

// Incarnation is a sidecar from one start to its end.
type Incarnation struct {
	Number    int           `json:"number"`
	StartedAt time.Duration `json:"begun"` // by monotonicNow
	Applied   []Applied     `json:"acted"`
	Hosts     int           `json:"hosts"` // that may get requests at the end
}

// rack is many stubs in one process.
type rack struct {
	fleet FleetConfig
	first int // number of the first stub

	mu          sync.Mutex
	stubs       []*stub // nil: not started yet
	finished    []Incarnation
	nextRestart int // index
	starts      sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
}

// newRack makes a rack of stubs, of which none runs yet.
func newRack(fleet FleetConfig, first, sidecars int) *rack {
	r := &rack{fleet: fleet, first: first, stubs: make([]*stub, sidecars)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// start starts all stubs, evenly over the fleet's StartSpread. It does not wait for that.
func (r *rack) start() {
	r.starts.Go(func() {
		for i := range r.stubs {
			if !r.sleep(r.fleet.StartSpread / time.Duration(len(r.stubs))) {
				return
			}
			r.startStub(i)
		}
	})
}

// sleep waits, and reports false if the rack is closed before.
func (r *rack) sleep(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	return sleep(r.ctx, d)
}

// startStub starts the i-th stub.
func (r *rack) startStub(i int) {
	c := startStub(r.fleet, r.first+i)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stubs[i] = c
}

// restart stops n stubs, in turn, and starts them again without any state.
func (r *rack) restart(n int) {
	for range n {
		r.mu.Lock()
		i := r.nextRestart
		r.nextRestart = (r.nextRestart + 1) % len(r.stubs)
		old := r.stubs[i]
		r.mu.Unlock()
		if old == nil { // not started yet
			continue
		}
		old.stop()
		r.mu.Lock()
		r.finished = append(r.finished, r.incarnationOf(i, old))
		r.mu.Unlock()
		r.startStub(i)
	}
}

// incarnationOf returns the incarnation of the i-th stub.
func (r *rack) incarnationOf(i int, c *stub) Incarnation {
	c.sink.mu.Lock()
	defer c.sink.mu.Unlock()
	incarnation := Incarnation{Number: r.first + i, StartedAt: c.startedAt, Applied: c.sink.applied}
	for _, open := range c.sink.hosts {
		if open {
			incarnation.Hosts++
		}
	}
	return incarnation
}

// minRevision returns the oldest revision that any stub has applied; 0 while one has none.
func (r *rack) minRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := int64(-1)
	for _, c := range r.stubs {
		if c == nil {
			return 0
		}
		if revision := c.sink.last().Revision; oldest < 0 || revision < oldest {
			oldest = revision
		}
	}
	return oldest
}

// incarnations returns the finished incarnations and the running ones.
func (r *rack) incarnations() []Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]Incarnation{}, r.finished...)
	for i, c := range r.stubs {
		if c == nil {
			out = append(out, Incarnation{Number: r.first + i})
			continue
		}
		out = append(out, r.incarnationOf(i, c))
	}
	return out
}

// close stops all stubs and waits for them.
func (r *rack) close() {
	r.cancel()
	r.starts.Wait()
	for _, c := range r.stubs {
		if c != nil {
			c.cancel()
		}
	}
	for _, c := range r.stubs {
		if c != nil {
			<-c.done
		}
	}
}
