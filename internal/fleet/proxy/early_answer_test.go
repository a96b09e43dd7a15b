package proxy

import (
	"bufio"
	"bytes"
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

// Endpoints that begin to work on a request, and answer it, before they have read its body: docs/design/proofs.md.

const (
	// longBodyBytes is more than the socket buffers between the proxy and an endpoint hold, so that the proxy can't write a body of that
	// length before the endpoint reads it.
	longBodyBytes      = 8 << 20
	smallReceiveBuffer = 64 << 10 // bytes
)

// headFirstEndpoint runs each request when it has read its head, and then handles it by the next step of a script. It reads a body only
// where a step does.
type headFirstEndpoint struct {
	listener net.Listener
	id       string

	mu         sync.Mutex
	script     []func(x *headFirstExchange)
	executions int
	bodies     [][]byte // that were read to their ends
}

// headFirstExchange is one request at a headFirstEndpoint.
type headFirstExchange struct {
	endpoint *headFirstEndpoint
	conn     *net.TCPConn
	request  *http.Request
}

func newHeadFirstEndpoint(t *testing.T, id string, script ...func(x *headFirstExchange)) *headFirstEndpoint {
	t.Helper()
	e := &headFirstEndpoint{id: id, script: script}
	e.listener = serveLoopback(t, e.serveConn)
	return e
}

func (e *headFirstEndpoint) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(smallReceiveBuffer)
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		x := &headFirstExchange{endpoint: e, conn: conn, request: request}
		e.mu.Lock()
		e.executions++
		step := (*headFirstExchange).succeed
		if len(e.script) > 0 {
			step, e.script = e.script[0], e.script[1:]
		}
		e.mu.Unlock()
		step(x)
		if !x.readBody() {
			return
		}
	}
}

func (e *headFirstEndpoint) executionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions
}

// succeed responds 200 with a signature.
func (x *headFirstExchange) succeed() { succeed("ok")(x.conn, x.request) }

// readBody reads the body, and reports whether it was complete.
func (x *headFirstExchange) readBody() bool {
	body, err := io.ReadAll(x.request.Body)
	if err != nil {
		return false
	}
	x.endpoint.mu.Lock()
	defer x.endpoint.mu.Unlock()
	x.endpoint.bodies = append(x.endpoint.bodies, body)
	return true
}

func (x *headFirstExchange) reset() {
	_ = x.conn.SetLinger(0)
	_ = x.conn.Close()
}

// newLongBodyProxy returns a proxy that accepts long bodies.
func newLongBodyProxy(t *testing.T, endpoints ...*headFirstEndpoint) *testProxy {
	t.Helper()
	var ready []registry.Endpoint
	for _, e := range endpoints {
		ready = append(ready, readyEndpoint(e.id, e.listener))
	}
	return startTestProxy(t, strings.Replace(configuration, `"maxBodyBytes":50`, fmt.Sprintf(`"maxBodyBytes":%d`, longBodyBytes), 1), ready)
}

func executionCount(endpoints ...*headFirstEndpoint) int {
	n := 0
	for _, e := range endpoints {
		n += e.executionCount()
	}
	return n
}

