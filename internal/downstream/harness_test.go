package downstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

type handlerFunc func(ctx context.Context, req *stream.Request) stream.Response

func (f handlerFunc) Serve(ctx context.Context, req *stream.Request) stream.Response {
	return f(ctx, req)
}

func (f handlerFunc) Refuse(*stream.Request) stream.Response {
	return stream.Response{Outcome: stream.RejectedLocally}
}

func newServer(h handlerFunc) *Server {
	set := &config.Settings{
		Settings: balance.Settings{MaxPending: 2, Classes: []balance.Class{
			{Idempotency: balance.Idempotent, Deadline: time.Second}, {Idempotency: balance.IdempotentByKey, Deadline: 2 * time.Second},
			{Idempotency: balance.NonIdempotent, Deadline: 3 * time.Second}}},
		ClassNames: []string{"look", "order", "charge"},
	}
	return New(set, NewManager(set, 1<<20, 10, zerolog.Nop()), h, zerolog.Nop())
}

func newRequest(method, target, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	conn, _ := net.Pipe()
	r = r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, conn.LocalAddr()))
	if body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

const rawRequest = "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n\r\n"

func dial(t *testing.T, addr net.Addr) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res
}

// listen returns a listener on a local address that is closed at the end of the test.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve runs a server on a local address until the end of the test.
func serve(t *testing.T, s *Server) net.Addr {
	t.Helper()
	l := listen(t)
	go func() { _ = s.Run(context.Background(), s.Frontend(l)) }()
	return l.Addr()
}

// send writes a text on a connection. An error shows in what is read.
func send(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// drainTest is a running server whose draining the test steps through.
type drainTest struct {
	*Server
	addr  net.Addr
	steps chan time.Time     // of After
	stop  context.CancelFunc // begins draining
	done  chan error         // what Run returns
}

// newDrainTest runs a server on a listener, with settings that let draining take a minute.
func newDrainTest(s *Server, l net.Listener, alone bool) *drainTest {
	s.settings.Store(&managerSettings{maxStreams: 10, alone: alone, drainTimeout: time.Minute})
	d := &drainTest{Server: s, addr: l.Addr(), steps: make(chan time.Time), done: make(chan error, 1)}
	s.After = func(time.Duration) <-chan time.Time { return d.steps }
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.done <- s.Run(ctx, s.Frontend(l)) }()
	return d
}

// startDraining begins draining, and returns when it has begun.
func (d *drainTest) startDraining() {
	d.stop()
	for !d.draining.Load() {
		runtime.Gosched()
	}
}
