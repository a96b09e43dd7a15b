package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Truncated responses. A body that is not an event stream is never continued by that of another endpoint, on any route.
const (
	headOnly        = "HTTP/1.1 200 OK\nX-Response-Signature: s1\nContent-Length: 20\n\n"
	headAndHalfBody = headOnly + "half"
	secondAnswer    = "HTTP/1.1 200 OK\nX-Response-Signature: s2\nContent-Length: 6\n\nsecond"
	eventStreamHead = "HTTP/1.1 200 OK\nX-Response-Signature: s1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
)

// eventsWithoutIDs sends one event without an id and closes the connection.
func eventsWithoutIDs(c net.Conn, r *http.Request) {
	respond(eventStreamHead)(c, r)
	_, _ = io.WriteString(c, "9\r\ndata: a\n\n\r\n")
	_ = c.Close()
}

func TestTruncatedAnswers(t *testing.T) {
	for _, path := range []string{"/r/", "/safe/"} {
		Convey("A response that ends before its body is replaced by that of another endpoint, including the head, on "+path, t, func() {
			act := sequence(respondAndClose(headOnly), respond(secondAnswer))
			r := newTestProxy(t, newFakeEndpoint(t, "e1", act), newFakeEndpoint(t, "e2", act))
			response, body, err := r.do("POST", path, "")
			So(err, ShouldBeNil)
			So(response.Header.Get("X-Response-Signature"), ShouldEqual, "s2")
			So(body, ShouldEqual, "second")
		})
		Convey("A response that ends within its body is not continued, on "+path, t, func() {
			a, b := newFakeEndpoint(t, "e1", respondAndClose(headAndHalfBody)), newFakeEndpoint(t, "e2", respondAndClose(headAndHalfBody))
			_, body, err := newTestProxy(t, a, b).do("POST", path, "")
			So(err, ShouldNotBeNil)
			So(body, ShouldBeIn, "", "half")
			So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
		})
	}
	Convey("A stream of events without ids is not restarted after an event was relayed", t, func() {
		a, b := newFakeEndpoint(t, "e1", eventsWithoutIDs), newFakeEndpoint(t, "e2", eventsWithoutIDs)
		_, _, err := newTestProxy(t, a, b).do("POST", "/r/", "")
		So(err, ShouldNotBeNil)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
	})
	Convey("A stream of events is not continued by a body of another type", t, func() {
		act := sequence(respondEvents(false, 1, 2), respond(secondAnswer))
		_, body, err := newTestProxy(t, newFakeEndpoint(t, "e1", act), newFakeEndpoint(t, "e2", act)).do("POST", "/r/", "")
		So(err, ShouldNotBeNil)
		So(body, ShouldNotContainSubstring, "second")
	})
}
