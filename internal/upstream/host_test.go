package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pinelb.example/pinelb/balance"
)

// receivedRequest is a request as the scripted upstream host has it.
type receivedRequest struct {
	conn int // number of its connection, in the order of accepting
	nc   net.Conn
	req  *http.Request
}

// listen accepts connections on a local address until the end of the test, and calls serve for each with its number, on a
// goroutine of its own.
func listen(t testing.TB, serve func(number int, nc net.Conn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, nc)
		}
	}()
	return l.Addr().String()
}

// scriptedHost is an upstream host that responds only as the test makes it.
type scriptedHost struct {
	addr     string
	arrivals chan receivedRequest
}

func newScriptedHost(t testing.TB) *scriptedHost {
	t.Helper()
	s := &scriptedHost{arrivals: make(chan receivedRequest)}
	s.addr = listen(t, func(number int, nc net.Conn) {
		in := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if req.ContentLength > 0 {
				body, _ := io.ReadAll(req.Body)
				req.Header.Set("Body", string(body))
			}
			s.arrivals <- receivedRequest{number, nc, req}
		}
	})
	return s
}

// reaction is a way for an upstream host to end a request: what it writes, and whether it then closes the connection.
type reaction struct {
	text   string
	closes bool
	reset  bool // with a reset instead of an orderly end
	status balance.Status
	reuse  bool // may the connection carry another request?
}

var reactions = []reaction{
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", status: balance.OK},
	{text: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", status: balance.Error, reuse: true},
	{text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", status: balance.Rejected, reuse: true},
	{text: "HTTP/1.1 504 Late\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", status: balance.Rejected, reuse: true},
	{text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", status: balance.Error, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok+extra", status: balance.OK},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", closes: true, status: balance.Reset},
	{text: "HTTP/1.1 200 OK\r\n\r\nok", closes: true, status: balance.OK}, // the end of the connection is that of the answer
	{text: "HTTP/1.0 200 OK\r\n\r\nok", closes: true, status: balance.OK},
	{text: "HTTP/1.1 200 OK\r\n\r\nok", closes: true, reset: true, status: balance.Reset},
	{text: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK},
	{text: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n2;a=b;c=\"d\"\r\nok\r\n0;e\r\nX-End: 1\r\n\r\n", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", closes: true, status: balance.Reset},
	{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", status: balance.Error, reuse: true},
	{text: "HTTP/1.1 500 Oops\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 9000), status: balance.Error},
	{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: strings.Repeat("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n", 50) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nX-Load: \xff;;=\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", status: balance.OK},
	{closes: true, status: balance.Reset},
	{closes: true, reset: true, status: balance.Reset},
}

// malformedReactions are responses that no request is served with. The connection stays open, so that the reader has to
// bound those that don't end, and to abort those that stall.
var malformedReactions = []reaction{
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9000)},
	{text: "ICY 200 OK\r\n\r\n"}, {text: "HTTP/1.1 OK 200\r\n\r\n"}, {text: "\x00\xff noise \r\n\r\n"},
	{text: "noise"}, {text: "HTTP/1.1 200 OK\r\nContent-Le"}, {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"},
	{text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"},
	{text: "HTTP/1.1 200 OK\r\nno colon here\r\n\r\n"}, {text: "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nno\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nok"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"},
	{text: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 20000)},
	{text: "HTTP/1.1 200 " + strings.Repeat("K", 300000)},
	{text: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9000)},
}

func (s reaction) apply(nc net.Conn) {
	_, _ = io.WriteString(nc, s.text)
	if s.reset {
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
	if s.closes {
		_ = nc.Close()
	}
}

// connCounts returns how many connections to the host are idle, and how many the pool has open.
func connCounts(p *Pool, id balance.EndpointID) (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hosts[id].idle), p.open
}
