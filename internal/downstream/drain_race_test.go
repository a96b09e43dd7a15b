package downstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// gatedListener is a listener whose connections block before and after each read, once blockReads is set.
type gatedListener struct {
	net.Listener
	last     *gatedConn
	accepted chan struct{}
	closed   chan struct{} // receives at each Close
}

func (g *gatedListener) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.last = &gatedConn{TCPConn: conn.(*net.TCPConn), blocked: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{}, 9)}
	g.accepted <- struct{}{}
	<-g.accepted
	return g.last, nil
}

func (g *gatedListener) Close() error {
	err := g.Listener.Close()
	g.closed <- struct{}{}
	return err
}

type gatedConn struct {
	*net.TCPConn
	blockReads, reportClose atomic.Bool
	blockClose              atomic.Bool // before the next CloseWrite or Close
	blocked, resume         chan struct{}
	closed                  chan struct{} // receives when reportClose is set and the connection is closed, or its read expired
}

func (g *gatedConn) block() {
	if g.blockReads.Load() {
		g.blocked <- struct{}{}
		<-g.resume
	}
}

func (g *gatedConn) Read(b []byte) (int, error) {
	if len(b) == 1 { // net/http's background read while it serves a request
		return g.TCPConn.Read(b)
	}
	g.block()
	n, err := g.TCPConn.Read(b)
	if n > 0 {
		g.block()
	}
	return n, err
}

func (g *gatedConn) notifyClosed() {
	if g.reportClose.Load() {
		g.closed <- struct{}{}
	}
}

func (g *gatedConn) blockOnClose() {
	if g.blockClose.CompareAndSwap(true, false) {
		g.blocked <- struct{}{}
		<-g.resume
	}
}

func (g *gatedConn) CloseWrite() error {
	g.blockOnClose()
	return g.TCPConn.CloseWrite()
}

func (g *gatedConn) Close() error {
	g.notifyClosed()
	g.blockOnClose()
	return g.TCPConn.Close()
}

func (g *gatedConn) SetReadDeadline(t time.Time) error {
	err := g.TCPConn.SetReadDeadline(t)
	if t.Equal(expiredDeadline) {
		g.notifyClosed()
	}
	return err
}

// drainRace is a server behind a gatedListener, whose draining the test steps through.
type drainRace struct {
	*drainTest
	t        *testing.T
	listener *gatedListener
	serve    func() // called within each request
}

func newDrainRace(t *testing.T, maxConns int) *drainRace {
	r := &drainRace{t: t, serve: func() {},
		listener: &gatedListener{Listener: listen(t), accepted: make(chan struct{}), closed: make(chan struct{}, 9)}}
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		r.serve()
		return stream.Response{Body: []byte("complete")}
	})
	s.limiter = newConnLimiter(maxConns)
	r.drainTest = newDrainTest(s, r.listener, false)
	return r
}

// dial opens a connection that is accepted, and that blocks before its first read if blockReads is true.
func (c *drainRace) dial(blockReads bool) (net.Conn, *bufio.Reader, *gatedConn) {
	conn, in := dial(c.t, c.listener.Addr())
	<-c.listener.accepted
	g := c.listener.last
	g.blockReads.Store(blockReads)
	c.listener.accepted <- struct{}{}
	return conn, in, g
}

// drain runs draining to where inactive connections are closed.
func (c *drainRace) drain(idleReader *bufio.Reader) {
	c.stop()
	close(c.steps)
	if _, err := idleReader.ReadByte(); err != io.EOF {
		c.t.Errorf("a silent connection reads %v, want its end", err)
	}
}

// expectResponse reads the complete response to a request.
func (c *drainRace) expectResponse(in *bufio.Reader, closes bool) {
	c.t.Helper()
	if res, err := http.ReadResponse(in, nil); err != nil {
		c.t.Errorf("a request got no response: %v", err)
	} else if res.StatusCode != 200 || res.Close != closes {
		c.t.Errorf("a request got status %d, closing %v", res.StatusCode, res.Close)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.t.Error(err)
	}
}

