package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// Ways in which a request could run twice, or a response reach another client: docs/design/control-state.md, point 5.

// succeedThenClose responds, and closes the idle connection after the given time.
func succeedThenClose(after time.Duration) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		succeed("one")(c, r)
		time.AfterFunc(after, func() { _ = c.Close() })
	}
}

// respondAndReset sends a part of a response, which may be empty, and resets the connection.
func respondAndReset(part string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(part, "\n", "\r\n"))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// requestCount returns the number of requests that the endpoints have received in total.
func requestCount(endpoints ...*fakeEndpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.requests())
	}
	return n
}

func TestReusedConnections(t *testing.T) {
	Convey("On a reused connection that the endpoint closes after the request was written", t, func() {
		a := newFakeEndpoint(t, "e1", succeed("one"), closeConnection, succeed("three"))
		r := newTestProxy(t, a)
		_, _, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		Convey("an unsafe request is not retried, and its client receives 502: it may have run", func() {
			response, _, err := r.do("POST", "/u/", "", "X-Request-Id", "id-2")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
			So(requestCount(a), ShouldEqual, 2)
		})
		Convey("a stream that is not resumable is not retried either", func() {
			response, _, err := r.do("POST", "/st/", "", "X-Request-Id", "id-2")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
			So(requestCount(a), ShouldEqual, 2)
		})
	})
	Convey("No request is sent on an idle connection that the endpoint has closed: the request is sent once, on a new connection", t, func() {
		a := newFakeEndpoint(t, "e1", succeedThenClose(0))
		r := newTestProxy(t, a)
		_, _, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
			response, _, err := r.do("POST", "/u/", "", "X-Request-Id", "id-2")
			So(err, ShouldBeNil)
			if response.StatusCode == http.StatusOK {
				break // the first request may be sent before the close is detected
			}
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		So(a.acceptedConnections, ShouldEqual, 2)
	})
	Convey("A reset before or within a response does not prove that the request has not run", t, func() {
		for _, part := range []string{"", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\nX-Response-Signature: s\nContent-Length: 9\n\nabc"} {
			a, b := newFakeEndpoint(t, "e1", respondAndReset(part)), newFakeEndpoint(t, "e2", respondAndReset(part))
			response, body, err := newTestProxy(t, a, b).do("POST", "/u/", "")
			if err == nil {
				So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
				So(body, ShouldEqual, "")
			}
			So(requestCount(a, b), ShouldEqual, 1)
		}
	})
}

func TestMisdeliveredAnswers(t *testing.T) {
	// duplicateFirst sends another response with the given request id before the response to the request.
	duplicateFirst := func(id string) func(net.Conn, *http.Request) {
		return func(c net.Conn, r *http.Request) {
			former := r.Clone(context.Background())
			former.Header.Set("X-Request-Id", id)
			succeed("two")(c, former)
			succeed("right")(c, r)
		}
	}
	Convey("A duplicate response that arrives before the response to the next request reaches no client", t, func() {
		for _, id := range []string{"id-1", "id-0", ""} { // id of the previous request, of an earlier one, no id
			a := newFakeEndpoint(t, "e1", succeed("one"), duplicateFirst(id))
			r := newTestProxy(t, a)
			_, body, err := r.do("POST", "/u/", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "one")
			response, body, err := r.do("POST", "/u/", "", "X-Request-Id", "id-2")
			So(err, ShouldBeNil)
			if response.StatusCode == http.StatusOK {
				So(body, ShouldEqual, "right")
			}
			So(body, ShouldNotEqual, "two")
			So(requestCount(a), ShouldBeLessThanOrEqualTo, 2)
		}
	})
	Convey("Concurrent responses each reach the client of their request", t, func() {
		echo := func(c net.Conn, r *http.Request) { succeed(r.Header.Get("X-Request-Id"))(c, r) }
		var script []func(net.Conn, *http.Request)
		for range 200 {
			script = append(script, echo)
		}
		a := newFakeEndpoint(t, "e1", script...)
		r := newTestProxy(t, a)
		failures := make(chan string, 200)
		done := make(chan struct{})
		for worker := range 8 {
			go func() {
				defer func() { done <- struct{}{} }()
				for i := range 20 {
					id := fmt.Sprintf("id-%d-%d", worker, i)
					_, body, err := r.do("POST", "/u/", "", "X-Request-Id", id)
					if err == nil && body != id {
						failures <- id + " got " + body
					}
				}
			}()
		}
		for range 8 {
			<-done
		}
		So(len(failures), ShouldEqual, 0)
	})
}

