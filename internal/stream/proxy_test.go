package stream

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/driver"
)

type noConnections struct{}

func (noConnections) Probe(balance.EndpointID) balance.Status { return balance.OK }
func (noConnections) CloseUnused(balance.EndpointID)          {}

// upstreamFunc is an upstream side that the test plays.
type upstreamFunc func(ctx context.Context, host balance.EndpointID) (balance.Status, Response)

func (f upstreamFunc) Do(ctx context.Context, host balance.EndpointID, _ time.Time, _ *Request) (balance.Status, Response) {
	return f(ctx, host)
}

func newProxy(t *testing.T, hosts int, up upstreamFunc) *Proxy {
	t.Helper()
	e, err := driver.New(balance.Settings{Instances: 1, Classes: []balance.Class{
		{TargetLatency: time.Minute, Deadline: time.Minute, Idempotency: balance.Idempotent, Value: 1},
		{TargetLatency: time.Minute, Deadline: time.Minute, Idempotency: balance.NonIdempotent, Value: 1},
	}, MaxAttempts: 4, Cancel: true, WarmupInitialShare: 0.3, WarmupDuration: time.Second, CollapseMultiple: 2,
		CollapseWindow: time.Second}, 1, noConnections{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var entries []balance.Entry
	for id := range hosts {
		entries = append(entries, balance.Entry{Endpoint: balance.EndpointID(id + 1), State: balance.Ready, Weight: 1})
	}
	e.Membership(balance.ListFull, entries, 0)
	return &Proxy{Driver: e, Upstream: up, Log: zerolog.Nop()}
}

func request(class int, within time.Duration) *Request {
	return &Request{Class: class, Deadline: time.Now().Add(within)}
}

func TestServed(t *testing.T) {
	p := newProxy(t, 2, func(context.Context, balance.EndpointID) (balance.Status, Response) {
		return balance.OK, Response{Body: []byte("lens")}
	})
	if res := p.Serve(context.Background(), request(0, time.Minute)); res.Outcome != Served || string(res.Body) != "lens" {
		t.Errorf("response %+v", res)
	}
}

// Guards against a request that can't have run being failed, and one that may have being sent again.
func TestResend(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		first  balance.Status
		want   Outcome
		visits int
	}{
		{"safe, error", 0, balance.Error, Served, 2},
		{"unsafe, turned away", 1, balance.Rejected, Served, 2},
		{"unsafe, not connected", 1, balance.ConnectFailed, Served, 2},
		{"unsafe, error", 1, balance.Error, Failed, 1},
		{"unsafe, reset", 1, balance.Reset, Failed, 1},
	} {
		visits := make(chan balance.EndpointID, 9)
		p := newProxy(t, 3, func(_ context.Context, host balance.EndpointID) (balance.Status, Response) {
			visits <- host
			if len(visits) == 1 {
				return c.first, Response{}
			}
			return balance.OK, Response{}
		})
		if res := p.Serve(context.Background(), request(c.class, time.Minute)); res.Outcome != c.want || len(visits) != c.visits {
			t.Errorf("%s: outcome %d after %d sends, want %d after %d", c.name, res.Outcome, len(visits), c.want, c.visits)
		}
	}
}

// Guards against a request that is itself at fault being tried on every endpoint, and ejecting them all: the
// first that finds fault with it ends it, and the endpoints stay in use.
func TestRejected(t *testing.T) {
	visits := 0
	p := newProxy(t, 3, func(_ context.Context, _ balance.EndpointID) (balance.Status, Response) {
		visits++
		return balance.Cancelled, Response{Outcome: InvalidRequest}
	})
	for i := range 20 {
		if res := p.Serve(context.Background(), request(0, time.Minute)); res.Outcome != InvalidRequest || visits != i+1 {
			t.Fatalf("request %d: outcome %d after %d visits, want rejected after one", i, res.Outcome, visits-i)
		}
	}
	p.Upstream = upstreamFunc(func(context.Context, balance.EndpointID) (balance.Status, Response) { return balance.OK, Response{} })
	if res := p.Serve(context.Background(), request(1, time.Minute)); res.Outcome != Served {
		t.Errorf("after faulty requests: outcome %d, want served", res.Outcome)
	}
}

// Guards against a second copy of a request by way of its id: while its stream is open, or an attempt of it
// still out, the id is not taken again; afterwards it is.
func TestDuplicate(t *testing.T) {
	out, release, firstDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	p := newProxy(t, 1, func(ctx context.Context, _ balance.EndpointID) (balance.Status, Response) {
		out <- struct{}{}
		<-release // it comes back late, though cancelled
		return balance.Cancelled, Response{}
	})
	same := func() *Request {
		r := request(1, time.Minute)
		r.Txn = "9b1f"
		return r
	}
	client, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	go func() {
		p.Serve(client, same())
		close(firstDone)
	}()
	<-out
	for _, when := range []string{"while the stream is open", "while its attempt is out"} {
		if res := p.Serve(context.Background(), same()); res.Outcome != Duplicate {
			t.Errorf("%s: outcome %d, want duplicate", when, res.Outcome)
		}
		disconnect()
		<-firstDone
	}
	close(release)
	go func() { <-out }()
	for {
		if res := p.Serve(context.Background(), same()); res.Outcome != Duplicate {
			break // its attempt has come back
		}
		runtime.Gosched()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.active) > 1 {
		t.Errorf("%d ids are kept", len(p.active))
	}
}

// Guards against a panic in one attempt losing its stream, or the sidecar.
func TestPanicInAttempt(t *testing.T) {
	p := newProxy(t, 2, func(context.Context, balance.EndpointID) (balance.Status, Response) { panic("bug") })
	if res := p.Serve(context.Background(), request(1, time.Minute)); res.Outcome != Failed {
		t.Errorf("outcome %d, want failed: it may have run", res.Outcome)
	}
}

// Guards against a client that has disconnected still costing an upstream endpoint work.
func TestGone(t *testing.T) {
	cancelled := make(chan struct{})
	client, disconnect := context.WithCancel(context.Background())
	p := newProxy(t, 1, func(ctx context.Context, _ balance.EndpointID) (balance.Status, Response) {
		disconnect()
		<-ctx.Done()
		close(cancelled)
		return balance.Cancelled, Response{}
	})
	if res := p.Serve(client, request(0, time.Minute)); res.Outcome != ClientGone {
		t.Errorf("outcome %d, want gone", res.Outcome)
	}
	<-cancelled
}

// unresponsiveStream is a stream of which the decisions never decide anything more.
type unresponsiveStream struct {
	sends  chan driver.Send
	sent   bool
	closed bool
}

func (m *unresponsiveStream) Sends() <-chan driver.Send              { return m.sends }
func (m *unresponsiveStream) LocalReply() <-chan driver.LocalReply   { return nil }
func (m *unresponsiveStream) ReportOutcome(int, driver.Outcome) bool { return false }
func (m *unresponsiveStream) Abandon() (ended, sent bool)            { return true, m.sent }
func (m *unresponsiveStream) UploadDone()                            {}
func (m *unresponsiveStream) Close()                                 { m.closed = true }

// Guards against a stream without an answer where the decisions fail to end it: its deadline does.
func TestWatchdog(t *testing.T) {
	p := &Proxy{active: map[string]activeStream{}, Upstream: upstreamFunc(func(context.Context, balance.EndpointID) (balance.Status, Response) {
		return balance.Timeout, Response{}
	})}
	sent := &unresponsiveStream{sends: make(chan driver.Send, 1), sent: true}
	sent.sends <- driver.Send{}
	if res := p.run(context.Background(), sent, request(0, 100*time.Millisecond), &unlimited); res.Outcome != DeadlineExceeded || !sent.closed {
		t.Errorf("outcome %d, closed %v; want expired and closed", res.Outcome, sent.closed)
	}
	if res := p.run(context.Background(), &unresponsiveStream{}, request(0, 0), &unlimited); res.Outcome != RejectedLocally {
		t.Errorf("outcome %d, want rejected: it was never sent", res.Outcome)
	}
}