// Guards against a request lost whose first bytes race our own close of its connection, which counts as inactive until net/http
// has read a complete head: while draining, and where it is evicted for another.
func TestRequestRacesClose(t *testing.T) {
	for resumes, name := range []string{"unread", "read", "half"} { // how far the request is as the close comes; each needs one more resume
		for _, reused := range []bool{false, true} {
			for _, overload := range []bool{false, true} {
				if name == "half" && overload {
					continue // half a request may be evicted
				}
				t.Run(fmt.Sprintf("%s,reused=%v,overload=%v", name, reused, overload), func(t *testing.T) {
					testRequestRacesClose(t, resumes, name == "half", reused, overload)
				})
			}
		}
	}
}

func testRequestRacesClose(t *testing.T, resumes int, half, reused, overload bool) {
	maxConns := 2
	if overload {
		maxConns = 1
	}
	c := newDrainRace(t, maxConns)
	var idleReader *bufio.Reader
	if !overload {
		_, idleReader, _ = c.dial(false)
	}
	conn, in, g := c.dial(!reused)
	if reused {
		c.serve = func() { g.blockReads.Store(true) }
		send(conn, rawRequest)
		c.expectResponse(in, false)
		c.serve = func() {}
	}
	<-g.blocked
	now, later := rawRequest, ""
	if half {
		now, later = rawRequest[:20], rawRequest[20:]
	}
	send(conn, now)
	for !hasUnread(g) { // until the kernel has delivered it
		runtime.Gosched()
	}
	for range resumes {
		g.resume <- struct{}{}
		<-g.blocked
	}
	g.reportClose.Store(true)
	var other *bufio.Reader
	if overload {
		var evictor net.Conn
		evictor, other, _ = c.dial(false)
		send(evictor, rawRequest)
		<-g.closed
	} else {
		c.drain(idleReader)
	}
	send(conn, later)
	g.blockReads.Store(false)
	g.resume <- struct{}{}
	c.expectResponse(in, !overload)
	if overload {
		c.expectResponse(other, false)
		c.stop()
		close(c.steps)
	}
	if err := <-c.done; err != nil {
		t.Error(err)
	}
}

// Guards against a request lost because its connection was accepted and still waited for the limiter as draining closed the
// listener.
func TestAcceptRacesDrain(t *testing.T) {
	c := newDrainRace(t, 1)
	serving, release := make(chan struct{}, 2), make(chan struct{})
	c.serve = func() {
		serving <- struct{}{}
		<-release
	}
	first, firstIn, _ := c.dial(false)
	send(first, rawRequest)
	<-serving
	second, secondIn, _ := c.dial(false)
	send(second, rawRequest)
	c.stop()
	close(c.steps)
	<-c.listener.closed
	close(release)
	c.expectResponse(firstIn, true)
	c.expectResponse(secondIn, true)
	if err := <-c.done; err != nil {
		t.Error(err)
	}
}

// Guards against connections in the kernel's accept queue, whose limit is reached, being reset with what their clients have
// written as the listener closes.
func TestAcceptQueueRacesDrain(t *testing.T) {
	serving, release := make(chan struct{}, 9), make(chan struct{})
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		serving <- struct{}{}
		<-release
		return stream.Response{Body: []byte("complete")}
	})
	s.limiter = newConnLimiter(1)
	d := newDrainTest(s, listen(t), false)
	var all []*bufio.Reader // one is served, one waits for the limiter, the others are in the accept queue
	for range 4 {
		conn, in := dial(t, d.addr)
		send(conn, rawRequest)
		all = append(all, in)
	}
	<-serving
	d.stop()
	d.steps <- time.Now()
	d.steps <- time.Now() // the listener closes
	for closing := false; !closing; runtime.Gosched() {
		s.limiter.mu.Lock()
		closing = s.limiter.closeIdleConns
		s.limiter.mu.Unlock()
	}
	close(release)
	for i, in := range all {
		if res := readResponse(t, in); res.StatusCode != 200 || !res.Close {
			t.Errorf("connection %d got status %d, closing %v", i, res.StatusCode, res.Close)
		}
	}
	close(d.steps)
	if err := <-d.done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", d.addr.String()); err == nil {
		t.Error("the listener is still open")
	}
}