// Guards against REFUSED and TWICE: the promise that a request has not run, or a second run, although an endpoint worked on it before it
// had read the body.
func TestEndpointRunsRequestBeforeItReadsBody(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", longBodyBytes/16)
	unreadUntilTimeout := func(*headFirstExchange) { time.Sleep(3 * time.Second) } // the route's time-out is 2 s
	Convey("An answer that comes before the body is read is relayed at once, and the endpoint gets the whole body afterwards", t, func() {
		answered := make(chan struct{})
		e := newHeadFirstEndpoint(t, "e1", func(x *headFirstExchange) {
			x.succeed()
			<-answered
		})
		r := newLongBodyProxy(t, e)
		response, text, err := r.do("POST", "/one/", body)
		close(answered)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(response.Header.Get(headerSignature), ShouldEqual, "s1")
		So(text, ShouldEqual, "ok")
		bodyWasRead := func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.bodies) > 0 && bytes.Equal(e.bodies[0], []byte(body))
		}
		So(becomesTrue(bodyWasRead), ShouldBeTrue)
	})
	Convey("An unsafe request whose endpoint never reads the body is neither refused nor sent again, and keeps its quota", t, func() {
		a, b := newHeadFirstEndpoint(t, "e1", unreadUntilTimeout), newHeadFirstEndpoint(t, "e2", unreadUntilTimeout)
		r := newLongBodyProxy(t, a, b)
		response, _, err := r.do("POST", "/u/", body)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
		So(executionCount(a, b), ShouldEqual, 1)
		So(r.delegate.refunded, ShouldEqual, 0)
	})
	Convey("An unsafe request whose endpoint resets the connection before it has read the body is neither refused nor sent again", t, func() {
		for _, path := range []string{"/u/", "/st/"} {
			a, b := newHeadFirstEndpoint(t, "e1", (*headFirstExchange).reset), newHeadFirstEndpoint(t, "e2", (*headFirstExchange).reset)
			r := newLongBodyProxy(t, a, b)
			response, _, err := r.do("POST", path, body)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
			So(executionCount(a, b), ShouldEqual, 1)
			So(r.delegate.refunded, ShouldEqual, 0)
		}
	})
	Convey("An endpoint that crashes after its early answer does not let the request run at another one", t, func() {
		answerThenReset := func(x *headFirstExchange) {
			x.succeed()
			time.Sleep(50 * time.Millisecond)
			x.reset()
		}
		a, b := newHeadFirstEndpoint(t, "e1", answerThenReset), newHeadFirstEndpoint(t, "e2", answerThenReset)
		response, text, err := newLongBodyProxy(t, a, b).do("POST", "/u/", body)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(text, ShouldEqual, "ok")
		So(executionCount(a, b), ShouldEqual, 1)
	})
	Convey("An idempotent request whose endpoint resets the connection is sent to another one", t, func() {
		a, b := newHeadFirstEndpoint(t, "e1", (*headFirstExchange).reset), newHeadFirstEndpoint(t, "e2", (*headFirstExchange).reset)
		response, _, err := newLongBodyProxy(t, a, b).do("POST", "/safe/", body)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldNotEqual, http.StatusServiceUnavailable)
		So(executionCount(a, b), ShouldEqual, 2)
	})
	Convey("An endpoint that states before it reads the body that it did not run the request proves it: the request goes to another one", t, func() {
		reject := func(x *headFirstExchange) {
			respond(notExecutedText)(x.conn, x.request)
			time.Sleep(300 * time.Millisecond)
		}
		a, b := newHeadFirstEndpoint(t, "e1", reject), newHeadFirstEndpoint(t, "e2")
		r := newLongBodyProxy(t, a, b)
		for i := range 2 { // one of them begins at the endpoint that rejects
			response, _, err := r.do("POST", "/u/", body, "X-Request-Id", fmt.Sprint("id-", i))
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
		}
	})
}

// Guards against REFUSED: an endpoint's status that clients take for a promise is relayed although the endpoint may have run the request.
func TestRefusalOfEndpointNeedsItsStatement(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		signed := respond(fmt.Sprintf("HTTP/1.1 %d x\nX-Response-Signature: s1\nContent-Length: 0\n\n", status))
		Convey(fmt.Sprintf("The client of a request that may run only once gets no signed %d that doesn't state X-Not-Executed", status), t, func() {
			for _, path := range []string{"/u/", "/one/", "/st/"} {
				a, b := newFakeEndpoint(t, "e1", signed), newFakeEndpoint(t, "e2", signed)
				r := newTestProxy(t, a, b)
				response, _, err := r.do("POST", path, "")
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
				So(response.Header.Get(headerSignature), ShouldEqual, "")
				So(requestCount(a, b), ShouldEqual, 1)
				So(r.delegate.refunded, ShouldEqual, 0)
			}
		})
		Convey(fmt.Sprintf("An idempotent request's signed %d is the endpoint's answer", status), t, func() {
			a := newFakeEndpoint(t, "e1", signed, signed, signed)
			response, _, err := newTestProxy(t, a).do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldBeIn, status, http.StatusBadGateway)
		})
	}
}

// becomesTrue reports whether a condition is true at some time in the next 10 s.
func becomesTrue(condition func() bool) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
