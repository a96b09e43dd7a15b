package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// Guards against a client that is taken to be there after it has left, which a byte that nobody has read can hide, and
// against one that is taken to have left while it waits.
func TestLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name string
		says string
		ends func(client *net.TCPConn, here net.Conn)
		left bool
	}{
		{"it waits", "", nil, false},
		{"it has sent another request ahead", "GET", nil, false},
		{"it closes", "", func(c *net.TCPConn, _ net.Conn) { c.Close() }, true},
		{"it closes behind a byte", "G", func(c *net.TCPConn, _ net.Conn) { c.Close() }, true},
		{"it resets", "", func(c *net.TCPConn, _ net.Conn) { _ = c.SetLinger(0); c.Close() }, true},
		{"it resets behind a byte", "G", func(c *net.TCPConn, _ net.Conn) { _ = c.SetLinger(0); c.Close() }, true},
		{"it ends its sending", "", func(c *net.TCPConn, _ net.Conn) { _ = c.CloseWrite() }, true},
		{"it ends its sending behind a byte", "G", func(c *net.TCPConn, _ net.Conn) { _ = c.CloseWrite() }, true},
		{"this side has closed", "", func(_ *net.TCPConn, here net.Conn) { here.Close() }, true},
	} {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = client.Write([]byte(c.says))
		if PeerClosed(here) {
			t.Errorf("%s: it has left before it does", c.name)
		}
		if c.ends != nil {
			c.ends(client.(*net.TCPConn), here)
		}
		own := &clientConn{Conn: here}
		for c.left && !PeerClosed(own) { // it comes over the loopback; a leave that is never seen runs into the tests' time-out
			runtime.Gosched()
		}
		if PeerClosed(own) != c.left {
			t.Errorf("%s: left is %v", c.name, !c.left)
		}
		client.Close()
		here.Close()
	}
	near, _ := net.Pipe()
	if PeerClosed(near) {
		t.Error("one of which nothing can be seen has left")
	}
}

// Guards against a client that sends on and takes no answers holding its connection for ever.
func TestNothingIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, client := net.Pipe()
		defer client.Close()
		from := time.Now()
		time.AfterFunc(time.Hour, func() { here.Close() })
		if _, err := (&clientConn{Conn: here}).Write([]byte("an answer")); err == nil || time.Since(from) > writeStallTimeout {
			t.Errorf("a write that nobody takes ends after %v with %v, want %v", time.Since(from), err, writeStallTimeout)
		}
	})
}

// Guards against a body that never comes whole holding its connection for ever, where nobody here reads it.
func TestUnreadBody(t *testing.T) {
	for name, c := range map[string]struct {
		held    int64
		message string
		answer  string
	}{
		"health":                      {0, "GET /_health", "HTTP/1.1 400"},
		"a stream that finds no room": {2, "POST /charge/1", "HTTP/1.1 503"},
		"a class that nobody knows":   {0, "POST /unheard-of/1", "HTTP/1.1 404"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
				s.activeStreams.Add(c.held)
				l := make(pipes, 1)
				here, client := net.Pipe()
				l <- here
				server := s.Frontend(l).Server
				go func() { _ = server.Serve(&limitedListener{Listener: l, limiter: s.limiter}) }()
				from := time.Now()
				time.AfterFunc(time.Hour, func() { client.Close() })
				go func() {
					_, _ = io.WriteString(client, c.message+" HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\nContent-Length: 9\r\n\r\nhalf")
				}()
				got, _ := io.ReadAll(client)
				if took := time.Since(from); took > 2*bodyTimeout || len(got) < len(c.answer) || string(got[:len(c.answer)]) != c.answer {
					t.Errorf("%.20q, and the connection is held for %v", got, took)
				}
				_ = server.Close()
			})
		})
	}
}

// pipes is a listener whose connections a test makes.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	conn, open := <-p
	if !open {
		return nil, errors.New("closed")
	}
	return conn, nil
}

func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }
