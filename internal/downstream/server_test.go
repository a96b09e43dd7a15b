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

type handlerFunc func(ctx context.Context, req *stream.Request) stream.Response

func (f handlerFunc) Serve(ctx context.Context, req *stream.Request) stream.Response {
	return f(ctx, req)
}

func (f handlerFunc) Refuse(*stream.Request) stream.Response {
	return stream.Response{Outcome: stream.Refused}
}

func newServer(h handlerFunc) *Server {
	set := &config.Settings{
		Settings: balance.Settings{MaxHeld: 2, Classes: []balance.Class{
			{Effect: balance.Safe, Deadline: time.Second}, {Effect: balance.Keyed, Deadline: 2 * time.Second},
			{Effect: balance.Unsafe, Deadline: 3 * time.Second}}},
		ClassNames: []string{"look", "order", "charge"},
	}
	return New(set, NewManager(set, 1<<20, 10, zerolog.Nop()), h, zerolog.Nop())
}

func message(method, target, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	conn, _ := net.Pipe()
	r = r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, conn.LocalAddr()))
	if body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// Guards against a message that is no valid stream being forwarded, or ending the sidecar.
func TestBadMessages(t *testing.T) {
	const id, left = "X-Txn", "X-Remaining-Ms"
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		t.Errorf("%s %s was forwarded", req.Operation, req.Target)
		return stream.Response{}
	})
	chunked := message("GET", "/look/1", "x", id, "a", left, "9") // a body where the class takes none
	chunked.ContentLength, chunked.TransferEncoding = -1, []string{"chunked"}
	cut := message("POST", "/charge/1", "four", id, "a", left, "9")
	cut.ContentLength = 5
	huge := message("POST", "/charge/1", "x", id, "a", left, "9")
	huge.ContentLength = maxUploadBytes + 1
	twice := func(name string) *http.Request {
		r := message("POST", "/order/1", "", id, "a", left, "9", "Idempotency-Key", "k", "X-Lane", "order", "X-Labels", "a=1")
		r.Header.Add(name, r.Header.Get(name))
		return r
	}
	odd := message("GET", "/look/1", "", id, "a", left, "9")
	odd.Host = "x\xff"
	tail := message("GET", "/look/1", "", id, "a", left, "9")
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
		{message("GET", "/look/1", "", id, "a", left, "9", "X-Labels", "a=\x80"), 400},
		{message("GET", "/look/1", "", id, "a", left, "9", "Content-Type", "\xfftext"), 400},
		{message("GET", "/look/1", "", left, "9"), 400},
		{message("GET", "/look/1", "", id, "a b", left, "9"), 400},
		{message("GET", "/look/1", "", id, strings.Repeat("a", maxNameBytes+1), left, "9"), 400},
		{message("GET", "/look/1", "", id, "a"), 400},
		{message("GET", "/look/1", "", id, "a", left, "soon"), 400},
		{message("GET", "/look/1", "", id, "a", left, "-5"), 400},
		{message("GET", "/look/1", "", id, "a", left, "99999999999999999999"), 400},
		{message("GET", "/look/1", "", id, "a", left, "9", "Idempotency-Key", "k"), 400},
		{message("GET", "/look/1", "", id, "a", left, "9", "X-Lane", "order"), 400},
		{message("GET", "/look/1", "body", id, "a", left, "9"), 400},
		{message("POST", "/look/1", "", id, "a", left, "9"), 400},
		{message("POST", "/order/1", "", id, "a", left, "9"), 400},
		{message("GET", "/order/1", "", id, "a", left, "9", "Idempotency-Key", "k"), 400},
		{message("POST", "/charge/1", "", id, "a", left, "9", "Idempotency-Key", "k"), 400},
		{message("DELETE", "/charge/1", "", id, "a", left, "9"), 400},
		{message("GET", "/unheard-of/1", "", id, "a", left, "9"), 404},
		{message("GET", "/look/1", "", id, "a", left, "9", "X-Lane", "unheard-of"), 404},
		{message("GET", "/", "", id, "a", left, "9"), 404},
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

