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

// gate is a listener whose connections stop before and after each read, from when they are told to.
type gate struct {
	net.Listener
	last     *gated
	accepted chan struct{}
	closed   chan struct{} // gets something at each Close
}

func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.last = &gated{TCPConn: conn.(*net.TCPConn), held: make(chan struct{}), goOn: make(chan struct{}), ended: make(chan struct{}, 9)}
	g.accepted <- struct{}{}
	<-g.accepted
	return g.last, nil
}

func (g *gate) Close() error {
	err := g.Listener.Close()
	g.closed <- struct{}{}
	return err
}

type gated struct {
	*net.TCPConn
	stops, watched atomic.Bool
	stopsEnd       atomic.Bool // before its sending or all of it is closed, once
	held, goOn     chan struct{}
	ended          chan struct{} // gets something as the watched connection is closed, or its reads are
}

func (g *gated) hold() {
	if g.stops.Load() {
		g.held <- struct{}{}
		<-g.goOn
	}
}

func (g *gated) Read(b []byte) (int, error) {
	if len(b) == 1 { // net/http's while it serves a request
		return g.TCPConn.Read(b)
	}
	g.hold()
	n, err := g.TCPConn.Read(b)
	if n > 0 {
		g.hold()
	}
	return n, err
}

func (g *gated) end() {
	if g.watched.Load() {
		g.ended <- struct{}{}
	}
}

func (g *gated) holdEnd() {
	if g.stopsEnd.CompareAndSwap(true, false) {
		g.held <- struct{}{}
		<-g.goOn
	}
}

func (g *gated) CloseWrite() error {
	g.holdEnd()
	return g.TCPConn.CloseWrite()
}

func (g *gated) Close() error {
	g.end()
	g.holdEnd()
	return g.TCPConn.Close()
}

func (g *gated) SetReadDeadline(t time.Time) error {
	err := g.TCPConn.SetReadDeadline(t)
	if t.Equal(time.Unix(1, 0)) {
		g.end()
	}
	return err
}

// crossing is a server behind a gate, and what a test needs of its planned end.
type crossing struct {
	*Server
	t     *testing.T
	gate  *gate
	serve func() // within each request
	steps chan time.Time
	end   context.CancelFunc
	ended chan error
}

func newCrossing(t *testing.T, most int) *crossing {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &crossing{t: t, gate: &gate{Listener: l, accepted: make(chan struct{}), closed: make(chan struct{}, 9)}, serve: func() {},
		steps: make(chan time.Time), ended: make(chan error, 1)}
	c.Server = newServer(func(context.Context, *stream.Request) stream.Response {
		c.serve()
		return stream.Response{Body: []byte("whole")}
	})
	c.settings.Store(&managerSettings{maxStreams: 10, drainTimeout: time.Minute})
	c.limiter = newConnLimiter(most)
	c.After = func(time.Duration) <-chan time.Time { return c.steps }
	ctx, end := context.WithCancel(context.Background())
	c.end = end
	go func() { c.ended <- c.Run(ctx, c.Frontend(c.gate)) }()
	t.Cleanup(func() { l.Close() })
	return c
}

// dial makes a connection that is accepted, and that stops before its first read where it is to.
func (c *crossing) dial(stops bool) (net.Conn, *bufio.Reader, *gated) {
	conn, in := dial(c.t, c.gate.Addr())
	<-c.gate.accepted
	at := c.gate.last
	at.stops.Store(stops)
	c.gate.accepted <- struct{}{}
	return conn, in, at
}

// leave has the planned end go on to where quiet connections are closed.
func (c *crossing) leave(silent *bufio.Reader) {
	c.end()
	close(c.steps)
	if _, err := silent.ReadByte(); err != io.EOF {
		c.t.Errorf("a silent connection reads %v, want its end", err)
	}
}

// whole reads the answer to a request that was taken.
func (c *crossing) whole(in *bufio.Reader, closes bool) {
	c.t.Helper()
	if res, err := http.ReadResponse(in, nil); err != nil {
		c.t.Errorf("a request that was taken: %v", err)
	} else if res.StatusCode != 200 || res.Close != closes {
		c.t.Errorf("a request that was taken was answered %d, closing %v", res.StatusCode, res.Close)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.t.Error(err)
	}
}

