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

// waitMost is how many connect time-outs an attempt waits for a moment that is sure to come by then. Elsewhere it waits for
// one, in which a connection may be put back: other hosts' moments may be nearer.
const waitMost = 4

// waiter is an attempt that stands in a host's line for a connection, or the place of one that has gone: what is opened at
// its moment is for whoever comes next.
type waiter struct {
	use  purpose
	told chan turn // nil: nobody is there
}

// turn is what ends a wait: a connection that was put back, that there will be none, or leave to open one.
type turn struct {
	conn *conn
	err  error
}

// Guard bounds the new connections at each host from now on.
func (p *Pool) Guard(d pacing.HandshakeLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = d
	for id, h := range p.hosts {
		p.admit(id, h)
	}
}

// queue waits until a connection may be opened, or for one that is put back, whichever is first, and for so long
// and no longer. The caller holds the lock, which is free afterwards. Without a connection nor an error one may be opened.
func (p *Pool) queue(ctx context.Context, id balance.EndpointID, h *host, until time.Time, use purpose) (*conn, error) {
	w := &waiter{use: use, told: make(chan turn, 1)}
	h.line = append(h.line, w)
	p.admit(id, h)
	wait := h.patience(p.limit.Share(len(p.hosts)), p.now().Sub(p.began), p.connectTimeout)
	late := time.NewTimer(min(wait, time.Until(until)))
	defer late.Stop()
	p.mu.Unlock()
	select {
	case t := <-w.told:
		return p.taken(ctx, t)
	case <-ctx.Done():
	case <-late.C:
	}
	p.mu.Lock()
	i := slices.Index(h.line, w)
	if i < 0 { // its turn came in the same moment
		p.mu.Unlock()
		return p.taken(ctx, <-w.told)
	}
	if ctx.Err() == nil && !slices.ContainsFunc(h.line, func(w *waiter) bool { return w.told == nil && w.use == use }) {
		h.line[i] = &waiter{use: use}
	} else {
		h.line = slices.Delete(h.line, i, i+1)
	}
	p.mu.Unlock()
	return nil, errCrowded
}

// taken is what a turn brings an attempt that may have been withdrawn meanwhile: nothing is to be sent for it. A connection
// that comes from another request rests first, and may have shown by then that it is of no use.
func (p *Pool) taken(ctx context.Context, t turn) (*conn, error) {
	if t.conn == nil {
		return nil, t.err
	}
	rested := time.NewTimer(t.conn.use.rest() - p.now().Sub(t.conn.idleSince))
	defer rested.Stop()
	select {
	case <-rested.C:
	case <-ctx.Done():
	}
	switch {
	case ctx.Err() != nil:
		p.put(t.conn)
		return nil, ctx.Err()
	case !t.conn.quiet():
		p.drop(t.conn)
		return nil, errCrowded
	}
	return t.conn, nil
}

// patience is how long the last in a line waits.
func (h *host) patience(share pacing.Share, now, timeout time.Duration) time.Duration {
	before := time.Duration(max(0, len(h.line)-1) / max(1, share.AtOnce)) // periods
	if h.limit.At(share, now)+before*share.Every <= now+waitMost*timeout {
		return waitMost * timeout
	}
	return timeout
}

// admit has those in a host's line open connections as its limit allows, in their order, and sees to it that the next is
// looked at in time. The caller holds the lock.
func (p *Pool) admit(id balance.EndpointID, h *host) {
	h.line = slices.DeleteFunc(h.line, func(w *waiter) bool { return w.told == nil && h.has(w.use) })
	for share := p.limit.Share(len(p.hosts)); len(h.line) > 0; {
		now := p.now().Sub(p.began)
		if !h.limit.Open(share, now) {
			h.again.Reset(h.limit.At(share, now) - now)
			return
		}
		w := h.line[0]
		h.line = slices.Delete(h.line, 0, 1)
		if w.told != nil {
			w.told <- turn{}
		} else if p.open < p.most && !p.ended {
			p.open++
			addr, timeout := h.addr, p.connectTimeout
			p.ahead.Go(func() {
				if c, err := p.dial(context.Background(), id, addr, timeout, w.use); err == nil {
					p.put(c)
				}
			})
		}
	}
	h.again.Stop()
}

// endAhead waits for what is being opened for nobody yet, after which nothing is any more.
func (p *Pool) endAhead() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.ahead.Wait()
}

// hand gives a connection that is put back to the first that waits for one of its kind. The caller holds the lock.
func (h *host) hand(c *conn) bool {
	i := slices.IndexFunc(h.line, func(w *waiter) bool { return w.told != nil && w.use == c.use })
	if i < 0 {
		return false
	}
	h.line[i].told <- turn{conn: c}
	h.line = slices.Delete(h.line, i, i+1)
	return true
}

// dismiss ends all waits for a host that is gone. The caller holds the lock.
func (h *host) dismiss() {
	for _, w := range h.line {
		if w.told != nil {
			w.told <- turn{err: errUnknownHost}
		}
	}
	h.line = nil
	h.again.Stop()
}

// has tells whether a connection for that purpose is idle.
func (h *host) has(use purpose) bool {
	return slices.ContainsFunc(h.idle, func(c *conn) bool { return c.use == use })
}

// newHost is a host that nothing is known of. Its moments are drawn by the process and are the same when it comes back.
func (p *Pool) newHost(id balance.EndpointID) *host {
	sum := fnv.New64a()
	_, _ = sum.Write(strconv.AppendInt(nil, int64(id), 10))
	h := &host{limit: pacing.HandshakeLimiter{Phase: rand.New(rand.NewPCG(p.secret, sum.Sum64())).Float64()}}
	h.again = time.AfterFunc(time.Hour, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.admit(id, h)
	})
	h.again.Stop()
	return h
}
