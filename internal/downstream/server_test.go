package downstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// Guards against a request that is no valid stream being forwarded, or crashing the sidecar.
func TestInvalidRequests(t *testing.T) {
	const id, left = "X-Txn", "X-Remaining-Ms"
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		t.Errorf("%s %s was forwarded", req.Operation, req.Target)
		return stream.Response{}
	})
	chunked := newRequest("GET", "/look/1", "x", id, "a", left, "9") // a body where the class takes none
	chunked.ContentLength, chunked.TransferEncoding = -1, []string{"chunked"}
	cut := newRequest("POST", "/charge/1", "four", id, "a", left, "9")
	cut.ContentLength = 5
	huge := newRequest("POST", "/charge/1", "x", id, "a", left, "9")
	huge.ContentLength = maxUploadBytes + 1
	twice := func(name string) *http.Request {
		r := newRequest("POST", "/order/1", "", id, "a", left, "9", "Idempotency-Key", "k", "X-Lane", "order", "X-Labels", "a=1")
		r.Header.Add(name, r.Header.Get(name))
		return r
	}
	odd := newRequest("GET", "/look/1", "", id, "a", left, "9")
	odd.Host = "x\xff"
	tail := newRequest("GET", "/look/1", "", id, "a", left, "9")
	tail.RequestURI = "/look/\xe9"
	for _, c := range []struct {
		r    *http.Request
		want int
	}{
		{twice(id), 400},
		{twice(left), 400},
		{twice("Idempotency-Key"), 400},
		{twice("X-Lane"), 400},
		{twice("X-Labels"), 400},
		{odd, 400},
		{tail, 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "9", "X-Labels", "a=\x80"), 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "9", "Content-Type", "\xfftext"), 400},
		{newRequest("GET", "/look/1", "", left, "9"), 400},
		{newRequest("GET", "/look/1", "", id, "a b", left, "9"), 400},
		{newRequest("GET", "/look/1", "", id, strings.Repeat("a", maxNameBytes+1), left, "9"), 400},
		{newRequest("GET", "/look/1", "", id, "a"), 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "soon"), 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "-5"), 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "99999999999999999999"), 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "9", "Idempotency-Key", "k"), 400},
		{newRequest("GET", "/look/1", "", id, "a", left, "9", "X-Lane", "order"), 400},
		{newRequest("GET", "/look/1", "body", id, "a", left, "9"), 400},
		{newRequest("POST", "/look/1", "", id, "a", left, "9"), 400},
		{newRequest("POST", "/order/1", "", id, "a", left, "9"), 400},
		{newRequest("GET", "/order/1", "", id, "a", left, "9", "Idempotency-Key", "k"), 400},
		{newRequest("POST", "/charge/1", "", id, "a", left, "9", "Idempotency-Key", "k"), 400},
		{newRequest("DELETE", "/charge/1", "", id, "a", left, "9"), 400},
		{newRequest("GET", "/unheard-of/1", "", id, "a", left, "9"), 404},
		{newRequest("GET", "/look/1", "", id, "a", left, "9", "X-Lane", "unheard-of"), 404},
		{newRequest("GET", "/", "", id, "a", left, "9"), 404},
		{huge, 413},
		{chunked, 400},
		{cut, 400},
	} {
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, c.r); w.Code != c.want {
			t.Errorf("%s %s %v: %d %s, want %d", c.r.Method, c.r.RequestURI, c.r.Header, w.Code, w.Body, c.want)
		}
	}
}

