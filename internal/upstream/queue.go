package upstream

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

// maxWaitTimeouts is how many connect time-outs an attempt waits for a moment that is sure to come by then. Elsewhere it waits for
// one, in which a connection may be put back: other hosts' moments may be nearer.
const maxWaitTimeouts = 4

// waiter is an attempt that stands in a host's line for a connection, or the place of one that has gone: what is opened at
// its moment is for whoever comes next.
type waiter struct {
	kind   connKind
	result chan grant // nil: nobody is there
}

// turn is what ends a wait: a connection that was put back, that there will be none, or leave to open one.
type grant struct {
	conn *conn
	err  error
}

// SetHandshakeLimit bounds the new connections at each host from now on.
func (p *Pool) SetHandshakeLimit(d pacing.HandshakeLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handshakeLimit = d
	for id, h := range p.hosts {
		p.admit(id, h)
	}
}

// queue waits until a connection may be opened, or for one that is put back, whichever is first, and for so long
// and no longer. The caller holds the lock, which is free afterwards. Without a connection nor an error one may be opened.
func (p *Pool) waitInQueue(ctx context.Context, id balance.EndpointID, h *host, deadline time.Time, kind connKind) (*conn, error) {
	w := &waiter{kind: kind, result: make(chan grant, 1)}
	h.queue = append(h.queue, w)
	p.admit(id, h)
	wait := h.waitTimeout(p.handshakeLimit.Share(len(p.hosts)), p.now().Sub(p.startTime), p.connectTimeout)
	late := time.NewTimer(min(wait, time.Until(deadline)))
	defer late.Stop()
	p.mu.Unlock()
	select {
	case t := <-w.result:
		return p.accept(ctx, t)
	case <-ctx.Done():
	case <-late.C:
	}
	p.mu.Lock()
	i := slices.Index(h.queue, w)
	if i < 0 { // its turn came in the same moment
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

// taken is what a turn brings an attempt that may have been withdrawn meanwhile: nothing is to be sent for it. A connection
// that comes from another request rests first, and may have shown by then that it is of no use.
func (p *Pool) accept(ctx context.Context, t grant) (*conn, error) {
	if t.conn == nil {
		return nil, t.err
	}
	rested := time.NewTimer(t.conn.kind.reuseDelay() - p.now().Sub(t.conn.idleSince))
	defer rested.Stop()
	select {
	case <-rested.C:
	case <-ctx.Done():
	}
	switch {
	case ctx.Err() != nil:
		p.release(t.conn)
		return nil, ctx.Err()
	case !t.conn.peerSilent():
		p.discard(t.conn)
		return nil, errPoolExhausted
	}
	return t.conn, nil
}

// patience is how long the last in a line waits.
func (h *host) waitTimeout(share pacing.Share, now, timeout time.Duration) time.Duration {
	before := time.Duration(max(0, len(h.queue)-1) / max(1, share.AtOnce)) // periods
	if h.limiter.At(share, now)+before*share.Every <= now+maxWaitTimeouts*timeout {
		return maxWaitTimeouts * timeout
	}
	return timeout
}

// admit has those in a host's line open connections as its limit allows, in their order, and sees to it that the next is
// looked at in time. The caller holds the lock.
func (p *Pool) admit(id balance.EndpointID, h *host) {
	h.queue = slices.DeleteFunc(h.queue, func(w *waiter) bool { return w.result == nil && h.hasIdle(w.kind) })
	for share := p.handshakeLimit.Share(len(p.hosts)); len(h.queue) > 0; {
		now := p.now().Sub(p.startTime)
		if !h.limiter.Open(share, now) {
			h.queueTimer.Reset(h.limiter.At(share, now) - now)
			return
		}
		w := h.queue[0]
		h.queue = slices.Delete(h.queue, 0, 1)
		if w.result != nil {
			w.result <- grant{}
		} else if p.open < p.maxOpen && !p.stopped {
			p.open++
			addr, timeout := h.addr, p.connectTimeout
			p.preconnects.Go(func() {
				if c, err := p.dial(context.Background(), id, addr, timeout, w.kind); err == nil {
					p.release(c)
				}
			})
		}
	}
	h.queueTimer.Stop()
}

// stopPreconnects waits for what is being opened for nobody yet, after which nothing is any more.
func (p *Pool) stopPreconnects() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.preconnects.Wait()
}

// hand gives a connection that is put back to the first that waits for one of its kind. The caller holds the lock.
func (h *host) handOver(c *conn) bool {
	i := slices.IndexFunc(h.queue, func(w *waiter) bool { return w.result != nil && w.kind == c.kind })
	if i < 0 {
		return false
	}
	h.queue[i].result <- grant{conn: c}
	h.queue = slices.Delete(h.queue, i, i+1)
	return true
}

// dismiss ends all waits for a host that is gone. The caller holds the lock.
func (h *host) failWaiters() {
	for _, w := range h.queue {
		if w.result != nil {
			w.result <- grant{err: errUnknownHost}
		}
	}
	h.queue = nil
	h.queueTimer.Stop()
}

// has tells whether a connection for that purpose is idle.
func (h *host) hasIdle(kind connKind) bool {
	return slices.ContainsFunc(h.idle, func(c *conn) bool { return c.kind == kind })
}

// newHost is a host that nothing is known of. Its moments are drawn by the process and are the same when it comes back.
func (p *Pool) newHost(id balance.EndpointID) *host {
	sum := fnv.New64a()
	_, _ = sum.Write(strconv.AppendInt(nil, int64(id), 10))
	h := &host{limiter: pacing.HandshakeLimiter{Phase: rand.New(rand.NewPCG(p.phaseSeed, sum.Sum64())).Float64()}}
	h.queueTimer = time.AfterFunc(time.Hour, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.admit(id, h)
	})
	h.queueTimer.Stop()
	return h
}
