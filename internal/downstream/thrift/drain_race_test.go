package thrift

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/thriftwire"
)

// gate is a listener of whose connections one stops, when it is told to, before a read for which something has come.
type gatedListener struct {
	net.Listener
	blockRead       atomic.Bool
	blocked, resume chan struct{}
	ready, closed   chan struct{} // get something at each connection, where it is not nil, once that has brought something, and at Close
}

func (g *gatedListener) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gatedConn{conn.(*net.TCPConn), g}
	if g.ready != nil {
		c.waitReadable()
		g.ready <- struct{}{}
	}
	return c, nil
}

func (g *gatedListener) Close() error {
	err := g.Listener.Close()
	g.closed <- struct{}{}
	return err
}

type gatedConn struct {
	*net.TCPConn
	gate *gatedListener
}

// Guards against calls lost that a client has sent ahead, as many as there is room for, when its connection is to end.
func TestPipelinedCallsRaceDrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gatedListener{Listener: l, blocked: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{}, 9)}
	g.blockRead.Store(true)
	f := startServerOn(t, g, section, 100, 1<<20)
	steps := make(chan time.Time)
	f.manager.After = func(time.Duration) <-chan time.Time { return steps }
	c := f.dial()
	var all []byte
	n := int32(0)
	for ; len(all) < 4*readBufferSize; n++ { // each of 32 bytes, so that no read ends within a call
		all = append(all, encodeMessage(forms[0], thriftwire.Call, strings.Repeat("A", 14)+":look", n)...)
	}
	_, _ = c.Write(all)
	<-g.blocked
	var k *conn
	f.server.mu.Lock()
	for k = range f.server.conns {
	}
	f.server.mu.Unlock()
	for downstream.UnreadBytes(k.Conn) < len(all) { // on its way
		runtime.Gosched()
	}
	f.stop()
	close(steps)
	for stopping := false; !stopping; runtime.Gosched() {
		k.mu.Lock()
		stopping = k.stopping
		k.mu.Unlock()
	}
	g.resume <- struct{}{}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case s := <-f.streams:
				s.reply <- stream.Response{Body: []byte{0}}
			case <-done:
				return
			}
		}
	}()
	for i := range n {
		if m, ok := c.nextReply(); !ok || m.Seq != i {
			t.Fatalf("call %d of %d that had come was answered %+v", i, n, m)
		}
	}
	if _, ok := c.nextReply(); ok {
		t.Error("the connection goes on")
	}
	c.Close()
	if err := <-f.done; err != nil {
		t.Error(err)
	}
}

// await waits until something can be read, or the time for reading is over. It returns which.
func (c *gatedConn) waitReadable() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	}) == nil
}

func (c *gatedConn) Read(b []byte) (int, error) {
	if c.waitReadable() && c.gate.blockRead.CompareAndSwap(true, false) {
		c.gate.blocked <- struct{}{}
		<-c.gate.resume
	}
	return c.TCPConn.Read(b)
}

func (f *testServer) serveNext() { (<-f.streams).reply <- stream.Response{Body: []byte{0}} }

// Guards against a call lost that has come and is not read yet as its connection is to end: with the planned end, with the
// answer before it, and where the connection has waited for room until then.
func TestCallRacesDrain(t *testing.T) {
	for _, name := range []string{"end", "answer", "claim"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := &gatedListener{Listener: l, blocked: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{}, 9)}
			if name == "claim" {
				g.ready = make(chan struct{}, 2)
			}
			f := startServerOn(t, g, section, 100, 1<<20)
			steps := make(chan time.Time)
			f.manager.After = func(time.Duration) <-chan time.Time { return steps }
			call := func(c *testClient, seq int32) { _, _ = c.Write(encodeMessage(forms[1], thriftwire.Call, "look", seq)) }
			var silent *testClient
			if name == "end" {
				silent = f.dial()
			}
			c := f.dial()
			call(c, 1)
			last := c
			switch name {
			case "end":
				f.serveNext()
				c.nextReply()
				g.blockRead.Store(true)
				call(c, 2)
				<-g.blocked
				f.stop()
				close(steps)
				if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
					t.Errorf("a silent connection reads %v, want its end", err)
				}
				silent.Close()
				g.resume <- struct{}{}
			case "answer":
				s := <-f.streams
				g.blockRead.Store(true)
				call(c, 2)
				<-g.blocked
				f.stop()
				steps <- time.Now()
				for !f.manager.ClosesConnections() {
					runtime.Gosched()
				}
				s.reply <- stream.Response{Body: []byte{0}}
				c.nextReply()
				for stopping := false; !stopping; {
					f.server.mu.Lock()
					for k := range f.server.conns {
						k.mu.Lock()
						stopping = k.stopping
						k.mu.Unlock()
					}
					f.server.mu.Unlock()
				}
				g.resume <- struct{}{}
			case "claim":
				f.manager.SetLimits(1<<20, 1)
				s := <-f.streams
				last = f.dial()
				call(last, 2)
				<-g.ready
				<-g.ready
				f.stop()
				close(steps)
				<-g.closed
				s.reply <- stream.Response{Body: []byte{0}}
				c.nextReply()
				c.Close()
			}
			select {
			case s := <-f.streams:
				s.reply <- stream.Response{Body: []byte{0}}
				if m, ok := last.nextReply(); !ok || m.Seq != 2 {
					t.Errorf("a call that had come was answered %+v", m)
				}
				if _, ok := last.nextReply(); ok {
					t.Error("its connection goes on")
				}
			case <-time.After(3 * time.Second):
				t.Error("a call that had come was not served")
			}
			last.Close()
			if name == "answer" {
				close(steps)
			}
			if err := <-f.done; err != nil {
				t.Error(err)
			}
			goleak.VerifyNone(t)
		})
	}
}