func TestDecodeRequest(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	body := strings.Repeat("x", maxBufferedBody)
	from := time.Now()
	s.ServeHTTP(httptest.NewRecorder(), newRequest("POST", "/order/7?a=%20b", body, "X-Txn", "9b1f", "X-Lane", "order",
		"X-Remaining-Ms", "1500", "Idempotency-Key", "k1", "X-Resent", "1", "X-Labels", "n=1", "Content-Type", "text/csv"))
	if left := got.Deadline.Sub(from); left < 1500*time.Millisecond || left > 2*time.Second {
		t.Errorf("the remaining time is %v", left)
	}
	if got.Arrived.Before(from) || got.Arrived.After(got.Deadline) {
		t.Errorf("it arrived at %v", got.Arrived)
	}
	got.Arrived, got.Deadline = time.Time{}, time.Time{}
	want := stream.Request{Txn: "9b1f", ClassName: "order", Class: 1, Operation: "POST", Target: "/order/7?a=%20b",
		Authority: "example.com", Key: "k1", Repeated: true, Labels: "n=1", MediaType: "text/csv", Body: []byte(body)}
	if !reflect.DeepEqual(got, want) {
		got.Body, want.Body = nil, nil
		t.Errorf("got  %+v\nwant %+v, or another body", got, want)
	}
}

// Guards against a failed stream reported as a refused one: clients would retry what may have run.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		res   stream.Response
		code  int
		retry string
	}{
		{stream.Response{Outcome: stream.Served, Body: []byte("\x00\r\n"), MediaType: "a/b"}, 200, ""},
		{stream.Response{Outcome: stream.Served}, 200, ""},
		{stream.Response{Outcome: stream.Refused, RetryAfter: 300 * time.Millisecond}, 503, "0.300"},
		{stream.Response{Outcome: stream.Refused}, 503, ""},
		{stream.Response{Outcome: stream.Failed}, 502, ""},
		{stream.Response{Outcome: stream.Expired}, 504, ""},
		{stream.Response{Outcome: stream.Rejected}, 400, ""},
		{stream.Response{Outcome: stream.Duplicate}, 409, ""},
	} {
		w := httptest.NewRecorder()
		newServer(func(context.Context, *stream.Request) stream.Response { return c.res }).
			ServeHTTP(w, newRequest("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9"))
		if w.Code != c.code || c.code == 200 && !bytes.Equal(w.Body.Bytes(), c.res.Body) || w.Header().Get("Retry-After") != c.retry ||
			w.Header().Get("Content-Length") != fmt.Sprint(w.Body.Len()) {
			t.Errorf("%+v became %d %v %q", c.res, w.Code, w.Header(), w.Body)
		}
	}
	w := httptest.NewRecorder()
	newServer(func(context.Context, *stream.Request) stream.Response { panic("bug") }).
		ServeHTTP(w, newRequest("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9"))
	if w.Code != 502 { // Guards against a panic ending a connection without a response.
		t.Errorf("a panic gave status %d", w.Code)
	}
}

// Guards against more active streams than the settings permit.
func TestMaxStreams(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		started <- struct{}{}
		<-release
		return stream.Response{}
	})
	request := func() int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newRequest("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9"))
		return w.Code
	}
	codes := make(chan int)
	for range 2 {
		go func() { codes <- request() }()
		<-started
	}
	if code := request(); code != 503 {
		t.Errorf("one too many got status %d", code)
	}
	close(release)
	for range 2 {
		if code := <-codes; code != 200 {
			t.Errorf("an admitted one got status %d", code)
		}
	}
}

// refusalRecorder is a handler that records the targets of rejected requests.
type refusalRecorder struct {
	Handler
	targets []string
}

func (r *refusalRecorder) Refuse(req *stream.Request) stream.Response {
	r.targets = append(r.targets, req.Target)
	return stream.Response{Outcome: stream.Refused}
}

// Guards against rejections that clients see and the handler does not, and against faulty requests among them.
func TestHandlerSeesRefusals(t *testing.T) {
	s, r := newServer(nil), &refusalRecorder{}
	s.handler = r
	s.maxBodyBytes.Store(1)
	for i, target := range []string{"/charge/1", "/unheard-of", "/charge/2"} {
		s.activeStreams.Store(s.settings.Load().maxStreams * int64(1-i/2)) // only the last is admitted, but its body is not
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, newRequest("POST", target, "xx", "X-Txn", "a", "X-Remaining-Ms", "9")); w.Code != 503 {
			t.Errorf("status %d, want 503", w.Code)
		}
	}
	if !reflect.DeepEqual(r.targets, []string{"/charge/1", "/charge/2"}) {
		t.Errorf("the handler got %q", r.targets)
	}
}

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
			return stream.Response{Outcome: stream.Gone}
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

