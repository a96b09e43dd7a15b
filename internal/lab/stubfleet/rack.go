package stubfleet

import (
	"context"
	"sync"
	"time"
)

// Incarnation is one sidecar's from a start to its end.
type Incarnation struct {
	Number int           `json:"number"`
	StartedAt  time.Duration `json:"begun"` // by clock
	Applied  []Applied       `json:"acted"`
	Hosts  int           `json:"hosts"` // that may be sent to at the end
}

// rack is many sidecars in one process.
type rack struct {
	fleet  FleetConfig
	first int // number of the first one

	mu      sync.Mutex
	stubs []*stub // nil: not started yet
	finished  []Incarnation
	nextRestart    int // that is restarted
	starts  sync.WaitGroup
	ctx    context.Context
	cancel     context.CancelFunc
}

func newRack(told FleetConfig, first, sidecars int) *rack {
	r := &rack{fleet: told, first: first, stubs: make([]*stub, sidecars)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// start starts all of them, spread evenly as told.
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

// pause waits; false if the rack ends meanwhile.
func (r *rack) sleep(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (r *rack) startStub(i int) {
	c := startStub(r.fleet, r.first+i)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stubs[i] = c
}

// restart ends so many, in turn, and starts them anew with nothing known.
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

func (r *rack) incarnationOf(i int, c *stub) Incarnation {
	c.sink.mu.Lock()
	defer c.sink.mu.Unlock()
	l := Incarnation{Number: r.first + i, StartedAt: c.startedAt, Applied: c.sink.applied}
	for _, open := range c.sink.hosts {
		if open {
			l.Hosts++
		}
	}
	return l
}

// least is the oldest revision that any of them acts on; 0 while one has none.
func (r *rack) minRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := int64(-1)
	for _, c := range r.stubs {
		if c == nil {
			return 0
		}
		if at := c.sink.last().Revision; least < 0 || at < least {
			least = at
		}
	}
	return least
}

// lives are those that have ended and those that go on.
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

// close ends all of them and waits for that.
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
