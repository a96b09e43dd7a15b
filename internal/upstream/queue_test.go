package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// newLimitedPool returns a pool that may open one connection in 10 s, with a clock that stands far from the next permitted
// time. Calling advance moves it beyond that time.
func newLimitedPool(t *testing.T) (p *Pool, advance func()) {
	p = newTestPool(newScriptedHost(t).addr, 10)
	var clock time.Duration
	p.now = func() time.Time { return p.startTime.Add(clock) }
	p.SetHandshakeLimit(pacing.HandshakeLimit{MaxHandshakes: 1, Instances: 100})
	p.hosts[1].limiter.Phase = 0.5
	return p, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		share := p.handshakeLimit.Share(1)
		clock = clock.Truncate(share.Interval) + 3*share.Interval/2
		p.admit(1, p.hosts[1])
	}
}

// Guards against a connection that is handed to the next request at once, and with it a second response to the last one, or
// its end.
func TestHandOverWaitsForReuseDelay(t *testing.T) {
	for name, end := range map[string]reaction{"a second response": reactions[0], "the end": {closes: true}} {
		host := newScriptedHost(t)
		p := newTestPool(host.addr, 10)
		c, err := p.acquire(context.Background(), 1, time.Now().Add(time.Minute), connKind{})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		at := <-host.arrivals
		p.SetHandshakeLimit(pacing.HandshakeLimit{MaxHandshakes: 1, Instances: 1 << 20}) // no connection is permitted for long
		next := startAcquire(context.Background(), p, connKind{}, 1)
		end.apply(at.nc)
		for c.nothingToRead() { // until the kernel has brought it
		}
		p.release(c)
		if got := <-next; got.c != nil || !errors.Is(got.err, errPoolExhausted) {
			t.Errorf("%s: the next has got %+v", name, got)
		}
		if _, open := connCounts(p, 1); open != 0 {
			t.Errorf("%s: %d connections are open", name, open)
		}
	}
}

type acquired struct {
	c   *conn
	err error
}

// startAcquire acquires a connection, and returns when the attempt is the nth in the queue.
func startAcquire(ctx context.Context, p *Pool, use connKind, nth int) <-chan acquired {
	out := make(chan acquired, 1)
	go func() {
		c, err := p.acquire(ctx, 1, time.Now().Add(time.Minute), use)
		out <- acquired{c, err}
	}()
	for n := 0; n < nth; {
		p.mu.Lock()
		n = len(p.hosts[1].queue)
		p.mu.Unlock()
	}
	return out
}

// Attempts that find no connection wait until they may open one or one of their kind is released, in their order; a wait also
// ends when the client leaves or the host is removed.
func TestQueueOrder(t *testing.T) {
	p, advance := newLimitedPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	first := startAcquire(ctx, p, connKind{}, 1)
	second := startAcquire(context.Background(), p, connKind{}, 2)
	other := startAcquire(context.Background(), p, connKind{protocol: "x"}, 3)
	third := startAcquire(context.Background(), p, connKind{}, 4)
	if _, open := connCounts(p, 1); open != 0 {
		t.Fatalf("%d open before it is permitted", open)
	}
	cancel()
	if got := <-first; got.c != nil || !errors.Is(got.err, errPoolExhausted) {
		t.Fatalf("an attempt whose client has left: %+v", got)
	}
	advance()
	got := <-second // and not the third
	if got.err != nil {
		t.Fatal(got.err)
	}
	p.release(got.c)
	if again := <-third; again.c != got.c {
		t.Fatalf("the third got %+v, not the connection that was released", again)
	}
	p.discard(got.c)
	if _, open := connCounts(p, 1); open != 0 || len(p.hosts[1].queue) != 1 {
		t.Fatalf("%d open, %d wait; want 0, and the one of another protocol waiting", open, len(p.hosts[1].queue))
	}
	p.Remove(1)
	if got := <-other; got.err != errUnknownHost {
		t.Fatalf("after the host's removal: %+v", got)
	}
}

