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

// ample is a bound that nothing in these tests comes near to, unless it hangs.
const ample = 20 * time.Second

// scripted is the other side of callers: a sidecar of which a test says what it does.
type scripted struct {
	*transport
	t    *testing.T
	net  *addresses
	wait sync.WaitGroup
}

func newScripted(t *testing.T) *scripted {
	t.Helper()
	return newScriptedOver(t, "http")
}

// newScriptedOver has callers with one sidecar, at whose address nobody listens yet, and a class of each effect.
func newScriptedOver(t *testing.T, protocol string) *scripted {
	t.Helper()
	noLeaks(t)
	s := scenario.Default()
	s.Fleet.Protocol = protocol
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		c := scenario.Class{Name: effect + "-one", Effect: effect, Share: 1}
		if effect != "safe" {
			c.Body = 5
		}
		s.Class = append(s.Class, c)
	}
	p := &plan.Plan{Scenario: &s, Sidecars: []plan.Sidecar{{Name: "n1", Box: -1, Weight: 1}}}
	net, err := newAddresses()
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	c, err := newTransport(p, func() time.Duration { return time.Since(start) }, net)
	if err != nil {
		t.Fatal(err)
	}
	out := &scripted{transport: c, t: t, net: net}
	t.Cleanup(func() {
		out.wait.Wait()
		out.close()
		net.close()
	})
	return out
}

// serve has play take each connection, numbered from 0, until it returns; then the connection is closed.
func (s *scripted) serve(play func(n int, l *talk)) {
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
				play(n, &talk{conn: conn.(*net.TCPConn), in: bufio.NewReader(conn)})
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

// query asks for a class by its effect.
func (s *scripted) query(effect string, txn uint64) clientRequest {
	class := s.plan.Scenario.ClassIndex(effect + "-one")
	return clientRequest{attempt: trace.ClientAttempt{TransactionID: txn, Request: 7, Class: class}, directEndpoint: -1, timeout: ample, cancelAt: model.Never, idempotencyKey: 0xabc}
}

// talk is one connection as the scripted side has it.
type talk struct {
	conn *net.TCPConn
	in   *bufio.Reader
}

// request reads one whole request; not ok at the end of the connection.
func (l *talk) request() (req *http.Request, body string, ok bool) {
	req, err := http.ReadRequest(l.in)
	if err != nil {
		return nil, "", false
	}
	text, err := io.ReadAll(req.Body)
	return req, string(text), err == nil
}

// text reads one request without a body as it stands.
func (l *talk) text() string {
	var all strings.Builder
	for {
		line, err := l.in.ReadString('\n')
		all.WriteString(line)
		if err != nil || line == "\r\n" {
			return all.String()
		}
	}
}

func (l *talk) say(format string, args ...any) { fmt.Fprintf(l.conn, format, args...) }

// served is a box's whole answer.
func (l *talk) served(txn uint64, box int) {
	body := responseBody(txn, box, 0, 64)
	l.say("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// hold waits until the caller has closed the connection.
func (l *talk) hold() { io.Copy(io.Discard, l.in) }