func TestDecode(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	body := strings.Repeat("x", maxBufferedBody)
	from := time.Now()
	s.ServeHTTP(httptest.NewRecorder(), message("POST", "/order/7?a=%20b", body, "X-Txn", "9b1f", "X-Lane", "order",
		"X-Remaining-Ms", "1500", "Idempotency-Key", "k1", "X-Resent", "1", "X-Labels", "n=1", "Content-Type", "text/csv"))
	if left := got.Deadline.Sub(from); left < 1500*time.Millisecond || left > 2*time.Second {
		t.Errorf("the time left is %v", left)
	}
	if got.Arrived.Before(from) || got.Arrived.After(got.Deadline) {
		t.Errorf("it came at %v", got.Arrived)
	}
	got.Arrived, got.Deadline = time.Time{}, time.Time{}
	want := stream.Request{Txn: "9b1f", ClassName: "order", Class: 1, Operation: "POST", Target: "/order/7?a=%20b",
		Authority: "example.com", Key: "k1", Repeated: true, Labels: "n=1", MediaType: "text/csv", Body: []byte(body)}
	if !reflect.DeepEqual(got, want) {
		got.Body, want.Body = nil, nil
		t.Errorf("got  %+v\nwant %+v, or another body", got, want)
	}
}

// Guards against a failed stream answered like a refused one: clients would repeat what may have run.
func TestAnswers(t *testing.T) {
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
			ServeHTTP(w, message("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9"))
		if w.Code != c.code || c.code == 200 && !bytes.Equal(w.Body.Bytes(), c.res.Body) || w.Header().Get("Retry-After") != c.retry ||
			w.Header().Get("Content-Length") != fmt.Sprint(w.Body.Len()) {
			t.Errorf("%+v became %d %v %q", c.res, w.Code, w.Header(), w.Body)
		}
	}
	w := httptest.NewRecorder()
	newServer(func(context.Context, *stream.Request) stream.Response { panic("bug") }).
		ServeHTTP(w, message("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9"))
	if w.Code != 502 { // Guards against a panic ending a connection without an answer.
		t.Errorf("a panic was answered %d", w.Code)
	}
}

// Guards against holding more than the site permits.
func TestMostHeld(t *testing.T) {
	release, held := make(chan struct{}), make(chan struct{})
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		held <- struct{}{}
		<-release
		return stream.Response{}
	})
	ask := func() int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, message("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9"))
		return w.Code
	}
	codes := make(chan int)
	for range 2 {
		go func() { codes <- ask() }()
		<-held
	}
	if code := ask(); code != 503 {
		t.Errorf("one too many was answered %d", code)
	}
	close(release)
	for range 2 {
		if code := <-codes; code != 200 {
			t.Errorf("one that was held was answered %d", code)
		}
	}
}

// refusals is a handler that keeps whom the front turns away.
type refusals struct {
	Handler
	told []string
}

func (r *refusals) Refuse(req *stream.Request) stream.Response {
	r.told = append(r.told, req.Target)
	return stream.Response{Outcome: stream.Refused}
}

// Guards against refusals that callers see and that nobody is told of, and against faulty messages among them.
func TestRefusalsAreTold(t *testing.T) {
	s, r := newServer(nil), &refusals{}
	s.handler = r
	s.maxBodyBytes.Store(1)
	for i, target := range []string{"/charge/1", "/unheard-of", "/charge/2"} {
		s.activeStreams.Store(s.settings.Load().maxStreams * int64(1-i/2)) // only for the last there is room, but not for its body
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, message("POST", target, "xx", "X-Txn", "a", "X-Remaining-Ms", "9")); w.Code != 503 {
			t.Errorf("answered %d, want 503", w.Code)
		}
	}
	if !reflect.DeepEqual(r.told, []string{"/charge/1", "/charge/2"}) {
		t.Errorf("told of %q", r.told)
	}
}

const raw = "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n\r\n"

