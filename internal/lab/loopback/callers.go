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
	connectionsPart = 0.4       // of the process's descriptors; boxes and discovery have the rest
	answerMost      = 192 << 10 // bytes of one answer, head and framing included; bodies have 64 KiB at most
)

// callers send requests over the scenario's protocol as it has its clients do. They are safe for concurrent use.
type callers struct {
	plan     *plan.Plan
	wire     callerCodec
	now      func() time.Duration
	dialer   net.Dialer
	sidecars []destination
	boxes    []destination // of the plain policy
	slots    chan struct{} // one is taken by each open connection

	mu    sync.Mutex
	twice []uint64 // ids of requests that got a second answer, seen after their tries were over
}

// destination is where requests go, with the connections kept to it.
type destination struct {
	addr string
	mu   sync.Mutex
	idle []*line // the last used one is last
}

// newCallers makes those of a run.
func newCallers(p *plan.Plan, now func() time.Duration, net *addresses) (*callers, error) {
	descriptors, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	c := &callers{plan: p, wire: newCallerCodec(p), now: now, sidecars: make([]destination, len(p.Sidecars)), boxes: make([]destination, len(p.Boxes)),
		slots: make(chan struct{}, int(connectionsPart*float64(descriptors)))}
	c.dialer.KeepAlive = -1 // a machine that has vanished is to be noticed as late as the protocol says
	for i := range c.sidecars {
		c.sidecars[i].addr = net.entry(i, p.Scenario.Fleet.Protocol)
		if p.Linked("clients", i) {
			c.sidecars[i].addr = net.link("clients", i, 0)
		}
	}
	for i := range c.boxes {
		c.boxes[i].addr = net.box(i)
	}
	return c, nil
}

// do sends one request and waits for its whole answer until q.left after sending, q.leaves or the end of ctx,
// whatever comes first; then it closes the connection. It returns how that went.
func (c *callers) do(ctx context.Context, q query) trace.ClientAttempt {
	t, _ := c.send(ctx, q)
	return t
}

// send is do that also says when it set about sending: from then on it is the other side that may be late.
func (c *callers) send(ctx context.Context, q query) (t trace.ClientAttempt, begun time.Duration) {
	t = q.try
	t.Timeout, t.Sent, t.Endpoint = q.left, trace.Unset, -1
	to := c.destination(&q)
	if to == nil {
		return c.failed(ctx, &q, t), c.now()
	}
	if l := to.take(c, q.fresh); l != nil {
		begun = c.now()
		done, unread := c.exchange(ctx, &q, t, to, l)
		if !unread {
			return done, begun
		}
		// The close crossed the request, which nobody has read: it is sent once more on a new connection.
	}
	if err := c.slot(ctx, &q); err != nil {
		return c.failed(ctx, &q, t), c.now()
	}
	if begun == 0 {
		begun = c.now()
	}
	l, err := c.dial(ctx, &q, to)
	if err != nil {
		<-c.slots
		return c.failed(ctx, &q, t), begun
	}
	t, _ = c.exchange(ctx, &q, t, to, l)
	return t, begun
}

// destination is nil where the query names none: there was nobody to give it to.
func (c *callers) destination(q *query) *destination {
	switch {
	case q.direct >= 0:
		return &c.boxes[q.direct]
	case q.try.Sidecar >= 0:
		return &c.sidecars[q.try.Sidecar]
	}
	return nil
}

// slot waits until one more connection may be open.
func (c *callers) slot(ctx context.Context, q *query) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	c.evict()
	ctx, cancel := context.WithTimeout(ctx, min(q.left, q.leaves-c.now()))
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// evict closes one connection that nobody uses, if there is one.
func (c *callers) evict() {
	for _, all := range [][]destination{c.sidecars, c.boxes} {
		for i := range all {
			if l := all[i].pop(); l != nil {
				c.retire(l)
				return
			}
		}
	}
}

func (c *callers) dial(ctx context.Context, q *query, to *destination) (*line, error) {
	d := c.dialer
	d.Deadline = time.Now().Add(min(q.left, q.leaves-c.now()))
	conn, err := d.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		return nil, err
	}
	return newLine(conn.(*net.TCPConn))
}

// failed is a try for which nothing was written whole.
func (c *callers) failed(ctx context.Context, q *query, t trace.ClientAttempt) trace.ClientAttempt {
	t.Status, t.Ended = trace.StatusConnectFailed, c.now()
	if ctx.Err() != nil || t.Ended >= q.leaves {
		t.Status = trace.StatusCanceled
	}
	return t
}

