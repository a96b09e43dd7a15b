package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestForwarding(t *testing.T) {
	Convey("A request reaches its endpoint as the client sent it", t, func() {
		e := newFakeEndpoint(t, "e1", succeed("answer"))
		r := newTestProxy(t, e)
		response, body, err := r.do("POST", "/u/a%2Fb?x=1&y=%20", "payload", "X-Other", "o", "Connection", "X-Hop", "X-Hop", "h",
			"X-Tenant-Id", "forged", "X-Deadline-Ms", "900")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, "answer")
		So(response.Header.Get("X-Response-Signature"), ShouldEqual, "s1")
		So(response.Header.Get("Content-Encoding"), ShouldEqual, "")
		got := e.requests()[0]
		So(got.RequestURI, ShouldEqual, "/u/a%2Fb?x=1&y=%20")
		So(got.Method, ShouldEqual, "POST")
		So(got.Host, ShouldEqual, "h")
		So(e.bodies[0], ShouldEqual, "payload")
		So(got.Header.Get("X-Request-Id"), ShouldEqual, "id-1")
		So(got.Header.Get("X-Other"), ShouldEqual, "o")
		So(got.Header.Get("X-Hop"), ShouldEqual, "")
		So(got.Header.Get("Api-Key"), ShouldEqual, "")
		So(got.Header["X-Tenant-Id"], ShouldResemble, []string{"acme"})
		So(got.Header.Get("X-Expected-Instance"), ShouldEqual, "e1")
		So(got.Header.Get("Priority"), ShouldEqual, "3")
		left, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetweenOrEqual, 500, 900)
	})
	Convey("A body without a stated length is passed on whole", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		request, err := http.NewRequest("POST", r.url+"/p/x", io.MultiReader(strings.NewReader("abc"), strings.NewReader("def")))
		So(err, ShouldBeNil)
		request.Host = "h"
		response, err := http.DefaultTransport.RoundTrip(request)
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		So(e.bodies[0], ShouldEqual, "abcdef")
		So(e.requests()[0].ContentLength, ShouldEqual, 6)
	})
	Convey("A public route needs no key, and none is passed on", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		response, _, err := r.do("POST", "/p/x", "abc", "Api-Key", "unknown")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(e.requests()[0].Header.Get("X-Tenant-Id"), ShouldEqual, "")
		So(e.requests()[0].Header.Get("Api-Key"), ShouldEqual, "")
	})
	Convey("A connection is kept for the next request", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for range 5 {
			_, _, err := r.do("POST", "/u/", "")
			So(err, ShouldBeNil)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		So(e.accepts, ShouldEqual, 1)
	})
	Convey("An endpoint's failure is passed on unchanged", t, func() {
		e := newFakeEndpoint(t, "e1", respond("HTTP/1.1 500 Internal Server Error\nX-Response-Signature: s9\nContent-Length: 3\n\nbad"))
		response, body, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 500)
		So(body, ShouldEqual, "bad")
		So(response.Header.Get("X-Response-Signature"), ShouldEqual, "s9")
	})
}

func TestDenials(t *testing.T) {
	Convey("What is not allowed is denied, and nothing is sent", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for _, c := range []struct {
			path, body, key string
			status          int
		}{
			{"/none/", "", "k", 404}, {"/u/", "", "other", 401}, {"/u/", strings.Repeat("x", 51), "k", 413},
		} {
			response, _, err := r.do("POST", c.path, c.body, "Api-Key", c.key)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, c.status)
		}
		So(e.requests(), ShouldBeEmpty)
	})
	Convey("A router that has not heard of the core for a while denies nothing, but says when to come back", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1"))
		r.delegate.age = 2 * time.Second
		response, _, err := r.do("POST", "/none/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("A key may not be used when the lease has run out: 503 with a time, and not 401", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		r.delegate.age = 5 * time.Second
		response, _, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotEqual, "")
		So(e.requests(), ShouldBeEmpty)
	})
	Convey("Beyond the quota there is 429 with a time", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1"))
		r.delegate.reject = true
		response, _, err := r.do("POST", "/u/", "", "X-Token-Usage", "1460,80")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 429)
		So(response.Header.Get("Retry-After"), ShouldEqual, "1.500")
		So(r.delegate.charged, ShouldEqual, 1540)
	})
	Convey("A request without a statement of tokens counts as the tenant's plain ones", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1"))
		_, _, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(r.delegate.charged, ShouldEqual, 200)
	})
}