func dial(t *testing.T, addr net.Addr) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func answer(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against a planned end that loses what was taken, or that resets connections while they still
// come: those get answers, and are then closed.
func TestDrain(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		held <- struct{}{}
		<-release
		return stream.Response{Body: []byte("whole")}
	})
	s.settings.Store(&managerSettings{maxStreams: 10, drainTimeout: time.Minute})
	steps := make(chan time.Time)
	s.After = func(time.Duration) <-chan time.Time { return steps }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx, s.Frontend(l)) }()
	taken, takenIn := dial(t, l.Addr())
	_, idleIn := dial(t, l.Addr())
	io.WriteString(taken, raw)
	<-held
	end()
	for !s.draining.Load() {
		runtime.Gosched()
	}
	late, lateIn := dial(t, l.Addr())
	io.WriteString(late, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"+raw)
	if res := answer(t, lateIn); res.StatusCode != 503 {
		t.Errorf("a sidecar that ends says %d of its health", res.StatusCode)
	}
	<-held
	close(steps) // the listener closes, and every connection that has brought nothing
	if _, err := idleIn.ReadByte(); err == nil {
		t.Error("a silent connection was told something")
	}
	close(release)
	for _, in := range []*bufio.Reader{takenIn, lateIn} {
		if res := answer(t, in); res.StatusCode != 200 || !res.Close {
			t.Errorf("what was taken was answered %d, closing %v", res.StatusCode, res.Close)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a planned end that turns clients away who have no other sidecar: they are served on the
// connections that they have for as long as that can be, and what can't be answered by then is failed in
// time, not lost.
func TestDrainAlone(t *testing.T) {
	held := make(chan struct{})
	s := newServer(func(ctx context.Context, req *stream.Request) stream.Response {
		if req.Target == "/look/slow" {
			held <- struct{}{}
			<-ctx.Done()
			return stream.Response{Outcome: stream.Gone}
		}
		return stream.Response{Body: []byte("whole")}
	})
	s.settings.Store(&managerSettings{maxStreams: 10, alone: true, drainTimeout: time.Minute})
	steps := make(chan time.Time)
	s.After = func(time.Duration) <-chan time.Time { return steps }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx, s.Frontend(l)) }()
	kept, keptIn := dial(t, l.Addr())
	slow, slowIn := dial(t, l.Addr())
	io.WriteString(kept, raw)
	answer(t, keptIn)
	end()
	for !s.draining.Load() {
		runtime.Gosched()
	}
	for range 3 {
		io.WriteString(kept, raw)
		if res := answer(t, keptIn); res.StatusCode != 200 || res.Close {
			t.Errorf("a client with nowhere to go was answered %d, closing %v", res.StatusCode, res.Close)
		}
	}
	told, toldIn := dial(t, l.Addr())
	io.WriteString(slow, strings.Replace(raw, "/look/1", "/look/slow", 1))
	<-held
	steps <- time.Now() // it is about to leave
	for !s.ClosesConnections() {
		runtime.Gosched()
	}
	io.WriteString(told, raw)
	if res := answer(t, toldIn); res.StatusCode != 200 || !res.Close {
		t.Errorf("shortly before all is closed a client was answered %d, closing %v", res.StatusCode, res.Close)
	}
	steps <- time.Now() // it leaves
	if _, err := keptIn.ReadByte(); err == nil {
		t.Error("an idle connection is still open")
	}
	steps <- time.Now() // and cuts what is left
	if res := answer(t, slowIn); res.StatusCode != 502 {
		t.Errorf("what could not be answered in time was answered %d", res.StatusCode)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// elsewhere is a connection to another address.
type elsewhere struct{ net.Conn }

func (elsewhere) LocalAddr() net.Addr { return &net.TCPAddr{} }

// Guards against clients of a sidecar that ends finding all connections busy, and taking it for dead
// while it could still serve them, and the only other one may be about to start: in a crowd the last free ones are
// not put to work. A few clients with a connection each are served, though, and all whose next connection a successor takes,
// or one of several others.
func TestSomeConnectionsStayFree(t *testing.T) {
	for _, c := range []struct {
		instances          int
		draining, followed bool
		held               int64
		free, want         int
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
		s.SetSucceeded(c.followed)
		s.activeStreams.Store(c.held)
		for range c.free {
			conn, _ := net.Pipe()
			s.limiter.setState(conn, http.StateIdle)
		}
		for range minSpareConns { // another front's are of no use to these clients
			conn, _ := net.Pipe()
			s.limiter.setState(elsewhere{conn}, http.StateIdle)
		}
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, message("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "9")); w.Code != c.want {
			t.Errorf("%+v: answered %d", c, w.Code)
		}
	}
}

// Guards against a planned end that ends after SIGKILL, or waits for what the settings don't have.
func TestEndIsInTime(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		3 * time.Second: 3650 * time.Millisecond, 20 * time.Second: 3650 * time.Millisecond, time.Second: 1650 * time.Millisecond,
	} {
		set := &config.Settings{Settings: balance.Settings{Classes: []balance.Class{{Deadline: longest}}}, ClassNames: []string{"a"}}
		if got := NewManager(set, 0, 0, zerolog.Nop()).settings.Load().drainTimeout; got != want {
			t.Errorf("with a longest deadline of %v it takes %v, want %v", longest, got, want)
		}
	}
}

// Guards against a planned end that waits for a connection on which nothing has come.
func TestQuietConnectionsAreClosed(t *testing.T) {
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
			t.Errorf("a quiet connection reads %v, want its end", err)
		}
	}
	go busy.Write([]byte{1})
	if _, err := farBusy.Read(make([]byte, 1)); err != nil {
		t.Errorf("a busy connection reads %v", err)
	}
}

