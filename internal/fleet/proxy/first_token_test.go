package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// unresponsive sends no response. When the connection is closed, it sends to closed.
func unresponsive(closed chan<- struct{}) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		_, _ = bufio.NewReader(c).ReadByte()
		closed <- struct{}{}
	}
}

// delay waits for the given duration and then responds by answer.
func delay(duration time.Duration, answer func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		<-time.After(duration)
		answer(c, r)
	}
}

func TestOverdueFirstToken(t *testing.T) {
	remainingRetries := func(r *testProxy) int {
		d := r.proxy.dispatcher
		withdrawn := 0
		for d.withdrawRetry("s") {
			withdrawn++
		}
		return withdrawn
	}
	initialRetries := remainingRetries(newTestProxy(t))
	usedRetries := func(r *testProxy) int { return initialRetries - remainingRetries(r) }
	Convey("If a first token is overdue", t, func() {
		closed := make(chan struct{}, 10)
		Convey("an idempotent request is rerouted, and the first attempt is cancelled", func() {
			firstHangs := sequence(unresponsive(closed), succeed("second"))
			a, b := newFakeEndpoint(t, "e1", firstHangs), newFakeEndpoint(t, "e2", firstHangs)
			r := newTestProxy(t, a, b)
			start := time.Now()
			response, body, err := r.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "second")
			So(time.Since(start), ShouldBeLessThan, 1500*time.Millisecond)
			<-closed
			So(requestCount(a, b), ShouldEqual, 2)
			So(usedRetries(r), ShouldEqual, 1)
		})
		Convey("a request that is not idempotent waits for its response", func() {
			late := delay(minOverdueTimeout+200*time.Millisecond, succeed("late"))
			a, b := newFakeEndpoint(t, "e1", late), newFakeEndpoint(t, "e2", late)
			r := newTestProxy(t, a, b)
			for _, path := range []string{"/u/", "/st/"} {
				response, body, err := r.do("POST", path, "")
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusOK)
				So(body, ShouldEqual, "late")
			}
			So(requestCount(a, b), ShouldEqual, 2)
			So(usedRetries(r), ShouldEqual, 0)
		})
		Convey("a request without another endpoint and a request beyond the retry budget wait for their responses", func() {
			late := delay(minOverdueTimeout+100*time.Millisecond, succeed("late"))
			a := newFakeEndpoint(t, "e1", late, late)
			single := newTestProxy(t, a)
			_, body, err := single.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "late")
			So(usedRetries(single), ShouldEqual, 0)

			b, c := newFakeEndpoint(t, "e1", late), newFakeEndpoint(t, "e2", late)
			exhausted := newTestProxy(t, b, c)
			for exhausted.proxy.dispatcher.withdrawRetry("s") {
			}
			_, body, err = exhausted.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "late")
			So(requestCount(b, c), ShouldEqual, 1)
		})
		Convey("the number of attempts stays within the limit of the route, and the deadline cancels the last one", func() {
			hangs := sequence(unresponsive(closed))
			a, b, c, d := newFakeEndpoint(t, "e1", hangs), newFakeEndpoint(t, "e2", hangs), newFakeEndpoint(t, "e3", hangs), newFakeEndpoint(t, "e4", hangs)
			r := newTestProxy(t, a, b, c, d)
			response, _, err := r.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
			So(requestCount(a, b, c, d), ShouldEqual, 3)
			for range 3 {
				<-closed
			}
		})
	})
	Convey("A request whose deadline has passed ends with 504, even if its context has not yet expired", t, func() {
		recorder := httptest.NewRecorder()
		r := newTestProxy(t)
		f := &forwarding{server: r.proxy, response: response{writer: recorder}, request: &request{deadline: time.Now()}, unproven: 1}
		f.finishUnanswered(context.Background())
		So(recorder.Code, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("An attempt either receives its first token or is abandoned, never both", t, func() {
		for _, first := range []bool{true, false} {
			f := &firstTokenWait{placement: &placement.Placement{}, timer: time.NewTimer(time.Hour)}
			if first {
				So(f.markArrived(), ShouldBeTrue)
				So(f.state.CompareAndSwap(tokenPending, attemptAbandoned), ShouldBeFalse)
			} else {
				So(f.state.CompareAndSwap(tokenPending, attemptAbandoned), ShouldBeTrue)
				So(f.markArrived(), ShouldBeFalse)
			}
			So(f.stop(), ShouldEqual, !first)
		}
	})
}