func (otherAddrConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

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
		set.Instances, set.MaxHeld = c.instances, 100
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

// Guards against draining that waits for a connection on which nothing has come.
func TestInactiveConnectionsAreClosed(t *testing.T) {
	c := newConnLimiter(3)
	silent, far := net.Pipe()
	idle, farIdle := net.Pipe()
	busy, farBusy := net.Pipe()
	c.setState(silent, http.StateNew)
	c.setState(idle, http.StateNew)
	c.setState(idle, http.StateActive)
	c.setState(idle, http.StateIdle)
	c.setState(busy, http.StateNew)
	c.setState(busy, http.StateActive)
	c.closeInactive()
	for _, end := range []net.Conn{far, farIdle} {
		if _, err := end.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("an inactive connection reads %v, want its end", err)
		}
	}
	go func() { _, _ = busy.Write([]byte{1}) }()
	if _, err := farBusy.Read(make([]byte, 1)); err != nil {
		t.Errorf("an active connection reads %v", err)
	}
}

// Guards against silent connections, and those whose request stalls, keeping out clients that have a request: the oldest of
// these is evicted first, then those idle after one request, then those that were reused, then even one whose request is
// arriving; never one whose request is complete.
func TestEvictionOrder(t *testing.T) {
	c := newConnLimiter(0)
	clock := time.Now()
	c.now = func() time.Time { return clock }
	conns := map[net.Conn]string{}
	add := func(name string, hasRead bool, states ...http.ConnState) {
		near, _ := net.Pipe()
		conn := &clientConn{Conn: near}
		conns[conn] = name
		for _, state := range states {
			c.setState(conn, state)
		}
		if hasRead {
			conn.lastRead.Store(clock.UnixNano())
		}
		clock = clock.Add(newConnGracePeriod)
	}
	fresh, once := http.StateNew, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}
	add("reused", true, append(once, http.StateActive, http.StateIdle)...)
	add("idle first", true, once...)
	add("stalled", true, fresh)
	add("silent first", false, fresh)
	add("active", true, fresh, http.StateActive)
	add("silent last", false, fresh)
	add("idle last", true, once...)
	clock = clock.Add(headStallTimeout - 4*newConnGracePeriod)
	add("receiving", true, fresh)
	add("fresh", false, fresh)
	clock = clock.Add(-newConnGracePeriod)
	for _, want := range []string{"stalled", "silent first", "silent last", "idle first", "idle last", "reused", "receiving", "fresh", ""} {
		conn := c.evictionCandidate()
		if conns[conn] != want {
			t.Errorf("%q is evicted, want %q", conns[conn], want)
		}
		delete(c.inactive, conn)
	}
}

// Guards against half a request, a silent connection, or a stated length without a body holding resources: each is closed in
// time, and takes no memory for what has not come.
func TestSlowRequests(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		t.Error("half a request was served")
		return stream.Response{}
	})
	addr := serve(t, s)
	var ins []*bufio.Reader
	from := time.Now()
	for _, text := range []string{"", rawRequest[:20],
		"POST /charge/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\nContent-Length: 65536\r\n\r\nhalf"} {
		c, in := dial(t, addr)
		send(c, text)
		ins = append(ins, in)
	}
	for s.bodyBytes.Load() == 0 {
		runtime.Gosched()
	}
	if n := s.bodyBytes.Load(); n > initialBodyCapacity {
		t.Errorf("four bytes of a body take %d", n)
	}
	for _, in := range ins {
		for {
			if _, err := in.ReadByte(); err != nil {
				break
			}
		}
	}
	if took := time.Since(from); took < MessageTimeout {
		t.Errorf("they were closed after %v, sooner than a slow client may take", took)
	}
	if n := s.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of bodies are reserved", n)
	}
}

