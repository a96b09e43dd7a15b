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

// gatedListener is a listener of whose connections one blocks, once blockRead is set, before a read for which something has come.
type gatedListener struct {
	net.Listener
	blockRead       atomic.Bool
	blocked, resume chan struct{}
	ready           chan struct{} // receives for each connection once something has come on it; nil: it does not
	closed          chan struct{} // receives at each Close
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

// Guards against pipelined calls lost when their connection is to be closed, also more than two reads of them.
func TestPipelinedCallsRaceDrain(t *testing.T) {
	r := newCallRace(t, false)
	r.listener.blockRead.Store(true)
	c := r.dial()
	var all []byte
	n := int32(0)
	for ; len(all) < 4*readBufferSize; n++ { // each of 32 bytes, so that no read ends within a call
		all = append(all, encodeMessage(forms[0], thriftwire.Call, strings.Repeat("A", 14)+":look", n)...)
	}
	c.send(all)
	<-r.listener.blocked
	var serverConn *conn
	r.server.mu.Lock()
	for serverConn = range r.server.conns {
	}
	r.server.mu.Unlock()
	for downstream.UnreadBytes(serverConn.Conn) < len(all) { // until the kernel has delivered them
		runtime.Gosched()
	}
	r.stop()
	close(r.steps)
	r.waitStopping()
	r.listener.resume <- struct{}{}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case s := <-r.streams:
				s.reply <- stream.Response{Body: []byte{0}}
			case <-done:
				return
			}
		}
	}()
	for i := range n {
		if m, ok := c.nextReply(); !ok || m.Seq != i {
			t.Fatalf("call %d of %d that had come got %+v", i, n, m)
		}
	}
	if _, ok := c.nextReply(); ok {
		t.Error("the connection goes on")
	}
	_ = c.Close()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// waitReadable waits until something can be read, or the read deadline is over. It reports whether something can be read.
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

func (ts *testServer) serveNext() { (<-ts.streams).reply <- stream.Response{Body: []byte{0}} }

// callRace is a server on a gatedListener, whose draining the test steps through.
type callRace struct {
	*testServer
	listener *gatedListener
	steps    chan time.Time
}

func newCallRace(t *testing.T, reportReady bool) *callRace {
	g := &gatedListener{Listener: listen(t), blocked: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{}, 9)}
	if reportReady {
		g.ready = make(chan struct{}, 2)
	}
	r := &callRace{testServer: startServerOn(t, g, section, 100, 1<<20), listener: g, steps: make(chan time.Time)}
	r.manager.After = func(time.Duration) <-chan time.Time { return r.steps }
	return r
}

func (r *callRace) call(c *testClient, seq int32) {
	c.send(encodeMessage(forms[1], thriftwire.Call, "look", seq))
}

// sendBlocked sends a call that comes, and is not read until the listener resumes.
func (r *callRace) sendBlocked(c *testClient, seq int32) {
	r.listener.blockRead.Store(true)
	r.call(c, seq)
	<-r.listener.blocked
}

// waitStopping waits until a connection is stopping.
func (r *callRace) waitStopping() {
	for stopping := false; !stopping; runtime.Gosched() {
		r.server.mu.Lock()
		for c := range r.server.conns {
			c.mu.Lock()
			stopping = c.stopping
			c.mu.Unlock()
		}
		r.server.mu.Unlock()
	}
}

// expectServed expects that call 2 is served and then the connection closed.
func (r *callRace) expectServed(c *testClient) {
	r.t.Helper()
	select {
	case s := <-r.streams:
		s.reply <- stream.Response{Body: []byte{0}}
		if m, ok := c.nextReply(); !ok || m.Seq != 2 {
			r.t.Errorf("a call that had come got %+v", m)
		}
		if _, ok := c.nextReply(); ok {
			r.t.Error("its connection goes on")
		}
	case <-time.After(3 * time.Second):
		r.t.Error("a call that had come was not served")
	}
	_ = c.Close()
}

// expectDrained expects that the server ends without an error and leaves no goroutine behind.
func (r *callRace) expectDrained() {
	r.t.Helper()
	if err := <-r.done; err != nil {
		r.t.Error(err)
	}
	goleak.VerifyNone(r.t)
}

// Guards against a call lost that has come and is not read yet as its connection is to be closed.
func TestCallRacesDrain(t *testing.T) {
	t.Run("drain", func(t *testing.T) { // while the connection is idle
		r := newCallRace(t, false)
		silent, c := r.dial(), r.dial()
		r.call(c, 1)
		r.serveNext()
		c.nextReply()
		r.sendBlocked(c, 2)
		r.stop()
		close(r.steps)
		if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a silent connection reads %v, want its end", err)
		}
		_ = silent.Close()
		r.listener.resume <- struct{}{}
		r.expectServed(c)
		r.expectDrained()
	})
	t.Run("reply", func(t *testing.T) { // with the reply to the call before
		r := newCallRace(t, false)
		c := r.dial()
		r.call(c, 1)
		first := <-r.streams
		r.sendBlocked(c, 2)
		r.stop()
		r.steps <- time.Now()
		for !r.manager.ClosesConnections() {
			runtime.Gosched()
		}
		first.reply <- stream.Response{Body: []byte{0}}
		c.nextReply()
		r.waitStopping()
		r.listener.resume <- struct{}{}
		r.expectServed(c)
		close(r.steps)
		r.expectDrained()
	})
	t.Run("accept", func(t *testing.T) { // where the connection has waited for the limiter until then
		r := newCallRace(t, true)
		c := r.dial()
		r.call(c, 1)
		r.manager.SetLimits(1<<20, 1)
		first := <-r.streams
		waiting := r.dial()
		r.call(waiting, 2)
		<-r.listener.ready
		<-r.listener.ready
		r.stop()
		close(r.steps)
		<-r.listener.closed
		first.reply <- stream.Response{Body: []byte{0}}
		c.nextReply()
		_ = c.Close()
		r.expectServed(waiting)
		r.expectDrained()
	})
}