// Guards against silent connections, and those that stop half-way, keeping out clients that have something to say: the
// oldest of these is shed first, then what asked once and stayed, then clients that come again, then even a message that
// still comes; never one that has come.
func TestWhichIsShed(t *testing.T) {
	c := newConnLimiter(0)
	clock := time.Now()
	c.now = func() time.Time { return clock }
	conns := map[net.Conn]string{}
	add := func(name string, heard bool, states ...http.ConnState) {
		near, _ := net.Pipe()
		conn := &clientConn{Conn: near}
		conns[conn] = name
		for _, state := range states {
			c.setState(conn, state)
		}
		if heard {
			conn.lastRead.Store(clock.UnixNano())
		}
		clock = clock.Add(newConnGracePeriod)
	}
	fresh, asked := http.StateNew, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}
	add("came again", true, append(asked, http.StateActive, http.StateIdle)...)
	add("asked first", true, asked...)
	add("stopped", true, fresh)
	add("silent first", false, fresh)
	add("busy", true, fresh, http.StateActive)
	add("silent last", false, fresh)
	add("asked last", true, asked...)
	clock = clock.Add(headStallTimeout - 4*newConnGracePeriod)
	add("still comes", true, fresh)
	add("fresh", false, fresh)
	clock = clock.Add(-newConnGracePeriod)
	for _, want := range []string{"stopped", "silent first", "silent last", "asked first", "asked last", "came again", "still comes", "fresh", ""} {
		conn := c.evictionCandidate()
		if conns[conn] != want {
			t.Errorf("%q is shed, want %q", conns[conn], want)
		}
		delete(c.inactive, conn)
	}
}

// Guards against half of a message, a silent connection, or a stated length without a body holding on to
// anything: each is ended in time, and takes no memory for what has not come.
func TestSlowMessages(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		t.Error("half a message was served")
		return stream.Response{}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = s.Run(context.Background(), s.Frontend(l)) }()
	var ins []*bufio.Reader
	from := time.Now()
	for _, text := range []string{"", raw[:20],
		"POST /charge/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\nContent-Length: 65536\r\n\r\nhalf"} {
		c, in := dial(t, l.Addr())
		io.WriteString(c, text)
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
		t.Errorf("they were ended after %v, sooner than a slow client may take", took)
	}
	if n := s.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of bodies are held", n)
	}
}