// Guards against many bodies at once exhausting the memory: those beyond the bound are rejected.
func TestMaxBodyBytes(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
	s.maxBodyBytes.Store(maxBufferedBody + initialBodyCapacity)
	request := func(size int) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newRequest("POST", "/charge/1", strings.Repeat("x", size), "X-Txn", "a", "X-Remaining-Ms", "9"))
		return w.Code
	}
	s.bodyBytes.Add(2 * initialBodyCapacity) // of other requests
	for size, want := range map[int]int{initialBodyCapacity: 200, maxBufferedBody: 503, 0: 200} {
		if code := request(size); code != want || s.bodyBytes.Load() != 2*initialBodyCapacity {
			t.Errorf("%d bytes got status %d, with %d reserved afterwards", size, code, s.bodyBytes.Load())
		}
	}
	s.bodyBytes.Store(0)
	if code := request(maxBufferedBody); code != 200 {
		t.Errorf("a large body alone got status %d", code)
	}
}

// Guards against a read deadline that expires during the stream being taken for the client's leaving.
func TestReadDeadlineEnds(t *testing.T) {
	s := newServer(func(ctx context.Context, _ *stream.Request) stream.Response {
		select {
		case <-ctx.Done():
			return stream.Response{Outcome: stream.Gone}
		case <-time.After(MessageTimeout + 200*time.Millisecond): // the time itself is what is tested
			return stream.Response{}
		}
	})
	addr := serve(t, s)
	c, in := dial(t, addr)
	send(c, rawRequest)
	if res := readResponse(t, in); res.StatusCode != 200 {
		t.Errorf("a long stream got status %d", res.StatusCode)
	}
}

// Guards against client connections taking all descriptors: an idle one is evicted for a new one.
func TestMaxConnections(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
	s.limiter = newConnLimiter(2)
	addr := serve(t, s)
	var first *bufio.Reader
	for i := range 5 {
		c, in := dial(t, addr)
		send(c, rawRequest)
		if res := readResponse(t, in); res.StatusCode != 200 {
			t.Errorf("connection %d got status %d", i, res.StatusCode)
		}
		if first == nil {
			first = in
			for s.limiter.countInactive(addr) == 0 { // it becomes idle some time after its response
				runtime.Gosched()
			}
		}
	}
	if _, err := first.ReadByte(); err == nil {
		t.Error("the first connection is still open")
	}
}

// Guards against a request inside the body of another (request smuggling): whichever of two framings is believed, one response
// comes, an error, and the connection ends. Nothing of it is forwarded.
func TestRequestSmuggling(t *testing.T) {
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		t.Errorf("%s %s was forwarded", req.Operation, req.Target)
		return stream.Response{}
	})
	addr := serve(t, s)
	chunked := "0\r\n\r\n" + rawRequest
	for _, head := range []string{
		"POST /charge/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: %d",
		"POST /charge/1 HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked",
		"GET /_health HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked",
		"OPTIONS * HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked",
		"POST /charge/1 HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: identity, chunked",
		"POST /look/1 HTTP/1.1\r\nContent-Length: %d", // a body where the class takes none
		"POST /charge/1 HTTP/1.0\r\nConnection: keep-alive\r\nX-Length: %d\r\nTransfer-Encoding: chunked",
	} {
		c, in := dial(t, addr)
		fmt.Fprintf(c, head+"\r\nHost: x\r\nX-Remaining-Ms: 900\r\n\r\n%s", len(chunked), chunked)
		if res := readResponse(t, in); res.StatusCode < 400 || res.StatusCode == 503 {
			t.Errorf("%s: status %d", head, res.StatusCode)
		}
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			t.Errorf("%s: the connection went on with %q", head, rest)
		}
	}
}
