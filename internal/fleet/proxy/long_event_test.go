package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// respondWithLongEvent responds with an event of a length that never ends, in chunks. If the stream is not complete, it then closes the connection.
func respondWithLongEvent(complete bool, length int) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		respond(eventStreamHead)(c, r)
		chunk := strings.Repeat("x", 32<<10)
		for sent := 0; sent < length; sent += len(chunk) {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_ = c.Close()
	}
}

// Guards against an endpoint whose event never ends, and grows in the router's memory for as long as the stream lasts.
func TestLongEventIsRelayedAsItComes(t *testing.T) {
	const length = 2*maxEventBytes + 32<<10
	Convey("An event beyond maxEventBytes is relayed whole, without waiting for its end", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1", respondWithLongEvent(true, length)))
		response, body, err := r.do(http.MethodPost, "/r/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(len(body), ShouldEqual, length)
	})
	Convey("If it is cut, the client's answer is cut as well, and no other endpoint continues it", t, func() {
		a, b := newFakeEndpoint(t, "e1", respondWithLongEvent(false, length)), newFakeEndpoint(t, "e2", respondWithLongEvent(false, length))
		_, body, err := newTestProxy(t, a, b).do(http.MethodPost, "/r/", "")
		So(err, ShouldNotBeNil)
		So(len(body), ShouldBeGreaterThan, maxEventBytes)
		So(len(a.requests())+len(b.requests()), ShouldEqual, 1)
	})
	Convey("Beyond maxEventBytes nothing is held", t, func() {
		var splitter eventSplitter
		id := ""
		for range maxEventBytes/relayBufferBytes + 1 {
			So(splitter.complete(make([]byte, relayBufferBytes), &id), ShouldBeEmpty)
		}
		So(splitter.exceeds(maxEventBytes), ShouldBeTrue)
		So(len(splitter.take()), ShouldEqual, maxEventBytes+relayBufferBytes)
		So(splitter.empty(), ShouldBeTrue)
	})
}
