// Package upstream carries out upstream requests, over HTTP/1.1 or Thrift, on connections of its own. What it
// reports of each is what the decisions rest on: above all whether the request may have run.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

const (
	idleTimeoutFraction = 0.8 // of the time that an upstream host lets a connection idle: retired clearly before
	sweepInterval       = time.Second
	// reuseDelay is how long an HTTP connection rests after an answer. A host that answers twice may do so some milliseconds later,
	// and nothing tells that answer from one to the next request on the connection. Thrift's replies name their calls.
	reuseDelay = 20 * time.Millisecond
)

var (
	errUnknownHost   = errors.New("upstream: the host is not in the cluster")
	errPoolExhausted = errors.New("upstream: no connection is free")
	errSendRefused   = errors.New("upstream: nothing is to be sent at present")
)

// Pool holds the connections to all upstream hosts of the cluster. Its own requests are HTTP's.
type Pool struct {
	// ConnectOnly is for hosts whose listed ports don't speak HTTP: a probe is a connection that comes up. It
	// is set before the pool is used.
	ConnectOnly bool
	// CanSend is asked once a request has its connection, for which it may have waited: without a yes it is never sent. Nil
	// is yes. It is set before the pool is used.
	CanSend func() bool

	connectTimeout time.Duration
	maxIdle        time.Duration
	maxOpen        int // connections in all, those being opened included

	now         func() time.Time
	startTime   time.Time // from when handshakes are counted
	phaseSeed   uint64    // of the process: by which its moments at hosts are drawn
	preconnects sync.WaitGroup

	mu             sync.Mutex
	handshakeLimit pacing.HandshakeLimit // the zero value is no bound
	stopped        bool                  // nothing is opened ahead any more
	open           int
	hosts          map[balance.EndpointID]*host
}

// purpose is what a connection is used for. A host may tell protocols apart by a connection's first bytes, so
// that none serves two; HTTP's is the zero value.
type connKind struct {
	port       uint16 // 0: the one that discovery lists
	protocol   string
	oneway     bool // nothing is answered: when the host is done with a request can't be told
	correlated bool // answers name their requests, so that one that comes late or twice is told from the next
}

// rest is how long a connection rests before it may carry another request.
func (u connKind) reuseDelay() time.Duration {
	if u.protocol != "" || u.correlated {
		return 0
	}
	return reuseDelay
}

// host is one upstream host's address and its idle connections, the last used last.
type host struct {
	addr       string
	draining   bool // nothing new is to go there
	idle       []*conn
	limiter    pacing.HandshakeLimiter
	queue      []*waiter   // for a connection, the first first
	queueTimer *time.Timer // when the line is looked at
}

// NewPool returns a pool without hosts that opens at most that many connections.
func NewPool(connectTimeout, connIdle time.Duration, most int) *Pool {
	return &Pool{connectTimeout: connectTimeout, maxIdle: time.Duration(idleTimeoutFraction * float64(connIdle)), maxOpen: most,
		now: time.Now, startTime: time.Now(), phaseSeed: rand.Uint64(), hosts: map[balance.EndpointID]*host{}}
}

// SetTimeouts takes over changed settings.
func (p *Pool) SetTimeouts(connectTimeout, connIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.maxIdle = connectTimeout, time.Duration(idleTimeoutFraction*float64(connIdle))
}

// SetMaxConnections has so many connections be open at most from now on; idle ones beyond that are closed.
func (p *Pool) SetMaxConnections(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = most
	for p.open > most && p.evictIdle() {
	}
}

// Set makes a host known, or moves it; connections to its former address are of no use.
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

// SetDraining says whether nothing new is to go to a host, as it drains or is taken out: also not what the decisions have sent
// before and still waits for its connection. A host that is not known stays so.
func (p *Pool) SetDraining(id balance.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		h.draining = on
	}
}

// takes tells whether a connection's host may be sent something new at this moment, and is still where it leads.
func (p *Pool) accepts(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.endpoint]
	return h != nil && h.addr == c.addr && !h.draining
}

// Remove forgets a host. Requests that are out to it go on.
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

// Sweep retires idle connections, until ctx ends: those that have stood too long, and those that the
// other side has closed, whose descriptors would be held for nothing.
func (p *Pool) Sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
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

// fit tells whether an idle connection may carry a request: not stood too long, still open, and silent.
func (p *Pool) usable(c *conn, now time.Time) bool {
	most := p.maxIdle
	if c.maxIdle > 0 {
		most = min(most, c.maxIdle)
	}
	return now.Sub(c.idleSince) < most && c.peerSilent()
}

// closeIdle closes the idle connections that unfit picks; the caller holds the lock.
func (p *Pool) closeIdle(h *host, unfit func(*conn) bool) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if unfit(c) {
			c.close()
			p.open--
		} else {
			kept = append(kept, c)
		}
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

// take returns an idle connection to the host that is fit for use, or a new one.
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
	if p.handshakeLimit.Handshakes > 0 {
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

// dial opens a connection that is counted already.
func (p *Pool) dial(ctx context.Context, id balance.EndpointID, addr string, within time.Duration, kind connKind) (*conn, error) {
	from := time.Now()
	d := net.Dialer{Timeout: max(1, within), KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", kind.dialAddr(addr))
	if err != nil {
		p.discard(nil)
		return nil, fmt.Errorf("upstream: dial: %w", err)
	}
	c := newConn(nc, id, addr, kind)
	c.connectTime = time.Since(from)
	return c, nil
}

// last takes the idle connection out that was used last for that purpose and has rested, if there is one. They lie in the
// order in which they became idle, so that those that still rest come last.
func (h *host) takeIdle(kind connKind, now time.Time) *conn {
	rested := sort.Search(len(h.idle), func(i int) bool { return now.Sub(h.idle[i].idleSince) < kind.reuseDelay() })
	for i := rested - 1; i >= 0; i-- {
		if c := h.idle[i]; c.kind == kind {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c
		}
	}
	return nil
}

// at is where a host with that listed address serves the purpose.
func (u connKind) dialAddr(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if u.port == 0 || err != nil {
		return addr
	}
	return net.JoinHostPort(host, strconv.Itoa(int(u.port)))
}

// evictIdle closes one idle connection of any host; the caller holds the lock.
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

// put makes a connection idle, unless its host is gone or has moved meanwhile.
func (p *Pool) release(c *conn) {
	c.releaseReader()
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

// drop closes a connection that is not to be used again; nil is one that never came up.
func (p *Pool) discard(c *conn) {
	if c != nil {
		c.close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