func TestEarlyAnswer(t *testing.T) {
	Convey("An endpoint that rejects a request before it reads the body does not read bytes of another request as that body", t, func() {
		e := &earlyEndpoint{}
		ready := readyEndpoint("e1", serveLoopback(t, e.serveConn))
		r := startTestProxy(t, configuration, []registry.Endpoint{ready})
		body := strings.Repeat("x", 40)
		for i := range 3 {
			_, _, err := r.do("POST", "/u/", body, "X-Request-Id", fmt.Sprint("id-", i))
			So(err, ShouldBeNil)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		So(e.faults, ShouldBeEmpty)
	})
}

// earlyEndpoint responds as soon as it has read a request's head, and reads the body afterwards. faults are the bodies that
// differ from the one that was sent.
type earlyEndpoint struct {
	mu     sync.Mutex
	faults []string
}

func (e *earlyEndpoint) serveConn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	var head [1]byte
	for {
		text := ""
		for !strings.HasSuffix(text, "\r\n\r\n") {
			if _, err := c.Read(head[:]); err != nil {
				return
			}
			text += string(head[:])
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(notExecutedText, "\n", "\r\n"))
		rest := make([]byte, 40)
		if _, err := io.ReadFull(c, rest); err != nil {
			return
		}
		if string(rest) != strings.Repeat("x", 40) {
			e.mu.Lock()
			e.faults = append(e.faults, string(rest))
			e.mu.Unlock()
		}
	}
}

func TestClientDisconnect(t *testing.T) {
	Convey("A request whose client disconnects while its endpoint is unresponsive is sent to no other endpoint", t, func() {
		received := make(chan struct{}, 4)
		hang := func(c net.Conn, _ *http.Request) {
			received <- struct{}{}
			_, _ = c.Read(make([]byte, 1)) // until the proxy closes the connection
		}
		a, b := newFakeEndpoint(t, "e1", hang, hang), newFakeEndpoint(t, "e2", hang, hang)
		r := newTestProxy(t, a, b)
		ctx, disconnect := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, "POST", r.url+"/safe/", nil)
		So(err, ShouldBeNil)
		request.Host = "h"
		request.Header.Set("Api-Key", "k")
		go func() {
			<-received
			disconnect()
		}()
		_, err = (&http.Transport{}).RoundTrip(request)
		So(err, ShouldNotBeNil)
		r.httpServer.Close() // waits until the request has ended
		So(requestCount(a, b), ShouldEqual, 1)
	})
}

// Guards against a request that stays pending after its route's time-out, whatever its endpoints do and however many there are.
// X-Deadline-Ms must not extend the time-out.
func TestRouteTimeout(t *testing.T) {
	hang := func(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }
	startThenHang := func(c net.Conn, r *http.Request) { respond(eventStreamHead)(c, r); hang(c, r) }
	const timeout = 2 * time.Second // of the routes
	for _, path := range []string{"/u/", "/safe/", "/st/", "/r/"} {
		for name, act := range map[string]func(net.Conn, *http.Request){"unresponsive": hang, "unresponsive after the head": startThenHang} {
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				r := newTestProxy(t, newFakeEndpoint(t, "e1", act, act, act), newFakeEndpoint(t, "e2", act, act, act))
				start := time.Now()
				response, _, err := r.do("POST", path, "", "X-Deadline-Ms", "60000")
				if took := time.Since(start); took > timeout+400*time.Millisecond {
					t.Errorf("the request ended after %v", took)
				}
				if err == nil && response.StatusCode != http.StatusGatewayTimeout && response.StatusCode != http.StatusBadGateway {
					t.Errorf("the response has status %d", response.StatusCode)
				}
			})
		}
	}
}
