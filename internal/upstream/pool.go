// Package upstream carries out requests to upstream hosts, over HTTP/1.1 or Thrift, on a pool of connections of its own. It
// never sends a request again by itself: it reports how each attempt ended, above all whether the request may have run, and
// the decisions (package balance) rest on that.
//
// The sidecar (internal/daemon) calls Pool.Do and Thrift.Do with complete messages; the router (internal/fleet/proxy) calls
// Pool.RoundTrip and streams the response. All methods may be called from several goroutines at once.
//
// Invariants: a connection carries one request at a time, and is reused only if its response was read to the end and nothing
// unexpected has come on it since; no more connections are open than the pool's bound, those being opened included.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

const (
	idleTimeoutFraction = 0.8 // of the time that a host keeps an idle connection, after which it is closed here
	sweepInterval       = time.Second
)

// Why a request is not sent. None of them is evidence against the host.
var (
	errUnknownHost   = errors.New("upstream: the host is not in the cluster")
	errPoolExhausted = errors.New("upstream: no connection is free")
	errSendRefused   = errors.New("upstream: nothing is to be sent at present")
)

// Pool is the connections to all upstream hosts of the cluster. Its own requests are over HTTP; Thrift shares it.
type Pool struct {
	// ConnectOnly makes a health check succeed as soon as its connection is open, for hosts whose listed ports don't speak
	// HTTP. It is set before the pool is used.
	ConnectOnly bool
	// CanSend is called once a request has its connection, for which it may have waited; if it returns false the request is
	// not sent. Nil permits all. It is set before the pool is used.
	CanSend func() bool

	connectTimeout time.Duration
	maxIdle        time.Duration
	maxOpen        int // connections, those being opened included

	now         func() time.Time
	startTime   time.Time // the epoch of the handshake limiters
	phaseSeed   uint64    // of this process, for the phases of its handshake limiters
	preconnects sync.WaitGroup
	lateWrites  lateWrites

	mu             sync.Mutex
	handshakeLimit pacing.HandshakeLimit // the zero value is no bound
	stopped        bool                  // no preconnect and no late write begins any more
	open           int                   // connections, those being opened included
	hosts          map[balance.EndpointID]*host
}

// NewPool returns a pool without hosts that opens at most maxOpen connections. connIdle is how long hosts keep an idle
// connection open.
func NewPool(connectTimeout, connIdle time.Duration, maxOpen int) *Pool {
	return &Pool{connectTimeout: connectTimeout, maxIdle: time.Duration(idleTimeoutFraction * float64(connIdle)), maxOpen: maxOpen,
		now: time.Now, startTime: time.Now(), phaseSeed: rand.Uint64(), hosts: map[balance.EndpointID]*host{},
		lateWrites: lateWrites{timeout: lateWriteTimeout, maxBytes: defaultMaxLateWriteBytes, conns: map[*conn]bool{}}}
}

// SetTimeouts takes over changed settings, as NewPool has them.
func (p *Pool) SetTimeouts(connectTimeout, connIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.maxIdle = connectTimeout, time.Duration(idleTimeoutFraction*float64(connIdle))
}

// SetMaxConnections changes how many connections may be open. Idle ones beyond that are closed.
func (p *Pool) SetMaxConnections(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	for p.open > maxOpen && p.evictIdle() {
	}
}

// Set adds a host, or changes its address, which closes the idle connections to the former one.
func (p *Pool) Set(id balance.EndpointID, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil {
		h = p.newHost(id)
		p.hosts[id] = h
	}
	if h.addr != addr {
		p.closeIdle(h, func(*conn) bool { return true })
		h.addr = addr
	}
}

// SetDraining sets whether nothing new is to be sent to a host, because it drains or is cordoned. This holds also for attempts
// that the decisions have started and that still wait for a connection. An unknown host is ignored.
func (p *Pool) SetDraining(id balance.EndpointID, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		h.draining = draining
	}
}

// accepts reports whether a connection's host may be sent something new now, and still has the connection's address.
func (p *Pool) accepts(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.endpoint]
	return h != nil && h.addr == c.addr && !h.draining
}

// Remove removes a host. Requests that are in flight to it go on.
func (p *Pool) Remove(id balance.EndpointID) {
	p.CloseUnused(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		h.failWaiters()
	}
	delete(p.hosts, id)
}

