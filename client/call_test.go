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

// Guards against a client that stays with an address which does not serve it.
func TestCallTurnsToNextAddress(t *testing.T) {
	for name, first := range map[string]reply{
		"a failure": {breakOff: true},
		"500":       {status: 500},
		"502":       {status: 502},
		"503":       {status: 503, retryAfter: "0.2"},
		"504":       {status: 504},
		"429":       {status: 429},
		"silence":   {},
		"no JSON":   {status: 200, body: "<html>"},
		"307":       {status: 307},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s := scriptedClient(t, inTurn(first, ok(`{"value":7}`)))
				begin := time.Now()
				for range 2 {
					number, err := c.Counter("n").Next(t.Context())
					if number != 7 || err != nil {
						t.Errorf("%d, %v", number, err)
					}
				}
				if got := s.addresses(); got != "a:1 b:1 b:1" {
					t.Errorf("asked %s", got)
				}
				if took := time.Since(begin); took > time.Second {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// Guards against an address that is asked before the time that it named.
func TestCallHonoursRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		var asked []time.Duration
		c, s := scriptedClient(t, func(n int, _ scriptedCall) reply {
			asked = append(asked, time.Since(begin))
			if n < 3 {
				return reply{status: 503, retryAfter: []string{"5", "2.5", "4"}[n]}
			}
			return ok(`{"value":1}`)
		})
		if _, err := c.Counter("n").Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := s.addresses(); got != "a:1 b:1 c:1 b:1" || asked[3] < 2500*time.Millisecond || asked[3] > 3200*time.Millisecond {
			t.Errorf("asked %s, at last after %v", got, asked[3])
		}
	})
}

// Guards against an error that promises more than is known.
func TestCallTellsWhatIsKnown(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []reply
		unclear bool
		status  int
	}{
		{"refused by all", []reply{{status: 503}}, false, 503},
		{"too many calls", []reply{{status: 429}}, false, 429},
		{"unclear once, then refused", []reply{{status: 504}, {status: 503}}, true, 0},
		{"silent", []reply{{}}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, _ := scriptedClient(t, inTurn(c.replies...))
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
					t.Errorf("%v is not the context's", err)
				}
			})
		})
	}
}

// Guards against a call that is repeated although it would be refused everywhere.
func TestInvalidCallIsNotRepeated(t *testing.T) {
	c, s := scriptedClient(t, inTurn(reply{status: 400, body: `{"error":"holder is missing"}`}))
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
		t.Error("what is invalid was sent")
	}
}

// Guards against transports that behave otherwise than the script in memory: sockets, a port where nobody listens, and connections that end.
func TestCallOverSockets(t *testing.T) {
	breaking := &script{reply: inTurn(reply{breakOff: true})}
	answering := &script{reply: inTurn(ok(`{"value":9}`))}
	var addresses []string
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addresses = append(addresses, closed.Addr().String())
	_ = closed.Close()
	for _, s := range []*script{breaking, answering} {
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

// Guards against an outcome that is called unclear although nothing was ever sent.
func TestNobodyListens(t *testing.T) {
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
			t.Errorf("%q are taken", addresses)
		}
	}
}
