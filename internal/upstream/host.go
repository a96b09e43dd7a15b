package upstream

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strconv"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

// reuseDelay is how long an HTTP connection is not used again after a response. A host that responds twice may do so some
// milliseconds later, and nothing tells the second response from the one to the next request on the connection. Thrift's
// replies name their calls.
const reuseDelay = 20 * time.Millisecond

// connKind is what a connection is used for. A host may tell protocols apart by a connection's first bytes, so that no
// connection serves two kinds. The zero value is that of HTTP.
type connKind struct {
	port       uint16 // 0: the one that discovery lists
	protocol   string // a Thrift form's media type; empty: HTTP
	oneway     bool   // nothing is replied, so that the end of a request can't be seen
	correlated bool   // responses name their requests, so that a late or second one is told from the next
}

// reuseDelay is how long a connection stays idle before it may carry another request.
func (k connKind) reuseDelay() time.Duration {
	if k.protocol != "" || k.correlated {
		return 0
	}
	return reuseDelay
}

// dialAddr is where a host with that listed address serves the kind.
func (k connKind) dialAddr(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if k.port == 0 || err != nil {
		return addr
	}
	return net.JoinHostPort(host, strconv.Itoa(int(k.port)))
}

// host is one upstream host's address, its idle connections and the attempts that wait for one. The pool's lock guards it.
type host struct {
	addr       string
	draining   bool    // nothing new is to be sent there
	idle       []*conn // in the order in which they became idle
	limiter    pacing.HandshakeLimiter
	queue      []*waiter   // for a connection, first come first served
	queueTimer *time.Timer // runs when the limiter admits the next of the queue
}

// newHost returns a host without an address. The phase of its limiter is drawn by this process, and is the same when the host
// comes back.
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

// takeIdle removes and returns the connection of that kind that became idle last, of those whose reuse delay is over; nil if
// there is none. As they are in the order in which they became idle, those within their delay come last.
func (h *host) takeIdle(kind connKind, now time.Time) *conn {
	eligible := sort.Search(len(h.idle), func(i int) bool { return now.Sub(h.idle[i].idleSince) < kind.reuseDelay() })
	for i := eligible - 1; i >= 0; i-- {
		if c := h.idle[i]; c.kind == kind {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c
		}
	}
	return nil
}

// hasIdle reports whether a connection of that kind is idle.
func (h *host) hasIdle(kind connKind) bool {
	return slices.ContainsFunc(h.idle, func(c *conn) bool { return c.kind == kind })
}