// An attempt whose wait times out ends as one that was never sent, and in its turn a connection is opened for the next
// attempt: one, and none where another has been released meanwhile or the pool is full.
func TestAbandonedTurnPreconnects(t *testing.T) {
	for _, c := range []struct {
		released, maxOpen, want int
	}{{0, 0, 0}, {0, 10, 1}, {1, 10, 1}} {
		p, advance := newLimitedPool(t)
		p.SetTimeouts(time.Millisecond, time.Minute)
		for range 2 {
			if c, err := p.acquire(context.Background(), 1, time.Now().Add(time.Minute), connKind{}); c != nil || err != errPoolExhausted {
				t.Fatalf("%v, %v before it is permitted", c, err)
			}
		}
		if n := len(p.hosts[1].queue); n != 1 {
			t.Fatalf("%d places in the queue", n)
		}
		p.SetTimeouts(time.Minute, time.Minute)
		p.SetMaxConnections(c.maxOpen)
		for range c.released {
			p.open++
			busy, err := p.dial(context.Background(), 1, p.hosts[1].addr, time.Minute, connKind{})
			if err != nil {
				t.Fatal(err)
			}
			p.release(busy)
		}
		advance()
		p.preconnects.Wait()
		advance() // one is enough
		p.preconnects.Wait()
		if idle, open := connCounts(p, 1); idle != c.want || open != c.want {
			t.Errorf("%+v: %d idle of %d open", c, idle, open)
		}
		p.CloseUnused(1)
	}
}

// Without a bound, and where an instance is alone, nothing waits.
func TestNoQueueWithoutLimit(t *testing.T) {
	for _, d := range []pacing.HandshakeLimit{{}, {MaxHandshakes: 1, Instances: 1}} {
		p, _ := newLimitedPool(t)
		p.SetHandshakeLimit(d)
		for range 5 {
			c, err := p.acquire(context.Background(), 1, time.Now().Add(time.Minute), connKind{})
			if err != nil {
				t.Fatalf("%+v: %v", d, err)
			}
			defer p.discard(c)
		}
	}
}

// A connection that is granted when the client has left is not used, and becomes idle.
func TestGrantAfterCancellation(t *testing.T) {
	p, _ := newLimitedPool(t)
	p.open++
	c, err := p.dial(context.Background(), 1, p.hosts[1].addr, time.Minute, connKind{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, err := p.accept(ctx, grant{conn: c}); got != nil || !errors.Is(err, context.Canceled) {
		t.Fatalf("%v, %v", got, err)
	}
	if idle, open := connCounts(p, 1); idle != 1 || open != 1 {
		t.Fatalf("%d idle of %d open, want one", idle, open)
	}
	p.CloseUnused(1)
}

// An attempt waits longer where its turn comes soon, after those ahead of it, and otherwise for one connect time-out.
func TestWaitTimeout(t *testing.T) {
	one := pacing.Share{Burst: 1, Interval: time.Second}
	for _, c := range []struct {
		share pacing.Share
		line  int
		now   time.Duration
		want  time.Duration
	}{
		{one, 1, 200 * time.Millisecond, 400 * time.Millisecond},
		{one, 1, 50 * time.Millisecond, 100 * time.Millisecond},
		{one, 2, 200 * time.Millisecond, 100 * time.Millisecond},
		{pacing.Share{Burst: 2, Interval: 100 * time.Millisecond}, 9, 0, 400 * time.Millisecond},
		{pacing.Share{Burst: 2, Interval: 100 * time.Millisecond}, 11, 0, 100 * time.Millisecond},
	} {
		h := &host{limiter: pacing.HandshakeLimiter{Phase: 0.5}, queue: make([]*waiter, c.line)}
		if got := h.waitTimeout(c.share, c.now, 100*time.Millisecond); got != c.want {
			t.Errorf("%+v, %d in the queue at %s: %s, want %s", c.share, c.line, c.now, got, c.want)
		}
	}
}