// Guards against a request lost whose first bytes cross our own closing of its connection, which passes for quiet
// until net/http has read a whole head: in a planned end, and where it is shed for another.
func TestRequestCrossesClose(t *testing.T) {
	const half = 2
	for at, name := range []string{"unread", "read", "half"} { // as the closing comes; each is one more stop passed than the one before
		for _, kept := range []bool{false, true} {
			for _, crowd := range []bool{false, true} {
				if at == half && crowd {
					continue // the half may be shed
				}
				t.Run(fmt.Sprintf("%s,kept=%v,crowd=%v", name, kept, crowd), func(t *testing.T) {
					most := 2
					if crowd {
						most = 1
					}
					c := newCrossing(t, most)
					var silent *bufio.Reader
					if !crowd {
						_, silent, _ = c.dial(false)
					}
					conn, in, g := c.dial(!kept)
					if kept {
						c.serve = func() { g.stops.Store(true) }
						io.WriteString(conn, raw)
						c.whole(in, false)
						c.serve = func() {}
					}
					<-g.held
					now, later := raw, ""
					if at == half {
						now, later = raw[:20], raw[20:]
					}
					io.WriteString(conn, now)
					for !hasUnread(g) { // on its way
						runtime.Gosched()
					}
					for range at {
						g.goOn <- struct{}{}
						<-g.held
					}
					g.watched.Store(true)
					var other *bufio.Reader
					if crowd {
						var to net.Conn
						to, other, _ = c.dial(false)
						io.WriteString(to, raw)
						<-g.ended
					} else {
						c.leave(silent)
					}
					io.WriteString(conn, later)
					g.stops.Store(false)
					g.goOn <- struct{}{}
					c.whole(in, !crowd)
					if crowd {
						c.whole(other, false)
						c.end()
						close(c.steps)
					}
					if err := <-c.ended; err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// Guards against a request lost because its connection was accepted and still waited for room as the planned end closed
// the listener.
func TestClaimCrossesEnd(t *testing.T) {
	c := newCrossing(t, 1)
	held, release := make(chan struct{}, 2), make(chan struct{})
	c.serve = func() {
		held <- struct{}{}
		<-release
	}
	first, firstIn, _ := c.dial(false)
	io.WriteString(first, raw)
	<-held
	second, secondIn, _ := c.dial(false)
	io.WriteString(second, raw)
	c.end()
	close(c.steps)
	<-c.gate.closed
	close(release)
	c.whole(firstIn, true)
	c.whole(secondIn, true)
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
}

// Guards against connections that the kernel has accepted, and that wait behind a full bound, being reset with what their
// clients have written as the listener closes.
func TestQueueCrossesEnd(t *testing.T) {
	held, release := make(chan struct{}, 9), make(chan struct{})
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		held <- struct{}{}
		<-release
		return stream.Response{Body: []byte("whole")}
	})
	s.settings.Store(&managerSettings{maxStreams: 10, drainTimeout: time.Minute})
	s.limiter = newConnLimiter(1)
	steps := make(chan time.Time)
	s.After = func(time.Duration) <-chan time.Time { return steps }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, s.Frontend(l)) }()
	var all []*bufio.Reader // one is served, one waits for room, the others in the queue
	for range 4 {
		conn, in := dial(t, l.Addr())
		io.WriteString(conn, raw)
		all = append(all, in)
	}
	<-held
	end()
	steps <- time.Now()
	steps <- time.Now() // it leaves
	for leaving := false; !leaving; runtime.Gosched() {
		s.limiter.mu.Lock()
		leaving = s.limiter.closeIdleConns
		s.limiter.mu.Unlock()
	}
	close(release)
	for i, in := range all {
		if res := answer(t, in); res.StatusCode != 200 || !res.Close {
			t.Errorf("connection %d was answered %d, closing %v", i, res.StatusCode, res.Close)
		}
	}
	close(steps)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("the listener is still open")
	}
}

// Guards against a connection that has just come, and whose request is on its way, passing for an idle one as those are closed.
func TestRequestOfANewConnectionCrossesEnd(t *testing.T) {
	c := newCrossing(t, 3)
	clock := time.Now()
	c.limiter.now = func() time.Time { return clock }
	kept, keptIn, _ := c.dial(false)
	io.WriteString(kept, raw)
	c.whole(keptIn, false)
	fresh, freshIn, _ := c.dial(false)
	for c.limiter.countInactive(c.gate.Addr()) < 2 {
		runtime.Gosched()
	}
	c.end()
	c.steps <- time.Now()
	c.steps <- time.Now() // it leaves
	if _, err := keptIn.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection reads %v, want its end", err)
	}
	kept.Close()
	c.limiter.mu.Lock()
	quiets := slices.Collect(maps.Keys(c.limiter.inactive))
	c.limiter.mu.Unlock()
	for _, conn := range quiets { // as another front does with all that it has
		c.ExpireRead(conn)
		c.limiter.mu.Lock()
		if own := conn.(*clientConn); own.readExpired && own.RemoteAddr().String() == fresh.LocalAddr().String() {
			t.Error("a connection that has just come is to be closed")
		}
		c.limiter.mu.Unlock()
	}
	io.WriteString(fresh, raw)
	c.whole(freshIn, true)
	close(c.steps)
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
}

// Guards against a reset where bytes come in the moment in which their connection is closed: it takes an answer with it that
// its client is yet to read. In a planned end they come as late as they can, and otherwise behind a message that ends its
// connection.
func TestBytesCrossClose(t *testing.T) {
	end := func(in *bufio.Reader) {
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("the connection reads %v, want its end", err)
		}
	}
	c := newCrossing(t, 2)
	conn, in, _ := c.dial(false)
	io.WriteString(conn, "GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n"+strings.Repeat(raw, 200)) // the first has no id
	if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != 400 {
		t.Errorf("a faulty request is answered %+v, %v", res, err)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Error(err)
	}
	end(in)
	conn.Close()
	conn, in, g := c.dial(false)
	io.WriteString(conn, raw)
	c.whole(in, false)
	for c.limiter.countInactive(c.gate.Addr()) == 0 {
		runtime.Gosched()
	}
	g.stopsEnd.Store(true)
	c.end()
	close(c.steps)
	<-g.held
	io.WriteString(conn, raw)
	for !hasUnread(g) {
		runtime.Gosched()
	}
	g.goOn <- struct{}{}
	end(in)
	conn.Close()
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
}

// Guards against a half close that net/http or Thrift's front can't make: the client would learn only from the whole close that
// no answer follows, and lose what it sent until then.
func TestHalfClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, in := dial(t, l.Addr())
	near, err := (&limitedListener{Listener: l, limiter: newConnLimiter(1)}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	if half, ok := near.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		t.Fatal("a caller's connection can't be closed by half")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the client reads %v, want the end", err)
	}
	io.WriteString(far, "x")
	if n, err := near.Read(make([]byte, 1)); n != 1 {
		t.Errorf("nothing more can be read: %v", err)
	}
}
