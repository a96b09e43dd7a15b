package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswers(t *testing.T) {
	Convey("A truncated response does not look complete", t, func() {
		for _, cut := range []string{
			"HTTP/1.1 200 OK\nX-Response-Signature: s\nContent-Length: 10\n\nabc",
			"HTTP/1.1 200 OK\nX-Response-Signature: s\nTransfer-Encoding: chunked\n\n3\nabc\n",
		} {
			e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) { respond(cut)(c, r); _ = c.Close() })
			_, _, err := newTestProxy(t, e).do("POST", "/u/", "")
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A success without a signature counts as a failure", t, func() {
		e := newFakeEndpoint(t, "e1", respond("HTTP/1.1 200 OK\nContent-Length: 3\n\nabc"))
		response, body, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(body, ShouldEqual, "")
	})
	Convey("Bytes that are not HTTP are not relayed", t, func() {
		e := newFakeEndpoint(t, "e1", respond("garbage\n\n"))
		response, _, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
	})
	Convey("A response to another request is skipped if it arrives first", t, func() {
		e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\nX-Request-Id: other\nX-Response-Signature: s\nContent-Length: 5\n\nwrong")(c, r)
			succeed("right")(c, r)
		})
		_, body, err := newTestProxy(t, e).do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "right")
	})
	Convey("A duplicate response is not relayed for the next request", t, func() {
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
	Convey("A resumable stream is continued by another endpoint within the same response", t, func() {
		a := newFakeEndpoint(t, "e1", respondEvents(false, 1, 2))
		b := newFakeEndpoint(t, "e2", respondEvents(false, 1, 2))
		r := newTestProxy(t, a, b)
		_, body, err := r.do("POST", "/r/", "")
		So(err, ShouldNotBeNil) // the second endpoint fails, too, and there is no third
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
	Convey("The events of the second endpoint follow those of the first", t, func() {
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
	Convey("A stream that is not resumable is truncated and does not look complete", t, func() {
		a, b := newFakeEndpoint(t, "e1", respondEvents(false, 1)), newFakeEndpoint(t, "e2", respondEvents(false, 1))
		_, body, err := newTestProxy(t, a, b).do("POST", "/st/", "")
		So(err, ShouldNotBeNil)
		So(body, ShouldStartWith, "id: 1")
		So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
	})
	Convey("An event is relayed before the next one arrives", t, func() {
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
