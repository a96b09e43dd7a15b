package downstream

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// Guards against a failed stream reported as a refused one: clients would retry what may have run.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		res   stream.Response
		code  int
		retry string
	}{
		{stream.Response{Outcome: stream.Served, Body: []byte("\x00\r\n"), MediaType: "a/b"}, 200, ""},
		{stream.Response{Outcome: stream.Served}, 200, ""},
		{stream.Response{Outcome: stream.RejectedLocally, RetryAfter: 300 * time.Millisecond}, 503, "0.300"},
		{stream.Response{Outcome: stream.RejectedLocally}, 503, ""},
		{stream.Response{Outcome: stream.Failed}, 502, ""},
		{stream.Response{Outcome: stream.DeadlineExceeded}, 504, ""},
		{stream.Response{Outcome: stream.InvalidRequest}, 400, ""},
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
	return stream.Response{Outcome: stream.RejectedLocally}
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

func (otherAddrConn) LocalAddr() net.Addr { return &net.TCPAddr{} }
