package loopback

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Bounds of what callers hold.
const (
	connectionShare = 0.4       // of the process's descriptors; boxes and discovery have the rest
	maxResponseSize = 192 << 10 // bytes of one answer, head and framing included; bodies have 64 KiB at most
)

// callers send requests over the scenario's protocol as it has its clients do. They are safe for concurrent use.
type transport struct {
	plan      *plan.Plan
	codec     clientCodec
	now       func() time.Duration
	dialer    net.Dialer
	sidecars  []connectionPool
	endpoints []connectionPool // of the plain policy
	slots     chan struct{}    // one is taken by each open connection

	mu         sync.Mutex
	duplicates []uint64 // ids of requests that got a second answer, seen after their tries were over
}

// destination is where requests go, with the connections kept to it.
type connectionPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn // the last used one is last
}

// newTransport makes those of a run.
func newTransport(p *plan.Plan, now func() time.Duration, net *addresses) (*transport, error) {
	descriptors, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	c := &transport{plan: p, codec: newClientCodec(p), now: now, sidecars: make([]connectionPool, len(p.Sidecars)), endpoints: make([]connectionPool, len(p.Boxes)),
		slots: make(chan struct{}, int(connectionShare*float64(descriptors)))}
	c.dialer.KeepAlive = -1 // a machine that has vanished is to be noticed as late as the protocol says
	for i := range c.sidecars {
		c.sidecars[i].address = net.clientEntry(i, p.Scenario.Fleet.Protocol)
		if p.Linked("clients", i) {
			c.sidecars[i].address = net.link("clients", i, 0)
		}
	}
	for i := range c.endpoints {
		c.endpoints[i].address = net.endpoint(i)
	}
	return c, nil
}

// do sends one request and waits for its whole answer until q.left after sending, q.leaves or the end of ctx,
// whatever comes first; then it closes the connection. It returns how that went.
func (c *transport) roundTrip(ctx context.Context, q clientRequest) trace.ClientAttempt {
	t, _ := c.timedRoundTrip(ctx, q)
	return t
}

// send is do that also says when it set about sending: from then on it is the other side that may be late.
func (c *transport) timedRoundTrip(ctx context.Context, q clientRequest) (t trace.ClientAttempt, begun time.Duration) {
	t = q.attempt
	t.Timeout, t.Sent, t.Endpoint = q.timeout, trace.Unset, -1
	to := c.pool(&q)
	if to == nil {
		return c.connectFailed(ctx, &q, t), c.now()
	}
	if l := to.take(c, q.newConnection); l != nil {
		begun = c.now()
		done, unread := c.exchange(ctx, &q, t, to, l)
		if !unread {
			return done, begun
		}
		// The close crossed the request, which nobody has read: it is sent once more on a new connection.
	}
	if err := c.acquireSlot(ctx, &q); err != nil {
		return c.connectFailed(ctx, &q, t), c.now()
	}
	if begun == 0 {
		begun = c.now()
	}
	l, err := c.dial(ctx, &q, to)
	if err != nil {
		<-c.slots
		return c.connectFailed(ctx, &q, t), begun
	}
	t, _ = c.exchange(ctx, &q, t, to, l)
	return t, begun
}

// destination is nil where the query names none: there was nobody to give it to.
func (c *transport) pool(q *clientRequest) *connectionPool {
	switch {
	case q.directEndpoint >= 0:
		return &c.endpoints[q.directEndpoint]
	case q.attempt.Sidecar >= 0:
		return &c.sidecars[q.attempt.Sidecar]
	}
	return nil
}

// slot waits until one more connection may be open.
func (c *transport) acquireSlot(ctx context.Context, q *clientRequest) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	c.evictIdle()
	ctx, cancel := context.WithTimeout(ctx, min(q.timeout, q.cancelAt-c.now()))
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// evict closes one connection that nobody uses, if there is one.
func (c *transport) evictIdle() {
	for _, all := range [][]connectionPool{c.sidecars, c.endpoints} {
		for i := range all {
			if l := all[i].pop(); l != nil {
				c.closeConnection(l)
				return
			}
		}
	}
}

func (c *transport) dial(ctx context.Context, q *clientRequest, to *connectionPool) (*clientConn, error) {
	d := c.dialer
	d.Deadline = time.Now().Add(min(q.timeout, q.cancelAt-c.now()))
	conn, err := d.DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, err
	}
	return newClientConn(conn.(*net.TCPConn))
}

// failed is a try for which nothing was written whole.
func (c *transport) connectFailed(ctx context.Context, q *clientRequest, t trace.ClientAttempt) trace.ClientAttempt {
	t.Status, t.Ended = trace.StatusConnectFailed, c.now()
	if ctx.Err() != nil || t.Ended >= q.cancelAt {
		t.Status = trace.StatusCanceled
	}
	return t
}

