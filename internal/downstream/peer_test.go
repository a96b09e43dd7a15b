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

// Guards against a client that is taken to be connected after it has left, which an unread byte can hide, and against one that
// is taken to have left while it waits.
func TestPeerClosed(t *testing.T) {
	l := listen(t)
	for _, c := range []struct {
		name   string
		data   string
		change func(client *net.TCPConn, here net.Conn)
		closed bool
	}{
		{"it waits", "", nil, false},
		{"it has sent another request ahead", "GET", nil, false},
		{"it closes", "", func(c *net.TCPConn, _ net.Conn) { _ = c.Close() }, true},
		{"it closes behind a byte", "G", func(c *net.TCPConn, _ net.Conn) { _ = c.Close() }, true},
		{"it resets", "", func(c *net.TCPConn, _ net.Conn) { _ = c.SetLinger(0); _ = c.Close() }, true},
		{"it resets behind a byte", "G", func(c *net.TCPConn, _ net.Conn) { _ = c.SetLinger(0); _ = c.Close() }, true},
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
		_, _ = client.Write([]byte(c.data))
		if PeerClosed(here) {
			t.Errorf("%s: closed too early", c.name)
		}
		if c.change != nil {
			c.change(client.(*net.TCPConn), here)
		}
		wrapped := &clientConn{Conn: here}
		for c.closed && !PeerClosed(wrapped) { // until the kernel has delivered it; a close that is never seen runs into the tests' time-out
			runtime.Gosched()
		}
		if PeerClosed(wrapped) != c.closed {
			t.Errorf("%s: closed is %v", c.name, !c.closed)
		}
		client.Close()
		here.Close()
	}
	near, _ := net.Pipe()
	if PeerClosed(near) {
		t.Error("a connection without a descriptor is closed")
	}
}

// Guards against a client that goes on sending and reads no responses holding its connection for ever.
func TestWriteStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, client := net.Pipe()
		defer client.Close()
		from := time.Now()
		time.AfterFunc(time.Hour, func() { here.Close() })
		if _, err := (&clientConn{Conn: here}).Write([]byte("a response")); err == nil || time.Since(from) > writeStallTimeout {
			t.Errorf("a write that nobody reads ends after %v with %v, want %v", time.Since(from), err, writeStallTimeout)
		}
	})
}

// Guards against an incomplete body holding its connection for ever, where nothing here reads it.
func TestUnreadBody(t *testing.T) {
	for name, c := range map[string]struct {
		active  int64
		message string
		answer  string
	}{
		"health":            {0, "GET /_health", "HTTP/1.1 400"},
		"a rejected stream": {2, "POST /charge/1", "HTTP/1.1 503"},
		"an unknown class":  {0, "POST /unheard-of/1", "HTTP/1.1 404"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
				s.activeStreams.Add(c.active)
				l := make(pipeListener, 1)
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
					t.Errorf("%.20q, and the connection stays open for %v", got, took)
				}
				_ = server.Close()
			})
		})
	}
}

// pipeListener is a listener that accepts what a test sends on it.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	conn, open := <-p
	if !open {
		return nil, errors.New("closed")
	}
	return conn, nil
}

func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
