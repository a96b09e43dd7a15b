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

const (
	connectionShare = 0.4       // of the process's descriptors; endpoints and discovery have the rest
	maxResponseSize = 192 << 10 // bytes of one response, head and framing included; bodies have 64 KiB at most
)

// transport sends requests over the scenario's protocol, for clients and for endpoints that call the next tier. It keeps
// connections to every sidecar and is safe for concurrent use.
type transport struct {
	plan      *plan.Plan
	codec     clientCodec
	now       func() time.Duration
	dialer    net.Dialer
	sidecars  []connectionPool
	endpoints []connectionPool // used by the plain policy
	slots     chan struct{}    // holds a token for each open connection

	mu         sync.Mutex
	duplicates []uint64 // transaction ids with a second response, seen after their attempts had ended
}

// newTransport makes the transport of a run. An error is that of the descriptors' limit.
func newTransport(p *plan.Plan, now func() time.Duration, net *addresses) (*transport, error) {
	descriptors, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	t := &transport{
		plan:      p,
		codec:     newClientCodec(p),
		now:       now,
		sidecars:  make([]connectionPool, len(p.Sidecars)),
		endpoints: make([]connectionPool, len(p.Endpoints)),
		slots:     make(chan struct{}, int(connectionShare*float64(descriptors))),
	}
	t.dialer.KeepAlive = -1 // a host that doesn't respond is noticed by the request's time-out alone
	for i := range t.sidecars {
		t.sidecars[i].address = net.clientEntry(i, p.Scenario.Fleet.Protocol)
		if p.IsIntercepted("clients", i) {
			t.sidecars[i].address = net.link("clients", i, 0)
		}
	}
	for i := range t.endpoints {
		t.endpoints[i].address = net.endpoint(i)
	}
	return t, nil
}

// roundTrip sends one request and waits for its complete response until its time-out, its cancelAt or the end of ctx, whatever
// comes first; then it closes the connection.
func (t *transport) roundTrip(ctx context.Context, request clientRequest) trace.ClientAttempt {
	attempt, _ := t.timedRoundTrip(ctx, request)
	return attempt
}

// timedRoundTrip is roundTrip that also returns when it began to send: from then on a delay is the other side's.
func (t *transport) timedRoundTrip(ctx context.Context, request clientRequest) (attempt trace.ClientAttempt, startedAt time.Duration) {
	attempt = request.attempt
	attempt.Timeout, attempt.Sent, attempt.Endpoint = request.timeout, trace.Unset, -1
	pool := t.pool(&request)
	if pool == nil {
		return t.connectFailed(ctx, &request, attempt), t.now()
	}
	if !request.newConnection {
		if conn := pool.take(t.closeConnection); conn != nil {
			startedAt = t.now()
			done, unread := t.exchange(ctx, &request, attempt, pool, conn)
			if !unread {
				return done, startedAt
			}
			// The other end's close crossed the request, which nobody has read: it is sent again on a new connection.
		}
	}
	if err := t.acquireSlot(ctx, &request); err != nil {
		return t.connectFailed(ctx, &request, attempt), t.now()
	}
	if startedAt == 0 {
		startedAt = t.now()
	}
	conn, err := t.dial(ctx, &request, pool.address)
	if err != nil {
		<-t.slots
		return t.connectFailed(ctx, &request, attempt), startedAt
	}
	attempt, _ = t.exchange(ctx, &request, attempt, pool, conn)
	return attempt, startedAt
}

// pool is the pool of the request's recipient; nil if it has none.
func (t *transport) pool(request *clientRequest) *connectionPool {
	switch {
	case request.directEndpoint >= 0:
		return &t.endpoints[request.directEndpoint]
	case request.attempt.Sidecar >= 0:
		return &t.sidecars[request.attempt.Sidecar]
	}
	return nil
}

