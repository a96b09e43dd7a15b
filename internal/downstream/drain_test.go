package downstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// Guards against draining that loses requests, or that resets connections while new ones still come: those get responses, and
// are then closed.
func TestDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		started <- struct{}{}
		<-release
		return stream.Response{Body: []byte("complete")}
	})
	d := newDrainTest(s, listen(t), false)
	taken, takenIn := dial(t, d.addr)
	_, idleIn := dial(t, d.addr)
	send(taken, rawRequest)
	<-started
	d.startDraining()
	late, lateIn := dial(t, d.addr)
	send(late, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"+rawRequest)
	if res := readResponse(t, lateIn); res.StatusCode != 503 {
		t.Errorf("a draining sidecar's health check has status %d", res.StatusCode)
	}
	<-started
	close(d.steps) // the listener closes, and every connection without a request
	if _, err := idleIn.ReadByte(); err == nil {
		t.Error("a silent connection got a byte")
	}
	close(release)
	for _, in := range []*bufio.Reader{takenIn, lateIn} {
		if res := readResponse(t, in); res.StatusCode != 200 || !res.Close {
			t.Errorf("an admitted request got status %d, closing %v", res.StatusCode, res.Close)
		}
	}
	if err := <-d.done; err != nil {
		t.Error(err)
	}
}

// Guards against draining that rejects clients who have no other sidecar: they are served on the connections that they have for
// as long as possible, and streams without a response by then fail in time and are not lost.
func TestDrainAlone(t *testing.T) {
	started := make(chan struct{})
	s := newServer(func(ctx context.Context, req *stream.Request) stream.Response {
		if req.Target == "/look/slow" {
			started <- struct{}{}
			<-ctx.Done()
			return stream.Response{Outcome: stream.ClientGone}
		}
		return stream.Response{Body: []byte("complete")}
	})
	d := newDrainTest(s, listen(t), true)
	idle, idleIn := dial(t, d.addr)
	slow, slowIn := dial(t, d.addr)
	send(idle, rawRequest)
	readResponse(t, idleIn)
	d.startDraining()
	for range 3 {
		send(idle, rawRequest)
		if res := readResponse(t, idleIn); res.StatusCode != 200 || res.Close {
			t.Errorf("a client without another sidecar got status %d, closing %v", res.StatusCode, res.Close)
		}
	}
	redirected, redirectedIn := dial(t, d.addr)
	send(slow, strings.Replace(rawRequest, "/look/1", "/look/slow", 1))
	<-started
	d.steps <- time.Now() // the listener is about to close
	for !s.ClosesConnections() {
		runtime.Gosched()
	}
	send(redirected, rawRequest)
	if res := readResponse(t, redirectedIn); res.StatusCode != 200 || !res.Close {
		t.Errorf("shortly before the close a client got status %d, closing %v", res.StatusCode, res.Close)
	}
	d.steps <- time.Now() // the listener closes
	if _, err := idleIn.ReadByte(); err == nil {
		t.Error("an idle connection is still open")
	}
	d.steps <- time.Now() // streams are cancelled
	if res := readResponse(t, slowIn); res.StatusCode != 502 {
		t.Errorf("a cancelled stream got status %d", res.StatusCode)
	}
	if err := <-d.done; err != nil {
		t.Error(err)
	}
}

// otherAddrConn is a connection to another address.
type otherAddrConn struct{ net.Conn }

// Guards against clients of a draining sidecar finding all connections busy, and taking it for dead while it could still serve
// them, and the only other one may be about to start: in an overload the last free ones serve no request. A few clients with a
// connection each are served, though, and all whose next connection a successor accepts, or one of several others.
func TestSpareConnections(t *testing.T) {
	for _, c := range []struct {
		instances           int
		draining, succeeded bool
		active              int64
		free, want          int
	}{
		{1, true, false, spareMinStreams, minSpareConns - 1, 503}, {1, true, false, spareMinStreams, minSpareConns, 200}, {1, true, false, 1, 0, 200},
		{2, true, false, spareMinStreams, minSpareConns - 1, 503}, {2, true, false, spareMinStreams, minSpareConns, 200}, {2, true, false, 1, 0, 200},
		{1, false, false, spareMinStreams, 0, 200}, {2, true, true, spareMinStreams, 0, 200}, {3, true, false, spareMinStreams, 0, 200},
	} {
		s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
		set := &config.Settings{}
		set.Instances, set.MaxPending = c.instances, 100
		s.UpdateSettings(set)
		s.limiter = newConnLimiter(0)
		s.draining.Store(c.draining)
		s.SetSucceeded(c.succeeded)
		s.activeStreams.Store(c.active)
		for range c.free {
			conn, _ := net.Pipe()
			s.limiter.setState(conn, http.StateIdle)
		}
		for range minSpareConns { // another frontend's are of no use to these clients
			conn, _ := net.Pipe()
			s.limiter.setState(otherAddrConn{conn}, http.StateIdle)
		}
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, newRequest("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9")); w.Code != c.want {
			t.Errorf("%+v: status %d", c, w.Code)
		}
	}
}

// Guards against draining that ends after SIGKILL, or that waits longer than the settings need.
func TestDrainTimeout(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		3 * time.Second: 3650 * time.Millisecond, 20 * time.Second: 3650 * time.Millisecond, time.Second: 1650 * time.Millisecond,
	} {
		set := &config.Settings{Settings: balance.Settings{Classes: []balance.Class{{Deadline: longest}}}, ClassNames: []string{"a"}}
		if got := NewManager(set, 0, 0, zerolog.Nop()).settings.Load().drainTimeout; got != want {
			t.Errorf("with a longest deadline of %v it takes %v, want %v", longest, got, want)
		}
	}
}