// exchange carries out one request on a connection, which it keeps or closes afterwards. Unread is a kept
// connection whose other end was closed before anyone there had read the request.
func (c *transport) exchange(ctx context.Context, q *clientRequest, t trace.ClientAttempt, to *connectionPool, l *clientConn) (_ trace.ClientAttempt, unread bool) {
	leave := context.AfterFunc(ctx, func() { l.conn.Close() }) // what waits on it then fails
	keep := false
	defer func() {
		if leave() && keep && !q.newConnection {
			to.put(l)
			return
		}
		c.closeConnection(l)
	}()

	l.lastAnswered = 0
	l.writeBuffer = c.codec.appendRequest(l.writeBuffer[:0], q)
	l.conn.SetWriteDeadline(time.Now().Add(min(q.timeout, q.cancelAt-c.now())))
	if _, err := l.conn.Write(l.writeBuffer); err != nil {
		return c.connectFailed(ctx, q, t), l.used && !isTimeout(err) && ctx.Err() == nil
	}
	t.Sent = c.now()
	// An answer is in time until the slack is over, as the judges count.
	l.conn.SetReadDeadline(time.Now().Add(min(q.timeout+c.plan.Scenario.Rules.AnswerSlack.D(), q.cancelAt-t.Sent)))
	l.remaining.N = maxResponseSize
	if _, err := l.reader.Peek(1); err != nil {
		unread = l.used && !isTimeout(err) && ctx.Err() == nil && l.requestUnread(err)
		return c.noResponse(ctx, q, t, err, trace.StatusDisconnected), unread
	}
	l.used = true
	end, err := c.codec.readResponse(l, q)
	if err != nil {
		return c.noResponse(ctx, q, t, err, trace.StatusFailed), false
	}
	t.Ended, t.Responses = c.now(), 1
	t.Code, t.Status, t.RetryAfter, t.ReportedAttempts = end.code, end.status, end.retryAfter, end.reportedAttempts
	if t.Status == trace.StatusServed {
		var whole bool
		t.Endpoint, whole = verifyBody(t.TransactionID, end.body)
		t.Forged = !whole
	}
	if l.reader.Buffered() > 0 {
		t.Responses = 2
		return t, false
	}
	keep = !end.closeAfter
	l.lastAnswered = t.TransactionID
	return t, false
}

// unanswered is a try that was written whole and has got no whole answer; broken is its status where it was
// the other side that ended it.
func (c *transport) noResponse(ctx context.Context, q *clientRequest, t trace.ClientAttempt, err error, broken trace.Status) trace.ClientAttempt {
	t.Ended = c.now()
	switch {
	case ctx.Err() != nil || t.Ended >= q.cancelAt:
		t.Status = trace.StatusCanceled
	case isTimeout(err) && broken == trace.StatusDisconnected:
		t.Status = trace.StatusTimedOut
	default:
		t.Status = broken
	}
	return t
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// take is a kept connection that is fit for use; nil if there is none, or a fresh one is asked for.
func (d *connectionPool) take(c *transport, fresh bool) *clientConn {
	for !fresh {
		l := d.pop()
		if l == nil {
			return nil
		}
		if l.idleState() == idleClean {
			return l
		}
		c.closeConnection(l)
	}
	return nil
}

func (d *connectionPool) pop() *clientConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) == 0 {
		return nil
	}
	l := d.idle[len(d.idle)-1]
	d.idle = d.idle[:len(d.idle)-1]
	return l
}

func (d *connectionPool) put(l *clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = append(d.idle, l)
}

// retire closes a connection that has come to its end and notes a second answer on it.
func (c *transport) closeConnection(l *clientConn) {
	if l.lastAnswered != 0 && l.idleState() == idleUnexpectedData {
		c.mu.Lock()
		c.duplicates = append(c.duplicates, l.lastAnswered)
		c.mu.Unlock()
	}
	l.conn.Close()
	<-c.slots
}

// kept says whether a connection to a sidecar is free for use.
func (c *transport) hasIdle(sidecar int) bool {
	d := &c.sidecars[sidecar]
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.idle) > 0
}

// forget closes the kept connections to a sidecar: its process has ended.
func (c *transport) closeIdle(sidecar int) { c.drain(&c.sidecars[sidecar]) }

func (c *transport) drain(d *connectionPool) {
	for l := d.pop(); l != nil; l = d.pop() {
		c.closeConnection(l)
	}
}

// close ends all kept connections, when no request is under way, and returns the ids of those requests that
// have got a second answer after their first.
func (c *transport) close() (twice []uint64) {
	for i := range c.sidecars {
		c.drain(&c.sidecars[i])
	}
	for i := range c.endpoints {
		c.drain(&c.endpoints[i])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duplicates
}
