package loopback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// fixtureClasses are a class whose work is done at once, one that is pending until it is canceled, and the first again with other
// effects. Each has some requests.
const fixtureClasses = `
name = "stand"
length = "2s"
[[class]]
name = "quick"
share = 1
work = "1us"
aim = "1s"
deadline = "30s"
[[class]]
name = "long"
share = 1
work = "50s"
aim = "1s"
deadline = "60s"
[[class]]
name = "keyed"
share = 1
work = "1us"
aim = "1s"
deadline = "30s"
effect = "keyed"
window = "1h"
body = 9
answer = 5000
[[burst]]
for = "1s"
rate = 20
class = "quick"
[[burst]]
for = "1s"
rate = 20
class = "long"
[[burst]]
for = "1s"
rate = 20
class = "keyed"
`

const oneTier = `
[[tier]]
name = "t"
[[tier.kind]]
boxes = 2
`

// fixture is endpoints, and what a test needs to send them requests without a sidecar.
type fixture struct {
	*run
	t    testing.TB
	used map[string]int // requests of a class so far
}

// newFixture has the endpoints of a scenario up and their clock started.
func newFixture(t testing.TB, text string) *fixture {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := scenario.Parse("stand.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, 7, nil)
	if err != nil {
		t.Fatal(err)
	}
	out := &fixture{run: &run{plan: p, recorder: &recorder{}}, t: t, used: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	out.ctx = ctx
	if out.addresses, err = newAddresses(); err != nil {
		t.Fatal(err)
	}
	if out.transport, err = newTransport(p, out.elapsed, out.addresses); err != nil {
		t.Fatal(err)
	}
	if s.Fleet.Policy == "plain" {
		out.roundRobin = newRoundRobin(p)
	}
	for i := range p.Endpoints {
		b, err := newEndpoint(out.run, i)
		if err != nil {
			t.Fatal(err)
		}
		out.endpoints = append(out.endpoints, b)
	}
	now := time.Now()
	out.startTime.Store(&now)
	for _, b := range out.endpoints {
		b.start()
	}
	t.Cleanup(func() {
		for _, b := range out.endpoints {
			b.close()
		}
		cancel()
		out.scheduled.Wait()
		out.transport.close()
		out.addresses.close()
		goleak.VerifyNone(t, leaks)
	})
	return out
}

// beginFault begins a fault of a kind at an endpoint.
func (s *fixture) beginFault(endpoint int, kind model.FaultKind, size float64) (end func()) {
	e := plan.Event{Kind: plan.StartFault, Endpoint: endpoint, Fault: model.Fault{ID: int(kind), Kind: kind, Size: size}}
	s.endpoints[endpoint].applyEvent(s.elapsed(), e)
	return func() {
		e.Kind = plan.EndFault
		s.endpoints[endpoint].applyEvent(s.elapsed(), e)
	}
}

// nextRequest is a request of a class that the test has not used yet.
func (s *fixture) nextRequest(class string) clientRequest {
	s.t.Helper()
	n := s.used[class]
	s.used[class]++
	for i := range s.plan.Requests {
		r := &s.plan.Requests[i]
		if s.plan.Scenario.Classes[r.Class].Name != class {
			continue
		}
		if n--; n < 0 {
			return clientRequest{directEndpoint: -1, timeout: 20 * time.Second, idempotencyKey: r.IdempotencyKey,
				attempt: trace.ClientAttempt{TransactionID: s.plan.TransactionID(i, 0), Request: i, Class: r.Class}}
		}
	}
	s.t.Fatalf("the plan has no further request of class %s", class)
	return clientRequest{}
}

// rawConn is a client's connection to an endpoint.
type rawConn struct {
	net.Conn
	t  testing.TB
	in *bufio.Reader
}

func (s *fixture) dial(endpoint int) *rawConn {
	s.t.Helper()
	c, err := net.DialTimeout("tcp", s.endpoints[endpoint].address(), testTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &rawConn{c, s.t, bufio.NewReader(c)}
}

// send writes a request.
func (s *fixture) send(c *rawConn, q clientRequest) {
	s.t.Helper()
	if _, err := c.Write(s.transport.codec.appendRequest(nil, &q)); err != nil {
		s.t.Fatal(err)
	}
}

// write writes a text as it is.
func (c *rawConn) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads one complete response.
func (c *rawConn) readResponse() (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

func (c *rawConn) expectStatus(code int) (*http.Response, []byte) {
	c.t.Helper()
	res, body, err := c.readResponse()
	if err != nil {
		c.t.Fatalf("expected %d, got %v", code, err)
	}
	if res.StatusCode != code {
		c.t.Fatalf("expected %d, got %s", code, res.Status)
	}
	return res, body
}

// readError is the error of a read.
func (c *rawConn) readError(timeout time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := c.in.ReadByte()
	return err
}

// await waits until a condition that comes by itself is met.
func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never happened that %s", what)
		}
	}
}

// endpointRequest waits until the request with an id is recorded.
func (s *fixture) endpointRequest(txn uint64) (v trace.EndpointRequest) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("the request %016x is recorded", txn), func() bool {
		s.recorder.mu.Lock()
		defer s.recorder.mu.Unlock()
		for _, v = range s.recorder.log.EndpointRequests {
			if v.TransactionID == txn {
				return true
			}
		}
		return false
	})
	return v
}

// awaitLoad waits until an endpoint has that many requests running and queued.
func (s *fixture) awaitLoad(endpoint, running, queued int) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("%d run and %d are queued", running, queued), func() bool {
		l := s.endpoints[endpoint].sample(s.elapsed())
		return l.Running == running && l.Queued == queued
	})
}

// awaitDial waits until a dial ends in that way.
func (s *fixture) awaitDial(endpoint int, what string, like func(error) bool) {
	s.t.Helper()
	await(s.t, "new connections "+what, func() bool {
		c, err := net.DialTimeout("tcp", s.endpoints[endpoint].address(), 100*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return like(err)
	})
}

func isConnected(err error) bool { return err == nil }
func isRefused(err error) bool   { return errors.Is(err, syscall.ECONNREFUSED) }
func isTimedOut(err error) bool  { return err != nil && isTimeout(err) }
func isReset(err error) bool     { return errors.Is(err, syscall.ECONNRESET) }
func isEnded(err error) bool     { return isReset(err) || errors.Is(err, io.EOF) }
