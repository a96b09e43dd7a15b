package stubfleet

import (
	"context"
	"sync"
	"time"
)

// Life is one sidecar's from a start to its end.
type Life struct {
	Number int           `json:"number"`
	Begun  time.Duration `json:"begun"` // by clock
	Acted  []Acted       `json:"acted"`
	Hosts  int           `json:"hosts"` // that may be sent to at the end
}

// rack is many sidecars in one process.
type rack struct {
	told  Told
	first int // number of the first one

	mu      sync.Mutex
	running []*sidecar // nil: not started yet
	former  []Life
	next    int // that is restarted
	starts  sync.WaitGroup
	life    context.Context
	end     context.CancelFunc
}

func newRack(told Told, first, sidecars int) *rack {
	r := &rack{told: told, first: first, running: make([]*sidecar, sidecars)}
	r.life, r.end = context.WithCancel(context.Background())
	return r
}

// start starts all of them, spread evenly as told.
func (r *rack) start() {
	r.starts.Go(func() {
		for i := range r.running {
			if !r.pause(r.told.Spread / time.Duration(len(r.running))) {
				return
			}
			r.begin(i)
		}
	})
}

// pause waits; false if the rack ends meanwhile.
func (r *rack) pause(d time.Duration) bool {
	if d <= 0 {
		return r.life.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.life.Done():
		return false
	}
}

func (r *rack) begin(i int) {
	c := start(r.told, r.first+i)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[i] = c
}

// restart ends so many, in turn, and starts them anew with nothing known.
func (r *rack) restart(n int) {
	for range n {
		r.mu.Lock()
		i := r.next
		r.next = (r.next + 1) % len(r.running)
		old := r.running[i]
		r.mu.Unlock()
		if old == nil { // not started yet
			continue
		}
		old.stop()
		r.mu.Lock()
		r.former = append(r.former, r.lifeOf(i, old))
		r.mu.Unlock()
		r.begin(i)
	}
}

func (r *rack) lifeOf(i int, c *sidecar) Life {
	c.sink.mu.Lock()
	defer c.sink.mu.Unlock()
	l := Life{Number: r.first + i, Begun: c.begun, Acted: c.sink.acted}
	for _, open := range c.sink.hosts {
		if open {
			l.Hosts++
		}
	}
	return l
}

// least is the oldest revision that any of them acts on; 0 while one has none.
func (r *rack) least() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := int64(-1)
	for _, c := range r.running {
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
func (r *rack) lives() []Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]Life{}, r.former...)
	for i, c := range r.running {
		if c == nil {
			out = append(out, Life{Number: r.first + i})
			continue
		}
		out = append(out, r.lifeOf(i, c))
	}
	return out
}

// close ends all of them and waits for that.
func (r *rack) close() {
	r.end()
	r.starts.Wait()
	for _, c := range r.running {
		if c != nil {
			c.end()
		}
	}
	for _, c := range r.running {
		if c != nil {
			<-c.ended
		}
	}
}