// Guards against many bodies at once exhausting the memory: what goes beyond is refused.
func TestBodiesAreBounded(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
	s.maxBodyBytes.Store(maxBufferedBody + initialBodyCapacity)
	ask := func(size int) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, message("POST", "/charge/1", strings.Repeat("x", size), "X-Txn", "a", "X-Remaining-Ms", "9"))
		return w.Code
	}
	s.bodyBytes.Add(2 * initialBodyCapacity) // held by others
	for size, want := range map[int]int{initialBodyCapacity: 200, maxBufferedBody: 503, 0: 200} {
		if code := ask(size); code != want || s.bodyBytes.Load() != 2*initialBodyCapacity {
			t.Errorf("%d bytes were answered %d, with %d held afterwards", size, code, s.bodyBytes.Load())
		}
	}
	s.bodyBytes.Store(0)
	if code := ask(maxBufferedBody); code != 200 {
		t.Errorf("a large body alone was answered %d", code)
	}
}

// Guards against the time for reading a message passing for the client's leaving when it runs out during
// the stream.
func TestReadingTimeEnds(t *testing.T) {
	s := newServer(func(ctx context.Context, _ *stream.Request) stream.Response {
		select {
		case <-ctx.Done():
			return stream.Response{Outcome: stream.Gone}
		case <-time.After(MessageTimeout + 200*time.Millisecond): // the time itself is what is tested
			return stream.Response{}
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = s.Run(context.Background(), s.Frontend(l)) }()
	c, in := dial(t, l.Addr())
	io.WriteString(c, raw)
	if res := answer(t, in); res.StatusCode != 200 {
		t.Errorf("a long stream was answered %d", res.StatusCode)
	}
}

// Guards against callers' connections taking all descriptors: an idle one is shed for a new one.
func TestConnectionsAreBounded(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s.limiter = newConnLimiter(2)
	go func() { _ = s.Run(context.Background(), s.Frontend(l)) }()
	var first *bufio.Reader
	for i := range 5 {
		c, in := dial(t, l.Addr())
		io.WriteString(c, raw)
		if res := answer(t, in); res.StatusCode != 200 {
			t.Errorf("connection %d was answered %d", i, res.StatusCode)
		}
		if first == nil {
			first = in
			for s.limiter.countInactive(l.Addr()) == 0 { // it is idle some time after its answer
				runtime.Gosched()
			}
		}
	}
	if _, err := first.ReadByte(); err == nil {
		t.Error("the first connection is still open")
	}
}

// Guards against a request that stands inside the body of another: whichever of two framings is believed,
// one answer comes, an error, and the connection ends. Nothing of it is passed on.
func TestHiddenRequest(t *testing.T) {
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		t.Errorf("%s %s was passed on", req.Operation, req.Target)
		return stream.Response{}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = s.Run(context.Background(), s.Frontend(l)) }()
	chunked := "0\r\n\r\n" + raw
	for _, head := range []string{
		"POST /charge/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: %d",
		"POST /charge/1 HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked",
		"GET /_health HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked",
		"OPTIONS * HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked",
		"POST /charge/1 HTTP/1.1\r\nContent-Length: %d\r\nTransfer-Encoding: identity, chunked",
		"POST /look/1 HTTP/1.1\r\nContent-Length: %d", // a body where the class takes none
		"POST /charge/1 HTTP/1.0\r\nConnection: keep-alive\r\nX-Length: %d\r\nTransfer-Encoding: chunked",
	} {
		c, in := dial(t, l.Addr())
		fmt.Fprintf(c, head+"\r\nHost: x\r\nX-Remaining-Ms: 900\r\n\r\n%s", len(chunked), chunked)
		if res := answer(t, in); res.StatusCode < 400 || res.StatusCode == 503 {
			t.Errorf("%s: answered %d", head, res.StatusCode)
		}
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			t.Errorf("%s: the connection went on with %q", head, rest)
		}
	}
}
