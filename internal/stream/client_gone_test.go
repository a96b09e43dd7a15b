package stream

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/driver"
)

// Guards against a request that is forwarded for a client that has disconnected, where its front did not notice: a check of the
// connection is all that shows it. Each case says when it begins to.
func TestClientGoneUnnoticed(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		hosts  int
		before bool             // the client is gone before its stream begins,
		during int              // or during that visit,
		after  time.Duration    // or so long after its beginning
		status []balance.Status // of the visits that there are
	}{
		{name: "before its head is read", class: 1, hosts: 1, before: true},
		{name: "between two attempts", class: 1, hosts: 3, during: 1, status: []balance.Status{balance.Rejected}},
		{name: "queued for want of an endpoint", class: 1, hosts: 0, after: time.Second},
		{name: "while its attempt is out", class: 0, hosts: 3, during: 1, status: []balance.Status{balance.Cancelled}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var clientGone atomic.Bool
				clientGone.Store(c.before)
				visits := make(chan time.Time, 9)
				p := newProxy(t, c.hosts, func(ctx context.Context, _ balance.EndpointID) (balance.Status, Response) {
					visits <- time.Now()
					if len(visits) == c.during {
						clientGone.Store(true)
					}
					if n := len(visits); n <= len(c.status) && c.status[n-1] != balance.Cancelled {
						return c.status[n-1], Response{}
					}
					<-ctx.Done()
					return balance.Cancelled, Response{}
				})
				client, disconnect := context.WithCancel(context.Background())
				defer disconnect()
				from := time.Now()
				req := request(c.class, time.Minute)
				req.ClientGone = func() bool { return clientGone.Load() || c.after > 0 && time.Since(from) >= c.after }
				res := p.Serve(client, req)
				if res.Outcome != ClientGone || len(visits) != len(c.status) {
					t.Errorf("outcome %d after %d visits, want gone after %d", res.Outcome, len(visits), len(c.status))
				}
				if took := time.Since(from) - c.after; took > 200*time.Millisecond {
					t.Errorf("it is kept for %v after the disconnect", took)
				}
				synctest.Wait()
				if n := p.Active(); n != 0 {
					t.Errorf("%d streams are kept", n)
				}
			})
		})
	}
}

// Guards against an attempt that still waits for its connection going out for a stream that has ended, where the settings
// let nothing be cancelled.
func TestClientNotWaitingAfterEnd(t *testing.T) {
	waits, over := make(chan *Request, 1), make(chan struct{})
	wanted := make(chan bool, 1)
	p := &Proxy{active: map[string]activeStream{}, Upstream: contextUpstream(func(_ context.Context, req *Request) (balance.Status, Response) {
		waits <- req
		<-over
		wanted <- req.ClientWaiting()
		return balance.NotSent, Response{}
	})}
	sent := &unresponsiveStream{sends: make(chan driver.Send, 1), sent: true}
	sent.sends <- driver.Send{}
	client, disconnect := context.WithCancel(context.Background())
	go func() {
		if !(<-waits).ClientWaiting() {
			t.Error("it is not wanted while its client waits")
		}
		disconnect()
	}()
	p.run(client, sent, request(1, time.Minute), &unlimited)
	close(over)
	if <-wanted {
		t.Error("it is wanted although the stream has ended")
	}
}

// Guards against the last check before an attempt's first byte being spared where its client may have left since the one before,
// and against one where the client was there a moment ago: checks cost calls to the kernel.
func TestClientRecentlyWaiting(t *testing.T) {
	for _, c := range []struct {
		waits time.Duration // of the attempt, for its connection
		looks int64
		want  bool
	}{{0, 1, true}, {clientCheckValidity, 1, true}, {clientCheckValidity + time.Nanosecond, 2, false}, {time.Second, 2, false}} {
		synctest.Test(t, func(t *testing.T) {
			var checks atomic.Int64
			req := request(1, time.Minute)
			req.ClientGone = func() bool { return checks.Add(1) > 1 } // it leaves after the first
			called := make(chan struct{})
			p := &Proxy{active: map[string]activeStream{}, Upstream: contextUpstream(func(_ context.Context, req *Request) (balance.Status, Response) {
				defer close(called)
				time.Sleep(c.waits)
				if got := req.ClientRecentlyWaiting(); got != c.want || checks.Load() != c.looks {
					t.Errorf("after %v it is wanted: %v after %d checks, want %v after %d", c.waits, got, checks.Load(), c.want, c.looks)
				}
				return balance.OK, Response{}
			})}
			sent := &unresponsiveStream{sends: make(chan driver.Send, 1), sent: true}
			sent.sends <- driver.Send{}
			p.run(t.Context(), sent, req, &unlimited)
			<-called
		})
	}
}

type contextUpstream func(ctx context.Context, req *Request) (balance.Status, Response)

func (f contextUpstream) Do(ctx context.Context, _ balance.EndpointID, _ time.Time, req *Request) (balance.Status, Response) {
	return f(ctx, req)
}

// answeredStream is a stream whose final answer was decided as its client, or all, came to its end.
type answeredStream struct {
	unresponsiveStream
	verdict chan driver.LocalReply
}

func (d *answeredStream) LocalReply() <-chan driver.LocalReply { return d.verdict }
func (d *answeredStream) Abandon() (ended, sent bool) {
	select {
	case d.verdict <- driver.LocalReply{Rejected: true}:
	default:
	}
	return false, false
}

// Guards against an answer that is thrown away because all ends in the same moment: the client may still be there.
func TestAnswerBeforeEnd(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	s := &answeredStream{verdict: make(chan driver.LocalReply, 1)}
	if res := (&Proxy{active: map[string]activeStream{}}).run(ended, s, request(1, time.Minute), &unlimited); res.Outcome != RejectedLocally {
		t.Errorf("outcome %d, want the answer that was first", res.Outcome)
	}
}