// CloseUnused closes the idle connections to a host.
func (p *Pool) CloseUnused(id balance.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		p.closeIdle(h, func(*conn) bool { return true })
	}
}

// Sweep closes unusable idle connections every sweepInterval, until ctx ends: those that have been idle for too long, and
// those that the host has closed, whose descriptors would be held for nothing. It returns when all preconnects and late writes have
// ended.
func (p *Pool) Sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	defer p.stopLateWrites()
	defer p.stopPreconnects()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.closeUnusable()
		}
	}
}

func (p *Pool) closeUnusable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, h := range p.hosts {
		p.closeIdle(h, func(c *conn) bool { return !p.usable(c, now) })
	}
}

// usable reports whether an idle connection may carry a request: not idle for too long, still open, and nothing unexpected
// has come on it. The caller holds the lock.
func (p *Pool) usable(c *conn, now time.Time) bool {
	maxIdle := p.maxIdle
	if c.maxIdle > 0 {
		maxIdle = min(maxIdle, c.maxIdle)
	}
	return now.Sub(c.idleSince) < maxIdle && c.nothingToRead()
}

// closeIdle closes the idle connections for which remove returns true. The caller holds the lock.
func (p *Pool) closeIdle(h *host, remove func(*conn) bool) {
	idle := h.idle[:0]
	for _, c := range h.idle {
		if remove(c) {
			c.close()
			p.open--
		} else {
			idle = append(idle, c)
		}
	}
	clear(h.idle[len(idle):])
	h.idle = idle
}

// acquire returns a usable idle connection to the host, or a new one.
func (p *Pool) acquire(ctx context.Context, id balance.EndpointID, deadline time.Time, kind connKind) (*conn, error) {
	p.mu.Lock()
	h := p.hosts[id]
	if h == nil {
		p.mu.Unlock()
		return nil, errUnknownHost
	}
	now := p.now()
	for c := h.takeIdle(kind, now); c != nil; c = h.takeIdle(kind, now) {
		if p.usable(c, now) {
			p.mu.Unlock()
			return c, nil
		}
		c.close()
		p.open--
	}
	if p.handshakeLimit.MaxHandshakes > 0 {
		if c, err := p.waitInQueue(ctx, id, h, deadline, kind); c != nil || err != nil {
			return c, err
		}
		p.mu.Lock()
	}
	if p.open >= p.maxOpen && !p.evictIdle() {
		p.mu.Unlock()
		return nil, errPoolExhausted
	}
	p.open++
	addr, timeout := h.addr, p.connectTimeout
	p.mu.Unlock()
	return p.dial(ctx, id, addr, min(timeout, time.Until(deadline)), kind)
}

// dial opens a connection that is counted as open already.
func (p *Pool) dial(ctx context.Context, id balance.EndpointID, addr string, timeout time.Duration, kind connKind) (*conn, error) {
	start := time.Now()
	d := net.Dialer{Timeout: max(1, timeout), KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", kind.dialAddr(addr))
	if err != nil {
		p.discard(nil)
		return nil, fmt.Errorf("upstream: dial: %w", err)
	}
	c := newConn(nc, id, addr, kind)
	c.connectTime = time.Since(start)
	return c, nil
}

// evictIdle closes one idle connection of any host, and reports whether there was one. The caller holds the lock.
func (p *Pool) evictIdle() bool {
	for _, h := range p.hosts {
		if len(h.idle) > 0 {
			oldest := h.idle[0]
			p.closeIdle(h, func(c *conn) bool { return c == oldest })
			return true
		}
	}
	return false
}

// finish releases a connection that may be reused, and discards another.
func (p *Pool) finish(c *conn, reusable bool) {
	if reusable {
		p.release(c)
	} else {
		p.discard(c)
	}
}

// release makes a connection idle, or hands it to a waiter. It closes it where the host was removed or has another address.
func (p *Pool) release(c *conn) {
	c.releaseReader()
	c.written = 0
	p.mu.Lock()
	h := p.hosts[c.endpoint]
	if h == nil || h.addr != c.addr {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = p.now()
	if !h.handOver(c) {
		h.idle = append(h.idle, c)
	}
	p.mu.Unlock()
}

// discard closes a connection that is not to be used again; nil is one that could not be opened.
func (p *Pool) discard(c *conn) {
	if c != nil {
		c.close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