// Guards against a new connection whose request is on its way being taken for an idle one as those are closed.
func TestNewConnectionRacesDrain(t *testing.T) {
	c := newDrainRace(t, 3)
	clock := time.Now()
	c.limiter.now = func() time.Time { return clock }
	idle, idleIn, _ := c.dial(false)
	send(idle, rawRequest)
	c.expectResponse(idleIn, false)
	fresh, freshIn, _ := c.dial(false)
	for c.limiter.countInactive(c.listener.Addr()) < 2 {
		runtime.Gosched()
	}
	c.stop()
	c.steps <- time.Now()
	c.steps <- time.Now() // the listener closes
	if _, err := idleIn.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection reads %v, want its end", err)
	}
	_ = idle.Close()
	c.limiter.mu.Lock()
	inactive := slices.Collect(maps.Keys(c.limiter.inactive))
	c.limiter.mu.Unlock()
	for _, conn := range inactive { // as another frontend does with all of its connections
		c.ExpireRead(conn)
		c.limiter.mu.Lock()
		if client := conn.(*clientConn); client.readExpired && client.RemoteAddr().String() == fresh.LocalAddr().String() {
			t.Error("a new connection is to be closed")
		}
		c.limiter.mu.Unlock()
	}
	send(fresh, rawRequest)
	c.expectResponse(freshIn, true)
	close(c.steps)
	if err := <-c.done; err != nil {
		t.Error(err)
	}
}

// Guards against a reset where bytes come at the moment in which their connection is closed: the client loses a response that
// it has yet to read. While draining the bytes come as late as possible, and otherwise after a request that ends its connection.
func TestBytesRaceClose(t *testing.T) {
	expectEOF := func(in *bufio.Reader) {
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("the connection reads %v, want its end", err)
		}
	}
	c := newDrainRace(t, 2)
	conn, in, _ := c.dial(false)
	send(conn, "GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n"+strings.Repeat(rawRequest, 200)) // the first has no id
	if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != 400 {
		t.Errorf("a faulty request got %+v, %v", res, err)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Error(err)
	}
	expectEOF(in)
	_ = conn.Close()
	conn, in, g := c.dial(false)
	send(conn, rawRequest)
	c.expectResponse(in, false)
	for c.limiter.countInactive(c.listener.Addr()) == 0 {
		runtime.Gosched()
	}
	g.blockClose.Store(true)
	c.stop()
	close(c.steps)
	<-g.blocked
	send(conn, rawRequest)
	for !hasUnread(g) {
		runtime.Gosched()
	}
	g.resume <- struct{}{}
	expectEOF(in)
	_ = conn.Close()
	if err := <-c.done; err != nil {
		t.Error(err)
	}
}

// Guards against connections on which net/http or the frontend for Thrift can't close the sending side alone: the client would
// learn only from the complete close that no response follows, and lose what it sent until then.
func TestHalfClose(t *testing.T) {
	l := listen(t)
	client, in := dial(t, l.Addr())
	server, err := (&limitedListener{Listener: l, limiter: newConnLimiter(1)}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	if half, ok := server.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		t.Fatal("the sending side of a client's connection can't be closed")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the client reads %v, want the end", err)
	}
	send(client, "x")
	if n, err := server.Read(make([]byte, 1)); n != 1 {
		t.Errorf("nothing more can be read: %v", err)
	}
}
