package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a client that keeps using an address that fails.
func TestCallTriesNextAddress(t *testing.T) {
	for name, first := range map[string]reply{
		"closed connection": {hangUp: true},
		"500":               {status: 500},
		"502":               {status: 502},
		"503":               {status: 503, retryAfter: "0.2"},
		"504":               {status: 504},
		"429":               {status: 429},
		"no response":       {},
		"no JSON":           {status: 200, body: "<html>"},
		"307":               {status: 307},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s := scriptedClient(t, replyInOrder(first, ok(`{"value":7}`)))
				begin := time.Now()
				for range 2 {
					number, err := c.Counter("n").Next(t.Context())
					if number != 7 || err != nil {
						t.Errorf("%d, %v", number, err)
					}
				}
				if got := s.addresses(); got != "a:1 b:1 b:1" {
					t.Errorf("attempts at %s", got)
				}
				if took := time.Since(begin); took > time.Second {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// Guards against an attempt at an address before the time in its Retry-After header.
func TestCallHonoursRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		var attemptTimes []time.Duration
		c, s := scriptedClient(t, func(n int, _ scriptedCall) reply {
			attemptTimes = append(attemptTimes, time.Since(begin))
			if n < 3 {
				return reply{status: 503, retryAfter: []string{"5", "2.5", "4"}[n]}
			}
			return ok(`{"value":1}`)
		})
		if _, err := c.Counter("n").Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := s.addresses(); got != "a:1 b:1 c:1 b:1" || attemptTimes[3] < 2500*time.Millisecond || attemptTimes[3] > 3200*time.Millisecond {
			t.Errorf("attempts at %s, the last one after %v", got, attemptTimes[3])
		}
	})
}

// Guards against an error that calls an outcome certain while it is unclear, or the reverse.
func TestCallReportsCertainty(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []reply
		unclear bool
		status  int
	}{
		{"refused by every address", []reply{{status: 503}}, false, 503},
		{"too many calls", []reply{{status: 429}}, false, 429},
		{"unclear once, then refused", []reply{{status: 504}, {status: 503}}, true, 0},
		{"no response", []reply{{}}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, _ := scriptedClient(t, replyInOrder(c.replies...))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := client.Counter("n").Next(ctx)
				var refused *RefusedError
				if errors.Is(err, ErrUnclear) != c.unclear || errors.As(err, &refused) == c.unclear {
					t.Fatal(err)
				}
				if !c.unclear && (refused.Status != c.status || refused.IsInvalid()) {
					t.Errorf("%+v", refused)
				}
				if !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("%v does not wrap the error of the context", err)
				}
			})
		})
	}
}

// Guards against retries of an invalid call, which every address would refuse.
func TestInvalidCallIsNotRetried(t *testing.T) {
	c, s := scriptedClient(t, replyInOrder(reply{status: 400, body: `{"error":"holder is missing"}`}))
	_, err := c.AcquireLock(t.Context(), "l", "", time.Second)
	var refused *RefusedError
	if !errors.As(err, &refused) || !refused.IsInvalid() || refused.Reason != "holder is missing" || len(s.recorded()) != 1 {
		t.Errorf("%v after %d calls", err, len(s.recorded()))
	}
	for _, name := range []string{"", "a/b", ".", "..", string(make([]byte, MaxNameBytes+1))} {
		if _, err := c.Counter(name).Next(t.Context()); !errors.As(err, &refused) || !refused.IsInvalid() {
			t.Errorf("name %q: %v", name, err)
		}
	}
	if _, err := c.Cells().Put(t.Context(), "k", "\xff"); !errors.As(err, &refused) || !refused.IsInvalid() {
		t.Error(err)
	}
	if len(s.recorded()) != 1 {
		t.Error("an invalid call was sent")
	}
}

// Guards against differences between real connections and the script in memory: a port without a listener, and connections that are closed.
func TestCallOverSockets(t *testing.T) {
	hangingUp := &script{reply: replyInOrder(reply{hangUp: true})}
	answering := &script{reply: replyInOrder(ok(`{"value":9}`))}
	var addresses []string
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addresses = append(addresses, closed.Addr().String())
	_ = closed.Close()
	for _, s := range []*script{hangingUp, answering} {
		server := httptest.NewServer(s)
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	c, err := New(addresses, Options{AttemptTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if number, err := c.Counter("a name").Next(t.Context()); number != 9 || err != nil {
		t.Errorf("%d, %v", number, err)
	}
	if calls := answering.recorded(); len(calls) != 1 || calls[0].path != "/numbers/a name" || calls[0].method != http.MethodPost {
		t.Errorf("%+v", calls)
	}
}

// Guards against an outcome that is reported as unclear although no attempt was sent.
func TestCallWithoutListener(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	c, err := New([]string{closed.Addr().String()}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Counter("n").Next(ctx)
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Status != 0 || errors.Is(err, ErrUnclear) {
		t.Error(err)
	}
}

func TestNewChecksAddresses(t *testing.T) {
	for _, addresses := range [][]string{nil, {"nowhere"}, {"a:1", ""}} {
		if _, err := New(addresses, Options{}); err == nil {
			t.Errorf("New accepts the addresses %q", addresses)
		}
	}
}
