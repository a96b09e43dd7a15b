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

func uploadRequest(rest io.Reader, length int64) *stream.Request {
	return &stream.Request{Operation: "POST", Target: "/a", Authority: "x", Txn: "0a", ClassName: "a", Body: []byte("first "),
		Upload: stream.NewUpload(rest, length, time.Minute)}
}

// newHandlerHost returns a pool with one host that calls visit for each connection.
func newHandlerHost(t *testing.T, visit func(nc net.Conn, in *bufio.Reader)) *Pool {
	t.Helper()
	addr := listen(t, func(_ int, nc net.Conn) { visit(nc, bufio.NewReader(nc)) })
	return newTestPool(addr, 1)
}

// Guards against a body that is changed in transit, by either framing, and against a connection that is closed for it.
func TestUpload(t *testing.T) {
	body := strings.Repeat("and a pair more; ", 40000)
	for _, length := range []int64{-1, int64(len("first ") + len(body))} {
		got := make(chan string, 1)
		p := newHandlerHost(t, func(nc net.Conn, in *bufio.Reader) {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			all, _ := io.ReadAll(req.Body)
			got <- fmt.Sprint(req.ContentLength, req.Header.Get("X-Remaining-Ms"), " ", string(all))
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		req := uploadRequest(iotest.HalfReader(strings.NewReader(body)), length)
		status, res := p.Do(context.Background(), 1, time.Now().Add(time.Hour), req)
		if want := fmt.Sprint(length, "60000", " first ", body); <-got != want || status != balance.OK || string(res.Body) != "ok" {
			t.Errorf("length %d: outcome %d with %q, or another body", length, status, res.Body)
		}
		if idle, open := connCounts(p, 1); idle != 1 || open != 1 {
			t.Errorf("length %d: %d idle of %d connections open", length, idle, open)
		}
	}
}

// Guards against the last chunk of a body being sent for a client that has left: the request runs with it, if it has not yet.
func TestUploadOfDisconnectedClient(t *testing.T) {
	for _, length := range []int64{-1, 12} {
		got := make(chan error, 1)
		p := newHandlerHost(t, func(nc net.Conn, in *bufio.Reader) {
			req, err := http.ReadRequest(in)
			if err == nil {
				_, err = io.ReadAll(req.Body)
			}
			got <- err
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		var clientGone atomic.Bool
		req := uploadRequest(readerFunc(func(b []byte) (int, error) {
			clientGone.Store(true) // as its last bytes come
			return copy(b, "second"), io.EOF
		}), length)
		req.ClientGone = clientGone.Load
		if status, _ := p.Do(context.Background(), 1, time.Now().Add(time.Hour), req); status != balance.Cancelled || <-got == nil {
			t.Errorf("length %d: outcome %d, or the host has it complete", length, status)
		}
		if idle, open := connCounts(p, 1); idle != 0 || open != 0 {
			t.Errorf("length %d: %d idle of %d connections open", length, idle, open)
		}
	}
}

// Guards against a request that was rejected in the middle being taken for one that may have run, against one whose host hung up in the
// middle being taken for one that never ran, against evidence against a host for its client's fault, and against any of them keeping its
// connection.
func TestUploadEndedEarly(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		rest     io.Reader
		status   balance.Status
		end      stream.Outcome
	}{
		"load shed":    {"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", nil, balance.Rejected, stream.Failed},
		"too much":     {"HTTP/1.1 413 Much\r\nContent-Length: 0\r\n\r\n", nil, balance.Cancelled, stream.InvalidRequest},
		"hung up":      {"", nil, balance.Reset, stream.Failed},
		"client's cut": {"-", iotest.ErrReader(errors.New("cut")), balance.Cancelled, stream.BodyIncomplete},
	} {
		written, done := make(chan struct{}), make(chan struct{})
		p := newHandlerHost(t, func(nc net.Conn, in *bufio.Reader) {
			defer nc.Close()
			if c.response == "-" {
				<-done
				return
			}
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(nc, c.response)
			if c.response == "" {
				_ = nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
			}
			close(written)
			<-done
		})
		rest := c.rest
		if rest == nil {
			pr, pw := io.Pipe()
			go func() { // the client goes on for as long as it is read
				<-written
				for {
					if _, err := pw.Write(make([]byte, 1000)); err != nil {
						return
					}
				}
			}()
			defer func() { _ = pr.Close() }()
			rest = pr
		}
		status, res := p.Do(context.Background(), 1, time.Now().Add(time.Hour), uploadRequest(rest, 1<<30))
		close(done)
		if status != c.status || res.Outcome != c.end {
			t.Errorf("%s: status %d, outcome %d, want %d, %d", name, status, res.Outcome, c.status, c.end)
		}
		if idle, open := connCounts(p, 1); idle+open != 0 {
			t.Errorf("%s: %d idle of %d connections open, want none", name, idle, open)
		}
	}
}

// Guards against a request whose last byte is written being taken for one that never ran, because the end of its body is known
// only after that byte; and against a response that comes before the host has the complete request being taken so, or served.
func TestUploadMayHaveRun(t *testing.T) {
	for response, want := range map[string]balance.Status{"": balance.Reset, "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nx": balance.Error,
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother": balance.Error} {
		written := make(chan struct{})
		p := newHandlerHost(t, func(nc net.Conn, in *bufio.Reader) {
			if response == "" {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(req.Body)
			}
			_, _ = io.WriteString(nc, response)
			_ = nc.(*net.TCPConn).CloseWrite()
			close(written)
		})
		tail := readerFunc(func(b []byte) (int, error) { // it ends, or goes on, once the host has responded
			<-written
			if response == "" {
				return 0, io.EOF
			}
			return copy(b, "more"), nil
		})
		status, res := p.Do(context.Background(), 1, time.Now().Add(time.Hour),
			uploadRequest(io.MultiReader(strings.NewReader("last"), tail), int64(len("first last"))+int64(len(response))))
		if status != want || len(res.Body) > 0 {
			t.Errorf("after %.60q: status %d with %q, want %d", response, status, res.Body, want)
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