// exchange carries out one request on a connection, which it keeps or closes afterwards. Unread is a kept
// connection whose other end was closed before anyone there had read the request.
func (c *callers) exchange(ctx context.Context, q *query, t trace.ClientAttempt, to *destination, l *line) (_ trace.ClientAttempt, unread bool) {
	leave := context.AfterFunc(ctx, func() { l.conn.Close() }) // what waits on it then fails
	keep := false
	defer func() {
		if leave() && keep && !q.fresh {
			to.keep(l)
			return
		}
		c.retire(l)
	}()

	l.last = 0
	l.out = c.wire.request(l.out[:0], q)
	l.conn.SetWriteDeadline(time.Now().Add(min(q.left, q.leaves-c.now())))
	if _, err := l.conn.Write(l.out); err != nil {
		return c.failed(ctx, q, t), l.used && !timedOut(err) && ctx.Err() == nil
	}
	t.Sent = c.now()
	// An answer is in time until the slack is over, as the judges count.
	l.conn.SetReadDeadline(time.Now().Add(min(q.left+c.plan.Scenario.Rules.AnswerSlack.D(), q.leaves-t.Sent)))
	l.rest.N = answerMost
	if _, err := l.in.Peek(1); err != nil {
		unread = l.used && !timedOut(err) && ctx.Err() == nil && l.unread(err)
		return c.unanswered(ctx, q, t, err, trace.StatusDisconnected), unread
	}
	l.used = true
	end, err := c.wire.outcome(l, q)
	if err != nil {
		return c.unanswered(ctx, q, t, err, trace.StatusFailed), false
	}
	t.Ended, t.Responses = c.now(), 1
	t.Code, t.Status, t.RetryAfter, t.ReportedAttempts = end.code, end.status, end.advice, end.tried
	if t.Status == trace.StatusServed {
		var whole bool
		t.Endpoint, whole = checkBody(t.TransactionID, end.body)
		t.Forged = !whole
	}
	if l.in.Buffered() > 0 {
		t.Responses = 2
		return t, false
	}
	keep = !end.last
	l.last = t.TransactionID
	return t, false
}

// unanswered is a try that was written whole and has got no whole answer; broken is its status where it was
// the other side that ended it.
func (c *callers) unanswered(ctx context.Context, q *query, t trace.ClientAttempt, err error, broken trace.Status) trace.ClientAttempt {
	t.Ended = c.now()
	switch {
	case ctx.Err() != nil || t.Ended >= q.leaves:
		t.Status = trace.StatusCanceled
	case timedOut(err) && broken == trace.StatusDisconnected:
		t.Status = trace.StatusTimedOut
	default:
		t.Status = broken
	}
	return t
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// take is a kept connection that is fit for use; nil if there is none, or a fresh one is asked for.
func (d *destination) take(c *callers, fresh bool) *line {
	for !fresh {
		l := d.pop()
		if l == nil {
			return nil
		}
		if l.look() == quiet {
			return l
		}
		c.retire(l)
	}
	return nil
}

func (d *destination) pop() *line {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) == 0 {
		return nil
	}
	l := d.idle[len(d.idle)-1]
	d.idle = d.idle[:len(d.idle)-1]
	return l
}

func (d *destination) keep(l *line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = append(d.idle, l)
}

// retire closes a connection that has come to its end and notes a second answer on it.
func (c *callers) retire(l *line) {
	if l.last != 0 && l.look() == talks {
		c.mu.Lock()
		c.twice = append(c.twice, l.last)
		c.mu.Unlock()
	}
	l.conn.Close()
	<-c.slots
}

// kept says whether a connection to a sidecar is free for use.
func (c *callers) kept(sidecar int) bool {
	d := &c.sidecars[sidecar]
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.idle) > 0
}

// forget closes the kept connections to a sidecar: its process has ended.
func (c *callers) forget(sidecar int) { c.clear(&c.sidecars[sidecar]) }

func (c *callers) clear(d *destination) {
	for l := d.pop(); l != nil; l = d.pop() {
		c.retire(l)
	}
}

// close ends all kept connections, when no request is under way, and returns the ids of those requests that
// have got a second answer after their first.
func (c *callers) close() (twice []uint64) {
	for i := range c.sidecars {
		c.clear(&c.sidecars[i])
	}
	for i := range c.boxes {
		c.clear(&c.boxes[i])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.twice
}