func TestDrain(t *testing.T) {
	Convey("A router that is about to end", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for range 20 {
			r.proxy.durations.observe("st", 6*time.Second)
			r.proxy.durations.observe("u", 10*time.Millisecond)
		}
		r.proxy.BeginDrain(time.Now().Add(4 * time.Second))
		Convey("takes no request that it could not finish, and says when to come back", func() {
			response, _, err := r.do("POST", "/st/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
			So(response.Header.Get("Retry-After"), ShouldNotEqual, "")
			So(e.requests(), ShouldBeEmpty)
		})
		Convey("takes short ones, and closes their connections", func() {
			response, _, err := r.do("POST", "/u/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			So(response.Close, ShouldBeTrue)
		})
	})
}

func TestRetries(t *testing.T) {
	Convey("What an endpoint says that it did not run goes to another one", t, func() {
		a := newFakeEndpoint(t, "e1", respond(notExecutedText))
		b := newFakeEndpoint(t, "e2", respond(notExecutedText))
		response, _, err := newTestProxy(t, a, b).do("POST", "/safe/", "")
		So(err, ShouldBeNil)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 2)
		So(response.StatusCode, ShouldEqual, 503)
	})
	Convey("An unsafe request that may have run is never sent again", t, func() {
		a, b := newFakeEndpoint(t, "e1", closeConnection), newFakeEndpoint(t, "e2", closeConnection)
		response, _, err := newTestProxy(t, a, b).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
	})
	Convey("A safe one is, as often as its route says", t, func() {
		a, b := newFakeEndpoint(t, "e1", closeConnection), newFakeEndpoint(t, "e2", closeConnection)
		c, d := newFakeEndpoint(t, "e3", closeConnection), newFakeEndpoint(t, "e4", closeConnection)
		response, _, err := newTestProxy(t, a, b, c, d).do("POST", "/safe/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(len(a.requests())+len(b.requests())+len(c.requests())+len(d.requests()), ShouldEqual, 3)
	})
	Convey("An endpoint that can't be reached costs nothing: the request goes to another one", t, func() {
		gone := newFakeEndpoint(t, "e1")
		_ = gone.listener.Close()
		b := newFakeEndpoint(t, "e2")
		r := newTestProxy(t, gone, b)
		for range 6 {
			response, _, err := r.do("POST", "/one/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
		}
	})
	Convey("An endpoint that is another one than expected has not run the request", t, func() {
		a := newFakeEndpoint(t, "e1", respond("HTTP/1.1 421 Misdirected Request\nContent-Length: 0\n\n"))
		response, _, err := newTestProxy(t, a).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
	})
	Convey("Units of a request that never ran are given back", t, func() {
		r := newTestProxy(t)
		response, _, err := r.do("POST", "/u/", "", "X-Token-Usage", "5,5")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(r.delegate.refunded, ShouldEqual, 10)
	})
}

func TestAnswers(t *testing.T) {
	Convey("An answer that breaks off does not look whole", t, func() {
		for _, cut := range []string{
			"HTTP/1.1 200 OK\nX-Response-Signature: s\nContent-Length: 10\n\nabc",
			"HTTP/1.1 200 OK\nX-Response-Signature: s\nTransfer-Encoding: chunked\n\n3\nabc\n",
		} {
			e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) { respond(cut)(c, r); _ = c.Close() })
			_, _, err := newTestProxy(t, e).do("POST", "/u/", "")
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A success without a stamp is none", t, func() {
		e := newFakeEndpoint(t, "e1", respond("HTTP/1.1 200 OK\nContent-Length: 3\n\nabc"))
		response, body, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(body, ShouldEqual, "")
	})
	Convey("Bytes that are no answer are not passed on", t, func() {
		e := newFakeEndpoint(t, "e1", respond("garbage\n\n"))
		response, _, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
	})
	Convey("An answer to another request that comes first is passed over", t, func() {
		e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\nX-Request-Id: other\nX-Response-Signature: s\nContent-Length: 5\n\nwrong")(c, r)
			succeed("right")(c, r)
		})
		_, body, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "right")
	})
	Convey("A second answer is never given to the next request", t, func() {
		e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) { succeed("one")(c, r); succeed("two")(c, r) })
		r := newTestProxy(t, e)
		_, body, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "one")
		_, body, err = r.do("POST", "/u/", "", "X-Request-Id", "id-2")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}

