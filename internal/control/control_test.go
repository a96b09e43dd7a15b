package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// hostRecorder has one host, and records the calls for it.
type hostRecorder struct{ calls []string }

func (h *hostRecorder) Cordon(id string) bool   { return h.record("out ", id) }
func (h *hostRecorder) Uncordon(id string) bool { return h.record("back ", id) }

func (h *hostRecorder) record(what, id string) bool {
	if id != "s 1" {
		return false
	}
	h.calls = append(h.calls, what+id)
	return true
}

// serve runs a server until the end of the test, and returns its address. A nil audit turns auditors' calls off.
func serve(t *testing.T, h Hosts, audit Audit, ready bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := New(func() bool { return ready }, h, audit, zerolog.Nop())
	go func() { _ = srv.Serve(NewListener(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// call sends a text and returns the status and the line of the response.
func call(t *testing.T, addr, text string) (status int, line string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || !res.Close {
		t.Errorf("%.40q: %v, closes %v", text, err, res.Close)
	}
	return res.StatusCode, string(body)
}

// Guards against an invalid call that changes anything, or whose response doesn't name the error in one line.
func TestCalls(t *testing.T) {
	h := &hostRecorder{}
	addr := serve(t, h, nil, true)
	for _, c := range []struct {
		text   string
		status int
		names  string
	}{
		{"GET /admin/health", 200, "ok"},
		{"POST /admin/health", 405, "method"},
		{"GET /admin/cordon?name=s%201", 405, "method"},
		{"POST /admin/cordon", 400, "name is missing"},
		{"POST /admin/cordon?name=", 400, "name is missing"},
		{"POST /admin/cordon?name=s%201&name=s%201", 400, "more than once"},
		{"POST /admin/cordon?name=s%2", 400, "malformed"},
		{"POST /admin/cordon?name=s-2", 404, "s-2"},
		{"POST /admin/uncordon?name=s-2", 404, "s-2"},
		{"POST /admin/cordon?name=" + strings.Repeat("s", 300), 400, "longer"},
		{"POST /admin", 404, "path"},
		{"POST /admin/cordon?name=s%201 body", 400, "no body"},
		{"POST /admin/cordon?name=s%201 chunks", 400, "no body"},
	} {
		text, rest := c.text+" HTTP/1.1\r\nHost: x\r\n", "\r\n"
		if t, with, found := strings.Cut(c.text, " body"); found {
			text, rest = t+with+" HTTP/1.1\r\nHost: x\r\n", "Content-Length: 1\r\n\r\nx"
		} else if t, with, found := strings.Cut(c.text, " chunks"); found {
			text, rest = t+with+" HTTP/1.1\r\nHost: x\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
		}
		status, line := call(t, addr, text+rest)
		if status != c.status || !strings.Contains(line, c.names) || strings.Count(line, "\n") != 1 || len(h.calls) > 0 {
			t.Errorf("%.60s: %d %q after %q, want %d and a line that names %q", c.text, status, line, h.calls, c.status, c.names)
		}
	}
	for _, c := range []string{"/admin/cordon?name=s%201", "/admin/uncordon?name=s+1"} {
		if status, line := call(t, addr, "POST "+c+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"); status != 200 {
			t.Errorf("%s: %d %q", c, status, line)
		}
	}
	if len(h.calls) != 2 || h.calls[0] != "out s 1" || h.calls[1] != "back s 1" {
		t.Errorf("the hosts got %q", h.calls)
	}
	if status, _ := call(t, serve(t, h, nil, false), "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 {
		t.Errorf("a process that accepts no clients has status %d", status)
	}
}

// Guards against callers who hold connections without a complete call and so keep out those who have one: five times as many as
// there may be, and calls between them.
func TestIncompleteCallsAreEvicted(t *testing.T) {
	addr := serve(t, &hostRecorder{}, nil, true)
	for i := range 5 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "POST /admin/cordon?name="[:i%24]); err != nil {
			t.Fatal(err)
		}
		if i%7 == 0 {
			if status, _ := call(t, addr, "POST /admin/cordon?name=s%201 HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
				t.Errorf("after %d such connections a call gets %d", i+1, status)
			}
		}
	}
}

// Guards against a call that waits for connections without one: each call gets a response, and the test reports how soon
// (docs/design/daily-service.md). The connections come in bursts, so that a call has many before it and after it.
func TestCallLatencyUnderFlood(t *testing.T) {
	addr := serve(t, &hostRecorder{}, nil, true)
	var took []time.Duration
	for range 40 {
		for range MaxConnections {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
		}
		from := time.Now()
		if status, _ := call(t, addr, "POST /admin/cordon?name=s%201 HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
			t.Errorf("a call gets %d", status)
		}
		took = append(took, time.Since(from))
	}
	slices.Sort(took)
	t.Logf("of %d calls: median %v, worst %v", len(took), took[len(took)/2], took[len(took)-1])
}
