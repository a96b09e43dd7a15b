package upstream

import (
	"context"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

// maxWaitTimeouts is how many connect time-outs an attempt waits where the handshake limit admits it within that time for
// sure. Otherwise it waits for one time-out, in which a connection may be released: other hosts may admit it sooner.
const maxWaitTimeouts = 4

// waiter is an attempt in a host's queue for a connection, or the place of one that has given up: the connection that is then
// opened in its turn is for whichever attempt comes next.
type waiter struct {
	kind   connKind
	result chan grant // of capacity 1; nil: the attempt has given up
}

// grant ends a wait: with a connection that was released, with an error, or with neither, which permits to open one.
type grant struct {
	conn *conn
	err  error
}

// SetHandshakeLimit bounds the new connections at each host from now on.
func (p *Pool) SetHandshakeLimit(limit pacing.HandshakeLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handshakeLimit = limit
	for id, h := range p.hosts {
		p.admit(id, h)
	}
}

// waitInQueue waits until a connection may be opened or one is released, whichever is first, for no longer than the host's
// waitTimeout. Without a connection or an error the caller may open one. The caller holds the lock, which is released here.
func (p *Pool) waitInQueue(ctx context.Context, id balance.EndpointID, h *host, deadline time.Time, kind connKind) (*conn, error) {
	w := &waiter{kind: kind, result: make(chan grant, 1)}
	h.queue = append(h.queue, w)
	p.admit(id, h)
	wait := h.waitTimeout(p.handshakeLimit.Share(len(p.hosts)), p.now().Sub(p.startTime), p.connectTimeout)
	timeout := time.NewTimer(min(wait, time.Until(deadline)))
	defer timeout.Stop()
	p.mu.Unlock()
	select {
	case g := <-w.result:
		return p.accept(ctx, g)
	case <-ctx.Done():
	case <-timeout.C:
	}
	p.mu.Lock()
	i := slices.Index(h.queue, w)
	if i < 0 { // its grant came in the same moment
		p.mu.Unlock()
		return p.accept(ctx, <-w.result)
	}
	if ctx.Err() == nil && !slices.ContainsFunc(h.queue, func(w *waiter) bool { return w.result == nil && w.kind == kind }) {
		h.queue[i] = &waiter{kind: kind}
	} else {
		h.queue = slices.Delete(h.queue, i, i+1)
	}
	p.mu.Unlock()
	return nil, errPoolExhausted
}

// accept returns what a grant brings to an attempt that may have been cancelled meanwhile, in which case nothing is to be
// sent. A connection that another request used before waits out its reuse delay, and may have become unusable by then.
func (p *Pool) accept(ctx context.Context, g grant) (*conn, error) {
	if g.conn == nil {
		return nil, g.err
	}
	delay := time.NewTimer(g.conn.kind.reuseDelay() - p.now().Sub(g.conn.idleSince))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	switch {
	case ctx.Err() != nil:
		p.release(g.conn)
		return nil, ctx.Err()
	case !g.conn.nothingToRead():
		p.discard(g.conn)
		return nil, errPoolExhausted
	}
	return g.conn, nil
}

// waitTimeout is how long the last in the queue waits. The times are since the pool's start.
func (h *host) waitTimeout(share pacing.Share, now, connectTimeout time.Duration) time.Duration {
	periodsAhead := time.Duration(max(0, len(h.queue)-1) / max(1, share.Burst))
	if h.limiter.Next(share, now)+periodsAhead*share.Interval <= now+maxWaitTimeouts*connectTimeout {
		return maxWaitTimeouts * connectTimeout
	}
	return connectTimeout
}

// admit lets waiters of a host open connections in their order, as many as its limiter permits now, and sets the timer for the
// next one. The caller holds the lock.
func (p *Pool) admit(id balance.EndpointID, h *host) {
	h.queue = slices.DeleteFunc(h.queue, func(w *waiter) bool { return w.result == nil && h.hasIdle(w.kind) })
	for share := p.handshakeLimit.Share(len(p.hosts)); len(h.queue) > 0; {
		now := p.now().Sub(p.startTime)
		if !h.limiter.Allow(share, now) {
			h.queueTimer.Reset(h.limiter.Next(share, now) - now)
			return
		}
		w := h.queue[0]
		h.queue = slices.Delete(h.queue, 0, 1)
		if w.result != nil {
			w.result <- grant{}
		} else if p.open < p.maxOpen && !p.stopped {
			p.preconnect(id, h, w.kind)
		}
	}
	h.queueTimer.Stop()
}

// preconnect opens a connection that no attempt waits for. The caller holds the lock.
func (p *Pool) preconnect(id balance.EndpointID, h *host, kind connKind) {
	p.open++
	addr, timeout := h.addr, p.connectTimeout
	p.preconnects.Go(func() {
		if c, err := p.dial(context.Background(), id, addr, timeout, kind); err == nil {
			p.release(c)
		}
	})
}

// stopPreconnects waits for the preconnects that are under way, after which none begins.
func (p *Pool) stopPreconnects() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.preconnects.Wait()
}

// handOver gives a released connection to the first waiter for its kind, if there is one. The caller holds the lock.
func (h *host) handOver(c *conn) bool {
	i := slices.IndexFunc(h.queue, func(w *waiter) bool { return w.result != nil && w.kind == c.kind })
	if i < 0 {
		return false
	}
	h.queue[i].result <- grant{conn: c}
	h.queue = slices.Delete(h.queue, i, i+1)
	return true
}

// failWaiters ends all waits for a host that is removed. The caller holds the lock.
func (h *host) failWaiters() {
	for _, w := range h.queue {
		if w.result != nil {
			w.result <- grant{err: errUnknownHost}
		}
	}
	h.queue = nil
	h.queueTimer.Stop()
}
