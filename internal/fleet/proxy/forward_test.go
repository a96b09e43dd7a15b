package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestForwarding(t *testing.T) {
	Convey("A request is forwarded unchanged, except for hop-by-hop headers and headers of the router", t, func() {
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
		remaining, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
		So(err, ShouldBeNil)
		So(remaining, ShouldBeBetweenOrEqual, 500, 900)
	})
	Convey("A body without Content-Length is forwarded completely", t, func() {
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
	Convey("A public route requires no API key, and none is forwarded", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		response, _, err := r.do("POST", "/p/x", "abc", "Api-Key", "unknown")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(e.requests()[0].Header.Get("X-Tenant-Id"), ShouldEqual, "")
		So(e.requests()[0].Header.Get("Api-Key"), ShouldEqual, "")
	})
	Convey("A connection is reused for further requests", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for range 5 {
			_, _, err := r.do("POST", "/u/", "")
			So(err, ShouldBeNil)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		So(e.acceptedConnections, ShouldEqual, 1)
	})
	Convey("A failure response of an endpoint is relayed unchanged", t, func() {
		e := newFakeEndpoint(t, "e1", respond("HTTP/1.1 500 Internal Server Error\nX-Response-Signature: s9\nContent-Length: 3\n\nbad"))
		response, body, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 500)
		So(body, ShouldEqual, "bad")
		So(response.Header.Get("X-Response-Signature"), ShouldEqual, "s9")
	})
}

func TestRetries(t *testing.T) {
	Convey("A request is sent to another endpoint after a response that it has not run", t, func() {
		a := newFakeEndpoint(t, "e1", respond(notExecutedText))
		b := newFakeEndpoint(t, "e2", respond(notExecutedText))
		response, _, err := newTestProxy(t, a, b).do("POST", "/safe/", "")
		So(err, ShouldBeNil)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 2)
		So(response.StatusCode, ShouldEqual, 503)
	})
	Convey("An unsafe request that may have run is never retried", t, func() {
		a, b := newFakeEndpoint(t, "e1", closeConnection), newFakeEndpoint(t, "e2", closeConnection)
		response, _, err := newTestProxy(t, a, b).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
	})
	Convey("A safe request that may have run is retried up to the limit of its route", t, func() {
		a, b := newFakeEndpoint(t, "e1", closeConnection), newFakeEndpoint(t, "e2", closeConnection)
		c, d := newFakeEndpoint(t, "e3", closeConnection), newFakeEndpoint(t, "e4", closeConnection)
		response, _, err := newTestProxy(t, a, b, c, d).do("POST", "/safe/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(len(a.requests())+len(b.requests())+len(c.requests())+len(d.requests()), ShouldEqual, 3)
	})
	Convey("An unreachable endpoint does not count as an attempt: the request is sent to another one", t, func() {
		unreachable := newFakeEndpoint(t, "e1")
		_ = unreachable.listener.Close()
		b := newFakeEndpoint(t, "e2")
		r := newTestProxy(t, unreachable, b)
		for range 6 {
			response, _, err := r.do("POST", "/one/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
		}
	})
	Convey("A request has not run if the endpoint responds 421", t, func() {
		a := newFakeEndpoint(t, "e1", respond("HTTP/1.1 421 Misdirected Request\nContent-Length: 0\n\n"))
		response, _, err := newTestProxy(t, a).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
	})
	Convey("Units of a request that never ran are refunded", t, func() {
		r := newTestProxy(t)
		response, _, err := r.do("POST", "/u/", "", "X-Token-Usage", "5,5")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(r.delegate.refunded, ShouldEqual, 10)
	})
}