// acquireSlot waits until one more connection may be open. Its errors are those of a context.
func (t *transport) acquireSlot(ctx context.Context, request *clientRequest) error {
	select {
	case t.slots <- struct{}{}:
		return nil
	default:
	}
	t.evictIdle()
	ctx, cancel := context.WithTimeout(ctx, request.remaining(t.now()))
	defer cancel()
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// evictIdle closes one idle connection, if there is one.
func (t *transport) evictIdle() {
	for _, pools := range [][]connectionPool{t.sidecars, t.endpoints} {
		for i := range pools {
			if conn := pools[i].pop(); conn != nil {
				t.closeConnection(conn)
				return
			}
		}
	}
}

func (t *transport) dial(ctx context.Context, request *clientRequest, address string) (*clientConn, error) {
	dialer := t.dialer
	dialer.Deadline = time.Now().Add(request.remaining(t.now()))
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newClientConn(conn.(*net.TCPConn))
}

// connectFailed ends an attempt whose request was not written completely.
func (t *transport) connectFailed(ctx context.Context, request *clientRequest, attempt trace.ClientAttempt) trace.ClientAttempt {
	attempt.Status, attempt.Ended = trace.StatusConnectFailed, t.now()
	if ctx.Err() != nil || attempt.Ended >= request.cancelAt {
		attempt.Status = trace.StatusCanceled
	}
	return attempt
}

// exchange sends one request on a connection and reads its response; then it puts the connection into the pool or closes it.
// unread reports that the other end had closed a reused connection before anybody there read the request.
func (t *transport) exchange(
	ctx context.Context, request *clientRequest, attempt trace.ClientAttempt, pool *connectionPool, conn *clientConn,
) (_ trace.ClientAttempt, unread bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.tcp.Close() }) // reads and writes then fail
	reusable := false
	defer func() {
		if stop() && reusable && !request.newConnection {
			pool.put(conn)
			return
		}
		t.closeConnection(conn)
	}()

	conn.lastAnswered = 0
	conn.writeBuffer = t.codec.appendRequest(conn.writeBuffer[:0], request)
	_ = conn.tcp.SetWriteDeadline(time.Now().Add(request.remaining(t.now())))
	if _, err := conn.tcp.Write(conn.writeBuffer); err != nil {
		return t.connectFailed(ctx, request, attempt), conn.used && !isTimeout(err) && ctx.Err() == nil
	}
	attempt.Sent = t.now()
	// A response is in time until the slack is over, as package judge counts. Deadlines fail only on a closed connection, and then
	// the next read or write fails too.
	timeout := request.timeout + t.plan.Scenario.Rules.ResponseSlack.D()
	_ = conn.tcp.SetReadDeadline(time.Now().Add(min(timeout, request.cancelAt-attempt.Sent)))
	conn.remaining.N = maxResponseSize
	if _, err := conn.reader.Peek(1); err != nil {
		unread = conn.used && !isTimeout(err) && ctx.Err() == nil && conn.requestUnread(err)
		return t.noResponse(ctx, request, attempt, err, trace.StatusDisconnected), unread
	}
	conn.used = true
	response, err := t.codec.readResponse(conn, request)
	if err != nil {
		return t.noResponse(ctx, request, attempt, err, trace.StatusFailed), false
	}
	attempt.Ended, attempt.Responses = t.now(), 1
	response.fill(&attempt)
	if conn.reader.Buffered() > 0 {
		attempt.Responses = 2
		return attempt, false
	}
	reusable = !response.closeAfter
	conn.lastAnswered = attempt.TransactionID
	return attempt, false
}

// noResponse ends an attempt whose request was written completely and got no complete response. disconnected is its status if the
// other side ended the connection.
func (t *transport) noResponse(
	ctx context.Context, request *clientRequest, attempt trace.ClientAttempt, err error, disconnected trace.Status,
) trace.ClientAttempt {
	attempt.Ended = t.now()
	switch {
	case ctx.Err() != nil || attempt.Ended >= request.cancelAt:
		attempt.Status = trace.StatusCanceled
	case isTimeout(err) && disconnected == trace.StatusDisconnected:
		attempt.Status = trace.StatusTimedOut
	default:
		attempt.Status = disconnected
	}
	return attempt
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// closeConnection closes a connection, gives its slot back and records a second response that has come on it.
func (t *transport) closeConnection(conn *clientConn) {
	if conn.lastAnswered != 0 && conn.idleState() == idleUnexpectedData {
		t.mu.Lock()
		t.duplicates = append(t.duplicates, conn.lastAnswered)
		t.mu.Unlock()
	}
	_ = conn.tcp.Close() // it may be closed already
	<-t.slots
}

// hasIdle reports whether there is an idle connection to a sidecar.
func (t *transport) hasIdle(sidecar int) bool { return !t.sidecars[sidecar].isEmpty() }

// closeIdle closes the idle connections to a sidecar whose process has exited.
func (t *transport) closeIdle(sidecar int) { t.drain(&t.sidecars[sidecar]) }

func (t *transport) drain(pool *connectionPool) {
	for conn := pool.pop(); conn != nil; conn = pool.pop() {
		t.closeConnection(conn)
	}
}

// close closes all connections once no request is in flight, and returns the transaction ids of the requests that got a second
// response after their first.
func (t *transport) close() (duplicates []uint64) {
	for i := range t.sidecars {
		t.drain(&t.sidecars[i])
	}
	for i := range t.endpoints {
		t.drain(&t.endpoints[i])
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.duplicates
}