func TestStreams(t *testing.T) {
	Convey("A stream that may be resumed goes on at another endpoint, within one answer", t, func() {
		a := newFakeEndpoint(t, "e1", respondEvents(false, 1, 2))
		b := newFakeEndpoint(t, "e2", respondEvents(false, 1, 2))
		r := newTestProxy(t, a, b)
		_, body, err := r.do("POST", "/r/", "")
		So(err, ShouldNotBeNil) // third attempt: none is left
		So(strings.Count(body, "id: 1"), ShouldBeLessThanOrEqualTo, 2)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 2)
		second := append(a.requests(), b.requests()...)
		resumed := 0
		for _, request := range second {
			if request.Header.Get("Last-Event-Id") == "2" {
				resumed++
			}
		}
		So(resumed, ShouldEqual, 1)
		So(body, ShouldNotContainSubstring, "id: 99")
	})
	Convey("Its rest is joined to what came before", t, func() {
		rest := func(c net.Conn, request *http.Request) {
			if request.Header.Get("Last-Event-Id") == "2" {
				respondEvents(true, 3, 4)(c, request)
				return
			}
			respondEvents(false, 1, 2)(c, request)
		}
		a, b := newFakeEndpoint(t, "e1", rest), newFakeEndpoint(t, "e2", rest)
		_, body, err := newTestProxy(t, a, b).do("POST", "/r/", "")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	})
	Convey("One that may not is cut off, and does not look whole", t, func() {
		a, b := newFakeEndpoint(t, "e1", respondEvents(false, 1)), newFakeEndpoint(t, "e2", respondEvents(false, 1))
		_, body, err := newTestProxy(t, a, b).do("POST", "/st/", "")
		So(err, ShouldNotBeNil)
		So(body, ShouldStartWith, "id: 1")
		So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
	})
	Convey("Events are passed on as they come", t, func() {
		proceed := make(chan struct{})
		e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\nX-Response-Signature: s\nTransfer-Encoding: chunked\n\n7\nid: 1\n\n\n")(c, r)
			<-proceed
			respond("0\n\n")(c, r)
		})
		r := newTestProxy(t, e)
		request, err := http.NewRequest("POST", r.url+"/st/", nil)
		So(err, ShouldBeNil)
		request.Host = "h"
		request.Header.Set("Api-Key", "k")
		response, err := http.DefaultTransport.RoundTrip(request)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		first := make([]byte, 5)
		_, err = response.Body.Read(first)
		So(err, ShouldBeNil)
		So(string(first), ShouldEqual, "id: 1")
		close(proceed)
	})
}

func TestPrefixHeader(t *testing.T) {
	Convey("A prompt's parts are told apart", t, func() {
		tokens, shared := parsePrefixes("aa:800,bb:410,cc:250")
		So(tokens, ShouldEqual, 1460)
		So(len(shared), ShouldEqual, 2)
		So(shared[0].Units, ShouldEqual, 1210)
		So(shared[1].Units, ShouldEqual, 800)
		_, other := parsePrefixes("aa:800,bb:410,dd:9")
		So(other[0].Hash, ShouldEqual, shared[0].Hash)
		So(other[1].Hash, ShouldEqual, shared[1].Hash)
	})
	Convey("What can't be read does no harm", t, func() {
		for _, odd := range []string{"", ",", "a", "a:b,c:", ":::,,,", "a:-5,b:NaN", "a:Inf,b:1e300,c:Inf"} {
			tokens, _ := parsePrefixes(odd)
			So(tokens, ShouldEqual, 1)
		}
	})
}

// Looks for headers of prompts on which reading fails.
func FuzzPrefixHeader(f *testing.F) {
	f.Add("aa:800,bb:410,cc:250")
	f.Add("a:1e309,b:-1,,c")
	f.Fuzz(func(t *testing.T, header string) {
		tokens, shared := parsePrefixes(header)
		if !(tokens >= 1 && tokens < 1e15) || len(shared) > maxPrefixes {
			t.Fatalf("%q: %v tokens, %d prefixes", header, tokens, len(shared))
		}
	})
}
