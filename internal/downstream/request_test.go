package downstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// Guards against a request that is no valid stream being forwarded, or crashing the sidecar.
func TestInvalidRequests(t *testing.T) {
	const id, remaining = "X-Txn", "X-Remaining-Ms"
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		t.Errorf("%s %s was forwarded", req.Operation, req.Target)
		return stream.Response{}
	})
	chunked := newRequest("GET", "/look/1", "x", id, "a", remaining, "9") // a body where the class takes none
	chunked.ContentLength, chunked.TransferEncoding = -1, []string{"chunked"}
	cut := newRequest("POST", "/charge/1", "four", id, "a", remaining, "9")
	cut.ContentLength = 5
	huge := newRequest("POST", "/charge/1", "x", id, "a", remaining, "9")
	huge.ContentLength = maxUploadBytes + 1
	twice := func(name string) *http.Request {
		r := newRequest("POST", "/order/1", "", id, "a", remaining, "9", "Idempotency-Key", "k", "X-Lane", "order", "X-Labels", "a=1")
		r.Header.Add(name, r.Header.Get(name))
		return r
	}
	odd := newRequest("GET", "/look/1", "", id, "a", remaining, "9")
	odd.Host = "x\xff"
	tail := newRequest("GET", "/look/1", "", id, "a", remaining, "9")
	tail.RequestURI = "/look/\xe9"
	for _, c := range []struct {
		r    *http.Request
		want int
	}{
		{twice(id), 400},
		{twice(remaining), 400},
		{twice("Idempotency-Key"), 400},
		{twice("X-Lane"), 400},
		{twice("X-Labels"), 400},
		{odd, 400},
		{tail, 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "9", "X-Labels", "a=\x80"), 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "9", "Content-Type", "\xfftext"), 400},
		{newRequest("GET", "/look/1", "", remaining, "9"), 400},
		{newRequest("GET", "/look/1", "", id, "a b", remaining, "9"), 400},
		{newRequest("GET", "/look/1", "", id, strings.Repeat("a", maxNameBytes+1), remaining, "9"), 400},
		{newRequest("GET", "/look/1", "", id, "a"), 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "soon"), 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "-5"), 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "99999999999999999999"), 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "9", "Idempotency-Key", "k"), 400},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "9", "X-Lane", "order"), 400},
		{newRequest("GET", "/look/1", "body", id, "a", remaining, "9"), 400},
		{newRequest("POST", "/look/1", "", id, "a", remaining, "9"), 400},
		{newRequest("POST", "/order/1", "", id, "a", remaining, "9"), 400},
		{newRequest("GET", "/order/1", "", id, "a", remaining, "9", "Idempotency-Key", "k"), 400},
		{newRequest("POST", "/charge/1", "", id, "a", remaining, "9", "Idempotency-Key", "k"), 400},
		{newRequest("DELETE", "/charge/1", "", id, "a", remaining, "9"), 400},
		{newRequest("GET", "/unheard-of/1", "", id, "a", remaining, "9"), 404},
		{newRequest("GET", "/look/1", "", id, "a", remaining, "9", "X-Lane", "unheard-of"), 404},
		{newRequest("GET", "/", "", id, "a", remaining, "9"), 404},
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
	if remaining := got.Deadline.Sub(from); remaining < 1500*time.Millisecond || remaining > 2*time.Second {
		t.Errorf("the remaining time is %v", remaining)
	}
	if got.Arrived.Before(from) || got.Arrived.After(got.Deadline) {
		t.Errorf("it arrived at %v", got.Arrived)
	}
	got.Arrived, got.Deadline = time.Time{}, time.Time{}
	want := stream.Request{Txn: "9b1f", ClassName: "order", Class: 1, Operation: "POST", Target: "/order/7?a=%20b",
		Authority: "example.com", Key: "k1", ClientRetry: true, Labels: "n=1", MediaType: "text/csv", Body: []byte(body)}
	if !reflect.DeepEqual(got, want) {
		got.Body, want.Body = nil, nil
		t.Errorf("got  %+v\nwant %+v, or another body", got, want)
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
