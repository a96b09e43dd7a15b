package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// testTimeout is a limit that nothing in these tests comes near, unless it hangs.
const testTimeout = 20 * time.Second

// transportFixture is a transport and the other side of it: a sidecar whose behaviour the test scripts.
type transportFixture struct {
	*transport
	t    *testing.T
	net  *addresses
	wait sync.WaitGroup
}

func newTransportFixture(t *testing.T) *transportFixture {
	t.Helper()
	return newTransportFixtureOver(t, "http")
}

// newTransportFixtureOver has one sidecar, at whose address nobody listens yet, and a class of each effect.
func newTransportFixtureOver(t *testing.T, protocol string) *transportFixture {
	t.Helper()
	noLeaks(t)
	s := scenario.Default()
	s.Fleet.Protocol = protocol
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		c := scenario.Class{Name: effect + "-one", Idempotency: effect, Share: 1}
		if effect != "safe" {
			c.RequestBytes = 5
		}
		s.Classes = append(s.Classes, c)
	}
	p := &plan.Plan{Scenario: &s, Sidecars: []plan.Sidecar{{Name: "n1", Endpoint: -1, Weight: 1}}}
	net, err := newAddresses()
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	c, err := newTransport(p, func() time.Duration { return time.Since(start) }, net)
	if err != nil {
		t.Fatal(err)
	}
	out := &transportFixture{transport: c, t: t, net: net}
	t.Cleanup(func() {
		out.wait.Wait()
		out.close()
		net.close()
	})
	return out
}

// serve has play take each connection, numbered from 0, until it returns; then the connection is closed.
func (s *transportFixture) serve(play func(n int, l *scriptedConn)) {
	s.t.Helper()
	listener, err := net.Listen("tcp", s.net.clientEntry(0, s.plan.Scenario.Fleet.Protocol))
	if err != nil {
		s.t.Fatal(err)
	}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	s.wait.Go(func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[conn] = true
			mu.Unlock()
			s.wait.Go(func() {
				defer conn.Close()
				play(n, &scriptedConn{conn: conn.(*net.TCPConn), in: bufio.NewReader(conn)})
			})
		}
	})
	s.t.Cleanup(func() {
		listener.Close()
		mu.Lock()
		defer mu.Unlock()
		for conn := range open {
			conn.Close()
		}
	})
}

// newRequest is a request of the class with that effect.
func (s *transportFixture) newRequest(effect string, txn uint64) clientRequest {
	class := s.plan.Scenario.ClassIndex(effect + "-one")
	return clientRequest{attempt: trace.ClientAttempt{TransactionID: txn, Request: 7, Class: class}, directEndpoint: -1, timeout: testTimeout, cancelAt: model.Never, idempotencyKey: 0xabc}
}

// scriptedConn is one connection on the scripted side.
type scriptedConn struct {
	conn *net.TCPConn
	in   *bufio.Reader
}

// readRequest reads one complete request; not ok at the end of the connection.
func (l *scriptedConn) readRequest() (req *http.Request, body string, ok bool) {
	req, err := http.ReadRequest(l.in)
	if err != nil {
		return nil, "", false
	}
	text, err := io.ReadAll(req.Body)
	return req, string(text), err == nil
}

// readText reads one request without a body, verbatim.
func (l *scriptedConn) readText() string {
	var all strings.Builder
	for {
		line, err := l.in.ReadString('\n')
		all.WriteString(line)
		if err != nil || line == "\r\n" {
			return all.String()
		}
	}
}

func (l *scriptedConn) write(format string, args ...any) { fmt.Fprintf(l.conn, format, args...) }

// writeServed writes an endpoint's complete response.
func (l *scriptedConn) writeServed(transactionID uint64, endpoint int) {
	body := responseBody(transactionID, endpoint, 0, 64)
	l.write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// discard waits until the client has closed the connection, or reset it.
func (l *scriptedConn) discard() { _, _ = io.Copy(io.Discard, l.in) }
