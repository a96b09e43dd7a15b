package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

func uploading(rest io.Reader, length int64) *stream.Request {
	return &stream.Request{Operation: "POST", Target: "/a", Authority: "x", Txn: "0a", ClassName: "a", Body: []byte("first "),
		Upload: stream.NewUpload(rest, length, time.Minute)}
}

// hostOf is a host that does with each connection what the test says.
func hostOf(t *testing.T, visit func(nc net.Conn, in *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
			go visit(nc, bufio.NewReader(nc))
		}
	}()
	return poolFor(l.Addr().String(), 1)
}

// Guards against a body that is changed on its way, by either framing, and against a connection that is closed for it.
func TestUpload(t *testing.T) {
	body := strings.Repeat("and a pair more; ", 40000)
	for _, length := range []int64{-1, int64(len("first ") + len(body))} {
		got := make(chan string, 1)
		p := hostOf(t, func(nc net.Conn, in *bufio.Reader) {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			all, _ := io.ReadAll(req.Body)
			got <- fmt.Sprint(req.ContentLength, req.Header.Get("X-Remaining-Ms"), " ", string(all))
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		req := uploading(iotest.HalfReader(strings.NewReader(body)), length)
		status, res := p.Do(context.Background(), 1, time.Now().Add(time.Hour), req)
		if want := fmt.Sprint(length, "60000", " first ", body); <-got != want || status != balance.OK || string(res.Body) != "ok" {
			t.Errorf("length %d: outcome %d with %q, or another body", length, status, res.Body)
		}
		if idle, open := counts(p, 1); idle != 1 || open != 1 {
			t.Errorf("length %d: %d idle of %d connections open", length, idle, open)
		}
	}
}

// Guards against the last piece of a body going out for a client that has left: the request begins with it.
func TestUploadOfOneThatLeft(t *testing.T) {
	for _, length := range []int64{-1, 12} {
		got := make(chan error, 1)
		p := hostOf(t, func(nc net.Conn, in *bufio.Reader) {
			req, err := http.ReadRequest(in)
			if err == nil {
				_, err = io.ReadAll(req.Body)
			}
			got <- err
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		var left atomic.Bool
		req := uploading(readFunc(func(b []byte) (int, error) {
			left.Store(true) // as its last bytes come
			return copy(b, "second"), io.EOF
		}), length)
		req.ClientGone = left.Load
		if status, _ := p.Do(context.Background(), 1, time.Now().Add(time.Hour), req); status != balance.NotSent || <-got == nil {
			t.Errorf("length %d: outcome %d, or the host has it whole", length, status)
		}
		if idle, open := counts(p, 1); idle != 0 || open != 0 {
			t.Errorf("length %d: %d idle of %d connections open", length, idle, open)
		}
	}
}

type readFunc func(b []byte) (int, error)

func (f readFunc) Read(b []byte) (int, error) { return f(b) }

// Guards against a request that was turned away or cut off in the middle being taken for one that may have run, against a
// host blamed for its client, and against any of them keeping its connection.
func TestUploadThatEndsEarly(t *testing.T) {
	for name, c := range map[string]struct {
		says   string
		rest   io.Reader
		status balance.Status
		end    stream.Outcome
	}{
		"turned away":  {"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", nil, balance.Rejected, stream.Failed},
		"too much":     {"HTTP/1.1 413 Much\r\nContent-Length: 0\r\n\r\n", nil, balance.Cancelled, stream.InvalidRequest},
		"hung up":      {"", nil, balance.ConnectFailed, stream.Failed},
		"client's cut": {"-", iotest.ErrReader(errors.New("cut")), balance.Cancelled, stream.BodyIncomplete},
	} {
		said, over := make(chan struct{}), make(chan struct{})
		p := hostOf(t, func(nc net.Conn, in *bufio.Reader) {
			defer nc.Close()
			if c.says == "-" {
				<-over
				return
			}
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(nc, c.says)
			if c.says == "" {
				_ = nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
			}
			close(said)
			<-over
		})
		rest := c.rest
		if rest == nil {
			pr, pw := io.Pipe()
			go func() { // the client goes on for as long as it is read
				<-said
				for {
					if _, err := pw.Write(make([]byte, 1000)); err != nil {
						return
					}
				}
			}()
			defer pr.Close()
			rest = pr
		}
		status, res := p.Do(context.Background(), 1, time.Now().Add(time.Hour), uploading(rest, 1<<30))
		close(over)
		if status != c.status || res.Outcome != c.end {
			t.Errorf("%s: status %d, outcome %d, want %d, %d", name, status, res.Outcome, c.status, c.end)
		}
		if idle, open := counts(p, 1); idle+open != 0 {
			t.Errorf("%s: %d idle of %d connections open, want none", name, idle, open)
		}
	}
}

// Guards against a request whose last byte has gone being taken for one that never ran, because the end of its body is
// told after that byte; and against an answer that comes before the host has all being taken so, or being served.
func TestUploadMayHaveRun(t *testing.T) {
	for says, want := range map[string]balance.Status{"": balance.Reset, "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nx": balance.Error,
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother": balance.Error} {
		said := make(chan struct{})
		p := hostOf(t, func(nc net.Conn, in *bufio.Reader) {
			if says == "" {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(req.Body)
			}
			_, _ = io.WriteString(nc, says)
			_ = nc.(*net.TCPConn).CloseWrite()
			close(said)
		})
		tail := readerFunc(func(b []byte) (int, error) { // it ends, or goes on, once the host has had its say
			<-said
			if says == "" {
				return 0, io.EOF
			}
			return copy(b, "more"), nil
		})
		status, res := p.Do(context.Background(), 1, time.Now().Add(time.Hour),
			uploading(io.MultiReader(strings.NewReader("last"), tail), int64(len("first last"))+int64(len(says))))
		if status != want || len(res.Body) > 0 {
			t.Errorf("after %.60q: status %d with %q, want %d", says, status, res.Body, want)
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
