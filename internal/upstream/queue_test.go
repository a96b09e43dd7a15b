package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// guarded is a pool with one moment in 10 s, and a clock that the test turns, at which none is near.
func guarded(t *testing.T) (p *Pool, moment func()) {
	p = poolFor(newScripted(t).addr, 10)
	var clock time.Duration
	p.now = func() time.Time { return p.startTime.Add(clock) }
	p.SetHandshakeLimit(pacing.HandshakeLimit{Handshakes: 1, Instances: 100})
	p.hosts[1].limiter.Phase = 0.5
	return p, func() { // the next one comes
		p.mu.Lock()
		defer p.mu.Unlock()
		share := p.handshakeLimit.Share(1)
		clock = clock.Truncate(share.Every) + 3*share.Every/2
		p.admit(1, p.hosts[1])
	}
}

// Guards against a connection that goes from one request to the next at once, and with it what its host says once more, or its end.
func TestHandedOnRested(t *testing.T) {
	for name, end := range map[string]say{"a second answer": says[0], "the end": {hangUp: true}} {
		host := newScripted(t)
		p := poolFor(host.addr, 10)
		c, err := p.acquire(context.Background(), 1, time.Now().Add(time.Minute), connKind{})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		at := <-host.arrivals
		p.SetHandshakeLimit(pacing.HandshakeLimit{Handshakes: 1, Instances: 1 << 20}) // no moment is near
		next := begin(context.Background(), p, connKind{}, 1)
		end.end(at.nc)
		for c.peerSilent() { // until the kernel has brought it
		}
		p.release(c)
		if got := <-next; got.c != nil || !errors.Is(got.err, errPoolExhausted) {
			t.Errorf("%s: the next has got %+v", name, got)
		}
		if _, open := counts(p, 1); open != 0 {
			t.Errorf("%s: %d connections are open", name, open)
		}
	}
}

type taken struct {
	c   *conn
	err error
}

// begin takes a connection, and returns when the attempt stands in the line as the nth.
func begin(ctx context.Context, p *Pool, use connKind, nth int) <-chan taken {
	out := make(chan taken, 1)
	go func() {
		c, err := p.acquire(ctx, 1, time.Now().Add(time.Minute), use)
		out <- taken{c, err}
	}()
	for n := 0; n < nth; {
		p.mu.Lock()
		n = len(p.hosts[1].queue)
		p.mu.Unlock()
	}
	return out
}

// Attempts that find no connection wait for a moment or for one that is put back, in their order, and each wait ends once:
// by a client that leaves, a host that goes, one's own purpose, or for good.
func TestLine(t *testing.T) {
	p, moment := guarded(t)
	ctx, leave := context.WithCancel(context.Background())
	first := begin(ctx, p, connKind{}, 1)
	second := begin(context.Background(), p, connKind{}, 2)
	other := begin(context.Background(), p, connKind{protocol: "x"}, 3)
	third := begin(context.Background(), p, connKind{}, 4)
	if _, open := counts(p, 1); open != 0 {
		t.Fatalf("%d open before any moment", open)
	}
	leave()
	if got := <-first; got.c != nil || !errors.Is(got.err, errPoolExhausted) {
		t.Fatalf("one whose client has left: %+v", got)
	}
	moment()
	got := <-second // and not the third
	if got.err != nil {
		t.Fatal(got.err)
	}
	p.release(got.c)
	if again := <-third; again.c != got.c {
		t.Fatalf("the third got %+v, not the connection that was put back", again)
	}
	p.discard(got.c)
	if _, open := counts(p, 1); open != 0 || len(p.hosts[1].queue) != 1 {
		t.Fatalf("%d open, %d wait; want 0 and the one of another protocol", open, len(p.hosts[1].queue))
	}
	p.Remove(1)
	if got := <-other; got.err != errUnknownHost {
		t.Fatalf("the host is gone: %+v", got)
	}
}

// An attempt whose time is up ends as one that was never sent, and what is opened at its moment lies ready for the next: one,
// and none where another has been put back meanwhile or the pool is full.
func TestPlaceIsKept(t *testing.T) {
	for _, c := range []struct {
		back, most, want int
	}{{0, 0, 0}, {0, 10, 1}, {1, 10, 1}} {
		p, moment := guarded(t)
		p.SetTimeouts(time.Millisecond, time.Minute)
		for range 2 {
			if c, err := p.acquire(context.Background(), 1, time.Now().Add(time.Minute), connKind{}); c != nil || err != errPoolExhausted {
				t.Fatalf("%v, %v before any moment", c, err)
			}
		}
		if n := len(p.hosts[1].queue); n != 1 {
			t.Fatalf("%d places are kept", n)
		}
		p.SetTimeouts(time.Minute, time.Minute)
		p.SetMaxConnections(c.most)
		for range c.back {
			p.open++
			busy, err := p.dial(context.Background(), 1, p.hosts[1].addr, time.Minute, connKind{})
			if err != nil {
				t.Fatal(err)
			}
			p.release(busy)
		}
		moment()
		p.preconnects.Wait()
		moment() // one is enough
		p.preconnects.Wait()
		if idle, open := counts(p, 1); idle != c.want || open != c.want {
			t.Errorf("%+v: %d idle of %d open", c, idle, open)
		}
		p.CloseUnused(1)
	}
}

// Without a bound, and where an instance is alone, nothing waits.
func TestNoLine(t *testing.T) {
	for _, d := range []pacing.HandshakeLimit{{}, {Handshakes: 1, Instances: 1}} {
		p, _ := guarded(t)
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

// A connection that comes when the client has left is not used, and stays.
func TestTurnOfOneThatHasLeft(t *testing.T) {
	p, _ := guarded(t)
	p.open++
	c, err := p.dial(context.Background(), 1, p.hosts[1].addr, time.Minute, connKind{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	if got, err := p.accept(ctx, grant{conn: c}); got != nil || !errors.Is(err, context.Canceled) {
		t.Fatalf("%v, %v", got, err)
	}
	if idle, open := counts(p, 1); idle != 1 || open != 1 {
		t.Fatalf("%d idle of %d open, want one", idle, open)
	}
	p.CloseUnused(1)
}

// How long an attempt waits: for a moment that comes soon, with those before it, and otherwise for a connect time-out.
func TestPatience(t *testing.T) {
	one := pacing.Share{AtOnce: 1, Every: time.Second}
	for _, c := range []struct {
		share pacing.Share
		line  int
		now   time.Duration
		want  time.Duration
	}{
		{one, 1, 200 * time.Millisecond, 400 * time.Millisecond},
		{one, 1, 50 * time.Millisecond, 100 * time.Millisecond},
		{one, 2, 200 * time.Millisecond, 100 * time.Millisecond},
		{pacing.Share{AtOnce: 2, Every: 100 * time.Millisecond}, 9, 0, 400 * time.Millisecond},
		{pacing.Share{AtOnce: 2, Every: 100 * time.Millisecond}, 11, 0, 100 * time.Millisecond},
	} {
		h := &host{limiter: pacing.HandshakeLimiter{Phase: 0.5}, queue: make([]*waiter, c.line)}
		if got := h.waitTimeout(c.share, c.now, 100*time.Millisecond); got != c.want {
			t.Errorf("%+v, %d in line at %s: %s, want %s", c.share, c.line, c.now, got, c.want)
		}
	}
}
